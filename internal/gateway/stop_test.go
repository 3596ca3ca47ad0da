package gateway_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// patientBed serves callers that wait for longer than any test may take: an
// answer comes at once or never.
func patientBed(t *testing.T, backends ...*backend) *bed {
	t.Helper()
	b := newBed(t, backends...)
	b.wait = "3600000"
	patient := routes()
	for _, r := range patient {
		r.TimeoutMs = 3600000
	}
	b.g.Configure(configuration(2, patient...))
	return b
}

// A caller waits for a model that no server holds while its entry is stopped.
// Nothing has been sent, and the process ends before the caller's time is over:
// the caller is refused as not run, with the moment to ask another entry, where
// its connection would otherwise be cut without an answer.
func TestStoppingEntryRefusesWhatStillWaits(t *testing.T) {
	b := newBed(t, newBackend(t, answers))
	got := make(chan result, 1)
	go func() { got <- b.call(t, "/events/x", "body", "rare") }()
	require.Eventually(t, func() bool { return b.g.State().Waiting == 1 }, 5*time.Second, time.Millisecond)
	b.g.StartDraining(time.Now())
	require.Equal(t, result{status: http.StatusServiceUnavailable, after: "0.05"}, <-got)
}

// The entry's time is over while a server is at work, or while a caller waits for
// a model. The first may have run, so that its caller gets no promise; the second
// has not run. Both get an answer before the process ends.
func TestEndAnswersEveryRequest(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	silent := newBackend(t, func(net.Conn, *http.Request) { <-release })
	b := patientBed(t, silent)
	sent, waits := make(chan result, 1), make(chan result, 1)
	go func() { sent <- b.call(t, "/once/x", "body", "") }()
	go func() { waits <- b.call(t, "/events/x", "body", "rare") }()
	require.Eventually(t, func() bool { return silent.seen.Load() == 1 && b.g.State().Waiting == 1 }, 5*time.Second, time.Millisecond)
	b.g.AbortRequests()
	require.Equal(t, http.StatusBadGateway, (<-sent).status)
	require.Equal(t, result{status: http.StatusServiceUnavailable, after: "0.05"}, <-waits)
}
