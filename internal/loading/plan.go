// Package loading decides which models and adapters the engines load, and sends the orders.
// Decide is a pure function; Driver runs it on the leader.
package loading

import (
	"cmp"
	"math"
	"slices"
)

// plan is the state of one decision.
type plan struct {
	in Input
	// replicas counts, by model, the engines that have it loaded or load it next, and copies
	// those with a copy on disk or a load in progress.
	replicas map[string]int
	copies   map[string]int
	// replicaEngines are the engines that have a model and do not unload it, in the order of
	// the input.
	replicaEngines map[string][]*Engine
	// copyOnlyRates caches, by engine, the blocked rate of the models that it has a copy of and
	// no engine has loaded.
	copyOnlyRates map[string]float64
	// utilization is the share of each engine's slots that the requests for its models fill.
	utilization map[*Engine]float64
	// slotShares caches meanSlotShare, by model.
	slotShares map[string]float64
	// available are the engines that take an order; markBusy removes them.
	available []*Engine
	// adapterReserve is the memory reserved for adapters at each engine.
	adapterReserve float64
	actions        []Action
	blocked        []Blocked
}

// Decide returns the orders that are due, at most one for each engine, and the models that need
// a replica and can't be loaded.
func Decide(in Input) ([]Action, []Blocked) {
	models, engines := len(in.Models), len(in.Engines)
	p := &plan{
		in: in, replicas: make(map[string]int, models), copies: make(map[string]int, models),
		replicaEngines: make(map[string][]*Engine, models), copyOnlyRates: map[string]float64{},
		utilization: make(map[*Engine]float64, engines), slotShares: make(map[string]float64, models),
	}
	p.countReplicas()
	p.discountUnusableEngines()
	p.computeUtilization()
	p.adapterReserve = p.adapterMemory()
	p.loadIntoMadeRoom()
	unplaced := p.loadWaitingAdapters()
	for _, m := range p.modelsByUrgency() {
		if blocked, ok := p.placeReplica(m, p.reason(m)); !ok {
			p.blocked = append(p.blocked, blocked)
		}
	}
	p.preloadModels()
	for _, ref := range unplaced {
		p.unloadIdleAdapter(ref)
	}
	p.preloadAdapters()
	return p.actions, p.blocked
}

// loadIntoMadeRoom loads the models that room was made for. Left to the usual order of models,
// the model that was unloaded, which may have requests again by then, would often be loaded back
// instead: both wait for two orders, and the one that room was made for keeps waiting.
func (p *plan) loadIntoMadeRoom() {
	for _, e := range slices.Clone(p.available) {
		m := p.in.Models[e.RoomMadeFor]
		if m == nil || hasModel(e, m.Name) || !p.needsReplica(m) || p.freeMemory(e) < m.MemoryMB {
			continue
		}
		if p.needsStore(e, m) && p.in.StoreLoadsAllowed <= 0 {
			continue
		}
		p.addAction(e, m, "", p.reason(m))
	}
}

// needsReplica reports whether a model needs one more replica.
func (p *plan) needsReplica(m *Model) bool {
	return !m.Suspended && (m.Waiting > 0 && p.replicas[m.Name] == 0 || p.replicas[m.Name] < p.replicasNeeded(m))
}

// reason returns why a model gets a replica.
func (p *plan) reason(m *Model) Reason {
	if p.replicas[m.Name] > 0 {
		return ReasonBusy
	}
	return ReasonWaiting
}

// busyEngines returns the number of engines that take no order.
func (p *plan) busyEngines() int { return len(p.in.Engines) - len(p.available) }

func (p *plan) countReplicas() {
	for _, e := range p.in.Engines {
		if !e.Busy {
			p.available = append(p.available, e)
		}
		if e.Incoming != "" {
			p.replicas[e.Incoming]++
			p.copies[e.Incoming]++
		}
		for _, l := range e.Loaded {
			if l.Model != e.Unloading {
				p.replicas[l.Model]++
				p.replicaEngines[l.Model] = append(p.replicaEngines[l.Model], e)
			}
		}
		for name, present := range e.OnDisk {
			if present {
				p.copies[name]++
			}
		}
	}
}

// modelsByUrgency returns the models that need a replica, the most urgent first: by the rate of
// requests that are not served in time, then by the rate per replica.
func (p *plan) modelsByUrgency() []*Model {
	// candidate is a model with its sort keys, computed once.
	type candidate struct {
		m                            *Model
		unservedRate, ratePerReplica float64
	}
	var candidates []candidate
	for _, m := range p.in.Models {
		if p.needsReplica(m) {
			candidates = append(candidates, candidate{m, p.unservedRate(m), m.Rate / float64(p.replicas[m.Name]+1)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(b.unservedRate, a.unservedRate), cmp.Compare(b.ratePerReplica, a.ratePerReplica),
			cmp.Compare(b.m.Waiting, a.m.Waiting), cmp.Compare(a.m.Name, b.m.Name),
		)
	})
	out := make([]*Model, len(candidates))
	for i, c := range candidates {
		out[i] = c.m
	}
	return out
}

// placeReplica loads a model at the engine with the lowest cost in load time and lost replicas,
// or makes room there. It looks only at engines that take an order: under load most have one in
// progress, and each blocked model would be tried at every engine in every round.
func (p *plan) placeReplica(m *Model, reason Reason) (blocked Blocked, ok bool) {
	var best *Engine
	bestCost := math.Inf(1)
	var bestVictim string
	blocked = Blocked{Model: m.Name, Rate: m.Rate, Busy: p.busyEngines()}
	for _, e := range p.available {
		victims, loss, ok := p.canLoad(e, m, &blocked)
		if !ok {
			continue
		}
		cost := p.loadTime(e, m).Seconds() + loss + blockedRequestCost*p.blockedRequests(e, m, victims) + fullEngineCost*p.utilization[e]
		if e.Limited || e.Rejecting {
			cost += limitedEngineCost
		}
		if cost < bestCost {
			best, bestCost, bestVictim = e, cost, ""
			if len(victims) > 0 {
				bestVictim = victims[0]
			}
		}
	}
	if best == nil {
		return blocked, false
	}
	p.addAction(best, m, bestVictim, reason)
	return blocked, true
}

// fullEngineCost is the cost of an engine whose slots are all in use, in seconds of load time:
// the time that its requests wait for a slot, which is about the run time of a request, for
// each of the few seconds until the next replica is ready.
const fullEngineCost = 4.0

// limitedEngineCost is the cost of an engine that states a request limit or rejects requests, in
// seconds of load time: longer than any load, as its requests wait for as long as that lasts.
const limitedEngineCost = 100.0

// canLoad reports whether an engine can load a model now, or begin to make room for it, and
// counts the reason in blocked if not.
func (p *plan) canLoad(e *Engine, m *Model, blocked *Blocked) (victims []string, loss float64, ok bool) {
	switch {
	case hasModel(e, m.Name):
		blocked.Loaded++
		return nil, 0, false
	case p.needsStore(e, m) && p.in.StoreLoadsAllowed <= 0:
		blocked.StoreLimited++
		return nil, 0, false
	}
	if victims, loss, ok = p.evictions(e, m); !ok {
		blocked.Full++
	}
	return victims, loss, ok
}

// markBusy excludes an engine from the rest of the round.
func (p *plan) markBusy(e *Engine) {
	p.available = slices.DeleteFunc(p.available, func(f *Engine) bool { return f == e })
}

func (p *plan) addAction(e *Engine, m *Model, victim string, reason Reason) {
	p.markBusy(e)
	p.replicas[m.Name]++
	if victim != "" {
		p.replicas[victim]--
		p.actions = append(p.actions, Action{Reason: reason, Engine: e.ID, Model: victim, RoomFor: m.Name})
		return
	}
	store := p.needsStore(e, m)
	if store {
		p.in.StoreLoadsAllowed--
		p.in.StoreLoadsRunning++
	}
	p.actions = append(p.actions, Action{Reason: reason, Engine: e.ID, Load: true, Model: m.Name, FromStore: store})
}

func (p *plan) needsStore(e *Engine, m *Model) bool {
	return !e.InMemory[m.Name] && !e.OnDisk[m.Name]
}
