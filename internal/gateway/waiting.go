package gateway

import (
	"slices"
	"sync"
	"time"

	"fennelyard/internal/drain"
)

const (
	// maxWaitWithoutForecast is how long a request waits for a model without a forecast of the
	// leader: an update takes milliseconds while there is a leader, and a new leader is elected
	// within two seconds.
	maxWaitWithoutForecast = 2 * time.Second
	// firstEventLatency is the time that an engine needs from the end of a load to the first event
	// of a long prompt without any cached part.
	firstEventLatency = 300 * time.Millisecond
	// forecastRecheckInterval is how often a waiting request checks the leader's forecast again.
	forecastRecheckInterval = 50 * time.Millisecond
)

// findServer waits for a server that can serve the request.
func (x *exchange) findServer() bool {
	for missed := false; ; {
		changed := x.g.fleet.changes()
		now := time.Now()
		if !x.hasBoundServers() {
			return false
		}
		c := x.g.fleet.chooseWithin(x.pool, &x.info, x.excluded, now, x.random)
		if c.limited != nil && !missed {
			missed = true
			x.g.fleet.permitMissed(c.limited)
		}
		if x.server = c.server; x.server != nil {
			if x.info.Model == "" && !x.fitsDeadline() {
				return false
			}
			return !x.refusedByBacklog()
		}
		if c.awaitable() {
			if !x.awaitRelease(c, x.lastSendTime()) {
				return false
			}
			continue
		}
		if x.g.fleet.allFull(x.pool, &x.info, x.excluded, now) {
			x.fail(OutcomeBusy, x.g.latency(x.pool).retryAfter())
			return false
		}
		if x.info.Model == "" {
			x.fail(OutcomeNoServer, defaultRetryAfter)
			return false
		}
		if !x.awaitServer(changed) {
			return false
		}
	}
}

// awaitServer waits for a change that may make the model available. It refuses the request as
// soon as the leader's forecast shows that the model will not be loaded in time.
func (x *exchange) awaitServer(changed <-chan struct{}) bool {
	t := x.target()
	start := time.Now()
	x.g.demand.addWaiting(t, 1)
	defer func() {
		x.g.demand.addWaiting(t, -1)
		x.waited += time.Since(start)
	}()
	timer := time.NewTimer(forecastRecheckInterval)
	defer timer.Stop()
	for {
		if outcome, retryAfter, unservable := x.unservable(t, time.Now()); unservable {
			if outcome == OutcomeStopping {
				x.refuseForStop()
			} else {
				x.fail(outcome, retryAfter)
			}
			return false
		}
		select {
		case <-changed:
			return true
		case <-timer.C:
			timer.Reset(forecastRecheckInterval)
			if x.g.fleet.choose(x.pool, &x.info, x.excluded, time.Now(), x.random) != nil {
				return true
			}
		case <-x.ctx.Done():
			x.waitEnded()
			return false
		}
	}
}

// waitEnded responds to a request that cannot wait any longer.
func (x *exchange) waitEnded() {
	switch {
	case x.r.Context().Err() != nil:
		x.fail(OutcomeCallerGone, 0)
	case x.g.aborted.Err() != nil:
		x.refuseForStop()
	default:
		x.fail(OutcomeTimeout, defaultRetryAfter)
	}
}

// unservable reports whether a request for a model that no server has loaded cannot be served
// in time, with its outcome and its Retry-After.
func (x *exchange) unservable(t target, now time.Time) (outcome Outcome, retryAfter time.Duration, unservable bool) {
	if remaining, quarantined := x.heldBack(); quarantined {
		return OutcomeHeldBack, remaining, true
	}
	forecast, known := x.g.demand.forecast(t, x.startTime)
	expected := known && !forecast.ready.IsZero()
	sendAt := now
	if expected && forecast.ready.After(now) {
		sendAt = forecast.ready
	}
	if !x.mayBeSent(sendAt) {
		return OutcomeStopping, drain.RetryAfter, true
	}
	if !expected {
		return OutcomeNoModel, defaultRetryAfter, now.Sub(x.startTime) > maxWaitWithoutForecast
	}
	return OutcomeNoModel, max(forecast.ready.Sub(now), defaultRetryAfter), forecast.ready.Add(firstEventLatency).After(x.firstByteDeadline())
}

const (
	// Callers disconnect from a stream whose next event does not arrive within the longest of
	// these: a fixed time, a multiple of the route's aim, and a multiple of the route's longest
	// pause that is still on time.
	minCallerTimeout  = 2 * time.Second
	callerTimeoutAims = 4
	callerTimeoutGaps = 8
)

// firstByteDeadline returns until when a caller waits for the first byte of a response.
func (x *exchange) firstByteDeadline() time.Time {
	if !x.route.GetStream() {
		return x.deadline
	}
	return x.beforeDeadline(x.startTime.Add(x.callerTimeout()))
}

// callerTimeout returns how long a caller waits for the next event of a stream.
func (x *exchange) callerTimeout() time.Duration {
	return max(minCallerTimeout, time.Duration(callerTimeoutAims*x.route.GetAimMs())*time.Millisecond,
		time.Duration(callerTimeoutGaps*x.route.GetGapMs())*time.Millisecond)
}

// beforeDeadline returns a time, or the request's deadline if that is earlier.
func (x *exchange) beforeDeadline(at time.Time) time.Time {
	if at.Before(x.deadline) {
		return at
	}
	return x.deadline
}

// latency estimates how long a plain pool's servers take for a request. It is safe for
// concurrent use.
type latency struct {
	mu sync.Mutex
	// mean is the moving average of the time from dispatch to response.
	mean time.Duration
	// recent are the last such times, and observed is the number of all.
	recent   [recentLatencies]time.Duration
	observed int
}

// latencySamples is the number of requests over which the mean is averaged: about a second of
// an entry's requests to a plain service.
const latencySamples = 10

// recentLatencies is the number of requests whose shortest time hardly any other request falls short of.
const recentLatencies = 64

func (l *latency) observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mean == 0 {
		l.mean = took
	}
	l.mean += (took - l.mean) / latencySamples
	l.recent[l.observed%recentLatencies] = took
	l.observed++
}

// shortest returns the shortest time that a request has taken lately, 0 if there was none.
func (l *latency) shortest() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observed == 0 {
		return 0
	}
	return slices.Min(l.recent[:min(l.observed, recentLatencies)])
}

// retryAfter returns the Retry-After of a refused request: by then the current requests should
// have been served.
func (l *latency) retryAfter() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.mean*2, 100*time.Millisecond)
}

// queueTime returns the expected time of a request with this many others ahead of it per slot.
func (l *latency) queueTime(perSlot float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(l.mean) * perSlot)
}

// fitsDeadline reports whether a request to a plain service can be served before its deadline,
// by the load of this entry taken as its share of the load of all entries. Otherwise it refuses
// the request at once, as the request would only lengthen a queue that is served too late.
func (x *exchange) fitsDeadline() bool {
	running, slots := x.g.fleet.poolUsage(x.pool)
	if slots == 0 {
		return true
	}
	perSlot := float64(running*max(x.g.entryCount(), 1)) / float64(slots)
	if perSlot < 1 || x.g.latency(x.pool).queueTime(perSlot) < time.Until(x.deadline) {
		return true
	}
	x.fail(OutcomeBusy, x.g.latency(x.pool).retryAfter())
	return false
}

// poolUsage returns this entry's requests at a pool and the pool's slots, without the servers that
// have asked for a cooldown.
func (f *fleet) poolUsage(pool string) (running, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, s := range f.servers {
		if s.view.GetPool() == pool && s.ready() && f.cooldowns.Remaining(s.id, now) == 0 {
			running += s.running
			slots += int(s.view.GetSlots())
		}
	}
	return running, slots
}
