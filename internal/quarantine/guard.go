package quarantine

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"fennelyard/internal/relay"
)

// maxProbeWait bounds how long a retry waits for the probes of the servers on which the
// request failed. An ended process refuses connections at once; an address that does not
// reply belongs to a host that is lost with everything on it, which is no evidence against
// the request.
const maxProbeWait = 250 * time.Millisecond

// maxTrialDuration is how long other instances of a request wait for the result of a trial:
// its server ends, it completes, or its caller cancels it.
const maxTrialDuration = 30 * time.Second

// GuardConfig configures a Guard. All fields are required.
type GuardConfig struct {
	// Entry identifies this entry among all entries.
	Entry string
	// Probe connects to a server's address and returns the result.
	Probe func(ctx context.Context, address string) relay.Presence
	// MayProbe reports whether this entry may connect to a server now: one that has asked for a
	// cooldown is not probed, and its end is no evidence then.
	MayProbe func(server string) bool
	// OnChange is called when this entry has records that other hosts lack. The next repeat
	// of the request may arrive at any entry.
	OnChange func()
	Log      logr.Logger
}

// Guard decides for one entry which requests are held back from its servers, and which
// requests are suspected when a server ends. All methods are safe for concurrent use.
type Guard struct {
	onChange  func()
	suspects  *SuspectSet
	prober    *ServerProber
	completed *Completed
	log       logr.Logger

	mu sync.Mutex
	// trials are the trials of requests whose hold has expired; guarded by mu.
	trials map[Key]trial
}

// trial is the one instance of a request that may reach a server after the hold has
// expired.
type trial struct {
	request *KeyedRequest
	// until is when another instance may try if this one has had no result.
	until time.Time
}

// NewGuard starts a guard without suspected requests.
func NewGuard(cfg GuardConfig) *Guard {
	log := cfg.Log.WithName("quarantine")
	g := &Guard{
		onChange:  cfg.OnChange,
		suspects:  NewSuspectSet(SuspectSetConfig{Entry: cfg.Entry, Now: time.Now, Log: log}),
		completed: NewCompleted(time.Now),
		log:       log,
		trials:    map[Key]trial{},
	}
	g.prober = NewServerProber(ServerProberConfig{Probe: cfg.Probe, MayProbe: cfg.MayProbe, OnEnded: g.recordEnded, Log: cfg.Log.WithName("inquest")})
	return g
}

// Close stops the guard's prober.
func (g *Guard) Close() { g.prober.Close() }

// Suspects returns the requests that the entry suspects.
func (g *Guard) Suspects() *SuspectSet { return g.suspects }

// HeldBack returns how long a request is held back, and whether it is, because servers
// ended that ran it. It is called before each attempt: a record may arrive while the
// request waits, or result from its own last attempt. Once the hold has expired, one
// instance may try.
func (g *Guard) HeldBack(r *KeyedRequest) (time.Duration, bool) {
	if !g.maybeSuspect(r) {
		return 0, false
	}
	left, held := g.suspects.HeldBack(r.Key())
	switch {
	case !held:
		return 0, false
	case g.completed.Recently(r.Request):
		// Servers ended under it elsewhere, but it has completed here.
		g.Clear(r.Key())
		return 0, false
	case left > 0:
		return left, true
	}
	return g.startTrialOrWait(r)
}

// startTrialOrWait starts a trial with a request, or returns how long it has to wait for
// another instance's trial.
func (g *Guard) startTrialOrWait(r *KeyedRequest) (time.Duration, bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.trials, func(_ Key, t trial) bool { return !now.Before(t.until) })
	t, running := g.trials[r.Key()]
	if running && t.request != r {
		return t.until.Sub(now), true
	}
	if !running {
		g.trials[r.Key()] = trial{r, now.Add(maxTrialDuration)}
		g.log.Info("request tries again", "key", r.Key().String())
	}
	return 0, false
}

// AwaitProbes waits, before an attempt, for the probes of the servers on which the request
// failed, if these are enough to hold it back. Otherwise attempts follow each other faster
// than the end of the first server is detected, and one request ends a server with each of
// its remaining attempts.
func (g *Guard) AwaitProbes(ctx context.Context, r *KeyedRequest) {
	if g.prober.Idle() {
		return
	}
	timer := time.NewTimer(maxProbeWait)
	defer timer.Stop()
	for {
		pending, finished := g.prober.Pending(r.Key())
		if pending == 0 || pending+g.suspects.UnclearedCount(r.Key()) < holdThreshold {
			return
		}
		select {
		case <-finished:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// maybeSuspect reports whether a request may be suspected. For most requests it needs no
// digest of the body.
func (g *Guard) maybeSuspect(r *KeyedRequest) bool {
	return !g.suspects.Empty() && g.suspects.MayContain(r.Hint())
}

// AttemptFailed starts a probe of the server on which an attempt broke off. A request that
// has just completed on another server did not end this one.
func (g *Guard) AttemptFailed(r *KeyedRequest, server, address string) {
	if !g.completed.Recently(r.Request) {
		g.prober.AttemptFailed(server, address, r.Key())
	}
}

// AttemptCompleted records that a server completed a request.
func (g *Guard) AttemptCompleted(r *KeyedRequest) {
	g.completed.Record(r.Request)
	if g.maybeSuspect(r) {
		g.Clear(r.Key())
	}
}

// Clear records that a request does not end servers. It reports whether this is new.
func (g *Guard) Clear(key Key) bool {
	changed := g.suspects.Clear(key)
	if changed {
		g.onChange()
	}
	return changed
}

// recordEnded records that a server ended while it ran some requests.
func (g *Guard) recordEnded(server string, keys []Key) {
	for _, key := range keys {
		g.suspects.RecordEnded(key, server)
	}
	g.onChange()
}
