package tcp_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/tcp"
)

// A response to a caller that takes no chunks ends with its connection: closed regularly, the part that was sent
// would look whole.
func TestAbortedResponsesDoNotLookWhole(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		tcp.AbortResponse(w)
	}))
	defer server.Close()
	for name, request := range map[string]string{
		"in chunks":      "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"without chunks": "GET / HTTP/1.0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, request)
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			_, err = io.ReadAll(response.Body)
			require.Error(t, err)
		})
	}
}
