package gateway

import (
	"sync"
	"time"

	"fennelyard/internal/schema"
)

const (
	// patienceLeast is the least time without a word after which a repeatable
	// request is sent elsewhere: the longest that a sound server takes for a short
	// request.
	patienceLeast = 450 * time.Millisecond
	// patienceAgain is how often a request that is out of patience looks for a repeat:
	// the allowance grows, and other servers become free.
	patienceAgain = 100 * time.Millisecond
)

// patience gives up an attempt that has shown nothing for long, where the request
// can be sent elsewhere at once. An attempt that is given up without that ends in an
// error for its caller, while its server, most often one with a queue, would have
// answered late: after all hosts had lost power, entries broke off 59 streams in a
// moment and had no repeat for any. The zero value never gives up. All methods are safe from any goroutine.
type patience struct {
	cancel func()
	// repeat takes a repeat, or returns false when none is to be had.
	repeat func() bool

	mu    sync.Mutex
	timer *time.Timer
	// begun is set once the answer has begun, and gaveUp once the attempt is given
	// up; at most one of them is. Were the caller sent the first event of an attempt
	// that is given up at that moment, its stream would be cut. Guarded by mu.
	begun  bool
	gaveUp bool
}

func newPatience(after time.Duration, cancel func(), repeat func() bool) *patience {
	p := &patience{cancel: cancel, repeat: repeat}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(after, p.out)
	return p
}

func (p *patience) out() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.begun || p.gaveUp {
		return
	}
	if !p.repeat() {
		p.timer.Reset(patienceAgain)
		return
	}
	p.gaveUp = true
	p.cancel()
}

// begin notes that the answer has begun, or that nothing more is waited for. It
// returns false where the attempt was given up before.
func (p *patience) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.begun = !p.gaveUp
	if p.timer != nil {
		p.timer.Stop()
	}
	return p.begun
}

// patience returns the patience of the attempt at hand.
func (x *exchange) patience(cancel func(), left time.Duration) *patience {
	if !x.mayRepeat() {
		return &patience{}
	}
	aim := time.Duration(x.route.GetAimMs()) * time.Millisecond
	// What the attempt works on is not touched by the timer.
	elsewhere := append([]string{x.server.id}, x.tried...)
	return newPatience(min(max(aim*3/2, patienceLeast), left*2/3), cancel, func() bool {
		now := time.Now()
		s := x.g.fleet.choose(x.pool, &x.call, elsewhere, now, x.random)
		return s != nil && x.g.fleet.hasPlace(s) && x.g.budget(x.pool).spend(now, x.g.entryCount())
	})
}

func (x *exchange) mayRepeat() bool {
	return x.route.GetRepeat() != schema.Repeat_REPEAT_NEVER && x.runs+1 < int(max(x.route.GetMaxAttempts(), 1))
}

// hasPlace reports whether a server has a place that no request of any entry has,
// as far as is known.
func (f *fleet) hasPlace(s *server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	slots := int(s.view.GetSlots())
	return slots == 0 || s.running+s.others.running < slots
}
