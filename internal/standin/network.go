package standin

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// networkDelay is the one-way latency.
	networkDelay = time.Millisecond
	// networkWindow is the number of unread bytes in one direction of a connection at which the
	// writer blocks.
	networkWindow = 256 << 10
	// networkBacklog is the number of connections that may wait for Accept.
	networkBacklog = 128
	// firstOutgoingPort is the port after which local ports of outgoing connections are assigned.
	firstOutgoingPort = 20000
)

// Network simulates a network between hosts in memory, so that whole hosts run on simulated time.
// Hosts are identified by their IP addresses. Traffic can be blocked in one direction, and a host
// can lose power: its connections then stay silent forever, as nothing resets them. All methods
// are safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*networkListener
	// blocked contains the directions in which nothing is delivered, and refused those in which no
	// connection can be opened.
	blocked, refused map[direction]bool
	// resets counts how often the connections opened in a direction were reset.
	resets map[direction]int
	// powerLosses counts the power losses of each host, so that connections opened before the
	// last one stay silent.
	powerLosses map[string]int
	poweredOff  map[string]bool
	lastPort    int
	// delay is how long data takes from one host to another.
	delay time.Duration
	// changed is closed and replaced when any of the fields above changes.
	changed chan struct{}
}

// direction identifies the traffic from one host to another by their IP addresses.
type direction struct{ from, to string }

// NewNetwork returns a network. Hosts need no registration; they exist as soon as they listen or
// dial.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*networkListener{}, blocked: map[direction]bool{}, refused: map[direction]bool{},
		resets: map[direction]int{}, powerLosses: map[string]int{},
		poweredOff: map[string]bool{}, lastPort: firstOutgoingPort, delay: networkDelay, changed: make(chan struct{}),
	}
}

// Listen listens at an IP:PORT address, like net.Listen. It returns EADDRINUSE if the address is in
// use.
func (n *Network) Listen(_, address string) (net.Listener, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Newf("listen: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Newf("listen at %s: %w", address, syscall.EADDRINUSE)
	}
	l := &networkListener{network: n, address: addrPort, queue: make(chan net.Conn, networkBacklog), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialFrom returns the dial function of the host with an IP address.
func (n *Network) DialFrom(ip string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) { return n.dial(ctx, ip, address) }
}

// Cut blocks or unblocks a direction. Data in flight is delayed until the direction is unblocked.
func (n *Network) Cut(from, to string, block bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if block {
		n.blocked[direction{from, to}] = true
	} else {
		delete(n.blocked, direction{from, to})
	}
	n.notify()
}

// SetDelay sets how long data that is written from now on takes from one host to another.
func (n *Network) SetDelay(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

func (n *Network) delayOfData() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay
}

// Refuse makes a host's connections to another one be refused, or be accepted again. Open
// connections stay.
func (n *Network) Refuse(from, to string, refuse bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if refuse {
		n.refused[direction{from, to}] = true
	} else {
		delete(n.refused, direction{from, to})
	}
	n.notify()
}

// ResetConnections resets the connections that a host has opened to another one.
func (n *Network) ResetConnections(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resets[direction{from, to}]++
	n.notify()
}

// PowerOff simulates a power loss of a host: its connections become silent and its listening ports
// become free. The caller must stop what runs on the host.
func (n *Network) PowerOff(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.poweredOff[ip] = true
	n.powerLosses[ip]++
	for address, l := range n.listeners {
		if l.address.Addr().String() == ip {
			delete(n.listeners, address)
		}
	}
	n.notify()
}

// PowerOn restores a host's power.
func (n *Network) PowerOn(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.poweredOff, ip)
	n.notify()
}

// notify closes and replaces changed; mu must be held.
func (n *Network) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// deliverable reports whether data of a pipe is delivered now, and whether its connection was reset.
// The channel is closed at the next change of the network's state.
func (n *Network) deliverable(p *pipe) (delivers, reset bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lost := n.powerLosses[p.direction.from] != p.fromPowerLosses || n.powerLosses[p.direction.to] != p.toPowerLosses
	return !lost && !n.blocked[p.direction], n.resets[p.opened] != p.resets, n.changed
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Newf("dial: %w", err)
	}
	to := addrPort.Addr().String()
	select {
	case <-ctx.Done():
		return nil, errors.Newf("dial %s: %w", address, ctx.Err())
	case <-time.After(2 * networkDelay):
	}
	for {
		l, reachable, changed := n.lookup(from, to, address)
		if reachable && (l == nil || n.refuses(from, to)) {
			return nil, errors.Newf("dial %s: %w", address, syscall.ECONNREFUSED)
		}
		if reachable {
			client, server := n.connect(from, addrPort)
			select {
			case l.queue <- server:
				return client, nil
			case <-l.closed:
				return nil, errors.Newf("dial %s: %w", address, syscall.ECONNREFUSED)
			case <-ctx.Done():
				return nil, errors.Newf("dial %s: %w", address, ctx.Err())
			}
		}
		select {
		case <-ctx.Done():
			return nil, errors.Newf("dial %s: %w", address, ctx.Err())
		case <-changed:
		}
	}
}

// lookup returns the listener at an address, nil if there is none, and whether packets pass in both
// directions. changed is closed at the next change of the network's state.
func (n *Network) lookup(from, to, address string) (l *networkListener, reachable bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	reachable = !n.poweredOff[from] && !n.poweredOff[to] && !n.blocked[direction{from, to}] && !n.blocked[direction{to, from}]
	return n.listeners[address], reachable, n.changed
}

func (n *Network) refuses(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refused[direction{from, to}]
}

func (n *Network) connect(from string, addrPort netip.AddrPort) (client, server *networkConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastPort++
	local := netip.AddrPortFrom(netip.MustParseAddr(from), uint16(n.lastPort))
	to := addrPort.Addr().String()
	opened := direction{from, to}
	outbound := &pipe{network: n, direction: opened, opened: opened, resets: n.resets[opened], fromPowerLosses: n.powerLosses[from], toPowerLosses: n.powerLosses[to], changed: make(chan struct{})}
	inbound := &pipe{network: n, direction: direction{to, from}, opened: opened, resets: n.resets[opened], fromPowerLosses: n.powerLosses[to], toPowerLosses: n.powerLosses[from], changed: make(chan struct{})}
	client = &networkConn{in: inbound, out: outbound, local: net.TCPAddrFromAddrPort(local), remote: net.TCPAddrFromAddrPort(addrPort)}
	server = &networkConn{in: outbound, out: inbound, local: net.TCPAddrFromAddrPort(addrPort), remote: net.TCPAddrFromAddrPort(local)}
	return client, server
}

type networkListener struct {
	network *Network
	address netip.AddrPort
	queue   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *networkListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *networkListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if address := l.address.String(); l.network.listeners[address] == l {
			delete(l.network.listeners, address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *networkListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// pipe is one direction of a connection.
type pipe struct {
	network   *Network
	direction direction
	// fromPowerLosses and toPowerLosses are the numbers of power losses of the two hosts at the
	// time the connection was opened.
	fromPowerLosses, toPowerLosses int
	// opened is the direction in which the connection was opened, and resets how often such
	// connections were reset before.
	opened direction
	resets int

	mu sync.Mutex
	// The fields below are guarded by mu. segments are in flight or wait to be read.
	segments []segment
	size     int
	// writerClosed and readerClosed are set once that end has closed the connection.
	writerClosed, readerClosed bool
	// writerReset is set once the writer has reset the connection, which discards what was not read.
	writerReset                 bool
	readDeadline, writeDeadline time.Time
	changed                     chan struct{}
}

type segment struct {
	due  time.Time
	data []byte
}

// notify closes and replaces changed; mu must be held.
func (p *pipe) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) read(b []byte) (int, error) {
	for {
		delivers, reset, networkChanged := p.network.deliverable(p)
		p.mu.Lock()
		wait, changed := time.Duration(-1), p.changed
		switch {
		case p.readerClosed:
			p.mu.Unlock()
			return 0, net.ErrClosed
		case reset || p.writerReset && delivers:
			p.mu.Unlock()
			return 0, syscall.ECONNRESET
		case expired(p.readDeadline):
			p.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case delivers && len(p.segments) > 0:
			s := &p.segments[0]
			if wait = time.Until(s.due); wait <= 0 {
				n := copy(b, s.data)
				if s.data = s.data[n:]; len(s.data) == 0 {
					p.segments = p.segments[1:]
				}
				p.size -= n
				p.notify()
				p.mu.Unlock()
				return n, nil
			}
		case delivers && p.writerClosed:
			p.mu.Unlock()
			return 0, io.EOF
		}
		wait = minWait(wait, p.readDeadline)
		p.mu.Unlock()
		waitForChange(wait, changed, networkChanged)
	}
}

func (p *pipe) write(b []byte) (int, error) {
	for {
		delivers, reset, networkChanged := p.network.deliverable(p)
		p.mu.Lock()
		changed := p.changed
		switch {
		case p.writerClosed:
			p.mu.Unlock()
			return 0, net.ErrClosed
		case reset:
			p.mu.Unlock()
			return 0, syscall.ECONNRESET
		case p.readerClosed && delivers:
			p.mu.Unlock()
			return 0, syscall.EPIPE
		case expired(p.writeDeadline):
			p.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case p.size < networkWindow:
			p.segments = append(p.segments, segment{time.Now().Add(p.network.delayOfData()), append([]byte(nil), b...)})
			p.size += len(b)
			p.notify()
			p.mu.Unlock()
			return len(b), nil
		}
		wait := minWait(-1, p.writeDeadline)
		p.mu.Unlock()
		waitForChange(wait, changed, networkChanged)
	}
}

// update calls f with mu held and wakes the readers and writers.
func (p *pipe) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	p.notify()
}

func expired(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// minWait returns the shorter of wait and the time until deadline. A negative wait and a zero
// deadline mean no limit.
func minWait(wait time.Duration, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return wait
	}
	left := max(time.Until(deadline), 0)
	if wait < 0 || left < wait {
		return left
	}
	return wait
}

// waitForChange waits until a channel is closed or, unless wait is negative, wait has elapsed.
func waitForChange(wait time.Duration, changed, networkChanged <-chan struct{}) {
	if wait < 0 {
		select {
		case <-changed:
		case <-networkChanged:
		}
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-networkChanged:
	case <-timer.C:
	}
}

type networkConn struct {
	in, out       *pipe
	local, remote net.Addr
	// resets is set if Close resets the connection.
	resets atomic.Bool
}

// SetLinger is like that of net.TCPConn; with 0 seconds, Close resets the connection.
func (c *networkConn) SetLinger(sec int) error {
	c.resets.Store(sec == 0)
	return nil
}

// Read implements net.Conn.
func (c *networkConn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *networkConn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close implements net.Conn.
func (c *networkConn) Close() error {
	c.in.update(func() { c.in.readerClosed = true })
	c.out.update(func() {
		// Only the first Close has an effect.
		c.out.writerReset = c.out.writerReset || c.resets.Load() && !c.out.writerClosed
		c.out.writerClosed = true
	})
	return nil
}

// LocalAddr implements net.Conn.
func (c *networkConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *networkConn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *networkConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *networkConn) SetReadDeadline(t time.Time) error {
	c.in.update(func() { c.in.readDeadline = t })
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *networkConn) SetWriteDeadline(t time.Time) error {
	c.out.update(func() { c.out.writeDeadline = t })
	return nil
}
