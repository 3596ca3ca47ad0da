package quarantine

import (
	"cmp"
	"context"
	"maps"
	"slices"
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

// isolatedHold is the time after which a request may try again that an isolated entry holds back.
const isolatedHold = 2 * time.Second

// GuardConfig configures a Guard. All fields but Entries, Isolated and OnRecordChanged are required.
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
	// Isolated reports whether this entry reaches no other host that knows suspects; nil: it always does.
	Isolated func() bool
	// OnRecordChanged is SuspectSetConfig.OnChanged.
	OnRecordChanged func(Source)
	// OnChange is called when this entry has records that other hosts lack. The next repeat
	// of the request may arrive at any entry.
	OnChange func()
	Log      logr.Logger
}

// Guard decides for one entry which requests are held back from its servers, and which
// requests are suspected when a server ends. All methods are safe for concurrent use.
type Guard struct {
	onChange func()
	isolated func() bool
	suspects *SuspectSet
	prober   *ServerProber
	// completed are requests, and shared what they have in common with others.
	completed *Completed
	shared    *Completed
	arrivals  *arrivals
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
	if cfg.Isolated == nil {
		cfg.Isolated = func() bool { return false }
	}
	g := &Guard{
		onChange:  cfg.OnChange,
		isolated:  cfg.Isolated,
		suspects:  NewSuspectSet(SuspectSetConfig{Entry: cfg.Entry, Entries: cfg.Entries, Now: time.Now, OnChanged: cfg.OnRecordChanged, Log: log}),
		completed: NewCompleted(time.Now),
		shared:    NewCompleted(time.Now),
		arrivals:  newArrivals(time.Now),
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

// HeldBack returns how long a request is held back from any kind of servers, and whether it
// is.
func (g *Guard) HeldBack(r *KeyedRequest) (time.Duration, bool) {
	hold := g.Hold(r)
	return hold.Longest(), !hold.Empty()
}

// Hold returns from which kinds of servers a request is held back, because such servers ended
// that ran it or others with which it shares something. It is called before each attempt: a
// record may arrive while the request waits, or result from its own last attempt. Once the
// hold has expired, one instance may try.
func (g *Guard) Hold(r *KeyedRequest) Hold {
	var hold Hold
	if g.suspects.Empty() {
		return hold
	}
	var expired []Key
	var expiredKinds []Kind
	check := func(a Accusation, carrier Carrier) {
		left, kinds, held := g.suspects.HeldBackFrom(a.Key)
		switch {
		case !held || g.hasCompleted(r, a, carrier, kinds):
		case left == 0:
			expired, expiredKinds = append(expired, a.Key), append(expiredKinds, kinds...)
			r.setHeldBy(a, carrier)
		case left > hold.Longest():
			r.setHeldBy(a, carrier)
			fallthrough
		default:
			hold.add(kinds, left)
		}
	}
	if g.suspects.MayContain(r.Hint()) {
		check(Accusation{Key: r.Key()}, Carrier{})
		if kinds := g.suspects.BlamedKinds(r.Key()); hold.Empty() && len(kinds) > 0 && g.isolated() {
			// One server is enough: the others may have found more.
			hold.add(kinds, isolatedHold)
			r.setHeldBy(Accusation{Key: r.Key()}, Carrier{})
		}
	}
	for i, c := range r.shared {
		if g.suspects.MayContain(c.Hint()) {
			check(Accusation{Key: r.sharedKey(i), Scope: c.Scope, Depth: c.Depth}, c)
		}
	}
	if slices.ContainsFunc(expiredKinds, func(kind Kind) bool { _, held := hold.At(kind); return !held }) {
		if left, wait := g.startTrialOrWait(r, expired); wait {
			hold.add(expiredKinds, left)
		}
	}
	return hold
}

// hasCompleted clears a suspect that is held back if such a request has completed here at the
// kinds of servers from which it is, and reports whether it is no longer held back.
func (g *Guard) hasCompleted(r *KeyedRequest, a Accusation, carrier Carrier, kinds []Kind) bool {
	cleared := false
	for _, kind := range kinds {
		switch {
		case a.Scope.shared():
			cleared = g.clearCompleted(a.Key, carrier.Scope, kind) || cleared
		case g.completed.Recently(r.Request, kind):
			cleared = g.clear(a.Key, kind) || cleared
		}
	}
	if !cleared {
		return false
	}
	_, held := g.suspects.HeldBack(a.Key)
	return !held
}

// clearCompleted clears a shared suspect of the servers of a kind that ended before such a
// request completed there. It reports whether this is new.
func (g *Guard) clearCompleted(key Key, scope Scope, kind Kind) bool {
	at := g.shared.LastShared(key.Hint(), kind)
	if at.IsZero() || !g.suspects.ClearUntil(key, at, kind) {
		return false
	}
	g.log.Info("suspect cleared", "key", key.String(), "scope", scope.String(), "kind", kind, "completed-ago-ms", time.Since(at).Milliseconds())
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
			for _, kind := range kindsOf(s) {
				g.clearCompleted(key, scope, kind)
			}
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

// kindsOf returns the kinds of the servers in a record of another host.
func kindsOf(s *schema.Suspect) (out []Kind) {
	for _, e := range s.GetEnded() {
		if kind := Kind(e.GetKind()); !slices.Contains(out, kind) {
			out = append(out, kind)
		}
	}
	return out
}

// AttemptFailed starts a probe of the server on which an attempt broke off. A request that
// has just completed on another server of the kind did not end this one.
func (g *Guard) AttemptFailed(r *KeyedRequest, s Server) {
	if accused := g.accusations(r, s.Kind); len(accused) > 0 {
		g.prober.AttemptFailed(s.ID, s.Address, accused...)
	}
}

// AttemptAbandoned records that an attempt ended while its server may still run the request: the caller has
// left, its time is over, or another attempt has begun. If the server ends soon, the request may be why.
func (g *Guard) AttemptAbandoned(r *KeyedRequest, s Server) {
	if accused := g.accusations(r, s.Kind); len(accused) > 0 {
		g.prober.AttemptAbandoned(s.ID, s.Address, accused...)
	}
}

// accusations returns what is accused if a server of a kind ends that runs a request. A request that has just
// completed at another one is not.
func (g *Guard) accusations(r *KeyedRequest, kind Kind) (out []Accusation) {
	if !g.completed.Recently(r.Request, kind) {
		out = append(out, Accusation{Key: r.Key(), Kind: kind})
	}
	for i, c := range r.shared {
		out = append(out, Accusation{Key: r.sharedKey(i), Scope: c.Scope, Depth: c.Depth, Kind: kind, Weak: g.shared.RecentlyShared(c, kind)})
	}
	return out
}

// Unproven records that a request is about to be sent, and reports whether it may still crash the servers that
// run it: no copy has recently completed here, at a server of any kind, and the first one came less than
// provingTime ago.
func (g *Guard) Unproven(r *KeyedRequest) bool {
	return g.arrivals.isNew(r.Request) && !g.completed.Recently(r.Request, AnyKind)
}

// AttemptCompleted records that a server of a kind completed a request.
func (g *Guard) AttemptCompleted(r *KeyedRequest, kind Kind) {
	g.completed.Record(r.Request, kind)
	if kind != AnyKind {
		g.completed.Record(r.Request, AnyKind)
	}
	for _, c := range r.shared {
		g.shared.RecordShared(c, kind)
	}
	if g.suspects.Empty() {
		return
	}
	if g.suspects.MayContain(r.Hint()) && g.clear(r.Key(), kind) {
		g.log.Info("suspect cleared", "key", r.Key().String(), "scope", ScopeRequest.String(), "kind", kind, "completed-ago-ms", 0)
	}
	for i, c := range r.shared {
		if g.suspects.MayContain(c.Hint()) {
			g.clear(r.sharedKey(i), kind)
		}
	}
}

// Clear releases a suspect everywhere. It reports whether this is new.
func (g *Guard) Clear(key Key) bool { return g.clear(key, AnyKind) }

// clear records that a suspect does not end servers of a kind. It reports whether this is new.
func (g *Guard) clear(key Key, kind Kind) bool {
	changed := g.suspects.ClearUntil(key, time.Now(), kind)
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
