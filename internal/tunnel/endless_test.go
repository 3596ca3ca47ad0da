package tunnel_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/bound"
	"fennelyard/internal/standin"
	"fennelyard/internal/tunnel"
)

// A host that answers a request for a tunnel, or a cooldown, with bytes without end must not fill the memory of the
// host that asked.
func TestEndlessResponsesOfHostsAreBounded(t *testing.T) {
	for name, cfg := range map[string]standin.EndlessConnConfig{
		"field":                   {Beginning: "HTTP/1.1 200 OK\r\nA: ", Repeated: "a"},
		"fields":                  {Beginning: "HTTP/1.1 200 OK\r\n", Repeated: "A:\r\n"},
		"informational responses": {Repeated: "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		cfg.MaxBytes = 16 << 20
		t.Run(name, func(t *testing.T) {
			conn := standin.NewEndlessConn(cfg)
			dial := func(context.Context, string) (net.Conn, error) { return conn, nil }
			_, err := tunnel.Open(context.Background(), tunnel.Options{Dial: dial, Host: "host", Server: "127.0.0.1:1"})
			require.ErrorIs(t, err, tunnel.ErrUnavailable)
			require.LessOrEqual(t, conn.ReadBytes(), int64(2*bound.HeadBytes))
			conn = standin.NewEndlessConn(cfg)
			err = tunnel.StateCooldown(context.Background(), dial, "host", "server", time.Second)
			require.NotNil(t, bound.Of(err), "%v", err)
			require.LessOrEqual(t, conn.ReadBytes(), int64(2*bound.HeadBytes))
		})
	}
}

// Bytes of the server that arrive together with the response to CONNECT belong to the tunnel.
func TestBytesBehindTheResponseToConnectAreTheServers(t *testing.T) {
	conn := standin.NewEndlessConn(standin.EndlessConnConfig{Beginning: "HTTP/1.1 200 OK\r\n\r\nfirst\n\r\nnext", Repeated: "x", MaxBytes: 1 << 20})
	dial := func(context.Context, string) (net.Conn, error) { return conn, nil }
	opened, err := tunnel.Open(context.Background(), tunnel.Options{Dial: dial, Host: "host", Server: "127.0.0.1:1"})
	require.NoError(t, err)
	var got []byte
	for len(got) < 20 {
		p := make([]byte, 3)
		n, err := opened.Read(p)
		require.NoError(t, err)
		got = append(got, p[:n]...)
	}
	require.Equal(t, "first\n\r\nnextxxxxxxxx", string(got[:20]))
}
