package order_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/engine"
	"fennelyard/internal/ledger"
	"fennelyard/internal/order"
	"fennelyard/internal/placement"
	"fennelyard/internal/schema"
)

var (
	schedules = flag.Int("schedules", 12, "fault schedules to try")
	firstSeed = flag.Int64("first-seed", 1, "seed of the first schedule")
)

const (
	engineCount    = 4
	acceleratorMiB = 100
	targetCount    = 5
	maxReplicas    = 2
	maxLateDelay   = 10 * time.Second
)

// cluster is a replicated ledger with several drivers, of which at most one leads,
// and engines that lose and delay orders. It checks the engines' memory itself: the
// ledger may be consistent while it does not match the engines.
type cluster struct {
	t      *testing.T
	seed   int64
	mu     sync.Mutex
	random *rand.Rand
	ledger *ledger.Ledger
	index  uint64
	// term and leader change with each election; leader is -1 while none leads.
	term    uint64
	leader  int
	drivers []*order.Driver
	engines []*fakeEngine
	faults  bool
	stats   clusterStats
}

type clusterStats struct{ orders, lost, late, ended, elections, loads, unloads int }

type fakeEngine struct {
	// executing holds a token while an order is executed: an engine executes one
	// order at a time. A mutex would block the bubble's simulated time.
	executing      chan struct{}
	name           string
	incarnation    uint64
	checksFencing  bool
	loaded         map[string]uint64
	highestFencing uint64
	sequence       uint64
	down           bool
	silent         bool
}

func newCluster(t *testing.T, seed int64) *cluster {
	c := &cluster{t: t, seed: seed, random: rand.New(rand.NewSource(seed)), ledger: ledger.New(), term: 1, faults: true}
	for i := range engineCount {
		c.engines = append(c.engines, &fakeEngine{
			name: fmt.Sprint("engine-", i), incarnation: 1, checksFencing: i%2 == 0, loaded: map[string]uint64{}, executing: make(chan struct{}, 1),
		})
	}
	in := &schema.Intent{Name: "a", Customer: &schema.CustomerIntent{Name: "c"}}
	for i := range targetCount {
		in.Models = append(in.Models, &schema.ModelIntent{
			Name: fmt.Sprint("m", i), Version: "1", MemoryMib: uint64(30 + 10*i), MaxReplicas: maxReplicas,
		})
	}
	r := c.commit(&schema.Command{Id: "1", Body: &schema.Command_ApplyIntent{ApplyIntent: &schema.ApplyIntent{Intent: in}}})
	r = c.commit(&schema.Command{Id: "2", Body: &schema.Command_DecidePlan{DecidePlan: &schema.DecidePlan{Plan: r.GetPlan().GetNumber(), Confirm: true}}})
	require.Equal(t, schema.ResultCode_RESULT_CODE_OK, r.GetCode(), r.GetReason())
	for i := range 3 {
		c.drivers = append(c.drivers, c.newDriver(i))
	}
	return c
}

func (c *cluster) commit(cmd *schema.Command) *schema.Result {
	c.index++
	cmd.AtMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	require.NoError(c.t, err)
	return c.ledger.Apply(c.index, data).(*schema.Result)
}

func (c *cluster) newDriver(i int) *order.Driver {
	return c.newDriverSending(i, c.sendOrder)
}

type orderSender func(ctx context.Context, address string, o *schema.Order) (*schema.OrderReply, error)

func (c *cluster) newDriverSending(i int, send orderSender) *order.Driver {
	return order.NewDriver(order.Config{
		Ledger: c.ledger,
		Leadership: func() order.Leadership {
			c.mu.Lock()
			defer c.mu.Unlock()
			return order.Leadership{IsLeader: c.leader == i, Term: c.term}
		},
		Commit: func(_ context.Context, cmd *schema.Command) (*schema.Result, error) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.leader != i {
				return nil, errors.New("not the leader")
			}
			lost := c.faults && c.random.Intn(12) == 0
			if lost && c.random.Intn(2) == 0 {
				return nil, errors.New("commit outcome unknown (not committed)")
			}
			r := c.commit(cmd)
			if lost {
				return nil, errors.New("commit outcome unknown (committed)")
			}
			return r, nil
		},
		ConfirmLeadership: func(context.Context) error {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.leader != i {
				return errors.New("not the leader")
			}
			return nil
		},
		SendOrder: send,
		Speeds:    placement.LoadSpeeds{RemoteMiBPerSecond: 50, DiskMiBPerSecond: 50, MemoryMiBPerSecond: 50, LoadsPerSecond: 10, FullSpeedLoads: 4},
		// A high price of idle replicas causes many unloads.
		Prices: placement.Prices{ColdStartSecond: 1, IdleAcceleratorHour: 5000, WaitingPerReplica: 1},
		Now:    time.Now, Log: logr.Discard(), Tracer: noop.NewTracerProvider().Tracer(""),
	})
}

func (c *cluster) intn(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Intn(n)
}

func (c *cluster) faultsEnabled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// sendOrder transports an order to an engine. Once sent, the order arrives even if
// its sender stops or times out, unless it is lost.
func (c *cluster) sendOrder(ctx context.Context, address string, o *schema.Order) (*schema.OrderReply, error) {
	var e *fakeEngine
	for _, candidate := range c.engines {
		if candidate.name == address {
			e = candidate
		}
	}
	c.mu.Lock()
	c.stats.orders++
	c.mu.Unlock()
	fault := 100
	if c.faultsEnabled() {
		fault = c.intn(10)
	}
	flight := time.Duration(c.intn(50)) * time.Millisecond
	// A connection ends with the process that accepted it, so an order in flight
	// to one incarnation cannot reach the next one.
	c.mu.Lock()
	expected := e.incarnation
	c.mu.Unlock()
	if fault == 0 {
		// The order is lost.
		c.updateStats(func(s *clusterStats) { s.lost++ })
		return c.dropReply(ctx)
	}
	if fault == 1 {
		c.updateStats(func(s *clusterStats) { s.late++ })
		flight = time.Duration(c.intn(int(maxLateDelay/time.Millisecond))) * time.Millisecond
	}
	done := make(chan *schema.OrderReply, 1)
	go func() {
		time.Sleep(flight)
		done <- c.execute(e, o, expected)
	}()
	if fault == 2 || fault == 3 {
		// The reply is lost.
		return c.dropReply(ctx)
	}
	select {
	case r := <-done:
		if r == nil {
			return nil, errors.New("connection refused")
		}
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *cluster) updateStats(f func(*clusterStats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.stats)
}

// dropReply fails like a call without a reply.
func (c *cluster) dropReply(ctx context.Context) (*schema.OrderReply, error) {
	timer := time.NewTimer(20 * time.Second)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return nil, errors.New("no reply")
}

// execute executes an order as an engine does. It returns nil if the engine is down or
// no longer has the expected incarnation.
func (c *cluster) execute(e *fakeEngine, o *schema.Order, expected uint64) *schema.OrderReply {
	e.executing <- struct{}{}
	defer func() { <-e.executing }()
	c.mu.Lock()
	if e.down || e.incarnation != expected {
		c.mu.Unlock()
		return nil
	}
	incarnation := e.incarnation
	refuse := e.checksFencing && o.GetFencing() < e.highestFencing
	if !refuse {
		e.highestFencing = max(e.highestFencing, o.GetFencing())
	}
	c.mu.Unlock()
	reply := &schema.OrderReply{Fencing: o.GetFencing(), Outcome: engine.OutcomeDone, Incarnation: incarnation}
	if refuse {
		reply.Outcome = engine.OutcomeRefused
		return reply
	}
	if o.GetKind() == engine.KindUnload {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(e.loaded, o.GetTarget())
		c.stats.unloads++
		return reply
	}
	if c.faultsEnabled() && c.intn(8) == 0 {
		reply.Outcome, reply.Reason = engine.OutcomeFailed, "the checkpoint could not be read"
		return reply
	}
	time.Sleep(time.Duration(200+c.intn(1500)) * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.down || e.incarnation != incarnation {
		return nil
	}
	e.loaded[o.GetTarget()] = o.GetMemoryMib()
	c.stats.loads++
	c.checkEngines()
	return reply
}

// checkEngines checks the memory and the replicas of the engines; c.mu is held.
func (c *cluster) checkEngines() {
	replicas := map[string]int{}
	for _, e := range c.engines {
		var used uint64
		for target, mib := range e.loaded {
			replicas[target]++
			used += mib
		}
		if used > acceleratorMiB {
			c.t.Errorf("seed %d: %s uses %d of %d MiB: %v", c.seed, e.name, used, acceleratorMiB, e.loaded)
		}
	}
	for target, n := range replicas {
		if n > maxReplicas {
			c.t.Errorf("seed %d: %d replicas of %s, want at most %d", c.seed, n, target, maxReplicas)
		}
	}
}

// report sends an entry's current report to the leader.
func (c *cluster) report() {
	report := &schema.Report{Entry: "entry"}
	c.mu.Lock()
	for _, e := range c.engines {
		e.sequence++
		if e.down || e.silent {
			continue
		}
		a := &schema.Announcement{Sequence: e.sequence, Server: &schema.Server{
			Name: e.name, Incarnation: e.incarnation, Kind: schema.ServerKind_SERVER_KIND_ENGINE, Address: e.name,
			DataCentre: "hall-a", AcceleratorMib: []uint64{acceleratorMiB}, ChecksFencing: e.checksFencing,
		}}
		report.Announcements = append(report.Announcements, a)
	}
	for i := range targetCount {
		if c.random.Intn(3) == 0 {
			report.Demands = append(report.Demands, &schema.Demand{
				Target: fmt.Sprint("m", i), Waiting: uint32(c.random.Intn(4)), FirstDeadlineMs: 20000, Arrived: 1,
			})
		}
	}
	leader := c.leader
	c.mu.Unlock()
	if leader >= 0 {
		c.drivers[leader].HandleReport(report)
	}
}

func (c *cluster) injectFault() {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.engines[c.random.Intn(engineCount)]
	switch c.random.Intn(12) {
	case 0:
		// The engine's process ends, possibly while it executes an order.
		e.down = true
		e.loaded = map[string]uint64{}
		c.stats.ended++
	case 1, 2, 3:
		if e.down {
			e.down = false
			e.incarnation++
			e.highestFencing = 0
		}
	case 4:
		e.silent = true
	case 5, 6:
		e.silent = false
	case 7:
		c.leader = c.random.Intn(len(c.drivers)+1) - 1
		c.term++
		c.stats.elections++
	}
}

// quiesce ends all faults and checks that no order stays unfinished.
func (c *cluster) quiesce() {
	c.mu.Lock()
	c.faults = false
	c.leader = 0
	c.term++
	for _, e := range c.engines {
		e.silent = false
		if e.down {
			e.down = false
			e.incarnation++
			e.highestFencing = 0
		}
	}
	c.mu.Unlock()
	for range 120 {
		c.report()
		time.Sleep(time.Second)
	}
	unfinished := 0
	c.ledger.View(func(_ ledger.Status, r *ledger.Records) {
		for _, res := range r.Reservations() {
			if res.GetState() != schema.ReservationState_RESERVATION_STATE_LOADED && time.Now().UnixMilli()-res.GetChangedMs() > 60_000 {
				unfinished++
			}
		}
	})
	assert.Zero(c.t, unfinished, "seed %d: unfinished orders after the last fault", c.seed)
}

// TestNoOvercommitUnderFaults runs a succession of leaders against engines that lose,
// delay and fail orders, end during a load and restart; half of them do not check
// fencing tokens. An order of a deposed leader may arrive up to ten seconds late. In
// the engines themselves, no model ever has more replicas than its maximum and no
// memory is overcommitted; after the last fault every order finishes.
func TestNoOvercommitUnderFaults(t *testing.T) {
	var total clusterStats
	for i := range *schedules {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, *firstSeed+int64(i))
			for range 240 {
				c.report()
				if c.intn(3) == 0 {
					c.injectFault()
				}
				time.Sleep(time.Second)
			}
			c.quiesce()
			for _, d := range c.drivers {
				d.Stop()
			}
			// Orders still in flight must arrive before the bubble ends.
			time.Sleep(time.Minute)
			c.mu.Lock()
			defer c.mu.Unlock()
			total.orders += c.stats.orders
			total.lost += c.stats.lost
			total.late += c.stats.late
			total.ended += c.stats.ended
			total.elections += c.stats.elections
			total.loads += c.stats.loads
			total.unloads += c.stats.unloads
		})
	}
	t.Logf("%d schedules: %+v", *schedules, total)
	assert.Greater(t, total.unloads, *schedules)
}

// TestLateCopyOfAFailedLoad tests that a failed load is not released while a copy of
// its order may still arrive. The connection of the first copy is reset, and the copy
// is still executed nine seconds later; the reply to the second copy is a failure. The
// engine ignores fencing tokens. If the memory were released at once, it would be
// reserved again while the late copy fills it.
func TestLateCopyOfAFailedLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		for _, d := range c.drivers {
			d.Stop()
		}
		c.faults = false
		e := c.engines[1]
		c.engines = []*fakeEngine{e}
		copies := 0
		d := c.newDriverSending(0, func(ctx context.Context, address string, o *schema.Order) (*schema.OrderReply, error) {
			if o.GetKind() != engine.KindLoad || o.GetTarget() != "m4" {
				return c.sendOrder(ctx, address, o)
			}
			copies++
			switch copies {
			case 1:
				go func() {
					time.Sleep(9 * time.Second)
					c.execute(e, o, 1)
				}()
				return nil, errors.New("connection reset")
			case 2:
				return &schema.OrderReply{Fencing: o.GetFencing(), Outcome: engine.OutcomeFailed, Incarnation: 1}, nil
			}
			return c.sendOrder(ctx, address, o)
		})
		c.drivers = []*order.Driver{d}
		for i := range 30 {
			report := &schema.Report{Entry: "entry", Announcements: []*schema.Announcement{{Sequence: uint64(i), Server: &schema.Server{
				Name: e.name, Incarnation: 1, Kind: schema.ServerKind_SERVER_KIND_ENGINE, Address: e.name,
				DataCentre: "hall-a", AcceleratorMib: []uint64{acceleratorMiB},
			}}}}
			// Only the large model is requested at first; the others then use its
			// memory as soon as it is released.
			targets := []string{"m4"}
			if i > 0 {
				targets = []string{"m1", "m2"}
				report.Demands = append(report.Demands, &schema.Demand{Target: "m4"})
			}
			for _, target := range targets {
				report.Demands = append(report.Demands, &schema.Demand{Target: target, Waiting: 1, FirstDeadlineMs: 20000, Arrived: 1})
			}
			d.HandleReport(report)
			time.Sleep(time.Second)
		}
		c.mu.Lock()
		assert.Positive(t, c.stats.loads, "the late copy was not executed")
		c.mu.Unlock()
		d.Stop()
		time.Sleep(time.Minute)
	})
}
