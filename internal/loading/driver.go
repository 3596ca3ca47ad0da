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
	// tick is how often the driver looks at its engines when nothing wakes it.
	tick = 100 * time.Millisecond
	// roundGap is the time between two rounds for each engine, and so bounds what
	// rounds cost however many words come in.
	roundGap = 500 * time.Microsecond
	// confirmFor is how long a holder relies on the leader's word who leads and who
	// holds an engine's orders. A host that was frozen in between gives its order
	// within a moment of its thaw, and engines are promised no order of an old holder
	// after that. One word serves the orders of a burst.
	confirmFor = 250 * time.Millisecond
	// confirmWait is how long the leader's word is waited for. A leader with a fleet's
	// burst before it takes some hundred milliseconds for it; orders that do not wait for it
	// are given again, and are more work for it than those that leave.
	confirmWait = 400 * time.Millisecond
	// LeadershipProofMaxAge is how old a quorum's word may be with which a leader answers a
	// holder: a round of the group for each order would cost a leader of a large
	// fleet more than all else that it does.
	LeadershipProofMaxAge = 150 * time.Millisecond
	// leaseMargin is added to the pause between two holders' orders. An order of the old
	// holder arrives within LeadFor and the longer of confirmWait and confirmFor, for which
	// what it knew was true, and orderWait, after which its connection is reset; the rest is
	// for the way in between.
	leaseMargin = LeadershipProofMaxAge + max(confirmWait, confirmFor) + orderWait + 50*time.Millisecond
	// holderPatience and holderTries are for how long, and how often, an engine's
	// order holder may fail to send its orders before another host takes them over:
	// a host restarts within a second. enginePatience and engineTries are the same
	// for an engine that does not answer its holder: most often it is the engine
	// that is gone, or that answers late, and another holder costs a lease.
	holderPatience = time.Second
	holderTries    = 2
	enginePatience = 4 * time.Second
	engineTries    = 6
	// adapterLoad is how long an adapter takes that the engine fetches; requests
	// that come sooner are refused as not run and sent again.
	adapterLoad = 15 * time.Millisecond
	// dueSlack is how long after its expected end a load is asked about, and
	// then again and again.
	dueSlack  = 250 * time.Millisecond
	againSoon = 300 * time.Millisecond
	// triesSoon is how many times an order without an answer is given again that soon;
	// each two tries more double the time, to four times as long. While engines were cut
	// off from their holders by the dozen, the same orders again were 150 calls a second
	// of a leader that then lost its lead.
	triesSoon     = 3
	againLongest  = 4 * againSoon
	triesToDouble = 2
	// asksAtOnce is how many engines are asked for a report at a time. A leader that has
	// just begun asks all of them, and its host of a quarter of a core must say in between
	// that it leads: with 240 asked at once leaders lost their lead over it, and the next
	// one asked all again, nine times in fourteen seconds.
	// askPace is how long each of them counts as asked: 80 reports a second cost such a host
	// 0.05 of a core, and a fleet of 24 engines is asked at once.
	asksAtOnce = 24
	askPace    = 300 * time.Millisecond
	// beatLag is for how long after an order announcements are not compared with what is
	// believed: most are less old than that when they come.
	beatLag = 1500 * time.Millisecond
	// firstTerm is the term of a group's first leader: nobody can have given orders
	// before it.
	firstTerm = 1
	// forgetHolders is after how long the holders of engines that nobody has heard
	// of are dropped from the log.
	forgetHolders = 5 * time.Minute
)

// Leadership is whether this host leads, and in which term.
type Leadership struct {
	IsLeader bool
	Term     uint64
}

// Config configures a Driver. All fields are required.
type Config struct {
	Leadership func() Leadership
	Holders    Holders
	// FetchReport asks an engine for a report.
	FetchReport func(ctx context.Context, address, server string) (Report, error)
	Roster      *roster.Roster
	// KnownServers returns the servers that earlier leaders recorded.
	KnownServers func() []*schema.KnownServer
	// Pools returns the pools in force.
	Pools func() []*schema.Pool
	// OrderLease is the time between the last order of one holder of an engine's
	// orders and the first of the next.
	OrderLease time.Duration
	// LoadWindow is the time over which loads from the weight store are counted.
	LoadWindow time.Duration
	Now        func() time.Time
	Log        logr.Logger
	// ObserveOrder, where set, counts answered orders.
	ObserveOrder func(o Outcome, load, adapter bool)
}

// Driver gives the leader's orders. All methods are safe from any goroutine.
type Driver struct {
	cfg  Config
	kick chan struct{}
	stop chan struct{}
	done chan struct{}
	once sync.Once
	wg   sync.WaitGroup

	mu sync.Mutex
	// term and since tell since when this host has led without a break; guarded
	// by mu, as all below.
	term    uint64
	since   time.Time
	leads   bool
	token   uint64
	engines map[string]*engine
	// starts counts them by the server's id.
	starts map[string]int
	// late are the loads that may be carried out by the next start of a server that is
	// gone.
	late map[string][]sentLoad
	// leases is when the present holder of a server's orders may begin, where this
	// leader has replaced the one before; engines come and go with their starts.
	leases  map[string]time.Time
	demands map[target]*demand
	// endings are by model, of models under whose loads engines ended.
	endings map[target]*endings
	// begun holds when each load from the store may have begun, by pool.
	begun map[string][]time.Time
	// stores is what was learned of each pool's weight store.
	stores map[string]*store
	// pools are the engine pools in force, by name, as of the last round.
	pools map[string]*pool
	// forecasts are kept for a moment, as many entries ask for the same.
	forecasts map[target]forecast
	// told is when a model was last logged as blocked.
	told map[string]time.Time
	// asking holds a token for each report that is asked for.
	asking chan struct{}
	// assigning is set while holders are being recorded.
	assigning bool
}

// NewDriver starts a driver. It gives no order until this host leads.
func NewDriver(cfg Config) *Driver {
	d := &Driver{
		cfg: cfg, kick: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
		engines: map[string]*engine{}, starts: map[string]int{}, late: map[string][]sentLoad{}, leases: map[string]time.Time{}, demands: map[target]*demand{},
		endings: map[target]*endings{}, begun: map[string][]time.Time{}, stores: map[string]*store{},
		told: map[string]time.Time{}, forecasts: map[target]forecast{}, asking: make(chan struct{}, asksAtOnce),
	}
	go func() {
		defer close(d.done)
		d.run()
		d.wg.Wait()
	}()
	return d
}

// Stop ends the driver; orders under way are waited for.
func (d *Driver) Stop() {
	d.once.Do(func() { close(d.stop) })
	<-d.done
}

// Done is closed when the driver has stopped.
func (d *Driver) Done() <-chan struct{} { return d.done }

func (d *Driver) wake() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

func (d *Driver) run() {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-ticker.C:
		case <-d.kick:
		}
		pause := time.Duration(d.round()) * roundGap
		select {
		case <-d.stop:
			return
		case <-time.After(pause):
		}
	}
}

// HandleAnnouncement takes an engine's announcement in.
func (d *Driver) HandleAnnouncement(a roster.Announcement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	said := a.ReceivedAt(now)
	e := d.engines[a.ID]
	if e == nil {
		e = newEngine(a.ID, a.Pool)
		d.add(e, now)
	}
	e.address, e.slots = a.Address, a.Slots
	e.inMemory, e.onDisk = setOf(a.InMemory), setOf(a.OnDisk)
	switch e.phase {
	case phaseUnknown:
		e.learn(a.Loaded, now)
	case phaseKnown:
		// Nobody knows how old an announcement is that a cut held up, nor after how many
		// orders it was said. An order by the count that a report told and by models and
		// adapters that an older word told is not refused, and ends an engine that has no
		// room for what it brings. A report tells both as of one moment.
		if said.Sub(e.touched) > beatLag && !e.holdsJust(a.Loaded) {
			d.cfg.Log.Info("engine announces other models", "server", e.id, "sequence", a.Sequence, "announced", heldNames(a.Loaded), "believed", heldNames(e.views()))
			e.phase = phaseUnknown
		}
	case phaseWorking:
		// A word that a control host heard before the order shows what was before it.
		if said.After(e.given) && d.seenDone(e, a.Loaded) {
			d.finish(e, now)
		}
	case phaseGiving, phaseUncertain:
	}
	if e.holder.Host == "" {
		d.recall(e)
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

// seenDone reports whether an engine's word shows that the order under way was
// carried out. A word older than the order shows the opposite, so that only
// what the order brings about is believed.
func (d *Driver) seenDone(e *engine, held []*schema.HeldModel) bool {
	if e.order.Adapter != "" {
		return false
	}
	has := slices.ContainsFunc(held, func(h *schema.HeldModel) bool { return h.GetName() == e.order.Model })
	return has == e.order.Load
}

func (d *Driver) finish(e *engine, now time.Time) {
	d.cfg.Log.Info("order done", "server", e.id, "load", e.order.Load, "model", e.order.Model, "adapter", e.order.Adapter,
		"took-ms", now.Sub(e.given).Milliseconds(), "taken", e.taken)
	if e.order.Load && e.order.FromStore {
		st := d.storeOf(e.pool)
		st.ended(e.atOnce, now.Sub(e.given), d.fromStore(e))
		d.cfg.Log.Info("store learned", "pool", e.pool, "at-once", e.atOnce, "took-ms", now.Sub(e.given).Milliseconds(), "loads", st.atOnce())
	}
	if e.order.Load && e.order.Adapter == "" {
		delete(d.endings, target{e.pool, e.order.Model, ""})
	}
	e.done(now)
}

// publish tells the entries what an engine holds. Until the first report it is
// what the engine said itself.
func (d *Driver) publish(e *engine) { d.cfg.Roster.SetModels(e.id, e.views()) }

// round does what is due, and returns the number of engines.
func (d *Driver) round() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	d.follow(now)
	d.pools = poolsOf(d.cfg.Pools(), d.pools)
	for id, e := range d.engines {
		if !d.cfg.Roster.Ready(id) {
			if e.phase != phaseGiving {
				d.ended(e, now)
				d.keepLate(e, now)
				d.remove(e)
			}
			continue
		}
		d.tend(e, now)
	}
	if !d.leads {
		return len(d.engines)
	}
	d.assign(now)
	for _, p := range d.pools {
		actions, blocked := Decide(d.input(p, now))
		for _, a := range actions {
			d.begin(d.engines[a.Engine], a, now)
		}
		d.logBlocked(blocked, now)
	}
	return len(d.engines)
}

// blockedEvery is how often a model is logged that lacks a replica: in a burst of rare
// models a hundred do, for as long as the store is paced.
const blockedEvery = 3 * time.Second

// logBlocked logs models that lack a replica.
func (d *Driver) logBlocked(blocked []Blocked, now time.Time) {
	for _, b := range blocked {
		if now.Sub(d.told[b.Model]) < blockedEvery {
			continue
		}
		d.told[b.Model] = now
		d.cfg.Log.Info("load blocked", "model", b.Model, "rate", b.Rate, "engines-busy", b.Busy, "engines-holding", b.Loaded,
			"engines-full", b.Full, "engines-store-paced", b.StoreLimited)
	}
}

// RefreshLeadership notes at once whether this host leads; what it hears from then on
// belongs to the present leadership.
func (d *Driver) RefreshLeadership() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow(d.cfg.Now())
}

// follow notes whether this host leads. What an earlier leadership knew of the
// engines is worth nothing after another host may have given orders.
func (d *Driver) follow(now time.Time) {
	l := d.cfg.Leadership()
	if l.IsLeader == d.leads && l.Term == d.term {
		return
	}
	led, term := d.leads, d.term
	d.leads, d.term = l.IsLeader, l.Term
	if l.IsLeader {
		d.since, d.token = now, 0
		if l.Term == firstTerm {
			d.since = now.Add(-d.cfg.LoadWindow)
		}
		d.cfg.Roster.Reset()
		d.engines, d.starts = map[string]*engine{}, map[string]int{}
		d.leases = map[string]time.Time{}
		d.demands = map[target]*demand{}
		d.endings = map[target]*endings{}
		d.begun = map[string][]time.Time{}
		d.cfg.Log.Info("leading", "term", l.Term)
		d.recallServers(now)
	} else if led {
		d.cfg.Log.Info("no longer leading", "term", term)
	}
}

// tend asks about an engine where its state is not known or an end is overdue.
func (d *Driver) tend(e *engine, now time.Time) {
	if !d.leads || now.Before(e.notBefore) || d.pools[e.pool] == nil {
		return
	}
	switch e.phase {
	case phaseUnknown:
		d.ask(e, now)
	case phaseWorking:
		if now.Before(e.due) {
			return
		}
		if e.order.Adapter != "" {
			d.finish(e, now)
			d.publish(e)
			return
		}
		d.ask(e, now)
	case phaseUncertain:
		if now.Before(e.ordersFrom) {
			return
		}
		e.notBefore = now.Add(againAfter(e.tries))
		d.give(e, now)
	case phaseKnown, phaseGiving:
	}
}

func (d *Driver) input(p *pool, now time.Time) Input {
	in := Input{
		Now: now, MemoryMB: p.spec.GetMemoryMb(), AdapterSlots: int(p.spec.GetAdapterPlaces()), Models: map[string]*Model{},
	}
	for name, known := range p.models {
		m := *known
		m.Suspended = d.barredFor(p.name, name, now) > 0
		if x := d.demands[target{p.name, name, ""}]; x != nil {
			m.Rate, m.LastRequested, m.Waiting = x.rateAt(now), x.asked, x.sum()
			m.PrefillTime, m.RequestTime = x.times()
		}
		in.Models[name] = &m
	}
	for t, x := range d.demands {
		m := in.Models[t.model]
		if t.pool != p.name || t.adapter == "" || m == nil {
			continue
		}
		if m.AdapterRate == nil {
			m.AdapterRate = map[string]float64{}
		}
		m.AdapterRate[t.adapter] = x.average(x.rate, rateWindow, now)
		if x.sum() == 0 {
			continue
		}
		m.Waiting += x.sum()
		if !d.heldOrComing(t) {
			in.WaitingAdapters = append(in.WaitingAdapters, ModelRef{Model: t.model, Adapter: t.adapter})
		}
	}
	slices.SortFunc(in.WaitingAdapters, func(a, b ModelRef) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	for _, e := range d.engines {
		if e.pool != p.name {
			continue
		}
		v := e.view(d.cfg.Roster.HasRequests)
		v.RoomMadeFor, v.LateLoads = e.clearedFor(now), e.lateLoads(now)
		if now.Before(e.notBefore) || e.holder.Host == "" || now.Before(e.ordersFrom) || now.Before(e.unheard) {
			v.Busy = true
		}
		if v.FromStore {
			in.StoreLoadsRunning++
			d.storeOf(p.name).running(e.atOnce, now.Sub(e.given), d.fromStore(e))
		}
		in.Slots = max(in.Slots, e.slots)
		in.Engines = append(in.Engines, v)
	}
	slices.SortFunc(in.Engines, func(a, b *Engine) int { return cmp.Compare(a.ID, b.ID) })
	in.StoreConcurrency = d.storeOf(p.name).atOnce()
	in.StoreLoadsAllowed = d.storeLoads(p, in.StoreLoadsRunning, now)
	return in
}

func (d *Driver) heldOrComing(t target) bool {
	for _, e := range d.engines {
		if e.pool != t.pool {
			continue
		}
		if e.phase > phaseKnown && e.order.Load && e.order.Model == t.model && e.order.Adapter == t.adapter {
			return true
		}
		if h := e.held[t.model]; h != nil {
			if _, ok := h.Adapters[t.adapter]; ok {
				return true
			}
		}
	}
	return false
}

// storeLoads is how many loads from the weight store may begin now, by the
// store's own pace over a window and by what it serves at full speed. For one
// window after this host began to lead, what its predecessor began counts as
// much as could have been.
func (d *Driver) storeLoads(p *pool, running int, now time.Time) int {
	if now.Sub(d.since) < d.cfg.LoadWindow {
		return 0
	}
	kept := d.begun[p.name][:0]
	for _, at := range d.begun[p.name] {
		if now.Sub(at) < d.cfg.LoadWindow {
			kept = append(kept, at)
		}
	}
	d.begun[p.name] = kept
	paced := int(p.spec.GetLoadsPerSecond()*d.cfg.LoadWindow.Seconds()) - len(kept)
	return max(min(paced, d.storeOf(p.name).atOnce()-running), 0)
}
