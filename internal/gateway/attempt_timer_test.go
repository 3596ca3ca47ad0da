package gateway_test

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
)

// A server's first event arrives at the very moment at which its attempt times out. Either the
// attempt is canceled, and nothing of it may reach the caller, or it continues and must not be
// canceled: otherwise the caller's stream is interrupted right after its start although the
// server works.
func TestAttemptTimerStopsOrExpires(t *testing.T) {
	for name, test := range map[string]struct {
		delay time.Duration
		stops bool
	}{
		"before the timeout": {449 * time.Millisecond, true},
		"after the timeout":  {451 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				canceled := false
				timer := gateway.NewAttemptTimer(450*time.Millisecond, func() { canceled = true }, func() bool { return true })
				time.Sleep(test.delay)
				require.Equal(t, test.stops, timer.Stop())
				time.Sleep(time.Second)
				synctest.Wait()
				require.Equal(t, !test.stops, canceled)
			})
		})
	}
}

// No retry is available when an attempt times out; a moment later one is. The attempt continues
// until then.
func TestAttemptTimerWaitsForRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var canceled time.Duration
		gateway.NewAttemptTimer(450*time.Millisecond, func() { canceled = time.Since(start) },
			func() bool { return time.Since(start) >= 700*time.Millisecond })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Equal(t, 750*time.Millisecond, canceled)
	})
}

// A server with a queue responds late, and the retry budget is used up. The caller must get the
// late response, rather than an error at once because its attempt was canceled in the queue for
// a retry that is not available.
func TestLateResponseWithoutRetryBudget(t *testing.T) {
	late := func(conn net.Conn, request *http.Request) {
		time.Sleep(700 * time.Millisecond)
		streamEvents(1, 2, true)(conn, request)
	}
	a, b := newBackend(t, late), newBackend(t, late)
	tg := newTestGatewayWithBudget(t, gateway.RetryBudgetConfig{Ratio: 0, Window: time.Hour, Burst: 0}, a, b)
	got := tg.call(t, "/resume/x", "body", "m")
	require.Equal(t, http.StatusOK, got.status)
	require.False(t, got.interrupted)
	require.Equal(t, int64(1), a.requests.Load()+b.requests.Load())
}
