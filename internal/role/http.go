package role

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
)

const (
	// Slow senders are cut off, or a few of them would hold all connections. The
	// limits that callers are told are shorter.
	headerWait = 15 * time.Second
	// idleWait is longer than callers keep a connection idle.
	idleWait       = 90 * time.Second
	maxHeaderBytes = 64 << 10
)

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, MaxHeaderBytes: maxHeaderBytes}
}

// serve returns when the server is closed.
func serve(s *http.Server, l net.Listener, log logr.Logger) {
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.Error(err, "listener ended", "address", l.Addr().String())
	}
}
