// Package entry is the part of a host that callers, operators and backend
// servers connect to. It holds no durable state.
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
	"fennelyard/internal/claim"
	"fennelyard/internal/control"
	"fennelyard/internal/ledger"
	"fennelyard/internal/membership"
	"fennelyard/internal/metrics"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
	"fennelyard/internal/routing"
	"fennelyard/internal/schema"
)

const (
	// Slow senders are cut off, or a few of them would hold all connections.
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
	// drainMargin is added to the keep time of directory answers.
	drainMargin = time.Second
	// unconfirmedAfter is how long a new entry waits for a quorum before it
	// serves at the highest revision that its reachable peers hold.
	unconfirmedAfter = 10 * time.Second
	readyRetry       = 200 * time.Millisecond
	sweepEvery       = time.Minute
)

// Config configures an Entry. All fields are required.
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
	CallerListener   net.Listener
	OperatorListener net.Listener
	BackendListener  net.Listener
}

// Entry serves callers, operators and backend servers of one host.
type Entry struct {
	cfg    Config
	gate   *admission.Controller
	table  *routing.Table
	budget *routing.RetryBudget
	sender *routing.Sender
	keeper *claim.Client
	heard  *backend.Registry
	// guard holds requests back that end the servers that run them, and suspects holds a
	// token while it knows what is to be recorded.
	guard    *quarantine.Guard
	suspects chan struct{}
	// forecasts holds the leader's word by target.
	forecasts *forecasts
	servers   []*http.Server
	kick      chan struct{}
	stop      chan struct{}
	done      chan struct{}
	once      sync.Once
	wg        sync.WaitGroup
	ready     atomic.Int32
	stopping  atomic.Bool
	inFlight  atomic.Int64
}

// Readiness tells whether an entry may be sent to.
type Readiness int32

//go:generate go tool stringer -type=Readiness -linecomment

// The steps of readiness.
const (
	ReadinessNone        Readiness = iota // not-ready
	ReadinessUnconfirmed                  // unconfirmed
	ReadinessConfirmed                    // ready
)

// New starts an entry: its listeners answer at once, requests are refused until
// the entry knows that its configuration is not behind.
func New(cfg Config) *Entry {
	e := &Entry{
		cfg: cfg, table: routing.NewTable(routing.PolicyWeighted, cfg.Random),
		budget: routing.NewRetryBudget(), sender: routing.NewSender(), heard: backend.NewRegistry(),
		forecasts: newForecasts(), kick: make(chan struct{}, 1), suspects: make(chan struct{}, 1),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	e.gate = admission.NewController(admission.Config{
		QueueLimit: int(cfg.Settings.GetEntry().GetQueueLimit()), OnGrant: cfg.Metrics.Judged,
	})
	e.keeper = claim.NewClient(claim.Config{
		Entry: cfg.Self.GetName(), Incarnation: cfg.Incarnation, Propose: cfg.Control.Propose,
		NewAttemptID: cfg.RandomID, Log: cfg.Log,
	})
	e.guard = quarantine.NewGuard(quarantine.GuardConfig{
		Entry: cfg.Self.GetName(), Probe: relay.NewSender(relay.Config{}).Probe, OnChange: e.recordSoon, Log: cfg.Log,
	})
	e.gauges()
	e.serve(cfg.CallerListener, e.callerRoutes())
	e.serve(cfg.OperatorListener, e.operatorRoutes())
	e.serve(cfg.BackendListener, e.backendRoutes())
	e.wg.Add(4)
	go func() {
		defer e.wg.Done()
		e.awaitReady()
	}()
	go func() {
		defer e.wg.Done()
		e.report()
	}()
	go func() {
		defer e.wg.Done()
		e.recordSuspects()
	}()
	go func() {
		defer e.wg.Done()
		e.watch()
	}()
	go func() {
		defer close(e.done)
		<-e.stop
		e.wg.Wait()
	}()
	return e
}

func (e *Entry) gauges() {
	e.cfg.Metrics.Gauge("in_flight_requests", "Requests of callers in flight.", func() float64 { return float64(e.InFlight()) })
	e.cfg.Metrics.Gauge("configuration_revision", "Revision that this entry has in force.",
		func() float64 { return float64(e.cfg.Replica.Revision()) })
	e.cfg.Metrics.Gauge("ejected_servers", "Backend servers that are left out for failures.",
		func() float64 { return float64(e.table.Ejected(time.Now())) })
	e.cfg.Metrics.Gauge("requests_held_back", "Requests that this entry holds back, as they end their servers.",
		func() float64 { return float64(e.guard.Suspects().HeldBackCount()) })
	e.cfg.Metrics.Gauge("heard_servers", "Backend servers that announce themselves to this entry.",
		func() float64 { return float64(e.heard.Len()) })
}

func (e *Entry) serve(l net.Listener, routes *echo.Echo) {
	s := &http.Server{
		Handler: routes, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	e.servers = append(e.servers, s)
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
			e.cfg.Log.Error(err, "listener ended", "address", l.Addr().String())
		}
	}()
}

func newRoutes() *echo.Echo {
	r := echo.New()
	r.HideBanner = true
	r.HidePort = true
	return r
}

// awaitReady waits until the entry has in force what a quorum had when it
// started. A restarted entry that served before could be hundreds of changes
// behind and serve what an operator has withdrawn.
func (e *Entry) awaitReady() {
	began := time.Now()
	var need uint64
	for need == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		revision, err := e.cfg.Control.Read(ctx)
		cancel()
		if err == nil {
			need = revision
			break
		}
		if time.Since(began) > unconfirmedAfter && e.cfg.Replica.Revision() > 0 && e.ready.Load() == int32(ReadinessNone) {
			e.cfg.Log.Info("serving without a quorum", "revision", e.cfg.Replica.Revision())
			e.ready.Store(int32(ReadinessUnconfirmed))
		}
		if !e.pause(readyRetry) {
			return
		}
	}
	for e.cfg.Replica.Revision() < need {
		if !e.pause(readyRetry / 10) {
			return
		}
	}
	e.ready.Store(int32(ReadinessConfirmed))
	e.cfg.Log.Info("entry ready", "revision", e.cfg.Replica.Revision())
}

// pause returns false when the entry stops meanwhile.
func (e *Entry) pause(d time.Duration) bool {
	select {
	case <-e.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// Readiness tells whether the entry serves, and on what ground.
func (e *Entry) Readiness() Readiness { return Readiness(e.ready.Load()) }

// InFlight returns the number of callers' requests in flight.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// Done is closed when the entry has stopped.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Drain takes the entry out of the directory, goes on serving for as long as
// callers may keep the old answer, then closes the listeners and waits for what
// is in flight until the context ends.
func (e *Entry) Drain(ctx context.Context) {
	e.stopping.Store(true)
	e.cfg.Membership.AnnounceStopping()
	keep := e.cfg.Settings.GetEntry().GetDirectoryKeep().AsDuration() + drainMargin
	e.cfg.Log.Info("draining", "keep", keep.String(), "in-flight", e.InFlight())
	select {
	case <-ctx.Done():
	case <-time.After(keep):
	}
	e.close(ctx)
}

// Close stops at once; requests in flight are cut.
func (e *Entry) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	e.close(ctx)
}

func (e *Entry) close(ctx context.Context) {
	e.once.Do(func() {
		for _, s := range e.servers {
			if s.Shutdown(ctx) != nil {
				_ = s.Close()
			}
		}
		close(e.stop)
		e.guard.Close()
		e.sender.Close()
	})
	<-e.done
}
