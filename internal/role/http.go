package role

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
)

const (
	// readHeaderTimeout cuts off slow senders, a few of which could otherwise occupy all
	// connections. The limits documented for callers are shorter.
	readHeaderTimeout = 15 * time.Second
	// idleTimeout is longer than callers keep a connection idle.
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 64 << 10
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// serve serves HTTP on a listener until the server is closed, and logs any other end.
func serve(s *http.Server, l net.Listener, log logr.Logger) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.Error(err, "listener ended", "address", l.Addr().String())
	}
}
