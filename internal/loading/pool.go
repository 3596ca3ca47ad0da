package loading

import (
	"time"

	"fennelyard/internal/schema"
)

// pool is an engine pool of the active configuration.
type pool struct {
	name string
	// record is the record that the pool was built from; it is never changed.
	record *schema.Pool
	spec   *schema.EngineSpec
	// models are the models by name, without their demand.
	models map[string]*Model
}

// updatePools returns the engine pools by name. Pools with an unchanged record are reused: the
// configuration is read many times per second and has hundreds of models.
func updatePools(records []*schema.Pool, before map[string]*pool) map[string]*pool {
	out := map[string]*pool{}
	for _, r := range records {
		switch old := before[r.GetName()]; {
		case r.GetEngine() == nil:
		case old != nil && old.record == r:
			out[r.GetName()] = old
		default:
			out[r.GetName()] = newPool(r)
		}
	}
	return out
}

func newPool(r *schema.Pool) *pool {
	p := &pool{name: r.GetName(), record: r, spec: r.GetEngine(), models: map[string]*Model{}}
	for _, s := range p.spec.GetModels() {
		p.models[s.GetName()] = &Model{
			Name: s.GetName(), MemoryMB: s.GetMemoryMb(), AdapterMB: s.GetAdapterMb(),
			StoreLoadTime:  time.Duration(s.GetLoadStoreMs()) * time.Millisecond,
			DiskLoadTime:   time.Duration(s.GetLoadDiskMs()) * time.Millisecond,
			MemoryLoadTime: time.Duration(s.GetLoadMemoryMs()) * time.Millisecond,
			Adapters:       s.GetAdapters(),
		}
	}
	return p
}
