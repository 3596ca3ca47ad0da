// Package listener accepts connections within limits that hold for the sum of all connections of a process, whoever
// opens them.
//
// The listeners of a process share its descriptors and its memory with the connections and files that the process opens
// itself. Each port has a part of both. Where a port has as many connections as it may, a new one replaces the connection
// that has been waiting for a request for the longest time. What heads of requests take beside the few bytes that
// each may take comes from one budget, and messages of calls between hosts that have not arrived in full take from another one.
package listener

import (
	"cmp"
	"container/list"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"fennelyard/internal/memory"
)

const (
	// filesDivisor is the inverse of the part of the descriptors that no port has: a process opens files of the system.
	filesDivisor = 16
	// headsDivisor is the inverse of the part of the memory that heads of requests may take, and messagesDivisor of that for
	// messages that have not arrived in full. minHeadBytes and minMessageBytes are the least of both, and defaultHeadBytes and
	// defaultMessageBytes apply where the memory of the process is not known, the latter more than the longest message.
	headsDivisor        = 16
	messagesDivisor     = 8
	minHeadBytes        = 2 << 20
	minMessageBytes     = 4 << 20
	defaultHeadBytes    = 32 << 20
	defaultMessageBytes = 96 << 20
	// defaultDescriptors is used where the system does not tell the limit.
	defaultDescriptors = 1024
	// minConnections is the least number of connections of a port.
	minConnections = 8
	// refusingDivisor is the inverse of the part of a port's connections on which requests are refused: without it,
	// callers would see a closed connection in place of a time to return.
	refusingDivisor = 16
	// logInterval is the least time between two log lines of a port on connections that were closed.
	logInterval = time.Second
)

//go:generate go tool stringer -type=Port,Reason -linecomment -output=enum_string.go

// Port is what a port is for.
type Port int

// The ports.
const (
	PortCallers   Port = iota // callers
	PortReadiness             // readiness
	PortDirectory             // directory
	PortOperators             // operators
	PortBackends              // backend-servers
	PortHosts                 // hosts
	PortMetrics               // metrics
)

// Reason is why a connection was closed or refused.
type Reason int

// The reasons.
const (
	// ReasonReplaced: the connection was waiting for a request, and a new one took its place.
	ReasonReplaced Reason = iota // replaced
	// ReasonBusy: all connections of the port had a request.
	ReasonBusy // all-busy
	// ReasonPartial: there was no memory for the head of a request, or for a message of a call.
	ReasonPartial // no-memory-for-partial
	// ReasonHeadBytes: the head of the request was too long.
	ReasonHeadBytes // head-too-long
	// ReasonMalformed: the bytes were no frames of the protocol for calls between hosts.
	ReasonMalformed // malformed
)

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Descriptors is the number of descriptors of the process; 0, or more than the system allows: as many as the system
	// allows.
	Descriptors int
	// MemoryBytes is the memory of the process; 0: not known.
	MemoryBytes int64
	// HeadBytes is the memory for heads of requests, and MessageBytes that for messages that have not arrived in full;
	// 0: by the memory of the process.
	HeadBytes, MessageBytes int64
	// OnClosed, if set, receives each connection that is closed, or whose request is refused.
	OnClosed func(Port, Reason)
	Log      logr.Logger
}

// Budget is what the connections that a process has accepted may take. It is safe for concurrent use.
type Budget struct {
	cfg BudgetConfig
	// heads is the memory for heads of requests, until these have ended, and messages that for messages that have not
	// arrived in full. They are apart, so that no crowd of callers or operators keeps hosts from each other.
	heads, messages *memory.Budget
}

// NewBudget returns a Budget of which nothing is taken.
func NewBudget(cfg BudgetConfig) *Budget {
	allowed := systemDescriptors()
	if cfg.Descriptors <= 0 || cfg.Descriptors > allowed {
		cfg.Descriptors = allowed
	}
	cfg.Descriptors -= cfg.Descriptors / filesDivisor
	heads, messages := int64(defaultHeadBytes), int64(defaultMessageBytes)
	if cfg.MemoryBytes > 0 {
		heads, messages = max(cfg.MemoryBytes/headsDivisor, minHeadBytes), max(cfg.MemoryBytes/messagesDivisor, minMessageBytes)
	}
	return &Budget{
		cfg:      cfg,
		heads:    memory.NewBudget(memory.Config{Bytes: cmp.Or(cfg.HeadBytes, heads)}),
		messages: memory.NewBudget(memory.Config{Bytes: cmp.Or(cfg.MessageBytes, messages)}),
	}
}

func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}
	const unlimited = 1 << 20
	return int(min(limit.Cur, unlimited))
}

// RegisterGauges registers the gauges of what all ports share with a function that takes a name, a help text and what to read.
func (b *Budget) RegisterGauges(register func(name, help string, read func() float64)) {
	for _, part := range []struct {
		name, what string
		budget     *memory.Budget
	}{
		{"head_bytes", "heads of requests", b.heads},
		{"message_bytes", "messages of calls that have not arrived in full", b.messages},
	} {
		register(part.name, "Memory that "+part.what+" take.", func() float64 { return float64(part.budget.Used()) })
		register(part.name+"_most", "Most memory that "+part.what+" have taken at a time.", func() float64 { return float64(part.budget.Most()) })
		register(part.name+"_limit", "Memory that "+part.what+" may take.", func() float64 { return float64(part.budget.Limit()) })
	}
}

// PortConfig configures a Listener. All fields are required unless noted otherwise.
type PortConfig struct {
	Port  Port
	Share Share
	// MaxHeadBytes returns how long the head of a request may be; nil: no longer than the HTTP server allows.
	MaxHeadBytes func() int
	// MinWait returns how long a connection may at least be idle, and a head take to arrive; nil: as the HTTP server has it.
	MinWait func() time.Duration
}

// Listener accepts the connections of a port. It implements net.Listener.
type Listener struct {
	net.Listener
	budget *Budget
	cfg    PortConfig
	// partial is what heads, or messages of calls, take from.
	partial *memory.Budget
	// connectionBytes is what a connection takes by estimate.
	connectionBytes int64
	// calls is set for a port for calls between hosts.
	calls bool
	limit int

	mu sync.Mutex
	// open is the number of open connections, at most limit.
	open int
	// waiting holds the connections that wait for a request or whose head has not arrived in full, receiving those whose
	// request has a body that has not, and used those with a call, each with the one that may be closed first at the
	// front. holding holds those of all whose head or messages take from the budget, the oldest at the front.
	waiting, receiving, used, holding *list.List
	// closed counts the connections closed since the last log line, at logged. All guarded by mu.
	closed int
	logged time.Time
}

const (
	// httpConnectionBytes is what a connection to an HTTP server takes by estimate: buffers, a goroutine, and what
	// each head and body may take beside the budgets.
	httpConnectionBytes = 32 << 10
	// callConnectionBytes is what a connection to a server of calls takes by estimate: buffers and three goroutines.
	callConnectionBytes = 64 << 10
)

// Listen returns a Listener for a port with an HTTP server, see NewServer.
func (b *Budget) Listen(l net.Listener, cfg PortConfig) *Listener {
	return b.listen(l, cfg, false)
}

// ListenCalls returns a Listener for a port with a gRPC server.
func (b *Budget) ListenCalls(l net.Listener, cfg PortConfig) *Listener {
	return b.listen(l, cfg, true)
}

func (b *Budget) listen(l net.Listener, cfg PortConfig, calls bool) *Listener {
	out := &Listener{
		Listener: l, budget: b, cfg: cfg, partial: b.heads, calls: calls, connectionBytes: httpConnectionBytes,
		waiting: list.New(), receiving: list.New(), used: list.New(), holding: list.New(),
	}
	if calls {
		out.connectionBytes, out.partial = callConnectionBytes, b.messages
	}
	out.limit = int(cfg.Share.Descriptors * float64(b.cfg.Descriptors))
	if b.cfg.MemoryBytes > 0 {
		out.limit = min(out.limit, int(cfg.Share.Memory*float64(b.cfg.MemoryBytes)/float64(out.connectionBytes)))
	}
	out.limit = max(out.limit, minConnections)
	b.cfg.Log.Info("port limited", "port", cfg.Port.String(), "address", l.Addr().String(), "connections", out.limit, "descriptors", b.cfg.Descriptors,
		"memory-bytes", b.cfg.MemoryBytes, "partial-bytes", out.partial.Limit())
	return out
}

// Limit returns the most connections that are open at a time.
func (l *Listener) Limit() int { return l.limit }

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// RegisterGauges registers the gauges of the port like Budget.RegisterGauges.
func (l *Listener) RegisterGauges(register func(name, help string, read func() float64)) {
	name := strings.ReplaceAll(l.cfg.Port.String(), "-", "_")
	register("connections_"+name, "Connections that are open at the port for "+l.cfg.Port.String()+".", func() float64 { return float64(l.Open()) })
	register("connections_"+name+"_limit", "Connections that may be open at the port for "+l.cfg.Port.String()+".", func() float64 { return float64(l.limit) })
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			// The servers tell temporary errors from others by their type.
			return nil, err
		}
		if l.calls {
			c := &callConn{base: base{Conn: raw, l: l}, prefaceLeft: prefaceBytes, streams: map[uint32]*callStream{}}
			if l.add(&c.base) {
				return c, nil
			}
		} else {
			c := &conn{base: base{Conn: raw, l: l}}
			if l.add(&c.base) {
				return c, nil
			}
		}
		_ = raw.Close()
	}
}

// add adds a connection, and closes another one if there are too many. It returns false if none may be closed.
func (l *Listener) add(c *base) bool {
	l.mu.Lock()
	var replaced []*base
	added := true
	// A part of the connections is kept for refusals.
	if refusing := l.limit / refusingDivisor; l.open >= l.limit-refusing {
		first := l.first()
		switch {
		case first != nil:
			replaced = append(replaced, l.replace(first, ReasonReplaced))
		case l.open < l.limit:
			c.refused = true
		default:
			added = false
			l.recordClosed(c.Conn, ReasonBusy)
		}
	}
	if added {
		l.open++
		c.share = l.partial.NewShare()
		c.moveTo(l.waiting)
	}
	l.mu.Unlock()
	closeAll(replaced)
	return added
}

// closeAll closes the descriptors of connections that are not counted any more.
func closeAll(conns []*base) {
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}

// first returns the connection that may be closed first, nil for none. l.mu must be held.
func (l *Listener) first() *base {
	for _, in := range []*list.List{l.waiting, l.receiving, l.used} {
		if e := in.Front(); e != nil {
			return e.Value.(*base)
		}
	}
	return nil
}

// replace takes a connection out that another goroutine may be reading. The caller must close it with closeAll once it has
// released l.mu, which must be held.
func (l *Listener) replace(c *base, reason Reason) *base {
	l.drop(c, reason)
	c.closed = true
	l.open--
	return c
}

// drop makes a connection return nothing any more that it receives. It counts until its owner closes it. l.mu must be held.
func (l *Listener) drop(c *base, reason Reason) {
	c.dropped = true
	c.remove()
	l.recordClosed(c.Conn, reason)
}

// recordClosed counts a connection that was closed or refused. l.mu must be held.
func (l *Listener) recordClosed(c net.Conn, reason Reason) {
	if l.budget.cfg.OnClosed != nil {
		l.budget.cfg.OnClosed(l.cfg.Port, reason)
	}
	l.closed++
	if now := time.Now(); now.Sub(l.logged) > logInterval {
		l.budget.cfg.Log.Info("connections closed", "port", l.cfg.Port.String(), "count", l.closed, "last-reason", reason.String(),
			"last-from", c.RemoteAddr().String(), "open", l.open, "limit", l.limit, "partial-bytes", l.partial.Used())
		l.closed, l.logged = 0, now
	}
}

// grow makes what a connection has taken n bytes, and closes others that have held partial heads or messages for minAge if there is
// not enough, the oldest first. It returns those, which the caller must close with closeAll once it has released l.mu, and
// whether there is enough now. l.mu must be held.
func (l *Listener) grow(c *base, n int64, minAge time.Duration) (replaced []*base, enough bool) {
	for !c.share.Resize(n) {
		e := l.holding.Front()
		if e == nil || e.Value.(*base) == c || time.Since(e.Value.(*base).holdingSince) < minAge {
			return replaced, false
		}
		replaced = append(replaced, l.replace(e.Value.(*base), ReasonPartial))
	}
	switch {
	case n <= memory.FreeBytes:
		c.removeFromHolding()
	case c.holding == nil && c.element != nil:
		c.holding, c.holdingSince = l.holding.PushBack(c), time.Now()
	}
	return replaced, true
}

// base is what connections of HTTP servers and of servers of calls have in common.
type base struct {
	net.Conn
	l *Listener
	// element is the connection's place in in, nil while it may not be closed, and holding that in Listener.holding since
	// holdingSince. These and all fields below are guarded by l.mu.
	element, holding *list.Element
	in               *list.List
	holdingSince     time.Time
	// share is what the head or the messages take.
	share *memory.Share
	// refused is set if requests on this connection are refused.
	refused bool
	// dropped is set once the connection was closed at a limit, and closed once it is not counted any more.
	dropped, closed bool
}

// remove makes the connection one that may not be closed, and returns what it has taken. l.mu must be held.
func (c *base) remove() {
	c.keep()
	c.share.Release()
}

// keep makes the connection one that may not be closed. l.mu must be held.
func (c *base) keep() {
	if c.element != nil {
		c.in.Remove(c.element)
		c.element = nil
	}
	c.removeFromHolding()
}

// moveTo makes the connection the last one to be closed of a list. l.mu must be held.
func (c *base) moveTo(in *list.List) {
	if c.element != nil {
		c.in.Remove(c.element)
	}
	c.element, c.in = in.PushBack(c), in
}

func (c *base) removeFromHolding() {
	if c.holding != nil {
		c.l.holding.Remove(c.holding)
		c.holding = nil
	}
}

// Close implements net.Conn.
func (c *base) Close() error {
	c.l.mu.Lock()
	if !c.closed {
		c.closed = true
		c.remove()
		c.l.open--
	}
	c.l.mu.Unlock()
	return c.Conn.Close()
}

// SetLinger sets how long closing waits for data that is not sent, see tcp.Reset.
func (c *base) SetLinger(seconds int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return conn.SetLinger(seconds)
	}
	return errNotTCP
}

// CloseWrite closes the connection for sending.
func (c *base) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return errNotTCP
}

// SyscallConn implements syscall.Conn.
func (c *base) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errNotTCP
}

// errNotTCP is returned for options of connections that are not TCP.
var errNotTCP = errors.New("not a TCP connection")
