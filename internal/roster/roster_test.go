package roster_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

const every = 1200 * time.Millisecond

type clock struct{ now time.Time }

func newRoster(departed ...string) (*roster.Roster, *clock) {
	c := &clock{now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
	r := roster.New(roster.Config{
		Self: leaderHost, AnnounceEvery: every, Now: func() time.Time { return c.now }, Log: logr.Discard(),
		Departed: func(id string) bool {
			for _, d := range departed {
				if d == id {
					return true
				}
			}
			return false
		},
	})
	return r, c
}

func word(id, address string, sequence uint64) roster.Announcement {
	return roster.Announcement{ID: id, Pool: "app", Address: address, Slots: 6, Sequence: sequence}
}

// A server crashes while one of its announcements is held up by a partition.
// Another server comes at its address. The late word arrives: the server that
// lives must go on getting requests.
func TestLateWordOfTheDeadTakesNothingOver(t *testing.T) {
	r, c := newRoster()
	require.True(t, r.Announce(word("old", "a:1", 1)))
	c.now = c.now.Add(3 * every)
	require.True(t, r.Announce(word("new", "a:1", 1)))
	require.True(t, r.Ready("new"))
	require.False(t, r.Ready("old"))

	c.now = c.now.Add(every / 2)
	require.False(t, r.Announce(word("old", "a:1", 2)))
	require.True(t, r.Ready("new"))
	c.now = c.now.Add(every / 2)
	require.True(t, r.Announce(word("new", "a:1", 2)))
	require.False(t, r.Announce(word("old", "a:1", 3)))
	require.True(t, r.Ready("new"))
}

// A new leader hears the late word of a dead server first. The server that lives
// speaks on and gets its address with its second word.
func TestTheLivingServerRegainsItsAddress(t *testing.T) {
	r, c := newRoster()
	require.True(t, r.Announce(word("dead", "a:1", 9)))
	c.now = c.now.Add(every / 2)
	require.False(t, r.Announce(word("alive", "a:1", 4)))
	c.now = c.now.Add(every)
	require.True(t, r.Announce(word("alive", "a:1", 5)))
	require.True(t, r.Ready("alive"))
	require.False(t, r.Ready("dead"))
}

// A server that has said that it leaves never becomes ready again by an older
// word of its own, nor by one to a leader that only knows the record.
func TestLeavingIsForGood(t *testing.T) {
	r, _ := newRoster("gone-before")
	require.True(t, r.Announce(word("s", "a:1", 1)))
	leaving := word("s", "a:1", 3)
	leaving.Leaving = true
	require.True(t, r.Announce(leaving))
	require.False(t, r.Announce(word("s", "a:1", 2)))
	require.True(t, r.Announce(word("s", "a:1", 4)))
	require.False(t, r.Ready("s"))

	require.True(t, r.Announce(word("gone-before", "b:1", 1)))
	require.False(t, r.Ready("gone-before"))
}

func TestSilentServerIsGoneAndComesBack(t *testing.T) {
	r, c := newRoster()
	require.True(t, r.Announce(word("s", "a:1", 1)))
	_, seen := r.ServersSince(0)
	c.now = c.now.Add(5 * every)
	r.Sweep()
	require.False(t, r.Ready("s"))
	views, _ := r.ServersSince(seen)
	require.Len(t, views, 1)
	require.Equal(t, schema.RosterState_ROSTER_STATE_GONE, views[0].GetState())
	require.True(t, r.Announce(word("s", "a:1", 2)))
	require.True(t, r.Ready("s"))
}

// A server leaves just after a change of leader, before the new one has heard of
// it. Entries still know it from the old leader and would send it requests until
// the new one has heard all servers, seconds later: they must be told now.
func TestDepartureOfAServerThatWasNotHeard(t *testing.T) {
	r, _ := newRoster()
	require.Positive(t, r.Depart("s"))
	views, _ := r.ServersSince(0)
	require.Len(t, views, 1)
	require.Equal(t, schema.RosterState_ROSTER_STATE_GONE, views[0].GetState())
	require.False(t, r.Ready("s"))
}
