// Package entry is the part of a host that callers, operators and backend
// servers connect to. It has no durable state.
package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/trace"

	"fennelyard/internal/admission"
	"fennelyard/internal/backend"
	"fennelyard/internal/bound"
	"fennelyard/internal/claim"
	"fennelyard/internal/control"
	"fennelyard/internal/drain"
	"fennelyard/internal/gossip"
	"fennelyard/internal/ledger"
	"fennelyard/internal/listener"
	"fennelyard/internal/membership"
	"fennelyard/internal/memory"
	"fennelyard/internal/metrics"
	"fennelyard/internal/path"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
	"fennelyard/internal/routing"
	"fennelyard/internal/schema"
	"fennelyard/internal/tunnel"
)

const (
	idleTimeout = 60 * time.Second
	// commandsDivisor is the inverse of the part of the memory for bodies that those of operators and backend servers may
	// take in addition, and minCommandsBytes its least size: one command of maxCommandBytes can be read.
	commandsDivisor  = 4
	minCommandsBytes = 2 * maxCommandBytes
	// drainMargin is added to the time for which callers cache directory
	// responses.
	drainMargin = time.Second
	// quorumWait is how long a new entry waits for a quorum before it serves at
	// the highest revision that it has received from a control host.
	quorumWait            = 10 * time.Second
	readinessPollInterval = 200 * time.Millisecond
	sweepInterval         = time.Minute
)

// Config configures an Entry. All fields are required unless noted otherwise.
type Config struct {
	Settings    *schema.Settings
	Self        *schema.HostSettings
	Incarnation uint64
	Replica     *ledger.Replica
	Control     *control.Client
	Membership  *membership.Service
	Random      func(n int) int
	RandomID    func() uint64
	Log         logr.Logger
	Tracer      trace.Tracer
	Metrics     *metrics.Set
	// The listeners are owned by the entry.
	CallerListener   *listener.Listener
	OperatorListener *listener.Listener
	BackendListener  *listener.Listener
	// Dial connects to backend servers and to other entries that carry connections to them; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Entry serves callers, operators and backend servers of one host.
type Entry struct {
	cfg       Config
	admission *admission.Controller
	table     *routing.Table
	budget    *routing.RetryBudget
	sender    *routing.Sender
	// paths connects to the backend servers, and tunnels carries connections to them for other entries.
	// stateCooldown reports a cooldown to the entry that carried the response.
	paths         *path.Dialer
	tunnels       *tunnel.Server
	stateCooldown func(host, server string, wait time.Duration)
	claims        *claim.Client
	backends      *backend.Registry
	// guard holds back requests that end the servers that run them. suspectsDue
	// has a token while the guard has suspects that are not recorded yet.
	guard       *quarantine.Guard
	suspectsDue chan struct{}
	// gossip exchanges suspects with other entries.
	gossip       *gossip.Gossip
	gossipClient *gossip.Client
	forecasts    *forecasts
	// memory is what bodies of requests and responses may take, and largeEvents what events of streams may
	// that are larger than bound.SmallEventBytes.
	memory      *memory.Budget
	largeEvents *memory.Places
	// commands is what bodies of operators and backend servers may take, apart from those of callers.
	commands    *memory.Budget
	httpServers []*http.Server
	// capacityDue has a token while the capacity of queues has changed with the cooldown of a server.
	capacityDue chan struct{}
	// reportDue has a token while a report to the leader is due immediately.
	reportDue chan struct{}
	stop      chan struct{}
	done      chan struct{}
	once      sync.Once
	wg        sync.WaitGroup
	ready     atomic.Int32
	stopping  atomic.Bool
	inFlight  atomic.Int64
	// claimedRuns counts the claimed requests in progress, which go on without their callers.
	claimedRuns atomic.Int64
	// callerServer serves callers, on connections.
	callerServer *http.Server
	connections  *drain.Connections
	// durations predicts how long requests take.
	durations *drain.Durations
	// drainPlan is nil until the entry drains; draining is canceled then, and aborted when every request must
	// get its final response at once.
	drainPlan         atomic.Pointer[drain.Plan]
	draining, aborted context.Context
	startDraining     context.CancelFunc
	abort             context.CancelFunc
}

// Readiness states whether an entry serves requests, and whether its configuration is
// confirmed by a quorum.
type Readiness int32

//go:generate go tool stringer -type=Readiness -linecomment

// The values of Readiness.
const (
	ReadinessNone        Readiness = iota // not-ready
	ReadinessUnconfirmed                  // unconfirmed
	ReadinessConfirmed                    // ready
)

// New starts an entry. Its listeners accept connections immediately; requests are
// refused until the entry's configuration is known to be current, or until no quorum
// was reachable for quorumWait.
func New(cfg Config) *Entry {
	e := &Entry{
		cfg: cfg, table: routing.NewTable(routing.PolicyWeighted, cfg.Random, func() int { return len(cfg.Settings.GetHosts()) }),
		budget: routing.NewRetryBudget(), backends: backend.NewRegistry(),
		forecasts: newForecasts(), reportDue: make(chan struct{}, 1), suspectsDue: make(chan struct{}, 1), capacityDue: make(chan struct{}, 1),
		stop: make(chan struct{}), done: make(chan struct{}), connections: drain.NewConnections(), durations: drain.NewDurations(),
	}
	e.draining, e.startDraining = context.WithCancel(context.Background())
	e.aborted, e.abort = context.WithCancel(context.Background())
	e.memory = memory.NewBudget(memory.Config{Bytes: int64(cfg.Settings.GetEntry().GetBufferMb() * (1 << 20))})
	e.commands = memory.NewBudget(memory.Config{Bytes: max(e.memory.Limit()/commandsDivisor, minCommandsBytes)})
	e.largeEvents = memory.NewPlaces(memory.PlacesConfig{Bytes: e.memory.Limit() / memory.LargeEventsDivisor, Each: bound.EventBytes})
	e.startPaths()
	e.sender = routing.NewSender(routing.SenderConfig{Dial: e.paths.Dial})
	e.admission = admission.NewController(admission.Config{
		QueueLimit: int(cfg.Settings.GetEntry().GetQueueLimit()), OnGrant: cfg.Metrics.QueueWait,
	})
	e.claims = claim.NewClient(claim.Config{
		Entry: cfg.Self.GetName(), Incarnation: cfg.Incarnation, Propose: cfg.Control.Propose,
		NewAttemptID: cfg.RandomID, Log: cfg.Log,
	})
	e.guard = quarantine.NewGuard(quarantine.GuardConfig{
		Entry: cfg.Self.GetName(), Probe: relay.NewSender(relay.Config{Dial: e.paths.Dial}).Probe, OnChange: e.requestRecording, Log: cfg.Log,
		OnRecordChanged: func(s quarantine.Source) { cfg.Metrics.SuspectChanged(s.String()) },
		MayProbe:        func(server string) bool { return e.table.Cooldown(time.Now(), server) == 0 },
	})
	e.startGossip()
	e.registerGauges()
	e.callerServer = e.serve(cfg.CallerListener, listener.ServerConfig{
		Handler: e.callerRoutes(), OnState: e.connections.Track, HasDeadlines: true, HeadTimeout: listener.ListedHeadTimeout, IdleTimeout: idleTimeout,
	})
	e.serve(cfg.OperatorListener, listener.ServerConfig{Handler: e.operatorRoutes(), HeadTimeout: listener.ListedHeadTimeout, IdleTimeout: idleTimeout})
	e.serve(cfg.BackendListener, listener.ServerConfig{Handler: e.backendHandler(), HeadTimeout: listener.ListedHeadTimeout, IdleTimeout: idleTimeout})
	e.wg.Add(4)
	go func() {
		defer e.wg.Done()
		e.awaitReady()
	}()
	go func() {
		defer e.wg.Done()
		e.reportLoop()
	}()
	go func() {
		defer e.wg.Done()
		e.recordSuspects()
	}()
	go func() {
		defer e.wg.Done()
		e.watchConfiguration()
	}()
	go func() {
		defer close(e.done)
		<-e.stop
		e.wg.Wait()
	}()
	return e
}

func (e *Entry) registerGauges() {
	e.cfg.Metrics.Gauge("in_flight_requests", "Requests of callers in flight.", func() float64 { return float64(e.InFlight()) })
	e.cfg.Metrics.Gauge("requests_at_servers", "Requests of this entry that backend servers have.",
		func() float64 { return float64(e.table.TotalOutstanding()) })
	e.cfg.Metrics.Gauge("configuration_revision", "Revision that this entry has in force.",
		func() float64 { return float64(e.cfg.Replica.Revision()) })
	e.cfg.Metrics.Gauge("ejected_servers", "Backend servers that are left out for failures.",
		func() float64 { return float64(e.table.Ejected(time.Now())) })
	e.cfg.Metrics.Gauge("requests_held_back", "Requests that this entry holds back, as they end their servers.",
		func() float64 { return float64(e.guard.Suspects().HeldBackCount()) })
	e.cfg.Metrics.Gauge("path_to_servers_lost", "1 while this entry has lost its own network path to the backend servers.", func() float64 {
		if e.PathLost() {
			return 1
		}
		return 0
	})
	e.cfg.Metrics.Gauge("servers_reached_by_other_entries", "Backend servers that this entry reaches only through other entries.",
		func() float64 { return float64(e.paths.State().LostServers) })
	e.cfg.Metrics.Gauge("tunnels_open", "Connections to backend servers that this entry carries for other entries.",
		func() float64 { return float64(e.tunnels.Active()) })
	e.memory.RegisterGauges(e.cfg.Metrics.Gauge)
	e.cfg.Metrics.Gauge("heard_servers", "Backend servers that announce themselves to this entry.",
		func() float64 { return float64(e.backends.Len()) })
}

func (e *Entry) serve(l *listener.Listener, cfg listener.ServerConfig) *http.Server {
	s := l.NewServer(cfg)
	l.RegisterGauges(e.cfg.Metrics.Gauge)
	e.httpServers = append(e.httpServers, s)
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		l.Serve(s)
	}()
	return s
}

func newRoutes() *echo.Echo {
	r := echo.New()
	r.HideBanner = true
	r.HidePort = true
	return r
}

// awaitReady waits until the entry has applied the revision that a quorum had
// when the entry started. A restarted entry that served earlier could lag by
// hundreds of changes and serve targets that an operator has removed.
func (e *Entry) awaitReady() {
	start := time.Now()
	var quorumRevision uint64
	for quorumRevision == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		revision, err := e.cfg.Control.Read(ctx)
		cancel()
		if err == nil {
			quorumRevision = revision
			break
		}
		if time.Since(start) > quorumWait && e.cfg.Replica.Revision() > 0 && e.ready.Load() == int32(ReadinessNone) {
			e.cfg.Log.Info("serving without a quorum", "revision", e.cfg.Replica.Revision())
			e.ready.Store(int32(ReadinessUnconfirmed))
		}
		if !e.sleep(readinessPollInterval) {
			return
		}
	}
	for e.cfg.Replica.Revision() < quorumRevision {
		if !e.sleep(readinessPollInterval / 10) {
			return
		}
	}
	e.ready.Store(int32(ReadinessConfirmed))
	e.cfg.Log.Info("entry ready", "revision", e.cfg.Replica.Revision())
}

// sleep waits for d, and returns false if the entry stops before that.
func (e *Entry) sleep(d time.Duration) bool {
	select {
	case <-e.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// Readiness returns whether the entry serves requests, and whether a quorum
// confirmed its configuration.
func (e *Entry) Readiness() Readiness { return Readiness(e.ready.Load()) }

// InFlight returns the number of callers' requests in flight.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// Done returns a channel that is closed when the entry has stopped.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Drain stops the entry without cutting off a request that can end before the context does. It removes the entry from the
// directory, continues to accept connections while callers may have the old directory cached, serves the requests that
// it can finish and refuses all others at once.
func (e *Entry) Drain(ctx context.Context) {
	plan := e.newDrainPlan(ctx)
	e.drainPlan.Store(plan)
	e.startDraining()
	e.stopping.Store(true)
	e.cfg.Membership.AnnounceStopping()
	e.cfg.Log.Info("draining", "in-flight", e.InFlight(), "connections", e.connections.Pending(listener.ListedHeadTimeout), "tunnels", e.tunnels.Active(),
		"accepting-ms", time.Until(plan.AcceptUntil()).Milliseconds(), "abort-ms", time.Until(plan.AbortAt()).Milliseconds())
	// From now on each response closes its connection.
	e.callerServer.SetKeepAlivesEnabled(false)
	plan.Run(ctx, drain.Steps{
		StopAccepting: func() {
			if err := e.cfg.CallerListener.Close(); err != nil {
				e.cfg.Log.Error(err, "port not closed")
			}
		},
		Abort: func() {
			e.abort()
			e.tunnels.Reset()
		},
		Pending: e.pending,
	})
	e.cfg.Log.Info("drained", "in-flight", e.InFlight(), "connections", e.connections.Pending(listener.ListedHeadTimeout), "tunnels", e.tunnels.Active())
	// Commands of operators and messages of hosts that are on their way get their responses.
	ctx, cancel := context.WithDeadline(ctx, plan.CloseAt())
	defer cancel()
	e.close(ctx)
}

// newDrainPlan returns the plan of a stop until the context ends.
func (e *Entry) newDrainPlan(ctx context.Context) *drain.Plan {
	cfg := drain.PlanConfig{Start: time.Now(), Limit: e.cfg.Settings.GetEntry().GetDrainLimit().AsDuration()}
	if deadline, ok := ctx.Deadline(); ok {
		cfg.Limit = time.Until(deadline)
	}
	cacheTime := e.cfg.Settings.GetEntry().GetDirectoryKeep().AsDuration() + drainMargin
	cfg.Accept = min(cacheTime, time.Duration(float64(cfg.Limit)*drain.AcceptFraction))
	return drain.NewPlan(cfg)
}

// pending returns the number of requests in progress, connections on which one may still come, and tunnels.
func (e *Entry) pending() int {
	return e.InFlight() + int(e.claimedRuns.Load()) + e.connections.Pending(listener.ListedHeadTimeout) + e.tunnels.Active()
}

// Close stops the entry immediately; requests in flight are interrupted.
func (e *Entry) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	e.close(ctx)
}

func (e *Entry) close(ctx context.Context) {
	e.once.Do(func() {
		e.abort()
		e.startDraining()
		for _, s := range e.httpServers {
			if s.Shutdown(ctx) != nil {
				e.connections.Reset()
				_ = s.Close()
			}
		}
		close(e.stop)
		e.gossip.Close()
		e.gossipClient.Close()
		e.guard.Close()
		e.sender.Close()
		e.closePaths(ctx)
	})
	<-e.done
}
