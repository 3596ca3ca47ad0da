package quarantine

import (
	"cmp"
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

// maxProbeWait bounds how long a retry waits for the probes of the servers on which the
// request failed. An ended process refuses connections at once; an address that does not
// reply belongs to a host that is lost with everything on it, which is no evidence against
// the request.
const maxProbeWait = 250 * time.Millisecond

// maxTrialDuration is how long other instances of a request wait for the result of a trial:
// its server ends, it completes, or its caller cancels it.
const maxTrialDuration = 30 * time.Second

// GuardConfig configures a Guard. All fields but Entries are required.
type GuardConfig struct {
	// Entry identifies this entry among all entries.
	Entry string
	// Entries returns the number of entries; it may be nil if there is one.
	Entries func() int
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
	onChange func()
	suspects *SuspectSet
	prober   *ServerProber
	// completed are requests, and shared what they have in common with others.
	completed *Completed
	shared    *Completed
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
		suspects:  NewSuspectSet(SuspectSetConfig{Entry: cfg.Entry, Entries: cfg.Entries, Now: time.Now, Log: log}),
		completed: NewCompleted(time.Now),
		shared:    NewCompleted(time.Now),
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
// ended that ran it or others with which it shares something. It is called before each
// attempt: a record may arrive while the request waits, or result from its own last
// attempt. Once the hold has expired, one instance may try.
func (g *Guard) HeldBack(r *KeyedRequest) (time.Duration, bool) {
	if g.suspects.Empty() {
		return 0, false
	}
	var longest time.Duration
	var expired []Key
	check := func(a Accusation, carrier Carrier) {
		left, held := g.suspects.HeldBack(a.Key)
		switch {
		case !held || g.hasCompleted(r, a, carrier):
		case left == 0:
			expired = append(expired, a.Key)
			r.setHeldBy(a, carrier)
		case left > longest:
			longest = left
			r.setHeldBy(a, carrier)
		}
	}
	if g.suspects.MayContain(r.Hint()) {
		check(Accusation{Key: r.Key()}, Carrier{})
	}
	for i, c := range r.shared {
		if g.suspects.MayContain(c.Hint()) {
			check(Accusation{Key: r.sharedKey(i), Scope: c.Scope, Depth: c.Depth}, c)
		}
	}
	switch {
	case longest > 0:
		return longest, true
	case len(expired) > 0:
		return g.startTrialOrWait(r, expired)
	}
	return 0, false
}

// hasCompleted clears a suspect that is held back if such a request has completed here, and
// reports whether it is no longer held back.
func (g *Guard) hasCompleted(r *KeyedRequest, a Accusation, carrier Carrier) bool {
	if !a.Scope.shared() {
		if g.completed.Recently(r.Request) {
			g.Clear(a.Key)
			return true
		}
		return false
	}
	if !g.clearCompleted(a.Key, carrier.Scope) {
		return false
	}
	_, held := g.suspects.HeldBack(a.Key)
	return !held
}

// clearCompleted clears a shared suspect of the servers that ended before such a request
// completed here. It reports whether this is new.
func (g *Guard) clearCompleted(key Key, scope Scope) bool {
	at := g.shared.LastShared(key.Hint())
	if at.IsZero() || !g.suspects.ClearUntil(key, at) {
		return false
	}
	g.log.Info("suspect cleared", "key", key.String(), "scope", scope.String(), "completed-ago-ms", time.Since(at).Milliseconds())
	g.onChange()
	return true
}

// Merge merges the records of other hosts, and clears at once what has completed here: the
// next request with it may arrive at any entry.
func (g *Guard) Merge(list []*schema.Suspect, source Source) {
	g.suspects.Merge(list, source)
	g.accuseAbandoned(list)
	for _, s := range list {
		var key Key
		if scope := Scope(s.GetScope()); scope.shared() && copy(key[:], s.GetKey()) == len(key) {
			g.clearCompleted(key, scope)
		}
	}
}

// accuseAbandoned accuses what this entry had sent to servers that others have found ended.
func (g *Guard) accuseAbandoned(list []*schema.Suspect) {
	for _, s := range list {
		for _, e := range s.GetEnded() {
			if age := time.Duration(cmp.Or(e.GetAgeMs(), s.GetAgeMs())) * time.Millisecond; age < abandonedWindow {
				g.prober.ServerEnded(e.GetServer())
			}
		}
	}
}

// startTrialOrWait starts a trial of suspects with a request, or returns how long it has to
// wait for another instance's trial.
func (g *Guard) startTrialOrWait(r *KeyedRequest, keys []Key) (time.Duration, bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.trials, func(_ Key, t trial) bool { return !now.Before(t.until) })
	for _, key := range keys {
		if t, running := g.trials[key]; running && t.request != r {
			return t.until.Sub(now), true
		}
	}
	for _, key := range keys {
		if _, running := g.trials[key]; !running {
			g.trials[key] = trial{r, now.Add(maxTrialDuration)}
			g.log.Info("request tries again", "key", key.String())
		}
	}
	return 0, false
}

// AwaitProbes waits, before an attempt, for the probes of the servers on which the request
// failed, if these are enough to hold back the request or what it shares with others.
// Otherwise attempts follow each other faster than the end of the first server is detected,
// and one request ends a server with each of its remaining attempts.
func (g *Guard) AwaitProbes(ctx context.Context, r *KeyedRequest) {
	if g.prober.Idle() {
		return
	}
	timer := time.NewTimer(maxProbeWait)
	defer timer.Stop()
	for {
		pending, finished := g.prober.Pending(r.Key())
		if pending == 0 || !g.mayHoldBack(r, pending) {
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

// mayHoldBack reports whether the ends of some more servers would hold a request back.
func (g *Guard) mayHoldBack(r *KeyedRequest, servers int) bool {
	if servers+g.suspects.UnclearedCount(r.Key()) >= holdThreshold {
		return true
	}
	for i, c := range r.shared {
		if g.suspects.MayContain(c.Hint()) && servers+g.suspects.UnclearedCount(r.sharedKey(i)) >= c.Scope.threshold() {
			return true
		}
	}
	return false
}

// AttemptFailed starts a probe of the server on which an attempt broke off. A request that
// has just completed on another server did not end this one.
func (g *Guard) AttemptFailed(r *KeyedRequest, server, address string) {
	if accused := g.accusations(r); len(accused) > 0 {
		g.prober.AttemptFailed(server, address, accused...)
	}
}

// AttemptAbandoned records that an attempt ended while its server may still run the request: the caller has
// left, its time is over, or another attempt has begun. If the server ends soon, the request may be why.
func (g *Guard) AttemptAbandoned(r *KeyedRequest, server, address string) {
	if accused := g.accusations(r); len(accused) > 0 {
		g.prober.AttemptAbandoned(server, address, accused...)
	}
}

// accusations returns what is accused if a server ends that runs a request. A request that has just completed
// is not.
func (g *Guard) accusations(r *KeyedRequest) (out []Accusation) {
	if !g.completed.Recently(r.Request) {
		out = append(out, Accusation{Key: r.Key()})
	}
	for i, c := range r.shared {
		out = append(out, Accusation{Key: r.sharedKey(i), Scope: c.Scope, Depth: c.Depth, Weak: g.shared.RecentlyShared(c)})
	}
	return out
}

// AttemptCompleted records that a server completed a request.
func (g *Guard) AttemptCompleted(r *KeyedRequest) {
	g.completed.Record(r.Request)
	for _, c := range r.shared {
		g.shared.RecordShared(c)
	}
	if g.suspects.Empty() {
		return
	}
	if g.suspects.MayContain(r.Hint()) && g.Clear(r.Key()) {
		g.log.Info("suspect cleared", "key", r.Key().String(), "scope", ScopeRequest.String(), "completed-ago-ms", 0)
	}
	for i, c := range r.shared {
		if g.suspects.MayContain(c.Hint()) {
			g.Clear(r.sharedKey(i))
		}
	}
}

// Ended reports what is known of a server's process at the end of a response that only the
// end of its connection marks: if the process has ended, the response may be incomplete.
func (g *Guard) Ended(ctx context.Context, server, address string) relay.Presence {
	return g.prober.Ask(ctx, server, address)
}

// Clear records that a suspect does not end servers. It reports whether this is new.
func (g *Guard) Clear(key Key) bool {
	changed := g.suspects.Clear(key)
	if changed {
		g.onChange()
	}
	return changed
}

// recordEnded records that a server ended while it ran some requests.
func (g *Guard) recordEnded(server string, at time.Time, accused []Accusation) {
	g.suspects.Accuse(server, at, accused)
	g.onChange()
}
