package tcp_test

import (
	"context"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/tcp"
)

// options are the options of a socket that decide when a silent peer is given up.
type options struct {
	userTimeoutMs, idleS, intervalS, count int
}

func optionsOf(t *testing.T, conn net.Conn) options {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	get := func(option int) (value int) {
		require.NoError(t, raw.Control(func(fd uintptr) {
			value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option)
		}))
		require.NoError(t, err)
		return value
	}
	const userTimeout = 0x12
	return options{get(userTimeout), get(syscall.TCP_KEEPIDLE), get(syscall.TCP_KEEPINTVL), get(syscall.TCP_KEEPCNT)}
}

// TCP_USER_TIMEOUT replaces the number of keep-alive probes: a stream whose server is lost would end
// later than its caller waits, and one whose server pauses for a second must not end at all.
func TestSilentPeersAreGivenUpAfterThreeSeconds(t *testing.T) {
	l, err := tcp.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	dialed, err := tcp.Dial(context.Background(), l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = dialed.Close() }()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	for name, conn := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		require.Equal(t, options{2000, 1, 1, 2}, optionsOf(t, conn), name)
		tcp.AwaitPeer(conn)
		require.Equal(t, options{0, 1, 1, 2}, optionsOf(t, conn), name)
	}
}
