package loading

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minResidency is how long a model stays after its load: demand for two models could
	// otherwise evict each from the same engine in turns, and neither would be served.
	minResidency = 2 * time.Second
	// recentRequestGuard is how long a model stays after its last reported request: another one
	// that its entry has not reported yet may be on its way to the engine.
	recentRequestGuard = 400 * time.Millisecond
)

func hasModel(e *Engine, model string) bool {
	return slices.ContainsFunc(e.Loaded, func(l LoadedModel) bool { return l.Model == model })
}

// usedMemory returns the memory that an engine's models use.
func (p *plan) usedMemory(e *Engine) float64 {
	var sum float64
	for _, l := range e.Loaded {
		sum += p.modelMemory(l.Model)
	}
	return sum
}

// freeMemory returns the memory available for models, beside the loaded ones and late loads.
func (p *plan) freeMemory(e *Engine) float64 {
	free := p.in.MemoryMB - p.adapterReserve - p.usedMemory(e)
	for _, l := range e.LateLoads {
		if l.Adapter == "" && !hasModel(e, l.Model) {
			free -= p.modelMemory(l.Model)
		}
	}
	return free
}

// freeAdapterSlots returns the adapter slots available, beside the loaded adapters and late
// loads.
func (p *plan) freeAdapterSlots(e *Engine) int {
	free := p.in.AdapterSlots - adapterCount(e)
	for _, l := range e.LateLoads {
		if l.Adapter != "" && !hasAdapter(e, l) {
			free--
		}
	}
	return free
}

func hasAdapter(e *Engine, ref ModelRef) bool {
	return slices.ContainsFunc(e.Loaded, func(l LoadedModel) bool {
		_, present := l.Adapters[ref.Adapter]
		return l.Model == ref.Model && present
	})
}

// adapterMemory returns the memory of a full set of the largest adapters. It is reserved at
// each engine, so that an adapter always fits.
func (p *plan) adapterMemory() float64 {
	var largest float64
	for _, m := range p.in.Models {
		largest = max(largest, m.AdapterMB)
	}
	return largest * float64(p.in.AdapterSlots)
}

// evictions returns the models to unload to make room for m, in order, and the cost of losing
// them. ok is false if there can't be enough room.
func (p *plan) evictions(e *Engine, m *Model) (victims []string, loss float64, ok bool) {
	free := p.freeMemory(e)
	if free >= m.MemoryMB {
		return nil, 0, true
	}
	var candidates []LoadedModel
	for _, l := range e.Loaded {
		// A late load of this model could use the room again.
		if p.evictable(l, m) && !slices.Contains(e.LateLoads, ModelRef{Model: l.Model}) {
			candidates = append(candidates, l)
		}
	}
	slices.SortFunc(candidates, func(a, b LoadedModel) int {
		return cmp.Or(cmp.Compare(p.evictionCost(a.Model), p.evictionCost(b.Model)), cmp.Compare(a.Model, b.Model))
	})
	for _, l := range candidates {
		loss += p.evictionCost(l.Model)
		free += p.modelMemory(l.Model)
		victims = append(victims, l.Model)
		if free >= m.MemoryMB {
			return victims, loss, true
		}
	}
	return nil, 0, false
}

// modelMemory returns the memory of a model. The size of a model that was removed from the
// configuration is unknown: it counts as a whole engine, so that nothing is loaded beside it.
func (p *plan) modelMemory(model string) float64 {
	if m := p.in.Models[model]; m != nil {
		return m.MemoryMB
	}
	return p.in.MemoryMB
}

func (p *plan) evictable(l LoadedModel, m *Model) bool {
	current := p.in.Models[l.Model]
	if current == nil {
		return true
	}
	if p.in.Now.Sub(l.Since) < minResidency || current.Waiting > 0 || l.InUse {
		// An unload waits for the model's requests to end, and the engine takes no other order
		// meanwhile.
		return false
	}
	if p.replicas[l.Model] > max(p.replicasNeeded(current), 1) {
		return true
	}
	return p.in.Now.Sub(current.LastRequested) > recentRequestGuard && (m.Waiting > 0 || current.Rate < m.Rate)
}

// evictionCost returns the cost of losing one replica, in seconds of load time weighted with
// the chance of a request for the model: a surplus replica costs little.
func (p *plan) evictionCost(model string) float64 {
	m := p.in.Models[model]
	if m == nil {
		return 0
	}
	idle := p.in.Now.Sub(m.LastRequested).Seconds()
	probability := m.Rate + 1/(1+max(idle, 0))
	if n := p.replicas[model]; n > max(p.replicasNeeded(m), 1) {
		return probability / (10 * float64(n))
	}
	return probability
}
