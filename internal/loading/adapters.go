package loading

import (
	"math"
	"slices"
	"time"
)

// adapter loads an adapter beside its model, where there is a place, or else
// makes a place by dropping the adapter that was not asked for the longest.
func (p *plan) adapter(d AdapterDemand) {
	var best *Engine
	bestFree := math.MinInt
	for _, e := range p.free {
		if !holds(e, d.Model) || e.Leaving == d.Model {
			continue
		}
		if free := p.in.Places - adapters(e); free > bestFree {
			best, bestFree = e, free
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
	model, adapter := oldest(best)
	p.out = append(p.out, Action{Engine: best.ID, Model: model, Adapter: adapter, For: d.Model})
}

// stockAdapters fills free places with adapters of busy models that no engine
// holds. They load in milliseconds, but only while there is a leader that may
// give orders: their callers would wait for seconds after a change of leader.
func (p *plan) stockAdapters() {
	held := map[string]bool{}
	for _, e := range p.in.Engines {
		for _, h := range e.Held {
			for a := range h.Adapters {
				held[h.Model+"/"+a] = true
			}
		}
	}
	for _, e := range slices.Clone(p.free) {
		if adapters(e) >= p.in.Places {
			continue
		}
		model, adapter := p.unheld(e, held)
		if adapter == "" {
			continue
		}
		held[model+"/"+adapter] = true
		p.take(e)
		p.out = append(p.out, Action{Reason: ReasonStock, Engine: e.ID, Load: true, Model: model, Adapter: adapter})
	}
}

// unheld returns an adapter that no engine holds of the busiest model of an
// engine that has such an adapter.
func (p *plan) unheld(e *Engine, held map[string]bool) (model, adapter string) {
	rate := stockRate
	for _, h := range e.Held {
		m := p.in.Models[h.Model]
		if m == nil || m.Rate < rate {
			continue
		}
		i := slices.IndexFunc(m.Adapters, func(a string) bool { return !held[h.Model+"/"+a] })
		if i >= 0 {
			model, adapter, rate = h.Model, m.Adapters[i], m.Rate
		}
	}
	return model, adapter
}

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

func oldest(e *Engine) (model, adapter string) {
	var at time.Time
	for _, h := range e.Held {
		for a, asked := range h.Adapters {
			if adapter == "" || asked.Before(at) || asked.Equal(at) && h.Model+a < model+adapter {
				model, adapter, at = h.Model, a, asked
			}
		}
	}
	return model, adapter
}
