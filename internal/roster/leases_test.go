package roster_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// An acknowledgement must not take the absence of a host or an entry for its agreement: what was there a moment ago may
// still send requests.
func TestDepartureWaitsForTheLeasesOfThoseThatAreAbsent(t *testing.T) {
	progress := func(change uint64, entries ...string) *schema.HostNews {
		report := entriesReport(entries...)
		report.Known = &schema.RosterPosition{Term: term, Change: change}
		return report
	}
	for name, test := range map[string]struct {
		// absent is called before the server leaves, and later after it.
		absent func(r *roster.Roster, c *clock)
		later  func(r *roster.Roster, c *clock, change uint64)
		// quiet is set if the second host sends no further report.
		quiet bool
		// waits is for how long the acknowledgement waits after the departure.
		waits time.Duration
	}{
		"nobody": {},
		"a host whose stream has ended": {
			absent: func(r *roster.Roster, _ *clock) { r.HostDisconnected(2, "h2", "") },
			quiet:  true, waits: roster.LeaseTime,
		},
		"a host whose stream has ended long before": {
			absent: func(r *roster.Roster, c *clock) {
				r.HostDisconnected(2, "h2", "")
				c.advance(roster.LeaseTime)
			},
			quiet: true,
		},
		"a host that is silent": {
			absent: func(r *roster.Roster, c *clock) {
				c.advance(1300 * time.Millisecond)
				r.ApplyHostReport(1, "h1", term, progress(1, "e1"))
				r.SweepHosts()
			},
			quiet: true, waits: roster.LeaseTime - 1300*time.Millisecond,
		},
		"a host that lags": {
			absent: func(r *roster.Roster, _ *clock) {
				report := progress(1, "e2", "e3")
				report.Lagging = true
				r.ApplyHostReport(2, "h2", term, report)
			},
			quiet: true, waits: roster.LeaseTime,
		},
		"a host that comes back and has it": {
			absent: func(r *roster.Roster, _ *clock) { r.HostDisconnected(2, "h2", "") },
			later: func(r *roster.Roster, _ *clock, change uint64) {
				r.HostConnected(3, controlHost("h2"))
				r.ApplyHostReport(3, "h2", term, progress(change, "e2", "e3"))
			},
		},
		"a host whose stream has ended after it had it": {
			later: func(r *roster.Roster, _ *clock, change uint64) {
				r.ApplyHostReport(2, "h2", term, progress(change, "e2", "e3"))
				r.HostDisconnected(2, "h2", "")
			},
		},
		"an entry whose stream has ended": {
			absent: func(r *roster.Roster, _ *clock) { r.ApplyHostReport(2, "h2", term, progress(1, "e2")) },
			waits:  roster.LeaseTime,
		},
		"an entry whose stream ends before it has it": {
			later: func(r *roster.Roster, _ *clock, change uint64) {
				r.ApplyHostReport(2, "h2", term, progress(change, "e2"))
			},
			waits: roster.LeaseTime,
		},
		"an entry that had it before its stream ended": {
			later: func(r *roster.Roster, _ *clock, change uint64) {
				r.ApplyHostReport(2, "h2", term, progress(change, "e2", "e3"))
				r.ApplyHostReport(2, "h2", term, progress(change, "e2"))
			},
		},
		"an entry that has moved": {
			absent: func(r *roster.Roster, _ *clock) {
				r.ApplyHostReport(2, "h2", term, progress(1, "e2"))
				moved := progress(1, "e1", "e3")
				moved.Entries[1].Stream = 2
				r.ApplyHostReport(1, "h1", term, moved)
			},
		},
		"an entry that stops": {
			absent: func(r *roster.Roster, _ *clock) {
				stopping := progress(1, "e2", "e3")
				stopping.Entries[1].Stopping = true
				r.ApplyHostReport(2, "h2", term, stopping)
				r.ApplyHostReport(2, "h2", term, progress(1, "e2"))
			},
		},
		"those of an earlier leader": {
			absent: func(r *roster.Roster, _ *clock) {
				r.Reset()
				r.Announce(announcement("s", "a:1", 2))
			},
			waits: roster.LeaseTime,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, c := newSettledRoster()
				require.True(t, r.Announce(announcement("s", "a:1", 1)))
				r.HostConnected(1, controlHost("h1"))
				r.HostConnected(2, controlHost("h2"))
				r.ApplyHostReport(1, "h1", term, progress(1, "e1"))
				r.ApplyHostReport(2, "h2", term, progress(1, "e2", "e3"))
				if test.absent != nil {
					test.absent(r, c)
				}
				change := r.Depart("s")
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				acknowledged := make(chan error, 1)
				go func() { acknowledged <- awaitAcked(ctx, r, roster.Progress{Change: change}) }()
				await := func() bool {
					time.Sleep(50 * time.Millisecond)
					synctest.Wait()
					return len(acknowledged) > 0
				}
				r.ApplyHostReport(1, "h1", term, &schema.HostNews{Known: &schema.RosterPosition{Term: term, Change: change}})
				switch {
				case test.later != nil:
					require.False(t, await())
					test.later(r, c, change)
				case !test.quiet:
					r.ApplyHostReport(2, "h2", term, &schema.HostNews{Known: &schema.RosterPosition{Term: term, Change: change}})
				}
				if test.waits > 0 {
					c.advance(test.waits - time.Millisecond)
					require.False(t, await(), "acknowledged before the leases have ended")
					c.advance(time.Millisecond)
				}
				require.True(t, await())
				require.NoError(t, <-acknowledged)
			})
		})
	}
}

// An entry loses its host and moves to another one while a configuration is put in force: it has the configuration
// before an operator is told that all do.
func TestConfigurationWaitsForEntriesThatMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, c := newSettledRoster()
		r.HostConnected(1, controlHost("h1"))
		r.ApplyHostReport(1, "h1", term, entriesReport("e1", "e2"))
		report := entriesReport("e1")
		report.Revision = 9
		r.ApplyHostReport(1, "h1", term, report)
		acknowledged := make(chan error, 1)
		go func() { acknowledged <- awaitAcked(t.Context(), r, roster.Progress{Revision: 9}) }()
		await := func() bool {
			time.Sleep(50 * time.Millisecond)
			synctest.Wait()
			return len(acknowledged) > 0
		}
		require.False(t, await())
		c.advance(600 * time.Millisecond)
		require.True(t, await(), "operators do not wait for an entry that has ended")
		require.NoError(t, <-acknowledged)
	})
}

// A new leader takes an announcement of a server for ready before it has applied the departure that its predecessor
// has committed.
func TestServerLeavesOnceItsDepartureIsApplied(t *testing.T) {
	applied := false
	r, _ := newRosterWith(func(string) bool { return applied })
	require.True(t, r.Announce(announcement("s", "a:1", 1)))
	r.Sweep()
	require.True(t, r.Ready("s"))
	applied = true
	r.Sweep()
	require.False(t, r.Ready("s"))
}
