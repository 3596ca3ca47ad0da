package loading

import (
	"math"
	"slices"
	"time"
)

// adapter loads an adapter beside its model, where there is a place, or else
// makes a place by dropping an idle adapter, the one that was not asked for the
// longest. One with requests is never dropped: the engine takes no other order until
// they have ended, and those that wait for other adapters there wait with it.
func (p *plan) adapter(d AdapterDemand) {
	var best *Engine
	var victim heldAdapter
	bestFree := math.MinInt
	for _, e := range p.free {
		if !holds(e, d.Model) || e.Leaving == d.Model {
			continue
		}
		free := p.freePlaces(e)
		var idle heldAdapter
		if free <= 0 {
			if idle = oldestIdle(e); idle.adapter == "" {
				continue
			}
		}
		if free > bestFree {
			best, bestFree, victim = e, free, idle
		}
	}
	if best == nil {
		return
	}
	p.take(best)
	if bestFree > 0 {
		p.out = append(p.out, Action{Engine: best.ID, Load: true, Model: d.Model, Adapter: d.Adapter})
		return
	}
	p.out = append(p.out, Action{Engine: best.ID, Model: victim.model, Adapter: victim.adapter, For: d.Model})
}

// stockAdapters fills free places with adapters of busy models: first with those that
// no engine holds, then with further copies of those that are asked for. They load in
// milliseconds, but only while there is a leader that may give orders: their callers
// would wait for seconds after a change of leader. And a model's new replica serves
// none of its adapters' callers before it has them: with each adapter on one engine,
// that engine had a hundred requests for 48 slots beside replicas that had ten.
func (p *plan) stockAdapters() {
	held := map[heldAdapter]int{}
	for _, e := range p.in.Engines {
		for _, h := range e.Held {
			for a := range h.Adapters {
				held[heldAdapter{h.Model, a}]++
			}
		}
	}
	for _, e := range slices.Clone(p.free) {
		if p.freePlaces(e) <= 0 {
			continue
		}
		next := p.missing(e, held)
		if next.adapter == "" {
			continue
		}
		held[next]++
		p.take(e)
		p.out = append(p.out, Action{Reason: ReasonStock, Engine: e.ID, Load: true, Model: next.model, Adapter: next.adapter})
	}
}

// heldAdapter names an adapter of a model.
type heldAdapter struct{ model, adapter string }

// missing returns the adapter that an engine should hold next: one that no engine
// holds of the busiest model, or else the one that it lacks with the most requests for
// each copy.
func (p *plan) missing(e *Engine, held map[heldAdapter]int) heldAdapter {
	var unheld, further heldAdapter
	rate, each := stockRate, copyRate
	for _, h := range e.Held {
		m := p.in.Models[h.Model]
		if m == nil {
			continue
		}
		for _, a := range m.Adapters {
			at := heldAdapter{h.Model, a}
			if _, has := h.Adapters[a]; has {
				continue
			}
			if n := held[at]; n == 0 && m.Rate >= rate && (unheld.model != h.Model) {
				unheld, rate = at, m.Rate
			} else if r := m.AdapterRate[a] / float64(n+1); n > 0 && r > each {
				further, each = at, r
			}
		}
	}
	if unheld.adapter != "" {
		return unheld
	}
	return further
}

// copyRate is from how many requests a second for each copy on an adapter is given
// another one: of one that is asked for less often a single engine serves all.
const copyRate = 0.1

// stockRate is from how many requests a second on a model's adapters are loaded
// ahead: of a model that is asked for less often, most would never be used.
const stockRate = 0.5

func adapters(e *Engine) int {
	n := 0
	for _, h := range e.Held {
		n += len(h.Adapters)
	}
	return n
}

// oldestIdle returns the adapter without requests that was not asked for the longest.
func oldestIdle(e *Engine) heldAdapter {
	var out heldAdapter
	var at time.Time
	for _, h := range e.Held {
		for a, last := range h.Adapters {
			if h.AdapterRuns[a] || slices.Contains(e.Late, AdapterDemand{Model: h.Model, Adapter: a}) {
				continue
			}
			this := heldAdapter{h.Model, a}
			if out.adapter == "" || last.Before(at) || last.Equal(at) && this.less(out) {
				out, at = this, last
			}
		}
	}
	return out
}

func (a heldAdapter) less(b heldAdapter) bool {
	return a.model < b.model || a.model == b.model && a.adapter < b.adapter
}
