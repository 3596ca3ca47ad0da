package quarantine

import (
	"slices"
	"time"

	"fennelyard/internal/relay"
)

// lookDelays are the times after which a server is looked at that still ran when an attempt at it ended:
// some crash as they begin to respond, others as they generate.
var lookDelays = [...]time.Duration{150 * time.Millisecond, 500 * time.Millisecond, 1300 * time.Millisecond}

const (
	// abandonedWindow is how long after the end of an attempt the end of its server is still blamed on
	// what it ran.
	abandonedWindow = 3 * time.Second
	// looksPerSecond and lookBurst limit the looks of a host: while many callers leave early, each costs
	// a server a connection.
	looksPerSecond = 2.0
	lookBurst      = 10
)

// abandonedAttempt is what an attempt ran that ended while its server still ran: the caller left, its
// time was over, or the connection broke.
type abandonedAttempt struct {
	at      time.Time
	accused []Accusation
}

// lookLimit is a token bucket. Its fields are guarded by the prober's mutex.
type lookLimit struct {
	tokens     float64
	lastRefill time.Time
}

// take takes a token, and reports whether there was one.
func (l *lookLimit) take(now time.Time) bool {
	l.tokens = min(l.tokens+looksPerSecond*now.Sub(l.lastRefill).Seconds(), lookBurst)
	l.lastRefill = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// AttemptAbandoned records that an attempt ended while its server may still run what it got. The server is
// looked at a little later, within looksPerSecond; if it is found ended by then, in whichever way, what the
// attempt ran is accused.
func (p *ServerProber) AttemptAbandoned(server, address string, accused ...Accusation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.expire(now)
	probe := p.getOrAdd(server, address, now)
	if probe.ended {
		p.report(probe, now, accused)
		return
	}
	p.abandon(probe, now, accused)
}

// abandon records what an attempt ran that ended at a time, and schedules looks at the server; the caller
// holds mu.
func (p *ServerProber) abandon(probe *serverProbe, at time.Time, accused []Accusation) {
	probe.abandoned = slices.DeleteFunc(probe.abandoned, func(a abandonedAttempt) bool { return at.Sub(a.at) > abandonedWindow })
	kept := 0
	for _, a := range probe.abandoned {
		kept += len(a.accused)
	}
	if kept+len(accused) > maxAccusedPerProbe {
		return
	}
	probe.abandoned = append(probe.abandoned, abandonedAttempt{at, accused})
	for i, delay := range lookDelays {
		if !probe.lookScheduled[i] {
			probe.lookScheduled[i] = true
			time.AfterFunc(delay, func() { p.look(probe, i) })
		}
	}
}

// look queues a probe of a server at which attempts were abandoned; i is the index of its delay.
func (p *ServerProber) look(probe *serverProbe, i int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	probe.lookScheduled[i] = false
	if p.ctx.Err() != nil || probe.pending || probe.ended || !probe.hasAbandoned(time.Now()) || !p.looks.take(time.Now()) {
		return
	}
	p.enqueue(probe, true)
}

// hasAbandoned reports whether attempts were abandoned within abandonedWindow.
func (p *serverProbe) hasAbandoned(now time.Time) bool {
	return slices.ContainsFunc(p.abandoned, func(a abandonedAttempt) bool { return now.Sub(a.at) <= abandonedWindow })
}

// takeAbandoned removes and returns what the attempts ran that were abandoned within abandonedWindow
// before a time.
func (p *serverProbe) takeAbandoned(ended time.Time) (out []Accusation) {
	for _, a := range p.abandoned {
		if ended.Sub(a.at) <= abandonedWindow {
			out = append(out, a.accused...)
		}
	}
	p.abandoned = nil
	return out
}

// ServerEnded records that another host has found a server ended, and accuses what the attempts ran that
// were abandoned there shortly before.
func (p *ServerProber) ServerEnded(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	probe := p.probes[server]
	if probe == nil || probe.pending || probe.ended || !probe.hasAbandoned(time.Now()) {
		return
	}
	probe.ended = true
	p.report(probe, time.Now(), probe.takeAbandoned(time.Now()))
}

// report logs and reports what is accused of the end of a server; the caller holds mu, which is released
// meanwhile.
func (p *ServerProber) report(probe *serverProbe, at time.Time, accused []Accusation) {
	if len(accused) == 0 {
		return
	}
	p.cfg.Log.Info("attempts ended before their server", "server", probe.server, "address", probe.address, "accused", len(accused), "keys", requestKeys(accused))
	p.mu.Unlock()
	defer p.mu.Lock()
	p.cfg.OnEnded(probe.server, at, accused)
}

// presenceOf tries a server's address once for a look, and several times after a broken attempt.
func (p *ServerProber) presenceOf(probe *serverProbe, look bool) relay.Presence {
	if look {
		return p.try(p.ctx, probe.server, probe.address)
	}
	return p.Ask(p.ctx, probe.server, probe.address)
}
