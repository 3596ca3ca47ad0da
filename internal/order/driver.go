package order

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"fennelyard/internal/ledger"
	"fennelyard/internal/placement"
	"fennelyard/internal/schema"
)

const (
	roundEvery = 100 * time.Millisecond
	// quietEvery is the time between rounds while nothing waits or changes, and
	// roundGap the least time between rounds that reports ask for: with many
	// entries that all have something waiting, each of their reports would
	// otherwise cost a decision over the whole region.
	quietEvery = time.Second
	roundGap   = 20 * time.Millisecond
	// Loads ahead of demand are considered for every target with learnt arrivals
	// once per aheadEvery, a few in each round.
	aheadEvery    = time.Minute
	aheadPerRound = 200
	// commitWait bounds one command of the driver.
	commitWait = 2 * time.Second
	// orderRetry is the pause before an order without an answer is given again.
	orderRetry = time.Second
	// minOrderWait is the least time that an engine is given for an answer
	// before the same order is given again on a fresh connection.
	minOrderWait   = 30 * time.Second
	orderWaitTimes = 4
	// adoptAfter is the age at which an order that nobody works on is adopted;
	// a command of this leader is answered or given up by then.
	adoptAfter = 2 * commitWait
	// flightBound is how long an order that a former leader sent may still be
	// on its way to an engine that does not check fencing numbers.
	flightBound = 15 * time.Second
	// unprovedAfter is when an operator is told of an order without an answer.
	unprovedAfter = time.Minute
	// warmUp is how long a new leader hears reports before it decides anything
	// on the servers' silence.
	warmUp = 3 * time.Second
)

// Leadership is what the driver needs to know of the group's member here.
type Leadership struct {
	// IsLeader is true on a leader that has committed in its term.
	IsLeader bool
	Term     uint64
}

// Config configures a Driver. All fields are required but Tracer.
type Config struct {
	Ledger *ledger.Ledger
	// Leadership tells whether this member leads.
	Leadership func() Leadership
	// Commit proposes a command on this member.
	Commit func(ctx context.Context, cmd *schema.Command) (*schema.Result, error)
	// ConfirmLeadership returns nil only if this member led after the call.
	ConfirmLeadership func(ctx context.Context) error
	// SendOrder sends an order to an engine and returns its final answer.
	SendOrder func(ctx context.Context, address string, o *schema.Order) (*schema.OrderReply, error)
	Speeds    placement.LoadSpeeds
	Prices    placement.Prices
	Now       func() time.Time
	Log       logr.Logger
	Tracer    trace.Tracer
	// ObserveLoad, where set, is told how long a load took and whether it succeeded.
	ObserveLoad func(tier placement.Tier, took time.Duration, ok bool)
	// ObserveIdle, where set, is told the accelerator time that was held without a
	// request since the last call.
	ObserveIdle func(time.Duration)
}

// Driver gives orders while its member leads. All methods are safe from any
// goroutine.
type Driver struct {
	cfg  Config
	stop chan struct{}
	done chan struct{}
	kick chan struct{}
	once sync.Once
	wg   sync.WaitGroup

	mu sync.Mutex
	// term is the term that the soft state below belongs to; 0: none.
	term  uint64
	since time.Time
	fleet *fleet
	// ctx ends with the leadership; orders under way end with it.
	ctx    context.Context
	cancel context.CancelFunc
	// busy holds reservations that a goroutine works on.
	busy map[uint64]bool
	// inFlight holds, for reservations with an order that got no answer, until
	// when that order may still arrive.
	inFlight map[uint64]time.Time
	// reserving holds accelerators with a reserve command under way.
	reserving map[reserveKey]string
	// putting holds servers with a put command under way.
	putting   map[string]bool
	forecasts map[string]placement.Forecast
	speeds    *placement.SpeedEstimator
	// ahead lists the targets still to be looked at for loads ahead.
	ahead       []string
	lookedAhead time.Time
	// dirty is set when something waits or has changed since lastRound.
	dirty     bool
	lastRound time.Time
	// idle is the number of accelerators held idle at the last round, which
	// was at counted.
	idle    float64
	counted time.Time
}

type reserveKey struct {
	server      string
	accelerator int
}

// NewDriver starts a driver.
func NewDriver(cfg Config) *Driver {
	d := &Driver{
		cfg: cfg, stop: make(chan struct{}), done: make(chan struct{}), kick: make(chan struct{}, 1),
	}
	d.reset(0)
	ticker := time.NewTicker(roundEvery)
	go func() {
		defer close(d.done)
		defer d.wg.Wait()
		defer ticker.Stop()
		for {
			select {
			case <-d.stop:
				d.mu.Lock()
				d.cancel()
				d.mu.Unlock()
				return
			case <-ticker.C:
			case <-d.kick:
			}
			d.mu.Lock()
			if d.isDue() {
				d.round()
			}
			d.mu.Unlock()
		}
	}()
	return d
}

// Stop ends the driver. Orders under way stay reserved.
func (d *Driver) Stop() {
	d.once.Do(func() { close(d.stop) })
	<-d.done
}

// Done is closed when the driver has stopped.
func (d *Driver) Done() <-chan struct{} { return d.done }

func (d *Driver) reset(term uint64) {
	if d.cancel != nil {
		d.cancel()
	}
	d.term = term
	d.since = d.cfg.Now()
	d.fleet = newFleet()
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.busy = map[uint64]bool{}
	d.inFlight = map[uint64]time.Time{}
	d.reserving = map[reserveKey]string{}
	d.putting = map[string]bool{}
	d.forecasts = map[string]placement.Forecast{}
	d.speeds = placement.NewSpeedEstimator(d.cfg.Speeds)
	d.counted = time.Time{}
}

// follow keeps the soft state in step with the leadership. It returns false on
// a member that does not lead.
func (d *Driver) follow() bool {
	l := d.cfg.Leadership()
	if !l.IsLeader {
		if d.term != 0 {
			d.reset(0)
		}
		return false
	}
	if d.term != l.Term {
		d.reset(l.Term)
		d.cfg.Log.Info("orders begin", "term", l.Term)
		d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) { d.adopt(d.since, r, 0) })
	}
	return true
}

// isDue reports whether a round is worth its cost; d.mu is held.
func (d *Driver) isDue() bool {
	return d.dirty || d.cfg.Now().Sub(d.lastRound) >= quietEvery
}

// round decides and acts; d.mu is held.
func (d *Driver) round() {
	if !d.follow() {
		return
	}
	now := d.cfg.Now()
	d.lastRound = now
	d.dirty = false
	var plan placement.Plan
	d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) {
		d.noteLost(now, r)
		d.adopt(now, r, adoptAfter)
		in := d.fleet.input(now, r, d.busy)
		d.addReserving(&in)
		in.PreloadCandidates = d.nextAhead(now)
		in.Speeds = d.speeds.Speeds()
		in.Prices = d.cfg.Prices
		plan = placement.Decide(in)
	})
	d.forecasts = plan.Forecasts
	d.countIdle(now)
	d.idle = plan.IdleAccelerators
	if now.Sub(d.since) < warmUp {
		plan.Decisions = onlyLoads(plan.Decisions)
	}
	for _, decision := range plan.Decisions {
		d.act(decision)
	}
	d.dropVanished(now)
}

// nextAhead returns the next few targets with learnt arrivals, all of them in
// turn within aheadEvery or a little more.
func (d *Driver) nextAhead(now time.Time) []string {
	if len(d.ahead) == 0 {
		if now.Sub(d.lookedAhead) < aheadEvery {
			return nil
		}
		d.lookedAhead = now
		d.ahead = slices.Sorted(maps.Keys(d.fleet.patterns))
	}
	n := min(len(d.ahead), aheadPerRound)
	next := d.ahead[:n]
	d.ahead = d.ahead[n:]
	return next
}

func (d *Driver) countIdle(now time.Time) {
	if !d.counted.IsZero() && d.cfg.ObserveIdle != nil {
		d.cfg.ObserveIdle(time.Duration(d.idle * float64(now.Sub(d.counted))))
	}
	d.counted = now
}

// onlyLoads holds back unloads while a new leader does not know yet what the
// entries' callers use.
func onlyLoads(all []placement.Decision) []placement.Decision {
	return slices.DeleteFunc(all, func(x placement.Decision) bool { return x.Kind != placement.KindLoad })
}

// addReserving counts reserve commands that are under way.
func (d *Driver) addReserving(in *placement.Input) {
	for key, target := range d.reserving {
		m, _ := in.Model(target)
		in.Replicas = append(in.Replicas, placement.Replica{
			Target: target, Version: m.Version, Server: key.server, Accelerator: key.accelerator,
			MemoryMiB: m.MemoryMiB, State: placement.StateLoading, ReadyAt: in.Now.Add(time.Second), Since: in.Now,
		})
	}
}

func (d *Driver) act(decision placement.Decision) {
	switch decision.Kind {
	case placement.KindLoad:
		key := reserveKey{decision.Server, decision.Accelerator}
		if _, under := d.reserving[key]; under {
			return
		}
		d.reserving[key] = decision.Target
		d.spawn(func(ctx context.Context) { d.load(ctx, key, decision) })
	case placement.KindUnload:
		if d.busy[decision.Replica] {
			return
		}
		d.busy[decision.Replica] = true
		d.spawn(func(ctx context.Context) { d.unload(ctx, decision) })
	}
}

// spawn runs f until it ends or the leadership does; d.mu is held.
func (d *Driver) spawn(f func(ctx context.Context)) {
	ctx := d.ctx
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f(ctx)
	}()
}

// free takes note that no goroutine works on a reservation any more.
func (d *Driver) free(ctx context.Context, number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() == nil {
		delete(d.busy, number)
	}
	d.forgetFlights()
	d.poke()
}

// forgetFlights drops what can no longer arrive; d.mu is held.
func (d *Driver) forgetFlights() {
	now := d.cfg.Now()
	maps.DeleteFunc(d.inFlight, func(_ uint64, until time.Time) bool { return now.After(until) })
}

// poke asks for a round; d.mu is held.
func (d *Driver) poke() {
	d.dirty = true
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

func (d *Driver) commit(ctx context.Context, cmd *schema.Command) (*schema.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commitWait)
	defer cancel()
	return d.cfg.Commit(ctx, cmd)
}

func (d *Driver) span(ctx context.Context, name string, r *schema.Reservation) (context.Context, trace.Span) {
	return d.cfg.Tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String("fennelyard.target", r.GetTarget()), attribute.String("fennelyard.server", r.GetServer()),
		attribute.Int64("fennelyard.fencing", int64(r.GetFencing())),
	))
}
