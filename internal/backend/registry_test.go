package backend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/backend"
	"fennelyard/internal/schema"
)

// A process that had announced that it leaves is known to have left after its next one has announced itself:
// its end must not be taken for a crash.
func TestDepartureIsKnownAfterTheNextIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	r := backend.NewRegistry()
	announce := func(incarnation, sequence uint64, leaving bool) {
		require.True(t, r.Record(&schema.Announcement{
			Server: &schema.Server{Name: "engine", Incarnation: incarnation, Leaving: leaving}, Sequence: sequence,
		}, now))
	}
	announce(1, 1, false)
	require.False(t, r.Leaving("engine", 1))
	announce(1, 2, true)
	require.True(t, r.Leaving("engine", 1))
	announce(1, 3, false)
	require.False(t, r.Leaving("engine", 1), "a departure that was taken back")
	announce(1, 4, true)
	announce(2, 1, false)
	require.True(t, r.Leaving("engine", 1))
	require.False(t, r.Leaving("engine", 2))
	require.False(t, r.Leaving("other", 1))

	r.Unreported(now.Add(31 * time.Second))
	require.False(t, r.Leaving("engine", 1))
}
