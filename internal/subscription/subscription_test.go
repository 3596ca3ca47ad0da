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

func newRegistry() (*subscription.Registry, *clock) {
	c := &clock{now: time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)}
	return subscription.New(subscription.Config{Now: func() time.Time { return c.now }, Log: logr.Discard()}), c
}

func entry(host string) *schema.RosterEntry {
	return &schema.RosterEntry{Host: host, CallerAddress: host + ":1"}
}

// progress returns a progress in term 1 of the leader's roster and in the log.
func progress(change, revision uint64) subscription.Progress {
	return subscription.Progress{Known: roster.Position{Term: 1, Change: change}, Revision: revision}
}

// listedEntries makes the next report complete and returns its entries that accept callers.
func listedEntries(r *subscription.Registry) []string {
	r.ResetReported()
	out := []string{}
	for _, a := range r.NextReport(progress(0, 0), false).GetEntries() {
		if !a.GetStopping() {
			out = append(out, a.GetEntry().GetHost())
		}
	}
	return out
}

// An entry freezes: its stream stays open, but it sends no reports. Callers must not be
// sent to it, until it sends reports again.
func TestSilentEntryIsNotListed(t *testing.T) {
	r, c := newRegistry()
	r.Subscribe(1, entry("e1"), 1)
	r.Subscribe(2, entry("e2"), 1)
	require.Equal(t, []string{"e1", "e2"}, listedEntries(r))
	c.now = c.now.Add(2 * time.Second)
	r.HandleReport(2, "e2", &schema.EntryNews{})
	r.Sweep()
	require.Equal(t, []string{"e2"}, listedEntries(r))
	r.HandleReport(1, "e1", &schema.EntryNews{})
	require.Equal(t, []string{"e1", "e2"}, listedEntries(r))
	r.HandleReport(1, "e1", &schema.EntryNews{Stopping: true})
	require.Equal(t, []string{"e2"}, listedEntries(r))
}

// An entry reconnects before the end of its old stream is detected; the end of the old
// stream must not remove the entry.
func TestEndOfAnOlderStreamChangesNothing(t *testing.T) {
	r, _ := newRegistry()
	r.Subscribe(1, entry("e1"), 1)
	r.Subscribe(2, entry("e1"), 2)
	r.Unsubscribe(1, "e1", "")
	require.Equal(t, []string{"e1"}, listedEntries(r))
	r.Unsubscribe(2, "e1", "")
	require.Empty(t, listedEntries(r))
}

// A model must not be unloaded while any entry has a request for it at an engine, and an
// engine's load is the sum over all entries.
func TestLoadsOfAllEntries(t *testing.T) {
	r, c := newRegistry()
	for i, host := range []string{"e1", "e2", "e3"} {
		r.Subscribe(uint64(i+1), entry(host), 1)
	}
	report := func(stream uint64, host string, loads ...*schema.EngineLoad) {
		r.HandleReport(stream, host, &schema.EntryNews{LoadsTold: true, Loads: loads})
	}
	report(1, "e1", &schema.EngineLoad{Server: "s", Running: 1, Unread: 10, Models: []string{"a"}})
	report(2, "e2", &schema.EngineLoad{Server: "s", Running: 2, Unread: 20, Models: []string{"b", "a"}})
	require.Nil(t, r.NextReport(progress(0, 0), false).GetLoads())
	loads := r.NextReport(progress(0, 0), true).GetLoads()
	require.Len(t, loads, 1)
	require.Equal(t, []string{"a", "b"}, loads[0].GetModels())
	require.Equal(t, uint32(3), loads[0].GetRunning())
	require.Equal(t, uint32(30), loads[0].GetUnread())

	report(2, "e2")
	require.Equal(t, []string{"a"}, r.NextReport(progress(0, 0), true).GetLoads()[0].GetModels())
	c.now = c.now.Add(2 * subscription.SilenceTimeout)
	r.Sweep()
	require.Empty(t, r.NextReport(progress(0, 0), true).GetLoads())
}

// The leader loads the models that callers wait for. It must receive the same sum as if
// every entry reported to it, and learn that no requests wait any more, also if the entry
// that reported them is gone: otherwise a model that nobody requests would occupy engines.
func TestDemandIsTheSumOfAllEntries(t *testing.T) {
	r, c := newRegistry()
	r.Subscribe(1, entry("e1"), 1)
	r.Subscribe(2, entry("e2"), 1)
	report := func(stream uint64, host string, arrived, waiting uint32) {
		r.HandleReport(stream, host, &schema.EntryNews{Demands: []*schema.ModelDemand{
			{Pool: "p", Model: "m", Adapter: "a", Arrived: arrived, Waiting: waiting, ReadUs: 5, RanUs: 7},
		}})
	}
	reported := func() (arrived, waiting uint32, n int) {
		for _, d := range r.NextReport(progress(0, 0), false).GetDemands() {
			require.Equal(t, []string{"p", "m", "a"}, []string{d.GetPool(), d.GetModel(), d.GetAdapter()})
			arrived, waiting, n = arrived+d.GetArrived(), waiting+d.GetWaiting(), n+1
		}
		return arrived, waiting, n
	}
	check := func(arrived, waiting uint32, n int) {
		t.Helper()
		a, w, m := reported()
		require.Equal(t, []any{arrived, waiting, n}, []any{a, w, m})
	}
	check(0, 0, 0)
	report(1, "e1", 1, 1)
	report(2, "e2", 2, 3)
	report(1, "e1", 1, 2)
	check(4, 5, 1)
	// Waiting requests are reported each time, and their end once.
	check(0, 5, 1)
	report(1, "e1", 0, 0)
	check(0, 3, 1)
	r.Unsubscribe(2, "e2", "")
	check(0, 0, 1)
	check(0, 0, 0)
	// Another leader has received nothing.
	report(1, "e1", 0, 4)
	check(0, 4, 1)
	r.ResetReported()
	check(0, 4, 1)
	// The waiting requests of a silent entry no longer count.
	c.now = c.now.Add(2 * subscription.SilenceTimeout)
	r.Sweep()
	check(0, 0, 1)
	report(1, "e1", 0, 1)
	check(0, 1, 1)
	r.Subscribe(3, entry("e1"), 2)
	check(0, 0, 1)
}

// reportRequested reports whether a report is due at once, and consumes the request.
func reportRequested(r *subscription.Registry) bool {
	select {
	case <-r.ReportRequested():
		return true
	default:
		return false
	}
}

// A change is acknowledged once all entries have it. If one of them is behind, the host
// must report no more than that entry has acknowledged, and name it. Silent entries don't
// count, and a host without entries reports its own progress.
func TestHostReportsTheLeastAcknowledgedProgress(t *testing.T) {
	r, c := newRegistry()
	reported := func() (uint64, uint64, []string) {
		n := r.NextReport(progress(9, 90), false)
		return n.GetKnown().GetChange(), n.GetRevision(), n.GetBehind()
	}
	check := func(change, revision uint64, behind ...string) {
		t.Helper()
		gotChange, gotRevision, gotBehind := reported()
		require.Equal(t, []any{change, revision, behind}, []any{gotChange, gotRevision, gotBehind})
	}
	check(9, 90)
	r.Subscribe(1, entry("e1"), 1)
	r.Subscribe(2, entry("e2"), 1)
	check(0, 0, "e1", "e2")
	r.Acknowledge(1, "e1", progress(9, 90))
	r.Acknowledge(2, "e2", progress(8, 90))
	check(8, 90, "e2")
	r.Acknowledge(2, "e2", progress(9, 70))
	check(9, 70, "e2")
	// Positions of another term don't count.
	r.Acknowledge(2, "e2", subscription.Progress{Known: roster.Position{Term: 0, Change: 99}, Revision: 90})
	check(99, 90, "e2")
	require.Zero(t, r.NextReport(progress(9, 90), false).GetKnown().GetTerm())
	c.now = c.now.Add(2 * subscription.SilenceTimeout)
	r.HandleReport(1, "e1", &schema.EntryNews{})
	r.Sweep()
	check(9, 90)
}

// An operator waits until all entries have a change. The leader must receive the report as
// soon as the last one has acknowledged it, not at the host's next interval.
func TestLastAcknowledgementRequestsAReport(t *testing.T) {
	r, _ := newRegistry()
	r.Subscribe(1, entry("e1"), 1)
	r.Subscribe(2, entry("e2"), 1)
	require.False(t, reportRequested(r))
	r.ExpectAck(progress(0, 5))
	r.Acknowledge(1, "e1", progress(0, 5))
	require.False(t, reportRequested(r))
	r.Acknowledge(2, "e2", progress(0, 4))
	require.False(t, reportRequested(r))
	r.Acknowledge(2, "e2", progress(0, 6))
	require.True(t, reportRequested(r))
	r.Acknowledge(2, "e2", progress(0, 7))
	require.False(t, reportRequested(r))
}

// Requests wait for a model at one entry, then at another as well. The first ones must be
// reported to the leader at once, and the others at the next interval.
func TestNewDemandRequestsAReport(t *testing.T) {
	r, _ := newRegistry()
	r.Subscribe(1, entry("e1"), 1)
	r.Subscribe(2, entry("e2"), 1)
	report := func(stream uint64, host, model string, n uint32) {
		r.HandleReport(stream, host, &schema.EntryNews{Demands: []*schema.ModelDemand{{Pool: "p", Model: model, Waiting: n}}})
	}
	report(1, "e1", "m", 1)
	require.True(t, reportRequested(r))
	report(2, "e2", "m", 1)
	report(1, "e1", "m", 2)
	require.False(t, reportRequested(r))
	report(2, "e2", "n", 1)
	require.True(t, reportRequested(r))
}
