package roster_test

import (
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
	return roster.NewMirror(roster.MirrorConfig{Now: func() time.Time { return c.now }}), c
}

func server(id string, state schema.RosterState, models ...string) *schema.RosterServer {
	v := &schema.RosterServer{Id: id, Pool: "p", State: state}
	for _, m := range models {
		v.Models = append(v.Models, &schema.HeldModel{Name: m})
	}
	return v
}

// says is the leader's word of a term that leads to a change.
func says(term, change uint64, servers ...*schema.RosterServer) *schema.LeaderNews {
	return &schema.LeaderNews{Known: &schema.RosterPosition{Term: term, Change: change}, Servers: servers}
}

// entryOf is what an entry knows: a position, and servers by their state.
type entryOf struct {
	at      roster.Position
	servers map[string]schema.RosterState
}

func newEntryOf() *entryOf { return &entryOf{servers: map[string]schema.RosterState{}} }

// hear takes in what a host tells the entry, and returns how many servers that names.
func (e *entryOf) hear(m *roster.Mirror) int {
	news := m.Since(e.at)
	if news.GetWhole() {
		clear(e.servers)
	}
	for _, s := range news.GetServers() {
		e.servers[s.GetId()] = s.GetState()
	}
	e.at = roster.PositionOf(news.GetKnown())
	return len(news.GetServers())
}

// An entry moves between hosts that have heard the same leader, each with words of its
// own. It is told what it lacks and no more, and misses nothing on the way back to a
// host that lags behind the one it comes from.
func TestEntryMovesBetweenHostsWithTheDifference(t *testing.T) {
	a, _ := newMirror()
	b, _ := newMirror()
	for _, m := range []*roster.Mirror{a, b} {
		m.Apply(says(1, 10, server("s1", ready), server("s2", ready), server("s3", ready)))
	}
	e := newEntryOf()
	require.Equal(t, 3, e.hear(a))
	a.Apply(says(1, 20, server("s1", leaving)))
	b.Apply(says(1, 12, server("s2", leaving)))
	require.Equal(t, 1, e.hear(a))
	require.Zero(t, e.hear(b))
	require.Equal(t, roster.Position{Term: 1, Change: 20}, e.at)
	b.Apply(says(1, 25, server("s1", leaving)))
	require.Equal(t, 1, e.hear(b))
	a.Apply(says(1, 26, server("s2", leaving)))
	require.Equal(t, 1, e.hear(a))
	require.Equal(t, map[string]schema.RosterState{"s1": leaving, "s2": leaving, "s3": ready}, e.servers)
}

// Another host begins to lead and tells everything anew. Entries are told the difference:
// told everything, hundreds of entries would keep the hosts busy when they are needed.
func TestChangeOfLeaderTellsEntriesTheDifference(t *testing.T) {
	m, _ := newMirror()
	e := newEntryOf()
	m.Apply(says(1, 90, server("s1", ready, "m"), server("s2", ready), server("s3", ready)))
	require.Equal(t, 3, e.hear(m))
	// Numbers of another leader begin anew.
	m.Apply(says(2, 5, server("s1", ready, "m"), server("s2", leaving)))
	require.Equal(t, 1, e.hear(m))
	require.Equal(t, ready, e.servers["s3"])
	settled := says(2, 6)
	settled.Settled = true
	m.Apply(settled)
	require.Equal(t, 1, e.hear(m))
	require.Equal(t, map[string]schema.RosterState{"s1": ready, "s2": leaving, "s3": gone}, e.servers)
}

// A word of an earlier leader comes late: it is not taken.
func TestMirrorTakesNoEarlierLeadersWord(t *testing.T) {
	m, c := newMirror()
	require.True(t, m.Apply(says(2, 1, server("s", leaving))))
	heard, _ := m.LeaderLastSeen()
	c.now = c.now.Add(time.Second)
	require.False(t, m.Apply(says(1, 99, server("s", ready))))
	at, _ := m.LeaderLastSeen()
	require.Equal(t, heard, at)
	e := newEntryOf()
	e.hear(m)
	require.Equal(t, leaving, e.servers["s"])
}

// An entry knows the leader's roster as of a change that the host has never heard: before
// the first word of this leader to the host, after the last one of the leader before, or
// of a leader that the host never followed. What it lacks can't be told; all is.
func TestEntryIsToldAllWhereTheDifferenceIsNotKnown(t *testing.T) {
	m, c := newMirror()
	m.Apply(says(3, 40, server("s1", ready)))
	m.Apply(says(3, 50))
	m.Apply(says(5, 7, server("s1", ready)))
	m.Apply(says(5, 9))
	for _, x := range []struct {
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
		require.Equal(t, x.whole, m.Since(x.at).GetWhole(), x.at)
	}
	// A server that is gone for long is forgotten: who does not know that it is gone has
	// to be told all.
	m.Apply(says(5, 11, server("s1", gone)))
	m.Apply(says(5, 12, server("s2", ready)))
	c.now = c.now.Add(3 * time.Minute)
	m.Sweep()
	require.True(t, m.Since(roster.Position{Term: 5, Change: 10}).GetWhole())
	news := m.Since(roster.Position{Term: 5, Change: 11})
	require.False(t, news.GetWhole())
	require.Len(t, news.GetServers(), 1)
}

// Hosts and entries are listed again only where the list is another one.
func TestListsAreToldWhereTheyChange(t *testing.T) {
	m, _ := newMirror()
	lists := func(term, change uint64, entries ...string) *schema.LeaderNews {
		n := says(term, change)
		n.Entries = &schema.EntryList{}
		for _, e := range entries {
			n.Entries.Entries = append(n.Entries.Entries, &schema.RosterEntry{Host: e})
		}
		return n
	}
	m.Apply(lists(1, 4, "e1"))
	require.Len(t, m.Since(roster.Position{Term: 1, Change: 4}).GetEntries().GetEntries(), 0)
	require.Len(t, m.Since(roster.Position{}).GetEntries().GetEntries(), 1)
	m.Apply(lists(2, 3, "e1"))
	require.Nil(t, m.Since(roster.Position{Term: 1, Change: 4}).GetEntries())
	m.Apply(lists(2, 4, "e1", "e2"))
	require.Len(t, m.Since(roster.Position{Term: 1, Change: 4}).GetEntries().GetEntries(), 2)
}

// Callers ask when a model will be there. They are told what the leader answered since,
// less the time that has passed, and nothing that it said before they came.
func TestForecastsAreOfTheLeadersAnswer(t *testing.T) {
	m, c := newMirror()
	want := []*schema.ModelDemand{{Pool: "p", Model: "m"}}
	news := says(1, 1)
	news.Forecasts = []*schema.LoadForecast{{Pool: "p", Model: "m", ReadyInMs: 900}, {Pool: "p", Model: "n", ReadyInMs: -1}}
	answered := m.ForecastsUpdated()
	m.Apply(news)
	<-answered
	asked := c.now
	c.now = c.now.Add(300 * time.Millisecond)
	got := m.Forecasts(want, asked)
	require.Len(t, got, 1)
	require.Equal(t, int64(600), got[0].GetReadyInMs())
	require.Equal(t, int64(-1), m.Forecasts([]*schema.ModelDemand{{Pool: "p", Model: "n"}}, asked)[0].GetReadyInMs())
	require.Empty(t, m.Forecasts(want, c.now))
	c.now = c.now.Add(time.Second)
	require.Zero(t, m.Forecasts(want, asked)[0].GetReadyInMs())
}

// Somebody waits until entries have been told of a change by which nothing becomes other
// for them. They are told how far they know the roster all the same, at once.
func TestPositionIsToldWhereSomebodyWaits(t *testing.T) {
	m, _ := newMirror()
	m.Apply(says(1, 1, server("s", ready)))
	changed := m.Changed()
	m.Apply(says(1, 2, server("s", ready)))
	require.Equal(t, changed, m.Changed())
	awaited := says(1, 3)
	awaited.Confirm = true
	m.Apply(awaited)
	<-changed
	require.True(t, m.Since(roster.Position{Term: 1, Change: 1}).GetConfirm())
}
