package listener

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/drain"
)

const (
	// headTimeout cuts off slow senders. The limits documented for callers are shorter.
	headTimeout = 15 * time.Second
	// ListedHeadTimeout is the same on listed hosts.
	ListedHeadTimeout = 5 * time.Second
	// idleTimeout is longer than callers keep a connection idle.
	idleTimeout = 90 * time.Second
	// maxHeadBytes bounds the head of a request.
	maxHeadBytes = 64 << 10
	// callTimeout bounds the time to read a request, and to write its response, of those who do not state a deadline.
	callTimeout = 30 * time.Second
	// retryAfterSeconds is when a request may be sent again that was refused for lack of connections or memory.
	retryAfterSeconds = "1"
)

// ServerConfig configures the HTTP server of a port.
type ServerConfig struct {
	Handler http.Handler
	// Refuse handles requests that must be refused at once, as all connections of the port are in use or there is no
	// memory for the request; nil: with 503.
	Refuse http.Handler
	// OnState, if set, receives the state of connections like http.Server.ConnState.
	OnState func(net.Conn, http.ConnState)
	// HasDeadlines is set if the handler bounds the time to read bodies and to write responses itself.
	HasDeadlines bool
	// IdleTimeout is how long a connection may be idle; 0: longer than callers keep one.
	IdleTimeout time.Duration
	// HeadTimeout is how long a head may take to arrive; 0: longer than callers take.
	HeadTimeout time.Duration
}

type connKey struct{}

// NewServer returns the HTTP server of the port.
func (l *Listener) NewServer(cfg ServerConfig) *http.Server {
	if cfg.Refuse == nil {
		cfg.Refuse = http.HandlerFunc(refuse)
	}
	s := &http.Server{
		ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c, ok := r.Context().Value(connKey{}).(*conn)
			if !ok {
				cfg.Handler.ServeHTTP(w, r)
				return
			}
			hasBody := r.Body != http.NoBody
			switch c.begin(hasBody) {
			case admitted:
				if hasBody {
					r.Body = body{r.Body, c}
				}
				cfg.Handler.ServeHTTP(w, r)
			case gone:
				panic(http.ErrAbortHandler)
			case refusedBusy, refusedMemory:
				w.Header().Set("Connection", "close")
				cfg.Refuse.ServeHTTP(w, r)
			}
		}),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, state http.ConnState) {
			if c, ok := c.(*conn); ok && state == http.StateIdle {
				c.await()
			}
			if cfg.OnState != nil {
				cfg.OnState(c, state)
			}
		},
	}
	if !cfg.HasDeadlines {
		s.ReadTimeout, s.WriteTimeout = callTimeout, callTimeout
	}
	if cfg.IdleTimeout > 0 {
		s.IdleTimeout = cfg.IdleTimeout
	}
	if cfg.HeadTimeout > 0 {
		s.ReadHeaderTimeout = cfg.HeadTimeout
	}
	return s
}

// refuse refuses a request that has not been handled.
func refuse(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Retry-After", retryAfterSeconds)
	w.Header().Set("Content-Length", "0")
	drain.AbandonBody(w, r)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Serve serves HTTP on the port until the server is closed, and logs any other end.
func (l *Listener) Serve(s *http.Server) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		l.budget.cfg.Log.Error(err, "listener ended", "address", l.Addr().String())
	}
}
