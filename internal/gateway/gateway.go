package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"fennelyard/internal/bound"
	"fennelyard/internal/drain"
	"fennelyard/internal/ledger"
	"fennelyard/internal/memory"
	"fennelyard/internal/origin"
	"fennelyard/internal/peer"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/quota"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

// Config configures a Gateway. All fields are required unless stated otherwise.
type Config struct {
	Self *schema.RosterEntry
	// Seeds returns the peer addresses of some control hosts.
	Seeds func() []string
	// Dialer is owned by the caller: Close does not close it.
	Dialer      *peer.Dialer
	Replica     *ledger.Replica
	Sender      *relay.Sender
	Codec       Codec
	RetryBudget RetryBudgetConfig
	// Memory is what bodies and large events may take; nil: memory.DefaultBytes.
	Memory *memory.Budget
	// OnBoundMet, if set, is called for each response of a server that meets a bound.
	OnBoundMet func(bound.Kind)
	// OnConnectionEnd, if set, is called for each response without a length or chunks whose connection was
	// closed, with what is known of its server then.
	OnConnectionEnd func(relay.Presence)
	// PathLost reports whether this entry reaches no backend server over its own network path; nil: it
	// always does.
	PathLost func() bool
	// StateCooldown reports to another entry that a server has stated a cooldown in a response that
	// passed through it. It may be nil if requests never pass through other entries.
	StateCooldown func(host, server string, wait time.Duration)
	// Isolated reports whether this entry reaches no other one, as far as it knows; nil: it always does.
	Isolated func() bool
	// Origins records and finds at other entries where streams began.
	Origins OriginExchange
	// KeyRevocation bounds how long a removed API key may still be accepted; 0 is unbounded.
	KeyRevocation time.Duration
	// QuotaWindow is the window over which the quotas of teams are counted.
	QuotaWindow time.Duration
	// Log receives changes of the known cluster state, RequestLog one line for each request.
	Log        logr.Logger
	RequestLog logr.Logger
	// OnSuspectChanged, if set, is called for each change of a record of a suspect, with its source.
	OnSuspectChanged func(quarantine.Source)
	// OnRequestDone, if set, is called at the end of each request.
	OnRequestDone func(RequestStats)
}

// RequestStats describes a finished request, for metrics.
type RequestStats struct {
	// RouteKind is the kind of the route: streamed or not, and what may be retried.
	RouteKind string
	// Team is the name of the caller's team, empty for none.
	Team            string
	Outcome         Outcome
	Status          int
	Duration        time.Duration
	TimeToFirstByte time.Duration
	Attempts        int
}

// Gateway serves the requests of callers. It is safe for concurrent use.
type Gateway struct {
	cfg        Config
	fleet      *fleet
	demand     *demandTracker
	subscriber *subscriber
	// guard holds back requests that end the servers that run them.
	guard *quarantine.Guard
	// origins are where streams began, and background the goroutines that Close waits for.
	origins    *origin.Table
	background sync.WaitGroup
	// openStreams holds the origins of the resumable streams in progress, by origin.Key, and begunStreams of
	// those whose first event has been forwarded.
	openStreams, begunStreams sync.Map
	// originReports are the origins that are to be reported to the control host.
	originReports originReports
	// largeEvents is the memory for events over bound.SmallEventBytes.
	largeEvents *memory.Places
	// quotas tracks the usage of teams' quotas at this entry.
	quotas *quota.Meter
	table  atomic.Pointer[routeTable]
	// startTime is when the gateway started. configured is closed once the first configuration is
	// applied.
	startTime  time.Time
	configured chan struct{}
	entries    atomic.Pointer[[]*schema.RosterEntry]
	// recentEntries are the other entries of the last lists.
	recentEntries recentEntries
	// endChecks are checks of servers whose responses have ended with their connections.
	endChecks *endChecks
	// shares counts the entries that divide the limits that hold for all of them together.
	shares shareCounter
	// durations predicts how long the requests of a route take.
	durations *drain.Durations
	// drainPlan is nil until the gateway drains; draining is canceled then.
	drainPlan     atomic.Pointer[drain.Plan]
	draining      context.Context
	startDraining context.CancelFunc
	inFlight      atomic.Int64
	// aborted is canceled when every request must get its final response at once.
	aborted context.Context
	abort   context.CancelFunc
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once

	mu sync.Mutex
	// retryBudgets and latencies are keyed by pool; guarded by mu.
	retryBudgets map[string]*retryBudget
	latencies    map[string]*latency
}

// New starts a gateway. It refuses requests until it has a configuration.
func New(cfg Config) *Gateway {
	if cfg.PathLost == nil {
		cfg.PathLost = func() bool { return false }
	}
	if cfg.Memory == nil {
		cfg.Memory = memory.NewBudget(memory.Config{})
	}
	g := &Gateway{
		largeEvents: memory.NewPlaces(memory.PlacesConfig{Bytes: cfg.Memory.Limit() / memory.LargeEventsDivisor, Each: bound.EventBytes}),
		cfg:         cfg, fleet: newFleet(), demand: newDemandTracker(), startTime: time.Now(), configured: make(chan struct{}),
		stop: make(chan struct{}), done: make(chan struct{}),
		retryBudgets: map[string]*retryBudget{}, latencies: map[string]*latency{}, durations: drain.NewDurations(),
	}
	g.subscriber = newSubscriber(g)
	g.endChecks = newEndChecks(g.goUnlessClosed)
	g.origins = origin.NewTable(origin.MaxEntryRecords, time.Now)
	g.fleet.onSecondVersion = func(pool string) { g.goUnlessClosed(func() { g.replicateOpenStreams(pool) }) }
	g.fleet.self, g.fleet.sharingEntries = cfg.Self.GetHost(), g.sharingEntries
	g.fleet.connected, g.fleet.confirmedAt = g.connected, g.subscriber.confirmedAt
	g.quotas = quota.NewMeter(quota.MeterConfig{Window: cfg.QuotaWindow, Random: rand.Float64, Rank: g.rank, NoShares: cfg.KeyRevocation > 0, OnWaiting: g.reportNow}, g.startTime)
	g.guard = quarantine.NewGuard(quarantine.GuardConfig{
		Entry: cfg.Self.GetCallerAddress(), Entries: g.entryCount, Probe: cfg.Sender.Probe, OnChange: g.reportNow, OnRecordChanged: cfg.OnSuspectChanged, Log: cfg.Log,
		Isolated: func() bool { return cfg.Isolated != nil && cfg.Isolated() && !g.connected() },
		MayProbe: func(server string) bool { return g.fleet.cooldowns.Remaining(server, time.Now()) == 0 },
	})
	g.aborted, g.abort = context.WithCancel(context.Background())
	g.draining, g.startDraining = context.WithCancel(context.Background())
	g.background.Go(g.checkHealth)
	go func() {
		defer close(g.done)
		g.subscriber.run()
	}()
	return g
}

// Ready reports whether requests can be served: a configuration is known and the gateway is not
// draining.
func (g *Gateway) Ready() bool { return g.table.Load() != nil && !g.isDraining() }

func (g *Gateway) isDraining() bool { return g.drainPlan.Load() != nil }

// StartDraining reports to the leader, and through it to all entries, that callers must no
// longer be sent here. Requests that end in time by the plan are still served. All others that no
// server has are refused as not run, so that another entry can serve them.
func (g *Gateway) StartDraining(plan *drain.Plan) {
	g.drainPlan.Store(plan)
	g.startDraining()
	g.reportNow()
}

// reportNow makes the next report to the control host leave without delay.
func (g *Gateway) reportNow() {
	select {
	case g.demand.urgent <- struct{}{}:
	default:
	}
}

// ReportPath reports to the leader, and through it to all entries, whether this entry has lost its path
// to the backend servers.
func (g *Gateway) ReportPath() { g.reportNow() }

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// AbortRequests sends every request its final response at once, whatever the state of its
// server. Responses in progress are interrupted.
func (g *Gateway) AbortRequests() { g.abort() }

// Close aborts all requests and ends the subscription to the control host.
func (g *Gateway) Close() {
	// The lock orders the last goUnlessClosed before Wait.
	g.mu.Lock()
	g.abort()
	g.mu.Unlock()
	g.startDraining()
	g.once.Do(func() { close(g.stop) })
	g.guard.Close()
	<-g.done
	g.background.Wait()
}

// Done returns a channel that is closed when the gateway has stopped.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// State is a snapshot of the gateway's known state, for metrics.
type State struct {
	Version int64
	// Servers is the number of known servers, Ready the number of those that accept new work.
	Servers int
	Ready   int
	Entries int
	Waiting int
	// HeldBack is the number of requests that are held back because they end their servers.
	HeldBack int
	// LimitedServers is the number of servers with a request limit, and AwaitingPermit the number
	// of requests that wait for a permit to be sent to one.
	LimitedServers, AwaitingPermit int
	// CoolingServers is the number of servers that have asked this entry for a cooldown, and
	// DepartedServers of those that have stated that they leave.
	CoolingServers, DepartedServers int
	// RejectionLimits is the number of pools whose servers state a rejection limit.
	RejectionLimits int
	// HoldsLease is set while this entry may rely on the leader's view of the servers.
	HoldsLease bool
	// LeaderAge is the time since the leader was last known to lead; negative: never.
	LeaderAge time.Duration
	// ControlHost is the control host that this entry subscribes to, empty for none. Subscriptions
	// counts the subscriptions since the start.
	ControlHost   string
	Subscriptions uint64
}

// State returns a snapshot of the known state.
func (g *Gateway) State() State {
	s := State{
		Servers: g.fleet.count(), Ready: g.fleet.readyCount(), Entries: g.entryCount(), Waiting: g.demand.waitingCount(), HeldBack: g.guard.Suspects().HeldBackCount(), LeaderAge: g.subscriber.leaderAge(),
		ControlHost: g.subscriber.currentHost(), Subscriptions: g.subscriber.subscriptions.Load(),
	}
	s.LimitedServers, s.AwaitingPermit = g.fleet.limitCounts()
	s.CoolingServers, s.DepartedServers = g.fleet.cooldowns.Count(time.Now()), g.fleet.departedCount()
	s.HoldsLease = g.holdsLease()
	s.RejectionLimits = len(g.fleet.rejectionLimits.Messages(time.Now()))
	if t := g.table.Load(); t != nil {
		s.Version = int64(t.version)
	}
	return s
}

// configure applies changes of the configuration.
func (g *Gateway) configure(changes *schema.Changes) {
	previousRevision := g.cfg.Replica.Revision()
	g.cfg.Replica.Apply(changes)
	if len(changes.GetRecords()) == 0 && !changes.GetWhole() {
		return
	}
	var t *routeTable
	g.cfg.Replica.View(func(r *ledger.Records) { t = newRouteTable(r) })
	previous := g.table.Load()
	if t == nil || previous != nil && t.version < previous.version {
		// The configuration version never decreases during the lifetime of an entry.
		return
	}
	g.fleet.setGaps(t)
	g.fleet.setPools(t.pools)
	g.table.Store(t)
	if previous == nil {
		close(g.configured)
	}
	if previous == nil || t.version != previous.version {
		g.cfg.Log.Info("configuration in force", "version", t.version, "routes", len(g.allRoutes(t)), "pools", len(t.pools),
			"revision", changes.GetRevision(), "revision-before", previousRevision)
	}
}

func (g *Gateway) allRoutes(t *routeTable) []*schema.Route {
	var out []*schema.Route
	for _, r := range t.byHost {
		out = append(out, r...)
	}
	return out
}

func (g *Gateway) logServers(update *schema.LeaderNews) {
	for _, s := range update.GetServers() {
		loaded := 0
		for _, m := range s.GetModels() {
			loaded += 1 + len(m.GetAdapters())
		}
		g.cfg.Log.V(1).Info("server believed", "server", s.GetId(), "state", s.GetState().String(), "version", s.GetSoftware(), "held", loaded,
			"sequence", update.GetSequence())
	}
}

func (g *Gateway) setEntries(list []*schema.RosterEntry) {
	g.entries.Store(&list)
	g.recentEntries.set(list, g.cfg.Self.GetHost(), time.Now())
	g.shares.set(len(list), time.Now())
	g.fleet.setEntries(len(list))
	lost := 0
	for _, e := range list {
		if e.GetPathLost() {
			lost++
		}
	}
	g.cfg.Log.Info("entries believed", "count", len(list), "path-lost", lost)
}

// RecentEntries returns the addresses at which other entries take messages, also of those that have left
// the leader's list a short time ago.
func (g *Gateway) RecentEntries() []string { return g.recentEntries.all(time.Now()) }

func (g *Gateway) entryCount() int {
	if list := g.entries.Load(); list != nil {
		return len(*list)
	}
	return 0
}

// connected reports whether this entry receives the leader's updates.
func (g *Gateway) connected() bool {
	return g.subscriber.confirmationAge() < maxConfirmationAge
}

// sharingEntries returns the number of entries that divide the limits for all of them together.
func (g *Gateway) sharingEntries() int { return g.shares.count(time.Now()) }

// Entries returns the caller addresses of the entries that accept callers, those of the given
// data centre first. Before the first update of the leader it is this entry alone.
func (g *Gateway) Entries(dataCentre string) []string {
	var local, remote []string
	if list := g.entries.Load(); list != nil {
		for _, e := range *list {
			if g.isDraining() && e.GetHost() == g.cfg.Self.GetHost() {
				// The leader, which may be out of reach, does not know yet.
				continue
			}
			if e.GetDataCentre() == dataCentre {
				local = append(local, e.GetCallerAddress())
			} else {
				remote = append(remote, e.GetCallerAddress())
			}
		}
	}
	all := slices.Concat(local, remote)
	if len(all) == 0 && g.Ready() {
		all = append(all, g.cfg.Self.GetCallerAddress())
	}
	return all
}

func (g *Gateway) retryBudget(pool string) *retryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.retryBudgets[pool]
	if b == nil {
		// The budget refills from the start of the gateway rather than from the first request of the
		// pool, which otherwise could not be retried.
		b = newRetryBudget(g.cfg.RetryBudget, g.startTime)
		g.retryBudgets[pool] = b
	}
	return b
}

func (g *Gateway) latency(pool string) *latency {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.latencies[pool]
	if l == nil {
		l = &latency{}
		g.latencies[pool] = l
	}
	return l
}

// MaxHeadBytes returns how long the head of a request may be.
func (g *Gateway) MaxHeadBytes() int {
	if t := g.table.Load(); t != nil && t.limits.GetMaxHeaderBytes() > 0 {
		return int(t.limits.GetMaxHeaderBytes())
	}
	return defaultMaxHeadBytes
}

// MinWait returns how long callers may at least keep a connection idle, and take to send a head.
func (g *Gateway) MinWait() time.Duration {
	t := g.table.Load()
	if t == nil {
		return 0
	}
	return time.Duration(max(t.limits.GetHeaderTimeoutMs(), t.limits.GetIdleTimeoutMs())) * time.Millisecond
}

// RefuseBusy refuses a request, as all connections of callers have one or there is no memory for its head.
func (g *Gateway) RefuseBusy(w http.ResponseWriter, r *http.Request) {
	x := &exchange{g: g, w: w, r: r, startTime: time.Now(), bodyMemory: g.cfg.Memory.NewShare()}
	x.info = g.cfg.Codec.ParseRequest(r)
	defer x.finish()
	x.refuse(http.StatusServiceUnavailable, OutcomeNoConnection, defaultRetryAfter)
}

// ServeHTTP implements http.Handler for the requests of callers.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{g: g, w: w, r: r, startTime: time.Now(), random: rand.IntN, bodyMemory: g.cfg.Memory.NewShare()}
	x.info = g.cfg.Codec.ParseRequest(r)
	defer x.finish()
	if x.open() {
		x.serve()
	}
}
