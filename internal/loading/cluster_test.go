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

// cluster is a few engines that take orders as the platform's do, and lose or delay some. It
// checks the orders that it gets.
type cluster struct {
	t    *testing.T
	seed uint64
	pool *schema.Pool
	// knownServers are the engines recorded in the log.
	knownServers []*schema.KnownServer

	// restarts has engines restart under their ids while the schedule runs.
	restarts bool
	// crashingModel and otherCrashingModel are models whose load crashes the engine, which
	// restarts after a second; crashes counts them. All are guarded by mu.
	crashingModel, otherCrashingModel string
	crashes                           int

	mu      sync.Mutex
	random  *rand.Rand
	engines map[string]*fakeEngine
	// noReplyShare is the share of orders without a reply; half of these are executed late.
	noReplyShare    float64
	storeLoadStarts []time.Time
	// rejecting is the engine that rejects all calls and asks for rejectWait, empty for none, and
	// rejected are the calls that it rejected.
	rejecting  string
	rejectWait time.Duration
	rejected   []rejectedCall
	// storeLoadTime is how long a load from the weight store takes.
	storeLoadTime time.Duration
}

// fakeEngine is one engine.
type fakeEngine struct {
	id string
	// startMs identifies the incarnation: the engine may restart under its id.
	startMs     int64
	ordersTaken uint64
	loaded      map[string]map[string]bool
	onDisk      map[string]bool
	busy        bool
	// lastOrder is the last order received, lastHolder its sender, and lastAt its time.
	lastOrder  loading.Order
	lastHolder string
	lastAt     time.Time
}

func newCluster(t *testing.T, seed uint64) *cluster {
	s := &cluster{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), engines: map[string]*fakeEngine{}, storeLoadTime: 6 * time.Second}
	s.pool = &schema.Pool{Name: "llm", Engine: &schema.EngineSpec{MemoryMb: memoryMB, AdapterPlaces: adapterSlots, LoadsPerSecond: 3}}
	for i := range 8 {
		s.pool.Engine.Models = append(s.pool.Engine.Models, &schema.ModelSpec{
			Name: fmt.Sprint("m", i), MemoryMb: []float64{16100, 34300}[i%2], AdapterMb: 40, Adapters: []string{"a1", "a2", "a3", "a4"},
			LoadStoreMs: 6000, LoadDiskMs: 500, LoadMemoryMs: 400,
		})
	}
	for i := range 4 {
		id := fmt.Sprint("e", i)
		s.engines[id] = &fakeEngine{id: id, loaded: map[string]map[string]bool{}, onDisk: map[string]bool{}}
	}
	return s
}

func (s *cluster) spec(name string) *schema.ModelSpec {
	i := slices.IndexFunc(s.pool.GetEngine().GetModels(), func(m *schema.ModelSpec) bool { return m.GetName() == name })
	return s.pool.GetEngine().GetModels()[i]
}

// client returns the client of the engines, which loses and delays orders.
func (s *cluster) client() loading.Engines {
	return loading.Engines{
		SendOrder: func(ctx context.Context, _, holder string, o loading.Order) (loading.Outcome, error) {
			if err := s.reject(o.Server, holder); err != nil {
				return loading.OutcomeUnknown, err
			}
			s.mu.Lock()
			draw := s.random.Float64()
			delay := time.Duration(2000+s.random.IntN(10000)) * time.Millisecond
			s.mu.Unlock()
			if draw < s.noReplyShare/2 {
				<-ctx.Done()
				return loading.OutcomeUnknown, errors.New("lost")
			}
			if draw < s.noReplyShare {
				// The order arrives long after its sender has timed out.
				time.AfterFunc(delay, func() { s.execute(holder, o, true) })
				<-ctx.Done()
				return loading.OutcomeUnknown, errors.New("late")
			}
			return s.execute(holder, o, false), nil
		},
		FetchReport: func(_ context.Context, _ string, server string) (loading.Report, error) {
			if err := s.reject(server, ""); err != nil {
				return loading.Report{}, err
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			e := s.engines[incarnation.ServerOf(server)]
			return loading.Report{
				Loaded: e.models(), Busy: e.busy, OrdersTaken: e.ordersTaken, OnDisk: slices.Collect(maps.Keys(e.onDisk)), StartMs: e.startMs,
			}, nil
		},
	}
}

// key returns the key of the engine's current incarnation.
func (e *fakeEngine) key() string { return incarnation.Name{Server: e.id, StartMs: e.startMs}.String() }

// restart restarts an engine under its id: its memory is empty, it has taken no orders, and its
// disk is unchanged.
func (s *cluster) restart(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engines[id]
	e.startMs = time.Now().UnixMilli()
	e.loaded, e.ordersTaken, e.busy = map[string]map[string]bool{}, 0, false
}

func (e *fakeEngine) models() []*schema.HeldModel {
	var out []*schema.HeldModel
	for name, adapters := range e.loaded {
		v := &schema.HeldModel{Name: name}
		for a := range adapters {
			v.Adapters = append(v.Adapters, a)
		}
		out = append(out, v)
	}
	return out
}

// execute executes an order as an engine does: under its precondition, one at a time. A real
// engine that is ordered to load too much crashes: here the test fails instead.
func (s *cluster) execute(holder string, o loading.Order, late bool) loading.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	// An engine checks its id and the number of orders taken, not the incarnation.
	e := s.engines[incarnation.ServerOf(o.Server)]
	if o.OrdersTaken != e.ordersTaken || e.busy {
		return loading.OutcomeConflict
	}
	if !late {
		s.checkOrder(e, holder, o)
	}
	adapters, loaded := e.loaded[o.Model]
	switch {
	case o.Adapter != "" && !loaded:
		return loading.OutcomeConflict
	case o.Adapter != "" && o.Load == adapters[o.Adapter], o.Adapter == "" && o.Load == loaded:
		return loading.OutcomeAlreadyDone
	case o.Adapter != "" && o.Load:
		adapters[o.Adapter] = true
	case o.Adapter != "":
		delete(adapters, o.Adapter)
	case o.Load:
		s.load(e, o.Model)
	default:
		e.busy = true
		startMs := e.startMs
		time.AfterFunc(50*time.Millisecond, func() { s.finishOrder(e, startMs, func() { delete(e.loaded, o.Model) }) })
	}
	e.ordersTaken++
	s.checkCapacity(e, o)
	return loading.OutcomeTaken
}

func (s *cluster) load(e *fakeEngine, model string) {
	e.busy = true
	took := 500 * time.Millisecond
	if !e.onDisk[model] {
		took = s.storeLoadTime
		s.storeLoadStarts = append(s.storeLoadStarts, time.Now())
	}
	s.checkCapacity(e, loading.Order{Load: true, Model: model})
	startMs := e.startMs
	if model == s.crashingModel || model == s.otherCrashingModel {
		s.crashes++
		time.AfterFunc(time.Second, func() { s.restart(e.id) })
		return
	}
	time.AfterFunc(took, func() {
		s.finishOrder(e, startMs, func() { e.loaded[model], e.onDisk[model] = map[string]bool{}, true })
	})
}

// finishOrder completes an order, unless the engine has restarted since it took it.
func (s *cluster) finishOrder(e *fakeEngine, startMs int64, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.startMs != startMs {
		return
	}
	f()
	e.busy = false
}

// checkCapacity fails the test if an engine has loaded more than fits.
func (s *cluster) checkCapacity(e *fakeEngine, o loading.Order) {
	sum, n := 0.0, 0
	for name, adapters := range e.loaded {
		sum += s.spec(name).GetMemoryMb() + 40*float64(len(adapters))
		n += len(adapters)
	}
	if o.Load && o.Adapter == "" {
		sum += s.spec(o.Model).GetMemoryMb()
	}
	if sum > memoryMB || n > adapterSlots {
		s.t.Errorf("seed %d: %s holds %.0f MB and %d adapters after %+v", s.seed, e.id, sum, n, o)
	}
}

// checkOrder fails the test if orders of two holders are less than a lease apart or fencing
// tokens do not grow.
func (s *cluster) checkOrder(e *fakeEngine, holder string, o loading.Order) {
	if e.lastHolder != "" && holder != e.lastHolder && time.Since(e.lastAt) < orderLease {
		s.t.Errorf("seed %d: %s orders %v after %s", s.seed, holder, time.Since(e.lastAt), e.lastHolder)
	}
	if o.Token <= e.lastOrder.Token {
		s.t.Errorf("seed %d: token %d after %d", s.seed, o.Token, e.lastOrder.Token)
	}
	e.lastOrder, e.lastHolder, e.lastAt = o, holder, time.Now()
}
