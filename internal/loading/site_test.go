package loading_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/loading"
	"fennelyard/internal/schema"
)

// site is a few engines that take orders as the platform's do, and lose or delay
// some. It checks what it is ordered.
type site struct {
	t    *testing.T
	seed uint64
	pool *schema.Pool
	// known is what the log holds of the engines.
	known []*schema.KnownServer

	// restarts has engines start again under their ids while the schedule runs.
	restarts bool
	// fatal and fatalToo are models under whose load an engine ends, to start again after a
	// second; ended counts them. All are guarded by mu.
	fatal, fatalToo string
	ended           int

	mu      sync.Mutex
	random  *rand.Rand
	engines map[string]*standin
	// lost is the share of orders without an answer; half of these arrive.
	lost   float64
	stores []time.Time
	// storeTime is how long a load from the weight store takes.
	storeTime time.Duration
}

// standin is one engine.
type standin struct {
	id string
	// born tells its starts apart: it may start again under its id.
	born  int64
	taken uint64
	held  map[string]map[string]bool
	disk  map[string]bool
	busy  bool
	// last is the order that came last, from whom and when.
	last   loading.Order
	lastBy string
	lastAt time.Time
}

func newSite(t *testing.T, seed uint64) *site {
	s := &site{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), engines: map[string]*standin{}, storeTime: 6 * time.Second}
	s.pool = &schema.Pool{Name: "llm", Engine: &schema.EngineSpec{MemoryMb: memoryMB, AdapterPlaces: places, LoadsPerSecond: 3}}
	for i := range 8 {
		s.pool.Engine.Models = append(s.pool.Engine.Models, &schema.ModelSpec{
			Name: fmt.Sprint("m", i), MemoryMb: []float64{16100, 34300}[i%2], AdapterMb: 40, Adapters: []string{"a1", "a2", "a3", "a4"},
			LoadStoreMs: 6000, LoadDiskMs: 500, LoadMemoryMs: 400,
		})
	}
	for i := range 4 {
		id := fmt.Sprint("e", i)
		s.engines[id] = &standin{id: id, held: map[string]map[string]bool{}, disk: map[string]bool{}}
	}
	return s
}

func (s *site) spec(name string) *schema.ModelSpec {
	i := slices.IndexFunc(s.pool.GetEngine().GetModels(), func(m *schema.ModelSpec) bool { return m.GetName() == name })
	return s.pool.GetEngine().GetModels()[i]
}

// reach returns the engines as the host at an index reaches them.
func (s *site) reach() loading.Engines {
	return loading.Engines{
		SendOrder: func(ctx context.Context, _, holder string, o loading.Order) (loading.Outcome, error) {
			s.mu.Lock()
			fate := s.random.Float64()
			late := time.Duration(2000+s.random.IntN(10000)) * time.Millisecond
			s.mu.Unlock()
			if fate < s.lost/2 {
				<-ctx.Done()
				return loading.OutcomeUnknown, errors.New("lost")
			}
			if fate < s.lost {
				// It arrives after all, long after anybody waits for it.
				time.AfterFunc(late, func() { s.take(holder, o, true) })
				<-ctx.Done()
				return loading.OutcomeUnknown, errors.New("late")
			}
			return s.take(holder, o, false), nil
		},
		FetchReport: func(_ context.Context, _ string, server string) (loading.Report, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			e := s.engines[incarnation.ServerOf(server)]
			return loading.Report{
				Loaded: e.views(), Busy: e.busy, OrdersTaken: e.taken, OnDisk: slices.Collect(maps.Keys(e.disk)), StartMs: e.born,
			}, nil
		},
	}
}

// key is the key of the engine's present start.
func (e *standin) key() string { return incarnation.Name{Server: e.id, StartMs: e.born}.String() }

// restart ends an engine and starts it again under its id: it holds nothing in memory,
// has taken no order, and has its disk.
func (s *site) restart(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engines[id]
	e.born = time.Now().UnixMilli()
	e.held, e.taken, e.busy = map[string]map[string]bool{}, 0, false
}

func (e *standin) views() []*schema.HeldModel {
	var out []*schema.HeldModel
	for name, adapters := range e.held {
		v := &schema.HeldModel{Name: name}
		for a := range adapters {
			v.Adapters = append(v.Adapters, a)
		}
		out = append(out, v)
	}
	return out
}

// take carries an order out as an engine does: under its precondition, one at a
// time. A model engine that is ordered to hold too much crashes: here the test
// fails instead.
func (s *site) take(holder string, o loading.Order, late bool) loading.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	// An engine checks its id and the number of orders, not the start that is meant.
	e := s.engines[incarnation.ServerOf(o.Server)]
	if o.OrdersTaken != e.taken || e.busy {
		return loading.OutcomeConflict
	}
	if !late {
		s.judge(e, holder, o)
	}
	adapters, holds := e.held[o.Model]
	switch {
	case o.Adapter != "" && !holds:
		return loading.OutcomeConflict
	case o.Adapter != "" && o.Load == adapters[o.Adapter], o.Adapter == "" && o.Load == holds:
		return loading.OutcomeHolds
	case o.Adapter != "" && o.Load:
		adapters[o.Adapter] = true
	case o.Adapter != "":
		delete(adapters, o.Adapter)
	case o.Load:
		s.load(e, o.Model)
	default:
		e.busy = true
		born := e.born
		time.AfterFunc(50*time.Millisecond, func() { s.end(e, born, func() { delete(e.held, o.Model) }) })
	}
	e.taken++
	s.weigh(e, o)
	return loading.OutcomeTaken
}

func (s *site) load(e *standin, model string) {
	e.busy = true
	took := 500 * time.Millisecond
	if !e.disk[model] {
		took = s.storeTime
		s.stores = append(s.stores, time.Now())
	}
	s.weigh(e, loading.Order{Load: true, Model: model})
	born := e.born
	if model == s.fatal || model == s.fatalToo {
		s.ended++
		time.AfterFunc(time.Second, func() { s.restart(e.id) })
		return
	}
	time.AfterFunc(took, func() {
		s.end(e, born, func() { e.held[model], e.disk[model] = map[string]bool{}, true })
	})
}

// end ends an order, unless the engine has started again since the start that took it.
func (s *site) end(e *standin, born int64, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.born != born {
		return
	}
	f()
	e.busy = false
}

// weigh fails the test when an engine holds more than fits.
func (s *site) weigh(e *standin, o loading.Order) {
	sum, n := 0.0, 0
	for name, adapters := range e.held {
		sum += s.spec(name).GetMemoryMb() + 40*float64(len(adapters))
		n += len(adapters)
	}
	if o.Load && o.Adapter == "" {
		sum += s.spec(o.Model).GetMemoryMb()
	}
	if sum > memoryMB || n > places {
		s.t.Errorf("seed %d: %s holds %.0f MB and %d adapters after %+v", s.seed, e.id, sum, n, o)
	}
}

// judge fails the test when two holders take turns too soon or under tokens that
// do not grow.
func (s *site) judge(e *standin, holder string, o loading.Order) {
	if e.lastBy != "" && holder != e.lastBy && time.Since(e.lastAt) < lease {
		s.t.Errorf("seed %d: %s orders %v after %s", s.seed, holder, time.Since(e.lastAt), e.lastBy)
	}
	if o.FencingToken <= e.last.FencingToken {
		s.t.Errorf("seed %d: token %d after %d", s.seed, o.FencingToken, e.last.FencingToken)
	}
	e.last, e.lastBy, e.lastAt = o, holder, time.Now()
}
