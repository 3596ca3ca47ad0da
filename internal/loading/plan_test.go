package loading_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/loading"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// model returns a model of 30 GB that loads in 6 s from the store, 0.5 s from disk and 0.4 s
// from memory.
func model(name string, change func(*loading.Model)) *loading.Model {
	m := &loading.Model{
		Name: name, MemoryMB: 30000, AdapterMB: 40, StoreLoadTime: 6 * time.Second,
		DiskLoadTime: 500 * time.Millisecond, MemoryLoadTime: 400 * time.Millisecond, LastRequested: now.Add(-time.Hour),
	}
	if change != nil {
		change(m)
	}
	return m
}

func engine(id string, loaded ...string) *loading.Engine {
	e := &loading.Engine{ID: id, InMemory: map[string]bool{}, OnDisk: map[string]bool{}}
	for _, name := range loaded {
		e.Loaded = append(e.Loaded, loading.LoadedModel{Model: name, Since: now.Add(-time.Hour), Adapters: map[string]time.Time{}})
		e.OnDisk[name] = true
	}
	return e
}

func input(models []*loading.Model, engines ...*loading.Engine) loading.Input {
	in := loading.Input{Now: now, MemoryMB: 83000, AdapterSlots: 8, Models: map[string]*loading.Model{}, Engines: engines, StoreLoadsAllowed: 4}
	for _, m := range models {
		in.Models[m.Name] = m
	}
	return in
}

func waiting(m *loading.Model) { m.Waiting, m.LastRequested = 1, now }
func busy(r float64) func(*loading.Model) {
	return func(m *loading.Model) { m.Rate, m.LastRequested = r, now }
}

// shortRequests sets a request rate with short prompts and requests that run for a second.
func shortRequests(r float64) func(*loading.Model) {
	return func(m *loading.Model) {
		m.Rate, m.LastRequested, m.PrefillTime, m.RequestTime = r, now, time.Millisecond, time.Second
	}
}

func TestDecide(t *testing.T) {
	onDisk := engine("e2", "other")
	onDisk.OnDisk["m"] = true
	ordered := engine("e1")
	ordered.Busy, ordered.Incoming, ordered.FromStore = true, "m", true
	full := engine("e1", "hot", "old")
	recentlyLoaded := engine("e1", "a", "b")
	recentlyLoaded.Loaded[0].Since, recentlyLoaded.Loaded[1].Since = now, now
	running := engine("e1", "other")
	running.Loaded[0].InUse = true
	running.OnDisk["m"] = true
	small := input(nil).MemoryMB - 45000
	onlyCopy, twoCopies := engine("e1"), engine("e2")
	onlyCopy.OnDisk["cold"] = true
	twoCopies.OnDisk["known"], onlyCopy.OnDisk["known"] = true, true
	withAdapters := engine("e1", "m")
	for i := range 8 {
		withAdapters.Loaded[0].Adapters[fmt.Sprint("a", i)] = now.Add(time.Duration(i) * time.Second)
	}
	for name, test := range map[string]struct {
		in   loading.Input
		want []loading.Action
	}{
		"loads from a disk rather than the store": {
			input([]*loading.Model{model("m", waiting), model("other", nil)}, engine("e1", "other"), onDisk),
			[]loading.Action{{Engine: "e2", Load: true, Model: "m"}},
		},
		"an incoming model is not loaded again": {
			input([]*loading.Model{model("m", waiting)}, ordered, engine("e2")),
			nil,
		},
		"a rare model needs no replica while no request waits": {
			input([]*loading.Model{model("m", busy(0.1)), model("other", nil)}, engine("e1", "other"), onDisk),
			nil,
		},
		"unloads the least recently requested model": {
			input([]*loading.Model{model("m", waiting), model("hot", busy(1)), model("old", nil)}, full),
			[]loading.Action{{Engine: "e1", Model: "old", RoomFor: "m"}},
		},
		"a recently loaded model is not unloaded": {
			input([]*loading.Model{model("m", waiting), model("a", nil), model("b", nil)}, recentlyLoaded),
			nil,
		},
		"a model in use is not unloaded": {
			func() loading.Input {
				in := input([]*loading.Model{model("m", waiting), model("other", nil)}, running)
				in.MemoryMB = small
				return in
			}(),
			nil,
		},
		"a store load avoids an engine with the only copy of another model": {
			input([]*loading.Model{model("m", waiting), model("cold", busy(0.2)), model("known", busy(0.2))}, onlyCopy, twoCopies),
			[]loading.Action{{Engine: "e2", Load: true, Model: "m", FromStore: true}},
		},
		"a busy model gets another replica": {
			input([]*loading.Model{model("m", busy(4))}, engine("e1", "m"), engine("e2")),
			[]loading.Action{{Reason: loading.ReasonBusy, Engine: "e2", Load: true, Model: "m", FromStore: true}},
		},
		"a busy model's next replica goes where no other busy model is": {
			func() loading.Input {
				e1, e2, e3 := engine("e1", "m"), engine("e2", "hot"), engine("e3")
				e2.OnDisk["m"], e3.OnDisk["m"] = true, true
				in := input([]*loading.Model{model("m", shortRequests(40)), model("hot", shortRequests(20))}, e1, e2, e3)
				in.Slots = 48
				return in
			}(),
			[]loading.Action{{Reason: loading.ReasonBusy, Engine: "e3", Load: true, Model: "m"}},
		},
		"a replica beside another busy model counts by its share of slots": {
			func() loading.Input {
				in := input([]*loading.Model{model("m", shortRequests(22)), model("hot", shortRequests(22))}, engine("e1", "m", "hot"), engine("e2"))
				in.Engines[1].OnDisk["m"], in.Engines[1].OnDisk["hot"] = true, true
				in.Slots = 48
				return in
			}(),
			[]loading.Action{{Reason: loading.ReasonBusy, Engine: "e2", Load: true, Model: "hot"}},
		},
		"a model without a copy is preloaded": {
			input([]*loading.Model{model("m", nil)}, engine("e1")),
			[]loading.Action{{Reason: loading.ReasonPreload, Engine: "e1", Load: true, Model: "m", FromStore: true}},
		},
		"room made for a model is used for it": {
			func() loading.Input {
				e := engine("e1", "hot")
				e.RoomMadeFor, e.OnDisk["old"], e.OnDisk["m"] = "m", true, true
				in := input([]*loading.Model{model("m", waiting), model("hot", busy(1)), model("old", func(m *loading.Model) {
					m.Waiting, m.Rate, m.LastRequested = 3, 0.2, now
				})}, e)
				in.MemoryMB = 65000
				return in
			}(),
			[]loading.Action{{Engine: "e1", Load: true, Model: "m"}},
		},
		"the store's rate limit is respected": {
			func() loading.Input {
				in := input([]*loading.Model{model("m", waiting)}, engine("e1"))
				in.StoreLoadsAllowed = 0
				return in
			}(),
			nil,
		},
		"an adapter replaces the least recently used one": {
			func() loading.Input {
				in := input([]*loading.Model{model("m", busy(1))}, withAdapters)
				in.WaitingAdapters = []loading.ModelRef{{Model: "m", Adapter: "a9"}}
				return in
			}(),
			[]loading.Action{{Engine: "e1", Model: "m", Adapter: "a0", RoomFor: "m"}},
		},
		"an adapter with a free slot precedes the load of another model": {
			func() loading.Input {
				in := input([]*loading.Model{model("m", busy(1)), model("other", waiting)}, engine("e1", "m"))
				in.WaitingAdapters = []loading.ModelRef{{Model: "m", Adapter: "a9"}}
				return in
			}(),
			[]loading.Action{{Engine: "e1", Load: true, Model: "m", Adapter: "a9"}},
		},
		"an adapter without a free slot follows the load of another model": {
			func() loading.Input {
				in := input([]*loading.Model{model("m", busy(1)), model("other", waiting)}, withAdapters)
				in.WaitingAdapters = []loading.ModelRef{{Model: "m", Adapter: "a9"}}
				return in
			}(),
			[]loading.Action{{Engine: "e1", Load: true, Model: "other", FromStore: true}},
		},
		"an adapter in use is not unloaded": {
			func() loading.Input {
				e := engine("e1", "m")
				for i := range 8 {
					e.Loaded[0].Adapters[fmt.Sprint("a", i)] = now.Add(time.Duration(i) * time.Second)
				}
				e.Loaded[0].AdapterInUse = map[string]bool{"a0": true, "a1": true}
				in := input([]*loading.Model{model("m", busy(1))}, e)
				in.WaitingAdapters = []loading.ModelRef{{Model: "m", Adapter: "a9"}}
				return in
			}(),
			[]loading.Action{{Engine: "e1", Model: "m", Adapter: "a2", RoomFor: "m"}},
		},
		"a new replica preloads the adapter with the highest request rate": {
			func() loading.Input {
				first := engine("e1", "m")
				first.Loaded[0].Adapters["a1"], first.Loaded[0].Adapters["a2"] = now, now
				first.Busy = true
				return input([]*loading.Model{model("m", func(m *loading.Model) {
					busy(1)(m)
					m.Adapters, m.AdapterRate = []string{"a1", "a2"}, map[string]float64{"a1": 1, "a2": 3}
				})}, first, engine("e2", "m"))
			}(),
			[]loading.Action{{Reason: loading.ReasonPreload, Engine: "e2", Load: true, Model: "m", Adapter: "a2"}},
		},
		"free slots preload adapters of busy models": {
			input([]*loading.Model{model("m", func(m *loading.Model) {
				busy(1)(m)
				m.Adapters = []string{"a1"}
			})}, engine("e1", "m")),
			[]loading.Action{{Reason: loading.ReasonPreload, Engine: "e1", Load: true, Model: "m", Adapter: "a1"}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got, _ := loading.Decide(test.in)
			require.Equal(t, test.want, got)
		})
	}
}

func TestDecideReportsBlockedLoads(t *testing.T) {
	busyEngine := engine("e1")
	busyEngine.Busy = true
	in := input([]*loading.Model{model("m", waiting), model("hot", busy(1)), model("warm", busy(1))},
		busyEngine, engine("e2", "hot", "warm"))
	in.StoreLoadsAllowed = 1
	_, blocked := loading.Decide(in)
	require.Len(t, blocked, 1)
	require.Equal(t, loading.Blocked{Model: "m", Busy: 1, Full: 1}, blocked[0])
}

// For any input, no engine is ordered to load more than fits, none gets a second order while
// one is in progress, and the store's limit on loads is respected.
func TestDecideKeepsBounds(t *testing.T) {
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 7))
		in := randomInput(r)
		models, engines := in.Models, map[string]*loading.Engine{}
		for _, e := range in.Engines {
			engines[e.ID] = e
		}
		storeLoads := 0
		actions, _ := loading.Decide(in)
		seen := map[string]bool{}
		for _, a := range actions {
			e := engines[a.Engine]
			require.False(t, seen[a.Engine] || e.Busy, "seed %d: two orders for %s", seed, a.Engine)
			seen[a.Engine] = true
			if a.FromStore {
				storeLoads++
			}
			if !a.Load {
				continue
			}
			sum, adapters := 0.0, 0
			for _, l := range e.Loaded {
				sum += models[l.Model].MemoryMB + 40*float64(len(l.Adapters))
				adapters += len(l.Adapters)
			}
			if a.Adapter != "" {
				require.Less(t, adapters, in.AdapterSlots, "seed %d", seed)
				sum += 40
			} else {
				sum += models[a.Model].MemoryMB
			}
			require.LessOrEqual(t, sum, in.MemoryMB, "seed %d: %s has too much loaded", seed, a.Engine)
		}
		require.LessOrEqual(t, storeLoads, in.StoreLoadsAllowed, "seed %d", seed)
	}
}

func randomInput(r *rand.Rand) loading.Input {
	var models []*loading.Model
	for i := range 12 {
		models = append(models, model(fmt.Sprint("m", i), func(m *loading.Model) {
			m.MemoryMB = []float64{16100, 34300}[r.IntN(2)]
			m.Rate, m.Waiting = r.Float64()*r.Float64()*8, r.IntN(3)*r.IntN(2)
			m.LastRequested = now.Add(-time.Duration(r.IntN(20)) * time.Second)
			m.Adapters = []string{"a1", "a2", "a3"}
		}))
	}
	in := input(models)
	in.StoreLoadsAllowed, in.StoreLoadsRunning = r.IntN(4), r.IntN(3)
	for i := range 5 {
		e := engine(fmt.Sprint("e", i))
		free := in.MemoryMB - 320
		for _, m := range models {
			if m.MemoryMB <= free && r.IntN(3) == 0 {
				free -= m.MemoryMB
				l := loading.LoadedModel{Model: m.Name, Since: now.Add(-time.Duration(r.IntN(5)) * time.Second), Adapters: map[string]time.Time{}}
				if r.IntN(3) == 0 {
					l.Adapters["a1"] = now
				}
				e.Loaded = append(e.Loaded, l)
			}
			e.OnDisk[m.Name] = r.IntN(2) == 0
		}
		e.Busy = r.IntN(4) == 0
		in.Engines = append(in.Engines, e)
	}
	for range r.IntN(4) {
		in.WaitingAdapters = append(in.WaitingAdapters, loading.ModelRef{Model: fmt.Sprint("m", r.IntN(12)), Adapter: fmt.Sprint("a", 2+r.IntN(2))})
	}
	return in
}

// BenchmarkDecide measures decisions for as many engines and models as real deployments have,
// with a tenth of the models waited for and not all loadable; and once with requests for all
// models.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct {
		engines, models int
		busy            bool
	}{{60, 113, false}, {112, 375, false}, {240, 800, false}, {240, 494, true}} {
		name := fmt.Sprintf("%dx%d", size.engines, size.models)
		if size.busy {
			name += "-busy"
		}
		b.Run(name, func(b *testing.B) {
			in := crowdedInput(size.engines, size.models)
			if size.busy {
				in.Slots = 12
				for _, m := range in.Models {
					m.Rate, m.RequestTime, m.PrefillTime = 1.2, 900*time.Millisecond, 60*time.Millisecond
				}
			}
			for b.Loop() {
				loading.Decide(in)
			}
		})
	}
}

// crowdedInput returns a fleet with two models loaded at each engine. A tenth of all models have
// waiting requests and are loaded at none, and four of five engines have an order in progress.
func crowdedInput(engines, models int) loading.Input {
	r := rand.New(rand.NewPCG(1, 7))
	var list []*loading.Model
	for i := range models {
		list = append(list, model(fmt.Sprint("m", i), func(m *loading.Model) {
			m.LastRequested = now.Add(-time.Duration(r.IntN(20)) * time.Second)
			if i < models/10 {
				m.Rate, m.Waiting, m.LastRequested = 0.3, 1, now
			}
		}))
	}
	in := input(list)
	in.StoreLoadsAllowed = 0
	for i := range engines {
		loaded := func(i int) string { return fmt.Sprint("m", models/10+i%(models-models/10)) }
		e := engine(fmt.Sprint("e", i), loaded(i), loaded(i+30))
		e.Busy = i%5 != 0
		for range 12 {
			e.OnDisk[fmt.Sprint("m", r.IntN(models))] = true
		}
		in.Engines = append(in.Engines, e)
	}
	return in
}
