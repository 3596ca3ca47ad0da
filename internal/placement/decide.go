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
	// spreadPenalty is the cost, in seconds, of a second replica in a data centre that already
	// has one.
	spreadPenalty            = 2.0
	defaultWaitingPerReplica = 8
	// preloadMargin is the least gain of a preload, as a share of the price of a cold start.
	preloadMargin = 0.25
)

// accelerator is an accelerator with its replicas.
type accelerator struct {
	server   *Server
	index    int
	totalMiB uint64
	usedMiB  uint64
	busy     bool
	replicas []*Replica
	// unloading is set when this round unloads a replica here.
	unloading bool
	// evictableMiB is the memory that unloading all evictable replicas would free.
	evictableMiB uint64
}

// planner is the state of one decision.
type planner struct {
	in           Input
	accelerators []*accelerator
	byServer     map[string][]*accelerator
	// byTarget are the replicas of each target.
	byTarget map[string][]*Replica
	// serving caches servingReplicas by target, which is called once per replica.
	serving map[string]int
	// remoteLoads counts the remote loads in progress or decided in this round.
	remoteLoads int
	plan        Plan
}

// need is a target that needs another replica.
type need struct {
	model    Model
	demand   Demand
	deadline time.Time
	pinned   bool
	// preload is set when no request waits yet.
	preload bool
}

// Decide returns what to load and unload now. It is deterministic.
func Decide(in Input) Plan {
	p := newPlanner(in)
	for _, n := range p.needs() {
		p.placeReplica(n)
	}
	p.unloadIdle()
	p.plan.IdleAccelerators = p.idleAccelerators()
	return p.plan
}

func newPlanner(in Input) *planner {
	p := &planner{
		in: in, byServer: map[string][]*accelerator{}, byTarget: map[string][]*Replica{}, serving: map[string]int{},
		plan: Plan{Forecasts: map[string]Forecast{}},
	}
	for i := range in.Servers {
		s := &in.Servers[i]
		for j, total := range s.Accelerators {
			a := &accelerator{server: s, index: j, totalMiB: total}
			p.accelerators = append(p.accelerators, a)
			p.byServer[s.Name] = append(p.byServer[s.Name], a)
		}
	}
	for i := range in.Replicas {
		r := &in.Replicas[i]
		p.byTarget[r.Target] = append(p.byTarget[r.Target], r)
		accelerators := p.byServer[r.Server]
		if r.Accelerator >= len(accelerators) {
			continue
		}
		a := accelerators[r.Accelerator]
		a.usedMiB += r.MemoryMiB
		a.replicas = append(a.replicas, r)
		a.busy = a.busy || r.State != StateLoaded
		if r.State == StateLoading && p.tier(a, r.Target) == TierRemote {
			p.remoteLoads++
		}
	}
	for _, a := range p.accelerators {
		for _, r := range a.replicas {
			if p.evictable(a, r) {
				a.evictableMiB += r.MemoryMiB
			}
		}
	}
	return p
}

func (p *planner) tier(a *accelerator, target string) Tier { return a.server.Cached[target] }

// needs returns the targets that need a replica, in the order in which they are placed: by
// priority, then by earliest deadline. Pinned targets and preloads come last: they have no
// priority, and a deadline in an hour.
func (p *planner) needs() []need {
	byName := map[string]need{}
	for _, target := range slices.Sorted(maps.Keys(p.in.Demands)) {
		d := p.in.Demands[target]
		m, ok := p.in.Model(target)
		if !ok || d.Waiting+d.ExpectedRetries == 0 {
			continue
		}
		if p.servingReplicas(m) >= p.wantedReplicas(m, d) {
			p.forecastExisting(target)
			continue
		}
		byName[target] = need{model: m, demand: d, deadline: deadlineOf(p.in.Now, d)}
		p.addBase(byName, m, d)
	}
	for _, name := range p.in.Pinned {
		m, ok := p.in.Model(name)
		if _, listed := byName[name]; ok && !listed && p.servingReplicas(m) < m.MinReplicas {
			byName[name] = need{model: m, deadline: p.in.Now.Add(time.Hour), pinned: true}
		}
	}
	p.addPreloads(byName)
	return slices.SortedFunc(maps.Values(byName), func(a, b need) int {
		return cmp.Or(cmp.Compare(b.demand.Priority, a.demand.Priority), a.deadline.Compare(b.deadline),
			cmp.Compare(len(a.model.Base), len(b.model.Base)), cmp.Compare(a.model.Name, b.model.Name))
	})
}

// addPreloads adds targets whose expected cold starts cost clearly more than holding them from
// now on. The margin keeps a target that was just unloaded from being loaded again at once.
func (p *planner) addPreloads(byName map[string]need) {
	for _, name := range p.in.PreloadCandidates {
		m, ok := p.in.Model(name)
		if _, listed := byName[name]; !ok || listed || len(p.byTarget[name]) > 0 || len(p.accelerators) == 0 {
			continue
		}
		if m.Base != "" && !p.baseHasRoom(m) {
			continue
		}
		coldPrice, idlePrice := p.prices(p.accelerators[0], m)
		if margin := preloadMargin * coldPrice; p.pattern(name).HoldGain(p.in.Now, horizon, coldPrice, idlePrice, margin) > margin {
			byName[name] = need{model: m, deadline: p.in.Now.Add(time.Hour), preload: true}
		}
	}
}

// addBase turns the demand for an adapter into demand for its base if no accelerator with the
// base has room.
func (p *planner) addBase(byName map[string]need, m Model, d Demand) {
	if m.Base == "" || p.baseHasRoom(m) {
		return
	}
	base, ok := p.in.Model(m.Base)
	if _, listed := byName[m.Base]; !ok || listed || p.isLoading(base) {
		return
	}
	byName[m.Base] = need{model: base, demand: Demand{Priority: d.Priority, EarliestDeadline: d.EarliestDeadline}, deadline: deadlineOf(p.in.Now, d)}
}

func (p *planner) isLoading(m Model) bool {
	return slices.ContainsFunc(p.byTarget[m.Name], func(r *Replica) bool { return r.State == StateLoading })
}

func (p *planner) baseHasRoom(m Model) bool {
	for _, a := range p.accelerators {
		if a.hasInState(m.Base, StateLoaded) && a.server.Usable && a.totalMiB-a.usedMiB+a.evictableMiB >= m.MemoryMiB {
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

// servingReplicas counts the replicas that serve or will serve the current version.
func (p *planner) servingReplicas(m Model) int {
	if n, ok := p.serving[m.Name]; ok {
		return n
	}
	n := 0
	for _, r := range p.byTarget[m.Name] {
		if r.State != StateUnloading && r.Version == m.Version && p.usable(r.Server) {
			n++
		}
	}
	p.serving[m.Name] = n
	return n
}

func (p *planner) usable(server string) bool {
	accelerators := p.byServer[server]
	return len(accelerators) > 0 && accelerators[0].server.Usable
}

func (p *planner) wantedReplicas(m Model, d Demand) int {
	per := cmp.Or(p.in.Prices.WaitingPerReplica, defaultWaitingPerReplica)
	replicas := max((d.Waiting+per-1)/per, m.MinReplicas, 1)
	return min(replicas, m.MaxReplicas)
}

func (p *planner) forecastExisting(target string) {
	var best Forecast
	for _, r := range p.byTarget[target] {
		switch {
		case r.State == StateLoaded && p.usable(r.Server):
			return
		case r.State == StateLoading && (!best.Possible || r.ReadyAt.Before(best.ReadyAt)):
			best = Forecast{Possible: true, ReadyAt: r.ReadyAt}
		}
	}
	p.plan.Forecasts[target] = best
}

// placeReplica decides on one more replica for a target, or forecasts why there is none.
func (p *planner) placeReplica(n need) {
	name := n.model.Name
	if count := len(p.byTarget[name]); count >= n.model.MaxReplicas {
		p.setForecast(name, p.replicaLimitForecast(n.model))
		return
	}
	best, ready := p.cheapest(n)
	if best == nil {
		p.setForecast(name, p.noRoomForecast(n.model))
		return
	}
	p.setForecast(name, Forecast{Possible: true, ReadyAt: ready})
	if free := best.totalMiB - best.usedMiB; free < n.model.MemoryMiB {
		if n.preload {
			return
		}
		p.evict(best, n.model.MemoryMiB-free, name)
		return
	}
	if p.tier(best, name) == TierRemote {
		p.remoteLoads++
	}
	best.busy = true
	best.usedMiB += n.model.MemoryMiB
	p.plan.Decisions = append(p.plan.Decisions, Decision{
		Kind: KindLoad, Target: name, Server: best.server.Name, Incarnation: best.server.Incarnation,
		Accelerator: best.index, ReadyAt: ready, Reason: loadReason(n),
	})
}

func loadReason(n need) string {
	switch {
	case n.pinned:
		return "lower bound"
	case n.preload:
		return "expected soon"
	}
	return fmt.Sprintf("%d waiting", n.demand.Waiting+n.demand.ExpectedRetries)
}

// setForecast sets the better of the existing and the new forecast: a loading replica precedes
// a planned one.
func (p *planner) setForecast(target string, f Forecast) {
	p.forecastExisting(target)
	if current, ok := p.plan.Forecasts[target]; ok && current.Possible && (!f.Possible || current.ReadyAt.Before(f.ReadyAt)) {
		return
	}
	for _, r := range p.byTarget[target] {
		if r.State == StateLoaded && p.usable(r.Server) {
			return
		}
	}
	p.plan.Forecasts[target] = f
}

// replicaLimitForecast returns whether a target at its replica limit can expect a replica: one
// that is being unloaded makes room, and an unreachable server may come back, as the same
// incarnation or a new one. The replica of a lost server counts until its end is proved or an
// operator forgets the server.
func (p *planner) replicaLimitForecast(m Model) Forecast {
	reason := fmt.Sprintf("all %d replicas of %q are decided", m.MaxReplicas, m.Name)
	for _, r := range p.byTarget[m.Name] {
		accelerators := p.byServer[r.Server]
		if len(accelerators) > 0 && !accelerators[0].server.Lost {
			return Forecast{Possible: true, ReadyAt: p.in.Now.Add(unloadTime + p.loadTime(accelerators[0], m))}
		}
		reason = fmt.Sprintf("%d of %d replicas of %q are decided, one of them on server %q, which is lost; "+
			"an operator may raise max-replicas or forget the server", len(p.byTarget[m.Name]), m.MaxReplicas, m.Name, r.Server)
	}
	return Forecast{Reason: reason}
}

// noRoomForecast returns whether a target can expect room: orders in progress may free an
// accelerator.
func (p *planner) noRoomForecast(m Model) Forecast {
	for _, a := range p.accelerators {
		if a.server.Usable && a.busy && a.totalMiB >= m.MemoryMiB {
			return Forecast{Possible: true, ReadyAt: p.in.Now.Add(p.loadTime(a, m) + p.busyTime(a))}
		}
	}
	// An adapter waits for its base.
	if f, ok := p.plan.Forecasts[m.Base]; ok && m.Base != "" && f.Possible {
		return Forecast{Possible: true, ReadyAt: f.ReadyAt.Add(loadOverhead)}
	}
	return Forecast{Reason: fmt.Sprintf("no accelerator has room for the %d MiB of %q", m.MemoryMiB, m.Name)}
}

func (p *planner) busyTime(a *accelerator) time.Duration {
	wait := unloadTime
	for _, r := range a.replicas {
		if r.State == StateLoading {
			wait = max(wait, r.ReadyAt.Sub(p.in.Now))
		}
	}
	return wait
}

// cheapest returns the accelerator with the lowest cost in seconds: the load time, the value of
// the evicted replicas and the spread penalty.
func (p *planner) cheapest(n need) (*accelerator, time.Time) {
	var best *accelerator
	var ready time.Time
	bestCost := 0.0
	occupied := p.dataCentres(n.model.Name)
	for _, a := range p.accelerators {
		if !p.fits(a, n.model) {
			continue
		}
		took := p.loadTime(a, n.model)
		cost := took.Seconds() + p.evictionCost(a, n.model.MemoryMiB)
		if occupied[a.server.DataCentre] {
			cost += spreadPenalty
		}
		// Between equals the fuller accelerator wins, which leaves the large gaps for large
		// models.
		cost += float64(a.totalMiB-a.usedMiB) / float64(a.totalMiB+1) * 0.01
		if best == nil || cost < bestCost {
			best, bestCost, ready = a, cost, p.in.Now.Add(took)
			if a.totalMiB-a.usedMiB < n.model.MemoryMiB {
				ready = ready.Add(unloadTime)
			}
		}
	}
	return best, ready
}

func (p *planner) fits(a *accelerator, m Model) bool {
	if !a.server.Usable || a.busy || a.unloading || a.hasTarget(m.Name) {
		return false
	}
	if m.Base != "" && !a.hasInState(m.Base, StateLoaded) {
		return false
	}
	return a.totalMiB-a.usedMiB+a.evictableMiB >= m.MemoryMiB
}

func (p *planner) dataCentres(target string) map[string]bool {
	out := map[string]bool{}
	for _, r := range p.byTarget[target] {
		if accelerators := p.byServer[r.Server]; len(accelerators) > 0 {
			out[accelerators[0].server.DataCentre] = true
		}
	}
	return out
}

func (a *accelerator) hasInState(target string, s State) bool {
	return slices.ContainsFunc(a.replicas, func(r *Replica) bool { return r.Target == target && r.State == s })
}

func (a *accelerator) hasTarget(target string) bool {
	return slices.ContainsFunc(a.replicas, func(r *Replica) bool { return r.Target == target })
}

// loadTime returns the expected time of a load that starts now.
func (p *planner) loadTime(a *accelerator, m Model) time.Duration {
	return LoadTime(p.in.Speeds, p.tier(a, m.Name), m.MemoryMiB, p.remoteLoads)
}

// LoadTime returns the expected time of a load from a tier while a number of remote loads are
// in progress.
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
