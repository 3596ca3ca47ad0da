package loading

import (
	"time"

	"fennelyard/internal/schema"
)

// pool is a pool of engines that the configuration in force names.
type pool struct {
	name string
	// from is the record that the rest was made from; it is never changed.
	from *schema.Pool
	spec *schema.EngineSpec
	// models are by name, without what is known of their demand.
	models map[string]*Model
}

// poolsOf returns the engine pools by name. Those whose records are the same as
// before are taken over: a configuration is looked at many times a second and
// names hundreds of models.
func poolsOf(records []*schema.Pool, before map[string]*pool) map[string]*pool {
	out := map[string]*pool{}
	for _, r := range records {
		switch old := before[r.GetName()]; {
		case r.GetEngine() == nil:
		case old != nil && old.from == r:
			out[r.GetName()] = old
		default:
			out[r.GetName()] = newPool(r)
		}
	}
	return out
}

func newPool(r *schema.Pool) *pool {
	p := &pool{name: r.GetName(), from: r, spec: r.GetEngine(), models: map[string]*Model{}}
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
