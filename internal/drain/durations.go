package drain

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSamples is the number of the latest requests of a kind by which their duration is predicted, and
	// minSamples the least number.
	maxSamples = 64
	minSamples = 8
	// durationSlack is the factor by which a request may take longer than the longest one of these.
	durationSlack = 1.25
	// maxKinds bounds the kinds; beyond it all are forgotten.
	maxKinds = 2048
)

// Durations predicts how long requests of a kind take. It is safe for concurrent use.
type Durations struct {
	mu sync.Mutex
	// kinds holds the latest durations by kind, guarded by mu.
	kinds map[string]*samples
}

// samples are the latest durations of a kind.
type samples struct {
	latest []time.Duration
	// next is the index of the oldest one once there are maxSamples.
	next int
}

// NewDurations returns Durations that predict nothing.
func NewDurations() *Durations { return &Durations{kinds: map[string]*samples{}} }

// Observe records how long a request took that was served.
func (d *Durations) Observe(kind string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.kinds[kind]
	if s == nil {
		if len(d.kinds) >= maxKinds {
			clear(d.kinds)
		}
		s = &samples{}
		d.kinds[kind] = s
	}
	if len(s.latest) < maxSamples {
		s.latest = append(s.latest, took)
		return
	}
	s.latest[s.next] = took
	s.next = (s.next + 1) % maxSamples
}

// Expected returns how long a request of a kind takes at most, by those that have ended; 0 if too few have.
func (d *Durations) Expected(kind string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.kinds[kind]
	if s == nil || len(s.latest) < minSamples {
		return 0
	}
	return time.Duration(float64(slices.Max(s.latest))*durationSlack) + 1
}
