// Package loading decides which models and adapters the engines load, and gives
// the orders. Decide is a pure function; Driver is the leader's hand.
package loading

import (
	"cmp"
	"math"
	"slices"
)

// plan is the state of one decision.
type plan struct {
	in       Input
	replicas map[string]int
	copies   map[string]int
	// holders are the engines that hold a model and keep it, in the order of the engines.
	holders map[string][]*Engine
	// copiesOnly holds, for each engine that was looked at, the requests a second
	// for models that no engine holds and that it has a copy of.
	copiesOnly map[string]float64
	// load is how much of each engine's slots the requests for its models fill.
	load map[*Engine]float64
	// rooms holds what roomEach has worked out, by model.
	rooms map[string]float64
	// free are the engines that take an order; order takes them off.
	free []*Engine
	// reserved is the memory that is kept free at each engine.
	reserved float64
	out      []Action
	blocked  []Blocked
}

// Decide returns the orders that are due, at most one for each engine, and the
// models that are wanted and can't be loaded.
func Decide(in Input) ([]Action, []Blocked) {
	models, engines := len(in.Models), len(in.Engines)
	p := &plan{
		in: in, replicas: make(map[string]int, models), copies: make(map[string]int, models), holders: make(map[string][]*Engine, models),
		copiesOnly: map[string]float64{}, load: make(map[*Engine]float64, engines), rooms: make(map[string]float64, models),
	}
	p.count()
	p.weigh()
	p.reserved = p.reserve()
	p.useCleared()
	placeless := p.placeAdapters()
	for _, m := range p.wanted() {
		if why, ok := p.place(m, p.reason(m)); !ok {
			p.blocked = append(p.blocked, why)
		}
	}
	p.stock()
	for _, d := range placeless {
		p.makePlace(d)
	}
	p.stockAdapters()
	return p.out, p.blocked
}

// useCleared loads what room was made for. Were it left to the round that follows,
// the model that had to go, which somebody asks for by then, would often be loaded
// back in its place: both wait for two orders, and the one that room was made for
// waits on.
func (p *plan) useCleared() {
	for _, e := range slices.Clone(p.free) {
		m := p.in.Models[e.RoomMadeFor]
		if m == nil || holds(e, m.Name) || !p.lacks(m) || p.freeMemory(e) < m.MemoryMB {
			continue
		}
		if p.fromStore(e, m) && p.in.StoreLoadsAllowed <= 0 {
			continue
		}
		p.order(e, m, "", p.reason(m))
	}
}

// lacks reports whether a model is to be given one more replica.
func (p *plan) lacks(m *Model) bool {
	return !m.Suspended && (m.Waiting > 0 && p.replicas[m.Name] == 0 || p.replicas[m.Name] < p.needed(m))
}

// reason is why a model is given a replica.
func (p *plan) reason(m *Model) Reason {
	if p.replicas[m.Name] > 0 {
		return ReasonBusy
	}
	return ReasonWaiting
}

// busy counts the engines that take no order.
func (p *plan) busy() int { return len(p.in.Engines) - len(p.free) }

func (p *plan) count() {
	for _, e := range p.in.Engines {
		if !e.Busy {
			p.free = append(p.free, e)
		}
		if e.Incoming != "" {
			p.replicas[e.Incoming]++
			p.copies[e.Incoming]++
		}
		for _, h := range e.Loaded {
			if h.Model != e.Unloading {
				p.replicas[h.Model]++
				p.holders[h.Model] = append(p.holders[h.Model], e)
			}
		}
		for name, there := range e.OnDisk {
			if there {
				p.copies[name]++
			}
		}
	}
}

// wanted returns the models that lack a replica, the most urgent first: those with
// the most callers that are not served in time, then those whose replicas have the
// most requests each.
func (p *plan) wanted() []*Model {
	// want is a model with what it is compared by, worked out once.
	type want struct {
		m          *Model
		hurt, each float64
	}
	var wants []want
	for _, m := range p.in.Models {
		if p.lacks(m) {
			wants = append(wants, want{m, p.hurt(m), m.Rate / float64(p.replicas[m.Name]+1)})
		}
	}
	slices.SortFunc(wants, func(a, b want) int {
		return cmp.Or(
			cmp.Compare(b.hurt, a.hurt), cmp.Compare(b.each, a.each), cmp.Compare(b.m.Waiting, a.m.Waiting), cmp.Compare(a.m.Name, b.m.Name),
		)
	})
	out := make([]*Model, len(wants))
	for i, w := range wants {
		out[i] = w.m
	}
	return out
}

// place finds the engine that has the model soonest at the least loss. Only engines
// that take an order are looked at: under load most have one, and models that are
// wanted and blocked would be tried at every engine in every round.
func (p *plan) place(m *Model, reason Reason) (why Blocked, ok bool) {
	var best *Engine
	bestCost := math.Inf(1)
	var bestVictim string
	why = Blocked{Model: m.Name, Rate: m.Rate, Busy: p.busy()}
	for _, e := range p.free {
		victims, loss, ok := p.possible(e, m, &why)
		if !ok {
			continue
		}
		cost := p.loadTime(e, m).Seconds() + loss + blockedWeight*p.blockedBy(e, m, victims) + fullWeight*p.load[e]
		if cost < bestCost {
			best, bestCost, bestVictim = e, cost, ""
			if len(victims) > 0 {
				bestVictim = victims[0]
			}
		}
	}
	if best == nil {
		return why, false
	}
	p.order(best, m, bestVictim, reason)
	return why, true
}

// fullWeight is how many seconds of load time an engine counts for all of whose slots
// are in use: as long as its requests wait for a slot there, which is about as long as
// one runs, for each of the few seconds until the next replica is there.
const fullWeight = 4.0

// possible tells whether an engine can load a model now, or begin to make room.
func (p *plan) possible(e *Engine, m *Model, why *Blocked) (victims []string, loss float64, ok bool) {
	switch {
	case holds(e, m.Name):
		why.Loaded++
		return nil, 0, false
	case p.fromStore(e, m) && p.in.StoreLoadsAllowed <= 0:
		why.StoreLimited++
		return nil, 0, false
	}
	if victims, loss, ok = p.room(e, m); !ok {
		why.Full++
	}
	return victims, loss, ok
}

// take rules an engine out for the rest of the round.
func (p *plan) take(e *Engine) {
	p.free = slices.DeleteFunc(p.free, func(f *Engine) bool { return f == e })
}

func (p *plan) order(e *Engine, m *Model, victim string, reason Reason) {
	p.take(e)
	p.replicas[m.Name]++
	if victim != "" {
		p.replicas[victim]--
		p.out = append(p.out, Action{Reason: reason, Engine: e.ID, Model: victim, RoomFor: m.Name})
		return
	}
	store := p.fromStore(e, m)
	if store {
		p.in.StoreLoadsAllowed--
		p.in.StoreLoadsRunning++
	}
	p.out = append(p.out, Action{Reason: reason, Engine: e.ID, Load: true, Model: m.Name, FromStore: store})
}

func (p *plan) fromStore(e *Engine, m *Model) bool {
	return !e.InMemory[m.Name] && !e.OnDisk[m.Name]
}
