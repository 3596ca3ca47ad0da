package standin

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// EndlessConnConfig configures an EndlessConn.
type EndlessConnConfig struct {
	// Beginning is what the peer sends first, and Repeated what it sends again and again.
	Beginning, Repeated string
	// MaxBytes is the number of bytes after which the peer closes the connection.
	MaxBytes int64
}

// EndlessConn is a connection to a faulty peer that takes everything and sends bytes without end, as fast
// as they are read. It counts them.
type EndlessConn struct {
	cfg       EndlessConnConfig
	beginning *strings.Reader
	offset    int
	read      atomic.Int64
	closed    atomic.Bool
}

// NewEndlessConn returns an open connection.
func NewEndlessConn(cfg EndlessConnConfig) *EndlessConn {
	return &EndlessConn{cfg: cfg, beginning: strings.NewReader(cfg.Beginning)}
}

// ReadBytes returns the number of bytes that were read.
func (c *EndlessConn) ReadBytes() int64 { return c.read.Load() }

// Read implements net.Conn.
func (c *EndlessConn) Read(p []byte) (int, error) {
	switch {
	case c.closed.Load():
		return 0, net.ErrClosed
	case c.read.Load() >= c.cfg.MaxBytes:
		return 0, io.EOF
	}
	if c.beginning.Len() > 0 {
		n, err := c.beginning.Read(p)
		c.read.Add(int64(n))
		return n, err
	}
	for n := 0; n < len(p); {
		copied := copy(p[n:], c.cfg.Repeated[c.offset:])
		n += copied
		c.offset = (c.offset + copied) % len(c.cfg.Repeated)
	}
	c.read.Add(int64(len(p)))
	return len(p), nil
}

// Write implements net.Conn.
func (c *EndlessConn) Write(p []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

// Close implements net.Conn.
func (c *EndlessConn) Close() error {
	c.closed.Store(true)
	return nil
}

// LocalAddr implements net.Conn.
func (c *EndlessConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *EndlessConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements net.Conn. A read never waits.
func (c *EndlessConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *EndlessConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *EndlessConn) SetWriteDeadline(time.Time) error { return nil }
