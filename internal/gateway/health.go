package gateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"fennelyard/internal/elapsed"
	"fennelyard/internal/relay"
	"fennelyard/internal/roster"
)

const (
	// healthTick is how often this entry looks for servers to check while it holds no lease, and healthInterval the least
	// time between two health checks of a server.
	healthTick     = 100 * time.Millisecond
	healthInterval = 500 * time.Millisecond
	// maxChecksPerSecond bounds the health checks that all entries together send to a server. They all lose their leases
	// when there is no leader.
	maxChecksPerSecond = 20.0
	// limitedInterval is the least time between two health checks of a server with a request limit: each takes a
	// permit, and most are for requests.
	limitedInterval = 2 * time.Second
	// healthValidity is how long requests are sent to a server after the end of the lease or a health check. A departure
	// is acknowledged after the end of the lease, and the server serves for two seconds more.
	healthValidity = 1500 * time.Millisecond
	// healthUse is how long a server is checked after a request could have been sent to it.
	healthUse = 5 * time.Second
	// maxHealthChecks bounds the health checks in progress.
	maxHealthChecks = 32
)

// leaseAge returns the time since the end of the lease of the leader's view of the servers, negative while it runs. The
// caller holds mu.
func (f *fleet) leaseAge() time.Duration { return elapsed.Since(f.confirmedAt()) - roster.LeaseTime }

// serverHealth is what a server has reported in health checks; the zero value is nothing.
type serverHealth struct {
	// readyAt and notReadyAt are when the checks were sent in which it last reported that it takes new work, or that it
	// does not.
	readyAt, notReadyAt time.Time
	// wantedAt is when a request could last have been sent to it without a lease, and nextCheck when it may be checked
	// next.
	wantedAt, nextCheck time.Time
}

// notReady reports whether the server has last reported that it takes no new work, not longer ago than it is checked.
func (h *serverHealth) notReady(now time.Time) bool {
	return h.notReadyAt.After(h.readyAt) && now.Sub(h.notReadyAt) < healthUse
}

// mayTakeWork reports whether a request may be sent to a server that is ready in the leader's view: under a lease, or
// as the server itself has not reported otherwise. The caller holds mu.
func (f *fleet) mayTakeWork(s *server) bool {
	return f.leaseAge() < 0 || !s.health.notReady(time.Now())
}

// byHealth removes, while this entry holds no lease, the servers that report that they take no new work, and those that
// have not reported lately that they do, unless no other is left: one that is full may not respond in time. The caller
// holds mu.
func (f *fleet) byHealth(servers []*server, now time.Time) []*server {
	age := f.leaseAge()
	if age < 0 {
		return servers
	}
	for _, s := range servers {
		s.health.wantedAt = now
	}
	servers = slices.DeleteFunc(servers, func(s *server) bool { return s.health.notReady(now) })
	if age < healthValidity {
		return servers
	}
	ready := slices.DeleteFunc(slices.Clone(servers), func(s *server) bool { return now.Sub(s.health.readyAt) > healthValidity })
	if len(ready) > 0 {
		return ready
	}
	return servers
}

// checkInterval returns the time between two health checks of a server; the caller holds mu.
func (f *fleet) checkInterval(s *server, now time.Time) time.Duration {
	interval := max(healthInterval, time.Duration(float64(f.sharingEntries())/maxChecksPerSecond*float64(time.Second)))
	if s.permits.Limit(now) != nil {
		interval = max(interval, limitedInterval)
	}
	return interval
}

// checkDue reports whether a server is to be checked now. Where entries are many, they send their first checks at
// random times; the caller holds mu.
func (f *fleet) checkDue(s *server, now time.Time) bool {
	interval := f.checkInterval(s, now)
	if now.Sub(s.health.nextCheck) > interval {
		// It has not been checked lately.
		s.health.nextCheck = now.Add(time.Duration(rand.Float64() * float64(interval-healthInterval)))
	}
	return !now.Before(s.health.nextCheck)
}

// admitCheck takes what a health check needs at a server, like admit, and returns false if none may be sent now. After
// true, checkEnded must follow. The caller holds mu.
func (f *fleet) admitCheck(s *server, now time.Time) bool {
	r := f.roomAt(s.view.GetPool(), int(s.view.GetSlots()), &RequestInfo{}, now)
	if s.roomIn(r, now) > 0 || f.cooldowns.AvailableIn(s.id, now) > 0 || s.permits.Waiting() > 0 ||
		!s.permits.Take(f.permitSource(), now) || !f.cooldowns.Admit(s.id, now) {
		return false
	}
	s.reserved++
	s.takeTurn(r, now)
	s.health.nextCheck = now.Add(f.checkInterval(s, now))
	return true
}

// checkEnded returns the place that a health check has taken.
func (f *fleet) checkEnded(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.reserved--
}

// serversToCheck returns up to limit servers of the pools with health checks whose health is to be checked now. checkEnded
// must follow for each.
func (f *fleet) serversToCheck(limit int, hasChecks func(pool string) bool, now time.Time) []*server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*server
	for _, s := range f.servers {
		// A server that runs requests from before the end of the lease is checked from then on.
		used := s.running > 0 || now.Sub(s.health.wantedAt) < healthUse
		if len(out) < limit && used && s.ready() && hasChecks(s.pool) && f.checkDue(s, now) && f.admitCheck(s, now) {
			out = append(out, s)
		}
	}
	return out
}

// recordHealth records the result of a health check that was sent at a time, and reports whether it differs from the
// one before.
func (f *fleet) recordHealth(s *server, ready bool, sentAt time.Time) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	before := s.health.notReady(now)
	if ready {
		s.health.readyAt = sentAt
	} else {
		s.health.notReadyAt = sentAt
	}
	f.notifyChanged()
	return s.health.notReady(now) != before
}

// holdsLease reports whether this entry may rely on the leader's view of the servers.
func (g *Gateway) holdsLease() bool { return g.subscriber.confirmationAge() < roster.LeaseTime }

// checkHealth sends health checks to the servers in use while this entry holds no lease: an entry that is cut off from
// all control hosts serves on, and would never learn that a server leaves.
func (g *Gateway) checkHealth() {
	places := make(chan struct{}, maxHealthChecks)
	for leased := true; ; {
		wait := healthTick
		if leased {
			wait = max(wait, roster.LeaseTime-g.subscriber.confirmationAge())
		}
		select {
		case <-g.stop:
			return
		case <-time.After(wait):
		}
		if g.table.Load() == nil {
			continue
		}
		if held := g.holdsLease(); held != leased {
			leased = held
			g.cfg.Log.Info("lease of the leader's view", "held", held, "confirmed-age-ms", g.subscriber.confirmationAge().Milliseconds(), "host", g.subscriber.currentHost())
		}
		if leased {
			continue
		}
		hasChecks := func(pool string) bool { return g.table.Load().pools[pool].GetHealthPath() != "" }
		for _, s := range g.fleet.serversToCheck(maxHealthChecks-len(places), hasChecks, time.Now()) {
			places <- struct{}{}
			g.goUnlessClosed(func() {
				defer func() { <-places }()
				defer g.fleet.checkEnded(s)
				g.checkServer(s)
			})
		}
	}
}

// checkServer sends a health check to a server.
func (g *Gateway) checkServer(s *server) {
	sentAt := time.Now()
	reported, ready := false, false
	g.sendHealthCheck(s, g.table.Load().pools[s.pool].GetHealthPath(), func(status int, header http.Header) bool {
		info := g.cfg.Codec.ParseResponse(status, header)
		if info.NotRun {
			g.fleet.rejectedForRoom(s, time.Now())
		}
		reported, ready = s.parseHealth(status, g.cfg.Codec.ParseIdentity(header), info)
		return ready
	})
	if reported && g.fleet.recordHealth(s, ready, sentAt) {
		g.cfg.Log.Info("server health without a lease", "server", s.id, "ready", ready, "took-ms", time.Since(sentAt).Milliseconds())
	}
}

// parseHealth returns whether a response to a health check, which names a server, reports anything on this one, and whether
// it takes new work. One that has no room rejects the check, and reports nothing by that.
func (s *server) parseHealth(status int, named string, info ResponseInfo) (reported, ready bool) {
	switch {
	case info.Misdirected || named != "" && named != s.server:
		// Another process has the address.
		return true, false
	case info.NotRun:
		return false, false
	case status == http.StatusServiceUnavailable:
		return true, false
	}
	ready = status == http.StatusOK && named == s.server && !info.Leaving
	return ready || info.Leaving, ready
}

// sendHealthCheck sends a health check to a server that no other server accepts.
func (g *Gateway) sendHealthCheck(s *server, healthPath string, confirms func(status int, header http.Header) bool) relay.Presence {
	h := http.Header{}
	g.cfg.Codec.SetForwardHeader(h, ForwardInfo{Server: s.server, Timeout: relay.IdentifyTimeout})
	return g.cfg.Sender.Identify(g.aborted, s.address, &relay.Request{
		Method: http.MethodGet, Target: healthPath, Host: s.address, Header: h,
		MatchesResponse: func(http.Header) bool { return true },
	}, confirms)
}
