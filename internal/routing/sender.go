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
)

// The headers between an entry and a backend server.
const (
	// HeaderRequestID names a request; a server that knows the header sends it
	// back, so that an answer to another request is noticed.
	HeaderRequestID = "Fennelyard-Request-Id"
	// HeaderDeadline is the time left for the request, in milliseconds.
	HeaderDeadline = "Fennelyard-Deadline-Ms"
	// HeaderOutcome on an answer says not-run when the server did not run the
	// request.
	HeaderOutcome = "Fennelyard-Outcome"
	// HeaderPriority is the customer's priority; higher goes first.
	HeaderPriority = "Fennelyard-Priority"
	// HeaderOutstanding on an answer is the number of requests at the server.
	HeaderOutstanding = "Fennelyard-Outstanding"
	// HeaderCustomer names the customer.
	HeaderCustomer = "Fennelyard-Customer"

	outcomeNotRun = "not-run"
)

const (
	connectTimeout = time.Second
	// A pooled connection is trusted only this long after something came back
	// on it: something between the ends may have lost track of it since.
	trustIdle         = 2 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	poolPerServer     = 64
)

// Errors of a call. ErrNotRun is wrapped into those that prove that the server
// cannot have run the request.
var (
	ErrNotRun     = errors.New("the request did not reach the server")
	ErrMisrouted  = errors.New("the answer belongs to another request")
	ErrSilent     = errors.New("the connection went silent")
	ErrTooLarge   = errors.New("the answer is too large")
	ErrIncomplete = errors.New("the answer is incomplete")
)

// Call is one request to a backend server.
type Call struct {
	Address   string
	Method    string
	Path      string
	Header    http.Header
	Body      []byte
	RequestID string
	// NewConnection opens a connection for this call alone: for requests that must not
	// run twice.
	NewConnection bool
	// SilenceTimeout is how long a reused connection may be silent before the call
	// is given up with ErrSilent; 0 means until the context ends.
	SilenceTimeout time.Duration
}

// Sender sends calls over pooled connections. It is safe from any goroutine.
type Sender struct {
	pooled *http.Client
	fresh  *http.Client
}

// NewSender returns a sender with empty pools.
func NewSender() *Sender {
	return &Sender{
		pooled: &http.Client{Transport: newTransport(false), CheckRedirect: keepRedirect},
		fresh:  &http.Client{Transport: newTransport(true), CheckRedirect: keepRedirect},
	}
}

func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func newTransport(fresh bool) *http.Transport {
	d := &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Newf("connect: %v: %w", err, ErrNotRun)
			}
			if counter, ok := ctx.Value(counterKey{}).(*atomic.Int64); ok && fresh {
				return &countingConn{Conn: conn, written: counter}, nil
			}
			return conn, nil
		},
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		IdleConnTimeout:     trustIdle,
		MaxIdleConnsPerHost: poolPerServer,
	}
}

type counterKey struct{}

// countingConn counts what was handed to the kernel. Before the first byte the
// server cannot have run anything.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	// Counted before the write: a write that fails may still have sent bytes.
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Reply is the head of an answer with its body still to be read.
type Reply struct {
	status int
	header http.Header
	body   io.ReadCloser
	cancel context.CancelFunc
	// firstByte is the time from the call to the answer's head.
	firstByte time.Duration
}

// Status returns the HTTP status.
func (r *Reply) Status() int { return r.status }

// Header returns the answer's header.
func (r *Reply) Header() http.Header { return r.header }

// Body returns the answer's body.
func (r *Reply) Body() io.Reader { return r.body }

// FirstByte returns the time to the answer's head.
func (r *Reply) FirstByte() time.Duration { return r.firstByte }

// NotRun reports whether the server itself said that it did not run the request.
func (r *Reply) NotRun() bool { return r.header.Get(HeaderOutcome) == outcomeNotRun }

// Outstanding returns the server's own count of requests, or -1.
func (r *Reply) Outstanding() int {
	n, err := strconv.Atoi(r.header.Get(HeaderOutstanding))
	if err != nil || n < 0 {
		return -1
	}
	return n
}

// Close frees the connection.
func (r *Reply) Close() {
	r.cancel()
	_ = r.body.Close()
}

// ReadAll reads a whole body of at most limit bytes. A body that ends early or
// is longer is an error: a truncated answer must not pass as whole.
func (r *Reply) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.body, limit+1))
	if err != nil {
		return nil, errors.Newf("read answer: %v: %w", err, ErrIncomplete)
	}
	if int64(len(data)) > limit {
		return nil, errors.Newf("more than %d bytes: %w", limit, ErrTooLarge)
	}
	return data, nil
}

// Send makes a call and returns the head of its answer. An error that wraps
// ErrNotRun proves that the server did not run it.
func (s *Sender) Send(ctx context.Context, c Call) (*Reply, error) {
	began := time.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := func() { cancel(context.Canceled) }
	var written atomic.Int64
	ctx = context.WithValue(ctx, counterKey{}, &written)
	client := s.pooled
	if c.NewConnection {
		client = s.fresh
	}
	watch := newSilenceWatch(c.SilenceTimeout, func() { cancel(ErrSilent) })
	defer watch.stop()
	q, err := newRequest(httptrace.WithClientTrace(ctx, watch.trace()), c)
	if err != nil {
		stop()
		return nil, errors.Newf("%v: %w", err, ErrNotRun)
	}
	resp, err := client.Do(q)
	if err != nil {
		cause := context.Cause(ctx)
		stop()
		if errors.Is(cause, ErrSilent) {
			// Its siblings of the same age may have been lost with it.
			client.CloseIdleConnections()
		}
		return nil, explain(err, cause, c, written.Load())
	}
	if id := resp.Header.Get(HeaderRequestID); id != "" && id != c.RequestID {
		stop()
		_ = resp.Body.Close()
		client.CloseIdleConnections()
		return nil, errors.Newf("asked %s, answered %s: %w", c.RequestID, id, ErrMisrouted)
	}
	return &Reply{
		status: resp.StatusCode, header: resp.Header, body: resp.Body,
		cancel: stop, firstByte: time.Since(began),
	}, nil
}

func explain(err, cause error, c Call, written int64) error {
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
		if !isHopHeader(k) {
			q.Header[k] = v
		}
	}
	q.Header.Set(HeaderRequestID, c.RequestID)
	if deadline, ok := ctx.Deadline(); ok {
		q.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	if c.NewConnection {
		// The library would send a request without a body again by itself when
		// a connection breaks; a body that cannot be had again forbids it.
		q.GetBody = nil
	}
	return q, nil
}

// isHopHeader names the headers that belong to one connection.
func isHopHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te", "trailer",
		"transfer-encoding", "upgrade", "proxy-connection", "content-length", "accept-encoding":
		return true
	}
	return false
}

// silenceWatch ends a call on a reused connection that stays silent: the caller
// sees a hang, because the connection was lost between the ends while both
// believe in it. A fresh connection has proved itself by its handshake.
type silenceWatch struct {
	patience time.Duration
	silent   func()
	mu       sync.Mutex
	// timer is nil until a reused connection is in use; guarded by mu.
	timer *time.Timer
}

func newSilenceWatch(patience time.Duration, silent func()) *silenceWatch {
	return &silenceWatch{patience: patience, silent: silent}
}

func (w *silenceWatch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if !info.Reused || w.patience == 0 {
				return
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			w.timer = time.AfterFunc(w.patience, w.silent)
		},
		GotFirstResponseByte: w.stop,
	}
}

func (w *silenceWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.pooled.CloseIdleConnections()
	s.fresh.CloseIdleConnections()
}
