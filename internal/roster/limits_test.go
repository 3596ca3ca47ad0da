package roster_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

func limitReport(server string, perSecond float64, base uint64) *schema.ServerLimit {
	return &schema.ServerLimit{
		Server: server, Observed: true, Limit: &schema.RequestLimit{Limited: true, PerSecond: perSecond, Revision: base},
	}
}

// The limit of a server that has ended must not apply to its next start, and a late report must not
// bring it back.
func TestLimitsGoWithTheirServers(t *testing.T) {
	r, _ := newRoster()
	first, next := roster.Announcement{ID: "s@1000", Pool: "app", Address: "a:1", Sequence: 1}, roster.Announcement{ID: "s@2000", Pool: "app", Address: "a:1", Sequence: 1}
	require.True(t, r.Announce(first))
	r.ApplyLimits([]*schema.ServerLimit{limitReport("s@1000", 2, 0), limitReport("unknown", 2, 0)})
	require.Len(t, r.Limits(), 1)
	first.Sequence++
	require.True(t, r.Announce(first))
	require.Equal(t, 2.0, r.Limits()["s@1000"].GetPerSecond(), "an announcement does not end a limit")

	require.True(t, r.Announce(next))
	require.Empty(t, r.Limits())
	r.ApplyLimits([]*schema.ServerLimit{limitReport("s@1000", 1, 1)})
	require.Empty(t, r.Limits())
}

// A new leader does not know the limits that its predecessor received. Its updates must not take
// them from entries, and control hosts must report them.
func TestLimitsSurviveAChangeOfLeader(t *testing.T) {
	m, _ := newMirror()
	limited := server("s1", ready)
	limited.Limit = &schema.RequestLimit{Limited: true, PerSecond: 2, Revision: 3}
	require.True(t, m.Apply(leaderUpdate(1, 5, limited, server("s2", ready))))
	require.Empty(t, m.TakeNewerLimits())

	require.True(t, m.Apply(leaderUpdate(2, 1, server("s1", ready, "m"), server("s2", ready))))
	views := map[string]*schema.RosterServer{}
	for _, v := range m.Since(roster.Position{}).GetServers() {
		views[v.GetId()] = v
	}
	require.True(t, proto.Equal(limited.GetLimit(), views["s1"].GetLimit()))
	require.Len(t, views["s1"].GetModels(), 1)
	newer := m.TakeNewerLimits()
	require.Len(t, newer, 1)
	require.True(t, proto.Equal(&schema.ServerLimit{Server: "s1", Limit: limited.GetLimit()}, newer[0]))
	require.Empty(t, m.TakeNewerLimits())

	r, _ := newRoster()
	require.True(t, r.Announce(announcement("s1", "a:1", 1)))
	r.ApplyLimits(newer)
	require.True(t, proto.Equal(limited.GetLimit(), r.Limits()["s1"]))
}

// A server that has ended has no limit that a new leader must know, and one that is sent again after its end does not
// get the old one: entries would wait for permits that nobody grants.
func TestLimitsOfServersThatAreGoneAreNotMerged(t *testing.T) {
	for name, end := range map[string]*schema.LeaderNews{
		"sent as gone":  leaderUpdate(2, 1, server("s1", gone)),
		"not sent":      {Known: &schema.RosterPosition{Term: 2, Change: 1}, Settled: true},
		"both at once":  {Known: &schema.RosterPosition{Term: 2, Change: 1}, Settled: true, Servers: []*schema.RosterServer{server("s1", gone)}},
		"another first": leaderUpdate(2, 1, server("s2", ready), server("s1", gone)),
	} {
		t.Run(name, func(t *testing.T) {
			m, _ := newMirror()
			limited := server("s1", ready)
			limited.Limit = &schema.RequestLimit{Limited: true, PerSecond: 2, Revision: 3}
			require.True(t, m.Apply(leaderUpdate(1, 5, limited)))
			require.True(t, m.Apply(end))
			require.Empty(t, m.TakeNewerLimits())
			require.True(t, m.Apply(leaderUpdate(2, 2, server("s1", ready))))
			require.Empty(t, m.TakeNewerLimits())
			for _, v := range m.Since(roster.Position{}).GetServers() {
				require.Nil(t, v.GetLimit())
			}
		})
	}
}

// Entries that vanish without a graceful stop may still send requests.
func TestLostEntriesAreCounted(t *testing.T) {
	r, c := newRoster()
	r.HostConnected(1, &schema.ControlHost{Address: "c1"})
	report := func(stopping bool, hosts ...string) {
		list := &schema.HostNews{EntriesTold: true}
		for _, h := range hosts {
			list.Entries = append(list.Entries, &schema.AttendingEntry{Entry: &schema.RosterEntry{Host: h}, Stopping: stopping && h == "e4"})
		}
		r.ApplyHostReport(1, "c1", 1, list)
		c.advance(announceInterval)
		r.SweepHosts()
	}
	report(false, "e1", "e2", "e3", "e4")
	report(true, "e1", "e2", "e3", "e4")
	require.Zero(t, r.LostEntryShare())
	report(false, "e1", "e2", "e3")
	require.Zero(t, r.LostEntryShare(), "a graceful stop")
	report(false, "e1", "e2")
	require.InDelta(t, 1./3, r.LostEntryShare(), 0.01)
	report(false, "e1", "e2", "e3")
	require.Zero(t, r.LostEntryShare())
}
