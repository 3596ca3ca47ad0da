package gateway

import (
	"time"

	"fennelyard/internal/ratelimit"
)

// statementsReceived applies what the response to a request that was sent at sentAt states about
// its server, where stamp is what was known of the server's limit then.
func (x *exchange) statementsReceived(s *server, responseInfo ResponseInfo, stamp ratelimit.Stamp, sentAt time.Time) {
	x.limitStated(s, responseInfo, stamp)
	x.rejectionLimitStated(s, responseInfo)
	x.cooldownStated(s, responseInfo, sentAt)
	if responseInfo.Leaving {
		x.serverLeaves(s, sentAt)
	}
}

// cooldownStated applies the time for which a response asks this entry to send its server nothing.
func (x *exchange) cooldownStated(s *server, responseInfo ResponseInfo, sentAt time.Time) {
	stated := responseInfo.Cooldown
	x.statedCooldown = stated.Wait
	if stated.Unreadable {
		x.g.cfg.Log.Info("server cooldown not read", "server", s.id, "request", x.info.ID)
	}
	if stated.Wait == 0 {
		if x.g.fleet.serverResponded(s, sentAt) {
			x.g.cfg.Log.Info("server takes requests again", "server", s.id, "request", x.info.ID)
		}
		return
	}
	until := x.g.fleet.observeCooldown(s, stated.Wait, sentAt)
	x.g.cfg.Log.Info("server states a cooldown", "server", s.id, "for-ms", stated.Wait.Milliseconds(),
		"no-request-for-ms", time.Until(until).Milliseconds(), "request", x.info.ID)
	if x.via != "" {
		x.g.cfg.StateCooldown(x.via, s.id, stated.Wait)
	}
}

// replaceRetryAfter replaces the time that a server has asked this entry to wait, in the response that
// is forwarded to the caller: for the caller, other servers count as well.
func (x *exchange) replaceRetryAfter() {
	c := x.g.fleet.chooseWithin(x.pool, &x.info, nil, time.Now(), x.random)
	wait := max(x.g.latency(x.pool).retryAfter(), c.availableIn())
	if c.server != nil {
		wait = x.g.latency(x.pool).retryAfter()
	}
	x.w.Header().Set(headerRetryAfter, formatSeconds(wait))
}

// observeCooldown records a cooldown that the response to a request stated, and returns its end.
func (f *fleet) observeCooldown(s *server, wait time.Duration, sentAt time.Time) time.Time {
	return f.cooldowns.Observe(s.id, wait, sentAt, time.Now())
}

// serverResponded records a response without a cooldown. It reports whether the server was known to
// take only one request at a time after its cooldown.
func (f *fleet) serverResponded(s *server, sentAt time.Time) bool {
	if !f.cooldowns.Responded(s.id, sentAt) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notifyChanged()
	return true
}

// maySend reports whether a request that was admitted may still be sent: a response of the server
// may have arrived since, or an update of the leader.
func (f *fleet) maySend(s *server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.takesRequests(s) && f.cooldowns.Remaining(s.id, time.Now()) == 0
}

// takesRequests reports whether a server is still known, and takes new work; the caller holds mu.
func (f *fleet) takesRequests(s *server) bool {
	return f.servers[s.id] == s && s.ready() && f.mayTakeWork(s)
}
