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

	"fennelyard/internal/ledger"
	"fennelyard/internal/peer"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/quota"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

// Config configures a Gateway. All fields are required unless they say
// otherwise.
type Config struct {
	Self *schema.RosterEntry
	// Seeds returns the peer addresses of a few control hosts.
	Seeds func() []string
	// Dialer is not closed by the gateway.
	Dialer      *peer.Dialer
	Replica     *ledger.Replica
	Sender      *relay.Sender
	Codec       Codec
	RetryBudget RetryBudgetConfig
	// KeyRevocation is how long after its removal an API key may still be accepted; 0: not
	// bounded.
	KeyRevocation time.Duration
	// QuotaWindow is the window over which teams' quotas are counted.
	QuotaWindow time.Duration
	// Log takes changes of what is believed, Requests one line for each request.
	Log        logr.Logger
	RequestLog logr.Logger
	// OnRequestDone, where set, is told of each request's end.
	OnRequestDone func(RequestStats)
}

// RequestStats is how a request ended, for metrics.
type RequestStats struct {
	// RouteKind is the sort of route: stream or whole, with what may be repeated.
	RouteKind string
	// Team is the caller's team, empty for none.
	Team            string
	Outcome         Outcome
	Status          int
	Duration        time.Duration
	TimeToFirstByte time.Duration
	Attempts        int
}

// Gateway serves callers' requests. All methods are safe from any goroutine.
type Gateway struct {
	cfg    Config
	fleet  *fleet
	asked  *asked
	attend *attendant
	// guard holds requests back that end the servers that run them.
	guard *quarantine.Guard
	// quotas are the teams' quotas, as far as this entry uses them.
	quotas *quota.Meter
	table  atomic.Pointer[table]
	// began is when the gateway started, and configured is closed at its first
	// configuration.
	began      time.Time
	configured chan struct{}
	entries    atomic.Pointer[[]*schema.RosterEntry]
	stopping   atomic.Bool
	// sendBy is until when a stopping gateway sends requests on; nil: it does not
	// stop.
	sendBy   atomic.Pointer[time.Time]
	inFlight atomic.Int64
	// ended is canceled when every request must have its final answer at once.
	ended context.Context
	end   context.CancelFunc
	stop  chan struct{}
	done  chan struct{}
	once  sync.Once

	mu sync.Mutex
	// budgets and paces are kept by pool; guarded by mu.
	budgets map[string]*budget
	paces   map[string]*pace
}

// New starts a gateway. It refuses requests until it knows a configuration.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg: cfg, fleet: newFleet(), asked: newAsked(), began: time.Now(), configured: make(chan struct{}),
		stop: make(chan struct{}), done: make(chan struct{}),
		budgets: map[string]*budget{}, paces: map[string]*pace{},
	}
	g.attend = newAttendant(g)
	g.quotas = quota.NewMeter(quota.MeterConfig{Window: cfg.QuotaWindow, Random: rand.Float64}, g.began)
	g.guard = quarantine.NewGuard(quarantine.GuardConfig{
		Entry: cfg.Self.GetCallerAddress(), Probe: cfg.Sender.Probe, OnChange: g.speakSoon, Log: cfg.Log,
	})
	g.ended, g.end = context.WithCancel(context.Background())
	go func() {
		defer close(g.done)
		g.attend.run()
	}()
	return g
}

// Ready reports whether requests can be served: a configuration is known and
// the gateway does not prepare to stop.
func (g *Gateway) Ready() bool { return g.table.Load() != nil && !g.stopping.Load() }

// StartDraining tells the leader, and with it all entries, to send callers here no
// longer. Requests are served on, but none is sent to a server after sendBy: what
// still waits then is refused as not run, and another entry can take it.
func (g *Gateway) StartDraining(sendBy time.Time) {
	g.sendBy.Store(&sendBy)
	g.stopping.Store(true)
	g.speakSoon()
}

// speakSoon has the next word to the leader leave at once.
func (g *Gateway) speakSoon() {
	select {
	case g.asked.urgent <- struct{}{}:
	default:
	}
}

// InFlight returns the number of requests at hand.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// AbortRequests gives every request its final answer at once, whatever its server does.
// Answers that are under way break off.
func (g *Gateway) AbortRequests() { g.end() }

// Close ends the stream to the leader.
func (g *Gateway) Close() {
	g.end()
	g.once.Do(func() { close(g.stop) })
	g.guard.Close()
	<-g.done
}

// Done is closed when the gateway has stopped.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// State is what a gateway believes, for metrics.
type State struct {
	Version int64
	// Servers are known, and Ready of them take new work.
	Servers int
	Ready   int
	Entries int
	Waiting int
	// HeldBack counts the requests that are held back, as they end their servers.
	HeldBack int
	// LeaderAge is how long ago the leader spoke; negative: never.
	LeaderAge time.Duration
	// ControlHost is the control host that tells this entry what the leader says, "": none, and
	// Streams counts the streams to such hosts.
	ControlHost   string
	Subscriptions uint64
}

// State returns what the gateway believes.
func (g *Gateway) State() State {
	s := State{
		Servers: g.fleet.count(), Ready: g.fleet.readyCount(), Entries: g.entryCount(), Waiting: g.asked.waitingCount(), HeldBack: g.guard.Suspects().HeldBackCount(), LeaderAge: g.attend.age(),
		ControlHost: g.attend.attended(), Subscriptions: g.attend.streams.Load(),
	}
	if t := g.table.Load(); t != nil {
		s.Version = int64(t.version)
	}
	return s
}

// configure takes changes of the configuration in.
func (g *Gateway) configure(c *schema.Changes) {
	before := g.cfg.Replica.Revision()
	g.cfg.Replica.Apply(c)
	if len(c.GetRecords()) == 0 && !c.GetWhole() {
		return
	}
	var t *table
	g.cfg.Replica.View(func(r *ledger.Records) { t = newTable(r) })
	old := g.table.Load()
	if t == nil || old != nil && t.version < old.version {
		// A configuration never goes back within the life of an entry.
		return
	}
	g.fleet.gaps(t)
	g.table.Store(t)
	if old == nil {
		close(g.configured)
	}
	if old == nil || t.version != old.version {
		g.cfg.Log.Info("configuration in force", "version", t.version, "routes", len(g.routes(t)), "pools", len(t.pools),
			"revision", c.GetRevision(), "revision-before", before)
	}
}

func (g *Gateway) routes(t *table) []*schema.Route {
	var out []*schema.Route
	for _, r := range t.byHost {
		out = append(out, r...)
	}
	return out
}

func (g *Gateway) logServers(news *schema.LeaderNews) {
	for _, s := range news.GetServers() {
		held := 0
		for _, m := range s.GetModels() {
			held += 1 + len(m.GetAdapters())
		}
		g.cfg.Log.V(1).Info("server believed", "server", s.GetId(), "state", s.GetState().String(), "held", held,
			"sequence", news.GetSequence())
	}
}

func (g *Gateway) setEntries(list []*schema.RosterEntry) {
	g.entries.Store(&list)
	g.fleet.among(len(list))
	g.cfg.Log.Info("entries believed", "count", len(list))
}

func (g *Gateway) entryCount() int {
	if list := g.entries.Load(); list != nil {
		return len(*list)
	}
	return 0
}

// Entries returns the caller addresses of the entries that callers may be sent
// to, those in a data centre first. While the leader has not said anything yet
// it is this entry alone.
func (g *Gateway) Entries(dataCentre string) []string {
	var near, far []string
	if list := g.entries.Load(); list != nil {
		for _, e := range *list {
			if e.GetDataCentre() == dataCentre {
				near = append(near, e.GetCallerAddress())
			} else {
				far = append(far, e.GetCallerAddress())
			}
		}
	}
	all := slices.Concat(near, far)
	if len(all) == 0 && g.Ready() {
		all = append(all, g.cfg.Self.GetCallerAddress())
	}
	return all
}

func (g *Gateway) budget(pool string) *budget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[pool]
	if b == nil {
		// It grows from the start on, not from the first request, which could not be sent
		// again.
		b = newBudget(g.cfg.RetryBudget, g.began)
		g.budgets[pool] = b
	}
	return b
}

func (g *Gateway) pace(pool string) *pace {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.paces[pool]
	if p == nil {
		p = &pace{}
		g.paces[pool] = p
	}
	return p
}

// ServeHTTP implements http.Handler for callers' requests.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{g: g, w: w, r: r, began: time.Now(), random: rand.IntN}
	x.call = g.cfg.Codec.ParseRequest(r)
	defer x.finish()
	if x.open() {
		x.serve()
	}
}
