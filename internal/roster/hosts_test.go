package roster_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// term is the term of the roster's leader.
const term = 3

// leaderHost is the address of the leader's own host.
const leaderHost = "h0"

func controlHost(address string) *schema.ControlHost { return &schema.ControlHost{Address: address} }

// entriesReport is a control host's report with its subscribed entries, each on its first
// stream.
func entriesReport(hosts ...string) *schema.HostNews {
	report := &schema.HostNews{EntriesTold: true}
	for _, h := range hosts {
		report.Entries = append(report.Entries, &schema.AttendingEntry{Entry: &schema.RosterEntry{Host: h, CallerAddress: h + ":1"}, Stream: 1})
	}
	return report
}

// acknowledgement is a control host's report that it and its entries have acknowledged a
// change.
func acknowledgement(change uint64, behind ...string) *schema.HostNews {
	return &schema.HostNews{Known: &schema.RosterPosition{Term: term, Change: change}, Behind: behind}
}

func directoryHosts(r *roster.Roster) []string {
	r.SweepHosts()
	out := []string{}
	for _, e := range r.UpdateSince(0).GetEntries().GetEntries() {
		out = append(out, e.GetHost())
	}
	return out
}

func listedHosts(r *roster.Roster) []*schema.ControlHost {
	r.SweepHosts()
	return r.UpdateSince(0).GetHosts().GetHosts()
}

// newSettledRoster returns the roster of a leader that has led for a minute.
func newSettledRoster() (*roster.Roster, *clock) {
	r, c := newRoster()
	c.advance(time.Minute)
	r.SweepHosts()
	return r, c
}

// The directory lists the entries of all hosts except those that are stopping.
func TestDirectoryListsEntriesOfAllHosts(t *testing.T) {
	r, _ := newSettledRoster()
	r.HostConnected(1, controlHost("h1"))
	r.HostConnected(2, controlHost("h2"))
	r.ApplyHostReport(1, "h1", term, entriesReport("e1", "e2"))
	r.ApplyHostReport(2, "h2", term, entriesReport("e3"))
	require.Equal(t, []string{"e1", "e2", "e3"}, directoryHosts(r))
	stopping := entriesReport("e1", "e2")
	stopping.Entries[1].Stopping = true
	r.ApplyHostReport(1, "h1", term, stopping)
	require.Equal(t, []string{"e1", "e3"}, directoryHosts(r))
}

// A control host restarts or is cut off. Its entries are running and subscribe to another
// host within a second or two, so they must stay in the directory meanwhile; otherwise
// callers would crowd on the other entries whenever a control host restarts. An entry that
// ended with the host is removed later.
func TestEntriesOfALostHostStayInTheDirectoryForAWhile(t *testing.T) {
	r, c := newSettledRoster()
	r.HostConnected(1, controlHost("h1"))
	r.HostConnected(2, controlHost("h2"))
	r.ApplyHostReport(1, "h1", term, entriesReport("e1", "e2"))
	r.HostDisconnected(1, "h1", "")
	require.Equal(t, []string{"e1", "e2"}, directoryHosts(r))
	r.ApplyHostReport(2, "h2", term, entriesReport("e1"))
	c.advance(3 * time.Second)
	r.ApplyHostReport(2, "h2", term, &schema.HostNews{})
	r.SweepHosts()
	require.Equal(t, []string{"e1", "e2"}, directoryHosts(r))
	c.advance(time.Second)
	r.ApplyHostReport(2, "h2", term, &schema.HostNews{})
	r.SweepHosts()
	require.Equal(t, []string{"e1"}, directoryHosts(r))
}

// An entry has moved, and the host that it left has not detected this. What the newer host
// reports of it must count: otherwise an entry that is stopping would get callers for as
// long as the older host lists it.
func TestEntryAtTwoHostsCountsAtItsNewerStream(t *testing.T) {
	r, _ := newSettledRoster()
	r.HostConnected(1, controlHost("h1"))
	r.HostConnected(2, controlHost("h2"))
	moved := entriesReport("e1")
	moved.Entries[0].Stream, moved.Entries[0].Stopping = 2, true
	r.ApplyHostReport(2, "h2", term, moved)
	r.ApplyHostReport(1, "h1", term, entriesReport("e1"))
	require.Empty(t, directoryHosts(r))
}

// Entries move from host to host by the dozen, as during an election. The directory stays
// the same, so no list may be sent: otherwise 300 entries would each receive a list of 300
// with every change.
func TestMovingEntriesChangeNoList(t *testing.T) {
	r, _ := newSettledRoster()
	r.HostConnected(1, controlHost("h1"))
	r.HostConnected(2, controlHost("h2"))
	r.ApplyHostReport(1, "h1", term, entriesReport("e1", "e2"))
	require.Equal(t, []string{"e1", "e2"}, directoryHosts(r))
	_, change := r.ServersSince(0)
	r.ApplyHostReport(2, "h2", term, entriesReport("e1"))
	r.ApplyHostReport(1, "h1", term, entriesReport("e2"))
	r.ApplyHostReport(2, "h2", term, entriesReport("e1", "e2"))
	r.ApplyHostReport(1, "h1", term, entriesReport())
	r.SweepHosts()
	require.Nil(t, r.UpdateSince(change).GetEntries())
	r.ApplyHostReport(2, "h2", term, entriesReport("e1"))
	r.SweepHosts()
	require.Len(t, r.UpdateSince(change).GetEntries().GetEntries(), 1)
}

// A host opens a new stream before the end of its old one is detected. The end of the old
// one must not remove the host's entries.
func TestEndOfAnOlderHostStreamChangesNothing(t *testing.T) {
	r, _ := newSettledRoster()
	r.HostConnected(1, controlHost("h1"))
	r.HostConnected(2, controlHost("h1"))
	r.HostDisconnected(1, "h1", "")
	require.Len(t, listedHosts(r), 1)
	r.HostDisconnected(2, "h1", "")
	require.Empty(t, listedHosts(r))
}

// A leader's term has just begun. If it sent its lists at once, the list of the first host
// that connects would send all callers to that host's entries.
func TestNewLeaderSendsNoListBeforeItIsComplete(t *testing.T) {
	r, c := newRoster()
	r.HostConnected(1, controlHost("h1"))
	r.ApplyHostReport(1, "h1", term, entriesReport("e1"))
	_, change := r.ServersSince(0)
	require.Nil(t, r.UpdateSince(0).GetEntries())
	require.Nil(t, r.UpdateSince(0).GetHosts())
	r.SweepHosts()
	require.Nil(t, r.UpdateSince(0).GetEntries())
	c.advance(1100 * time.Millisecond)
	r.ApplyHostReport(1, "h1", term, &schema.HostNews{})
	r.SweepHosts()
	// Hosts that have received all changes until then get the lists, too.
	update := r.UpdateSince(change)
	require.Len(t, update.GetEntries().GetEntries(), 1)
	require.Len(t, update.GetHosts().GetHosts(), 1)
	require.Nil(t, r.UpdateSince(update.GetKnown().GetChange()).GetEntries())
}

// With enough other hosts, entries are not sent to the leader: the reports of 33 of them
// would cost it as much as all its decisions. With few hosts each one is needed.
func TestLeaderIsNotListedAmongManyHosts(t *testing.T) {
	for hosts, listed := range map[int]int{1: 1, 3: 3, 5: 5, 6: 5, 9: 8} {
		r, _ := newSettledRoster()
		for i := range hosts {
			r.HostConnected(uint64(i+1), controlHost(fmt.Sprint("h", i)))
		}
		list := listedHosts(r)
		require.Len(t, list, listed)
		require.Equal(t, listed == hosts, slices.ContainsFunc(list, func(h *schema.ControlHost) bool { return h.GetAddress() == leaderHost }))
	}
}

// An engine's model must not be unloaded while any entry has a request for it there. The
// end of a host's stream ends what it reported.
func TestHasRequestsOfAllHosts(t *testing.T) {
	r, _ := newRoster()
	r.HostConnected(1, controlHost("h1"))
	r.HostConnected(2, controlHost("h2"))
	load := func(stream uint64, host, model string) {
		report := &schema.HostNews{LoadsTold: true}
		if model != "" {
			report.Loads = []*schema.EngineLoad{{Server: "s", Models: []string{model}}}
		}
		r.ApplyHostReport(stream, host, term, report)
	}
	load(1, "h1", "a")
	load(2, "h2", "b")
	require.True(t, r.HasRequests("s", "a"))
	require.True(t, r.HasRequests("s", "b"))
	load(2, "h2", "")
	require.False(t, r.HasRequests("s", "b"))
	r.HostDisconnected(1, "h1", "")
	require.False(t, r.HasRequests("s", "a"))
}

// A server leaves while one host, or one of its entries, has not received this. If the
// departure were acknowledged now, that entry would send requests to the server long after.
// It is acknowledged once the host reports that all have it, or the leases of the entries of a
// host have ended that is silent, or reports that it lags.
func TestDepartureWaitsForEveryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, c := newSettledRoster()
		require.True(t, r.Announce(announcement("s", "a:1", 1)))
		r.HostConnected(1, controlHost("h1"))
		r.HostConnected(2, controlHost("h2"))
		change := r.Depart("s")
		target := roster.Progress{Change: change}
		await := func() chan error {
			done := make(chan error, 1)
			go func() { done <- awaitAcked(context.Background(), r, target) }()
			time.Sleep(50 * time.Millisecond)
			synctest.Wait()
			return done
		}
		r.ApplyHostReport(1, "h1", term, acknowledgement(change))
		r.ApplyHostReport(2, "h2", term, acknowledgement(change-1, "e7"))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.ErrorContains(t, awaitAcked(ctx, r, target), "h2 e7")
		// The change number of another leader's term is unrelated to this term's
		// changes.
		other := acknowledgement(change + 9)
		other.Known.Term = term - 1
		r.ApplyHostReport(2, "h2", term, other)
		done := await()
		require.Empty(t, done)
		r.ApplyHostReport(2, "h2", term, acknowledgement(change))
		require.NoError(t, <-done)

		r.HostConnected(3, controlHost("h3"))
		done = await()
		require.Empty(t, done)
		lagging := acknowledgement(0)
		lagging.Lagging = true
		r.ApplyHostReport(3, "h3", term, lagging)
		time.Sleep(50 * time.Millisecond)
		require.Empty(t, done)
		c.advance(roster.LeaseTime)
		require.NoError(t, <-done)

		r.ApplyHostReport(3, "h3", term, acknowledgement(0))
		done = await()
		require.Empty(t, done)
		c.advance(roster.LeaseTime)
		r.ApplyHostReport(1, "h1", term, acknowledgement(change))
		r.ApplyHostReport(2, "h2", term, acknowledgement(change))
		r.SweepHosts()
		require.NoError(t, <-done)
	})
}

// awaitAcked waits for the acknowledgements of a target.
func awaitAcked(ctx context.Context, r *roster.Roster, target roster.Progress) error {
	_, err := r.AwaitAcked(ctx, target)
	return err
}
