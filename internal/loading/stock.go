package loading

import (
	"cmp"
	"math"
	"slices"
)

const (
	// busyPart is the part of the engines, one in so many, that may have orders
	// while more are given for stock.
	busyPart = 4
)

// copiesOf is on how many engines' disks a model should lie. One with adapters
// serves many customers and becomes busy sooner or later; the replicas that it
// then needs come from copies in half a second, and from the store in many.
func copiesOf(m *Model) int {
	if len(m.Adapters) > 0 {
		return sharedCopies
	}
	return 1
}

// sharedCopies is for models with adapters: the loads for a third copy push out what is
// asked for.
const sharedCopies = 2

// stock loads models of which the engines have too few copies while the store is
// idle. Their first caller would wait for the store, which takes seconds; from an
// engine's disk it takes half a second. One that is not asked for costs a load.
func (p *plan) stock() {
	var missing []*Model
	for _, m := range p.in.Models {
		if p.copies[m.Name] < copiesOf(m) && !m.Suspended {
			missing = append(missing, m)
		}
	}
	slices.SortFunc(missing, func(a, b *Model) int {
		return cmp.Or(cmp.Compare(p.copies[a.Name], p.copies[b.Name]), b.LastRequested.Compare(a.LastRequested), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range missing {
		if p.in.StoreLoadsRunning >= p.backgroundLoads() || p.in.StoreLoadsAllowed <= 0 || !p.quiet() {
			return
		}
		p.place(&Model{
			Name: m.Name, MemoryMB: m.MemoryMB, AdapterMB: m.AdapterMB, StoreLoadTime: m.StoreLoadTime,
			DiskLoadTime: m.DiskLoadTime, MemoryLoadTime: m.MemoryLoadTime, Rate: math.Inf(1),
		}, ReasonStock)
	}
}

// backgroundLoads is how many loads for stock may be under way at once; one more is
// left to models that callers wait for.
func (p *plan) backgroundLoads() int { return max(p.in.StoreConcurrency-1, 1) }

// quiet reports whether no caller would miss an engine that loads for stock.
func (p *plan) quiet() bool {
	return len(p.blocked) == 0 && busyPart*p.busy() <= len(p.in.Engines)
}
