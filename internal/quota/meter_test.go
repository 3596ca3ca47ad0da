package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/quota"
	"fennelyard/internal/schema"
)

var requestsTeam = &schema.Team{Name: "t", Quota: &schema.Quota{RatePerSecond: 1}}

func newMeter() *quota.Meter {
	return quota.NewMeter(quota.MeterConfig{Window: window, Random: func() float64 { return 0 }, Rank: func(string) int { return 0 }}, start)
}

// connected is the link of an entry that is confirmed.
func connected(now time.Time) quota.Link { return quota.Link{ConfirmedAt: now, Entries: 1} }

// returnedBy returns what a meter reports as returned.
func returnedBy(m *quota.Meter, now time.Time) (sum float64) {
	for _, d := range m.Demands(now) {
		sum += d.GetReturned()
	}
	return sum
}

// A request that did not run must not count, or others would be refused because of it, and must not be given back
// twice.
func TestRefundedRequestsDoNotCount(t *testing.T) {
	m := newMeter()
	m.Grant("t", 1, start, start)
	for range 100 {
		a, verdict, _ := m.Admit(requestsTeam, 1, connected(start), start)
		require.Equal(t, quota.VerdictAdmitted, verdict)
		m.Refund(a, start)
		m.Refund(a, start)
	}
	_, verdict, _ := m.Admit(requestsTeam, 1, connected(start), start)
	require.Equal(t, quota.VerdictAdmitted, verdict)
	_, verdict, _ = m.Admit(requestsTeam, 1, connected(start), start)
	require.Equal(t, quota.VerdictWaits, verdict)
}

// A request waits long for a server and does not run. Its refund must count at the time of its admission: later,
// it would make room for more than the quota once the admission has left the window.
func TestLateRefundMakesNoRoom(t *testing.T) {
	m := newMeter()
	m.Grant("t", 1, start, start)
	a, _, _ := m.Admit(requestsTeam, 1, connected(start), start)
	late := start.Add(window - time.Second)
	m.Refund(a, late)
	demands := m.Demands(late)
	require.Len(t, demands, 1)
	require.InDelta(t, 1, demands[0].GetReturned(), 0.01)
	require.GreaterOrEqual(t, demands[0].GetReturnedAgeMs(), (window - time.Second).Milliseconds())
	require.Zero(t, m.Report(late).GetUses()[0].GetAdmitted())
}

// A grant that arrives late, or whose entry was frozen, must not admit a request after the leader no longer counts it.
func TestExpiredGrantAdmitsNothing(t *testing.T) {
	m := newMeter()
	m.Grant("t", 1, start, start)
	now := start.Add(quota.GrantLifetime)
	_, verdict, _ := m.Admit(requestsTeam, 1, connected(now), now)
	require.Equal(t, quota.VerdictWaits, verdict)
	m.Grant("t", 1, start, now)
	require.InDelta(t, 2, returnedBy(m, now), 0.01)
}

// Requests that wait must be admitted in order, and a later one must not take the grant of the first.
func TestWaitingRequestsAreAdmittedInOrder(t *testing.T) {
	m := newMeter()
	large, verdict, _ := m.Admit(requestsTeam, 4, connected(start), start)
	require.Equal(t, quota.VerdictWaits, verdict)
	m.Grant("t", 3, start, start)
	small, verdict, _ := m.Admit(requestsTeam, 1, connected(start), start)
	require.Equal(t, quota.VerdictWaits, verdict)
	m.Grant("t", 1, start, start)
	<-large.Granted()
	require.False(t, m.Cancel(small))
	require.True(t, m.Cancel(large))
}

// An entry that has just started does not know what it used before: it must not keep to a share of the quota by
// itself.
func TestNewEntryHasNoShare(t *testing.T) {
	m := newMeter()
	for _, after := range []time.Duration{0, time.Second, m.ShareAfter() - time.Second} {
		_, verdict, _ := m.Admit(requestsTeam, 1, quota.Link{Entries: 1}, start.Add(after))
		require.Equal(t, quota.VerdictNoGrant, verdict)
	}
	now := start.Add(m.ShareAfter())
	_, verdict, _ := m.Admit(requestsTeam, 1, quota.Link{Entries: 1}, now)
	require.Equal(t, quota.VerdictAdmitted, verdict)
}

// Hundreds of entries that are cut off share a quota of a few requests: if each admitted one, all together would
// exceed it several times, and if none did, nobody would be served.
func TestEntriesThatAreCutOffKeepASmallQuota(t *testing.T) {
	for _, entries := range []int{8, 76, 300} {
		q := &schema.Quota{Tokens: true, RatePerSecond: 20_000, Burst: 20_000}
		f := newFleet(5, entries, q)
		pick := func() int { return f.random.IntN(entries) }
		for _, e := range f.entries {
			e.cutOff = true
		}
		f.run(60*time.Second, 10*q.GetRatePerSecond(), pick)
		t.Logf("%d entries: most in a window %.3f of the budget", entries, f.maxInWindow()/quota.Budget(q, window))
		require.LessOrEqual(t, f.maxInWindow(), quota.Budget(q, window)*(1+maxOverage))
		require.GreaterOrEqual(t, f.maxInWindow(), quota.Budget(q, window)/5)
	}
}

// A quota is lowered and raised again while its team demands several times as much: grants and credits of the old
// quota must not be used for longer than their lifetime.
func TestLowerQuotaHoldsAfterAWindow(t *testing.T) {
	high, low := &schema.Quota{Tokens: true, RatePerSecond: 600_000, Burst: 600_000}, &schema.Quota{Tokens: true, RatePerSecond: 150_000, Burst: 150_000}
	f := newFleet(6, 76, high)
	pick := func() int { return f.random.IntN(76) }
	f.run(10*time.Second, 3*high.GetRatePerSecond(), pick)
	f.team.Quota = low
	f.run(2*quota.GrantLifetime, 3*high.GetRatePerSecond(), pick)
	f.admitted = nil
	f.run(20*time.Second, 3*high.GetRatePerSecond(), pick)
	require.LessOrEqual(t, f.maxInWindow(), quota.Budget(low, window)*(1+maxOverage))
	require.GreaterOrEqual(t, f.maxInWindow(), quota.Budget(low, window)*0.85)
	f.team.Quota = high
	f.run(20*time.Second, 3*high.GetRatePerSecond(), pick)
	require.LessOrEqual(t, f.maxInWindow(), quota.Budget(high, window)*(1+maxOverage))
	require.GreaterOrEqual(t, f.maxInWindow(), quota.Budget(high, window)*0.85)
}
