package gateway_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/drain"
	"fennelyard/internal/gateway"
	"fennelyard/internal/ledger"
	"fennelyard/internal/peer"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
	"fennelyard/internal/tcp"
)

// newTestGatewayWithLongTimeouts starts a gateway whose callers wait longer than any test may
// take: a response arrives at once or never.
func newTestGatewayWithLongTimeouts(t *testing.T, backends ...*backend) *testGateway {
	t.Helper()
	tg := newTestGateway(t, backends...)
	setLongTimeouts(tg)
	return tg
}

// setLongTimeouts makes callers wait for longer than any test may take.
func setLongTimeouts(tg *testGateway) {
	tg.timeoutMs = "3600000"
	longTimeouts := routes()
	for _, r := range longTimeouts {
		r.TimeoutMs = 3600000
	}
	tg.g.Configure(configuration(2, longTimeouts...))
}

// A caller waits for a model that no server has loaded while its entry is draining. Nothing was
// sent, and the process ends before the caller's deadline: the request is refused as not run,
// with a Retry-After for another entry, instead of its connection being closed without a
// response.
func TestStoppingEntryRefusesWaitingRequests(t *testing.T) {
	requestLines := make(chan string, 1)
	tg := startConfiguredGateway(t, func(cfg *gateway.Config) {
		cfg.Log, cfg.Sender = logr.Discard(), relay.NewSender(relay.Config{})
		cfg.RequestLog = funcr.New(func(_, line string) { requestLines <- line }, funcr.Options{})
	}, newBackend(t, respondOK))
	got := make(chan result, 1)
	go func() { got <- tg.call(t, "/events/x", "body", "rare") }()
	require.Eventually(t, func() bool { return tg.g.State().Waiting == 1 }, 5*time.Second, time.Millisecond)
	tg.g.StartDraining(drain.NewPlan(drain.PlanConfig{Start: time.Now(), Limit: time.Second}))
	require.Equal(t, result{status: http.StatusServiceUnavailable, retryAfter: "0.05"}, <-got)
	require.Contains(t, <-requestLines, "stopping: requests are aborted in")
}

// A stopping entry aborts its requests while a server runs one and another one waits for a
// model. The first may have run, so its response must not state that it did not; the second has
// not run. Both get a response before the process ends.
func TestAbortRespondsToEveryRequest(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	silent := newBackend(t, func(net.Conn, *http.Request) { <-release })
	tg := newTestGatewayWithLongTimeouts(t, silent)
	sent, waits := make(chan result, 1), make(chan result, 1)
	go func() { sent <- tg.call(t, "/once/x", "body", "") }()
	go func() { waits <- tg.call(t, "/events/x", "body", "rare") }()
	require.Eventually(t, func() bool { return silent.requests.Load() == 1 && tg.g.State().Waiting == 1 }, 5*time.Second, time.Millisecond)
	tg.g.AbortRequests()
	require.Equal(t, http.StatusBadGateway, (<-sent).status)
	require.Equal(t, result{status: http.StatusServiceUnavailable, retryAfter: "0.05"}, <-waits)
}

// startDraining makes a gateway drain within a second, in which no request of an hour ends.
func startDraining(tg *testGateway) {
	tg.g.StartDraining(drain.NewPlan(drain.PlanConfig{Start: time.Now(), Limit: time.Second}))
}

// A caller waits for the first configuration of an entry that is asked to stop: it is refused at once, before its body
// has arrived or after.
func TestStoppingEntryRefusesRequestsThatAwaitAConfiguration(t *testing.T) {
	dialer := peer.NewDialer(peer.DialerConfig{})
	defer dialer.Close()
	g := gateway.New(gateway.Config{
		Self: &schema.RosterEntry{Host: "e"}, Seeds: func() []string { return nil }, Dialer: dialer, Replica: ledger.NewReplica(),
		Codec: codec(), RequestLog: logr.Discard(), Log: logr.Discard(), Sender: relay.NewSender(relay.Config{}),
	})
	defer g.Close()
	server := httptest.NewServer(g)
	defer server.Close()
	tg := &testGateway{g, server.URL, "3600000"}
	got := make(chan result, 1)
	go func() { got <- tg.call(t, "/once/x", "body", "") }()
	require.Eventually(t, func() bool { return g.InFlight() == 1 }, 5*time.Second, time.Millisecond)
	startDraining(tg)
	require.Equal(t, result{status: http.StatusServiceUnavailable, retryAfter: "0.05"}, <-got)
}

// A request that may be repeated fails at its server after the signal: it is not sent to another one that could not
// finish it, and its response promises nothing.
func TestStoppingEntryDoesNotRetryWhatItCannotFinish(t *testing.T) {
	release := make(chan struct{})
	failing := func(net.Conn, *http.Request) { <-release }
	a, b := newBackend(t, failing), newBackend(t, failing)
	tg := newTestGatewayWithLongTimeouts(t, a, b)
	got := make(chan result, 1)
	go func() { got <- tg.call(t, "/again/x", "body", "") }()
	require.Eventually(t, func() bool { return a.requests.Load()+b.requests.Load() == 1 }, 5*time.Second, time.Millisecond)
	startDraining(tg)
	close(release)
	require.Equal(t, result{status: http.StatusBadGateway}, <-got)
	require.Equal(t, int64(1), a.requests.Load()+b.requests.Load())
}

// The signal comes while the entry connects to the server: nothing is sent, and the request is refused as not run.
func TestStoppingEntryDoesNotSendAfterConnecting(t *testing.T) {
	server := newBackend(t, respondOK)
	connecting, proceed := make(chan struct{}), make(chan struct{})
	sender := relay.NewSender(relay.Config{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		close(connecting)
		<-proceed
		return tcp.Dial(ctx, address)
	}})
	tg := startTestGatewayWithSender(t, gateway.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Millisecond, Burst: 100}, logr.Discard(), sender, server)
	setLongTimeouts(tg)
	got := make(chan result, 1)
	go func() { got <- tg.call(t, "/once/x", "body", "") }()
	<-connecting
	startDraining(tg)
	close(proceed)
	require.Equal(t, result{status: http.StatusServiceUnavailable, retryAfter: "0.05"}, <-got)
	require.Zero(t, server.requests.Load())
}

// A stream breaks off at a stopping entry, and the only other server rejects its continuation and asks for a short
// cooldown. The stream must continue there: a caller that has a part of it can't be refused any more.
func TestStoppingEntryResumesAStreamAfterACooldown(t *testing.T) {
	var tg *testGateway
	var rejected atomic.Bool
	handle := func(conn net.Conn, request *http.Request) {
		switch {
		case request.Header.Get("X-After") != "2":
			tg.g.StartDraining(drain.NewPlan(drain.PlanConfig{Start: time.Now(), Limit: time.Hour}))
			streamEvents(1, 2, false)(conn, request)
		case rejected.CompareAndSwap(false, true):
			respond(http.StatusServiceUnavailable, "X-Not-Run: 1\r\nRetry-After: 0.3\r\n", "")(conn, request)
		default:
			streamEvents(3, 4, true)(conn, request)
		}
	}
	tg = newTestGatewayWithLongTimeouts(t, newBackend(t, handle), newBackend(t, handle))
	got := tg.call(t, "/resume/x", "body", "m")
	require.False(t, got.interrupted)
	require.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n", got.body)
}
