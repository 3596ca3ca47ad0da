// Package quota enforces the quotas of teams over all entries together.
//
// A request is admitted only within what the leader has granted: grants go from the leader to the control
// hosts and from there to the entries that need them (Allocator, Stock, Meter), and expire. The leader
// counts a grant against the quota from when it issues it until a window after it has expired, unless it is
// returned unused, so that no loss, restart or partition of another host can exceed a quota. Each entry also
// has a small credit for requests that cannot wait for a grant, which the leader reserves.
//
// Once a team demands more than its quota, all entries reject the same random part of its requests, by the
// sums of what they report: global random drop of Raghavan et al., Cloud Control with Distributed Rate
// Limiting (SIGCOMM 2007). The sums only choose which requests are rejected; grants bound them.
package quota

import (
	"time"

	"fennelyard/internal/schema"
)

const (
	// DefaultWindow is the default length of the window over which quotas are counted.
	DefaultWindow = 8 * time.Second
	// DemandWindowDivisor divides the window: the quotient is the time over which demand is
	// measured and the rest of the quota is spent. It is several times the delay of the
	// sums; otherwise the admitted rate would oscillate.
	DemandWindowDivisor = 4
	// steadyFraction of the rate is admitted however much of the quota is used: usage that
	// leaves the window can be spent again, but a sum does not show when it leaves.
	steadyFraction = 0.3
	// recentWindowDivisor divides the window, too: the quotient is the shorter time over
	// which a jump of demand shows first.
	recentWindowDivisor = 16
	// windowSlots is the number of slots of a window, a multiple of both divisors.
	windowSlots = 64
	// fullWeightAge is the age up to which a report counts in full. Reporters send the next
	// one within it.
	fullWeightAge = 500 * time.Millisecond
	// GrantLifetime is how long a grant may be used after the leader has issued it.
	GrantLifetime = time.Second
	// budgetFraction of a budget is granted in the time for which grants count: a window, a
	// GrantLifetime and a slot of time. It lets a team without a burst use its whole rate.
	budgetFraction = 1.09
	// creditFraction of what is left of a budget is divided among all entries as their credits.
	creditFraction = 0.2
	// RecordInterval is the time between two records of what was granted, and unrecordedFraction of a budget may be
	// granted since the last one: a leader that nobody reports to counts as much beside the records.
	RecordInterval     = time.Second
	unrecordedFraction = 0.15
	// unlistedUse is the fraction of a budget that a team without sums is assumed to use.
	unlistedUse = 0.5
)

// Budget returns the cost that a quota allows in a window.
func Budget(q *schema.Quota, window time.Duration) float64 {
	return q.GetRatePerSecond()*window.Seconds() + q.GetBurst()
}

// limit returns the cost that may be granted of a quota in the time for which grants count.
func limit(q *schema.Quota, window time.Duration) float64 { return Budget(q, window) * budgetFraction }

// credit returns the credit of each entry if a budget is used up to a part.
func credit(budget, used float64, entries int) float64 {
	return creditFraction * max(budget-used, 0) / float64(max(entries, 1))
}

// Cost returns what a request costs: 1 if the quota counts requests, otherwise the tokens
// that the request declares, or the quota's plain tokens if declared is false.
func Cost(q *schema.Quota, tokens float64, declared bool) float64 {
	switch {
	case !q.GetTokens():
		return 1
	case !declared:
		return q.GetPlainTokens()
	}
	return tokens
}

// Limits reports whether a quota limits anything.
func Limits(q *schema.Quota) bool { return q.GetRatePerSecond() > 0 }
