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
	// userTimeout closes a connection whose bytes are not acknowledged: a network partition drops
	// them silently. On Linux it also replaces the number of keep-alive probes after which an idle
	// connection is closed. A peer that pauses for a second or two stays connected.
	userTimeout = 3 * time.Second
	// A server that loses its power sends nothing while a request waits for the next event.
	// Keep-alive probes detect this after userTimeout, so that a resumable stream continues at
	// another server before its caller gives up. keepAliveCount gives the same time where probes are
	// counted.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = int((userTimeout - keepAliveIdle) / keepAliveInterval)
)

// ConnectTimeout bounds the time to connect. A server in the same region accepts within milliseconds; a
// lost SYN is retransmitted after a second, and by then another server could have been tried.
const ConnectTimeout = 500 * time.Millisecond

// userTimeoutOption is TCP_USER_TIMEOUT in linux/tcp.h.
const userTimeoutOption = 0x12

var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// Dial connects to an address within ConnectTimeout.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: ConnectTimeout, Control: setUserTimeout, KeepAliveConfig: keepAlive}
	return dialer.DialContext(ctx, "tcp", address)
}

// Listen listens at an address. Accepted connections have the same options as those of Dial.
func Listen(network, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setUserTimeout, KeepAliveConfig: keepAlive}
	return config.Listen(context.Background(), network, address)
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeoutOption, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return errors.Newf("access socket: %w", err)
	}
	return optionErr
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
