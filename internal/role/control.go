package role

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"fennelyard/internal/consensus"
	"fennelyard/internal/control"
	"fennelyard/internal/ledger"
	"fennelyard/internal/listener"
	"fennelyard/internal/loading"
	"fennelyard/internal/memory"
	"fennelyard/internal/metrics"
	"fennelyard/internal/origin"
	"fennelyard/internal/peer"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/quota"
	"fennelyard/internal/ratelimit"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
	"fennelyard/internal/settings"
	"fennelyard/internal/subscription"
	"fennelyard/internal/worktime"
)

const (
	// groupID is the ID of the only control group.
	groupID = 1
	// With heartbeatInterval and electionTimeout a lost leader is replaced within 1 s, and
	// a host with a quarter of a core spends a few hundredths of it on heartbeats.
	heartbeatInterval = 100 * time.Millisecond
	electionTimeout   = 600 * time.Millisecond
	// silentHeartbeats is the number of heartbeats without a response after which a voter
	// is replaced by a host that is waiting to join.
	silentHeartbeats = 25
	// snapshotAfterEntries keeps the log short: each log entry may be a configuration of
	// several hundred KB, and the disk has 128 MB.
	snapshotAfterEntries = 64
	// 1/diskReserveDivisor of the disk is reserved for elections and snapshots.
	diskReserveDivisor = 8
	sweepInterval      = 200 * time.Millisecond
)

// ControlConfig configures a Control. All fields are required unless noted otherwise.
type ControlConfig struct {
	Settings *Settings
	Engines  loading.Engines
	// Handler returns the HTTP handler for operators and backend servers.
	Handler func(*Control) http.Handler
	Metrics *metrics.Set
	Log     logr.Logger
	// Network connects the host to others; the zero value uses TCP.
	Network Network
	// Connections is what accepted connections may take; nil: by the settings.
	Connections *listener.Budget
	// BeforeWrite, if set, is called before each write to the disk and delays it for as
	// long as it runs.
	BeforeWrite func()
	// Random returns a random number in [0, n) that spreads elections; nil uses math/rand.
	Random func(n int) int
}

// operatorBodyDivisor is the inverse of the part of the memory that bodies of operators and backend servers may take. A
// configuration takes several times its bytes while it is decoded.
const operatorBodyDivisor = 16

// Control is a control host. All methods are safe for concurrent use.
type Control struct {
	cfg     ControlConfig
	self    *schema.HostSettings
	storage *consensus.Storage
	dialer  *peer.Dialer
	// leaderDialer connects to the leader that this host follows, and orderDialer to order
	// holders and to the leader for the orders of this host. Both reset silent connections,
	// which must not close the connections of elections.
	leaderDialer, orderDialer *peer.Dialer
	group                     *control.Group
	// roster is the state of backend servers and hosts while this host leads, and mirror
	// the state received from the leader. announcements forwards the announcements of
	// servers to the leader, and subscribers are the entries subscribed to this host.
	roster        *roster.Roster
	mirror        *roster.Mirror
	announcements *roster.AnnouncementForwarder
	subscribers   *subscription.Registry
	// rejectionLimits are those that entries and other control hosts have reported.
	rejectionLimits *ratelimit.RejectionLimits
	// suspects are the requests suspected of crashing their servers.
	suspects *quarantine.SuspectSet
	// restoredTerm is the last term in which the recorded suspects were restored.
	restoredTerm atomic.Uint64
	// quotas are the uses of teams' quotas that entries of all control hosts reported,
	// while this host leads.
	quotas *quota.Totals
	// origins are where streams began, as entries have reported, and originFinder finds others at the other
	// control hosts. versions decides which versions of servers' software are recorded.
	origins      *origin.Table
	originFinder originFinder
	versions     versionRecorder
	// quotaAllocator divides teams' quotas while this host leads, and quotaStock is what this host was granted
	// for its own entries.
	quotaAllocator *quota.Allocator
	quotaStock     *quota.Stock
	// allocator divides the servers' request limits while this host leads. hostPermits are its
	// permits for the entries of other control hosts, and entryPermits those that this host has
	// received for its own entries.
	allocator                 *ratelimit.Allocator
	hostPermits, entryPermits *ratelimit.GrantBuffer
	// startedAt is the origin of the clock that is sent to the leader.
	startedAt      time.Time
	logLag         lagDetector
	driver         *loading.Driver
	orderSender    *loading.Sender
	peerServer     *peer.Server
	operatorServer *http.Server
	// bodies is what bodies of operators and backend servers may take.
	bodies       *memory.Budget
	lastStream   atomic.Uint64
	changesCache changesCache
	// refusalLog limits the log lines of refusals.
	refusalLog refusalLogLimiter
	// work measures what this host spends its processor time on.
	work *worktime.Meter
	// ackGate withholds acknowledgements of configurations that entries are missing.
	ackGate ackGate
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	wg      sync.WaitGroup
}

// NewControl starts a control host. If it fails, nothing is left running.
func NewControl(cfg ControlConfig) (*Control, error) {
	cfg.Network.setDefaults()
	if cfg.Random == nil {
		cfg.Random = rand.IntN
	}
	s := cfg.Settings.Get()
	if cfg.Connections == nil {
		cfg.Connections = NewConnections(s, cfg.Metrics, cfg.Log)
	}
	address := settings.PeerAddress(s.GetIp(), s)
	c := &Control{
		cfg: cfg, dialer: peer.NewDialer(peer.DialerConfig{Dial: cfg.Network.Dial}),
		leaderDialer: peer.NewDialer(peer.DialerConfig{Dial: cfg.Network.Dial}),
		orderDialer:  peer.NewDialer(peer.DialerConfig{Dial: cfg.Network.Dial}), stop: make(chan struct{}), done: make(chan struct{}),
		startedAt: time.Now(),
		self:      &schema.HostSettings{Name: address, PeerAddress: address, DataCentre: s.GetDataCentre(), Control: true},
	}
	c.roster = roster.New(roster.Config{
		Self: address, AnnounceEvery: s.GetAnnounceEvery().AsDuration(), Departed: c.departed, Now: time.Now, Log: cfg.Log.WithName("roster"),
	})
	c.mirror = roster.NewMirror(roster.MirrorConfig{Now: time.Now})
	c.announcements = roster.NewAnnouncementForwarder(time.Now)
	c.suspects = quarantine.NewSuspectSet(quarantine.SuspectSetConfig{
		Now: time.Now, KindNames: c.kindNames, OnChanged: func(s quarantine.Source) { cfg.Metrics.SuspectChanged(s.String()) }, Log: cfg.Log.WithName("quarantine"),
	})
	c.work = worktime.New(worktime.Config{Log: cfg.Log.WithName("work")})
	quotaWindow := s.GetQuotaWindow().AsDuration()
	c.quotas = quota.NewTotals(quotaWindow)
	c.origins = origin.NewTable(origin.MaxControlRecords, time.Now)
	c.hostPermits, c.entryPermits = ratelimit.NewGrantBuffer(), ratelimit.NewGrantBuffer()
	c.quotaAllocator = quota.NewAllocator(quota.AllocatorConfig{
		Window: quotaWindow, Quota: c.teamQuota, History: c.quotaHistory, Hosts: c.hostCount, Now: time.Now, Give: c.grantHost,
		NoShares: s.GetKeyRevocation().AsDuration() > 0,
	})
	c.quotaStock = quota.NewStock(quota.StockConfig{Window: quotaWindow, Give: c.grantEntry}, c.startedAt)
	c.allocator = ratelimit.NewAllocator(ratelimit.AllocatorConfig{Limits: c.roster.Limits, Grants: c.hostPermits, Now: time.Now})
	c.rejectionLimits = ratelimit.NewRejectionLimits()
	c.subscribers = subscription.New(subscription.Config{Now: time.Now, QuotaWindow: quotaWindow, Log: cfg.Log.WithName("attendance")})
	c.bodies = memory.NewBudget(memory.Config{Bytes: int64(s.GetMemoryMb() * (1 << 20) / operatorBodyDivisor)})
	if err := c.start(s); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Control) start(s *schema.JoinSettings) error {
	peers, err := c.cfg.Network.Listen("tcp", settings.PeerAddress(s.GetPeerListenIp(), s))
	if err != nil {
		return errors.Newf("listen for hosts: %w", err)
	}
	operators, err := c.cfg.Network.Listen("tcp", s.GetOperatorAddress())
	if err != nil {
		_ = peers.Close()
		return errors.Newf("listen for operators: %w", err)
	}
	if err = c.startGroup(s); err != nil {
		_ = peers.Close()
		_ = operators.Close()
		return err
	}
	c.startOrders(s)
	c.registerGauges()
	handlers := c.group.Handlers()
	handlers.FindOrigins = c.handleFindOrigins
	handlers.Attend, handlers.InSync, handlers.Follow, handlers.GiveOrder = c.serveEntry, c.handleInSync, c.serveHost, c.handleOrder
	calls := c.cfg.Connections.ListenCalls(peers, listener.PortConfig{Port: listener.PortHosts, Share: listener.ControlShares[listener.PortHosts]})
	calls.RegisterGauges(c.cfg.Metrics.Gauge)
	c.peerServer = peer.NewServer(peer.ServerConfig{Listener: calls, Handlers: handlers})
	operatorPort := c.cfg.Connections.Listen(operators, listener.PortConfig{Port: listener.PortOperators, Share: listener.ControlShares[listener.PortOperators]})
	operatorPort.RegisterGauges(c.cfg.Metrics.Gauge)
	c.operatorServer = operatorPort.NewServer(listener.ServerConfig{Handler: c.operatorHandler()})
	c.wg.Add(11)
	go func() {
		defer c.wg.Done()
		c.runWhileLeading(recordInterval, c.recordVersions)
	}()
	go func() {
		defer c.wg.Done()
		c.runWhileLeading(ratelimit.IssueInterval, c.recordQuotas)
	}()
	go func() {
		defer c.wg.Done()
		c.runWhileLeading(ratelimit.IssueInterval, c.issueQuotas)
	}()
	go func() {
		defer c.wg.Done()
		c.runWhileLeading(ratelimit.IssueInterval, c.issuePermits)
	}()
	go func() {
		defer c.wg.Done()
		c.runWhileLeading(quotaLogInterval, c.logQuotas)
	}()
	go func() {
		defer c.wg.Done()
		c.runWhileLeading(recordInterval, c.recordServers)
	}()
	go func() {
		defer c.wg.Done()
		c.runWhileLeading(recordInterval, c.recordSuspects)
	}()
	go func() {
		defer c.wg.Done()
		c.followLeaders()
	}()
	go func() {
		defer c.wg.Done()
		c.runEvery(sweepInterval, c.sweepSubscribers)
	}()
	go func() {
		defer c.wg.Done()
		operatorPort.Serve(c.operatorServer)
	}()
	go func() {
		defer c.wg.Done()
		c.runWhileLeading(sweepInterval, c.sweepRoster)
	}()
	return nil
}

func (c *Control) startGroup(s *schema.JoinSettings) error {
	var err error
	c.storage, err = consensus.OpenStorage(consensus.StorageConfig{
		Folder: filepath.Join(s.GetDataFolder(), "control"), Group: groupID, NewID: consensus.RandomID,
		FreeBytes: consensus.FreeBytes, ReserveBytes: uint64(s.GetDiskMb() * (1 << 20) / diskReserveDivisor),
		BeforeWrite: c.cfg.BeforeWrite,
	})
	if err != nil {
		return errors.Newf("open state: %w", err)
	}
	c.group, err = control.NewGroup(control.Config{
		Group: groupID, Self: c.self, Seeds: c.cfg.Settings.Seeds, Bootstrap: s.GetFounding(),
		Storage: c.storage, Dialer: c.dialer, QueryDialer: c.orderDialer, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout,
		SnapshotAfter: snapshotAfterEntries, SilentTicks: silentHeartbeats, Random: c.cfg.Random, Log: c.cfg.Log.WithName("group"),
		MeasureWork: func() func() { return c.work.Start(worktime.KindReplication) },
	})
	if err != nil {
		return errors.Newf("start control member: %w", err)
	}
	return nil
}

// registerGauges registers gauges, among them the number of voters and of silent voters:
// they show the loss of voters long before the group stops.
func (c *Control) registerGauges() {
	c.bodies.RegisterGauges(c.cfg.Metrics.Gauge)
	c.cfg.Metrics.Gauge("control_voters", "Voters of the control group, as this host knows it.", func() float64 {
		return float64(len(c.voterAddresses()))
	})
	c.cfg.Metrics.Gauge("control_voters_silent", "Voters that this leader has not heard for a second or more; 0 on other hosts.", func() float64 {
		return float64(len(c.group.Status().SilentVoters))
	})
	c.cfg.Metrics.Gauge("control_entries_attending", "Entries that this control host tells what the leader says.", func() float64 {
		return float64(c.subscribers.Count())
	})
	c.cfg.Metrics.Gauge("control_leader_age_seconds", "Time since this control host heard the leader; below 0: never.", func() float64 {
		return float64(c.leaderAge()) / float64(time.Second/time.Millisecond)
	})
	c.cfg.Metrics.Gauge("control_processor_delay_seconds", "How long the latest hundredth of this control host's goroutines waited for the processor at least, in the last second.", func() float64 {
		return c.work.Delay().Seconds()
	})
	for _, kind := range worktime.Kinds() {
		c.cfg.Metrics.Gauge("control_work_"+strings.ReplaceAll(kind.String(), "-", "_")+"_seconds", "Time that this control host has spent on work of the kind "+kind.String()+".", func() float64 {
			return c.work.Seconds(kind)
		})
	}
	c.cfg.Metrics.Gauge("control_requests_held_back", "Requests that end their servers, and that entries hold back.", func() float64 {
		return float64(c.suspects.HeldBackCount())
	})
	c.cfg.Metrics.Gauge("control_log_lags", "1 while this control host's log lags so much that it tells entries nothing.", func() float64 {
		if c.logLags() {
			return 1
		}
		return 0
	})
}

func (c *Control) pools() []*schema.Pool {
	var out []*schema.Pool
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { out = r.Pools() })
	return out
}

// runWhileLeading calls a function at an interval, whenever this host leads, until the host
// stops.
func (c *Control) runWhileLeading(interval time.Duration, f func()) {
	c.runEvery(interval, func() {
		if c.group.Status().CommittedInTerm {
			f()
		}
	})
}

// runEvery calls a function at an interval until the host stops.
func (c *Control) runEvery(interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			f()
		}
	}
}

// sweepRoster expires the servers and hosts that are silent to the leader.
func (c *Control) sweepRoster() {
	c.roster.Sweep()
	c.roster.SweepHosts()
}

// sweepSubscribers expires the entries that are silent to this host.
func (c *Control) sweepSubscribers() {
	c.subscribers.Sweep()
	c.mirror.Sweep()
	c.hostPermits.Sweep(time.Now())
	c.entryPermits.Sweep(time.Now())
}

// Bodies returns what bodies of operators and backend servers may take.
func (c *Control) Bodies() *memory.Budget { return c.bodies }

// Failed is closed when the control member failed; Err returns the cause. The process must
// then exit: the state on its disk is unknown.
func (c *Control) Failed() <-chan struct{} { return c.group.Done() }

// Err returns the error that ended the control member.
func (c *Control) Err() error { return c.group.Err() }

// Drain stops the host, which transfers leadership.
func (c *Control) Drain(context.Context) { c.Close() }

// Close stops the host at once.
func (c *Control) Close() {
	c.once.Do(func() {
		defer close(c.done)
		close(c.stop)
		if c.group != nil {
			c.group.Stop()
		}
		if c.driver != nil {
			c.driver.Stop()
		}
		if c.operatorServer != nil {
			_ = c.operatorServer.Close()
		}
		if c.peerServer != nil {
			c.peerServer.Stop()
		}
		c.wg.Wait()
		c.work.Stop()
		c.dialer.Close()
		c.leaderDialer.Close()
		c.orderDialer.Close()
		if c.storage != nil {
			if err := c.storage.Close(); err != nil {
				c.cfg.Log.Error(err, "state not closed")
			}
		}
	})
	<-c.done
}

// Done is closed when the host has stopped.
func (c *Control) Done() <-chan struct{} { return c.done }

func ipOf(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return a.Addr().String()
}
