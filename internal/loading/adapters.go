package loading

import (
	"math"
	"slices"
	"time"
)

// placeAdapters loads the adapters that callers wait for and that have a free place beside
// their model, and returns the others. They go before models: an engine that has just
// loaded a busy model would be given seconds of loading another one, and then the next,
// while the callers of all its adapters are refused. An adapter takes milliseconds, and the
// engine's places bound how often it goes first.
func (p *plan) placeAdapters() (others []ModelRef) {
	for _, d := range p.in.WaitingAdapters {
		if !p.placeAdapter(d) {
			others = append(others, d)
		}
	}
	return others
}

// placeAdapter loads an adapter at the engine with the most free places.
func (p *plan) placeAdapter(d ModelRef) bool {
	var best *Engine
	most := 0
	for _, e := range p.free {
		if n := p.freePlaces(e); n > most && holds(e, d.Model) {
			best, most = e, n
		}
	}
	if best == nil {
		return false
	}
	p.take(best)
	p.out = append(p.out, Action{Engine: best.ID, Load: true, Model: d.Model, Adapter: d.Adapter})
	return true
}

// makePlace drops an idle adapter for one that callers wait for: the one that was not
// asked for the longest, at the engine where adapters and what late orders may bring take
// the fewest places. One with requests is never dropped: the engine takes no other order
// until they have ended, and those that wait for other adapters there wait with it.
func (p *plan) makePlace(d ModelRef) {
	var best *Engine
	var victim heldAdapter
	most := math.MinInt
	for _, e := range p.free {
		if !holds(e, d.Model) {
			continue
		}
		if idle := oldestIdle(e); idle.adapter != "" && p.freePlaces(e) > most {
			best, most, victim = e, p.freePlaces(e), idle
		}
	}
	if best == nil {
		return
	}
	p.take(best)
	p.out = append(p.out, Action{Engine: best.ID, Model: victim.model, Adapter: victim.adapter, RoomFor: d.Model})
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
		for _, h := range e.Loaded {
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
	for _, h := range e.Loaded {
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
	for _, h := range e.Loaded {
		n += len(h.Adapters)
	}
	return n
}

// oldestIdle returns the adapter without requests that was not asked for the longest.
func oldestIdle(e *Engine) heldAdapter {
	var out heldAdapter
	var at time.Time
	for _, h := range e.Loaded {
		for a, last := range h.Adapters {
			if h.AdapterInUse[a] || slices.Contains(e.LateLoads, ModelRef{Model: h.Model, Adapter: a}) {
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
