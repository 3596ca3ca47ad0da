// Package path connects this host to backend servers.
package path

import (
	"context"
	"net"
	"sync"
	"time"

	"fennelyard/internal/asynclog"
	"github.com/go-logr/logr"
)

// maxUnreached bounds the servers that are remembered as not reached.
const maxUnreached = 1024

// Config configures a Dialer. All fields are required.
type Config struct {
	// Direct connects to an address over this host's own network path.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	Log    logr.Logger
}

// Dialer connects to backend servers. It is safe for concurrent use.
type Dialer struct {
	cfg Config

	mu sync.Mutex
	// unreached holds the servers to which the last connection failed, with the time of the first
	// failure in a row. reachedAt is when a server was last reached. Guarded by mu.
	unreached map[string]time.Time
	reachedAt time.Time
}

// New returns a Dialer.
func New(cfg Config) *Dialer { return &Dialer{cfg: cfg, unreached: map[string]time.Time{}} }

// Dial connects to a server.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.cfg.Direct(ctx, address)
	switch {
	case err == nil:
		d.recordReached(address)
	case ctx.Err() == nil || context.Cause(ctx) == context.DeadlineExceeded:
		d.recordUnreached(address, err)
	}
	return conn, err
}

func (d *Dialer) recordReached(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reachedAt = time.Now()
	if since, ok := d.unreached[address]; ok {
		delete(d.unreached, address)
		d.cfg.Log.Info("server reached again", "address", address, "after-ms", time.Since(since).Milliseconds(), "not-reached", len(d.unreached))
	}
}

// recordUnreached records that a connection failed. The number of servers that are not reached, and
// the time since any was reached, distinguish a lost path from a server that has ended.
func (d *Dialer) recordUnreached(address string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.unreached[address]; known || len(d.unreached) >= maxUnreached {
		return
	}
	d.unreached[address] = time.Now()
	d.cfg.Log.Info("server not reached", "address", address, "error", asynclog.ErrorText(err), "not-reached", len(d.unreached),
		"last-reached-ms", time.Since(d.reachedAt).Milliseconds())
}
