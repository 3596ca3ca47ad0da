package host_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/standin"
)

// TestPooledConnectionsGoSilent tests that requests survive silent connections in the
// pool. Sixteen requests leave as many connections to an engine in the pool. All of
// them then go silent permanently, as when a middlebox drops their state; new
// connections work. The next requests must abandon the silent connections after a
// bounded time, suspect the other pooled ones and be served on new connections.
func TestPooledConnectionsGoSilent(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	l := newSilentListener(t)
	h.engine("engine-1", func(c *standin.EngineConfig) { c.Listener = l })
	h.awaitServers(1)
	h.configure(1)
	h.burst(16)
	l.silence()
	h.burst(16)
}

// TestBookingsOnSilentConnections tests that bookings do not use pooled connections.
// All connections to the application server go silent between two bookings; each
// booking uses a new connection, so none is lost and none is sent twice.
func TestBookingsOnSilentConnections(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	l := newSilentListener(t)
	a := h.application("app-1", func(c *standin.ApplicationConfig) { c.Listener = l })
	h.awaitServers(1)
	h.configure(1)
	for i := range 20 {
		key := fmt.Sprint("k", i)
		r := h.post("/services/regdesk/enter", "{}", "Idempotency-Key", key)
		require.Equal(t, 200, r.status, "%s", r.body)
		require.Equal(t, 1, a.Runs().Count(key))
		l.silence()
	}
}

// TestClaimsSurviveRestart tests that a booking that is sent again after the host has
// restarted from its disk gets the stored response and does not run again.
func TestClaimsSurviveRestart(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	a := h.application("app-1", nil)
	h.awaitServers(1)
	h.configure(1)
	first := h.post("/services/regdesk/enter", "{}", "Idempotency-Key", "k")
	require.Equal(t, 200, first.status)
	h.restart()
	var again response
	h.eventually("the stored response", func() bool {
		again = h.post("/services/regdesk/enter", "{}", "Idempotency-Key", "k")
		return again.status == 200
	})
	assert.Equal(t, "true", again.header.Get("Fennelyard-Replayed"))
	assert.Equal(t, string(first.body), string(again.body))
	assert.Equal(t, 1, a.Runs().Count("k"))
}
