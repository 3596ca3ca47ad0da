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

// peer takes one connection and tells how it ended, after it has answered with
// so many of the ten bytes that it promises.
func peer(t *testing.T, bytes int) (address string, end <-chan error) {
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
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"+"0123456789"[:bytes])
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

// A caller gives up, and the connection to its server is closed. Behind a
// partition the kernel would keep what it has not delivered and send it on when
// the partition heals: a request would run whose caller left long ago. Only a
// reset drops these bytes, so that is what the server must see, and after an
// answer that is whole a regular end.
func TestAbandonedConnectionIsReset(t *testing.T) {
	for name, x := range map[string]struct {
		bytes int
		want  error
	}{"in the middle of the answer": {4, syscall.ECONNRESET}, "after the whole answer": {10, nil}} {
		t.Run(name, func(t *testing.T) {
			address, end := peer(t, x.bytes)
			answer, err := send(context.Background(), address)
			require.NoError(t, err)
			got, err := io.ReadAll(io.LimitReader(answer.Body, int64(x.bytes)))
			require.NoError(t, err)
			require.Equal(t, "0123456789"[:x.bytes], string(got))
			if x.want == nil {
				_, err = io.ReadAll(answer.Body)
				require.NoError(t, err)
			}
			answer.Close()
			require.ErrorIs(t, <-end, x.want)
		})
	}
	t.Run("before any answer", func(t *testing.T) {
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
