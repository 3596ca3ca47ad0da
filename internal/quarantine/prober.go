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
	// maxKeysPerProbe is the maximum number of requests remembered for a server until its
	// probe is finished: as many as run at an engine.
	maxKeysPerProbe = 128
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
	// OnEnded receives the requests whose attempts broke off when their server ended.
	OnEnded func(server string, keys []Key)
	Log     logr.Logger
}

// ServerProber detects whether the server on which an attempt broke off has ended, in which
// case the requests that it ran may be the cause. A lost response, a broken path or a slow
// server is no evidence against a request. All methods are safe for concurrent use.
type ServerProber struct {
	cfg   ServerProberConfig
	queue chan *serverProbe
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
}

// serverProbe is the probe of one incarnation of a server.
type serverProbe struct {
	server, address string
	// The fields below are guarded by the prober's mutex. keys are those of the attempts
	// that broke off and are not reported yet.
	keys []Key
	// pending is set until the address has been tried and the requests are reported.
	pending bool
	// ended is set once the server is known to have ended, which is final.
	ended bool
	// finishedAt is when the probe last finished.
	finishedAt time.Time
}

// NewServerProber starts a prober.
func NewServerProber(cfg ServerProberConfig) *ServerProber {
	p := &ServerProber{
		cfg: cfg, queue: make(chan *serverProbe, probeQueueLength), done: make(chan struct{}),
		probes: map[string]*serverProbe{}, finished: make(chan struct{}),
	}
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

// AttemptFailed records that an attempt broke off on a server, and queues a probe.
func (p *ServerProber) AttemptFailed(server, address string, key Key) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(time.Now())
	probe := p.probes[server]
	if probe == nil {
		probe = &serverProbe{server: server, address: address}
		p.probes[server] = probe
	}
	if len(probe.keys) < maxKeysPerProbe && !slices.Contains(probe.keys, key) {
		probe.keys = append(probe.keys, key)
	}
	if probe.pending {
		return
	}
	select {
	case p.queue <- probe:
		probe.pending = true
		p.active.Add(1)
	default:
		// The server is not probed before its next attempt breaks off.
		p.cfg.Log.Info("server not asked after", "server", server, "waiting", probeQueueLength)
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
		if probe.pending && slices.Contains(probe.keys, key) {
			servers++
		}
	}
	return servers, p.finished
}

// expire removes old results; the caller holds mu.
func (p *ServerProber) expire(now time.Time) {
	for server, probe := range p.probes {
		if !probe.pending && now.Sub(probe.finishedAt) > probeRetention {
			delete(p.probes, server)
		}
	}
}

func (p *ServerProber) run() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case probe := <-p.queue:
			p.probe(probe)
		}
	}
}

// probe tries an address, unless its server is known to have ended.
func (p *ServerProber) probe(probe *serverProbe) {
	p.mu.Lock()
	ended := probe.ended
	p.mu.Unlock()
	presence := relay.PresenceRefused
	for try := 0; !ended && try < probeAttempts; try++ {
		if try > 0 && !p.wait() {
			return
		}
		if !p.cfg.MayProbe(probe.server) {
			presence = relay.PresenceNotProbed
			break
		}
		if presence = p.cfg.Probe(p.ctx, probe.address); presence == relay.PresenceRefused {
			break
		}
	}
	if p.ctx.Err() != nil {
		return
	}
	p.finish(probe, presence)
}

// wait waits for probeInterval. It returns false if the prober is closed before.
func (p *ServerProber) wait() bool {
	select {
	case <-p.ctx.Done():
		return false
	case <-time.After(probeInterval):
		return true
	}
}

// finish logs and reports the result of a probe. The probe stays pending until all requests
// that ran on the server are reported, because a retry must wait for exactly that.
func (p *ServerProber) finish(probe *serverProbe, presence relay.Presence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	probe.ended = presence == relay.PresenceRefused
	for reported := 0; ; {
		keys := slices.Clone(probe.keys[reported:])
		reported = len(probe.keys)
		p.cfg.Log.Info("attempts broke off", "server", probe.server, "address", probe.address, "answers", presence.String(),
			"ended", probe.ended, "attempts", len(keys), "keys", keyStrings(keys))
		if !probe.ended {
			break
		}
		p.mu.Unlock()
		p.cfg.OnEnded(probe.server, keys)
		p.mu.Lock()
		if reported == len(probe.keys) {
			break
		}
	}
	probe.keys, probe.pending, probe.finishedAt = nil, false, time.Now()
	p.active.Add(-1)
	close(p.finished)
	p.finished = make(chan struct{})
}

// keyStrings returns up to maxKeysLogged keys as text.
func keyStrings(keys []Key) []string {
	var out []string
	for _, k := range keys[:min(len(keys), maxKeysLogged)] {
		out = append(out, k.String())
	}
	return out
}
