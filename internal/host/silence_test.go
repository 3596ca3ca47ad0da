package host_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/standin"
)

// TestPooledConnectionsGoSilent: sixteen requests leave as many connections to
// an engine in the pool. All of them go silent for good at once, as when
// something between the ends forgets them; new ones work. The next requests
// find silence, give the connections up after a bounded time, suspect their
// siblings and are served on fresh ones.
func TestPooledConnectionsGoSilent(t *testing.T) {
	t.Parallel()
	b := newBed(t, "")
	l := newSilentListener(t)
	b.engine("engine-1", func(c *standin.EngineConfig) { c.Listener = l })
	b.awaitServers(1)
	b.configure(1)
	b.burst(16)
	l.silence()
	b.burst(16)
}

// TestBookingsOnSilentConnections: every connection to the application server
// goes silent between two bookings. A booking goes on a connection of its own,
// so none is lost in the pool and none is sent twice.
func TestBookingsOnSilentConnections(t *testing.T) {
	t.Parallel()
	b := newBed(t, "")
	l := newSilentListener(t)
	a := b.application("app-1", func(c *standin.ApplicationConfig) { c.Listener = l })
	b.awaitServers(1)
	b.configure(1)
	for i := range 20 {
		key := fmt.Sprint("k", i)
		r := b.post("/services/regdesk/enter", "{}", "Idempotency-Key", key)
		require.Equal(t, 200, r.status, "%s", r.body)
		require.Equal(t, 1, a.Runs().Count(key))
		l.silence()
	}
}

// TestClaimsSurviveARestart: a booking runs, the host is restarted from its
// disk, and the booking is sent again. It gets the kept answer.
func TestClaimsSurviveARestart(t *testing.T) {
	t.Parallel()
	b := newBed(t, "")
	a := b.application("app-1", nil)
	b.awaitServers(1)
	b.configure(1)
	first := b.post("/services/regdesk/enter", "{}", "Idempotency-Key", "k")
	require.Equal(t, 200, first.status)
	b.restart()
	var again reply
	b.eventually("the kept answer", func() bool {
		again = b.post("/services/regdesk/enter", "{}", "Idempotency-Key", "k")
		return again.status == 200
	})
	assert.Equal(t, "true", again.header.Get("Fennelyard-Replayed"))
	assert.Equal(t, string(first.body), string(again.body))
	assert.Equal(t, 1, a.Runs().Count("k"))
}
