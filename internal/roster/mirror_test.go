package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

const (
	ready   = schema.RosterState_ROSTER_STATE_READY
	leaving = schema.RosterState_ROSTER_STATE_LEAVING
	gone    = schema.RosterState_ROSTER_STATE_GONE
)

func newMirror() (*roster.Mirror, *clock) {
	c := &clock{now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
	return roster.NewMirror(roster.MirrorConfig{Now: c.time}), c
}

func server(id string, state schema.RosterState, models ...string) *schema.RosterServer {
	v := &schema.RosterServer{Id: id, Pool: "p", State: state}
	for _, m := range models {
		v.Models = append(v.Models, &schema.HeldModel{Name: m})
	}
	return v
}

// leaderUpdate is a leader's update of a term that leads to a change number.
func leaderUpdate(term, change uint64, servers ...*schema.RosterServer) *schema.LeaderNews {
	return &schema.LeaderNews{Known: &schema.RosterPosition{Term: term, Change: change}, Servers: servers}
}

// entryCopy is an entry's copy of the roster: its position and the servers' states.
type entryCopy struct {
	position roster.Position
	servers  map[string]schema.RosterState
}

func newEntryCopy() *entryCopy { return &entryCopy{servers: map[string]schema.RosterState{}} }

// update applies what a host sends to the entry and returns the number of servers in it.
func (e *entryCopy) update(m *roster.Mirror) int {
	update := m.Since(e.position)
	if update.GetWhole() {
		clear(e.servers)
	}
	for _, s := range update.GetServers() {
		e.servers[s.GetId()] = s.GetState()
	}
	e.position = roster.PositionOf(update.GetKnown())
	return len(update.GetServers())
}

// An entry moves between hosts that receive the same leader's updates in different
// portions. It must receive what it lacks and no more, and miss nothing when it returns to
// a host that lags behind the other one.
func TestEntryThatMovesReceivesTheDifference(t *testing.T) {
	a, _ := newMirror()
	b, _ := newMirror()
	for _, m := range []*roster.Mirror{a, b} {
		m.Apply(leaderUpdate(1, 10, server("s1", ready), server("s2", ready), server("s3", ready)))
	}
	e := newEntryCopy()
	require.Equal(t, 3, e.update(a))
	a.Apply(leaderUpdate(1, 20, server("s1", leaving)))
	b.Apply(leaderUpdate(1, 12, server("s2", leaving)))
	require.Equal(t, 1, e.update(a))
	require.Zero(t, e.update(b))
	require.Equal(t, roster.Position{Term: 1, Change: 20}, e.position)
	b.Apply(leaderUpdate(1, 25, server("s1", leaving)))
	require.Equal(t, 1, e.update(b))
	a.Apply(leaderUpdate(1, 26, server("s2", leaving)))
	require.Equal(t, 1, e.update(a))
	require.Equal(t, map[string]schema.RosterState{"s1": leaving, "s2": leaving, "s3": ready}, e.servers)
}

// Another host becomes the leader and sends its whole roster. Entries must receive only the
// difference: the whole roster for hundreds of entries would keep the hosts busy just when
// they are needed.
func TestEntriesReceiveTheDifferenceAfterALeaderChange(t *testing.T) {
	m, _ := newMirror()
	e := newEntryCopy()
	m.Apply(leaderUpdate(1, 90, server("s1", ready, "m"), server("s2", ready), server("s3", ready)))
	require.Equal(t, 3, e.update(m))
	// Change numbers of another leader start again.
	m.Apply(leaderUpdate(2, 5, server("s1", ready, "m"), server("s2", leaving)))
	require.Equal(t, 1, e.update(m))
	require.Equal(t, ready, e.servers["s3"])
	settled := leaderUpdate(2, 6)
	settled.Settled = true
	m.Apply(settled)
	require.Equal(t, 1, e.update(m))
	require.Equal(t, map[string]schema.RosterState{"s1": ready, "s2": leaving, "s3": gone}, e.servers)
}

// An update of an earlier leader arrives late and must not be applied.
func TestMirrorRejectsUpdatesOfEarlierTerms(t *testing.T) {
	m, c := newMirror()
	require.True(t, m.Apply(leaderUpdate(2, 1, server("s", leaving))))
	lastSeen, _ := m.LeaderLastSeen()
	c.advance(time.Second)
	require.False(t, m.Apply(leaderUpdate(1, 99, server("s", ready))))
	at, _ := m.LeaderLastSeen()
	require.Equal(t, lastSeen, at)
	e := newEntryCopy()
	e.update(m)
	require.Equal(t, leaving, e.servers["s"])
}

// An entry is at a position that the host has never received: before the first update of
// this leader to the host, after the last one of the previous leader, or of a leader to
// which the host was not connected. The difference is unknown, so the entry must receive
// the whole roster.
func TestEntryReceivesAllWhereTheDifferenceIsUnknown(t *testing.T) {
	m, c := newMirror()
	m.Apply(leaderUpdate(3, 40, server("s1", ready)))
	m.Apply(leaderUpdate(3, 50))
	m.Apply(leaderUpdate(5, 7, server("s1", ready)))
	m.Apply(leaderUpdate(5, 9))
	for _, tt := range []struct {
		at    roster.Position
		whole bool
	}{
		{roster.Position{}, true},
		{roster.Position{Term: 2, Change: 45}, true},
		{roster.Position{Term: 3, Change: 39}, true},
		{roster.Position{Term: 3, Change: 40}, false},
		{roster.Position{Term: 3, Change: 50}, false},
		{roster.Position{Term: 3, Change: 51}, true},
		{roster.Position{Term: 4, Change: 45}, true},
		{roster.Position{Term: 5, Change: 6}, true},
		{roster.Position{Term: 5, Change: 7}, false},
		{roster.Position{Term: 5, Change: 9}, false},
		{roster.Position{Term: 5, Change: 99}, false},
	} {
		require.Equal(t, tt.whole, m.Since(tt.at).GetWhole(), tt.at)
	}
	// A server that has been gone for long is removed. An entry that does not know it as
	// gone must receive the whole roster.
	m.Apply(leaderUpdate(5, 11, server("s1", gone)))
	m.Apply(leaderUpdate(5, 12, server("s2", ready)))
	c.advance(3 * time.Minute)
	m.Sweep()
	require.True(t, m.Since(roster.Position{Term: 5, Change: 10}).GetWhole())
	update := m.Since(roster.Position{Term: 5, Change: 11})
	require.False(t, update.GetWhole())
	require.Len(t, update.GetServers(), 1)
}

// Lists of hosts and entries are sent again only if they differ.
func TestListsAreSentWhenTheyChange(t *testing.T) {
	m, _ := newMirror()
	lists := func(term, change uint64, entries ...string) *schema.LeaderNews {
		update := leaderUpdate(term, change)
		update.Entries = &schema.EntryList{}
		for _, e := range entries {
			update.Entries.Entries = append(update.Entries.Entries, &schema.RosterEntry{Host: e})
		}
		return update
	}
	m.Apply(lists(1, 4, "e1"))
	require.Len(t, m.Since(roster.Position{Term: 1, Change: 4}).GetEntries().GetEntries(), 0)
	require.Len(t, m.Since(roster.Position{}).GetEntries().GetEntries(), 1)
	m.Apply(lists(2, 3, "e1"))
	require.Nil(t, m.Since(roster.Position{Term: 1, Change: 4}).GetEntries())
	m.Apply(lists(2, 4, "e1", "e2"))
	require.Len(t, m.Since(roster.Position{Term: 1, Change: 4}).GetEntries().GetEntries(), 2)
}

// Callers wait for a model and query when it will be ready. They must get the leader's
// forecasts received since the query, less the time passed, and none received before.
func TestForecastsAreThoseReceivedSinceTheQuery(t *testing.T) {
	m, c := newMirror()
	demands := []*schema.ModelDemand{{Pool: "p", Model: "m"}}
	update := leaderUpdate(1, 1)
	update.Forecasts = []*schema.LoadForecast{{Pool: "p", Model: "m", ReadyInMs: 900}, {Pool: "p", Model: "n", ReadyInMs: -1}}
	updated := m.ForecastsUpdated()
	m.Apply(update)
	<-updated
	queriedAt := c.time()
	c.advance(300 * time.Millisecond)
	got := m.Forecasts(demands, queriedAt)
	require.Len(t, got, 1)
	require.Equal(t, int64(600), got[0].GetReadyInMs())
	require.Equal(t, int64(-1), m.Forecasts([]*schema.ModelDemand{{Pool: "p", Model: "n"}}, queriedAt)[0].GetReadyInMs())
	require.Empty(t, m.Forecasts(demands, c.time()))
	c.advance(time.Second)
	require.Zero(t, m.Forecasts(demands, queriedAt)[0].GetReadyInMs())
}

// The leader awaits acknowledgements of a change that does not alter the entries' view. The
// entries must receive the new position at once all the same.
func TestPositionIsSentWhileAcksAreAwaited(t *testing.T) {
	m, _ := newMirror()
	m.Apply(leaderUpdate(1, 1, server("s", ready)))
	changed := m.Changed()
	m.Apply(leaderUpdate(1, 2, server("s", ready)))
	require.Equal(t, changed, m.Changed())
	awaited := leaderUpdate(1, 3)
	awaited.Confirm = true
	m.Apply(awaited)
	<-changed
	require.True(t, m.Since(roster.Position{Term: 1, Change: 1}).GetConfirm())
}

// Operators see by pool and version how many servers there are and take new work, without those that are gone.
func TestSoftwareIsListedByVersion(t *testing.T) {
	m, _ := newMirror()
	withVersion := func(id, version string, state schema.RosterState) *schema.RosterServer {
		s := server(id, state)
		s.Software = version
		return s
	}
	m.Apply(leaderUpdate(1, 4, withVersion("i-1", "v1", ready), withVersion("i-2", "v1", leaving),
		withVersion("i-3", "v2", ready), withVersion("i-4", "", gone)))
	var got []string
	for _, s := range m.Software() {
		got = append(got, fmt.Sprintf("%s/%s %d %d", s.GetPool(), s.GetVersion(), s.GetServers(), s.GetReady()))
	}
	require.Equal(t, []string{"p/v1 2 1", "p/v2 1 1"}, got)
}
