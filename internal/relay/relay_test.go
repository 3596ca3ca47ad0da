package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/relay"
)

// startServer starts a server that accepts one connection, announces a body of ten
// bytes and sends the first sent of them. end receives the error with which the
// connection ended, nil for a regular close.
func startServer(t *testing.T, sent int) (address string, end <-chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	ended := make(chan error, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.ReadFull(conn, make([]byte, 1))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"+"0123456789"[:sent])
		_, err = io.Copy(io.Discard, conn)
		ended <- err
	}()
	return l.Addr().String(), ended
}

func send(ctx context.Context, address string) (*relay.Response, error) {
	return relay.NewSender(relay.Config{}).Send(ctx, address, &relay.Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, MatchesResponse: func(http.Header) bool { return true },
	})
}

// When a caller gives up, the connection to its server must be reset. After a plain
// close the kernel would keep undelivered data during a network partition and send it
// when the partition heals: the request would be executed long after its caller left.
// Only a reset discards this data. After a complete response the connection is closed
// regularly.
func TestAbandonedConnectionIsReset(t *testing.T) {
	for name, test := range map[string]struct {
		sent int
		want error
	}{"in the middle of the response": {4, syscall.ECONNRESET}, "after the complete response": {10, nil}} {
		t.Run(name, func(t *testing.T) {
			address, end := startServer(t, test.sent)
			response, err := send(context.Background(), address)
			require.NoError(t, err)
			got, err := io.ReadAll(io.LimitReader(response.Body, int64(test.sent)))
			require.NoError(t, err)
			require.Equal(t, "0123456789"[:test.sent], string(got))
			if test.want == nil {
				_, err = io.ReadAll(response.Body)
				require.NoError(t, err)
			}
			response.Close()
			require.ErrorIs(t, <-end, test.want)
		})
	}
	t.Run("before any response", func(t *testing.T) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		go func() { _, _ = send(ctx, l.Addr().String()) }()
		conn, err := l.Accept()
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, conn)
		require.ErrorIs(t, err, syscall.ECONNRESET)
	})
}
