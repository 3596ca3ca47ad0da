package loading

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minHold keeps a model for a moment after its load: demand for two models
	// could otherwise push them out of one engine in turns, and neither is served.
	minHold = 2 * time.Second
	// askedGuard keeps a model that was asked for a moment ago: a request that its
	// entry has not reported yet may be on its way to the engine.
	askedGuard = 400 * time.Millisecond
)

func holds(e *Engine, model string) bool {
	return slices.ContainsFunc(e.Loaded, func(h LoadedModel) bool { return h.Model == model })
}

// used returns the memory that an engine's models take.
func (p *plan) used(e *Engine) float64 {
	var sum float64
	for _, h := range e.Loaded {
		sum += p.sizeOf(h.Model)
	}
	return sum
}

// freeMemory returns the memory that models may be loaded into: what is left beside
// those that are there and those that late orders may bring.
func (p *plan) freeMemory(e *Engine) float64 {
	free := p.in.MemoryMB - p.reserved - p.used(e)
	for _, l := range e.LateLoads {
		if l.Adapter == "" && !holds(e, l.Model) {
			free -= p.sizeOf(l.Model)
		}
	}
	return free
}

// freePlaces is the same for places of adapters.
func (p *plan) freePlaces(e *Engine) int {
	free := p.in.AdapterSlots - adapters(e)
	for _, l := range e.LateLoads {
		if l.Adapter != "" && !holdsAdapter(e, l) {
			free--
		}
	}
	return free
}

func holdsAdapter(e *Engine, l ModelRef) bool {
	return slices.ContainsFunc(e.Loaded, func(h LoadedModel) bool {
		_, there := h.Adapters[l.Adapter]
		return h.Model == l.Model && there
	})
}

// reserve is the memory for a full set of the largest adapters. It is kept free
// at each engine: an adapter must never be what does not fit.
func (p *plan) reserve() float64 {
	var largest float64
	for _, m := range p.in.Models {
		largest = max(largest, m.AdapterMB)
	}
	return largest * float64(p.in.AdapterSlots)
}

// room tells which models would have to go, in their order, and what that loses.
func (p *plan) room(e *Engine, m *Model) (victims []string, loss float64, ok bool) {
	free := p.freeMemory(e)
	if free >= m.MemoryMB {
		return nil, 0, true
	}
	var order []LoadedModel
	for _, h := range e.Loaded {
		// What a late order may bring back leaves no room.
		if p.evictable(h, m) && !slices.Contains(e.LateLoads, ModelRef{Model: h.Model}) {
			order = append(order, h)
		}
	}
	slices.SortFunc(order, func(a, b LoadedModel) int {
		return cmp.Or(cmp.Compare(p.value(a.Model), p.value(b.Model)), cmp.Compare(a.Model, b.Model))
	})
	for _, h := range order {
		loss += p.value(h.Model)
		free += p.sizeOf(h.Model)
		victims = append(victims, h.Model)
		if free >= m.MemoryMB {
			return victims, loss, true
		}
	}
	return nil, 0, false
}

// sizeOf takes a model that the configuration no longer names for as large as
// an engine: its size is not known, so nothing is loaded beside it.
func (p *plan) sizeOf(model string) float64 {
	if m := p.in.Models[model]; m != nil {
		return m.MemoryMB
	}
	return p.in.MemoryMB
}

func (p *plan) evictable(h LoadedModel, m *Model) bool {
	old := p.in.Models[h.Model]
	if old == nil {
		return true
	}
	if p.in.Now.Sub(h.Since) < minHold || old.Waiting > 0 || h.InUse {
		// An unload waits for the model's runs to end, and the engine takes no other
		// order meanwhile.
		return false
	}
	if p.replicas[h.Model] > max(p.needed(old), 1) {
		return true
	}
	return p.in.Now.Sub(old.LastRequested) > askedGuard && (m.Waiting > 0 || old.Rate < m.Rate)
}

// value is what the loss of one replica costs, in seconds of load time weighed
// with how likely the model is asked for: a surplus replica is worth little.
func (p *plan) value(model string) float64 {
	m := p.in.Models[model]
	if m == nil {
		return 0
	}
	idle := p.in.Now.Sub(m.LastRequested).Seconds()
	likely := m.Rate + 1/(1+max(idle, 0))
	if n := p.replicas[model]; n > max(p.needed(m), 1) {
		return likely / (10 * float64(n))
	}
	return likely
}
