package drain

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"fennelyard/internal/tcp"
)

// Connections tracks the connections of an HTTP server that may still bring a request. It is safe for concurrent use.
type Connections struct {
	mu sync.Mutex
	// fresh holds the connections without a request yet with the time at which they were accepted, and active those
	// with a request, or a part of one; guarded by mu.
	fresh  map[net.Conn]time.Time
	active map[net.Conn]bool
}

// NewConnections returns Connections that track nothing yet.
func NewConnections() *Connections {
	return &Connections{fresh: map[net.Conn]time.Time{}, active: map[net.Conn]bool{}}
}

// Track is the ConnState function of an http.Server.
func (c *Connections) Track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.fresh, conn)
	delete(c.active, conn)
	switch state {
	case http.StateNew:
		c.fresh[conn] = time.Now()
	case http.StateActive:
		c.active[conn] = true
	case http.StateIdle, http.StateHijacked, http.StateClosed:
	}
}

// Pending returns the number of connections with a request, or a part of one, and of those whose first request
// may still come: they were accepted less than headerTimeout ago.
func (c *Connections) Pending(headerTimeout time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.active)
	for _, accepted := range c.fresh {
		if time.Since(accepted) < headerTimeout {
			n++
		}
	}
	return n
}

// Reset resets the connections with a request, or a part of one. If they were closed regularly, as by
// http.Server.Close, a response in progress would look whole to a caller that takes no chunks.
func (c *Connections) Reset() {
	c.mu.Lock()
	active := slices.Collect(maps.Keys(c.active))
	c.mu.Unlock()
	for _, conn := range active {
		tcp.Reset(conn)
	}
}
