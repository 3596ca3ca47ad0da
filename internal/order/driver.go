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
	roundInterval = 100 * time.Millisecond
	// idleRoundInterval is the time between rounds while nothing waits or changes.
	// minRoundInterval is the minimum time between rounds that reports trigger: with
	// many entries that all have waiting requests, each of their reports would
	// otherwise cost a decision over the whole region.
	idleRoundInterval = time.Second
	minRoundInterval  = 20 * time.Millisecond
	// Preloads are considered for every target with an arrival pattern once per
	// preloadInterval, at most preloadTargetsPerRound in a round.
	preloadInterval        = time.Minute
	preloadTargetsPerRound = 200
	// commitTimeout bounds the commit of one command and the confirmation of the
	// leadership.
	commitTimeout = 2 * time.Second
	// orderRetryDelay is the delay before an order without a reply is sent again.
	orderRetryDelay = time.Second
	// An order without a reply is sent again on a new connection after
	// orderTimeoutFactor times the expected load time, and after minOrderTimeout
	// at the earliest.
	minOrderTimeout    = 30 * time.Second
	orderTimeoutFactor = 4
	// adoptionAge is the age at which an order that no goroutine processes is
	// adopted. By then, each command of this leader has returned or timed out.
	adoptionAge = 2 * commitTimeout
	// maxFlightTime is how long an order that a former leader sent, or that got no
	// reply, may still be in flight to an engine that does not check fencing tokens.
	maxFlightTime = 15 * time.Second
	// unconfirmedAge is the age at which a reservation whose order has had no
	// reply is reported to operators.
	unconfirmedAge = time.Minute
	// warmUpPeriod is how long a new leader collects reports before it decides to
	// unload: until then it does not know which replicas are in use.
	warmUpPeriod = 3 * time.Second
)

// Leadership is the leadership state of the control group's member on this host.
type Leadership struct {
	// IsLeader is true on a leader that has committed an entry of its own term.
	IsLeader bool
	Term     uint64
}

// Config configures a Driver. All fields but ObserveLoad and ObserveIdle are
// required.
type Config struct {
	Ledger *ledger.Ledger
	// Leadership returns the current leadership state of this member.
	Leadership func() Leadership
	// Commit proposes a command on this member.
	Commit func(ctx context.Context, cmd *schema.Command) (*schema.Result, error)
	// ConfirmLeadership returns nil only if this member led at a time after the
	// call began.
	ConfirmLeadership func(ctx context.Context) error
	// SendOrder sends an order to an engine and returns its final reply.
	SendOrder func(ctx context.Context, address string, o *schema.Order) (*schema.OrderReply, error)
	Speeds    placement.LoadSpeeds
	Prices    placement.Prices
	Now       func() time.Time
	Log       logr.Logger
	Tracer    trace.Tracer
	// ObserveLoad, if set, is called with the duration of each load and whether it
	// succeeded.
	ObserveLoad func(tier placement.Tier, took time.Duration, ok bool)
	// ObserveIdle, if set, is called with the time that accelerators were held
	// without a request since the last call, summed over the accelerators.
	ObserveIdle func(time.Duration)
}

// Driver sends orders to engines while its member is the leader. All methods are
// safe for concurrent use.
type Driver struct {
	cfg            Config
	stop           chan struct{}
	done           chan struct{}
	roundRequested chan struct{}
	stopOnce       sync.Once
	wg             sync.WaitGroup

	mu sync.Mutex
	// term is the term that the soft state below belongs to, 0 for none. termStart
	// is when this member was first seen to lead in it.
	term      uint64
	termStart time.Time
	observed  *observedState
	// ctx is canceled at the end of the leadership, which cancels the orders in
	// progress.
	ctx    context.Context
	cancel context.CancelFunc
	// busy holds the numbers of the reservations that a goroutine processes.
	busy map[uint64]bool
	// inFlightUntil maps the number of a reservation with an order that got no
	// reply to the time until which that order may still arrive.
	inFlightUntil map[uint64]time.Time
	// reserving maps accelerators with a pending reserve command to its target.
	reserving map[acceleratorKey]string
	// recording holds the servers with a pending put command.
	recording map[string]bool
	// forecasts holds the last round's forecasts by target.
	forecasts map[string]placement.Forecast
	speeds    *placement.SpeedEstimator
	// preloadQueue lists the targets still to be considered for preloads;
	// preloadQueued is when it was last filled.
	preloadQueue  []string
	preloadQueued time.Time
	// dirty is set when requests wait or state has changed since lastRound.
	dirty     bool
	lastRound time.Time
	// idleAccelerators is the number of accelerators held idle at the last round;
	// idleCountedAt is the time of that round.
	idleAccelerators float64
	idleCountedAt    time.Time
}

type acceleratorKey struct {
	server      string
	accelerator int
}

// NewDriver starts a driver.
func NewDriver(cfg Config) *Driver {
	d := &Driver{
		cfg: cfg, stop: make(chan struct{}), done: make(chan struct{}), roundRequested: make(chan struct{}, 1),
	}
	d.reset(0)
	ticker := time.NewTicker(roundInterval)
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
			case <-d.roundRequested:
			}
			d.mu.Lock()
			if d.isDue() {
				d.runRound()
			}
			d.mu.Unlock()
		}
	}()
	return d
}

// Stop stops the driver and waits for its goroutines. The reservations of orders in
// progress stay.
func (d *Driver) Stop() {
	d.stopOnce.Do(func() { close(d.stop) })
	<-d.done
}

// Done returns a channel that is closed when the driver has stopped.
func (d *Driver) Done() <-chan struct{} { return d.done }

// reset discards the soft state and begins that of a term; d.mu is held.
func (d *Driver) reset(term uint64) {
	if d.cancel != nil {
		d.cancel()
	}
	d.term = term
	d.termStart = d.cfg.Now()
	d.observed = newObservedState()
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.busy = map[uint64]bool{}
	d.inFlightUntil = map[uint64]time.Time{}
	d.reserving = map[acceleratorKey]string{}
	d.recording = map[string]bool{}
	d.forecasts = map[string]placement.Forecast{}
	d.speeds = placement.NewSpeedEstimator(d.cfg.Speeds)
	d.idleCountedAt = time.Time{}
}

// refreshLeadership resets the soft state when the leadership or the term has
// changed, and adopts the orders of former leaders. It returns false on a member
// that does not lead. d.mu is held.
func (d *Driver) refreshLeadership() bool {
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
		d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) { d.adopt(d.termStart, r, 0) })
	}
	return true
}

// isDue reports whether a round is due; d.mu is held.
func (d *Driver) isDue() bool {
	return d.dirty || d.cfg.Now().Sub(d.lastRound) >= idleRoundInterval
}

// runRound decides on loads and unloads by the current state and starts them;
// d.mu is held.
func (d *Driver) runRound() {
	if !d.refreshLeadership() {
		return
	}
	now := d.cfg.Now()
	d.lastRound = now
	d.dirty = false
	var plan placement.Plan
	d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) {
		d.recordLost(now, r)
		d.adopt(now, r, adoptionAge)
		in := d.observed.placementInput(now, r, d.busy)
		d.addPendingReservations(&in)
		in.PreloadCandidates = d.nextPreloadCandidates(now)
		in.Speeds = d.speeds.Speeds()
		in.Prices = d.cfg.Prices
		plan = placement.Decide(in)
	})
	d.forecasts = plan.Forecasts
	d.recordIdleTime(now)
	d.idleAccelerators = plan.IdleAccelerators
	if now.Sub(d.termStart) < warmUpPeriod {
		plan.Decisions = onlyLoads(plan.Decisions)
	}
	for _, decision := range plan.Decisions {
		d.execute(decision)
	}
	d.unloadMissing(now)
}

// nextPreloadCandidates returns the next targets to be considered for preloads. It
// covers all targets with an arrival pattern within preloadInterval or slightly more.
func (d *Driver) nextPreloadCandidates(now time.Time) []string {
	if len(d.preloadQueue) == 0 {
		if now.Sub(d.preloadQueued) < preloadInterval {
			return nil
		}
		d.preloadQueued = now
		d.preloadQueue = slices.Sorted(maps.Keys(d.observed.patterns))
	}
	n := min(len(d.preloadQueue), preloadTargetsPerRound)
	next := d.preloadQueue[:n]
	d.preloadQueue = d.preloadQueue[n:]
	return next
}

// recordIdleTime reports the idle accelerator time since the last round; d.mu is
// held.
func (d *Driver) recordIdleTime(now time.Time) {
	if !d.idleCountedAt.IsZero() && d.cfg.ObserveIdle != nil {
		d.cfg.ObserveIdle(time.Duration(d.idleAccelerators * float64(now.Sub(d.idleCountedAt))))
	}
	d.idleCountedAt = now
}

// onlyLoads drops unload decisions: a new leader does not know yet which replicas
// the entries' callers use.
func onlyLoads(all []placement.Decision) []placement.Decision {
	return slices.DeleteFunc(all, func(decision placement.Decision) bool { return decision.Kind != placement.KindLoad })
}

// addPendingReservations adds a loading replica for each pending reserve command.
func (d *Driver) addPendingReservations(in *placement.Input) {
	for key, target := range d.reserving {
		m, _ := in.Model(target)
		in.Replicas = append(in.Replicas, placement.Replica{
			Target: target, Version: m.Version, Server: key.server, Accelerator: key.accelerator,
			MemoryMiB: m.MemoryMiB, State: placement.StateLoading, ReadyAt: in.Now.Add(time.Second), Since: in.Now,
		})
	}
}

// execute starts a decision unless one on the same accelerator or replica is in
// progress; d.mu is held.
func (d *Driver) execute(decision placement.Decision) {
	switch decision.Kind {
	case placement.KindLoad:
		key := acceleratorKey{decision.Server, decision.Accelerator}
		if _, pending := d.reserving[key]; pending {
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

// spawn runs f in a goroutine with a context that is canceled at the end of the
// leadership; d.mu is held.
func (d *Driver) spawn(f func(ctx context.Context)) {
	ctx := d.ctx
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		f(ctx)
	}()
}

// finish records that no goroutine processes the reservation any more.
func (d *Driver) finish(ctx context.Context, number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() == nil {
		delete(d.busy, number)
	}
	d.expireInFlight()
	d.requestRound()
}

// expireInFlight removes the orders that can no longer arrive; d.mu is held.
func (d *Driver) expireInFlight() {
	now := d.cfg.Now()
	maps.DeleteFunc(d.inFlightUntil, func(_ uint64, until time.Time) bool { return now.After(until) })
}

// requestRound triggers a round; d.mu is held.
func (d *Driver) requestRound() {
	d.dirty = true
	select {
	case d.roundRequested <- struct{}{}:
	default:
	}
}

func (d *Driver) commit(ctx context.Context, cmd *schema.Command) (*schema.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return d.cfg.Commit(ctx, cmd)
}

func (d *Driver) startSpan(ctx context.Context, name string, r *schema.Reservation) (context.Context, trace.Span) {
	return d.cfg.Tracer.Start(ctx, name, trace.WithAttributes(
		attribute.String("fennelyard.target", r.GetTarget()), attribute.String("fennelyard.server", r.GetServer()),
		attribute.Int64("fennelyard.fencing", int64(r.GetFencing())),
	))
}
