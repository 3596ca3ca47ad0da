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

// term is the one that the roster's leader leads in.
const term = 3

// leaderHost is the address of the leader's own host.
const leaderHost = "h0"

func controlHost(address string) *schema.ControlHost { return &schema.ControlHost{Address: address} }

// attend is a control host's word that some entries attend it, each on its first stream.
func attend(hosts ...string) *schema.HostNews {
	n := &schema.HostNews{EntriesTold: true}
	for _, h := range hosts {
		n.Entries = append(n.Entries, &schema.AttendingEntry{Entry: &schema.RosterEntry{Host: h, CallerAddress: h + ":1"}, Stream: 1})
	}
	return n
}

// told is a control host's word that it and its entries know the roster so far.
func told(change uint64, behind ...string) *schema.HostNews {
	return &schema.HostNews{Known: &schema.RosterPosition{Term: term, Change: change}, Behind: behind}
}

func directory(r *roster.Roster) []string {
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

// led returns the roster of a leader that has led for some time.
func led() (*roster.Roster, *clock) {
	r, c := newRoster()
	c.now = c.now.Add(time.Minute)
	r.SweepHosts()
	return r, c
}

// Callers are sent to the entries of all hosts, but for those that prepare to stop.
func TestDirectoryHoldsTheEntriesOfAllHosts(t *testing.T) {
	r, _ := led()
	r.HostConnected(1, controlHost("h1"))
	r.HostConnected(2, controlHost("h2"))
	r.UpdateHost(1, "h1", term, attend("e1", "e2"))
	r.UpdateHost(2, "h2", term, attend("e3"))
	require.Equal(t, []string{"e1", "e2", "e3"}, directory(r))
	stopping := attend("e1", "e2")
	stopping.Entries[1].Stopping = true
	r.UpdateHost(1, "h1", term, stopping)
	require.Equal(t, []string{"e1", "e3"}, directory(r))
}

// A control host restarts, or is cut off. Its entries live and attend another one within
// a second or two: they stay in the directory meanwhile, or callers would crowd on the
// others whenever a control host restarts. An entry that ended with it goes in the end.
func TestEntriesOfALostHostStayInTheDirectoryForAWhile(t *testing.T) {
	r, c := led()
	r.HostConnected(1, controlHost("h1"))
	r.HostConnected(2, controlHost("h2"))
	r.UpdateHost(1, "h1", term, attend("e1", "e2"))
	r.HostDisconnected(1, "h1")
	require.Equal(t, []string{"e1", "e2"}, directory(r))
	r.UpdateHost(2, "h2", term, attend("e1"))
	c.now = c.now.Add(3 * time.Second)
	r.UpdateHost(2, "h2", term, &schema.HostNews{})
	r.SweepHosts()
	require.Equal(t, []string{"e1", "e2"}, directory(r))
	c.now = c.now.Add(time.Second)
	r.UpdateHost(2, "h2", term, &schema.HostNews{})
	r.SweepHosts()
	require.Equal(t, []string{"e1"}, directory(r))
}

// An entry has moved, and the host that it left has not noticed. What the later host says
// of it counts: an entry that prepares to stop would otherwise get callers for as long as
// the earlier one speaks for it.
func TestEntryAtTwoHostsIsBelievedAtTheLater(t *testing.T) {
	r, _ := led()
	r.HostConnected(1, controlHost("h1"))
	r.HostConnected(2, controlHost("h2"))
	moved := attend("e1")
	moved.Entries[0].Stream, moved.Entries[0].Stopping = 2, true
	r.UpdateHost(2, "h2", term, moved)
	r.UpdateHost(1, "h1", term, attend("e1"))
	require.Empty(t, directory(r))
}

// Entries move from host to host by the dozen, as while a leader is elected. Callers are
// sent to the same entries as before, and nobody is told a list: with each change 300
// entries would be told of 300.
func TestEntriesThatMoveChangeNoList(t *testing.T) {
	r, _ := led()
	r.HostConnected(1, controlHost("h1"))
	r.HostConnected(2, controlHost("h2"))
	r.UpdateHost(1, "h1", term, attend("e1", "e2"))
	require.Equal(t, []string{"e1", "e2"}, directory(r))
	_, change := r.ServersSince(0)
	r.UpdateHost(2, "h2", term, attend("e1"))
	r.UpdateHost(1, "h1", term, attend("e2"))
	r.UpdateHost(2, "h2", term, attend("e1", "e2"))
	r.UpdateHost(1, "h1", term, attend())
	r.SweepHosts()
	require.Nil(t, r.UpdateSince(change).GetEntries())
	r.UpdateHost(2, "h2", term, attend("e1"))
	r.SweepHosts()
	require.Len(t, r.UpdateSince(change).GetEntries().GetEntries(), 1)
}

// A host's stream is renewed before its old one is noticed to have ended; the end of the
// old one must not take its entries out of what counts.
func TestEndOfAHostsOlderStreamChangesNothing(t *testing.T) {
	r, _ := led()
	r.HostConnected(1, controlHost("h1"))
	r.HostConnected(2, controlHost("h1"))
	r.HostDisconnected(1, "h1")
	require.Len(t, listedHosts(r), 1)
	r.HostDisconnected(2, "h1")
	require.Empty(t, listedHosts(r))
}

// A leader has just begun. Told at once, the list of the first host that finds it would
// send all callers to the entries of that one.
func TestNewLeaderTellsNoListBeforeItCanKnow(t *testing.T) {
	r, c := newRoster()
	r.HostConnected(1, controlHost("h1"))
	r.UpdateHost(1, "h1", term, attend("e1"))
	_, change := r.ServersSince(0)
	require.Nil(t, r.UpdateSince(0).GetEntries())
	require.Nil(t, r.UpdateSince(0).GetHosts())
	r.SweepHosts()
	require.Nil(t, r.UpdateSince(0).GetEntries())
	c.now = c.now.Add(1100 * time.Millisecond)
	r.UpdateHost(1, "h1", term, &schema.HostNews{})
	r.SweepHosts()
	// Also to a host that has been told all changes until then.
	news := r.UpdateSince(change)
	require.Len(t, news.GetEntries().GetEntries(), 1)
	require.Len(t, news.GetHosts().GetHosts(), 1)
	require.Nil(t, r.UpdateSince(news.GetKnown().GetChange()).GetEntries())
}

// Where there are enough others, entries are not sent to the leader: what 33 of them say
// would cost it as much as all its decisions. With few hosts each counts.
func TestLeaderIsSparedEntries(t *testing.T) {
	for hosts, listed := range map[int]int{1: 1, 3: 3, 5: 5, 6: 5, 9: 8} {
		r, _ := led()
		for i := range hosts {
			r.HostConnected(uint64(i+1), controlHost(fmt.Sprint("h", i)))
		}
		list := listedHosts(r)
		require.Len(t, list, listed)
		require.Equal(t, listed == hosts, slices.ContainsFunc(list, func(h *schema.ControlHost) bool { return h.GetAddress() == leaderHost }))
	}
}

// An engine's model must not be unloaded while any entry has a request for it
// there; the end of the host's stream ends its word.
func TestRunsOfAllHosts(t *testing.T) {
	r, _ := newRoster()
	r.HostConnected(1, controlHost("h1"))
	r.HostConnected(2, controlHost("h2"))
	load := func(stream uint64, host, model string) {
		n := &schema.HostNews{LoadsTold: true}
		if model != "" {
			n.Loads = []*schema.EngineLoad{{Server: "s", Models: []string{model}}}
		}
		r.UpdateHost(stream, host, term, n)
	}
	load(1, "h1", "a")
	load(2, "h2", "b")
	require.True(t, r.HasRequests("s", "a"))
	require.True(t, r.HasRequests("s", "b"))
	load(2, "h2", "")
	require.False(t, r.HasRequests("s", "b"))
	r.HostDisconnected(1, "h1")
	require.False(t, r.HasRequests("s", "a"))
}

// A server leaves while one host, or an entry of it, has not been told. Were its word
// acknowledged now, that entry would send it requests long after; it is once the host
// says that all know, or has fallen silent, or tells entries nothing.
func TestDepartureWaitsForEveryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, c := newRoster()
		require.True(t, r.Announce(word("s", "a:1", 1)))
		r.HostConnected(1, controlHost("h1"))
		r.HostConnected(2, controlHost("h2"))
		change := r.Depart("s")
		far := roster.Progress{Change: change}
		await := func() chan error {
			done := make(chan error, 1)
			go func() { done <- r.AwaitAcked(context.Background(), far) }()
			time.Sleep(50 * time.Millisecond)
			synctest.Wait()
			return done
		}
		r.UpdateHost(1, "h1", term, told(change))
		r.UpdateHost(2, "h2", term, told(change-1, "e7"))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		require.ErrorContains(t, r.AwaitAcked(ctx, far), "h2 e7")
		// A host knows the number from another leader: it says nothing of this one's.
		other := told(change + 9)
		other.Known.Term = term - 1
		r.UpdateHost(2, "h2", term, other)
		done := await()
		require.Empty(t, done)
		r.UpdateHost(2, "h2", term, told(change))
		require.NoError(t, <-done)

		r.HostConnected(3, controlHost("h3"))
		done = await()
		require.Empty(t, done)
		lagging := told(0)
		lagging.Lagging = true
		r.UpdateHost(3, "h3", term, lagging)
		require.NoError(t, <-done)

		r.UpdateHost(3, "h3", term, told(0))
		done = await()
		require.Empty(t, done)
		c.now = c.now.Add(2 * time.Second)
		r.UpdateHost(1, "h1", term, told(change))
		r.UpdateHost(2, "h2", term, told(change))
		r.SweepHosts()
		require.NoError(t, <-done)
	})
}
