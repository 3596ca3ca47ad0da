// Package path connects an entry to backend servers, over its own network path or through other
// entries.
//
// A connection that cannot be opened says nothing about whose fault it is: the server may have
// crashed, or this host may have lost its path while everybody else reaches the server. The package
// therefore asks another host to connect before it gives a server up, and prefers other hosts while
// its own path is lost.
package path

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"fennelyard/internal/tcp"
)

const (
	// tunnelDelay is the time after which another host is asked beside an attempt that neither
	// connects nor fails: many round trips, as connecting waits for nothing but the network.
	tunnelDelay = 150 * time.Millisecond
	// confirmDelay is the same once the own path has failed: a host that reaches the server, or is
	// refused by it, responds within a few round trips, and one that does not is out of reach itself.
	confirmDelay = 50 * time.Millisecond
	// connectTimeout bounds an attempt. It is shorter than tcp.ConnectTimeout, with which callers give
	// an attempt up, so that it fails with what the other hosts have said.
	connectTimeout = 400 * time.Millisecond
	// maxHostsAsked is the number of hosts that an attempt asks at most, without those that decline or
	// are unsure, which respond at once, and maxAsked with them. minOpinions is the number of them that must agree that a server has
	// ended: one alone may have just lost its path as well.
	maxHostsAsked = 3
	maxAsked      = 8
	minOpinions   = 2
	// maxHostsAskedRefused is maxHostsAsked once the server has refused this host's own connection: half
	// of the other hosts may be out of reach.
	maxHostsAskedRefused = 6
	// maxUnconfirmed bounds the hosts asked at the same time while this host's own path is not known
	// to be lost: servers that crash must not cost other hosts more than this.
	maxUnconfirmed = 32
	// minLostServers is the number of servers to which the path is lost, with none reached since, from
	// which on the path to all others counts as lost too.
	minLostServers = 2
	// minUnreachedTime is the time without any server reached from which on it may: if only some
	// servers are out of reach, the others are reached many times a second.
	minUnreachedTime = time.Second
	// RetryInterval is the time after which a host that carries no tunnel is asked again.
	RetryInterval = time.Second
	// maxServers bounds the servers that are remembered, and serverRetention is how long one is
	// remembered after its last use.
	maxServers      = 4096
	serverRetention = time.Minute
)

// ErrNoPath reports that this host has lost its path to the servers and that no other host carries
// connections for it: the failure says nothing about the server.
var ErrNoPath = errors.New("no path to the backend servers")

// Config configures a Dialer. All fields but AnyServer are required.
type Config struct {
	// Direct connects to an address over this host's own network path.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Through connects to a server through another host.
	Through func(ctx context.Context, host, server string) (net.Conn, error)
	// Hosts returns the hosts that reach the servers: those to ask first, and all others.
	Hosts func() (preferred, others []string)
	// Cooling reports whether the server at an address wants nothing from this host for some time: it is not
	// connected to for a check.
	Cooling func(address string) bool
	// AnyServer returns the address of a server that takes requests and is none of those given, empty if
	// there is none: a host that has reached no server yet, or none but servers that have crashed, could
	// not say whether its own path is lost. It may be nil.
	AnyServer func(except ...string) string
	// OnChange is called when Lost or Unreached changes.
	OnChange func()
	Random   func(n int) int
	Log      logr.Logger
}

// Dialer connects to backend servers. It is safe for concurrent use.
type Dialer struct {
	cfg Config
	// wake has a token when paths to check have come.
	wake chan struct{}
	stop chan struct{}
	done chan struct{}
	once sync.Once
	// attempts counts those that run or have outstanding paths.
	attempts sync.WaitGroup

	mu sync.Mutex
	// closed is set by Close.
	closed bool
	// servers holds the servers that were not reached over this host's own path, and while lost is set
	// those that were used. All fields are guarded by mu.
	servers map[string]*server
	// lost is set while the path to all servers counts as lost, since lostSince.
	lost      bool
	lostSince time.Time
	// unreached is set while no server was reached for minUnreachedTime and minLostServers or more were
	// tried in vain meanwhile, whoever's fault that is.
	unreached bool
	// reachedAt is when a server was last reached over this host's own path, reached its address, and
	// reachedBefore that of the last other one.
	reachedAt              time.Time
	reached, reachedBefore string
	// asideUntil holds the hosts that carried no tunnel when they were last asked.
	asideUntil map[string]time.Time
	// unconfirmed counts the hosts that are being asked while the path is not known to be lost.
	unconfirmed int
}

// server is what is known of the path to a server.
type server struct {
	// lostAt is when another host reached the server and this one did not, the zero time if this host
	// reaches it or nobody is known to.
	lostAt time.Time
	// failedAt is when connections began to fail, over any path; the zero time if the last one did not.
	failedAt time.Time
	// directFailedAt is when this host last failed to reach the server over its own path.
	directFailedAt time.Time
	// carrier is the host that reached the server last.
	carrier   string
	checkedAt time.Time
	usedAt    time.Time
}

// New returns a Dialer. Close must be called.
func New(cfg Config) *Dialer {
	d := &Dialer{
		cfg: cfg, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
		servers: map[string]*server{}, asideUntil: map[string]time.Time{},
	}
	go func() {
		defer close(d.done)
		d.check()
		d.attempts.Wait()
	}()
	return d
}

// Close ends the checks of lost paths, and waits for the attempts that run. Connections stay open; later
// calls of Dial fail.
func (d *Dialer) Close() {
	d.once.Do(func() {
		d.mu.Lock()
		d.closed = true
		d.mu.Unlock()
		close(d.stop)
	})
	<-d.done
}

// Done returns a channel that is closed when the Dialer is closed.
func (d *Dialer) Done() <-chan struct{} { return d.done }

// Lost reports whether this host has lost its path to the servers.
func (d *Dialer) Lost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost
}

// Unreached reports whether this host reaches no server over its own path, be the path lost or not: other hosts
// need not ask it.
func (d *Dialer) Unreached() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost || d.unreached
}

// State describes the known paths, for metrics.
type State struct {
	// Lost is set while the path to all servers counts as lost. LostServers is the number of servers
	// that only other hosts reach, FailedServers of those that nobody reaches.
	Lost                       bool
	LostServers, FailedServers int
}

// State returns a snapshot of the known paths.
func (d *Dialer) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := State{Lost: d.lost}
	for _, server := range d.servers {
		switch {
		case !server.lostAt.IsZero():
			s.LostServers++
		case !server.failedAt.IsZero():
			s.FailedServers++
		}
	}
	return s
}

// Dial connects to a server within connectTimeout. The error wraps ECONNREFUSED if the server's
// process is known to have ended, and ErrNoPath if nothing is known about the server.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	d.mu.Lock()
	if d.closed {
		d.mu.Unlock()
		return nil, errors.Newf("connect to %s: %w", address, net.ErrClosed)
	}
	d.attempts.Add(1)
	d.mu.Unlock()
	defer d.attempts.Done()
	return newAttempt(d, address).run(ctx)
}

// ReachesOther reports whether this host reaches another server than the one at an address over its own path
// right now: a refused connection may otherwise be the first sign that the path is lost. It tries one that it
// has reached before, and then any other one.
func (d *Dialer) ReachesOther(ctx context.Context, address string) bool {
	d.mu.Lock()
	other := d.reached
	if other == address {
		other = d.reachedBefore
	}
	d.mu.Unlock()
	if d.tryServer(ctx, other) {
		return true
	}
	return d.cfg.AnyServer != nil && d.tryServer(ctx, d.cfg.AnyServer(address, other))
}

// tryServer reports whether this host reaches a server over its own path; false for the empty address.
func (d *Dialer) tryServer(ctx context.Context, address string) bool {
	if address == "" || d.cfg.Cooling(address) {
		return false
	}
	conn, err := d.Connect(ctx, address)
	if err != nil {
		return false
	}
	tcp.Reset(conn)
	return true
}

// Connect connects to a server over this host's own path only.
func (d *Dialer) Connect(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.cfg.Direct(ctx, address)
	if err == nil {
		d.recordReached(address)
		return conn, nil
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		d.recordDirectFailure(address)
	}
	return nil, errors.Newf("connect directly: %w", err)
}
