package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rejectsFor returns a response to health checks with status 503 and a header field.
func rejectsFor(field string) func(net.Conn) {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 x\r\n"+field+"\r\nContent-Length: 0\r\n\r\n")
	}
}

// An entry that is cut off from all control hosts must learn from the servers themselves that they leave, and must not
// refuse its callers for servers that are too full to say anything.
func TestEntryWithoutALeaseAsksServersThemselves(t *testing.T) {
	serve := respond(http.StatusOK, signed, "done")
	for name, test := range map[string]struct {
		identify []func(net.Conn)
		// served are the servers that still get requests.
		served []bool
	}{
		"one leaves":                     {[]func(net.Conn){rejectsFor("X-Server: s0"), statesServer("s1")}, []bool{false, true}},
		"the only one leaves":            {[]func(net.Conn){rejectsFor("X-Server: s0")}, []bool{false}},
		"another process has an address": {[]func(net.Conn){statesServer("s7"), statesServer("s1")}, []bool{false, true}},
		"one says nothing":               {[]func(net.Conn){rejectsFor("X-Not-Run: 1"), statesServer("s1")}, []bool{false, true}},
		"none says anything":             {[]func(net.Conn){rejectsFor("X-Not-Run: 1"), func(net.Conn) {}}, []bool{true, true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var servers []*backend
			for _, identify := range test.identify {
				servers = append(servers, newBackend(t, serve).setIdentify(identify))
			}
			tg := newTestGateway(t, servers...)
			tg.g.SetConfirmationAge(time.Hour)
			call := func(d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					tg.call(t, "/once/x", "body", "")
				}
			}
			call(1200 * time.Millisecond)
			var before []int64
			for _, s := range servers {
				before = append(before, s.requests.Load())
			}
			call(800 * time.Millisecond)
			for i, s := range servers {
				require.Equal(t, test.served[i], s.requests.Load() > before[i], "server %d", i)
			}
		})
	}
}
