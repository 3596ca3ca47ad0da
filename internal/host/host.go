// Package host assembles and runs the roles of one host.
package host

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace"

	"fennelyard/internal/consensus"
	"fennelyard/internal/control"
	"fennelyard/internal/engine"
	"fennelyard/internal/entry"
	"fennelyard/internal/ledger"
	"fennelyard/internal/listener"
	"fennelyard/internal/membership"
	"fennelyard/internal/metrics"
	"fennelyard/internal/order"
	"fennelyard/internal/peer"
	"fennelyard/internal/placement"
	"fennelyard/internal/schema"
	"fennelyard/internal/settings"
)

// controlGroupID is the ID of the control group; there is only one.
const controlGroupID = 1

// Config configures a Host. Settings must come from package settings.
type Config struct {
	Settings *schema.Settings
	Log      logr.Logger
	// Tracer creates the spans; nil disables tracing.
	Tracer trace.Tracer
	// Dial connects to backend servers, and to hosts that carry connections to them; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Host runs the roles of one host. All methods are safe for concurrent use.
type Host struct {
	cfg     Config
	self    *schema.HostSettings
	metrics *metrics.Set
	// connections is what accepted connections may take.
	connections *listener.Budget
	storage     *consensus.Storage
	group       *control.Group
	driver      *order.Driver
	dialer      *peer.Dialer
	server      *peer.Server
	client      *control.Client
	membership  *membership.Service
	entry       *entry.Entry
	// loadSource is entry, or nil until it has started: the membership service
	// starts earlier and reads the number of requests in flight from it.
	loadSource    atomic.Pointer[entry.Entry]
	metricsServer *http.Server
	done          chan struct{}
	closeOnce     sync.Once
}

// New starts a host. On error, everything that was started is stopped again.
func New(cfg Config) (*Host, error) {
	h := &Host{
		cfg: cfg, self: settings.Self(cfg.Settings), metrics: metrics.New(),
		dialer: peer.NewDialer(peer.DialerConfig{}), done: make(chan struct{}),
	}
	h.connections = listener.NewBudget(listener.BudgetConfig{
		Descriptors: int(cfg.Settings.GetMaxDescriptors()), MemoryBytes: int64(cfg.Settings.GetMemoryMb() * (1 << 20)),
		OnClosed: func(p listener.Port, r listener.Reason) { h.metrics.ConnectionClosed(p.String(), r.String()) }, Log: cfg.Log.WithName("listener"),
	})
	h.connections.RegisterGauges(h.metrics.Gauge)
	if h.cfg.Tracer == nil {
		h.cfg.Tracer = noopTracer()
	}
	if err := h.start(); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

func (h *Host) start() error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	handlers, err := h.startControl()
	if err != nil {
		listeners.close()
		return err
	}
	h.server = peer.NewServer(peer.ServerConfig{Listener: listeners.peer, Handlers: handlers})
	incarnation := uint64(time.Now().UnixNano())
	h.startMembership(listeners.probe, incarnation)
	replica := ledger.NewReplica()
	h.client = control.NewClient(control.ClientConfig{
		Group: controlGroupID, Self: h.self, Hosts: h.cfg.Settings.GetHosts(), Dialer: h.dialer,
		Replica: replica, Log: h.cfg.Log.WithName("control"),
	})
	h.entry = entry.New(entry.Config{
		Settings: h.cfg.Settings, Self: h.self, Incarnation: incarnation, Replica: replica,
		Control: h.client, Membership: h.membership, Random: rand.IntN, RandomID: consensus.RandomID,
		Log: h.cfg.Log.WithName("entry"), Tracer: h.cfg.Tracer, Metrics: h.metrics,
		CallerListener: listeners.caller, OperatorListener: listeners.operator, BackendListener: listeners.backend,
		Dial: h.cfg.Dial,
	})
	h.loadSource.Store(h.entry)
	return h.startMetricsServer()
}

type listeners struct {
	peer, caller, operator, backend *listener.Listener

	probe net.PacketConn
}

func (l *listeners) close() {
	for _, port := range []*listener.Listener{l.peer, l.caller, l.operator, l.backend} {
		if port != nil {
			_ = port.Close()
		}
	}
	if l.probe != nil {
		_ = l.probe.Close()
	}
}

// listen opens all listeners. On error, none stays open.
func (h *Host) listen() (*listeners, error) {
	l := &listeners{}
	for _, binding := range []struct {
		listener **listener.Listener
		address  string
		listen   func(net.Listener, listener.PortConfig) *listener.Listener
		port     listener.Port
	}{
		{&l.peer, h.self.GetPeerAddress(), h.connections.ListenCalls, listener.PortHosts},
		{&l.caller, h.self.GetCallerAddress(), h.connections.Listen, listener.PortCallers},
		{&l.operator, h.self.GetOperatorAddress(), h.connections.Listen, listener.PortOperators},
		{&l.backend, h.self.GetBackendAddress(), h.connections.Listen, listener.PortBackends},
	} {
		raw, err := net.Listen("tcp", binding.address)
		if err != nil {
			l.close()
			return nil, errors.Newf("listen: %w", err)
		}
		*binding.listener = binding.listen(raw, listener.PortConfig{Port: binding.port, Share: listener.ListedShares[binding.port]})
	}
	l.peer.RegisterGauges(h.metrics.Gauge)
	var err error
	if l.probe, err = net.ListenPacket("udp", h.self.GetPeerAddress()); err != nil {
		l.close()
		return nil, errors.Newf("listen: %w", err)
	}
	return l, nil
}

// startControl starts the control role if the settings assign it to this host, and
// returns its handlers for calls of peers.
func (h *Host) startControl() (peer.Handlers, error) {
	if !h.self.GetControl() {
		return peer.Handlers{}, nil
	}
	c := h.cfg.Settings.GetControl()
	var err error
	h.storage, err = consensus.OpenStorage(consensus.StorageConfig{
		Folder: filepath.Join(c.GetDataFolder(), "control"), Group: controlGroupID, NewID: consensus.RandomID, FreeBytes: consensus.FreeBytes,
	})
	if err != nil {
		return peer.Handlers{}, errors.Newf("open state: %w", err)
	}
	h.group, err = control.NewGroup(control.Config{
		Group: controlGroupID, Self: h.self, Hosts: h.cfg.Settings.GetHosts(), Storage: h.storage, Dialer: h.dialer,
		HeartbeatInterval: c.GetHeartbeat().AsDuration(), ElectionTimeout: c.GetElectionTimeout().AsDuration(),
		SnapshotAfter: c.GetSnapshotAfter(), Random: rand.IntN, Log: h.cfg.Log.WithName("group"),
	})
	if err != nil {
		return peer.Handlers{}, errors.Newf("start control role: %w", err)
	}
	h.startDriver()
	return h.group.Handlers(), nil
}

func (h *Host) startDriver() {
	w, p := h.cfg.Settings.GetWeightStore(), h.cfg.Settings.GetPolicy()
	h.driver = order.NewDriver(order.Config{
		Ledger: h.group.Ledger(),
		Leadership: func() order.Leadership {
			s := h.group.Status()
			return order.Leadership{IsLeader: s.CommittedInTerm, Term: s.Term}
		},
		Commit: h.group.Commit,
		ConfirmLeadership: func(ctx context.Context) error {
			_, err := h.group.ConfirmLeadership(ctx)
			return err
		},
		SendOrder: engine.NewClient().SendOrder,
		Speeds: placement.LoadSpeeds{
			RemoteMiBPerSecond: float64(w.GetRemoteMibPerSecond()), DiskMiBPerSecond: float64(w.GetDiskMibPerSecond()),
			MemoryMiBPerSecond: float64(w.GetMemoryMibPerSecond()), LoadsPerSecond: w.GetLoadsPerSecond(),
			FullSpeedLoads: int(w.GetFullSpeedLoads()),
		},
		Prices: placement.Prices{
			ColdStartSecond: p.GetColdSecondWeight(), IdleAcceleratorHour: p.GetIdleHourWeight(),
			WaitingPerReplica: int(h.cfg.Settings.GetEntry().GetReplicaLimit()),
		},
		Now: time.Now, Log: h.cfg.Log.WithName("order"), Tracer: h.cfg.Tracer,
		ObserveLoad: func(t placement.Tier, took time.Duration, ok bool) { h.metrics.Load(t.String(), took, ok) },
		ObserveIdle: h.metrics.Idle,
	})
	h.group.SetLeaderHandlers(h.driver.HandleReport, h.driver.Forecast, h.driver.UnconfirmedReservations)
}

func (h *Host) startMembership(probe net.PacketConn, incarnation uint64) {
	var names []string
	addresses := map[string]string{}
	for _, host := range h.cfg.Settings.GetHosts() {
		names = append(names, host.GetName())
		addresses[host.GetName()] = host.GetPeerAddress()
	}
	h.membership = membership.NewService(membership.ServiceConfig{
		List: membership.NewList(membership.Config{
			Self: h.self.GetName(), Incarnation: incarnation, Hosts: names, Random: rand.IntN,
		}),
		Conn: probe, Addresses: addresses, Log: h.cfg.Log.WithName("membership"),
		Load: func() int {
			if e := h.loadSource.Load(); e != nil {
				return e.InFlight()
			}
			return 0
		},
	})
}

// Metrics returns the host's metrics.
func (h *Host) Metrics() *metrics.Set { return h.metrics }

// Ready reports whether the host serves callers.
func (h *Host) Ready() bool { return h.entry.Readiness() != entry.ReadinessNone }

// IsLeader reports whether this host's control member is the leader.
func (h *Host) IsLeader() bool { return h.group != nil && h.group.Status().CommittedInTerm }

// Failed returns a channel that is closed when the control role has stopped; Err
// returns the cause. If it stopped by itself, the process must exit, as the state on
// its disk is no longer known. The channel is nil on a host without the control role.
func (h *Host) Failed() <-chan struct{} {
	if h.group == nil {
		return nil
	}
	return h.group.Done()
}

// Err returns the error that stopped the control role, or nil.
func (h *Host) Err() error {
	if h.group == nil {
		return nil
	}
	return h.group.Err()
}

// Drain stops the host gracefully: it leaves the directory, waits for the requests in
// flight until the context ends, transfers the leadership and closes everything.
func (h *Host) Drain(ctx context.Context) {
	h.entry.Drain(ctx)
	h.Close()
}

// Close stops the host without waiting for requests in flight.
func (h *Host) Close() {
	h.closeOnce.Do(func() {
		defer close(h.done)
		if h.entry != nil {
			h.entry.Close()
		}
		if h.client != nil {
			h.client.Stop()
		}
		if h.group != nil {
			h.group.Stop()
			h.driver.Stop()
		}
		if h.membership != nil {
			h.membership.Stop()
		}
		if h.server != nil {
			h.server.Stop()
		}
		h.dialer.Close()
		if h.storage != nil {
			_ = h.storage.Close()
		}
		if h.metricsServer != nil {
			_ = h.metricsServer.Close()
		}
	})
	<-h.done
}

// Done returns a channel that is closed when the host has stopped.
func (h *Host) Done() <-chan struct{} { return h.done }
