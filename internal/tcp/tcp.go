// Package tcp opens TCP connections that detect a lost network path within seconds.
package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// ConnectTimeout bounds the time to connect. A server in the same region accepts within
	// milliseconds; a lost SYN is retransmitted after a second, and by then another server could have
	// been tried.
	ConnectTimeout = 500 * time.Millisecond
	// userTimeout closes a connection whose bytes are not acknowledged: a network partition drops
	// them silently. A peer that pauses for a second or so stays connected.
	userTimeout = 2 * time.Second
	// A server that loses its power sends nothing while a request waits for the next event.
	// Keep-alive probes detect this after keepAliveIdle + keepAliveCount * keepAliveInterval, so that a
	// resumable stream continues at another server before its caller gives up. The kernel counts whole
	// seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// userTimeoutOption is TCP_USER_TIMEOUT in linux/tcp.h.
const userTimeoutOption = 0x12

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial connects to an address within ConnectTimeout.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: ConnectTimeout, Control: controlUserTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen listens at an address. Accepted connections have the same options as those of Dial.
func Listen(network, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: controlUserTimeout, KeepAliveConfig: keepAlive}
	return config.Listen(context.Background(), network, address)
}

func controlUserTimeout(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, userTimeout) }

func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeoutOption, int(timeout.Milliseconds()))
	})
	if err != nil {
		return errors.Newf("access socket: %w", err)
	}
	return optionErr
}

// AwaitPeer prepares a connection on which everything that was sent is acknowledged for waiting for the
// peer. As long as TCP_USER_TIMEOUT is set, it replaces the number of keep-alive probes after which the
// connection is closed, and the time depends on when they are sent.
func AwaitPeer(conn net.Conn) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	// This fails only if the connection is already closed.
	if raw, err := c.SyscallConn(); err == nil {
		_ = setUserTimeout(raw, 0)
	}
}

// Reset closes a connection and discards unsent data. After a plain close the kernel would keep
// retransmitting data during a network partition: an abandoned request would reach its server once
// the partition heals, and be executed.
func Reset(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		// This fails only if the connection is already closed.
		_ = c.SetLinger(0)
	}
	_ = conn.Close()
}
