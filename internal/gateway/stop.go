package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/drain"
	"fennelyard/internal/schema"
)

// defaultHeaderTimeout is how long a caller may take to send a header where the configuration does not say so.
const defaultHeaderTimeout = 3 * time.Second

// HeaderTimeout returns how long a caller may take to send the header of the first request on a connection: a
// stopping entry waits as long for it.
func (g *Gateway) HeaderTimeout() time.Duration {
	if t := g.table.Load(); t != nil && t.limits.GetHeaderTimeoutMs() > 0 {
		return time.Duration(t.limits.GetHeaderTimeoutMs()) * time.Millisecond
	}
	return defaultHeaderTimeout
}

// mayBeSent reports whether the request may be sent to a server at a time: always unless this entry drains, and
// then only if it ends before the entry must abort it, or if a part of its response has been sent.
func (x *exchange) mayBeSent(at time.Time) bool {
	plan := x.g.drainPlan.Load()
	switch {
	case plan == nil:
		return true
	case x.started:
		return plan.MayResume(at)
	}
	return plan.MaySend(at, x.deadline, x.expectedDuration())
}

// expectedDuration returns how long the request takes at most, by others of its route, or by those of the same pools
// where the route has had too few; 0 if that is not known.
func (x *exchange) expectedDuration() time.Duration {
	if expected := x.g.durations.Expected(routeDurations(x.route)); expected > 0 {
		return expected
	}
	return x.g.durations.Expected(poolDurations(x.route))
}

// observeDuration records how long a request took that was served.
func (g *Gateway) observeDuration(route *schema.Route, took time.Duration) {
	g.durations.Observe(routeDurations(route), took)
	g.durations.Observe(poolDurations(route), took)
}

func routeDurations(r *schema.Route) string { return "route/" + r.GetName() }

// poolDurations returns the kind of the streams, or of all other requests, that go to the pools of a route.
func poolDurations(r *schema.Route) string {
	kind := "pools"
	if r.GetStream() {
		kind = "streams"
	}
	for _, share := range r.GetShares() {
		kind += "/" + share.GetPool()
	}
	return kind
}

// refusedByStop refuses a request that would be sent to a server at a time and that this entry, which is
// stopping, could not finish: another entry serves it at once.
func (x *exchange) refusedByStop(sendAt time.Time) bool {
	if x.mayBeSent(sendAt) {
		return false
	}
	x.refuseForStop()
	return true
}

// refuseForStop refuses the request as this entry stops.
func (x *exchange) refuseForStop() {
	switch plan := x.g.drainPlan.Load(); {
	case plan == nil:
		x.cause = errors.New("stopping: requests are aborted")
	case x.route == nil:
		x.cause = errors.New("stopping: no configuration is awaited any more")
	default:
		x.cause = errors.Newf("stopping: requests are aborted in %v, this one may last for %v, by others of its route %v",
			time.Until(plan.AbortAt()).Round(time.Millisecond), time.Until(x.deadline).Round(time.Millisecond), x.expectedDuration().Round(time.Millisecond))
	}
	x.fail(OutcomeStopping, drain.RetryAfter)
}

// boundBodyTime bounds the time in which the body is read: up to the deadline of the request, and while this entry
// drains, up to the latest time at which it may be sent to a server. end must be called once the body was read.
func (x *exchange) boundBodyTime() (end func()) {
	if x.r.ContentLength == 0 {
		return func() {}
	}
	timer := drain.NewBodyTimer(x.w)
	timer.Bound(x.deadline)
	stop := context.AfterFunc(x.g.draining, func() {
		plan := x.g.drainPlan.Load()
		switch {
		case plan == nil:
		case x.route == nil:
			// An entry that drains awaits no configuration.
			timer.Bound(time.Now())
		default:
			timer.Bound(plan.LastSend(x.deadline, x.expectedDuration()))
		}
	})
	return func() {
		stop()
		timer.End()
	}
}
