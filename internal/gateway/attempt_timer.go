package gateway

import (
	"sync"
	"time"

	"fennelyard/internal/schema"
)

const (
	// minAttemptTimeout is the least time without a response after which a retryable request is
	// sent to another server, unless its deadline is near: the longest time that a healthy server
	// takes for a short request.
	minAttemptTimeout = 450 * time.Millisecond
	// attemptRecheckInterval is how often an attempt that has timed out checks whether it can be
	// retried: the budget refills, and other servers become free.
	attemptRecheckInterval = 100 * time.Millisecond
)

// attemptTimer cancels an attempt without a response after a timeout, provided that the request
// can be sent to another server at once. Canceling an attempt without a retry would return an
// error to the caller while the server, most often one with a queue, would have responded late:
// after a power loss of all hosts, entries canceled 59 streams at once without a retry for any
// of them. The zero value never expires. It is safe for concurrent use.
type attemptTimer struct {
	cancel func()
	// reserveRetry takes a retry from the budget; it returns false if none is available.
	reserveRetry func() bool

	mu    sync.Mutex
	timer *time.Timer
	// stopped is set once the response has started, expired once the attempt is canceled; at most
	// one of them is set. Otherwise the caller could receive the first event of an attempt that is
	// being canceled, and its stream would be interrupted. Guarded by mu.
	stopped bool
	expired bool
}

func newAttemptTimer(timeout time.Duration, cancel func(), reserveRetry func() bool) *attemptTimer {
	t := &attemptTimer{cancel: cancel, reserveRetry: reserveRetry}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(timeout, t.expire)
	return t
}

func (t *attemptTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.expired {
		return
	}
	if !t.reserveRetry() {
		t.timer.Reset(attemptRecheckInterval)
		return
	}
	t.expired = true
	t.cancel()
}

// stop stops the timer because the response has started or the attempt has ended. It returns
// false if the attempt was canceled before.
func (t *attemptTimer) stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = !t.expired
	if t.timer != nil {
		t.timer.Stop()
	}
	return t.stopped
}

// newAttemptTimer returns the timer of the current attempt.
func (x *exchange) newAttemptTimer(cancel func(), remaining time.Duration) *attemptTimer {
	if !x.mayRetry() {
		return &attemptTimer{}
	}
	aim := time.Duration(x.route.GetAimMs()) * time.Millisecond
	// The timer runs concurrently with the attempt, which changes x.excluded: it needs a copy.
	excluded := append([]string{x.server.id}, x.excluded...)
	return newAttemptTimer(min(max(aim*3/2, minAttemptTimeout), remaining*2/3), cancel, func() bool {
		now := time.Now()
		s := x.g.fleet.choose(x.pool, &x.info, excluded, now, x.random)
		return s != nil && x.g.fleet.hasFreeSlot(s) && x.g.retryBudget(x.pool).withdraw(now, x.g.sharingEntries())
	})
}

func (x *exchange) mayRetry() bool {
	return x.route.GetRepeat() != schema.Repeat_REPEAT_NEVER && x.runs+1 < int(max(x.route.GetMaxAttempts(), 1))
}

// hasFreeSlot reports whether a server has a slot that is not known to be in use by any entry.
func (f *fleet) hasFreeSlot(s *server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	slots := int(s.view.GetSlots())
	return slots == 0 || s.running+s.others.running < slots
}
