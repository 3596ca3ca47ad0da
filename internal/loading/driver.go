package loading

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

const (
	// roundInterval is the time between rounds if nothing wakes the driver.
	roundInterval = 100 * time.Millisecond
	// roundPausePerEngine is the pause after a round for each engine. It bounds the cost of
	// rounds, however many announcements and reports arrive.
	roundPausePerEngine = 500 * time.Microsecond
	// maxConfirmationAge is how long an order holder relies on the leader's confirmation of the
	// current term and holder. A host that was frozen in between sends its order within a moment
	// of its resumption, and engines rely on getting no order of an old holder after that. One
	// confirmation serves a burst of orders.
	maxConfirmationAge = 250 * time.Millisecond
	// confirmationTimeout is how long to wait for the leader's confirmation. It takes a leader
	// with a burst of orders for a whole fleet some hundred milliseconds; orders whose
	// confirmation timed out are sent again, and cost it more work than those that go through.
	confirmationTimeout = 400 * time.Millisecond
	// MaxLeadershipProofAge is the maximal age of the quorum's confirmation of a leader when the
	// leader confirms its term to an order holder. A round of the group for each order would
	// cost the leader of a large fleet more than all its other work.
	MaxLeadershipProofAge = 150 * time.Millisecond
	// leaseMargin is added to the pause between the orders of two holders. The last order of the
	// old holder arrives within the sum of MaxLeadershipProofAge, the longer of
	// confirmationTimeout and maxConfirmationAge, for which its confirmation was valid, and
	// orderTimeout, after which its connection is reset; the rest is for the network delay in
	// between.
	leaseMargin = MaxLeadershipProofAge + max(confirmationTimeout, maxConfirmationAge) + orderTimeout + 50*time.Millisecond
	// An order holder is replaced after it has failed to send orders holderFailureAttempts times
	// over holderFailureTimeout: a host restarts within a second. The limits for an engine that
	// does not reply to its holder are higher: most often the engine is gone or slow, and
	// another holder costs a lease.
	holderFailureTimeout  = time.Second
	holderFailureAttempts = 2
	engineFailureTimeout  = 4 * time.Second
	engineFailureAttempts = 6
	// adapterLoadTime is how long an engine takes to fetch an adapter. Requests that arrive
	// earlier are refused as not run and sent again.
	adapterLoadTime = 15 * time.Millisecond
	// completionGrace is how long after the expected end of a load the engine is queried for a
	// report. Queries are repeated, as orders are, after retryDelay.
	completionGrace = 250 * time.Millisecond
	retryDelay      = 300 * time.Millisecond
	// An order without a reply is sent again attemptsBeforeBackoff times, each after retryDelay.
	// Each attemptsPerDoubling further attempts double the delay, up to maxRetryDelay. Without
	// the backoff, when dozens of engines were cut off from their holders, repeated orders cost
	// a leader 150 calls per second, and it lost its leadership.
	attemptsBeforeBackoff = 3
	maxRetryDelay         = 4 * retryDelay
	attemptsPerDoubling   = 2
	// maxConcurrentQueries is how many engines are queried for a report at a time. A new leader
	// queries all engines, and its host with a quarter of a core must send heartbeats in
	// between: with 240 concurrent queries leaders lost their leadership, and the next one
	// queried all engines again, nine times in fourteen seconds.
	// querySlotTime is how long a query occupies its slot at least: 80 reports per second cost
	// such a host 0.05 of a core, and a fleet of 24 engines is queried at once.
	maxConcurrentQueries = 24
	querySlotTime        = 300 * time.Millisecond
	// maxAnnouncementLag is how long after an order announcements are not compared with the
	// known state: most are less old than that when they arrive.
	maxAnnouncementLag = 1500 * time.Millisecond
	// firstTerm is the term of a group's first leader: no earlier leader can have sent orders.
	firstTerm = 1
	// holderRetention is how long a leader keeps the recorded order holders of engines that
	// have not announced themselves.
	holderRetention = 5 * time.Minute
)

// Leadership is whether this host leads, and in which term.
type Leadership struct {
	IsLeader bool
	Term     uint64
}

// Config configures a Driver. All fields are required but ObserveOrder and MeasureWork.
type Config struct {
	Leadership func() Leadership
	Holders    Holders
	// FetchReport queries an engine for a report.
	FetchReport func(ctx context.Context, address, server string) (Report, error)
	Roster      *roster.Roster
	// KnownServers returns the servers that earlier leaders recorded.
	KnownServers func() []*schema.KnownServer
	// Pools returns the pools of the active configuration.
	Pools func() []*schema.Pool
	// OrderLease is the time between the last order of one order holder of an engine and the
	// first order of the next.
	OrderLease time.Duration
	// LoadWindow is the window of the rate limit on loads from the weight store.
	LoadWindow time.Duration
	Now        func() time.Time
	Log        logr.Logger
	// ObserveOrder, if set, is called for each reply to an order.
	ObserveOrder func(o Outcome, load, adapter bool)
	// MeasureWork, if set, is called before each round, and the returned function after it.
	MeasureWork func() (ended func())
}

// Driver sends the leader's orders. All methods are safe from any goroutine.
type Driver struct {
	cfg      Config
	wakeup   chan struct{}
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup

	mu sync.Mutex
	// term and leaderSince are the term of this host's leadership and when it began; guarded by
	// mu, as all below.
	term        uint64
	leaderSince time.Time
	isLeader    bool
	orderCount  uint64
	engines     map[string]*engine
	// incarnationCounts is the number of known incarnations by the server's id.
	incarnationCounts map[string]int
	// lateLoads are the loads that the next incarnation of a server that is gone may execute,
	// by the server's id.
	lateLoads map[string][]sentLoad
	// ordersAllowedFrom is when the current order holder of a server may send its first order,
	// if this leader replaced the previous one. It outlives the server's incarnations.
	ordersAllowedFrom map[string]time.Time
	demands           map[target]*demand
	// crashes counts the engines that ended under loads of a model, by model.
	crashes map[target]*loadCrashes
	// storeLoadStarts are the times at which loads from the store may have begun, by pool.
	storeLoadStarts map[string][]time.Time
	// stores are the estimates of the weight stores, by pool.
	stores map[string]*store
	// pools are the engine pools of the active configuration by name, as of the last round.
	pools map[string]*pool
	// forecasts are cached briefly, as many entries query the same ones.
	forecasts map[target]forecast
	// blockedLoggedAt is when a model was last logged as blocked.
	blockedLoggedAt map[string]time.Time
	// querySlots has a token for each query for a report in progress.
	querySlots chan struct{}
	// recordingHolders is set while order holders are being recorded.
	recordingHolders bool
}

// NewDriver starts a driver. It sends no orders until this host leads.
func NewDriver(cfg Config) *Driver {
	if cfg.MeasureWork == nil {
		cfg.MeasureWork = func() func() { return func() {} }
	}
	d := &Driver{
		cfg: cfg, wakeup: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
		engines: map[string]*engine{}, incarnationCounts: map[string]int{}, lateLoads: map[string][]sentLoad{},
		ordersAllowedFrom: map[string]time.Time{}, demands: map[target]*demand{},
		crashes: map[target]*loadCrashes{}, storeLoadStarts: map[string][]time.Time{}, stores: map[string]*store{},
		blockedLoggedAt: map[string]time.Time{}, forecasts: map[target]forecast{},
		querySlots: make(chan struct{}, maxConcurrentQueries),
	}
	go func() {
		defer close(d.done)
		d.run()
		d.wg.Wait()
	}()
	return d
}

// Stop stops the driver and waits for orders being sent.
func (d *Driver) Stop() {
	d.stopOnce.Do(func() { close(d.stop) })
	<-d.done
}

// Done returns a channel that is closed when the driver has stopped.
func (d *Driver) Done() <-chan struct{} { return d.done }

func (d *Driver) wake() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

func (d *Driver) run() {
	ticker := time.NewTicker(roundInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
		case <-d.wakeup:
		}
		pause := time.Duration(d.runRound()) * roundPausePerEngine
		select {
		case <-d.stop:
			return
		case <-time.After(pause):
		}
	}
}

// HandleAnnouncement applies an engine's announcement.
func (d *Driver) HandleAnnouncement(a roster.Announcement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	receivedAt := a.ReceivedAt(now)
	e := d.engines[a.ID]
	if e == nil {
		e = newEngine(a.ID, a.Pool)
		d.addEngine(e, now)
	}
	e.address, e.slots = a.Address, a.Slots
	e.inMemory, e.onDisk = setOf(a.InMemory), setOf(a.OnDisk)
	switch e.phase {
	case phaseUnknown:
		e.setLoaded(a.Loaded, now)
	case phaseKnown:
		// The age of an announcement that was delayed by a partition is unknown, and so is the
		// number of orders taken before it. An order that combines the number from a report
		// with the models and adapters from an older announcement is not refused, and crashes
		// an engine that has no room for its load. A report has both as of one moment.
		if receivedAt.Sub(e.changedAt) > maxAnnouncementLag && !e.loadedMatches(a.Loaded) {
			d.cfg.Log.Info("engine announces other models", "server", e.id, "sequence", a.Sequence,
				"announced", modelNames(a.Loaded), "believed", modelNames(e.routableModels()))
			e.phase = phaseUnknown
		}
	case phaseExecuting:
		// An announcement that a control host received before the order shows the state before
		// it.
		if receivedAt.After(e.orderedAt) && d.showsOrderDone(e, a.Loaded) {
			d.finishOrder(e, now)
		}
	case phaseSending, phaseUnconfirmed:
	}
	if e.holder.Host == "" {
		d.loadHolder(e)
	}
	d.publish(e)
	d.wake()
}

func setOf(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}

// showsOrderDone reports whether the loaded models of an announcement or report show that the
// order in progress was executed. A state from before the order differs from its result, so
// only the result counts.
func (d *Driver) showsOrderDone(e *engine, loaded []*schema.HeldModel) bool {
	if e.order.Adapter != "" {
		return false
	}
	has := slices.ContainsFunc(loaded, func(m *schema.HeldModel) bool { return m.GetName() == e.order.Model })
	return has == e.order.Load
}

func (d *Driver) finishOrder(e *engine, now time.Time) {
	d.cfg.Log.Info("order done", "server", e.id, "load", e.order.Load, "model", e.order.Model, "adapter", e.order.Adapter,
		"took-ms", now.Sub(e.orderedAt).Milliseconds(), "taken", e.ordersTaken)
	if e.order.Load && e.order.FromStore {
		st := d.poolStore(e.pool)
		st.recordLoad(e.storeConcurrency, now.Sub(e.orderedAt), d.storeLoadTime(e))
		d.cfg.Log.Info("store learned", "pool", e.pool, "at-once", e.storeConcurrency,
			"took-ms", now.Sub(e.orderedAt).Milliseconds(), "loads", st.concurrency())
	}
	if e.order.Load && e.order.Adapter == "" {
		delete(d.crashes, target{e.pool, e.order.Model, ""})
	}
	e.applyOrder(now)
}

// publish sets the models of an engine that entries may use. Until the first report they are
// those of its announcement.
func (d *Driver) publish(e *engine) { d.cfg.Roster.SetModels(e.id, e.routableModels()) }

// runRound removes engines that are gone, advances the orders of the others and, as the leader,
// assigns order holders and sends new orders. It returns the number of engines.
func (d *Driver) runRound() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.cfg.MeasureWork()()
	now := d.cfg.Now()
	d.refreshLeadership(now)
	d.pools = updatePools(d.cfg.Pools(), d.pools)
	for id, e := range d.engines {
		if !d.cfg.Roster.Ready(id) {
			if e.phase != phaseSending {
				d.recordEnd(e, now)
				d.retainLateLoads(e, now)
				d.removeEngine(e)
			}
			continue
		}
		d.advance(e, now)
	}
	if !d.isLeader {
		return len(d.engines)
	}
	d.assignHolders(now)
	for _, p := range d.pools {
		actions, blocked := Decide(d.decisionInput(p, now))
		for _, a := range actions {
			d.startOrder(d.engines[a.Engine], a, now)
		}
		d.logBlocked(blocked, now)
	}
	return len(d.engines)
}

// blockedLogInterval is the least time between two log lines on a blocked model: in a burst of
// rare models a hundred are blocked for as long as the store's rate limit lasts.
const blockedLogInterval = 3 * time.Second

// logBlocked logs the models that need a replica and can't be loaded.
func (d *Driver) logBlocked(blocked []Blocked, now time.Time) {
	for _, b := range blocked {
		if now.Sub(d.blockedLoggedAt[b.Model]) < blockedLogInterval {
			continue
		}
		d.blockedLoggedAt[b.Model] = now
		d.cfg.Log.Info("load blocked", "model", b.Model, "rate", b.Rate, "engines-busy", b.Busy, "engines-holding", b.Loaded,
			"engines-full", b.Full, "engines-store-paced", b.StoreLimited)
	}
}

// RefreshLeadership determines at once whether this host leads; announcements and reports
// received from then on belong to the current leadership.
func (d *Driver) RefreshLeadership() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshLeadership(d.cfg.Now())
}

// refreshLeadership determines whether this host leads. A new leadership drops the known state
// of the engines: another host may have sent orders in between.
func (d *Driver) refreshLeadership(now time.Time) {
	l := d.cfg.Leadership()
	if l.IsLeader == d.isLeader && l.Term == d.term {
		return
	}
	wasLeader, term := d.isLeader, d.term
	d.isLeader, d.term = l.IsLeader, l.Term
	if l.IsLeader {
		d.leaderSince, d.orderCount = now, 0
		if l.Term == firstTerm {
			d.leaderSince = now.Add(-d.cfg.LoadWindow)
		}
		d.cfg.Roster.Reset()
		d.engines, d.incarnationCounts = map[string]*engine{}, map[string]int{}
		d.ordersAllowedFrom = map[string]time.Time{}
		d.demands = map[target]*demand{}
		d.crashes = map[target]*loadCrashes{}
		d.storeLoadStarts = map[string][]time.Time{}
		d.cfg.Log.Info("leading", "term", l.Term)
		d.restoreServers(now)
	} else if wasLeader {
		d.cfg.Log.Info("no longer leading", "term", term)
	}
}

// advance queries an engine whose state is unknown or whose order is overdue, and repeats an
// unconfirmed order.
func (d *Driver) advance(e *engine, now time.Time) {
	if !d.isLeader || now.Before(e.notBefore) || d.pools[e.pool] == nil {
		return
	}
	switch e.phase {
	case phaseUnknown:
		d.requestReport(e, now)
	case phaseExecuting:
		if now.Before(e.dueAt) {
			return
		}
		if e.order.Adapter != "" {
			d.finishOrder(e, now)
			d.publish(e)
			return
		}
		d.requestReport(e, now)
	case phaseUnconfirmed:
		if now.Before(e.ordersAllowedFrom) {
			return
		}
		e.notBefore = now.Add(retryDelayAfter(e.attempts))
		d.sendOrder(e, now)
	case phaseKnown, phaseSending:
	}
}

// decisionInput returns the input of Decide for a pool.
func (d *Driver) decisionInput(p *pool, now time.Time) Input {
	in := Input{
		Now: now, MemoryMB: p.spec.GetMemoryMb(), AdapterSlots: int(p.spec.GetAdapterPlaces()), Models: map[string]*Model{},
	}
	for name, configured := range p.models {
		m := *configured
		m.Suspended = d.suspendedFor(p.name, name, now) > 0
		if dm := d.demands[target{p.name, name, ""}]; dm != nil {
			m.Rate, m.LastRequested, m.Waiting = dm.expectedRate(now), dm.lastRequested, dm.totalWaiting()
			m.PrefillTime, m.RequestTime = dm.meanTimes()
		}
		in.Models[name] = &m
	}
	for t, dm := range d.demands {
		m := in.Models[t.model]
		if t.pool != p.name || t.adapter == "" || m == nil {
			continue
		}
		if m.AdapterRate == nil {
			m.AdapterRate = map[string]float64{}
		}
		m.AdapterRate[t.adapter] = dm.decayed(dm.rate, rateWindow, now)
		if dm.totalWaiting() == 0 {
			continue
		}
		m.Waiting += dm.totalWaiting()
		if !d.isLoadedOrIncoming(t) {
			in.WaitingAdapters = append(in.WaitingAdapters, ModelRef{Model: t.model, Adapter: t.adapter})
		}
	}
	slices.SortFunc(in.WaitingAdapters, func(a, b ModelRef) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	limits, cooling, rejectingFrom := d.cfg.Roster.Limits(), d.cfg.Roster.CoolingEntries(), minCoolingEntries(d.cfg.Roster.EntryCount())
	for _, e := range d.engines {
		if e.pool != p.name {
			continue
		}
		d.setRejecting(e, cooling[e.id], rejectingFrom)
		v := e.view(d.cfg.Roster.HasRequests)
		v.Rejecting = e.rejecting
		v.RoomMadeFor, v.LateLoads = e.recentRoomFor(now), e.lateModels(now)
		if l := limits[e.id]; l != nil {
			v.Limited, v.Limit = true, l.GetPerSecond()
		}
		if now.Before(e.notBefore) || e.holder.Host == "" || now.Before(e.ordersAllowedFrom) || now.Before(e.earlierOrdersUntil) {
			v.Busy = true
		}
		if v.FromStore {
			in.StoreLoadsRunning++
			d.poolStore(p.name).recordProgress(e.storeConcurrency, now.Sub(e.orderedAt), d.storeLoadTime(e))
		}
		in.Slots = max(in.Slots, e.slots)
		in.Engines = append(in.Engines, v)
	}
	slices.SortFunc(in.Engines, func(a, b *Engine) int { return cmp.Compare(a.ID, b.ID) })
	in.StoreConcurrency = d.poolStore(p.name).concurrency()
	in.StoreLoadsAllowed = d.storeLoadsAllowed(p, in.StoreLoadsRunning, now)
	return in
}

func (d *Driver) isLoadedOrIncoming(t target) bool {
	for _, e := range d.engines {
		if e.pool != t.pool {
			continue
		}
		if e.rejecting {
			continue
		}
		if e.phase > phaseKnown && e.order.Load && e.order.Model == t.model && e.order.Adapter == t.adapter {
			return true
		}
		if l := e.loaded[t.model]; l != nil {
			if _, ok := l.Adapters[t.adapter]; ok {
				return true
			}
		}
	}
	return false
}

// storeLoadsAllowed returns how many loads from the weight store may begin now, by the store's
// rate limit over LoadWindow and its estimated concurrency. For one window after a change of
// leader it is 0: the loads that the previous leader began are unknown and count as many as the
// limit allows.
func (d *Driver) storeLoadsAllowed(p *pool, running int, now time.Time) int {
	if now.Sub(d.leaderSince) < d.cfg.LoadWindow {
		return 0
	}
	inWindow := d.storeLoadStarts[p.name][:0]
	for _, at := range d.storeLoadStarts[p.name] {
		if now.Sub(at) < d.cfg.LoadWindow {
			inWindow = append(inWindow, at)
		}
	}
	d.storeLoadStarts[p.name] = inWindow
	withinRate := int(p.spec.GetLoadsPerSecond()*d.cfg.LoadWindow.Seconds()) - len(inWindow)
	return max(min(withinRate, d.poolStore(p.name).concurrency()-running), 0)
}
