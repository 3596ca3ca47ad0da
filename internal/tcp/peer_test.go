package tcp_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/tcp"
)

// The bytes of a sender that has given up are read like any others.
func TestEndOfThePeerIsSeenBeforeItsBytesAreRead(t *testing.T) {
	for name, end := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { _ = c.Close() },
		"reset":  tcp.Reset,
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			peer, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			conn, err := l.Accept()
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(peer, "request")
			require.NoError(t, err)
			require.True(t, tcp.IsEstablished(conn))
			end(peer)
			require.Eventually(t, func() bool { return !tcp.IsEstablished(conn) }, 10*time.Second, time.Millisecond)
			text := make([]byte, 7)
			_, err = io.ReadFull(conn, text)
			require.NoError(t, err)
			require.Equal(t, "request", string(text))
		})
	}
}
