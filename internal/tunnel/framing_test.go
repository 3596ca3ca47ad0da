package tunnel_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/tcp"
	"fennelyard/internal/tunnel"
)

// startCarrier returns the address of a host that responds to each CONNECT with some bytes and closes the connection
// regularly, as the kernel does for a process that is killed.
func startCarrier(t *testing.T, response string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, response)
			_ = conn.Close()
		}
	}()
	return l.Addr().String()
}

// The end of the host that carries a tunnel, whose connections the kernel closes regularly, must not pass for the end
// of the response.
func TestEndOfTheCarrierIsNotTheEndOfTheResponse(t *testing.T) {
	const framed = "HTTP/1.1 200 OK\r\nFennelyard-Tunnel-Framing: chunked\r\n\r\n"
	for name, tt := range map[string]struct {
		response, got string
		whole         bool
	}{
		"the server has ended":      {framed + "4\r\npart\r\n0\r\n\r\n", "part", true},
		"between chunks":            {framed + "4\r\npart\r\n", "part", false},
		"within a chunk":            {framed + "8\r\npart", "part", false},
		"within a size":             {framed + "4\r\npart\r\n0", "part", false},
		"before the first chunk":    {framed, "", false},
		"malformed":                 {framed + "4\r\npart\r\nxyz\r\n", "part", false},
		"a host that states no end": {"HTTP/1.1 200 OK\r\n\r\npart", "part", false},
	} {
		t.Run(name, func(t *testing.T) {
			carrier := startCarrier(t, tt.response)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			conn, err := tunnel.Open(ctx, tunnel.Options{Dial: tcp.Dial, Host: carrier, Server: "10.0.0.1:80"})
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
			got, err := io.ReadAll(conn)
			require.Equal(t, tt.got, string(got))
			if tt.whole {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, carrier)
		})
	}
}

// During an update hosts of the version before open tunnels, whose bytes are not in chunks.
func TestHostsThatKnowNoFramingAreCarried(t *testing.T) {
	h := startHost(t, nil)
	address, accepted := listen(t)
	conn, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, "CONNECT "+address+" HTTP/1.1\r\nHost: "+address+"\r\n\r\n")
	require.NoError(t, err)
	server := <-accepted
	_, err = io.WriteString(server, "response")
	require.NoError(t, err)
	require.NoError(t, server.Close())
	got, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200 OK\r\n\r\nresponse", string(got))
}
