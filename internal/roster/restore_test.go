package roster_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A new leader knows a server's address from the log. Another server has started at that
// address: its first announcement must take the address, and the recorded server, which has
// not announced itself, is gone. If a second announcement were needed, callers would be
// sent to the ended server for a second longer.
func TestRestoredServerIsReplacedAtOnce(t *testing.T) {
	r, c := newRoster()
	require.True(t, r.Restore(announcement("old", "a:1", 0)))
	require.True(t, r.Ready("old"))
	c.advance(announceInterval / 4)
	require.True(t, r.Announce(announcement("new", "a:1", 1)))
	require.True(t, r.Ready("new"))
	require.False(t, r.Ready("old"))
}

// A server's own announcement takes precedence over its record, and a server that has left
// stays leaving.
func TestRestoreChangesNothingThatWasAnnounced(t *testing.T) {
	r, _ := newRoster("left")
	require.True(t, r.Announce(announcement("i", "a:1", 7)))
	require.False(t, r.Restore(announcement("i", "b:1", 0)))
	require.Equal(t, "a:1", r.ReadyServers()["i"].GetAddress())
	r.Restore(announcement("left", "c:1", 0))
	require.False(t, r.Ready("left"))
	require.Len(t, r.ReadyServers(), 1)
}

// A recorded server that never announces itself expires sooner than one that did.
func TestRestoredServerThatIsSilentExpires(t *testing.T) {
	r, c := newRoster()
	r.Restore(announcement("i", "a:1", 0))
	c.advance(3 * announceInterval)
	r.Sweep()
	require.False(t, r.Ready("i"))
}
