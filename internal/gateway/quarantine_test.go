package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/schema"
)

// A server dies in the middle of an answer: the log names it, says that it has ended, and
// gives the request's key, so that a request that is repeated can be followed over entries.
func TestLogTellsOfAServerThatEnded(t *testing.T) {
	lines := make(chan string, 16)
	var dies *backend
	dies = newBackend(t, func(net.Conn, *http.Request) { _ = dies.l.Close() })
	bed := newBedLogging(t, funcr.New(func(prefix, args string) { lines <- prefix + " " + args }, funcr.Options{}), dies)
	require.Equal(t, 502, bed.call(t, "/once/x", "body", "").status)
	for {
		select {
		case line := <-lines:
			if strings.Contains(line, "attempts broke off") {
				require.Contains(t, line, `"server"="s0"`)
				require.Contains(t, line, `"answers"="refused" "ended"=true`)
				return
			}
		case <-time.After(20 * time.Second):
			require.FailNow(t, "nothing is said of the server")
		}
	}
}

// A server that leaves ends while it still has a request. Its end says nothing about what
// it ran: nobody asks after it, and the request is not under suspicion.
func TestServerThatLeavesIsNotAskedAfter(t *testing.T) {
	lines := make(chan string, 64)
	taken, leave := make(chan struct{}), make(chan struct{})
	var leaves *backend
	leaves = newBackend(t, func(net.Conn, *http.Request) {
		close(taken)
		<-leave
		_ = leaves.l.Close()
	})
	bed := newBedLogging(t, funcr.New(func(prefix, args string) { lines <- prefix + " " + args }, funcr.Options{}), leaves)
	go func() {
		<-taken
		bed.g.Believe(false, &schema.RosterServer{
			Id: "s0", Pool: "p", Address: leaves.l.Addr().String(), State: schema.RosterState_ROSTER_STATE_LEAVING,
		})
		close(leave)
	}()
	require.Equal(t, 502, bed.call(t, "/once/x", "body", "").status)
	bed.g.Close()
	close(lines)
	for line := range lines {
		require.NotContains(t, line, "attempts broke off")
	}
}

// Three servers end under a request at one entry; its fourth repeat is refused at once as
// not run, with a time to return, and reaches no server. A request with another body is
// served.
func TestFourthRepeatIsRefused(t *testing.T) {
	var all []*backend
	for range 5 {
		var b *backend
		b = newBackend(t, func(conn net.Conn, q *http.Request) {
			if q.ContentLength == 7 {
				_ = b.l.Close()
				return
			}
			answers(conn, q)
		})
		all = append(all, b)
	}
	bed := newBed(t, all...)
	reached := func() (n int64) {
		for _, b := range all {
			n += b.seen.Load()
		}
		return n
	}
	for want := 1; want <= 3; want++ {
		require.Equal(t, 502, bed.call(t, "/once/x", "harmful", "").status)
		require.Eventually(t, func() bool { return bed.g.Suspected() == want }, 20*time.Second, time.Millisecond)
	}
	before := reached()
	got := bed.call(t, "/once/x", "harmful", "")
	require.Equal(t, 503, got.status)
	require.NotEmpty(t, got.after)
	require.Equal(t, before, reached())
	require.Equal(t, 200, bed.call(t, "/once/x", "other", "").status)
}
