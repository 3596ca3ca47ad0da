package gateway

import (
	"sync"
	"time"
)

const (
	// unknownWait is how long a request waits for a model of whose load the
	// leader has said nothing: a word takes milliseconds while there is a leader,
	// and a new leader is there within two seconds.
	unknownWait = 2 * time.Second
	// firstToken is how long an engine takes from a load's end to the first event
	// of a long prompt, none of which it has kept.
	firstToken = 300 * time.Millisecond
	// recheck is how often a waiting request looks at the leader's word again.
	recheck = 50 * time.Millisecond
)

// await waits for a change that may bring the model. It refuses the request as
// soon as the leader's word shows that the model will not be there in time.
func (x *exchange) await(changed <-chan struct{}) bool {
	t := x.target()
	began := time.Now()
	x.g.asked.wait(t, 1)
	defer func() {
		x.g.asked.wait(t, -1)
		x.waited += time.Since(began)
	}()
	timer := time.NewTimer(recheck)
	defer timer.Stop()
	for {
		if outcome, after, hopeless := x.hopeless(t, time.Now()); hopeless {
			x.giveUp(outcome, after)
			return false
		}
		select {
		case <-changed:
			return true
		case <-timer.C:
			timer.Reset(recheck)
			if x.g.fleet.choose(x.pool, &x.call, x.tried, time.Now(), x.random) != nil {
				return true
			}
		case <-x.ctx.Done():
			x.waitEnded()
			return false
		}
	}
}

// waitEnded answers a request whose time to wait is over.
func (x *exchange) waitEnded() {
	switch {
	case x.r.Context().Err() != nil:
		x.giveUp(OutcomeCallerGone, 0)
	case x.g.ended.Err() != nil:
		x.giveUp(OutcomeStopping, elsewhereAfter)
	default:
		x.giveUp(OutcomeTimeout, refuseAfter)
	}
}

// hopeless tells whether a request for a model that no server holds cannot be
// served in time, as what it ends then, and when to come back.
func (x *exchange) hopeless(t target, now time.Time) (o Outcome, after time.Duration, yes bool) {
	if left, held := x.g.guard.HeldBack(x.subject()); held {
		return OutcomeHeldBack, left, true
	}
	e, known := x.g.asked.expect(t, x.began)
	expected := known && !e.ready.IsZero()
	// A request that waits until the process ends would be cut off without an answer,
	// by the only party that knows that it has not run.
	if by := x.g.sendBy.Load(); by != nil && (!now.Before(*by) || expected && e.ready.After(*by)) {
		return OutcomeStopping, elsewhereAfter, true
	}
	if !expected {
		return OutcomeNoModel, refuseAfter, now.Sub(x.began) > unknownWait
	}
	return OutcomeNoModel, max(e.ready.Sub(now), refuseAfter), e.ready.Add(firstToken).After(x.firstBy())
}

const (
	// Callers leave a stream whose next event does not come within the longest of
	// these: a fixed time, a multiple of the route's aim, and one of its longest
	// pause that is still on time.
	leaveAfter     = 2 * time.Second
	leaveAfterAims = 4
	leaveAfterGaps = 8
)

// firstBy is until when a caller waits for the first byte of an answer.
func (x *exchange) firstBy() time.Time {
	if !x.route.GetStream() {
		return x.deadline
	}
	patience := max(leaveAfter, time.Duration(leaveAfterAims*x.route.GetAimMs())*time.Millisecond,
		time.Duration(leaveAfterGaps*x.route.GetGapMs())*time.Millisecond)
	if by := x.began.Add(patience); by.Before(x.deadline) {
		return by
	}
	return x.deadline
}

// pace is how long a plain pool's servers take for a request. All methods are
// safe from any goroutine.
type pace struct {
	mu sync.Mutex
	// mean is the moving mean of the time from dispatch to answer.
	mean time.Duration
}

// paceWeight is the weight of a new time in the mean: some ten requests, about a
// second of an entry's requests to a plain service.
const paceWeight = 10

func (p *pace) observe(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mean == 0 {
		p.mean = took
	}
	p.mean += (took - p.mean) / paceWeight
}

// wait is when a refused caller should come back: once what is there now should
// have been served.
func (p *pace) wait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.mean*2, 100*time.Millisecond)
}

// expect is how long a request behind n others per place takes.
func (p *pace) expect(perPlace float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(float64(p.mean) * perPlace)
}

// fits refuses a request to a plain service at once when what this entry has
// there already, taken as its part of what all entries have, can't be served
// before the deadline. It would only lengthen a queue whose end comes too late.
func (x *exchange) fits() bool {
	running, slots := x.g.fleet.occupied(x.pool)
	if slots == 0 {
		return true
	}
	perPlace := float64(running*max(x.g.entryCount(), 1)) / float64(slots)
	if perPlace < 1 || x.g.pace(x.pool).expect(perPlace) < time.Until(x.deadline) {
		return true
	}
	x.giveUp(OutcomeBusy, x.g.pace(x.pool).wait())
	return false
}

// occupied returns this entry's requests at a pool and the pool's places.
func (f *fleet) occupied(pool string) (running, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.view.GetPool() == pool && s.ready() {
			running += s.running
			slots += int(s.view.GetSlots())
		}
	}
	return running, slots
}
