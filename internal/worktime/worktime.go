// Package worktime measures how the time of a process divides among kinds of work, and how long
// goroutines that could run wait for the processor. On a host with a fraction of a core the
// second is what delays heartbeats, and the first says why.
package worktime

import (
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

//go:generate go tool stringer -type=Kind -linecomment

// Kind is a kind of work.
type Kind int

// Kinds of work.
const (
	// KindReplication is what a member of the control group stores, sends and applies.
	KindReplication Kind = iota // replication
	// KindHostReport is applying a report of a control host, and KindHostUpdate building an
	// update for it, both at the leader.
	KindHostReport // host-report
	KindHostUpdate // host-update
	// KindEntryReport is applying a report of an entry, and KindEntryUpdate building an
	// update for it.
	KindEntryReport // entry-report
	KindEntryUpdate // entry-update
	// KindLeaderReport is building a report to the leader, and KindLeaderUpdate applying an
	// update of the leader.
	KindLeaderReport // leader-report
	KindLeaderUpdate // leader-update
	// KindDecision is deciding on orders to engines.
	KindDecision // decision
	// KindEvidence is merging and reading evidence on harmful requests. It is also part of
	// the reports and updates that carry it.
	KindEvidence // evidence
	numKinds     = iota
)

const (
	// reportInterval is the time between two checks of the delays.
	reportInterval = time.Second
	// logDelay is the delay of goroutines from which on the work of a second is logged. A
	// leader that is late by a few such delays is replaced.
	logDelay = 50 * time.Millisecond
	// delayQuantile is the part of the goroutines that waited no longer than the delay.
	delayQuantile = 0.99
	delayMetric   = "/sched/latencies:seconds"
)

// Config configures a Meter. Log is required.
type Config struct {
	// Delays returns the cumulative distribution of the time that goroutines waited for the
	// processor, in seconds; nil means that of the Go scheduler.
	Delays func() metrics.Float64Histogram
	Log    logr.Logger
}

// Meter measures the work of a process. All methods are safe for concurrent use.
type Meter struct {
	cfg    Config
	counts [numKinds]atomic.Int64
	nanos  [numKinds]atomic.Int64
	stop   chan struct{}
	done   chan struct{}
	once   sync.Once

	// delay is the delayQuantile of the last interval, in nanoseconds.
	delay atomic.Int64
}

// New starts a Meter.
func New(cfg Config) *Meter {
	if cfg.Delays == nil {
		cfg.Delays = schedulerDelays
	}
	m := &Meter{cfg: cfg, stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(m.done)
		m.run()
	}()
	return m
}

func schedulerDelays() metrics.Float64Histogram {
	sample := []metrics.Sample{{Name: delayMetric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return metrics.Float64Histogram{}
	}
	return *sample[0].Value.Float64Histogram()
}

// Start begins a piece of work, which ends when the returned function is called. Time in which
// the goroutine is not running counts as well, so that the work must not block.
func (m *Meter) Start(k Kind) func() {
	start := time.Now()
	return func() {
		m.counts[k].Add(1)
		m.nanos[k].Add(int64(time.Since(start)))
	}
}

// Delay returns how long the latest hundredth of the goroutines waited for the processor at
// least in the last second.
func (m *Meter) Delay() time.Duration { return time.Duration(m.delay.Load()) }

// Seconds returns the time spent on a kind of work, in seconds.
func (m *Meter) Seconds(k Kind) float64 { return time.Duration(m.nanos[k].Load()).Seconds() }

// Kinds returns all kinds of work.
func Kinds() []Kind {
	out := make([]Kind, numKinds)
	for i := range out {
		out[i] = Kind(i)
	}
	return out
}

func (m *Meter) run() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var counts, nanos [numKinds]int64
	before := m.cfg.Delays()
	for {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
		}
		current := m.cfg.Delays()
		delay := quantileSince(before, current)
		before = current
		m.delay.Store(int64(delay))
		line := []any{"delay-ms", delay.Milliseconds()}
		for k := range numKinds {
			count, spent := m.counts[k].Load(), m.nanos[k].Load()
			if count > counts[k] {
				line = append(line, Kind(k).String(), count-counts[k], Kind(k).String()+"-ms", time.Duration(spent-nanos[k]).Milliseconds())
			}
			counts[k], nanos[k] = count, spent
		}
		if delay >= logDelay {
			m.cfg.Log.Info("processor short", line...)
		}
	}
}

// quantileSince returns the delayQuantile of what was added to a histogram, as the lower bound of
// its bucket.
func quantileSince(before, current metrics.Float64Histogram) time.Duration {
	added := make([]uint64, len(current.Counts))
	total := uint64(0)
	for i, n := range current.Counts {
		if i < len(before.Counts) {
			n -= before.Counts[i]
		}
		added[i] = n
		total += n
	}
	seen := uint64(0)
	for i, n := range added {
		seen += n
		if n > 0 && float64(seen) >= delayQuantile*float64(total) {
			return time.Duration(max(current.Buckets[i], 0) * float64(time.Second))
		}
	}
	return 0
}

// Stop stops the Meter.
func (m *Meter) Stop() {
	m.once.Do(func() { close(m.stop) })
	<-m.done
}

// Done is closed when the Meter has stopped.
func (m *Meter) Done() <-chan struct{} { return m.done }
