package tunnel

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"fennelyard/internal/bound"
	"fennelyard/internal/tcp"
)

var (
	// ErrUnavailable reports that the other host does not carry the tunnel, or cannot be reached.
	ErrUnavailable = errors.New("the host carries no tunnel")
	// ErrNotToServer reports that the other host carries connections, but none to this server: it knows
	// no server at the address, or has lost its own path to it.
	ErrNotToServer = errors.New("the other host carries no connections to the server")
	// ErrServerCooling reports that the server wants nothing from the other host for some time.
	ErrServerCooling = errors.New("the server has asked the other host for a cooldown")
	// ErrServerSilent reports that the other host got no response from the server.
	ErrServerSilent = errors.New("the server does not respond to the other host")
	// ErrServerRefused reports that the server refused the other host's connection, and that this host
	// reaches other servers. It wraps ECONNREFUSED.
	ErrServerRefused = errors.Newf("the server refuses the other host: %w", syscall.ECONNREFUSED)
	// ErrRefusedUnsure reports the same of a host that reached no other server either: the servers may
	// all have ended, or the host may have lost its path.
	ErrRefusedUnsure = errors.New("the server refuses the other host, and so do others")
)

// cooldownTimeout bounds how long a rejected request is delayed to report the cooldown of its server to
// the host that carried it.
const cooldownTimeout = 150 * time.Millisecond

// Options describe a tunnel. All fields are required.
type Options struct {
	// Dial connects to the host.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Host is the address of the host that carries the tunnel, Server that of the backend server.
	Host, Server string
}

// Conn is a connection to a backend server through another host.
type Conn struct {
	net.Conn
	via string
	// in returns the server's bytes, and io.EOF only if the server has closed its connection. Its error wraps
	// tcp.ErrNotForwarded if the other host states that nothing was forwarded to the server.
	in io.Reader
}

// newConn returns the connection on which a response to CONNECT has arrived, together with the bytes ahead.
func newConn(conn net.Conn, via string, response *http.Response, ahead []byte) *Conn {
	in := io.MultiReader(bytes.NewReader(ahead), conn)
	if response.Header.Get(headerFraming) == framingChunked {
		return &Conn{Conn: conn, via: via, in: newChunkReader(in)}
	}
	return &Conn{Conn: conn, via: via, in: unstatedEndReader{in}}
}

// Via returns the address of the host that carries the tunnel.
func (c *Conn) Via() string { return c.via }

// Read implements net.Conn. It returns io.EOF only if the server has closed its connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.in.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		err = errors.Newf("tunnel through %s: %w", c.via, err)
	}
	return n, err
}

// SyscallConn implements syscall.Conn, for options of the connection to the other host.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("no socket")
	}
	return conn.SyscallConn()
}

// SetLinger is like that of net.TCPConn.
func (c *Conn) SetLinger(sec int) error {
	if conn, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		return conn.SetLinger(sec)
	}
	return nil
}

// Open opens a tunnel. The error wraps one of the errors above.
func Open(ctx context.Context, o Options) (*Conn, error) {
	conn, err := o.Dial(ctx, o.Host)
	if err != nil {
		return nil, errors.Newf("connect to %s: %v: %w", o.Host, err, ErrUnavailable)
	}
	stop := context.AfterFunc(ctx, func() { tcp.Reset(conn) })
	in := bound.NewReader(conn)
	response, err := connect(conn, in, o)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		tcp.Reset(conn)
		return nil, errors.Newf("tunnel through %s: %v: %w", o.Host, err, ErrUnavailable)
	}
	if err = statusError(response); err != nil {
		_ = conn.Close()
		return nil, errors.Newf("tunnel through %s: %w", o.Host, err)
	}
	return newConn(conn, o.Host, response, in.Ahead()), nil
}

// NewOpener returns a function that opens tunnels over connections of dial.
func NewOpener(dial func(ctx context.Context, address string) (net.Conn, error)) func(ctx context.Context, host, server string) (net.Conn, error) {
	return func(ctx context.Context, host, server string) (net.Conn, error) {
		conn, err := Open(ctx, Options{Dial: dial, Host: host, Server: server})
		if err != nil {
			return nil, errors.Newf("open tunnel: %w", err)
		}
		return conn, nil
	}
}

// connect sends CONNECT and returns the response, whose body is not read.
func connect(conn net.Conn, in *bound.Reader, o Options) (*http.Response, error) {
	request := &http.Request{Method: http.MethodConnect, URL: &url.URL{Opaque: o.Server}, Host: o.Server, Header: http.Header{headerFraming: {framingChunked}}}
	if err := request.Write(conn); err != nil {
		return nil, errors.Newf("send CONNECT: %w", err)
	}
	response, err := in.ReadResponse(request)
	if err != nil {
		return nil, errors.Newf("read response to CONNECT: %w", err)
	}
	return response, nil
}

func statusError(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusBadGateway:
		if response.Header.Get(headerReachesOthers) == "" {
			return ErrRefusedUnsure
		}
		return ErrServerRefused
	case http.StatusGatewayTimeout:
		return ErrServerSilent
	case http.StatusTooManyRequests:
		return ErrServerCooling
	case http.StatusForbidden:
		return ErrNotToServer
	}
	return errors.Newf("status %d: %w", response.StatusCode, ErrUnavailable)
}

// NewCooldownReporter returns a function that reports a cooldown to the host that carried the request whose
// response stated it, within cooldownTimeout.
func NewCooldownReporter(dial func(ctx context.Context, address string) (net.Conn, error), log logr.Logger) func(host, server string, wait time.Duration) {
	return func(host, server string, wait time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), cooldownTimeout)
		defer cancel()
		if err := StateCooldown(ctx, dial, host, server, wait); err != nil {
			log.Error(err, "cooldown not stated", "entry", host, "server", server)
		}
	}
}

// StateCooldown reports a cooldown to the host that carried the request whose response stated it: the
// server has asked for it at the host from which the request arrived.
func StateCooldown(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), host, server string, wait time.Duration) error {
	conn, err := dial(ctx, host)
	if err != nil {
		return errors.Newf("connect to %s: %w", host, err)
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { tcp.Reset(conn) })()
	query := url.Values{serverKey: {server}, waitKey: {strconv.FormatInt(max(wait.Milliseconds(), 1), 10)}}
	request := &http.Request{Method: http.MethodPut, URL: &url.URL{Path: cooldownPath, RawQuery: query.Encode()}, Host: host, Header: http.Header{}, Close: true}
	if err = request.Write(conn); err != nil {
		return errors.Newf("send cooldown: %w", err)
	}
	response, err := bound.NewReader(conn).ReadResponse(request)
	if err != nil {
		return errors.Newf("read response to cooldown: %w", err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Newf("cooldown not taken: status %d", response.StatusCode)
	}
	return nil
}
