package role

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"fennelyard/internal/gateway"
	"fennelyard/internal/ledger"
	"fennelyard/internal/metrics"
	"fennelyard/internal/peer"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

const (
	// acceptShare is the part of the stop limit in which a stopping entry goes on
	// taking connections: most callers have a new answer of the directory by then.
	// What is taken later could still run when the process must end, and would be
	// cut off; a caller that finds the port closed goes to another entry at once.
	acceptShare = 0.35
	// sendShare is the part of the stop limit until which a request that waits for
	// its model is sent on: most answers take less than the quarter that is left.
	sendShare = 0.7
	// endShare is the part of the stop limit at which whatever is in flight gets
	// its final answer, and closeShare the part at which the process ends: what is
	// not over by then would be killed a moment later.
	endShare   = 0.94
	closeShare = 0.97
	drainCheck = 50 * time.Millisecond
)

// EntryConfig configures an Entry. All fields are required unless they say
// otherwise.
type EntryConfig struct {
	Settings *Settings
	Codec    gateway.Codec
	// Ready and Directory make the handlers of questions whether the entry is
	// ready and which entries to use.
	Ready      func(*Entry) http.Handler
	Directory  func(*Entry) http.Handler
	Metrics    *metrics.Set
	Log        logr.Logger
	RequestLog logr.Logger
	// Network is how the entry reaches control hosts and is reached; the zero value:
	// over TCP.
	Network Network
}

// Entry takes callers' requests. All methods are safe from any goroutine.
type Entry struct {
	cfg     EntryConfig
	dialer  *peer.Dialer
	gateway *gateway.Gateway
	callers *http.Server
	// callerPort is the callers' listener.
	callerPort net.Listener
	servers    []*http.Server
	done       chan struct{}
	once       sync.Once
	wg         sync.WaitGroup
}

// NewEntry starts an entry. When it fails nothing is left running.
func NewEntry(cfg EntryConfig) (*Entry, error) {
	cfg.Network.fill()
	e := &Entry{cfg: cfg, dialer: peer.NewDialer(peer.DialerConfig{Dial: cfg.Network.Dial}), done: make(chan struct{})}
	s := cfg.Settings.Get()
	e.gateway = gateway.New(gateway.Config{
		Self: &schema.RosterEntry{
			Host: s.GetHost(), DataCentre: s.GetDataCentre(), CallerAddress: s.GetCallerAddress(),
		},
		Seeds: cfg.Settings.Seeds, Dialer: e.dialer, Replica: ledger.NewReplica(),
		Sender: relay.NewSender(relay.Config{
			OnDial: func(_ time.Duration, err error) { cfg.Metrics.Connected(err) }, Dial: cfg.Network.Dial,
		}),
		Codec: cfg.Codec, Log: cfg.Log.WithName("entry"), RequestLog: cfg.RequestLog,
		RetryBudget: gateway.RetryBudgetConfig{
			Ratio: s.GetRepeatRatio(), Window: s.GetRepeatWindow().AsDuration(), Burst: int(s.GetRepeatSlack()),
		},
		KeyRevocation: s.GetKeyRevocation().AsDuration(), QuotaWindow: s.GetQuotaWindow().AsDuration(),
		OnRequestDone: func(x gateway.RequestStats) {
			cfg.Metrics.Served(x.RouteKind, x.Outcome.String(), x.Status, x.Duration, x.TimeToFirstByte, x.Attempts)
			cfg.Metrics.TeamRequest(x.Team, x.Outcome.String())
		},
	})
	e.gauges()
	if err := e.listen(s); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Entry) gauges() {
	for _, x := range []struct {
		name, help string
		read       func(gateway.State) float64
	}{
		{"configuration_version", "Version of the configuration in force at this entry.", func(s gateway.State) float64 { return float64(s.Version) }},
		{"known_servers", "Backend servers that this entry knows.", func(s gateway.State) float64 { return float64(s.Servers) }},
		{"ready_servers", "Backend servers that take new work, as this entry knows.", func(s gateway.State) float64 { return float64(s.Ready) }},
		{"known_entries", "Entries that callers are told of.", func(s gateway.State) float64 { return float64(s.Entries) }},
		{"waiting_requests", "Requests that wait for a model.", func(s gateway.State) float64 { return float64(s.Waiting) }},
		{"requests_held_back", "Requests that this entry holds back, as they end their servers.", func(s gateway.State) float64 { return float64(s.HeldBack) }},
		{"control_host_streams", "Streams to control hosts since the start.", func(s gateway.State) float64 { return float64(s.Subscriptions) }},
		{"leader_age_seconds", "Time since the leader spoke; below 0: never.", func(s gateway.State) float64 { return s.LeaderAge.Seconds() }},
	} {
		e.cfg.Metrics.Gauge(x.name, x.help, func() float64 { return x.read(e.gateway.State()) })
	}
	e.cfg.Metrics.Gauge("requests_at_hand", "Requests of callers at hand.", func() float64 { return float64(e.gateway.InFlight()) })
}

func (e *Entry) listen(s *schema.JoinSettings) error {
	for _, x := range []struct {
		address string
		handler http.Handler
		callers bool
	}{
		{s.GetCallerAddress(), e.gateway, true},
		{s.GetReadyAddress(), e.cfg.Ready(e), false},
		{s.GetDirectoryAddress(), e.cfg.Directory(e), false},
	} {
		if x.address == "" {
			continue
		}
		l, err := e.cfg.Network.Listen("tcp", x.address)
		if err != nil {
			return errors.Newf("listen: %w", err)
		}
		server := newServer(x.handler)
		e.servers = append(e.servers, server)
		if x.callers {
			e.callers, e.callerPort = server, l
		}
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			serve(server, l, e.cfg.Log)
		}()
	}
	return nil
}

// Ready reports whether callers may be sent here.
func (e *Entry) Ready() bool { return e.gateway.Ready() }

// Addresses returns the entries that a caller in a data centre may use, and how
// long it may keep the answer.
func (e *Entry) Addresses(dataCentre string) ([]string, time.Duration) {
	return e.gateway.Entries(dataCentre), e.cfg.Settings.Get().GetDirectoryKeep().AsDuration()
}

// Failed never closes: an entry has nothing that fails on its own.
func (e *Entry) Failed() <-chan struct{} { return nil }

// Err returns nil.
func (e *Entry) Err() error { return nil }

// Drain stops the entry without cutting off a request. It leaves the directory
// and tells the platform that it is not ready, but takes what still comes for as
// long as callers may keep an old answer. Then it waits for what is in flight.
func (e *Entry) Drain(ctx context.Context) {
	limit := e.cfg.Settings.Get().GetStopLimit().AsDuration()
	began := time.Now()
	e.gateway.StartDraining(began.Add(portion(limit, sendShare)))
	e.cfg.Log.Info("draining", "in-flight", e.gateway.InFlight(), "limit-ms", limit.Milliseconds())
	// Each answer from now on asks its caller to connect anew elsewhere, and
	// idle connections are closed.
	e.callers.SetKeepAlivesEnabled(false)
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	for accepts := true; ctx.Err() == nil; {
		gone := time.Since(began)
		if accepts && gone > portion(limit, acceptShare) {
			accepts = false
			e.refuseCallers()
		}
		if gone > portion(limit, endShare) {
			e.gateway.AbortRequests()
		}
		if gone > portion(limit, closeShare) || !accepts && e.gateway.InFlight() == 0 {
			break
		}
		<-ticker.C
	}
	e.cfg.Log.Info("drained", "in-flight", e.gateway.InFlight(), "took-ms", time.Since(began).Milliseconds())
	e.Close()
}

// refuseCallers closes the callers' port; what is in flight goes on.
func (e *Entry) refuseCallers() {
	if err := e.callerPort.Close(); err != nil {
		e.cfg.Log.Error(err, "port not closed")
	}
	e.cfg.Log.Info("port closed", "in-flight", e.gateway.InFlight())
}

func portion(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }

// Close stops the entry at once.
func (e *Entry) Close() {
	e.once.Do(func() {
		defer close(e.done)
		for _, s := range e.servers {
			_ = s.Close()
		}
		e.wg.Wait()
		e.gateway.Close()
		e.dialer.Close()
	})
	<-e.done
}

// Done is closed when the entry has stopped.
func (e *Entry) Done() <-chan struct{} { return e.done }
