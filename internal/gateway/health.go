package gateway

import (
	"net/http"
	"slices"
	"time"

	"fennelyard/internal/elapsed"
	"fennelyard/internal/relay"
	"fennelyard/internal/roster"
)

const (
	// healthTick is how often this entry looks for servers to ask while it holds no lease, and healthInterval the time
	// between two health checks of a server.
	healthTick     = 100 * time.Millisecond
	healthInterval = 500 * time.Millisecond
	// healthValidity is how long the end of the lease or a health check lets requests be sent to a server. Departures
	// are acknowledged after the end of the lease, and servers serve for two seconds after it.
	healthValidity = 1500 * time.Millisecond
	// healthUse is how long a server is asked after a request could have been sent to it.
	healthUse = 5 * time.Second
	// maxHealthChecks bounds the health checks in progress.
	maxHealthChecks = 32
)

// leaseAge returns the time since the end of the lease of the leader's view of the servers, negative while it runs. The
// caller holds mu.
func (f *fleet) leaseAge() time.Duration { return elapsed.Since(f.confirmedAt()) - roster.LeaseTime }

// ownWord is what a server has said of itself by health checks; the zero value is nothing.
type ownWord struct {
	// takesWorkAt and refusesAt are when it last said that it takes new work, or that it does not.
	takesWorkAt, refusesAt time.Time
	// wantedAt is when a request could last have been sent to it without a lease, and askedAt when it was asked.
	wantedAt, askedAt time.Time
}

// refuses reports whether the server has last said that it takes no new work.
func (w *ownWord) refuses() bool { return w.refusesAt.After(w.takesWorkAt) }

// mayTakeWork reports whether a request may be sent to a server by the leader's view or, without a lease, as the server
// itself has not said otherwise; the caller holds mu.
func (f *fleet) mayTakeWork(s *server) bool { return f.leaseAge() < 0 || !s.word.refuses() }

// byOwnWord removes, while this entry holds no lease, the servers that say that they take no new work, and those that
// have not said lately that they do, unless no other is left: one that is full may not respond in time. The caller
// holds mu.
func (f *fleet) byOwnWord(servers []*server, now time.Time) []*server {
	age := f.leaseAge()
	if age < 0 {
		return servers
	}
	for _, s := range servers {
		s.word.wantedAt = now
	}
	servers = slices.DeleteFunc(servers, func(s *server) bool { return s.word.refuses() })
	if age < healthValidity {
		return servers
	}
	spoken := slices.DeleteFunc(slices.Clone(servers), func(s *server) bool { return now.Sub(s.word.takesWorkAt) > healthValidity })
	if len(spoken) > 0 {
		return spoken
	}
	return servers
}

// serversToAsk returns up to limit servers whose health is to be checked now.
func (f *fleet) serversToAsk(limit int, now time.Time) []*server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*server
	for _, s := range f.servers {
		// A server that this entry used under its lease is asked from the end of the lease on.
		used := s.running > 0 || now.Sub(s.word.wantedAt) < healthUse
		if len(out) < limit && used && s.ready() && now.Sub(s.word.askedAt) >= healthInterval && f.cooldowns.Remaining(s.id, now) == 0 {
			s.word.askedAt = now
			out = append(out, s)
		}
	}
	return out
}

// recordOwnWord records the result of a health check that was sent at a time, and reports whether the server says
// something else than before.
func (f *fleet) recordOwnWord(s *server, takesWork bool, sentAt time.Time) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	refused := s.word.refuses()
	if takesWork {
		s.word.takesWorkAt = sentAt
	} else {
		s.word.refusesAt = sentAt
	}
	f.notifyChanged()
	return s.word.refuses() != refused
}

// holdsLease reports whether this entry may rely on the leader's view of the servers.
func (g *Gateway) holdsLease() bool { return g.subscriber.confirmationAge() < roster.LeaseTime }

// checkHealth asks the servers in use for their health while this entry holds no lease: an entry that is cut off from
// all control hosts serves on, and would never learn that a server leaves.
func (g *Gateway) checkHealth() {
	ticker := time.NewTicker(healthTick)
	defer ticker.Stop()
	places := make(chan struct{}, maxHealthChecks)
	for leased := true; ; {
		select {
		case <-g.stop:
			return
		case <-ticker.C:
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
		for _, s := range g.fleet.serversToAsk(maxHealthChecks-len(places), time.Now()) {
			places <- struct{}{}
			g.goUnlessClosed(func() {
				defer func() { <-places }()
				g.askForHealth(s)
			})
		}
	}
}

// askForHealth sends a health check to a server. One that rejects it for want of room says nothing.
func (g *Gateway) askForHealth(s *server) {
	healthPath := g.table.Load().pools[s.pool()].GetHealthPath()
	if healthPath == "" {
		return
	}
	sentAt := time.Now()
	spoken, takesWork := false, false
	g.askServer(s, healthPath, func(status int, header http.Header) bool {
		named, info := g.cfg.Codec.ParseIdentity(header), g.cfg.Codec.ParseResponse(status, header)
		takesWork = status == http.StatusOK && named == s.server && !info.Leaving
		spoken = takesWork || !info.NotRun || info.Misdirected
		return takesWork
	})
	if spoken && g.fleet.recordOwnWord(s, takesWork, sentAt) {
		g.cfg.Log.Info("server says whether it takes new work", "server", s.id, "takes", takesWork, "took-ms", time.Since(sentAt).Milliseconds())
	}
}

// askServer sends a health check to a server that no other server accepts.
func (g *Gateway) askServer(s *server, healthPath string, confirms func(status int, header http.Header) bool) relay.Presence {
	h := http.Header{}
	g.cfg.Codec.SetForwardHeader(h, ForwardInfo{Server: s.server, Timeout: relay.IdentifyTimeout})
	return g.cfg.Sender.Identify(g.aborted, s.address, &relay.Request{
		Method: http.MethodGet, Target: healthPath, Host: s.address, Header: h,
		MatchesResponse: func(http.Header) bool { return true },
	}, confirms)
}
