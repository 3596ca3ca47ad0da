package gateway

import "time"

// backlogLeast is the part of its aim that a long prompt may always wait for what its
// engine reads before it, however long it is read itself: in half the time an engine that
// serves the model at all should be ready to begin.
const backlogLeast = 0.5

// backlog is what a call would wait for at an engine.
type backlog struct {
	// before is how long the engine has to read before the call's prompt, and own how long
	// it reads the prompt itself.
	before, own time.Duration
	// waits is set where the prompt waits for that: engines read short ones between the
	// pieces of long ones.
	waits bool
}

func (f *fleet) backlog(s *server, c *RequestInfo) backlog {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.seen(s.view.GetPool())
	return backlog{before: o.readTime(max(s.unread, 0) + s.others.unread), own: o.readTime(s.uncached(c)), waits: o.isLong(c)}
}

// tooLong reports whether a call of a route with an aim should not be sent: its first event
// would be late. Callers leave after some times their aim. On the busiest engines of a
// fleet the prompts to be read grew to ten seconds: nearly all that an engine read then was
// of callers who had left or were about to, and every second request of its model failed.
// Of what 1.5 times as many ask as three engines can read, 27 in 378 were served in time
// and 164 late by engines that were sent all; see the test for what they serve now.
func (b backlog) tooLong(aim time.Duration) bool {
	least := time.Duration(backlogLeast * float64(aim))
	return aim > 0 && b.waits && b.before > max(aim-b.own, least)
}

// backlogged refuses a request at once whose engine, the best there is, has so much to read
// before it that it would be answered late or not at all. It would keep those behind it
// waiting as well. Its caller is told when the engine should have read about half of what
// a request may wait for, each a time of its own, so that they don't all meet again.
func (x *exchange) backlogged() bool {
	if x.call.Model == "" || x.runs > 0 {
		return false
	}
	aim := time.Duration(x.route.GetAimMs()) * time.Millisecond
	b := x.g.fleet.backlog(x.server, &x.call)
	if !b.tooLong(aim) {
		return false
	}
	spread := time.Duration(x.random(int(aim/time.Millisecond))) * time.Millisecond
	x.giveUp(OutcomeBusy, b.before-aim/2+spread)
	return true
}
