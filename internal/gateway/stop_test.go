package gateway_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestGatewayWithLongTimeouts starts a gateway whose callers wait longer than any test may
// take: a response arrives at once or never.
func newTestGatewayWithLongTimeouts(t *testing.T, backends ...*backend) *testGateway {
	t.Helper()
	tg := newTestGateway(t, backends...)
	tg.timeoutMs = "3600000"
	longTimeouts := routes()
	for _, r := range longTimeouts {
		r.TimeoutMs = 3600000
	}
	tg.g.Configure(configuration(2, longTimeouts...))
	return tg
}

// A caller waits for a model that no server has loaded while its entry is draining. Nothing was
// sent, and the process ends before the caller's deadline: the request is refused as not run,
// with a Retry-After for another entry, instead of its connection being closed without a
// response.
func TestStoppingEntryRefusesWaitingRequests(t *testing.T) {
	tg := newTestGateway(t, newBackend(t, respondOK))
	got := make(chan result, 1)
	go func() { got <- tg.call(t, "/events/x", "body", "rare") }()
	require.Eventually(t, func() bool { return tg.g.State().Waiting == 1 }, 5*time.Second, time.Millisecond)
	tg.g.StartDraining(time.Now())
	require.Equal(t, result{status: http.StatusServiceUnavailable, retryAfter: "0.05"}, <-got)
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
