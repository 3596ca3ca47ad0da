package roster_test

import (
	"context"
	"testing"
	"testing/synctest"
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
		AnnounceEvery: every, Now: func() time.Time { return c.now }, Log: logr.Discard(),
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
	_, seen := r.Since(0)
	c.now = c.now.Add(5 * every)
	r.Sweep()
	require.False(t, r.Ready("s"))
	views, _ := r.Since(seen)
	require.Len(t, views, 1)
	require.Equal(t, schema.RosterState_ROSTER_STATE_GONE, views[0].GetState())
	require.True(t, r.Announce(word("s", "a:1", 2)))
	require.True(t, r.Ready("s"))
}

// An entry freezes: its stream stays open while it says nothing. Callers must no
// longer be sent there, and must be again once it speaks.
func TestSilentEntryLeavesTheDirectory(t *testing.T) {
	r, c := newRoster()
	r.Attend(1, &schema.RosterEntry{Host: "e1", CallerAddress: "a:1"})
	r.Attend(2, &schema.RosterEntry{Host: "e2", CallerAddress: "b:1"})
	require.Len(t, r.Entries(0).GetEntries(), 2)
	c.now = c.now.Add(2 * time.Second)
	r.Hear(2, "e2", false)
	r.SweepEntries()
	require.Len(t, r.Entries(0).GetEntries(), 1)
	r.Hear(1, "e1", false)
	require.Len(t, r.Entries(0).GetEntries(), 2)
	r.Hear(1, "e1", true)
	require.Len(t, r.Entries(0).GetEntries(), 1)
}

// An entry reconnects before its old stream is noticed to have ended; the end of
// the old stream must not take the entry out.
func TestEndOfAnOlderStreamChangesNothing(t *testing.T) {
	r, _ := newRoster()
	r.Attend(1, &schema.RosterEntry{Host: "e1", CallerAddress: "a:1"})
	r.Attend(2, &schema.RosterEntry{Host: "e1", CallerAddress: "a:1"})
	r.Leave(1, "e1")
	require.Len(t, r.Entries(0).GetEntries(), 1)
	r.Leave(2, "e1")
	require.Empty(t, r.Entries(0).GetEntries())
}

// An engine's model must not be unloaded while any entry has a request for it
// there; the end of the entry's stream ends its word.
func TestRunsOfAllEntries(t *testing.T) {
	r, _ := newRoster()
	r.Attend(1, &schema.RosterEntry{Host: "e1"})
	r.Attend(2, &schema.RosterEntry{Host: "e2"})
	r.Load(1, "e1", []*schema.EngineLoad{{Server: "s", Models: []string{"a"}}})
	r.Load(2, "e2", []*schema.EngineLoad{{Server: "s", Models: []string{"b"}}})
	require.True(t, r.Runs("s", "a"))
	require.True(t, r.Runs("s", "b"))
	r.Load(2, "e2", nil)
	require.False(t, r.Runs("s", "b"))
	r.Leave(1, "e1")
	require.False(t, r.Runs("s", "a"))
}

// A server leaves while the leader is too busy to tell one entry. Were its word
// acknowledged now, that entry would send it requests long after; it is once the
// entry has been told, or has fallen silent.
func TestDepartureWaitsForEveryEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, c := newRoster()
		require.True(t, r.Announce(word("s", "a:1", 1)))
		r.Attend(1, &schema.RosterEntry{Host: "e1"})
		r.Attend(2, &schema.RosterEntry{Host: "e2"})
		change := r.Depart("s")
		r.Told(1, "e1", roster.Told{Change: change})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.Error(t, r.AwaitTold(ctx, roster.Told{Change: change}))
		done := make(chan error, 1)
		go func() { done <- r.AwaitTold(context.Background(), roster.Told{Change: change}) }()
		r.Told(2, "e2", roster.Told{Change: change})
		require.NoError(t, <-done)
		r.Attend(3, &schema.RosterEntry{Host: "e3"})
		go func() { done <- r.AwaitTold(context.Background(), roster.Told{Change: change}) }()
		c.now = c.now.Add(2 * time.Second)
		r.Hear(1, "e1", false)
		r.Hear(2, "e2", false)
		r.SweepEntries()
		require.NoError(t, <-done)
	})
}

// A server leaves just after a change of leader, before the new one has heard of
// it. Entries still know it from the old leader and would send it requests until
// the new one has heard all servers, seconds later: they must be told now.
func TestDepartureOfAServerThatWasNotHeard(t *testing.T) {
	r, _ := newRoster()
	require.Positive(t, r.Depart("s"))
	views, _ := r.Since(0)
	require.Len(t, views, 1)
	require.Equal(t, schema.RosterState_ROSTER_STATE_GONE, views[0].GetState())
	require.False(t, r.Ready("s"))
}
