package standin

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// networkDelay is the time that bytes are on their way.
	networkDelay = time.Millisecond
	// networkWindow is how many bytes one direction of a connection takes before the
	// writer waits.
	networkWindow = 256 << 10
	// networkBacklog is how many connections wait to be accepted.
	networkBacklog = 128
	// firstOutgoingPort is the first port of connections' near ends.
	firstOutgoingPort = 20000
)

// Network connects hosts in memory, so that whole hosts run on simulated time. Hosts are
// named by their IP addresses. A host can be cut off in one direction, and it can lose
// power: its connections then fall silent for good, as nobody resets them. All methods
// are safe from any goroutine.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*networkListener
	// cuts are the directions in which nothing arrives.
	cuts map[direction]bool
	// starts counts the times that a host was given power, so that connections of an
	// earlier start stay silent.
	starts map[string]int
	dark   map[string]bool
	ports  int
	// changed is closed and replaced when any of the above is another.
	changed chan struct{}
}

type direction struct{ from, to string }

// NewNetwork returns a network without hosts; each host appears as it listens or dials.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*networkListener{}, cuts: map[direction]bool{}, starts: map[string]int{},
		dark: map[string]bool{}, ports: firstOutgoingPort, changed: make(chan struct{}),
	}
}

// Listen takes connections at an address, as net.Listen does.
func (n *Network) Listen(_, address string) (net.Listener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Newf("listen: %w", err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Newf("listen at %s: %w", address, syscall.EADDRINUSE)
	}
	l := &networkListener{n: n, at: at, queue: make(chan net.Conn, networkBacklog), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialFrom returns the function with which a host connects to others.
func (n *Network) DialFrom(ip string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) { return n.dial(ctx, ip, address) }
}

// Cut takes a direction away, or gives it back. What is on its way then is held up.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cuts[direction{from, to}] = true
	} else {
		delete(n.cuts, direction{from, to})
	}
	n.wake()
}

// PowerOff takes a host's power: it is not heard any more, and its ports are free. What runs
// on it must be ended by the caller.
func (n *Network) PowerOff(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dark[ip] = true
	n.starts[ip]++
	for address, l := range n.listeners {
		if l.at.Addr().String() == ip {
			delete(n.listeners, address)
		}
	}
	n.wake()
}

// PowerOn gives a host its power back.
func (n *Network) PowerOn(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.dark, ip)
	n.wake()
}

// wake needs mu.
func (n *Network) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// passes reports whether bytes of a connection arrive, and what to wait for where not.
func (n *Network) passes(p *pipe) (bool, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lost := n.starts[p.way.from] != p.fromStart || n.starts[p.way.to] != p.toStart
	return !lost && !n.cuts[p.way], n.changed
}

func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Newf("dial: %w", err)
	}
	to := at.Addr().String()
	select {
	case <-ctx.Done():
		return nil, errors.Newf("dial %s: %w", address, ctx.Err())
	case <-time.After(2 * networkDelay):
	}
	for {
		l, reachable, changed := n.find(from, to, address)
		if reachable && l == nil {
			return nil, errors.Newf("dial %s: %w", address, syscall.ECONNREFUSED)
		}
		if reachable {
			near, far := n.connect(from, at)
			select {
			case l.queue <- far:
				return near, nil
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

// find returns who listens at an address, and whether a connection gets there and back.
func (n *Network) find(from, to, address string) (l *networkListener, reachable bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	reachable = !n.dark[from] && !n.dark[to] && !n.cuts[direction{from, to}] && !n.cuts[direction{to, from}]
	return n.listeners[address], reachable, n.changed
}

func (n *Network) connect(from string, at netip.AddrPort) (near, far *networkConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ports++
	local := netip.AddrPortFrom(netip.MustParseAddr(from), uint16(n.ports))
	to := at.Addr().String()
	there := &pipe{n: n, way: direction{from, to}, fromStart: n.starts[from], toStart: n.starts[to], changed: make(chan struct{})}
	back := &pipe{n: n, way: direction{to, from}, fromStart: n.starts[to], toStart: n.starts[from], changed: make(chan struct{})}
	near = &networkConn{in: back, out: there, local: net.TCPAddrFromAddrPort(local), remote: net.TCPAddrFromAddrPort(at)}
	far = &networkConn{in: there, out: back, local: net.TCPAddrFromAddrPort(at), remote: net.TCPAddrFromAddrPort(local)}
	return near, far
}

type networkListener struct {
	n      *Network
	at     netip.AddrPort
	queue  chan net.Conn
	closed chan struct{}
	once   sync.Once
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
		l.n.mu.Lock()
		defer l.n.mu.Unlock()
		if address := l.at.String(); l.n.listeners[address] == l {
			delete(l.n.listeners, address)
		}
	})
	return nil
}

// Addr implements net.Listener.
func (l *networkListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.at) }

// pipe is one direction of a connection.
type pipe struct {
	n   *Network
	way direction
	// fromStart and toStart are the starts of the two hosts that the connection is of.
	fromStart, toStart int

	mu sync.Mutex
	// segments are on their way or wait to be read; guarded by mu, as all below.
	segments []segment
	size     int
	// finished is set once the writer has closed, and gone once the reader has.
	finished, gone  bool
	readBy, writeBy time.Time
	changed         chan struct{}
}

type segment struct {
	due  time.Time
	data []byte
}

// wake needs mu.
func (p *pipe) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) read(b []byte) (int, error) {
	for {
		passes, network := p.n.passes(p)
		p.mu.Lock()
		wait, changed := time.Duration(-1), p.changed
		switch {
		case p.gone:
			p.mu.Unlock()
			return 0, net.ErrClosed
		case over(p.readBy):
			p.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case passes && len(p.segments) > 0:
			s := &p.segments[0]
			if wait = time.Until(s.due); wait <= 0 {
				n := copy(b, s.data)
				if s.data = s.data[n:]; len(s.data) == 0 {
					p.segments = p.segments[1:]
				}
				p.size -= n
				p.wake()
				p.mu.Unlock()
				return n, nil
			}
		case passes && p.finished:
			p.mu.Unlock()
			return 0, io.EOF
		}
		wait = sooner(wait, p.readBy)
		p.mu.Unlock()
		rest(wait, changed, network)
	}
}

func (p *pipe) write(b []byte) (int, error) {
	for {
		passes, network := p.n.passes(p)
		p.mu.Lock()
		changed := p.changed
		switch {
		case p.finished:
			p.mu.Unlock()
			return 0, net.ErrClosed
		case p.gone && passes:
			p.mu.Unlock()
			return 0, syscall.EPIPE
		case over(p.writeBy):
			p.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case p.size < networkWindow:
			p.segments = append(p.segments, segment{time.Now().Add(networkDelay), append([]byte(nil), b...)})
			p.size += len(b)
			p.wake()
			p.mu.Unlock()
			return len(b), nil
		}
		wait := sooner(-1, p.writeBy)
		p.mu.Unlock()
		rest(wait, changed, network)
	}
}

func (p *pipe) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	p.wake()
}

func over(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// sooner returns the shorter of a wait, below 0: none, and the time to a deadline.
func sooner(wait time.Duration, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return wait
	}
	left := max(time.Until(deadline), 0)
	if wait < 0 || left < wait {
		return left
	}
	return wait
}

func rest(wait time.Duration, changed, network <-chan struct{}) {
	if wait < 0 {
		select {
		case <-changed:
		case <-network:
		}
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-network:
	case <-timer.C:
	}
}

type networkConn struct {
	in, out       *pipe
	local, remote net.Addr
}

// Read implements net.Conn.
func (c *networkConn) Read(b []byte) (int, error) { return c.in.read(b) }

// Write implements net.Conn.
func (c *networkConn) Write(b []byte) (int, error) { return c.out.write(b) }

// Close implements net.Conn.
func (c *networkConn) Close() error {
	c.in.set(func() { c.in.gone = true })
	c.out.set(func() { c.out.finished = true })
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
	c.in.set(func() { c.in.readBy = t })
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *networkConn) SetWriteDeadline(t time.Time) error {
	c.out.set(func() { c.out.writeBy = t })
	return nil
}
