package host_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/routing"
	"fennelyard/internal/standin"
)

// A caller that is killed within its request closes the connection regularly: what has arrived must not run as the
// whole request, nor must a request run without its body.
func TestHalfRequestsAreNotRun(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	runs := standin.NewRuns()
	h.application("app-1", func(cfg *standin.ApplicationConfig) {
		cfg.Handle = func(w http.ResponseWriter, q *http.Request) {
			runs.Add(q.Header.Get("Idempotency-Key"))
			_, _ = io.WriteString(w, "{}")
		}
	})
	h.awaitServers(1)
	h.configure(1)
	for name, c := range map[string]struct {
		head, body string
		whole      bool
		// stays is set if the caller waits for the response.
		stays bool
	}{
		"half of the length":               {"POST /services/regdesk/enter HTTP/1.1\r\nContent-Length: 8\r\n", "1234", false, false},
		"half of a chunk":                  {"POST /services/regdesk/enter HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", "8\r\n1234", false, false},
		"no last chunk":                    {"POST /services/regdesk/enter HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", "4\r\n1234\r\n", false, false},
		"half of the last chunk":           {"POST /services/regdesk/enter HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", "4\r\n1234\r\n0\r\n", false, false},
		"half of the head":                 {"POST /services/regdesk/enter HTTP/1.1\r\nContent-Length: 4\r", "", false, false},
		"HTTP/1.0, half of the length":     {"POST /services/regdesk/enter HTTP/1.0\r\nContent-Length: 8\r\n", "1234", false, false},
		"HTTP/1.0 without length":          {"POST /services/regdesk/enter HTTP/1.0\r\n", "1234", false, true},
		"HTTP/1.0 without length, may run": {"PUT /services/regdesk/enter HTTP/1.0\r\n", "1234", false, true},
		"HTTP/1.0 in chunks":               {"POST /services/regdesk/enter HTTP/1.0\r\nTransfer-Encoding: chunked\r\n", "4\r\n1234\r\n0\r\n\r\n", false, true},
		"HTTP/1.0":                         {"POST /services/regdesk/enter HTTP/1.0\r\nContent-Length: 4\r\n", "1234", true, true},
		"HTTP/1.0 without body":            {"GET /services/regdesk/enter HTTP/1.0\r\n", "", true, true},
		"length":                           {"POST /services/regdesk/enter HTTP/1.1\r\nContent-Length: 4\r\n", "1234", true, true},
		"chunks":                           {"POST /services/regdesk/enter HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", "4\r\n1234\r\n0\r\n\r\n", true, true},
		"no body":                          {"POST /services/regdesk/enter HTTP/1.1\r\n", "", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", h.layout.Hosts()[0].Caller)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
			key := strings.Map(func(r rune) rune {
				if r >= 'a' && r <= 'z' {
					return r
				}
				return '-'
			}, name)
			head := c.head
			if strings.HasSuffix(head, "\n") {
				head += "Host: a\r\nConnection: close\r\nIdempotency-Key: " + key + "\r\n" + routing.HeaderCustomer + ": " + testCustomer + "\r\n\r\n"
			}
			_, err = io.WriteString(conn, head+c.body)
			require.NoError(t, err)
			if !c.whole && !c.stays {
				require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			}
			data, _ := io.ReadAll(conn)
			require.Equal(t, c.whole, strings.Contains(string(data), " 200 OK"), "%s", data)
			require.Equal(t, c.whole, runs.Count(key) == 1, "%d runs, %s", runs.Count(key), data)
		})
	}
}
