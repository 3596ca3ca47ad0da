package roster_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

const announceInterval = 1200 * time.Millisecond

// clock is the time of a roster, which may be read while a test advances it.
type clock struct {
	mu sync.Mutex
	// now is guarded by mu.
	now time.Time
}

func (c *clock) time() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newRoster(departed ...string) (*roster.Roster, *clock) {
	return newRosterWith(func(id string) bool { return slices.Contains(departed, id) })
}

// newRosterWith returns a roster with a function for recorded departures.
func newRosterWith(departed func(id string) bool) (*roster.Roster, *clock) {
	c := &clock{now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
	return roster.New(roster.Config{
		Self: leaderHost, AnnounceEvery: announceInterval, Now: c.time, Log: logr.Discard(),
		Departed: departed,
	}), c
}

func announcement(id, address string, sequence uint64) roster.Announcement {
	return roster.Announcement{ID: id, Pool: "app", Address: address, Slots: 6, Sequence: sequence}
}

// A server crashes while one of its announcements is delayed by a partition, and another
// server starts at its address. When the late announcement arrives, the running server must
// continue to get requests.
func TestLateAnnouncementOfAnEndedServerTakesNoAddress(t *testing.T) {
	r, c := newRoster()
	require.True(t, r.Announce(announcement("old", "a:1", 1)))
	c.advance(3 * announceInterval)
	require.True(t, r.Announce(announcement("new", "a:1", 1)))
	require.True(t, r.Ready("new"))
	require.False(t, r.Ready("old"))

	c.advance(announceInterval / 2)
	require.False(t, r.Announce(announcement("old", "a:1", 2)))
	require.True(t, r.Ready("new"))
	c.advance(announceInterval / 2)
	require.True(t, r.Announce(announcement("new", "a:1", 2)))
	require.False(t, r.Announce(announcement("old", "a:1", 3)))
	require.True(t, r.Ready("new"))
}

// A new leader receives a late announcement of an ended server first. The running server
// must get its address with its second announcement.
func TestLiveServerRegainsItsAddress(t *testing.T) {
	r, c := newRoster()
	require.True(t, r.Announce(announcement("ended", "a:1", 9)))
	c.advance(announceInterval / 2)
	require.False(t, r.Announce(announcement("running", "a:1", 4)))
	c.advance(announceInterval)
	require.True(t, r.Announce(announcement("running", "a:1", 5)))
	require.True(t, r.Ready("running"))
	require.False(t, r.Ready("ended"))
}

// A server that has announced its end never becomes ready again, neither by an older
// announcement nor at a leader that has only the recorded departure.
func TestLeavingServerNeverBecomesReady(t *testing.T) {
	r, _ := newRoster("gone-before")
	require.True(t, r.Announce(announcement("s", "a:1", 1)))
	leaving := announcement("s", "a:1", 3)
	leaving.Leaving = true
	require.True(t, r.Announce(leaving))
	require.False(t, r.Announce(announcement("s", "a:1", 2)))
	require.True(t, r.Announce(announcement("s", "a:1", 4)))
	require.False(t, r.Ready("s"))

	require.True(t, r.Announce(announcement("gone-before", "b:1", 1)))
	require.False(t, r.Ready("gone-before"))
}

func TestSilentServerIsGoneUntilItAnnounces(t *testing.T) {
	r, c := newRoster()
	require.True(t, r.Announce(announcement("s", "a:1", 1)))
	_, change := r.ServersSince(0)
	c.advance(5 * announceInterval)
	r.Sweep()
	require.False(t, r.Ready("s"))
	views, _ := r.ServersSince(change)
	require.Len(t, views, 1)
	require.Equal(t, schema.RosterState_ROSTER_STATE_GONE, views[0].GetState())
	require.True(t, r.Announce(announcement("s", "a:1", 2)))
	require.True(t, r.Ready("s"))
}

// A server leaves just after a change of leader, before it has announced itself to the new
// leader. Entries still have it from the previous leader and would send it requests until
// the new one has settled, seconds later: they must receive its state now.
func TestDepartureOfAnUnknownServer(t *testing.T) {
	r, _ := newRoster()
	require.Positive(t, r.Depart("s"))
	views, _ := r.ServersSince(0)
	require.Len(t, views, 1)
	require.Equal(t, schema.RosterState_ROSTER_STATE_GONE, views[0].GetState())
	require.False(t, r.Ready("s"))
}

// A server that announces another version of its software under the same incarnation must keep the
// first one: streams that it began could be joined with those of another version otherwise. A server
// that an earlier leader recorded without a version takes the announced one.
func TestFirstAnnouncedVersionHolds(t *testing.T) {
	r, _ := newRoster()
	a := announcement("i-1", "a:1", 1)
	a.Software = "v1"
	require.True(t, r.Announce(a))
	a.Software, a.Sequence = "v2", 2
	require.True(t, r.Announce(a))
	require.Equal(t, "v1", r.ReadyServers()["i-1"].GetSoftware())

	require.True(t, r.Restore(announcement("i-2", "a:2", 0)))
	a = announcement("i-2", "a:2", 1)
	a.Software = "v2"
	require.True(t, r.Announce(a))
	require.Equal(t, "v2", r.ReadyServers()["i-2"].GetSoftware())
}
