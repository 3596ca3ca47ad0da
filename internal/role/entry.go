package role

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"fennelyard/internal/bound"
	"fennelyard/internal/drain"
	"fennelyard/internal/gateway"
	"fennelyard/internal/gossip"
	"fennelyard/internal/ledger"
	"fennelyard/internal/listener"
	"fennelyard/internal/memory"
	"fennelyard/internal/metrics"
	"fennelyard/internal/origin"
	"fennelyard/internal/path"
	"fennelyard/internal/peer"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
	"fennelyard/internal/settings"
	"fennelyard/internal/tunnel"
)

// EntryConfig configures an Entry. All fields are required unless noted otherwise.
type EntryConfig struct {
	Settings *Settings
	Codec    gateway.Codec
	// Ready and Directory return the HTTP handlers for readiness probes and for the
	// directory of entries.
	Ready      func(*Entry) http.Handler
	Directory  func(*Entry) http.Handler
	Metrics    *metrics.Set
	Log        logr.Logger
	RequestLog logr.Logger
	// Network connects the entry to control hosts and callers; the zero value uses TCP.
	Network Network
	// Connections is what accepted connections may take; nil: by the settings.
	Connections *listener.Budget
}

// Entry serves callers' requests. All methods are safe for concurrent use.
type Entry struct {
	cfg     EntryConfig
	dialer  *peer.Dialer
	gateway *gateway.Gateway
	// paths connects to the backend servers, and tunnels carries connections to them for other
	// entries.
	paths   *path.Dialer
	tunnels *tunnel.Server
	// origins records and finds at other entries where streams began.
	origins *origin.Client
	// suspects exchanges evidence on harmful requests with other entries.
	suspects       *gossip.Gossip
	suspectsClient *gossip.Client
	// memory is what bodies of requests and responses may take.
	memory         *memory.Budget
	callerServer   *http.Server
	callerListener net.Listener
	// connections are those of callers.
	connections *drain.Connections
	servers     []*http.Server
	done        chan struct{}
	once        sync.Once
	wg          sync.WaitGroup
}

// NewEntry starts an entry. If it fails, nothing is left running.
func NewEntry(cfg EntryConfig) (*Entry, error) {
	cfg.Network.setDefaults()
	if cfg.Connections == nil {
		cfg.Connections = NewConnections(cfg.Settings.Get(), cfg.Metrics, cfg.Log)
	}
	e := &Entry{cfg: cfg, dialer: peer.NewDialer(peer.DialerConfig{Dial: cfg.Network.Dial}), done: make(chan struct{}), connections: drain.NewConnections()}
	s := cfg.Settings.Get()
	direct := cfg.Network.dial()
	e.paths = path.New(path.Config{
		Direct: direct, Through: tunnel.NewOpener(direct), Random: rand.IntN, Log: cfg.Log.WithName("path"),
		Hosts:     func() (preferred, others []string) { return e.gateway.TunnelHosts() },
		Cooling:   func(address string) bool { return e.gateway.ServerCooldown(address) > 0 },
		AnyServer: func(except ...string) string { return e.gateway.AnyServer(except...) },
		OnChange:  func() { e.gateway.ReportPath() },
	})
	e.tunnels = tunnel.NewServer(tunnel.ServerConfig{
		Connect: e.paths.Connect, Log: cfg.Log.WithName("tunnel"),
		IsServer:     func(address string) bool { return e.gateway.IsServer(address) },
		Available:    func() bool { return e.gateway.CarriesTunnels() && !e.paths.Lost() },
		Reaches:      func(address string) bool { return !e.paths.LostTo(address) },
		ReachesOther: e.paths.ReachesOther,
		Cooldown:     func(address string) time.Duration { return e.gateway.ServerCooldown(address) },
		OnCooldown:   func(server string, wait time.Duration) { e.gateway.CarriedCooldown(server, wait) },
	})
	e.memory = memory.NewBudget(memory.Config{Bytes: int64(s.GetBufferMb() * (1 << 20))})
	e.origins, e.suspectsClient = origin.NewClient(direct), gossip.NewClient(direct)
	e.gateway = gateway.New(gateway.Config{
		Self: &schema.RosterEntry{
			Host: s.GetHost(), DataCentre: s.GetDataCentre(), CallerAddress: s.GetCallerAddress(),
			TunnelAddress: settings.PeerAddress(s.GetIp(), s),
		},
		Memory: e.memory, OnBoundMet: func(k bound.Kind) { cfg.Metrics.BoundMet("server", k.String()) },
		OnConnectionEnd: func(p relay.Presence) { cfg.Metrics.ResponseEnded(p.String()) },
		PathLost:        e.paths.Unreached, StateCooldown: tunnel.NewCooldownReporter(direct, cfg.Log),
		Seeds: cfg.Settings.Seeds, Dialer: e.dialer, Replica: ledger.NewReplica(),
		Sender: relay.NewSender(relay.Config{
			OnDial: func(_ time.Duration, err error) { cfg.Metrics.BackendConnection(err) }, Dial: e.paths.Dial,
		}),
		Codec: cfg.Codec, Log: cfg.Log.WithName("entry"), RequestLog: cfg.RequestLog,
		RetryBudget: gateway.RetryBudgetConfig{
			Ratio: s.GetRepeatRatio(), Window: s.GetRepeatWindow().AsDuration(), Burst: s.GetRepeatSlack(),
		},
		Isolated:      func() bool { return e.suspects.Isolated() },
		Origins:       gateway.OriginExchange{Put: e.origins.Put, Get: e.origins.Get},
		KeyRevocation: s.GetKeyRevocation().AsDuration(), QuotaWindow: s.GetQuotaWindow().AsDuration(),
		OnSuspectChanged: func(s quarantine.Source) { cfg.Metrics.SuspectChanged(s.String()) },
		OnRequestDone: func(r gateway.RequestStats) {
			cfg.Metrics.RouteRequest(r.RouteKind, r.Outcome.String(), r.Status, r.Duration, r.TimeToFirstByte, r.Attempts)
			cfg.Metrics.TeamRequest(r.Team, r.Outcome.String())
		},
	})
	e.suspects = gossip.New(gossip.Config{
		Self: settings.PeerAddress(s.GetIp(), s), Entries: e.gateway.RecentEntries, Suspects: e.gateway.Suspects(), Merge: e.gateway.MergeSuspects,
		Exchange: e.suspectsClient.Exchange, Random: rand.IntN, Log: cfg.Log.WithName("gossip"),
	})
	e.registerGauges()
	if err := e.listen(s); err != nil {
		e.Close()
		return nil, err
	}
	return e, nil
}

func (e *Entry) registerGauges() {
	for _, gauge := range []struct {
		name, help string
		read       func(gateway.State) float64
	}{
		{"configuration_version", "Version of the configuration in force at this entry.", func(s gateway.State) float64 { return float64(s.Version) }},
		{"known_servers", "Backend servers that this entry knows.", func(s gateway.State) float64 { return float64(s.Servers) }},
		{"ready_servers", "Backend servers that take new work, as this entry knows.", func(s gateway.State) float64 { return float64(s.Ready) }},
		{"known_entries", "Entries that callers are told of.", func(s gateway.State) float64 { return float64(s.Entries) }},
		{"waiting_requests", "Requests that wait for a model.", func(s gateway.State) float64 { return float64(s.Waiting) }},
		{"cooling_servers", "Backend servers that have asked this entry for a cooldown.", func(s gateway.State) float64 { return float64(s.CoolingServers) }},
		{"departed_servers", "Backend servers whose responses to this entry stated that they leave.", func(s gateway.State) float64 { return float64(s.DepartedServers) }},
		{"limited_servers", "Backend servers that state a request limit, as this entry knows.", func(s gateway.State) float64 { return float64(s.LimitedServers) }},
		{"pools_with_rejection_limit", "Pools whose servers state how many requests they can reject without crashing.", func(s gateway.State) float64 { return float64(s.RejectionLimits) }},
		{"requests_awaiting_permit", "Requests that wait for a permit to be sent to a server with a request limit.", func(s gateway.State) float64 { return float64(s.AwaitingPermit) }},
		{"requests_held_back", "Requests that this entry holds back, as they end their servers.", func(s gateway.State) float64 { return float64(s.HeldBack) }},
		{"control_host_streams", "Streams to control hosts since the start.", func(s gateway.State) float64 { return float64(s.Subscriptions) }},
		{"lease_held", "1 while this entry relies on the leader's view of the backend servers; otherwise it asks them itself.", func(s gateway.State) float64 {
			if s.HoldsLease {
				return 1
			}
			return 0
		}},
		{"leader_age_seconds", "Time since the leader spoke; below 0: never.", func(s gateway.State) float64 { return s.LeaderAge.Seconds() }},
	} {
		e.cfg.Metrics.Gauge(gauge.name, gauge.help, func() float64 { return gauge.read(e.gateway.State()) })
	}
	for _, gauge := range []struct {
		name, help string
		read       func(path.State) float64
	}{
		{"path_to_servers_lost", "1 while this entry has lost its own network path to the backend servers.", func(s path.State) float64 {
			if s.Lost {
				return 1
			}
			return 0
		}},
		{"servers_reached_by_other_entries", "Backend servers that this entry reaches only through other entries.", func(s path.State) float64 { return float64(s.LostServers) }},
		{"servers_not_reached", "Backend servers that this entry reaches over no path.", func(s path.State) float64 { return float64(s.FailedServers) }},
	} {
		e.cfg.Metrics.Gauge(gauge.name, gauge.help, func() float64 { return gauge.read(e.paths.State()) })
	}
	e.cfg.Metrics.Gauge("tunnels_open", "Connections to backend servers that this entry carries for other entries.", func() float64 { return float64(e.tunnels.Active()) })
	e.memory.RegisterGauges(e.cfg.Metrics.Gauge)
	e.cfg.Metrics.Gauge("requests_at_hand", "Requests of callers at hand.", func() float64 { return float64(e.gateway.InFlight()) })
}

func (e *Entry) listen(s *schema.JoinSettings) error {
	for _, endpoint := range []struct {
		address string
		listen  func(network, address string) (net.Listener, error)
		server  listener.ServerConfig
		port    listener.PortConfig
	}{
		{
			s.GetCallerAddress(), e.cfg.Network.Listen,
			listener.ServerConfig{Handler: e.gateway, Refuse: http.HandlerFunc(e.gateway.RefuseBusy), OnState: e.connections.Track, HasDeadlines: true},
			listener.PortConfig{Port: listener.PortCallers, MaxHeadBytes: e.gateway.MaxHeadBytes, MinWait: e.gateway.MinWait},
		},
		{
			s.GetReadyAddress(), e.cfg.Network.Listen,
			listener.ServerConfig{Handler: e.cfg.Ready(e)},
			listener.PortConfig{Port: listener.PortReadiness},
		},
		{
			s.GetDirectoryAddress(), e.cfg.Network.Listen,
			listener.ServerConfig{Handler: e.cfg.Directory(e)},
			listener.PortConfig{Port: listener.PortDirectory},
		},
		{
			settings.PeerAddress(s.GetPeerListenIp(), s), e.cfg.Network.listenHosts,
			listener.ServerConfig{Handler: e.hostHandler()},
			listener.PortConfig{Port: listener.PortHosts},
		},
	} {
		if endpoint.address == "" {
			continue
		}
		l, err := endpoint.listen("tcp", endpoint.address)
		if err != nil {
			return errors.Newf("listen: %w", err)
		}
		endpoint.port.Share = listener.EntryShares[endpoint.port.Port]
		port := e.cfg.Connections.Listen(l, endpoint.port)
		port.RegisterGauges(e.cfg.Metrics.Gauge)
		server := port.NewServer(endpoint.server)
		e.servers = append(e.servers, server)
		if endpoint.port.Port == listener.PortCallers {
			e.callerServer, e.callerListener = server, l
		}
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			port.Serve(server)
		}()
	}
	return nil
}

// hostHandler handles what other entries send: tunnels, where streams began, and evidence on harmful
// requests.
func (e *Entry) hostHandler() http.Handler {
	origins, suspects := origin.NewHandler(e.gateway.Origins(), e.gateway.Versions), gossip.NewHandler(e.suspects)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case origin.IsRequest(r):
			origins.ServeHTTP(w, r)
		case gossip.IsRequest(r):
			suspects.ServeHTTP(w, r)
		default:
			e.tunnels.ServeHTTP(w, r)
		}
	})
}

// Ready reports whether callers may be sent to this entry.
func (e *Entry) Ready() bool { return e.gateway.Ready() }

// Addresses returns the addresses of the entries that callers in a data centre may use, and
// how long they may cache them.
func (e *Entry) Addresses(dataCentre string) ([]string, time.Duration) {
	return e.gateway.Entries(dataCentre), e.cfg.Settings.Get().GetDirectoryKeep().AsDuration()
}

// Failed returns nil: an entry has no part that can fail on its own.
func (e *Entry) Failed() <-chan struct{} { return nil }

// Err returns nil.
func (e *Entry) Err() error { return nil }

// Drain stops the entry without cutting off a request that can end within the stop limit. The entry leaves the
// directory and reports that it is not ready, but accepts connections for as long as callers may use a cached
// directory response. It serves the requests that it can finish and refuses all others at once. It ends once no
// request is left and no connection that may still bring one.
func (e *Entry) Drain(ctx context.Context) {
	plan := drain.NewPlan(drain.PlanConfig{Start: time.Now(), Limit: e.cfg.Settings.Get().GetStopLimit().AsDuration()})
	start := time.Now()
	e.gateway.StartDraining(plan)
	e.cfg.Log.Info("draining", "in-flight", e.gateway.InFlight(), "connections", e.pendingConnections(), "tunnels", e.tunnels.Active(),
		"accepting-ms", time.Until(plan.AcceptUntil()).Milliseconds(), "abort-ms", time.Until(plan.AbortAt()).Milliseconds())
	// From now on each response closes its connection, so that its caller connects to another
	// entry, and idle connections are closed.
	e.callerServer.SetKeepAlivesEnabled(false)
	plan.Run(ctx, drain.Steps{
		StopAccepting: e.closeCallerListener,
		Abort: func() {
			e.gateway.AbortRequests()
			e.tunnels.Reset()
		},
		Pending: func() int { return e.gateway.InFlight() + e.pendingConnections() + e.tunnels.Active() },
	})
	e.cfg.Log.Info("drained", "in-flight", e.gateway.InFlight(), "connections", e.pendingConnections(), "tunnels", e.tunnels.Active(),
		"took-ms", time.Since(start).Milliseconds())
	e.Close()
}

// pendingConnections returns the number of callers' connections with a request, or on which the first one may still
// come.
func (e *Entry) pendingConnections() int { return e.connections.Pending(e.gateway.HeaderTimeout()) }

// closeCallerListener closes the listener for callers; requests in flight continue.
func (e *Entry) closeCallerListener() {
	if err := e.callerListener.Close(); err != nil {
		e.cfg.Log.Error(err, "port not closed")
	}
	e.cfg.Log.Info("port closed", "in-flight", e.gateway.InFlight(), "connections", e.pendingConnections())
}

// Close stops the entry at once.
func (e *Entry) Close() {
	e.once.Do(func() {
		defer close(e.done)
		e.connections.Reset()
		for _, s := range e.servers {
			_ = s.Close()
		}
		e.tunnels.Reset()
		e.wg.Wait()
		e.suspects.Close()
		e.gateway.Close()
		e.origins.Close()
		e.suspectsClient.Close()
		e.paths.Close()
		e.dialer.Close()
	})
	<-e.done
}

// Done is closed when the entry has stopped.
func (e *Entry) Done() <-chan struct{} { return e.done }
