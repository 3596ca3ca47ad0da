package gateway_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

// A server process ends in the middle of a response. The log names the server, states that it
// has ended and contains the request's key, so that retries of a request can be followed across
// entries.
func TestServerEndIsLogged(t *testing.T) {
	lines := make(chan string, 16)
	var server *backend
	server = newBackend(t, func(net.Conn, *http.Request) { _ = server.l.Close() })
	tg := newTestGatewayWithLog(t, funcr.New(func(prefix, args string) { lines <- prefix + " " + args }, funcr.Options{}), server)
	require.Equal(t, 502, tg.call(t, "/once/x", "body", "").status)
	for {
		select {
		case line := <-lines:
			if strings.Contains(line, "attempts broke off") {
				require.Contains(t, line, `"server"="s0"`)
				require.Contains(t, line, `"answers"="refused" "ended"=true`)
				return
			}
		case <-time.After(20 * time.Second):
			require.FailNow(t, "the end of the server is not logged")
		}
	}
}

// A leaving server ends while it still has a request. Its end proves nothing about the request:
// the server is not probed, and the request does not become suspect.
func TestLeavingServerIsNotProbed(t *testing.T) {
	lines := make(chan string, 64)
	received, leave := make(chan struct{}), make(chan struct{})
	var server *backend
	server = newBackend(t, func(net.Conn, *http.Request) {
		close(received)
		<-leave
		_ = server.l.Close()
	})
	tg := newTestGatewayWithLog(t, funcr.New(func(prefix, args string) { lines <- prefix + " " + args }, funcr.Options{}), server)
	go func() {
		<-received
		tg.g.ApplyServers(false, &schema.RosterServer{
			Id: "s0", Pool: "p", Address: server.l.Addr().String(), State: schema.RosterState_ROSTER_STATE_LEAVING,
		})
		close(leave)
	}()
	require.Equal(t, 502, tg.call(t, "/once/x", "body", "").status)
	tg.g.Close()
	close(lines)
	for line := range lines {
		require.NotContains(t, line, "attempts broke off")
	}
}

// Three servers end while they run the same request at one entry. Its fourth attempt is
// refused at once as not run, with a Retry-After, and reaches no server. A request with
// another body is served.
func TestHarmfulRequestIsQuarantined(t *testing.T) {
	var servers []*backend
	for range 5 {
		var server *backend
		server = newBackend(t, func(conn net.Conn, request *http.Request) {
			if request.ContentLength == 7 {
				_ = server.l.Close()
				return
			}
			respondOK(conn, request)
		})
		servers = append(servers, server)
	}
	tg := newTestGateway(t, servers...)
	reached := func() (n int64) {
		for _, server := range servers {
			n += server.requests.Load()
		}
		return n
	}
	for want := 1; want <= 3; want++ {
		require.Equal(t, 502, tg.call(t, "/once/x", "harmful", "").status)
		require.Eventually(t, func() bool { return tg.g.MaxEndedServers() == want }, 20*time.Second, time.Millisecond)
	}
	before := reached()
	got := tg.call(t, "/once/x", "harmful", "")
	require.Equal(t, 503, got.status)
	require.NotEmpty(t, got.retryAfter)
	require.Equal(t, before, reached())
	require.Equal(t, 200, tg.call(t, "/once/x", "other", "").status)
}

// A request waits for its model when a part of its prompt is found to crash servers. It must be refused
// at once, with the time for which the part is held back.
func TestWaitingRequestIsHeldBack(t *testing.T) {
	tg := newTestGateway(t, newBackend(t, respondOK))
	results := make(chan result, 1)
	go func() { results <- tg.callWithParts(t, "/once/x", "body", "missing", "first", "harmful", "last") }()
	require.Eventually(t, func() bool { return tg.g.State().Waiting == 1 }, 20*time.Second, time.Millisecond)
	tg.g.HoldBackPart("harmful")
	got := <-results
	require.Equal(t, 503, got.status)
	seconds, err := strconv.ParseFloat(got.retryAfter, 64)
	require.NoError(t, err)
	require.Greater(t, seconds, 200.0)
}

// Servers that fail part of their requests respond with an error to a harmful request, too. That must
// not clear it: they have not run it.
func TestFailedResponseClearsNoRequest(t *testing.T) {
	var servers []*backend
	var fails atomic.Bool
	for range 5 {
		var server *backend
		server = newBackend(t, func(conn net.Conn, request *http.Request) {
			if fails.Load() {
				respondError(conn, request)
				return
			}
			_ = server.l.Close()
		})
		servers = append(servers, server)
	}
	tg := newTestGateway(t, servers...)
	for want := 1; want <= 3; want++ {
		fails.Store(true)
		require.Equal(t, 500, tg.call(t, "/once/x", "harmful", "").status)
		fails.Store(false)
		require.Equal(t, 502, tg.call(t, "/once/x", "harmful", "").status)
		require.Eventually(t, func() bool { return tg.g.MaxEndedServers() == want }, 20*time.Second, time.Millisecond)
	}
	require.Equal(t, 503, tg.call(t, "/once/x", "harmful", "").status)
}

// A request waits for the end of a server's cooldown when it turns out to be harmful: it must be refused at once,
// not after its wait.
func TestWaitingRequestIsRefusedOnceItIsHeldBack(t *testing.T) {
	server := newBackend(t, respondOK)
	tg := newTestGateway(t, server)
	require.Equal(t, 200, tg.call(t, "/once/x", "ordinary", "").status)
	tg.g.CarriedCooldown("s0", 1200*time.Millisecond)
	key := quarantine.Request{Method: http.MethodPost, Host: "h.example", Target: "/once/x", Body: []byte("harmful")}.Key()
	suspect := &schema.Suspect{Key: key[:]}
	for i := range 3 {
		suspect.Ended = append(suspect.Ended, &schema.EndedServer{Server: strconv.Itoa(i), AgeMs: 1})
	}
	time.AfterFunc(100*time.Millisecond, func() { tg.g.MergeSuspects([]*schema.Suspect{suspect}) })
	result := tg.call(t, "/once/x", "harmful", "")
	require.Equal(t, 503, result.status)
	require.Positive(t, tg.g.ServerCooldown(server.l.Addr().String()), "refused after its wait")
	seconds, err := strconv.ParseFloat(result.retryAfter, 64)
	require.NoError(t, err)
	require.Greater(t, seconds, 60.0)
}

// A request is held back from the servers of one version: no connection may be opened to one, and its attempts must
// go to the others.
func TestServersOfAHeldVersionAreNotChosen(t *testing.T) {
	var connections atomic.Int64
	held, other := newBackend(t, respondOK), newBackend(t, respondOK)
	sender := relay.NewSender(relay.Config{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if address == held.l.Addr().String() {
			connections.Add(1)
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}})
	tg := startTestGatewayWithSender(t, gateway.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Millisecond, Burst: 100}, logr.Discard(), sender)
	tg.g.HoldLease()
	tg.g.ApplyServers(false,
		&schema.RosterServer{Id: "s0", Pool: "p", Address: held.l.Addr().String(), Slots: 6, Software: "v1"},
		&schema.RosterServer{Id: "s1", Pool: "p", Address: other.l.Addr().String(), Slots: 6, Software: "v2"})
	key := quarantine.Request{Method: http.MethodPost, Host: "h.example", Target: "/once/x", Body: []byte("harmful")}.Key()
	suspect := &schema.Suspect{Key: key[:]}
	for i := range 3 {
		suspect.Ended = append(suspect.Ended, &schema.EndedServer{Server: strconv.Itoa(i), AgeMs: 1, Kind: uint32(quarantine.KindOf("p", "v1"))})
	}
	tg.g.MergeSuspects([]*schema.Suspect{suspect})
	for range 20 {
		require.Equal(t, 200, tg.call(t, "/once/x", "harmful", "").status)
	}
	require.Zero(t, connections.Load())
	require.Equal(t, int64(20), other.requests.Load())
	// No other server is left.
	tg.g.ApplyServers(true, &schema.RosterServer{Id: "s0", Pool: "p", Address: held.l.Addr().String(), Slots: 6, Software: "v1"})
	require.Equal(t, 503, tg.call(t, "/once/x", "harmful", "").status)
	require.Equal(t, 200, tg.call(t, "/once/x", "ordinary", "").status)
}

// Another entry reports that a server has ended: each attempt there would cost a retry until the leader has
// removed it.
func TestServerThatAnotherEntryFoundEndedIsNotChosen(t *testing.T) {
	ended, other := newBackend(t, respondOK), newBackend(t, respondOK)
	tg := newTestGateway(t, ended, other)
	key := quarantine.Request{Target: "/other"}.Key()
	tg.g.MergeSuspects([]*schema.Suspect{{Key: key[:], Ended: []*schema.EndedServer{{Server: "s0", AgeMs: 1}}}})
	for range 20 {
		require.Equal(t, 200, tg.call(t, "/once/x", "ordinary", "").status)
	}
	require.Zero(t, ended.requests.Load())
}
