package host_test

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/routing"
	"fennelyard/internal/standin"
)

// rejectingHandler rejects its first requests as not run and asks for a cooldown.
type rejectingHandler struct {
	// rejections is the number of requests that it rejects.
	rejections int64
	retryAfter string
	requests   atomic.Int64
}

func (r *rejectingHandler) handle(w http.ResponseWriter, q *http.Request) {
	n := r.requests.Add(1)
	w.Header().Set(routing.HeaderRequestID, q.Header.Get(routing.HeaderRequestID))
	if n <= r.rejections {
		w.Header().Set(routing.HeaderOutcome, "not-run")
		w.Header().Set("Retry-After", r.retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte(`{}`))
}

func newRejectingServer(h *harness, name, retryAfter string, rejections int64) *rejectingHandler {
	r := &rejectingHandler{retryAfter: retryAfter, rejections: rejections}
	h.application(name, func(c *standin.ApplicationConfig) { c.Handle = r.handle })
	return r
}

// A server rejects requests and asks for a cooldown. Requests that run at most once and those that
// may be repeated must go to the other server.
func TestServersGetNoRequestsDuringTheirCooldowns(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	rejecting := newRejectingServer(h, "app-1", "30", math.MaxInt64)
	h.application("app-2", nil)
	h.awaitServers(2)
	h.configure(1)
	// Requests with the same body go to the server that served the last one.
	enter := func(i int) {
		r := h.post("/services/regdesk/enter", fmt.Sprintf(`{"n":%d}`, i), "Idempotency-Key", fmt.Sprint("k", i))
		require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	}
	for i := 1000; rejecting.requests.Load() == 0; i++ {
		require.Less(t, i, 1200, "the server is not chosen")
		enter(i)
	}
	for i := range 20 {
		enter(i)
		q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, h.callerURL("/services/regdesk/list"), nil)
		require.NoError(t, err)
		q.Header.Set(routing.HeaderCustomer, testCustomer)
		require.Equal(t, http.StatusOK, h.send(q).status)
	}
	require.Equal(t, int64(1), rejecting.requests.Load())
}

// The only server asks for a cooldown that outlasts the callers' deadlines. They must be refused at
// once as not run, with the time after which it takes requests.
func TestCallersAreRefusedAtOnceDuringACooldown(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	rejecting := newRejectingServer(h, "app-1", "30", math.MaxInt64)
	h.awaitServers(1)
	h.configure(1)
	for i := range 3 {
		start := time.Now()
		r := h.post("/services/regdesk/enter", "{}", "Idempotency-Key", fmt.Sprint("k", i), routing.HeaderDeadline, "20000")
		require.Equal(t, http.StatusServiceUnavailable, r.status, "%s", r.body)
		require.Equal(t, "not-run", r.outcome)
		require.Less(t, time.Since(start), testTimeout/2)
		seconds, err := strconv.Atoi(r.header.Get("Retry-After"))
		require.NoError(t, err)
		require.InDelta(t, 32, seconds, 3)
	}
	require.Equal(t, int64(1), rejecting.requests.Load())
}

// The only server asks for a cooldown that ends before the callers' deadlines: their requests wait
// for it.
func TestRequestsWaitForTheEndOfACooldown(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	server := newRejectingServer(h, "app-1", "0.4", 1)
	h.awaitServers(1)
	h.configure(1)
	start := time.Now()
	r := h.post("/services/regdesk/enter", "{}", "Idempotency-Key", "k")
	require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	require.GreaterOrEqual(t, time.Since(start), 400*time.Millisecond)
	require.Equal(t, int64(2), server.requests.Load())
}
