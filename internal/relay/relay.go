// Package relay sends one request to one backend server over HTTP/1.1 and reads
// the response. It never retries, and its errors report whether the request may
// have been executed, so that the caller can decide whether to retry.
package relay

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/bound"
	"fennelyard/internal/tcp"
)

var (
	// ErrNotSent reports that no byte of the request was sent: it was not executed.
	ErrNotSent = errors.New("the request was not sent")
	// ErrInterrupted reports that the exchange failed after a byte may have been
	// sent: the request may have been executed.
	ErrInterrupted = errors.New("the exchange was interrupted")
	// ErrWithheld reports that MaySend returned false. It wraps ErrNotSent.
	ErrWithheld = errors.Newf("the request was withheld: %w", ErrNotSent)
	// ErrNotForwarded reports that the host through which the connection is made has dropped the request. It
	// wraps ErrNotSent.
	ErrNotForwarded = errors.Newf("the request was not forwarded: %w", ErrNotSent)
	// ErrMismatchedResponse reports that the responses received are not for this
	// request.
	ErrMismatchedResponse = errors.New("the response belongs to another request")
)

const (
	// maxMismatchedResponses is the number of responses to other requests after which
	// the connection is closed: a server may send a response twice.
	maxMismatchedResponses = 2
	// maxCopiedBodyBytes is the size of a body up to which it is sent in one write with its header.
	maxCopiedBodyBytes = 16 << 10
)

// notSentError is the error of a connection that was not established.
type notSentError struct{ cause error }

func (e notSentError) Error() string {
	return "connect: " + e.cause.Error() + ": " + ErrNotSent.Error()
}

// Unwrap returns the errors that the error wraps.
func (e notSentError) Unwrap() []error { return []error{e.cause, ErrNotSent} }

// Request is a request to a backend server.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header must not contain hop-by-hop fields.
	Header http.Header
	Body   []byte
	// MatchesResponse reports whether the header of a response belongs to this
	// request.
	MatchesResponse func(http.Header) bool
	// MaySend, if set, is called once the connection is established, and the request is not sent if
	// it returns false: it may take until tcp.ConnectTimeout to connect. via is the host through which
	// the connection is made, empty for a direct one.
	MaySend func(via string) bool
	// StopsAt is when the server stops working on the request, by the deadline it was sent, and may end its response as if it
	// were whole; the zero time: never. From then on the end of a response without a length does not count.
	StopsAt time.Time
	// VerifyEnd is called when a response without a length or chunks ends with its connection. The end
	// counts only if it returns PresenceConfirmed: the connection of a process that has ended is closed like
	// any other.
	VerifyEnd func() Presence
}

// Config configures a Sender. The zero value is ready for use.
type Config struct {
	// OnDial, if set, is called after each connection attempt.
	OnDial func(elapsed time.Duration, err error)
	// Dial connects to an address; nil means over TCP. A connection with a method Via() string is made
	// through the host that it returns.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Sender sends requests, each on a new connection. The server may close a reused
// connection just as a request is sent, and the outcome of a request that must
// not run twice would then be unknown.
type Sender struct {
	cfg Config
}

// NewSender returns a Sender.
func NewSender(cfg Config) *Sender {
	if cfg.Dial == nil {
		cfg.Dial = tcp.Dial
	}
	return &Sender{cfg: cfg}
}

// dial connects to an address within tcp.ConnectTimeout.
func (s *Sender) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, tcp.ConnectTimeout)
	defer cancel()
	start := time.Now()
	conn, err := s.cfg.Dial(ctx, address)
	if s.cfg.OnDial != nil {
		s.cfg.OnDial(time.Since(start), err)
	}
	return conn, err
}

// Response is a server's response whose header was received. Close must be
// called.
type Response struct {
	Status int
	Header http.Header
	// Framing is how the end of the body is marked.
	Framing Framing
	// Length is the stated length of the body in bytes, negative if there is none.
	Length int64
	// Body fails with ErrInterrupted if the response ends early.
	Body  *Body
	close func()
}

// Close closes the connection. If the body was not read to its end, the
// connection is reset, and the server can abandon the request.
func (r *Response) Close() { r.close() }

// Send sends a request and waits for the header of the response. The connection
// is reset when the context ends, also while the body is read. The error wraps
// ErrNotSent, ErrInterrupted or ErrMismatchedResponse, and a bound.Error if the server sent
// more than is read of a head or of responses to other requests.
func (s *Sender) Send(ctx context.Context, address string, req *Request) (*Response, error) {
	conn, err := s.dial(ctx, address)
	if err != nil {
		return nil, notSentError{err}
	}
	stop := context.AfterFunc(ctx, func() { tcp.Reset(conn) })
	response, err := roundTrip(conn, req)
	if err != nil {
		stop()
		tcp.Reset(conn)
		return nil, err
	}
	response.close = func() {
		stop()
		if response.Body.ended {
			_ = conn.Close()
			return
		}
		tcp.Reset(conn)
	}
	return response, nil
}

// viaOf returns the host through which a connection is made, empty for a direct one.
func viaOf(conn net.Conn) string {
	if c, ok := conn.(interface{ Via() string }); ok {
		return c.Via()
	}
	return ""
}

func roundTrip(conn net.Conn, req *Request) (*Response, error) {
	if req.MaySend != nil && !req.MaySend(viaOf(conn)) {
		return nil, ErrWithheld
	}
	if err := req.write(conn); err != nil {
		return nil, err
	}
	in := bound.NewReader(conn)
	for range maxMismatchedResponses {
		r, err := in.ReadResponse(&http.Request{Method: req.Method})
		if err != nil {
			return nil, interrupted(err)
		}
		if req.MatchesResponse(r.Header) {
			tcp.AwaitPeer(conn)
			return &Response{
				Status: r.StatusCode, Header: r.Header, Framing: framingOf(r), Length: r.ContentLength, Body: NewBody(r, req.StopsAt, req.VerifyEnd),
			}, nil
		}
		if framingOf(r) == FramingClose {
			// Nothing can follow it.
			break
		}
		if err = in.Discard(r); err != nil {
			return nil, interrupted(err)
		}
	}
	return nil, ErrMismatchedResponse
}

// interruptedError is the error of an exchange that a bound has ended.
type interruptedError struct{ cause error }

func (e interruptedError) Error() string {
	return e.cause.Error() + ": " + ErrInterrupted.Error()
}

// Unwrap returns the errors that the error wraps.
func (e interruptedError) Unwrap() []error { return []error{e.cause, ErrInterrupted} }

// interrupted returns an error that wraps ErrInterrupted, and a bound that was met, or ErrNotForwarded.
func interrupted(cause error) error {
	if errors.Is(cause, tcp.ErrNotForwarded) {
		return errors.Newf("%v: %w", cause, ErrNotForwarded)
	}
	if bound.Of(cause) != nil {
		return interruptedError{cause}
	}
	return errors.Newf("%v: %w", cause, ErrInterrupted)
}

// write sends the request. The error wraps ErrNotSent if no byte of it was sent, and ErrInterrupted
// otherwise.
func (req *Request) write(conn net.Conn) error {
	head, body := req.encode(), req.Body
	if len(body) <= maxCopiedBodyBytes {
		head, body = append(head, body...), nil
	}
	if n, err := conn.Write(head); err != nil {
		if n == 0 {
			return errors.Newf("write request: %v: %w", err, ErrNotSent)
		}
		return errors.Newf("write request: %v: %w", err, ErrInterrupted)
	}
	if len(body) == 0 {
		return nil
	}
	if _, err := conn.Write(body); err != nil {
		return errors.Newf("write body: %v: %w", err, ErrInterrupted)
	}
	return nil
}

// encode returns the request line and the header.
func (req *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(min(len(req.Body), maxCopiedBodyBytes) + 1024)
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	// Writes to a bytes.Buffer do not fail.
	_ = req.Header.Write(&b)
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// hopByHopFields are the header fields that apply to a single connection and are
// never forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEndHeader returns a copy of a header without hop-by-hop fields, including
// those listed in the Connection field.
func EndToEndHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		out.Del(name)
	}
	return out
}
