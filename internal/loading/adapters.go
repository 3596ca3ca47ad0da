package loading

import (
	"math"
	"slices"
	"time"
)

// loadWaitingAdapters loads each adapter that requests wait for and that has a free slot at an
// engine with its model, and returns the others. Adapters go before models: an engine that has
// just loaded a busy model would otherwise spend seconds on the load of another one, and then
// the next, while all requests for its adapters are refused. An adapter loads in milliseconds,
// and the engine's adapter slots bound how often one goes first.
func (p *plan) loadWaitingAdapters() (others []ModelRef) {
	for _, ref := range p.in.WaitingAdapters {
		if !p.loadWaitingAdapter(ref) {
			others = append(others, ref)
		}
	}
	return others
}

// loadWaitingAdapter loads an adapter at the engine with the most free adapter slots. It
// returns false if no engine has one.
func (p *plan) loadWaitingAdapter(ref ModelRef) bool {
	var best *Engine
	mostFree := 0
	for _, e := range p.available {
		if n := p.freeAdapterSlots(e); n > mostFree && hasModel(e, ref.Model) && !e.Rejecting {
			best, mostFree = e, n
		}
	}
	if best == nil {
		return false
	}
	p.markBusy(best)
	p.actions = append(p.actions, Action{Engine: best.ID, Load: true, Model: ref.Model, Adapter: ref.Adapter})
	return true
}

// unloadIdleAdapter unloads the least recently used idle adapter to make room for one that
// requests wait for, at the engine with the most free adapter slots beside its adapters and late
// loads. An adapter with requests is never unloaded: the engine takes no other order until they
// have ended, and requests for its other adapters wait too.
func (p *plan) unloadIdleAdapter(ref ModelRef) {
	var best *Engine
	var victim adapterRef
	mostFree := math.MinInt
	for _, e := range p.available {
		if !hasModel(e, ref.Model) || e.Rejecting {
			continue
		}
		if idle := leastRecentlyUsed(e); idle.adapter != "" && p.freeAdapterSlots(e) > mostFree {
			best, mostFree, victim = e, p.freeAdapterSlots(e), idle
		}
	}
	if best == nil {
		return
	}
	p.markBusy(best)
	p.actions = append(p.actions, Action{Engine: best.ID, Model: victim.model, Adapter: victim.adapter, RoomFor: ref.Model})
}

// preloadAdapters fills free slots with adapters of busy models: first those that no engine
// has, then further copies of those with requests. An adapter loads in milliseconds, but only
// while a leader can send orders: without a preload its requests wait for seconds after a
// change of leader. A new replica of a model serves no adapter requests before it has the
// adapters: with each adapter on one engine only, that engine had a hundred requests for 48
// slots beside replicas that had ten.
func (p *plan) preloadAdapters() {
	copies := map[adapterRef]int{}
	for _, e := range p.in.Engines {
		for _, l := range e.Loaded {
			for a := range l.Adapters {
				copies[adapterRef{l.Model, a}]++
			}
		}
	}
	for _, e := range slices.Clone(p.available) {
		if p.freeAdapterSlots(e) <= 0 {
			continue
		}
		next := p.nextAdapter(e, copies)
		if next.adapter == "" {
			continue
		}
		copies[next]++
		p.markBusy(e)
		p.actions = append(p.actions, Action{Reason: ReasonPreload, Engine: e.ID, Load: true, Model: next.model, Adapter: next.adapter})
	}
}

// adapterRef names an adapter of a model.
type adapterRef struct{ model, adapter string }

// nextAdapter returns the adapter to preload next at an engine: one of the busiest model that
// no engine has, or else the one that this engine does not have with the highest request rate
// per copy, counting the new one. copies counts the engines that have each adapter.
func (p *plan) nextAdapter(e *Engine, copies map[adapterRef]int) adapterRef {
	var unloaded, extraCopy adapterRef
	rate, ratePerCopy := preloadMinRate, adapterCopyMinRate
	for _, l := range e.Loaded {
		m := p.in.Models[l.Model]
		if m == nil {
			continue
		}
		for _, a := range m.Adapters {
			at := adapterRef{l.Model, a}
			if _, loaded := l.Adapters[a]; loaded {
				continue
			}
			if n := copies[at]; n == 0 && m.Rate >= rate && (unloaded.model != l.Model) {
				unloaded, rate = at, m.Rate
			} else if r := m.AdapterRate[a] / float64(n+1); n > 0 && r > ratePerCopy {
				extraCopy, ratePerCopy = at, r
			}
		}
	}
	if unloaded.adapter != "" {
		return unloaded
	}
	return extraCopy
}

// adapterCopyMinRate is the request rate per copy, in 1/s and counting the new copy, above which
// an adapter gets another copy. One engine serves all requests of an adapter below it.
const adapterCopyMinRate = 0.1

// preloadMinRate is the request rate of a model, in 1/s, from which its adapters are preloaded.
// Most adapters of a model with a lower rate would never be used.
const preloadMinRate = 0.5

func adapterCount(e *Engine) int {
	n := 0
	for _, l := range e.Loaded {
		n += len(l.Adapters)
	}
	return n
}

// leastRecentlyUsed returns the least recently used adapter of an engine that has no requests
// and is not a late load, or the zero value.
func leastRecentlyUsed(e *Engine) adapterRef {
	var out adapterRef
	var at time.Time
	for _, l := range e.Loaded {
		for a, lastUsed := range l.Adapters {
			if l.AdapterInUse[a] || slices.Contains(e.LateLoads, ModelRef{Model: l.Model, Adapter: a}) {
				continue
			}
			ref := adapterRef{l.Model, a}
			if out.adapter == "" || lastUsed.Before(at) || lastUsed.Equal(at) && ref.less(out) {
				out, at = ref, lastUsed
			}
		}
	}
	return out
}

func (a adapterRef) less(b adapterRef) bool {
	return a.model < b.model || a.model == b.model && a.adapter < b.adapter
}
