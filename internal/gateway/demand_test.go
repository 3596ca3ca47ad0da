package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
)

// Requests at an entry wait for a model, and more arrive for the same one. The first is
// reported to the leader at once, the others after a delay, as the leader already loads the
// model: with an immediate report for each request, a host with hundreds of entries has no time
// for anything else.
func TestNewDemandIsReportedAtOnce(t *testing.T) {
	d := gateway.NewDemandTracker()
	d.AddWaiting("m", 1)
	require.True(t, d.Urgent())
	require.Equal(t, map[string]int{"m": 1}, d.Collect())
	require.False(t, d.Deferred())
	d.AddWaiting("m", 1)
	require.False(t, d.Urgent())
	require.True(t, d.Deferred())
	d.AddWaiting("n", 1)
	require.True(t, d.Urgent())
	require.Equal(t, map[string]int{"m": 2, "n": 1}, d.Collect())
	d.AddWaiting("m", -2)
	require.Equal(t, map[string]int{"m": 0, "n": 1}, d.Collect())
	d.AddWaiting("m", 1)
	require.True(t, d.Urgent())
}

// A request that arrives just after the forecast for its model uses it and need not wait for
// the next one; an older forecast may be outdated.
func TestRecentForecastAppliesToNewRequests(t *testing.T) {
	d := gateway.NewDemandTracker()
	d.SetForecast("m", 900, testTime)
	require.True(t, d.HasForecast("m", testTime.Add(-time.Second)))
	require.True(t, d.HasForecast("m", testTime.Add(200*time.Millisecond)))
	require.False(t, d.HasForecast("m", testTime.Add(400*time.Millisecond)))
	require.False(t, d.HasForecast("n", testTime))
}
