package quota

import "time"

const (
	// cutOffGrace is how long an entry may lose its control host before the leader reserves the entry's
	// share of the quotas.
	cutOffGrace = 8 * time.Second
	// largeShares is the number of entries that divide half of a quota while they are cut off, for requests that
	// are larger than an equal share: hundreds of entries may share a quota of a few requests.
	largeShares = 8
)

// share returns the share of a quota of an entry that is cut off, by its rank among the entries. The shares of all
// entries add up to 1.
func share(rank, entries int) float64 {
	entries = max(entries, 1)
	out := 0.5 / float64(entries)
	if rank < largeShares {
		out += 0.5 / float64(min(entries, largeShares))
	}
	return out
}

// largestShares returns the sum of the largest shares of some entries.
func largestShares(some, entries int) (sum float64) {
	for rank := range some {
		sum += share(rank, entries)
	}
	return sum
}

// ShareAfter returns how long after its last confirmation an entry keeps to its own share of the quotas: by
// then all grants have left the window of an entry that the leader has reserved the share for.
func (m *Meter) ShareAfter() time.Duration { return cutOffGrace + m.cfg.Window + GrantLifetime }

// admitShare admits an entry's share of a budget; the caller holds mu.
func (m *Meter) admitShare(u *teamUsage, a *Admission, budget float64, entries int, now time.Time) (*Admission, Verdict, time.Duration) {
	if u.admitted.sum(now, windowSlots+1)+a.cost > budget*share(m.cfg.Rank(a.team), entries) {
		return nil, VerdictOverQuota, m.cfg.Window / DemandWindowDivisor
	}
	u.unreportedCredit += a.cost
	u.admit(a, SourceShare, now)
	return a, VerdictAdmitted, 0
}
