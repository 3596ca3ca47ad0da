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

// A server's first event comes at the very moment at which its attempt is out of
// patience. Either the attempt is given up, and nothing of it may reach the caller,
// or it goes on, and must not be cut: a caller saw a stream that was broken off right
// after it had begun, without any fault of the server.
func TestAttemptIsGivenUpOrBeginsNeverBoth(t *testing.T) {
	for name, x := range map[string]struct {
		after  time.Duration
		begins bool
	}{
		"before": {449 * time.Millisecond, true},
		"after":  {451 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				canceled := false
				p := gateway.NewPatience(450*time.Millisecond, func() { canceled = true }, func() bool { return true })
				time.Sleep(x.after)
				require.Equal(t, x.begins, p.Begin())
				time.Sleep(time.Second)
				synctest.Wait()
				require.Equal(t, !x.begins, canceled)
			})
		})
	}
}

// No repeat is to be had when an attempt is out of patience; a moment later one is.
// The attempt goes on until then.
func TestAttemptGoesOnUntilThereIsARepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var canceled time.Duration
		gateway.NewPatience(450*time.Millisecond, func() { canceled = time.Since(began) },
			func() bool { return time.Since(began) >= 700*time.Millisecond })
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Equal(t, 750*time.Millisecond, canceled)
	})
}

// A server has a queue and answers late, and the allowance of repeats is used up.
// The caller gets the late answer. It got an error at once: its request was broken
// off in the queue for a repeat that nobody had.
func TestLateAnswerWithoutARepeatInHand(t *testing.T) {
	late := func(conn net.Conn, q *http.Request) {
		time.Sleep(700 * time.Millisecond)
		stream(1, 2, true)(conn, q)
	}
	a, b := newBackend(t, late), newBackend(t, late)
	bed := newBedWith(t, gateway.RetryBudgetConfig{Ratio: 0, Window: time.Hour, Burst: 0}, a, b)
	got := bed.call(t, "/resume/x", "body", "m")
	require.Equal(t, http.StatusOK, got.status)
	require.False(t, got.broken)
	require.Equal(t, int64(1), a.seen.Load()+b.seen.Load())
}
