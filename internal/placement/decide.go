package placement

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// loadOverhead is added to the transfer time of every load.
	loadOverhead = 300 * time.Millisecond
	// unloadTime is the expected time of an unload.
	unloadTime = 500 * time.Millisecond
	// spreadPenalty is the price in seconds of a second replica in a data
	// centre that has one already.
	spreadPenalty     = 2.0
	defaultPerReplica = 8
	// aheadMargin is the least gain of a load ahead, in cold starts.
	aheadMargin = 0.25
)

// accelerator is one accelerator with what is on it.
type accelerator struct {
	server   *Server
	index    int
	total    uint64
	used     uint64
	busy     bool
	replicas []*Replica
	// going is set when this round unloads something here.
	going bool
	// idle is what an unload of every idle replica would free.
	idle uint64
}

type world struct {
	in    Input
	accs  []*accelerator
	byAcc map[string][]*accelerator
	// byTarget holds the replicas of each target.
	byTarget map[string][]*Replica
	// held caches have by target: it is asked for once per replica.
	held map[string]int
	// remote counts remote loads under way or decided in this round.
	remote int
	plan   Plan
}

// wake is a target that needs another replica.
type wake struct {
	model    Model
	demand   Demand
	deadline time.Time
	pinned   bool
	// ahead is set when nobody waits yet.
	ahead bool
}

// Decide returns what to load and unload now. The same input always gives the
// same decisions.
func Decide(in Input) Plan {
	w := newWorld(in)
	for _, k := range w.wakes() {
		w.serve(k)
	}
	w.retire()
	w.plan.IdleAccelerators = w.idleAccelerators()
	return w.plan
}

func newWorld(in Input) *world {
	w := &world{
		in: in, byAcc: map[string][]*accelerator{}, byTarget: map[string][]*Replica{}, held: map[string]int{},
		plan: Plan{Forecasts: map[string]Forecast{}},
	}
	for i := range in.Servers {
		s := &in.Servers[i]
		for j, total := range s.Accelerators {
			a := &accelerator{server: s, index: j, total: total}
			w.accs = append(w.accs, a)
			w.byAcc[s.Name] = append(w.byAcc[s.Name], a)
		}
	}
	for i := range in.Replicas {
		r := &in.Replicas[i]
		w.byTarget[r.Target] = append(w.byTarget[r.Target], r)
		accs := w.byAcc[r.Server]
		if r.Accelerator >= len(accs) {
			continue
		}
		a := accs[r.Accelerator]
		a.used += r.MemoryMiB
		a.replicas = append(a.replicas, r)
		a.busy = a.busy || r.State != StateLoaded
		if r.State == StateLoading && w.tier(a, r.Target) == TierRemote {
			w.remote++
		}
	}
	for _, a := range w.accs {
		for _, r := range a.replicas {
			if w.evictable(a, r) {
				a.idle += r.MemoryMiB
			}
		}
	}
	return w
}

func (w *world) tier(a *accelerator, target string) Tier { return a.server.Cached[target] }

// wakes lists the targets that need a replica, in the order in which they are
// served: what an operator pinned last, else by priority and earliest deadline.
func (w *world) wakes() []wake {
	byName := map[string]wake{}
	for _, target := range slices.Sorted(maps.Keys(w.in.Demands)) {
		d := w.in.Demands[target]
		m, ok := w.in.Model(target)
		if !ok || d.Waiting+d.ExpectedRetries == 0 {
			continue
		}
		if w.have(m) >= w.want(m, d) {
			w.forecastExisting(target)
			continue
		}
		byName[target] = wake{model: m, demand: d, deadline: deadlineOf(w.in.Now, d)}
		w.wakeBase(byName, m, d)
	}
	for _, name := range w.in.Pinned {
		m, ok := w.in.Model(name)
		if _, there := byName[name]; ok && !there && w.have(m) < m.MinReplicas {
			byName[name] = wake{model: m, deadline: w.in.Now.Add(time.Hour), pinned: true}
		}
	}
	w.wakeAhead(byName)
	return slices.SortedFunc(maps.Values(byName), func(a, b wake) int {
		return cmp.Or(cmp.Compare(b.demand.Priority, a.demand.Priority), a.deadline.Compare(b.deadline),
			cmp.Compare(len(a.model.Base), len(b.model.Base)), cmp.Compare(a.model.Name, b.model.Name))
	})
}

// wakeAhead adds targets whose expected cold starts cost clearly more than
// holding them from now on: the margin keeps what was just let go from coming
// back at once.
func (w *world) wakeAhead(byName map[string]wake) {
	for _, name := range w.in.PreloadCandidates {
		m, ok := w.in.Model(name)
		if _, there := byName[name]; !ok || there || len(w.byTarget[name]) > 0 || len(w.accs) == 0 {
			continue
		}
		if m.Base != "" && !w.baseHasRoom(m) {
			continue
		}
		cold, held := w.prices(w.accs[0], m)
		if margin := aheadMargin * cold; w.pattern(name).HoldGain(w.in.Now, horizon, cold, held, margin) > margin {
			byName[name] = wake{model: m, deadline: w.in.Now.Add(time.Hour), ahead: true}
		}
	}
}

// wakeBase makes an adapter's demand one for its base where no accelerator with
// the base has room.
func (w *world) wakeBase(byName map[string]wake, m Model, d Demand) {
	if m.Base == "" || w.baseHasRoom(m) {
		return
	}
	base, ok := w.in.Model(m.Base)
	if _, there := byName[m.Base]; !ok || there || w.underWay(base) {
		return
	}
	byName[m.Base] = wake{model: base, demand: Demand{Priority: d.Priority, EarliestDeadline: d.EarliestDeadline}, deadline: deadlineOf(w.in.Now, d)}
}

func (w *world) underWay(m Model) bool {
	return slices.ContainsFunc(w.byTarget[m.Name], func(r *Replica) bool { return r.State == StateLoading })
}

func (w *world) baseHasRoom(m Model) bool {
	for _, a := range w.accs {
		if a.holds(m.Base, StateLoaded) && a.server.Usable && a.total-a.used+a.idle >= m.MemoryMiB {
			return true
		}
	}
	return false
}

func deadlineOf(now time.Time, d Demand) time.Time {
	if d.EarliestDeadline.IsZero() {
		return now.Add(time.Minute)
	}
	return d.EarliestDeadline
}

// have counts the replicas that serve or will serve the present version.
func (w *world) have(m Model) int {
	if n, ok := w.held[m.Name]; ok {
		return n
	}
	n := 0
	for _, r := range w.byTarget[m.Name] {
		if r.State != StateUnloading && r.Version == m.Version && w.usable(r.Server) {
			n++
		}
	}
	w.held[m.Name] = n
	return n
}

func (w *world) usable(server string) bool {
	accs := w.byAcc[server]
	return len(accs) > 0 && accs[0].server.Usable
}

func (w *world) want(m Model, d Demand) int {
	per := cmp.Or(w.in.Prices.WaitingPerReplica, defaultPerReplica)
	need := max((d.Waiting+per-1)/per, m.MinReplicas, 1)
	return min(need, m.MaxReplicas)
}

func (w *world) forecastExisting(target string) {
	var best Forecast
	for _, r := range w.byTarget[target] {
		switch {
		case r.State == StateLoaded && w.usable(r.Server):
			return
		case r.State == StateLoading && (!best.Possible || r.ReadyAt.Before(best.ReadyAt)):
			best = Forecast{Possible: true, ReadyAt: r.ReadyAt}
		}
	}
	w.plan.Forecasts[target] = best
}

// serve decides one more replica for a target, or why there is none.
func (w *world) serve(k wake) {
	name := k.model.Name
	if held := len(w.byTarget[name]); held >= k.model.MaxReplicas {
		w.say(name, w.atBound(k.model))
		return
	}
	best, ready := w.cheapest(k)
	if best == nil {
		w.say(name, w.noRoom(k.model))
		return
	}
	w.say(name, Forecast{Possible: true, ReadyAt: ready})
	if free := best.total - best.used; free < k.model.MemoryMiB {
		if k.ahead {
			return
		}
		w.evict(best, k.model.MemoryMiB-free, name)
		return
	}
	if w.tier(best, name) == TierRemote {
		w.remote++
	}
	best.busy = true
	best.used += k.model.MemoryMiB
	w.plan.Decisions = append(w.plan.Decisions, Decision{
		Kind: KindLoad, Target: name, Server: best.server.Name, Incarnation: best.server.Incarnation,
		Accelerator: best.index, ReadyAt: ready, Reason: wakeReason(k),
	})
}

func wakeReason(k wake) string {
	switch {
	case k.pinned:
		return "lower bound"
	case k.ahead:
		return "expected soon"
	}
	return fmt.Sprintf("%d waiting", k.demand.Waiting+k.demand.ExpectedRetries)
}

// say keeps the better of two forecasts: a loading replica beats a planned one.
func (w *world) say(target string, f Forecast) {
	w.forecastExisting(target)
	if old, ok := w.plan.Forecasts[target]; ok && old.Possible && (!f.Possible || old.ReadyAt.Before(f.ReadyAt)) {
		return
	}
	for _, r := range w.byTarget[target] {
		if r.State == StateLoaded && w.usable(r.Server) {
			return
		}
	}
	w.plan.Forecasts[target] = f
}

// atBound tells a wait from an impossibility when every replica that was
// confirmed is decided: one that is being unloaded makes room, and a server that
// went quiet may come back, under the same incarnation or a new one. A lost
// server's replica stays counted until somebody proves or decides otherwise.
func (w *world) atBound(m Model) Forecast {
	reason := fmt.Sprintf("all %d replicas of %q are decided", m.MaxReplicas, m.Name)
	for _, r := range w.byTarget[m.Name] {
		accs := w.byAcc[r.Server]
		if len(accs) > 0 && !accs[0].server.Lost {
			return Forecast{Possible: true, ReadyAt: w.in.Now.Add(unloadTime + w.loadTime(accs[0], m))}
		}
		reason = fmt.Sprintf("%d of %d replicas of %q are decided, one of them on server %q, which is lost; "+
			"an operator may raise max-replicas or forget the server", len(w.byTarget[m.Name]), m.MaxReplicas, m.Name, r.Server)
	}
	return Forecast{Reason: reason}
}

// noRoom tells a wait from an impossibility: orders that are under way may free
// an accelerator.
func (w *world) noRoom(m Model) Forecast {
	for _, a := range w.accs {
		if a.server.Usable && a.busy && a.total >= m.MemoryMiB {
			return Forecast{Possible: true, ReadyAt: w.in.Now.Add(w.loadTime(a, m) + w.busyTime(a))}
		}
	}
	// An adapter waits for its base.
	if f, ok := w.plan.Forecasts[m.Base]; ok && m.Base != "" && f.Possible {
		return Forecast{Possible: true, ReadyAt: f.ReadyAt.Add(loadOverhead)}
	}
	return Forecast{Reason: fmt.Sprintf("no accelerator has room for the %d MiB of %q", m.MemoryMiB, m.Name)}
}

func (w *world) busyTime(a *accelerator) time.Duration {
	wait := unloadTime
	for _, r := range a.replicas {
		if r.State == StateLoading {
			wait = max(wait, r.ReadyAt.Sub(w.in.Now))
		}
	}
	return wait
}

// cheapest returns the accelerator with the lowest price in seconds: the time
// to load, what the evicted replicas were worth, and the spread.
func (w *world) cheapest(k wake) (*accelerator, time.Time) {
	var best *accelerator
	var ready time.Time
	price := 0.0
	near := w.centresOf(k.model.Name)
	for _, a := range w.accs {
		if !w.fits(a, k.model) {
			continue
		}
		took := w.loadTime(a, k.model)
		cost := took.Seconds() + w.evictionCost(a, k.model.MemoryMiB)
		if near[a.server.DataCentre] {
			cost += spreadPenalty
		}
		// Between equals the fuller accelerator wins: it leaves the large gaps
		// for large models.
		cost += float64(a.total-a.used) / float64(a.total+1) * 0.01
		if best == nil || cost < price {
			best, price, ready = a, cost, w.in.Now.Add(took)
			if a.total-a.used < k.model.MemoryMiB {
				ready = ready.Add(unloadTime)
			}
		}
	}
	return best, ready
}

func (w *world) fits(a *accelerator, m Model) bool {
	if !a.server.Usable || a.busy || a.going || a.holdsAny(m.Name) {
		return false
	}
	if m.Base != "" && !a.holds(m.Base, StateLoaded) {
		return false
	}
	return a.total-a.used+a.idle >= m.MemoryMiB
}

func (w *world) centresOf(target string) map[string]bool {
	out := map[string]bool{}
	for _, r := range w.byTarget[target] {
		if accs := w.byAcc[r.Server]; len(accs) > 0 {
			out[accs[0].server.DataCentre] = true
		}
	}
	return out
}

func (a *accelerator) holds(target string, s State) bool {
	return slices.ContainsFunc(a.replicas, func(r *Replica) bool { return r.Target == target && r.State == s })
}

func (a *accelerator) holdsAny(target string) bool {
	return slices.ContainsFunc(a.replicas, func(r *Replica) bool { return r.Target == target })
}

// loadTime is the expected time of a load that starts now.
func (w *world) loadTime(a *accelerator, m Model) time.Duration {
	return LoadTime(w.in.Speeds, w.tier(a, m.Name), m.MemoryMiB, w.remote)
}

// LoadTime is the expected time of a load from a tier while a number of remote
// loads run already.
func LoadTime(s LoadSpeeds, t Tier, mib uint64, remote int) time.Duration {
	rate := s.RemoteMiBPerSecond
	wait := 0.0
	switch t {
	case TierMemory:
		rate = s.MemoryMiBPerSecond
	case TierDisk:
		rate = s.DiskMiBPerSecond
	case TierRemote:
		if over := remote + 1 - s.FullSpeedLoads; over > 0 {
			rate = rate * float64(s.FullSpeedLoads) / float64(remote+1)
		}
		if s.LoadsPerSecond > 0 {
			wait = float64(remote) / s.LoadsPerSecond
		}
	}
	if rate <= 0 {
		return time.Hour
	}
	return loadOverhead + time.Duration((float64(mib)/rate+wait)*float64(time.Second))
}
