package gateway

import (
	"math"
	"time"
)

// awaitRelease waits until a request may be sent to one of the servers that take it after a permit
// or a cooldown, or to another one. It refuses the request as soon as that is expected only after
// latest, and at its sendEnd at the latest.
func (x *exchange) awaitRelease(first choice, latest time.Time) bool {
	if !x.reserveRetry(first) {
		return false
	}
	start := time.Now()
	if first.limited != nil {
		x.requestPermit(first.limited)
		defer x.g.fleet.addPermitWaiting(first.limited, -1)
	}
	if x.info.Model != "" {
		// The leader loads the model at another server.
		x.g.demand.addWaiting(x.target(), 1)
		defer x.g.demand.addWaiting(x.target(), -1)
	}
	if first.room > 0 {
		x.g.fleet.addRoomWaiting(x.pool, 1)
		defer x.g.fleet.addRoomWaiting(x.pool, -1)
	}
	defer func() { x.waited += time.Since(start) }()
	for {
		changed, now := x.g.fleet.changes(), time.Now()
		if x.refusedByQuarantine() {
			return false
		}
		end := x.sendEnd()
		c := x.g.fleet.chooseWithin(x.pool, &x.info, x.excluded, now, x.random)
		if c.server != nil && !now.Before(end) {
			x.fail(OutcomeTimeout, defaultRetryAfter)
			return false
		}
		if c.server != nil || !c.awaitable() || (c.limited == nil) != (first.limited == nil) {
			return true
		}
		by := latest
		if end.Before(by) {
			by = end
		}
		if x.refusedByWait(c, first.limited, by, start, now) {
			return false
		}
		recheck := min(forecastRecheckInterval, end.Sub(now))
		for _, wait := range []time.Duration{c.cooldown, c.room} {
			if wait > 0 {
				recheck = min(recheck, wait)
			}
		}
		select {
		case <-changed:
		case <-time.After(recheck):
		case <-x.ctx.Done():
			x.waitEnded()
			return false
		}
	}
}

// reserveRetry takes a retry from the budget before the request waits for a server, and refuses it if
// none is left: it would be refused after its wait otherwise. A resumed stream takes its retry once it
// has a server.
func (x *exchange) reserveRetry(c choice) bool {
	if x.attempts == 0 || x.retryReserved || x.started {
		return true
	}
	x.retryReserved = x.g.retryBudget(x.pool).withdraw(time.Now(), x.g.sharingEntries())
	if !x.retryReserved {
		retryAfter := defaultRetryAfter
		if c.limited == nil {
			retryAfter = max(retryAfter, c.availableIn())
		}
		x.fail(OutcomeBudget, retryAfter)
	}
	return x.retryReserved
}

// lastSendTime returns until when a server can respond to a request in time that has had no
// response.
func (x *exchange) lastSendTime() time.Time {
	if x.info.Model != "" {
		return x.firstByteDeadline().Add(-firstEventLatency)
	}
	return x.firstByteDeadline().Add(-x.g.latency(x.pool).queueTime(1))
}

// sendEnd returns from when on a request is known not to be served in time: it would run in vain, and its
// caller would not learn when to come again. It changes with the responses to other requests.
func (x *exchange) sendEnd() time.Time {
	if x.info.Model != "" || x.started {
		return x.deadline
	}
	return x.deadline.Add(-x.g.latency(x.pool).shortest())
}

// refusedByWait refuses a request for which a permit, or the end of a cooldown, is expected too
// late. limited is the server with a limit for which it waits, nil for none.
func (x *exchange) refusedByWait(c choice, limited *server, latest, start, now time.Time) bool {
	wait, outcome := c.cooldown, OutcomeServerCooldown
	if c.room > 0 {
		if roomWait := x.g.fleet.roomWaitTime(x.pool, c); c.cooldown == 0 || roomWait < wait {
			wait, outcome = roomWait, OutcomeBusy
		}
	}
	if limited != nil {
		if permitWait := x.g.fleet.permitWaitTime(limited, now); wait == 0 || permitWait < wait {
			wait, outcome = permitWait, OutcomeServerLimit
		}
	} else if x.info.Model != "" && !now.Add(wait).Before(latest) {
		loadWait, known := x.loadElsewhere(start, now)
		if !known {
			return false
		}
		wait = min(wait, loadWait)
	}
	if x.refusedByStop(now.Add(wait)) {
		return true
	}
	if now.Add(wait).Before(latest) {
		return false
	}
	x.fail(outcome, max(wait, defaultRetryAfter))
	return true
}

const (
	// maxLoadForecastWait is how long a request whose engines all have asked for a cooldown waits for
	// the leader to know of it and to forecast a load elsewhere: a report takes up to 300 ms, and the
	// next forecast 100 ms.
	maxLoadForecastWait = 400 * time.Millisecond
	// loadedForecast is the forecast from which a model counts as loaded, at an engine that takes no
	// requests of this entry.
	loadedForecast = 100 * time.Millisecond
)

// loadElsewhere returns the time until the leader expects the request's model to be loaded at an
// engine that takes requests, or the longest time if it expects none. known is false as long as a
// forecast that includes the cooldowns may still arrive.
func (x *exchange) loadElsewhere(start, now time.Time) (wait time.Duration, known bool) {
	forecast, received := x.g.demand.forecast(x.target(), x.startTime)
	switch {
	case received && forecast.ready.IsZero():
		return math.MaxInt64, true
	case received && forecast.ready.Sub(now) > loadedForecast:
		return forecast.ready.Sub(now), true
	case now.Sub(start) < maxLoadForecastWait && x.g.connected():
		return 0, false
	}
	return math.MaxInt64, true
}
