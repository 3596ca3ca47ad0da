package routing

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/bound"
	"fennelyard/internal/path"
	"fennelyard/internal/relay"
)

// The headers between an entry and a backend server.
const (
	// HeaderRequestID identifies a request. A server that knows the header returns
	// it, so that a response to another request is detected.
	HeaderRequestID = "Fennelyard-Request-Id"
	// HeaderDeadline is the time until the request's deadline, in milliseconds.
	HeaderDeadline = "Fennelyard-Deadline-Ms"
	// HeaderOutcome in a response is not-run if the server did not run the
	// request.
	HeaderOutcome = "Fennelyard-Outcome"
	// HeaderPriority is the customer's priority; higher is served first.
	HeaderPriority = "Fennelyard-Priority"
	// HeaderOutstanding in a response is the number of requests at the server.
	HeaderOutstanding = "Fennelyard-Outstanding"
	// HeaderCustomer is the name of the customer.
	HeaderCustomer = "Fennelyard-Customer"
	// HeaderIncarnation in a response to a GET of IncarnationPath is the number of the incarnation that responds.
	HeaderIncarnation = "Fennelyard-Incarnation"

	outcomeNotRun = "not-run"
)

// IncarnationPath is where a backend server names its incarnation.
const IncarnationPath = "/fennelyard/v1/incarnation"

const (
	connectTimeout = time.Second
	// idleConnTimeout is the time after which an idle connection is closed: a
	// middlebox may have dropped its state of the connection in the meantime.
	idleConnTimeout       = 2 * time.Second
	keepAliveIdle         = 2 * time.Second
	keepAliveInterval     = time.Second
	keepAliveCount        = 3
	maxIdleConnsPerServer = 64
)

// Errors of a call. An error wraps ErrNotRun if the server is proved not to have run
// the request.
var (
	ErrNotRun = errors.New("the request did not reach the server")
	// ErrNoPath means that this host reaches no server, over its own path or others. It wraps ErrNotRun.
	ErrNoPath             = errors.Newf("no path to the servers: %w", ErrNotRun)
	ErrMismatchedResponse = errors.New("the answer belongs to another request")
	ErrSilent             = errors.New("the connection went silent")
	ErrIncomplete         = errors.New("the answer is incomplete")
)

// Call is one request to a backend server.
type Call struct {
	Address   string
	Method    string
	Path      string
	Header    http.Header
	Body      []byte
	RequestID string
	// NewConnection opens a connection for this call only: required for requests
	// that must not run twice.
	NewConnection bool
	// SilenceTimeout is the time without a response on a reused connection after
	// which the call fails with ErrSilent; 0 means no timeout.
	SilenceTimeout time.Duration
	// MaySend, if set, is called once a new connection is established, and the request is not sent
	// if it returns false: it may take until connectTimeout to connect.
	MaySend func() bool
	// VerifyEnd, if set, is called when a response without a length or chunks ends with its
	// connection, see relay.NewBody.
	VerifyEnd func() relay.Presence
}

// Sender sends calls over pooled connections. It is safe for concurrent use.
type Sender struct {
	pooled   *http.Client
	unpooled *http.Client
}

// SenderConfig configures a Sender.
type SenderConfig struct {
	// Dial connects to a server; nil means Dial over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// NewSender returns a Sender with empty connection pools.
func NewSender(cfg SenderConfig) *Sender {
	if cfg.Dial == nil {
		cfg.Dial = Dial
	}
	return &Sender{
		pooled:   &http.Client{Transport: newTransport(cfg, false), CheckRedirect: noRedirects},
		unpooled: &http.Client{Transport: newTransport(cfg, true), CheckRedirect: noRedirects},
	}
}

// Dial connects to an address over TCP.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

func noRedirects(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// newTransport returns a transport that reuses connections or, if unpooled is true,
// opens one for each request and counts the bytes written to it.
func newTransport(cfg SenderConfig, unpooled bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			conn, err := cfg.Dial(ctx, address)
			if errors.Is(err, path.ErrNoPath) {
				return nil, errors.Newf("connect: %v: %w", err, ErrNoPath)
			}
			if err != nil {
				return nil, errors.Newf("connect: %v: %w", err, ErrNotRun)
			}
			if maySend, ok := ctx.Value(maySendKey{}).(func() bool); ok && maySend != nil && !maySend() {
				_ = conn.Close()
				return nil, ErrCooldown
			}
			if counter, ok := ctx.Value(writtenBytesKey{}).(*atomic.Int64); ok && unpooled {
				return &countingConn{Conn: conn, written: counter}, nil
			}
			return conn, nil
		},
		DisableKeepAlives:      unpooled,
		DisableCompression:     true,
		IdleConnTimeout:        idleConnTimeout,
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		MaxResponseHeaderBytes: bound.HeadBytes,
	}
}

type (
	writtenBytesKey struct{}
	maySendKey      struct{}
)

// countingConn counts the bytes passed to the kernel. Before the first byte the
// server cannot have run the request.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	// Counted before the write: a write that fails may have sent some bytes.
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Response is a server's response whose header was received and whose body is still to be
// read.
type Response struct {
	status int
	header http.Header
	body   *relay.Body
	// length is the stated length of the body, negative if there is none.
	length int64
	// closeBody closes the connection, or returns it to the pool.
	closeBody func() error
	cancel    context.CancelFunc
	// firstByte is the time from the call to the response header.
	firstByte time.Duration
	// via is the host that carried the connection, empty for none.
	via string
}

// Via returns the address of the host through which the response arrived, empty for a direct connection.
func (r *Response) Via() string { return r.via }

// Status returns the HTTP status.
func (r *Response) Status() int { return r.status }

// Header returns the response header.
func (r *Response) Header() http.Header { return r.header }

// Body returns the response body, which fails with relay.ErrInterrupted if it ends early.
func (r *Response) Body() io.Reader { return r.body }

// Length returns the stated length of the body in bytes, negative if there is none.
func (r *Response) Length() int64 { return r.length }

// Complete reports whether the body was read to an end that is proved to be its regular
// one.
func (r *Response) Complete() bool { return r.body.Complete() }

// FirstByte returns the time from the call to the response header.
func (r *Response) FirstByte() time.Duration { return r.firstByte }

// NotRun reports whether the server declared that it did not run the request.
func (r *Response) NotRun() bool { return r.header.Get(HeaderOutcome) == outcomeNotRun }

// Outstanding returns the number of requests that the server reports, or -1.
func (r *Response) Outstanding() int {
	n, err := strconv.Atoi(r.header.Get(HeaderOutstanding))
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// Close cancels the call and closes the body.
func (r *Response) Close() {
	r.cancel()
	// The connection is not used again if that fails.
	_ = r.closeBody()
}

// Send makes a call and returns its response once the header is received. An error
// that wraps ErrNotRun proves that the server did not run the request.
func (s *Sender) Send(ctx context.Context, c Call) (*Response, error) {
	start := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := func() { cancel(context.Canceled) }
	var written atomic.Int64
	ctx = context.WithValue(ctx, writtenBytesKey{}, &written)
	ctx = context.WithValue(ctx, maySendKey{}, c.MaySend)
	client := s.pooled
	if c.NewConnection {
		client = s.unpooled
	}
	silence := newSilenceTimer(c.SilenceTimeout, func() { cancel(ErrSilent) })
	defer silence.stop()
	var via string
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { via = viaOf(info.Conn) }}
	q, err := newRequest(httptrace.WithClientTrace(httptrace.WithClientTrace(ctx, silence.trace()), trace), c)
	if err != nil {
		stop()
		return nil, errors.Newf("%v: %w", err, ErrNotRun)
	}
	resp, err := client.Do(q)
	if err != nil {
		cause := context.Cause(ctx)
		stop()
		if errors.Is(cause, ErrSilent) {
			// Other idle connections of the same age may be lost too.
			client.CloseIdleConnections()
		}
		return nil, callError(bound.ShortError(err), cause, c, written.Load())
	}
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != c.RequestID {
		stop()
		_ = resp.Body.Close()
		client.CloseIdleConnections()
		return nil, bound.ShortError(errors.Newf("asked %s, answered %s: %w", c.RequestID, id, ErrMismatchedResponse))
	}
	var stopsAt time.Time
	if deadline, ok := ctx.Deadline(); ok {
		stopsAt = relay.StopTime(deadline)
	}
	return &Response{
		status: resp.StatusCode, header: resp.Header, length: resp.ContentLength, body: relay.NewBody(resp, stopsAt, c.VerifyEnd), closeBody: resp.Body.Close,
		cancel: stop, firstByte: time.Since(start), via: via,
	}, nil
}

// Identify asks the server at an address on a new connection for its incarnation. It returns
// relay.PresenceConfirmed if that is the one with a number, relay.PresenceReplaced for any other response, and
// relay.PresenceSilent for none.
func (s *Sender) Identify(ctx context.Context, address, requestID string, incarnation uint64) relay.Presence {
	ctx, cancel := context.WithTimeout(ctx, relay.IdentifyTimeout)
	defer cancel()
	response, err := s.Send(ctx, Call{
		Address: address, Method: http.MethodGet, Path: IncarnationPath, RequestID: requestID, NewConnection: true,
	})
	if err != nil {
		return relay.PresenceSilent
	}
	defer response.Close()
	named, err := strconv.ParseUint(response.Header().Get(HeaderIncarnation), 10, 64)
	if err == nil && named == incarnation && response.Status() == http.StatusOK {
		return relay.PresenceConfirmed
	}
	return relay.PresenceReplaced
}

// viaOf returns the address of the host that carries a connection, empty for none.
func viaOf(conn net.Conn) string {
	if c, ok := conn.(*countingConn); ok {
		conn = c.Conn
	}
	if c, ok := conn.(interface{ Via() string }); ok {
		return c.Via()
	}
	return ""
}

// callError wraps the error of a call with its address, and with ErrNotRun or
// ErrSilent where that applies. written is the number of bytes written.
func callError(err, cause error, c Call, written int64) error {
	switch {
	case errors.Is(err, ErrNotRun):
		return errors.Newf("call %s: %w", c.Address, err)
	case c.NewConnection && written == 0:
		return errors.Newf("call %s: %v: %w", c.Address, err, ErrNotRun)
	case errors.Is(cause, ErrSilent):
		return errors.Newf("call %s: %w", c.Address, ErrSilent)
	}
	return errors.Newf("call %s: %w", c.Address, err)
}

func newRequest(ctx context.Context, c Call) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, c.Method, "http://"+c.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, errors.Newf("make request: %w", err)
	}
	for k, v := range c.Header {
		if !isHopByHopHeader(k) {
			q.Header[k] = v
		}
	}
	q.Header.Set(HeaderRequestID, c.RequestID)
	if deadline, ok := ctx.Deadline(); ok {
		q.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if c.NewConnection {
		// net/http would retry a request without a body when its connection
		// breaks; a body that cannot be read again prevents that.
		q.GetBody = nil
	}
	return q, nil
}

// isHopByHopHeader reports whether a header field applies to a single connection and
// must not be forwarded.
func isHopByHopHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
		"transfer-encoding", "upgrade", "proxy-connection", "content-length", "accept-encoding":
		return true
	}
	return false
}

// silenceTimer ends a call on a reused connection that stays silent: the connection
// may have been lost on the path while both ends still consider it open, and the
// call would hang. A new connection is proved to work by its handshake.
type silenceTimer struct {
	timeout   time.Duration
	onTimeout func()
	mu        sync.Mutex
	// timer is nil until a reused connection is in use; guarded by mu.
	timer *time.Timer
}

func newSilenceTimer(timeout time.Duration, onTimeout func()) *silenceTimer {
	return &silenceTimer{timeout: timeout, onTimeout: onTimeout}
}

func (s *silenceTimer) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if !info.Reused || s.timeout == 0 {
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.timer = time.AfterFunc(s.timeout, s.onTimeout)
		},
		GotFirstResponseByte: s.stop,
	}
}

func (s *silenceTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.pooled.CloseIdleConnections()
	s.unpooled.CloseIdleConnections()
}
