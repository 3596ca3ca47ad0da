// Package tunnel carries connections to backend servers through another host of the deployment, for
// hosts that have lost their own network path to the servers.
//
// A host opens a tunnel with the CONNECT method of HTTP (RFC 9110, section 9.3.6), one for each
// connection to a server. The other host connects to the server over its own path, never through a
// third host, and copies bytes. It decides nothing about the requests: a connection that either end
// closes or resets is closed or reset at the other end, so that errors and cancellations mean the
// same as on a direct connection. The server's bytes are sent in chunks, so that their end cannot be
// mistaken for that of the host in between. A request that the other host gets late, or whose sender has given
// it up by then, is not forwarded, and the sender is told so.
package tunnel

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"fennelyard/internal/elapsed"
	"fennelyard/internal/tcp"
)

const (
	// cooldownPath, with the two keys of its query, is where hosts state cooldowns.
	cooldownPath = "/cooldown"
	serverKey    = "server"
	waitKey      = "wait-ms"
	// headerReachesOthers is set if a refused connection is not the host's own fault.
	headerReachesOthers = "Fennelyard-Reaches-Others"
	// maxTunnels bounds the tunnels through a host. Each takes two descriptors and two buffers of tcp.Copy:
	// a twelfth of the descriptors and a thirtieth of the memory of the smallest hosts.
	maxTunnels = 256
	// rejectionLogInterval is the least time between two log lines on rejected tunnels, and on dropped requests.
	rejectionLogInterval = time.Second
	// maxRequestDelay bounds the time from the response to CONNECT to the first byte that is forwarded. A sender
	// asks whether the server takes new work once it has the response, and sends at once: later that may not be true
	// any more. It leaves the connection to the server three retransmissions before 2 s have passed.
	maxRequestDelay = 500 * time.Millisecond
)

var (
	// errRequestLate is returned if a request came later than maxRequestDelay, and errSenderGone if its sender has
	// closed the connection: nothing of it is forwarded.
	errRequestLate = errors.Newf("the request came late: %w", tcp.ErrNotForwarded)
	errSenderGone  = errors.Newf("the sender has closed the connection: %w", tcp.ErrNotForwarded)
)

// ServerConfig configures a Server. All fields are required.
type ServerConfig struct {
	// Connect connects to a backend server over this host's own network path.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// IsServer reports whether an address is the one of a known backend server: the host is no proxy
	// for anything else.
	IsServer func(address string) bool
	// Cooldown returns for how long the server at an address wants nothing from this host.
	Cooldown func(address string) time.Duration
	// OnCooldown receives what a server has asked this host for in a response that passed through one
	// of its tunnels: to send an incarnation nothing for some time.
	OnCooldown func(server string, wait time.Duration)
	// Available reports whether this host takes new tunnels, and Reaches whether it is not known to
	// have lost its path to the server at an address.
	Available func() bool
	Reaches   func(address string) bool
	// ReachesOther reports whether this host reaches another server than the one at an address right
	// now, so that a refused connection is not its own fault.
	ReachesOther func(ctx context.Context, address string) bool
	Log          logr.Logger
}

// Server carries tunnels for other hosts. It implements http.Handler and is safe for concurrent use.
type Server struct {
	cfg ServerConfig

	mu sync.Mutex
	// tunnels are the open ones, and reserved the number of those that are open or being opened.
	tunnels  map[*tunnel]bool
	reserved int
	closed   bool
	// rejected counts the tunnels rejected since the last log line on them, at rejectedLogged, and dropped and
	// droppedLogged are the same of requests that were not forwarded. All guarded by mu.
	rejected, dropped             int
	rejectedLogged, droppedLogged time.Time
}

// NewServer returns a Server without tunnels.
func NewServer(cfg ServerConfig) *Server { return &Server{cfg: cfg, tunnels: map[*tunnel]bool{}} }

// Active returns the number of tunnels that are open or being opened.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserved
}

// Reset resets all tunnels, and rejects new ones from now on.
func (s *Server) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for t := range s.tunnels {
		t.reset()
	}
}

// IsRequest reports whether a request is one for a Server.
func IsRequest(r *http.Request) bool {
	return r.Method == http.MethodConnect || r.Method == http.MethodPut && r.URL.Path == cooldownPath
}

// ServeHTTP opens a tunnel. It responds with 200 once the connection to the server stands, 502 if the
// server refuses it, 504 if the server does not respond, 429 if it wants nothing from this host, and 503
// or 403 if this host does not carry the tunnel. With PUT it takes note of a cooldown.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut && r.URL.Path == cooldownPath {
		s.recordCooldown(w, r)
		return
	}
	address := r.Host
	if r.Method != http.MethodConnect || !s.cfg.IsServer(address) || !s.cfg.Reaches(address) {
		s.reject(w, http.StatusForbidden, address)
		return
	}
	if s.cfg.Cooldown(address) > 0 {
		s.reject(w, http.StatusTooManyRequests, address)
		return
	}
	if !s.reserve() {
		s.reject(w, http.StatusServiceUnavailable, address)
		return
	}
	defer s.release()
	server, err := s.cfg.Connect(r.Context(), address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) && s.cfg.ReachesOther(r.Context(), address) {
			w.Header().Set(headerReachesOthers, "true")
		}
		s.reject(w, connectStatus(err), address)
		return
	}
	client, in, err := http.NewResponseController(w).Hijack()
	if err != nil {
		tcp.Reset(server)
		s.cfg.Log.Error(err, "tunnel not opened", "server", address)
		return
	}
	t := &tunnel{client: client, server: server, in: in.Reader}
	head := "HTTP/1.1 200 OK\r\n"
	if r.Header.Get(headerFraming) == framingChunked {
		t.out = newChunkWriter(client, tcp.CopyBufferBytes)
		head += headerFraming + ": " + framingChunked + "\r\n"
	}
	if !s.track(t) {
		t.reset()
		return
	}
	defer s.untrack(t)
	// net/http may have set deadlines.
	_ = client.SetDeadline(time.Time{})
	t.openedAt = time.Now()
	if _, err = io.WriteString(client, head+"\r\n"); err != nil {
		t.reset()
		return
	}
	if err = t.run(); err != nil {
		s.recordDropped(t, address, err)
	}
}

// recordDropped records a request that was not forwarded.
func (s *Server) recordDropped(t *tunnel, address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped++
	if now := time.Now(); now.Sub(s.droppedLogged) > rejectionLogInterval {
		s.cfg.Log.Info("tunneled requests dropped", "count", s.dropped, "last-server", address, "last-open-ms", elapsed.Since(t.openedAt).Milliseconds(),
			"from", t.client.RemoteAddr().String(), "error", err.Error())
		s.dropped, s.droppedLogged = 0, now
	}
}

// recordCooldown applies a cooldown that the server at the end of a tunnel has stated.
func (s *Server) recordCooldown(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.ParseInt(r.URL.Query().Get(waitKey), 10, 64)
	if err != nil || ms <= 0 || ms > math.MaxInt64/int64(time.Millisecond) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.cfg.OnCooldown(r.URL.Query().Get(serverKey), time.Duration(ms)*time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}

// connectStatus returns the status for a connection to a server that failed.
func connectStatus(err error) int {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return http.StatusBadGateway
	}
	return http.StatusGatewayTimeout
}

func (s *Server) reject(w http.ResponseWriter, status int, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejected++
	if now := time.Now(); now.Sub(s.rejectedLogged) > rejectionLogInterval {
		s.cfg.Log.Info("tunnels rejected", "count", s.rejected, "last-status", status, "last-server", address, "open", s.reserved)
		s.rejected, s.rejectedLogged = 0, now
	}
	w.WriteHeader(status)
}

// reserve takes the place of a tunnel.
func (s *Server) reserve() bool {
	available := s.cfg.Available()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !available || s.closed || s.reserved >= maxTunnels {
		return false
	}
	s.reserved++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved--
}

// track registers an open tunnel; it returns false if the server was reset before.
func (s *Server) track(t *tunnel) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.tunnels[t] = true
	return true
}

func (s *Server) untrack(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, t)
}

// tunnel copies bytes between two connections.
type tunnel struct {
	client, server net.Conn
	// in reads from client.
	in io.Reader
	// out writes to client in chunks; nil for a client that takes the bytes as they are.
	out *chunkWriter
	// openedAt is when the client was told that the connection to the server stands, and forwarded is set once a
	// byte of the request has been forwarded. dropped is set if none ever is; server is reset then.
	openedAt  time.Time
	forwarded bool
	dropped   atomic.Bool
	// writing is set while bytes of the request are written to server, and writeFailed once that has failed. A socket
	// reports a reset only once: if a write returns it, reading ends as if server had closed its connection.
	writing, writeFailed atomic.Bool
	once                 sync.Once
}

// end closes both connections, or resets them. Only the first call has an effect: closing one
// connection also ends the copying in the other direction.
func (t *tunnel) end(resetClient, resetServer bool) {
	t.once.Do(func() {
		closeConn(t.client, resetClient)
		closeConn(t.server, resetServer)
	})
}

func (t *tunnel) reset() { t.end(true, true) }

func closeConn(conn net.Conn, reset bool) {
	if reset {
		tcp.Reset(conn)
		return
	}
	_ = conn.Close()
}

// run copies in both directions until one end has closed or reset its connection. It returns an error that wraps
// tcp.ErrNotForwarded if it has dropped the request.
func (t *tunnel) run() error {
	done := make(chan error, 1)
	go func() { done <- t.copyRequest() }()
	t.copyResponse()
	err := <-done
	if err != nil {
		t.once.Do(func() {
			if t.out != nil {
				// This fails only if the client is gone.
				_ = t.out.endNotForwarded()
			}
			closeConn(t.client, t.out == nil)
		})
	}
	return err
}

// copyResponse copies from the server until either end is gone. A response without a length ends with
// its connection: a reset must not look like its regular end.
func (t *tunnel) copyResponse() {
	var out io.Writer = t.client
	if t.out != nil {
		out = t.out
	}
	readErr, writeErr := tcp.Copy(out, t.server, func() { tcp.AwaitPeer(t.server) })
	if t.dropped.Load() {
		return
	}
	ended := readErr == nil && writeErr == nil && !t.writing.Load() && !t.writeFailed.Load()
	if t.out != nil && ended {
		writeErr = t.out.end()
	}
	// Without its last chunk a response in chunks does not look whole, and what was sent of it arrives.
	t.end(readErr != nil || t.out == nil && !ended, writeErr != nil)
}

// copyRequest copies to the server until the client is gone. A server that has stopped reading may
// still respond, so that a failure to write ends nothing. The error wraps tcp.ErrNotForwarded.
func (t *tunnel) copyRequest() error {
	readErr, writeErr := tcp.Copy(requestWriter{t}, t.in, nil)
	switch {
	case errors.Is(writeErr, tcp.ErrNotForwarded):
		t.dropped.Store(true)
		tcp.Reset(t.server)
		return writeErr
	case writeErr == nil:
		t.end(readErr != nil, readErr != nil)
	}
	return nil
}

// mayForward returns an error if a request whose first bytes have been read must not be forwarded any more: this
// process may have been stopped since its sender asked whether the server takes new work.
func (t *tunnel) mayForward() error {
	switch {
	case elapsed.Since(t.openedAt) > maxRequestDelay:
		return errRequestLate
	case !tcp.IsEstablished(t.client):
		return errSenderGone
	}
	return nil
}

// requestWriter writes the request of a tunnel to its server.
type requestWriter struct{ t *tunnel }

// Write implements io.Writer.
func (w requestWriter) Write(p []byte) (int, error) {
	if !w.t.forwarded {
		if err := w.t.mayForward(); err != nil {
			return 0, err
		}
		w.t.forwarded = true
	}
	w.t.writing.Store(true)
	n, err := w.t.server.Write(p)
	if err != nil {
		w.t.writeFailed.Store(true)
	}
	w.t.writing.Store(false)
	return n, err
}
