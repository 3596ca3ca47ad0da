package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/relay"
)

const (
	// endCheckCount is how often a server is asked after the end of a response, and endCheckInterval the time between:
	// a process that is being ended may close its connections before its port, and respond in between, and one
	// that starts again may do so within the interval.
	endCheckCount    = 2
	endCheckInterval = 100 * time.Millisecond
)

// timedOut reports whether the request has ended, or its server may have stopped working on it at the deadline.
func (x *exchange) timedOut() bool {
	return x.ctx.Err() != nil || !time.Now().Before(relay.StopTime(x.deadline))
}

// verifyEnd reports whether the process that sent the response to a request of sentAt still runs once its connection
// was closed. A server that wants nothing from this entry is not asked.
func (x *exchange) verifyEnd(s *server, sentAt time.Time) relay.Presence {
	start := time.Now()
	presence := x.checkEnd(s)
	for n := 1; n < endCheckCount && presence == relay.PresenceConfirmed; n++ {
		select {
		case <-time.After(endCheckInterval):
			presence = x.checkEnd(s)
		case <-x.ctx.Done():
			presence = relay.PresenceSilent
		}
	}
	if presence == relay.PresenceConfirmed && x.g.fleet.startedAgain(s, sentAt) {
		presence = relay.PresenceReplaced
	}
	x.g.cfg.Log.Info("response ended with its connection", "server", s.id, "request", x.info.ID, "via", x.via, "answers", presence.String(),
		"took-ms", time.Since(start).Milliseconds(), "left-ms", time.Until(x.deadline).Milliseconds())
	if x.g.cfg.OnConnectionEnd != nil {
		x.g.cfg.OnConnectionEnd(presence)
	}
	return presence
}

// checkEnd asks a server once.
func (x *exchange) checkEnd(s *server) relay.Presence {
	healthPath := x.table.pools[x.pool].GetHealthPath()
	if healthPath == "" || x.g.fleet.cooldowns.Remaining(s.id, time.Now()) > 0 {
		return relay.PresenceNotProbed
	}
	return x.g.endChecks.run(x.ctx, s.id, func() relay.Presence { return x.g.identify(s, healthPath) })
}

// identify sends a health check to a server that no other server accepts. A server that rejects it for want of room
// need not name itself.
func (g *Gateway) identify(s *server, healthPath string) relay.Presence {
	return g.sendHealthCheck(s, healthPath, func(status int, header http.Header) bool {
		named, info := g.cfg.Codec.ParseIdentity(header), g.cfg.Codec.ParseResponse(status, header)
		return named == s.server || named == "" && info.NotRun && !info.Misdirected
	})
}

// startedAgain reports whether a server is known to have started again under its ID after a request of sentAt was
// sent to it: only its ID is stated in a health check.
func (f *fleet) startedAgain(s *server, sentAt time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.servers[s.id] != nil || f.incarnations[s.server] == 0 {
		return false
	}
	for key := range f.servers {
		if incarnation.ServerOf(key) == s.server && !incarnation.MayHaveReceived(key, s.id, sentAt) {
			return true
		}
	}
	return false
}

// endChecks are the health checks of servers after ends of their responses. Responses that end at the same time share
// a check that starts after all of them: many checks at once would wait for each other at a server.
type endChecks struct {
	// start runs a function in a goroutine.
	start func(func())

	mu sync.Mutex
	// running and next are the present check of a server and the one after it, by its incarnation; guarded by mu.
	running, next map[string]*endCheck
}

// endCheck is a check of one server.
type endCheck struct {
	check func() relay.Presence
	// done is closed once presence is set.
	done     chan struct{}
	presence relay.Presence
}

func newEndChecks(start func(func())) *endChecks {
	return &endChecks{start: start, running: map[string]*endCheck{}, next: map[string]*endCheck{}}
}

// run returns the result of a check of a server that starts after the call of run, or PresenceSilent if ctx ends
// before.
func (c *endChecks) run(ctx context.Context, server string, check func() relay.Presence) relay.Presence {
	own := c.join(server, check)
	select {
	case <-own.done:
		return own.presence
	case <-ctx.Done():
		return relay.PresenceSilent
	}
}

// join returns the next check of a server, and starts it if none is running.
func (c *endChecks) join(server string, check func() relay.Presence) *endCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next := c.next[server]; next != nil {
		return next
	}
	own := &endCheck{check: check, done: make(chan struct{})}
	if c.running[server] != nil {
		c.next[server] = own
		return own
	}
	c.running[server] = own
	c.start(func() { c.runAll(server, own) })
	return own
}

// runAll runs a check of a server, and those that are joined meanwhile.
func (c *endChecks) runAll(server string, running *endCheck) {
	for running != nil {
		running.presence = running.check()
		close(running.done)
		c.mu.Lock()
		next := c.next[server]
		delete(c.next, server)
		if next == nil {
			delete(c.running, server)
		} else {
			c.running[server] = next
		}
		c.mu.Unlock()
		running = next
	}
}
