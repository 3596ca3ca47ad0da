package subscription_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
	"fennelyard/internal/subscription"
)

type clock struct{ now time.Time }

func newEntries() (*subscription.Registry, *clock) {
	c := &clock{now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
	return subscription.New(subscription.Config{Now: func() time.Time { return c.now }, Log: logr.Discard()}), c
}

func entry(host string) *schema.RosterEntry {
	return &schema.RosterEntry{Host: host, CallerAddress: host + ":1"}
}

// far is how far somebody was told of the leader's roster in term 1, and of the log.
func far(change, revision uint64) subscription.Progress {
	return subscription.Progress{Known: roster.Position{Term: 1, Change: change}, Revision: revision}
}

// listed tells the leader everything and returns the entries that callers may be sent to.
func listed(e *subscription.Registry) []string {
	e.ResetReported()
	out := []string{}
	for _, a := range e.NextReport(far(0, 0), false).GetEntries() {
		if !a.GetStopping() {
			out = append(out, a.GetEntry().GetHost())
		}
	}
	return out
}

// An entry freezes: its stream stays open while it says nothing. Callers must no
// longer be sent there, and must be again once it speaks.
func TestSilentEntryIsNotListed(t *testing.T) {
	e, c := newEntries()
	e.Subscribe(1, entry("e1"), 1)
	e.Subscribe(2, entry("e2"), 1)
	require.Equal(t, []string{"e1", "e2"}, listed(e))
	c.now = c.now.Add(2 * time.Second)
	e.HandleReport(2, "e2", &schema.EntryNews{})
	e.Sweep()
	require.Equal(t, []string{"e2"}, listed(e))
	e.HandleReport(1, "e1", &schema.EntryNews{})
	require.Equal(t, []string{"e1", "e2"}, listed(e))
	e.HandleReport(1, "e1", &schema.EntryNews{Stopping: true})
	require.Equal(t, []string{"e2"}, listed(e))
}

// An entry reconnects before its old stream is noticed to have ended; the end of
// the old stream must not take the entry out.
func TestEndOfAnOlderStreamChangesNothing(t *testing.T) {
	e, _ := newEntries()
	e.Subscribe(1, entry("e1"), 1)
	e.Subscribe(2, entry("e1"), 2)
	e.Unsubscribe(1, "e1")
	require.Equal(t, []string{"e1"}, listed(e))
	e.Unsubscribe(2, "e1")
	require.Empty(t, listed(e))
}

// A model must not be unloaded while any entry has a request for it at an engine, and the
// engine's load is that of all entries.
func TestLoadsOfAllEntries(t *testing.T) {
	e, c := newEntries()
	for i, host := range []string{"e1", "e2", "e3"} {
		e.Subscribe(uint64(i+1), entry(host), 1)
	}
	tell := func(stream uint64, host string, loads ...*schema.EngineLoad) {
		e.HandleReport(stream, host, &schema.EntryNews{LoadsTold: true, Loads: loads})
	}
	tell(1, "e1", &schema.EngineLoad{Server: "s", Running: 1, Unread: 10, Models: []string{"a"}})
	tell(2, "e2", &schema.EngineLoad{Server: "s", Running: 2, Unread: 20, Models: []string{"b", "a"}})
	require.Nil(t, e.NextReport(far(0, 0), false).GetLoads())
	loads := e.NextReport(far(0, 0), true).GetLoads()
	require.Len(t, loads, 1)
	require.Equal(t, []string{"a", "b"}, loads[0].GetModels())
	require.Equal(t, uint32(3), loads[0].GetRunning())
	require.Equal(t, uint32(30), loads[0].GetUnread())

	tell(2, "e2")
	require.Equal(t, []string{"a"}, e.NextReport(far(0, 0), true).GetLoads()[0].GetModels())
	c.now = c.now.Add(2 * subscription.SilenceTimeout)
	e.Sweep()
	require.Empty(t, e.NextReport(far(0, 0), true).GetLoads())
}

// The leader loads what callers wait for. It must know the same sum as if every entry had
// told it, and that nobody waits any more, also where the entry that said so is gone:
// engines would be kept from others by a model that nobody wants.
func TestDemandIsTheSumOfAllEntries(t *testing.T) {
	e, c := newEntries()
	e.Subscribe(1, entry("e1"), 1)
	e.Subscribe(2, entry("e2"), 1)
	ask := func(stream uint64, host string, arrived, waiting uint32) {
		e.HandleReport(stream, host, &schema.EntryNews{Demands: []*schema.ModelDemand{
			{Pool: "p", Model: "m", Adapter: "a", Arrived: arrived, Waiting: waiting, ReadUs: 5, RanUs: 7},
		}})
	}
	told := func() (arrived, waiting uint32, n int) {
		for _, d := range e.NextReport(far(0, 0), false).GetDemands() {
			require.Equal(t, []string{"p", "m", "a"}, []string{d.GetPool(), d.GetModel(), d.GetAdapter()})
			arrived, waiting, n = arrived+d.GetArrived(), waiting+d.GetWaiting(), n+1
		}
		return arrived, waiting, n
	}
	check := func(arrived, waiting uint32, n int) {
		t.Helper()
		a, w, m := told()
		require.Equal(t, []any{arrived, waiting, n}, []any{a, w, m})
	}
	check(0, 0, 0)
	ask(1, "e1", 1, 1)
	ask(2, "e2", 2, 3)
	ask(1, "e1", 1, 2)
	check(4, 5, 1)
	// What waits is said each time, and what no longer waits once.
	check(0, 5, 1)
	ask(1, "e1", 0, 0)
	check(0, 3, 1)
	e.Unsubscribe(2, "e2")
	check(0, 0, 1)
	check(0, 0, 0)
	// Another leader has heard nothing of it.
	ask(1, "e1", 0, 4)
	check(0, 4, 1)
	e.ResetReported()
	check(0, 4, 1)
	// A silent entry's requests wait no longer, as far as anybody knows.
	c.now = c.now.Add(2 * subscription.SilenceTimeout)
	e.Sweep()
	check(0, 0, 1)
	ask(1, "e1", 0, 1)
	check(0, 1, 1)
	e.Subscribe(3, entry("e1"), 2)
	check(0, 0, 1)
}

// urgent reports whether the leader is to be told at once.
func urgent(e *subscription.Registry) bool {
	select {
	case <-e.ReportRequested():
		return true
	default:
		return false
	}
}

// A change is acknowledged once all entries have it. One of them is behind: the host must
// not say more than that one knows, and says which it is. Silent entries count for
// nothing, and a host without entries speaks for itself.
func TestHostIsToldAsFarAsItsLastEntry(t *testing.T) {
	e, c := newEntries()
	told := func() (uint64, uint64, []string) {
		n := e.NextReport(far(9, 90), false)
		return n.GetKnown().GetChange(), n.GetRevision(), n.GetBehind()
	}
	check := func(change, revision uint64, behind ...string) {
		t.Helper()
		c, r, b := told()
		require.Equal(t, []any{change, revision, behind}, []any{c, r, b})
	}
	check(9, 90)
	e.Subscribe(1, entry("e1"), 1)
	e.Subscribe(2, entry("e2"), 1)
	check(0, 0, "e1", "e2")
	e.Acknowledge(1, "e1", far(9, 90))
	e.Acknowledge(2, "e2", far(8, 90))
	check(8, 90, "e2")
	e.Acknowledge(2, "e2", far(9, 70))
	check(9, 70, "e2")
	// Of another leader's roster nothing is known that counts.
	e.Acknowledge(2, "e2", subscription.Progress{Known: roster.Position{Term: 0, Change: 99}, Revision: 90})
	check(99, 90, "e2")
	require.Zero(t, e.NextReport(far(9, 90), false).GetKnown().GetTerm())
	c.now = c.now.Add(2 * subscription.SilenceTimeout)
	e.HandleReport(1, "e1", &schema.EntryNews{})
	e.Sweep()
	check(9, 90)
}

// An operator waits until all entries have a change. The leader hears of it as soon as the
// last one does, not with the host's next beat.
func TestLeaderIsToldAtOnceWhenTheLastEntryKnows(t *testing.T) {
	e, _ := newEntries()
	e.Subscribe(1, entry("e1"), 1)
	e.Subscribe(2, entry("e2"), 1)
	require.False(t, urgent(e))
	e.ExpectAck(far(0, 5))
	e.Acknowledge(1, "e1", far(0, 5))
	require.False(t, urgent(e))
	e.Acknowledge(2, "e2", far(0, 4))
	require.False(t, urgent(e))
	e.Acknowledge(2, "e2", far(0, 6))
	require.True(t, urgent(e))
	e.Acknowledge(2, "e2", far(0, 7))
	require.False(t, urgent(e))
}

// Requests wait for a model at one entry, then at another as well. The leader is told at
// once that somebody waits, and with the next beat that more do.
func TestLeaderIsToldAtOnceOfANewModel(t *testing.T) {
	e, _ := newEntries()
	e.Subscribe(1, entry("e1"), 1)
	e.Subscribe(2, entry("e2"), 1)
	wait := func(stream uint64, host, model string, n uint32) {
		e.HandleReport(stream, host, &schema.EntryNews{Demands: []*schema.ModelDemand{{Pool: "p", Model: model, Waiting: n}}})
	}
	wait(1, "e1", "m", 1)
	require.True(t, urgent(e))
	wait(2, "e2", "m", 1)
	wait(1, "e1", "m", 2)
	require.False(t, urgent(e))
	wait(2, "e2", "n", 1)
	require.True(t, urgent(e))
}
