package roster_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A new leader knows from the log where a server was. Another server has come at its
// address since: its first word takes the place, and the recorded one, of which
// nothing is heard, is gone. Were it to wait for a second word, callers would be sent
// to the dead server for a second more.
func TestRecalledServerGivesWayAtOnce(t *testing.T) {
	r, c := newRoster()
	require.True(t, r.Restore(word("old", "a:1", 0)))
	require.True(t, r.Ready("old"))
	c.now = c.now.Add(every / 4)
	require.True(t, r.Announce(word("new", "a:1", 1)))
	require.True(t, r.Ready("new"))
	require.False(t, r.Ready("old"))
}

// What a server says itself goes before what was recorded of it, and one that has
// left stays so.
func TestRecallChangesNothingThatWasHeard(t *testing.T) {
	r, _ := newRoster("left")
	require.True(t, r.Announce(word("i", "a:1", 7)))
	require.False(t, r.Restore(word("i", "b:1", 0)))
	require.Equal(t, "a:1", r.ReadyServers()["i"].GetAddress())
	r.Restore(word("left", "c:1", 0))
	require.False(t, r.Ready("left"))
	require.Len(t, r.ReadyServers(), 1)
}

// A recorded server that is never heard of is given up sooner than one that spoke.
func TestRecalledServerThatIsSilent(t *testing.T) {
	r, c := newRoster()
	r.Restore(word("i", "a:1", 0))
	c.now = c.now.Add(3 * every)
	r.Sweep()
	require.False(t, r.Ready("i"))
}
