package tunnel_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/tcp"
	"fennelyard/internal/tunnel"
)

// testTimeout bounds what would otherwise hang a failing test.
const testTimeout = 10 * time.Second

// host carries tunnels for tests.
type host struct {
	address string
	server  *tunnel.Server
}

// startHost starts a host. configure may change the configuration.
func startHost(t *testing.T, configure func(*tunnel.ServerConfig)) host {
	t.Helper()
	cfg := tunnel.ServerConfig{
		Connect: tcp.Dial, Log: logr.Discard(),
		IsServer: func(string) bool { return true }, Available: func() bool { return true },
		Reaches: func(string) bool { return true }, ReachesOther: func(context.Context, string) bool { return true }, Cooldown: func(string) time.Duration { return 0 }, OnCooldown: func(string, time.Duration) {},
	}
	if configure != nil {
		configure(&cfg)
	}
	l, err := tcp.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := tunnel.NewServer(cfg)
	server := &http.Server{Handler: s, ReadHeaderTimeout: testTimeout}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		s.Reset()
		_ = server.Close()
	})
	return host{l.Addr().String(), s}
}

// listen returns the address of a backend server, and its connections as they are accepted.
func listen(t *testing.T) (address string, accepted <-chan *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	conns := make(chan *net.TCPConn, 16)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.SetDeadline(time.Now().Add(testTimeout))
			conns <- conn.(*net.TCPConn)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), conns
}

func (h host) open(t *testing.T, server string) (*tunnel.Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := tunnel.Open(ctx, tunnel.Options{Dial: tcp.Dial, Host: h.address, Server: server})
	if err == nil {
		t.Cleanup(func() { _ = conn.Close() })
		require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	}
	return conn, err
}

// openPair opens a tunnel and returns both of its ends.
func openPair(t *testing.T, h host) (client *tunnel.Conn, server *net.TCPConn) {
	t.Helper()
	address, accepted := listen(t)
	client, err := h.open(t, address)
	require.NoError(t, err)
	server = <-accepted
	// A connection that nothing refers to any more is closed by the garbage collector.
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

func TestBytesPassInBothDirections(t *testing.T) {
	h := startHost(t, nil)
	client, server := openPair(t, h)
	require.Equal(t, h.address, client.Via())
	sent := strings.Repeat("request ", 100_000)
	go func() { _, _ = io.WriteString(client, sent) }()
	got, err := io.ReadAll(io.LimitReader(server, int64(len(sent))))
	require.NoError(t, err)
	require.Equal(t, sent, string(got))
	for _, event := range []string{"id: 1\n\n", "id: 2\n\n"} {
		_, err = io.WriteString(server, event)
		require.NoError(t, err)
		line, err := bufio.NewReader(io.LimitReader(client, int64(len(event)))).ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, event[:len(line)], line)
	}
}

// A server that resets its connection must not look as if its response, which has no length, were
// complete; a regular end must.
func TestEndOfResponseIsPassedOn(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(*net.TCPConn)
		want error
	}{
		"closed": {func(c *net.TCPConn) { _ = c.Close() }, nil},
		"reset":  {func(c *net.TCPConn) { tcp.Reset(c) }, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := openPair(t, startHost(t, nil))
			_, err := io.WriteString(server, "response")
			require.NoError(t, err)
			got := make([]byte, len("response"))
			_, err = io.ReadFull(client, got)
			require.NoError(t, err)
			test.end(server)
			_, err = io.ReadAll(client)
			require.ErrorIs(t, err, test.want)
		})
	}
}

// A request that its caller has left must end at the server at once, by a reset, as on a direct
// connection.
func TestAbandonedTunnelIsResetAtTheServer(t *testing.T) {
	client, server := openPair(t, startHost(t, nil))
	_, err := io.WriteString(client, "request")
	require.NoError(t, err)
	_, err = io.ReadFull(server, make([]byte, len("request")))
	require.NoError(t, err)
	start := time.Now()
	tcp.Reset(client)
	_, err = server.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Less(t, time.Since(start), testTimeout)
}

// A server that responds before it has read a long request, and stops reading it, has its response
// delivered.
func TestEarlyResponseIsDelivered(t *testing.T) {
	client, server := openPair(t, startHost(t, nil))
	_, err := io.WriteString(client, "head")
	require.NoError(t, err)
	_, err = io.ReadFull(server, make([]byte, len("head")))
	require.NoError(t, err)
	_, err = io.WriteString(server, "rejected")
	require.NoError(t, err)
	require.NoError(t, server.CloseWrite())
	got, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Equal(t, "rejected", string(got))
}

// The reasons why no tunnel is opened must be distinguishable: only some of them concern the server.
func TestOpenReportsWhyThereIsNoTunnel(t *testing.T) {
	closed := func(t *testing.T) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		return l.Addr().String()
	}
	for name, test := range map[string]struct {
		configure func(*tunnel.ServerConfig)
		want      error
	}{
		"server refuses":                 {nil, tunnel.ErrServerRefused},
		"server refuses, and so may all": {func(c *tunnel.ServerConfig) { c.ReachesOther = func(context.Context, string) bool { return false } }, tunnel.ErrRefusedUnsure},
		"server silent": {func(c *tunnel.ServerConfig) {
			c.Connect = func(context.Context, string) (net.Conn, error) { return nil, context.DeadlineExceeded }
		}, tunnel.ErrServerSilent},
		"server unknown":   {func(c *tunnel.ServerConfig) { c.IsServer = func(string) bool { return false } }, tunnel.ErrNotToServer},
		"path lost":        {func(c *tunnel.ServerConfig) { c.Reaches = func(string) bool { return false } }, tunnel.ErrNotToServer},
		"server cooling":   {func(c *tunnel.ServerConfig) { c.Cooldown = func(string) time.Duration { return time.Second } }, tunnel.ErrServerCooling},
		"host unavailable": {func(c *tunnel.ServerConfig) { c.Available = func() bool { return false } }, tunnel.ErrUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			h := startHost(t, test.configure)
			_, err := h.open(t, closed(t))
			require.ErrorIs(t, err, test.want)
			require.Equal(t, errors.Is(test.want, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNREFUSED))
			require.Zero(t, h.server.Active())
		})
	}
	t.Run("host down", func(t *testing.T) {
		_, err := host{address: closed(t)}.open(t, "127.0.0.1:1")
		require.ErrorIs(t, err, tunnel.ErrUnavailable)
		require.NotErrorIs(t, err, syscall.ECONNREFUSED, "it is the host that refuses, not the server")
	})
}

// A host must not carry so many tunnels that its own callers run out of descriptors, and none for
// anything but servers.
func TestTunnelsAreBounded(t *testing.T) {
	h := startHost(t, nil)
	address, _ := listen(t)
	var opened int
	for ; opened < 1000; opened++ {
		if _, err := h.open(t, address); err != nil {
			require.ErrorIs(t, err, tunnel.ErrUnavailable)
			break
		}
	}
	require.Equal(t, 256, opened)
}

// A host that stops resets its tunnels at both ends.
func TestResetEndsTunnels(t *testing.T) {
	h := startHost(t, nil)
	client, server := openPair(t, h)
	h.server.Reset()
	_, err := client.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = server.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	_, err = h.open(t, "127.0.0.1:1")
	require.ErrorIs(t, err, tunnel.ErrUnavailable)
}

// A server asks the host from which a request arrived for a cooldown, and that host does not read the
// response.
func TestCooldownIsStatedToTheHostThatCarriedTheRequest(t *testing.T) {
	got := map[string]time.Duration{}
	h := startHost(t, func(c *tunnel.ServerConfig) {
		c.OnCooldown = func(server string, wait time.Duration) { got[server] = wait }
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	require.NoError(t, tunnel.StateCooldown(ctx, tcp.Dial, h.address, "i-1/a b", 1500*time.Millisecond))
	require.Equal(t, map[string]time.Duration{"i-1/a b": 1500 * time.Millisecond}, got)
	require.Error(t, tunnel.StateCooldown(ctx, tcp.Dial, "127.0.0.1:1", "i-1", time.Second))
}
