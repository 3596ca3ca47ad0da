package gateway

import "time"

// minBacklogShare is the share of its aim that a long prompt may always wait for the prefill of
// others, however long its own prefill takes: an engine that serves the model at all should be
// able to start within half of the aim.
const minBacklogShare = 0.5

// backlog is what a request would wait for at an engine.
type backlog struct {
	// queued is the engine's prefill time before the request's prompt, own the prefill time of the
	// prompt itself.
	queued, own time.Duration
	// waits is set if the prompt waits for the queued prefill: engines process short prompts
	// between the chunks of long ones.
	waits bool
}

func (f *fleet) backlog(s *server, info *RequestInfo) backlog {
	f.mu.Lock()
	defer f.mu.Unlock()
	stats := f.poolStats(s.view.GetPool())
	return backlog{queued: stats.prefillTime(max(s.pendingPrefill, 0) + s.others.pendingPrefill), own: stats.prefillTime(s.uncached(info)), waits: stats.isLong(info)}
}

// exceeds reports whether the first event of a request on a route with this aim would be late,
// so that the request should not be sent. Callers disconnect after some multiple of the aim.
// Without this limit the pending prefill at the busiest engines grew to ten seconds: nearly all
// of it was for callers that had disconnected or were about to, and every second request of the
// model failed. With 1.5 times the demand that three engines can process and no limit, 27 of
// 378 requests were served in time and 164 late; TestBacklogRefusalUnderOverload checks the
// result with the limit.
func (b backlog) exceeds(aim time.Duration) bool {
	minimum := time.Duration(minBacklogShare * float64(aim))
	return aim > 0 && b.waits && b.queued > max(aim-b.own, minimum)
}

// refusedByBacklog refuses a request at once if its engine, the best one available, has so
// much pending prefill that the response would be late or never start; the request would also
// delay those behind it. The Retry-After is the time until the queued prefill should have shrunk
// to half of the aim, about half of what a request may wait for, plus a random delay, so that
// the callers don't all return at the same time.
func (x *exchange) refusedByBacklog() bool {
	if x.info.Model == "" || x.runs > 0 {
		return false
	}
	aim := time.Duration(x.route.GetAimMs()) * time.Millisecond
	b := x.g.fleet.backlog(x.server, &x.info)
	if !b.exceeds(aim) {
		return false
	}
	spread := time.Duration(x.random(int(aim/time.Millisecond))) * time.Millisecond
	x.fail(OutcomeBusy, b.queued-aim/2+spread)
	return true
}
