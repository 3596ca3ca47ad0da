package quarantine

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"fennelyard/internal/relay"
)

const (
	// probeWorkers is the number of addresses probed at once. One that does not reply takes
	// half a second, and a rack that loses power has a dozen servers.
	probeWorkers = 4
	// probeQueueLength is the maximum number of servers that wait for a probe.
	probeQueueLength = 64
	// maxAccusedPerProbe is the maximum number of suspects remembered for a server until its
	// probe is finished: the requests that run at an engine, and what they share.
	maxAccusedPerProbe = 1024
	// probeAttempts and probeInterval are how often an address is tried that does not
	// refuse: the last connections of an ending process may close before its port, and a
	// packet may be lost.
	probeAttempts = 3
	probeInterval = 50 * time.Millisecond
	// probeRetention is how long the result of a probe is kept. The attempts on a server
	// break off within moments of each other.
	probeRetention = 10 * time.Second
	// maxKeysLogged is the maximum number of keys in a log line.
	maxKeysLogged = 16
)

// ServerProberConfig configures a ServerProber. All fields are required.
type ServerProberConfig struct {
	Probe func(ctx context.Context, address string) relay.Presence
	// MayProbe reports whether this host may connect to a server now.
	MayProbe func(server string) bool
	// OnEnded receives what is accused of the end of a server at a time: the requests whose
	// attempts broke off then, and what they share with others.
	OnEnded func(server string, at time.Time, accused []Accusation)
	Log     logr.Logger
}

// ServerProber detects whether the server on which an attempt broke off has ended, in which
// case the requests that it ran may be the cause. A lost response, a broken path or a slow
// server is no evidence against a request. All methods are safe for concurrent use.
type ServerProber struct {
	cfg   ServerProberConfig
	queue chan queuedProbe
	ctx   context.Context
	stop  context.CancelFunc
	done  chan struct{}

	// active is the number of pending probes, for a check without the lock.
	active atomic.Int64

	mu sync.Mutex
	// probes is keyed by the server's incarnation; guarded by mu.
	probes map[string]*serverProbe
	// finished is closed and replaced when a probe finishes; guarded by mu.
	finished chan struct{}
	// looks limits the looks at servers after abandoned attempts; guarded by mu.
	looks lookLimit
}

// queuedProbe is a probe to be made; look is set if it follows abandoned attempts alone.
type queuedProbe struct {
	probe *serverProbe
	look  bool
}

// serverProbe is the probe of one incarnation of a server.
type serverProbe struct {
	server, address string
	// The fields below are guarded by the prober's mutex. accused is what the attempts ran
	// that broke off, without what is reported, and index its positions by key.
	accused []Accusation
	index   map[Key]int
	// attempts counts these attempts, the first of which broke off at failedAt.
	attempts int
	failedAt time.Time
	// pending is set until the address has been tried and the requests are reported.
	pending bool
	// ended is set once the server is known to have ended, which is final.
	ended bool
	// abandoned are the attempts that ended before the server, and lookScheduled is set by the index of
	// lookDelays while it is to be looked at for them.
	abandoned     []abandonedAttempt
	lookScheduled [len(lookDelays)]bool
	// finishedAt is when the probe last finished.
	finishedAt time.Time
}

// NewServerProber starts a prober.
func NewServerProber(cfg ServerProberConfig) *ServerProber {
	p := &ServerProber{
		cfg: cfg, queue: make(chan queuedProbe, probeQueueLength), done: make(chan struct{}),
		probes: map[string]*serverProbe{}, finished: make(chan struct{}),
	}
	p.looks = lookLimit{tokens: lookBurst, lastRefill: time.Now()}
	p.ctx, p.stop = context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range probeWorkers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.run()
		}()
	}
	go func() {
		defer close(p.done)
		wg.Wait()
	}()
	return p
}

// Close stops the prober and waits for its workers.
func (p *ServerProber) Close() {
	p.stop()
	<-p.done
}

// AttemptFailed records that an attempt broke off on a server, with what it ran, and queues
// a probe.
func (p *ServerProber) AttemptFailed(server, address string, accused ...Accusation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.expire(now)
	probe := p.getOrAdd(server, address, now)
	if probe.failedAt.IsZero() {
		probe.failedAt = now
	}
	probe.accuse(accused)
	if !probe.pending {
		p.enqueue(probe, false)
	}
}

// getOrAdd returns the probe of a server and adds it if needed; the caller holds mu.
func (p *ServerProber) getOrAdd(server, address string, now time.Time) *serverProbe {
	probe := p.probes[server]
	if probe == nil {
		probe = &serverProbe{server: server, address: address, finishedAt: now}
		p.probes[server] = probe
	}
	return probe
}

// enqueue queues a probe; the caller holds mu.
func (p *ServerProber) enqueue(probe *serverProbe, look bool) {
	select {
	case p.queue <- queuedProbe{probe, look}:
		probe.pending = true
		p.active.Add(1)
	default:
		// The server is not probed before its next attempt breaks off.
		p.cfg.Log.Info("server not asked after", "server", probe.server, "waiting", probeQueueLength)
	}
}

// accuse adds what an attempt ran; the caller holds the prober's mutex.
func (p *serverProbe) accuse(accused []Accusation) {
	p.attempts++
	if p.index == nil {
		p.index = map[Key]int{}
	}
	for _, a := range accused {
		i, known := p.index[a.Key]
		switch {
		case known:
			p.accused[i].Weak = p.accused[i].Weak && a.Weak
		case len(p.accused) < maxAccusedPerProbe:
			p.index[a.Key] = len(p.accused)
			p.accused = append(p.accused, a)
		}
	}
}

// Idle reports whether no probe is pending.
func (p *ServerProber) Idle() bool { return p.active.Load() == 0 }

// Pending returns the number of pending probes of servers on which attempts of a request
// broke off, and a channel that is closed when the next probe finishes.
func (p *ServerProber) Pending(key Key) (servers int, finished <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, probe := range p.probes {
		if _, accused := probe.index[key]; probe.pending && accused {
			servers++
		}
	}
	return servers, p.finished
}

// expire removes old results; the caller holds mu.
func (p *ServerProber) expire(now time.Time) {
	for server, probe := range p.probes {
		if !probe.pending && now.Sub(probe.finishedAt) > probeRetention && !probe.hasAbandoned(now) {
			delete(p.probes, server)
		}
	}
}

func (p *ServerProber) run() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case q := <-p.queue:
			p.probe(q.probe, q.look)
		}
	}
}

// probe tries an address, unless its server is known to have ended.
func (p *ServerProber) probe(probe *serverProbe, look bool) {
	p.mu.Lock()
	ended := probe.ended
	p.mu.Unlock()
	presence := relay.PresenceRefused
	if !ended {
		presence = p.presenceOf(probe, look)
	}
	if p.ctx.Err() != nil {
		return
	}
	p.finish(probe, presence, look)
}

// Ask tries an address, several times as long as it does not refuse, and returns the last
// result.
func (p *ServerProber) Ask(ctx context.Context, server, address string) relay.Presence {
	presence := relay.PresenceNotProbed
	for try := range probeAttempts {
		if try > 0 && !wait(ctx) {
			return presence
		}
		if presence = p.try(ctx, server, address); presence == relay.PresenceRefused || presence == relay.PresenceNotProbed {
			return presence
		}
	}
	return presence
}

// try tries an address once, unless its server may not be probed.
func (p *ServerProber) try(ctx context.Context, server, address string) relay.Presence {
	if !p.cfg.MayProbe(server) {
		return relay.PresenceNotProbed
	}
	return p.cfg.Probe(ctx, address)
}

// wait waits for probeInterval. It returns false if the context ends before.
func wait(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(probeInterval):
		return true
	}
}

// finish logs and reports the result of a probe. The probe stays pending until all requests
// that ran on the server are reported, because a retry must wait for exactly that.
func (p *ServerProber) finish(probe *serverProbe, presence relay.Presence, look bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	probe.ended = presence == relay.PresenceRefused
	if probe.failedAt.IsZero() {
		probe.failedAt = time.Now()
	}
	if probe.ended {
		for _, a := range probe.takeAbandoned(time.Now()) {
			probe.accuse([]Accusation{a})
		}
	} else if len(probe.accused) > 0 {
		// The server may still run what the broken attempts sent it.
		p.abandon(probe, probe.failedAt, slices.Clone(probe.accused))
	}
	for reported := 0; ; {
		accused := slices.Clone(probe.accused[reported:])
		reported = len(probe.accused)
		if !look || probe.ended {
			p.cfg.Log.Info("attempts broke off", "server", probe.server, "address", probe.address, "answers", presence.String(),
				"ended", probe.ended, "attempts", probe.attempts, "abandoned", look, "accused", len(accused), "keys", requestKeys(accused))
		}
		if !probe.ended {
			break
		}
		at := probe.failedAt
		p.mu.Unlock()
		p.cfg.OnEnded(probe.server, at, accused)
		p.mu.Lock()
		if reported == len(probe.accused) {
			break
		}
	}
	probe.accused, probe.index, probe.attempts, probe.failedAt, probe.pending, probe.finishedAt = nil, nil, 0, time.Time{}, false, time.Now()
	p.active.Add(-1)
	close(p.finished)
	p.finished = make(chan struct{})
}

// requestKeys returns the keys of up to maxKeysLogged accused requests as text.
func requestKeys(accused []Accusation) []string {
	var out []string
	for _, a := range accused {
		if !a.Scope.shared() && len(out) < maxKeysLogged {
			out = append(out, a.Key.String())
		}
	}
	return out
}
