package role

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"fennelyard/internal/consensus"
	"fennelyard/internal/control"
	"fennelyard/internal/ledger"
	"fennelyard/internal/loading"
	"fennelyard/internal/metrics"
	"fennelyard/internal/peer"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/quota"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
	"fennelyard/internal/settings"
	"fennelyard/internal/subscription"
)

const (
	// groupID is the id of the one control group that runs today.
	groupID = 1
	// heartbeat and election time the group: a leader that is lost is replaced
	// within a second, and a host of a quarter of a core spends a few hundredths
	// of it on heartbeats.
	heartbeat = 100 * time.Millisecond
	election  = 600 * time.Millisecond
	// silentTicks is after how many heartbeats without an answer a voter gives
	// its place to a host that waits for one.
	silentTicks = 25
	// snapshotAfter keeps the log short: each entry may be a configuration of
	// some hundred KB, and the disk has 128 MB.
	snapshotAfter = 64
	// diskReserveShare of the disk is left free for elections and snapshots.
	diskReserveShare = 8
	sweepEvery       = 200 * time.Millisecond
)

// ControlConfig configures a Control. All fields are required unless they say
// otherwise.
type ControlConfig struct {
	Settings *Settings
	Engines  loading.Engines
	// Handler makes the handler of operators' and backend servers' calls.
	Handler func(*Control) http.Handler
	Metrics *metrics.Set
	Log     logr.Logger
	// Network is how the host reaches others and is reached; the zero value: over TCP.
	Network Network
	// BeforeWrite, where set, is called before each write to the disk, which is as slow as
	// it.
	BeforeWrite func()
	// Random returns a number from 0 to below n; it spreads elections. nil: by chance.
	Random func(n int) int
}

// Control is a control host. All methods are safe from any goroutine.
type Control struct {
	cfg     ControlConfig
	self    *schema.HostSettings
	storage *consensus.Storage
	dialer  *peer.Dialer
	// news connects to the leader that this host follows, and orders to holders of orders
	// and to the leader for theirs: connections that have fallen silent are renewed, and
	// elections must not lose theirs for it.
	news, orders *peer.Dialer
	group        *control.Group
	// roster is what this host believes while it leads, and mirror what the leader says;
	// entries are those that attend this host, and heard the servers that announce
	// themselves here.
	roster  *roster.Roster
	mirror  *roster.Mirror
	heard   *roster.AnnouncementForwarder
	entries *subscription.Registry
	// book is what is known of requests that end their servers.
	book *quarantine.SuspectSet
	// recalled is the last term in which the recorded ones were taken in.
	recalled atomic.Uint64
	// quotas are what the entries of all control hosts admitted of the teams' quotas, while
	// this host leads.
	quotas *quota.Totals
	// began is the origin of the clock that is sent to the leader.
	began   time.Time
	lag     lag
	driver  *loading.Driver
	hand    *loading.Sender
	server  *peer.Server
	http    *http.Server
	streams atomic.Uint64
	changes encodedChanges
	// refusals bound the log.
	refusals refusals
	// withheld are acknowledgements of configurations that entries lack.
	withheld withheld
	stop     chan struct{}
	done     chan struct{}
	once     sync.Once
	wg       sync.WaitGroup
}

// NewControl starts a control host. When it fails nothing is left running.
func NewControl(cfg ControlConfig) (*Control, error) {
	cfg.Network.fill()
	if cfg.Random == nil {
		cfg.Random = rand.IntN
	}
	s := cfg.Settings.Get()
	address := settings.PeerAddress(s.GetIp(), s)
	c := &Control{
		cfg: cfg, dialer: peer.NewDialer(peer.DialerConfig{Dial: cfg.Network.Dial}),
		news:   peer.NewDialer(peer.DialerConfig{Dial: cfg.Network.Dial}),
		orders: peer.NewDialer(peer.DialerConfig{Dial: cfg.Network.Dial}), stop: make(chan struct{}), done: make(chan struct{}),
		began: time.Now(),
		self:  &schema.HostSettings{Name: address, PeerAddress: address, DataCentre: s.GetDataCentre(), Control: true},
	}
	c.roster = roster.New(roster.Config{
		Self: address, AnnounceEvery: s.GetAnnounceEvery().AsDuration(), Departed: c.departed, Now: time.Now, Log: cfg.Log.WithName("roster"),
	})
	c.mirror = roster.NewMirror(roster.MirrorConfig{Now: time.Now})
	c.heard = roster.NewAnnouncementForwarder(time.Now)
	c.book = quarantine.NewSuspectSet(quarantine.SuspectSetConfig{Now: time.Now, Log: cfg.Log.WithName("quarantine")})
	quotaWindow := s.GetQuotaWindow().AsDuration()
	c.quotas = quota.NewTotals(quotaWindow)
	c.entries = subscription.New(subscription.Config{Now: time.Now, QuotaWindow: quotaWindow, Log: cfg.Log.WithName("attendance")})
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
	c.gauges()
	handlers := c.group.Handlers()
	handlers.Attend, handlers.Follow, handlers.GiveOrder = c.attend, c.lead, c.giveOrder
	c.server = peer.NewServer(peer.ServerConfig{Listener: peers, Handlers: handlers})
	c.http = newServer(c.operatorHandler())
	c.wg.Add(7)
	go func() {
		defer c.wg.Done()
		c.whileLeading(quotasLogged, c.logQuotas)
	}()
	go func() {
		defer c.wg.Done()
		c.whileLeading(rememberEvery, c.remember)
	}()
	go func() {
		defer c.wg.Done()
		c.whileLeading(rememberEvery, c.rememberSuspects)
	}()
	go func() {
		defer c.wg.Done()
		c.follow()
	}()
	go func() {
		defer c.wg.Done()
		c.every(sweepEvery, c.sweepFollowing)
	}()
	go func() {
		defer c.wg.Done()
		serve(c.http, operators, c.cfg.Log)
	}()
	go func() {
		defer c.wg.Done()
		c.whileLeading(sweepEvery, c.sweep)
	}()
	return nil
}

func (c *Control) startGroup(s *schema.JoinSettings) error {
	var err error
	c.storage, err = consensus.OpenStorage(consensus.StorageConfig{
		Folder: filepath.Join(s.GetDataFolder(), "control"), Group: groupID, NewID: consensus.RandomID,
		FreeBytes: consensus.FreeBytes, Reserve: uint64(s.GetDiskMb()) << 20 / diskReserveShare,
		BeforeWrite: c.cfg.BeforeWrite,
	})
	if err != nil {
		return errors.Newf("open state: %w", err)
	}
	c.group, err = control.NewGroup(control.Config{
		Group: groupID, Self: c.self, Seeds: c.cfg.Settings.Seeds, Bootstrap: s.GetFounding(),
		Storage: c.storage, Dialer: c.dialer, QueryDialer: c.orders, Heartbeat: heartbeat, Election: election,
		SnapshotAfter: snapshotAfter, SilentTicks: silentTicks, Random: c.cfg.Random, Log: c.cfg.Log.WithName("group"),
	})
	if err != nil {
		return errors.Newf("start control member: %w", err)
	}
	return nil
}

// gauges tell how many voters the group has and how many more losses it bears: both
// fall long before the group stops.
func (c *Control) gauges() {
	c.cfg.Metrics.Gauge("control_voters", "Voters of the control group, as this host knows it.", func() float64 {
		return float64(len(c.voters()))
	})
	c.cfg.Metrics.Gauge("control_voters_silent", "Voters that this leader has not heard for a second or more; 0 on other hosts.", func() float64 {
		return float64(len(c.group.Status().SilentVoters))
	})
	c.cfg.Metrics.Gauge("control_entries_attending", "Entries that this control host tells what the leader says.", func() float64 {
		return float64(c.entries.Count())
	})
	c.cfg.Metrics.Gauge("control_leader_age_seconds", "Time since this control host heard the leader; below 0: never.", func() float64 {
		return float64(c.leaderAge()) / float64(time.Second/time.Millisecond)
	})
	c.cfg.Metrics.Gauge("control_requests_held_back", "Requests that end their servers, and that entries hold back.", func() float64 {
		return float64(c.book.HeldBackCount())
	})
	c.cfg.Metrics.Gauge("control_log_lags", "1 while this control host's log lags so much that it tells entries nothing.", func() float64 {
		if c.lags() {
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

// whileLeading calls a function every so often, whenever this host leads, until it
// stops.
func (c *Control) whileLeading(every time.Duration, f func()) {
	c.every(every, func() {
		if c.group.Status().CommittedInTerm {
			f()
		}
	})
}

// every calls a function every so often until the host stops.
func (c *Control) every(every time.Duration, f func()) {
	ticker := time.NewTicker(every)
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

// sweep leaves out what the leader no longer hears.
func (c *Control) sweep() {
	c.roster.Sweep()
	c.roster.SweepHosts()
}

// sweepFollowing leaves out the entries that this host no longer hears.
func (c *Control) sweepFollowing() {
	c.entries.Sweep()
	c.mirror.Sweep()
}

// Failed is closed when the control member ended by itself; Err tells why. The
// process must then end: what its disk holds is no longer known.
func (c *Control) Failed() <-chan struct{} { return c.group.Done() }

// Err tells why the control member ended.
func (c *Control) Err() error { return c.group.Err() }

// Drain hands leadership over and stops the host.
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
		if c.http != nil {
			_ = c.http.Close()
		}
		if c.server != nil {
			c.server.Stop()
		}
		c.wg.Wait()
		c.dialer.Close()
		c.news.Close()
		c.orders.Close()
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
