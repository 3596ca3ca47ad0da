package loading

import (
	"cmp"
	"math"
	"slices"
)

const (
	// busyEngineDivisor bounds preloads: at most one engine in so many may have an order in
	// progress when another preload starts.
	busyEngineDivisor = 4
)

// minCopies returns on how many engines' disks a model should be. One with adapters serves many
// customers and becomes busy sooner or later; the replicas that it needs then load from a copy
// in half a second, but from the store in many.
func minCopies(m *Model) int {
	if len(m.Adapters) > 0 {
		return adapterModelCopies
	}
	return 1
}

// adapterModelCopies is the number of copies of a model with adapters: loads for a third copy
// evict models that have requests.
const adapterModelCopies = 2

// preloadModels loads models with too few copies while the store is idle. Their first request
// would wait for the store, which takes seconds; a load from an engine's disk takes half a
// second. A model without requests costs one load.
func (p *plan) preloadModels() {
	var missing []*Model
	for _, m := range p.in.Models {
		if p.copies[m.Name] < minCopies(m) && !m.Suspended {
			missing = append(missing, m)
		}
	}
	slices.SortFunc(missing, func(a, b *Model) int {
		return cmp.Or(cmp.Compare(p.copies[a.Name], p.copies[b.Name]), b.LastRequested.Compare(a.LastRequested), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range missing {
		if p.in.StoreLoadsRunning >= p.maxPreloads() || p.in.StoreLoadsAllowed <= 0 || !p.preloadAllowed() {
			return
		}
		p.placeReplica(&Model{
			Name: m.Name, MemoryMB: m.MemoryMB, AdapterMB: m.AdapterMB, StoreLoadTime: m.StoreLoadTime,
			DiskLoadTime: m.DiskLoadTime, MemoryLoadTime: m.MemoryLoadTime, Rate: math.Inf(1),
		}, ReasonPreload)
	}
}

// maxPreloads is the maximal number of store loads in progress when a preload starts; one more
// is left to models that requests wait for.
func (p *plan) maxPreloads() int { return max(p.in.StoreConcurrency-1, 1) }

// preloadAllowed reports whether engines can be spared for preloads.
func (p *plan) preloadAllowed() bool {
	return len(p.blocked) == 0 && busyEngineDivisor*p.busyEngines() <= len(p.in.Engines)
}
