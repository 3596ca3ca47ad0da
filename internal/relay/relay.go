// Package relay sends one request to one backend server and reads the answer,
// over HTTP/1.1. It never sends anything again by itself, and it tells how far
// a request got, for whoever decides what may be done next.
package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrNotSent says that no byte of the request has left: it did not run.
	ErrNotSent = errors.New("the request was not sent")
	// ErrInterrupted says that the exchange broke off after a byte may have left: the
	// request may have run.
	ErrInterrupted = errors.New("the exchange broke off")
	// ErrMismatchedResponse says that the bytes received are no answer to this request.
	ErrMismatchedResponse = errors.New("the answer belongs to another request")
)

const (
	// dialWait is how long a connection may take to come about. A server in the
	// same region answers within milliseconds; a lost opening packet is sent
	// again after a second, which is longer than it takes to ask another server.
	dialWait = 500 * time.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged: a partition
	// drops them without a word.
	userTimeout = 3 * time.Second
	// A server that loses its power answers nothing while a request waits for its
	// next event; probes tell within probeIdle + probes * probeEvery, so that a
	// stream that may be resumed goes on elsewhere long before its caller leaves.
	probeIdle  = time.Second
	probeEvery = 500 * time.Millisecond
	probes     = 3
	// foreignLimit is how many answers to other requests are passed over before
	// the connection is given up: a server may send an answer twice.
	foreignLimit = 2
	readBuffer   = 8 << 10
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h.
const tcpUserTimeout = 0x12

// Request is a request as a backend server gets it.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	// Header must hold no field that concerns one connection only.
	Header http.Header
	Body   []byte
	// MatchesResponse reports whether an answer's header belongs to this request.
	MatchesResponse func(http.Header) bool
}

// Config configures a Sender. The zero value is ready for use.
type Config struct {
	// OnDial, where set, is told of each connection that was tried.
	OnDial func(took time.Duration, err error)
	// Dial connects to an address; nil: over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Sender sends requests, each on a connection of its own. A kept connection may
// be closed by the server at the moment at which it is used, and a request that
// must not run twice would then have an unknown outcome.
type Sender struct {
	cfg    Config
	dialer net.Dialer
}

// NewSender returns a Sender.
func NewSender(cfg Config) *Sender {
	s := &Sender{cfg: cfg, dialer: net.Dialer{
		Timeout: dialWait, Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probes},
	}}
	if s.cfg.Dial == nil {
		s.cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return s.dialer.DialContext(ctx, "tcp", address)
		}
	}
	return s
}

// dial connects to an address within dialWait.
func (s *Sender) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialWait)
	defer cancel()
	began := time.Now()
	conn, err := s.cfg.Dial(ctx, address)
	if s.cfg.OnDial != nil {
		s.cfg.OnDial(time.Since(began), err)
	}
	return conn, err
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var inner error
	err := c.Control(func(fd uintptr) {
		inner = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Newf("reach socket: %w", err)
	}
	return inner
}

// Response is a server's answer whose header is in. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Body fails with ErrBroken when the answer ends early.
	Body  io.Reader
	close func()
}

// Close ends the connection, and with it the server's work on the request if it
// is not at an end.
func (a *Response) Close() { a.close() }

// Reset closes a connection and drops what it has not delivered. After a plain
// close the kernel goes on sending what a partition holds up: a request that was
// given up long ago would reach its server once the partition heals, and run.
func Reset(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		// It fails only on a connection that is closed already.
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}

// Send sends a request and waits for the answer's header. The context's end
// closes the connection at once, also while the body is read.
func (s *Sender) Send(ctx context.Context, address string, q *Request) (*Response, error) {
	conn, err := s.dial(ctx, address)
	if err != nil {
		return nil, errors.Newf("connect to %s: %v: %w", address, err, ErrNotSent)
	}
	stop := context.AfterFunc(ctx, func() { Reset(conn) })
	answer, body, err := exchange(conn, q)
	if err != nil {
		stop()
		Reset(conn)
		return nil, err
	}
	answer.close = func() {
		stop()
		if body.ended {
			_ = conn.Close()
			return
		}
		Reset(conn)
	}
	return answer, nil
}

func exchange(conn net.Conn, q *Request) (*Response, *wholeReader, error) {
	if n, err := conn.Write(q.encode()); err != nil {
		if n == 0 {
			return nil, nil, errors.Newf("write request: %v: %w", err, ErrNotSent)
		}
		return nil, nil, errors.Newf("write request: %v: %w", err, ErrInterrupted)
	}
	in := bufio.NewReaderSize(conn, readBuffer)
	for range foreignLimit {
		r, err := readAnswer(in, q.Method)
		if err != nil {
			return nil, nil, err
		}
		if q.MatchesResponse(r.Header) {
			body := &wholeReader{r: r.Body}
			return &Response{Status: r.StatusCode, Header: r.Header, Body: body}, body, nil
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return nil, nil, errors.Newf("pass over another answer: %v: %w", err, ErrInterrupted)
		}
	}
	return nil, nil, ErrMismatchedResponse
}

// readAnswer reads the next final answer; interim ones are passed over.
func readAnswer(in *bufio.Reader, method string) (*http.Response, error) {
	for {
		r, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Newf("read answer: %v: %w", err, ErrInterrupted)
		}
		if r.StatusCode >= http.StatusOK {
			return r, nil
		}
	}
}

func (q *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(len(q.Body) + 1024)
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	// Writing to a buffer does not fail.
	_ = q.Header.Write(&b)
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	return b.Bytes()
}

// wholeReader marks every end but the regular one as ErrBroken. An answer
// without a length ends with its connection, and a reset is no regular end.
type wholeReader struct {
	r io.Reader
	// ended is set once the regular end was read.
	ended bool
}

func (w *wholeReader) Read(p []byte) (int, error) {
	n, err := w.r.Read(p)
	w.ended = w.ended || errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
	if err != nil && !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return n, errors.Newf("read body: %v: %w", err, ErrInterrupted)
	}
	return n, err
}

// connectionFields concern one connection only and are never passed on.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEndHeader returns a copy of a header without the fields that concern one
// connection only, those that Connection names among them.
func EndToEndHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionFields {
		out.Del(name)
	}
	return out
}
