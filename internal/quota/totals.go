package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fennelyard/internal/schema"
)

// Totals sums the latest reports of several reporters. The weight of a report decreases
// with its age, as its usage leaves the window: the usage of a reporter that has ended
// still counts as long as it matters. All methods are safe for concurrent use.
type Totals struct {
	window time.Duration

	mu sync.Mutex
	// reports is keyed by reporter; guarded by mu.
	reports map[string]report
}

// report is a reporter's usage of quotas at a time.
type report struct {
	uses *schema.TeamUses
	at   time.Time
}

// NewTotals returns empty sums for quotas over a window; 0 means DefaultWindow.
func NewTotals(window time.Duration) *Totals {
	return &Totals{window: cmp.Or(window, DefaultWindow), reports: map[string]report{}}
}

// Report replaces a reporter's usage.
func (t *Totals) Report(reporter string, uses *schema.TeamUses, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[reporter] = report{uses, now}
}

// Sum returns the sums, ordered by team, without the teams for which keep returns false. A
// nil keep keeps all.
func (t *Totals) Sum(now time.Time, keep func(*schema.TeamUse) bool) *schema.TeamUses {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := map[string]*schema.TeamUse{}
	for reporter, r := range t.reports {
		age := now.Sub(r.at)
		if age >= t.window {
			delete(t.reports, reporter)
			continue
		}
		t.add(sums, r.uses, max(age-fullWeightAge, 0))
	}
	out := &schema.TeamUses{}
	for _, sum := range sums {
		if keep == nil || keep(sum) {
			out.Uses = append(out.Uses, sum)
		}
	}
	slices.SortFunc(out.Uses, func(a, b *schema.TeamUse) int { return cmp.Compare(a.GetTeam(), b.GetTeam()) })
	return out
}

// add adds a report of some age to the sums; the caller holds mu.
func (t *Totals) add(sums map[string]*schema.TeamUse, uses *schema.TeamUses, age time.Duration) {
	admittedWeight := 1 - float64(age)/float64(t.window)
	requestedWeight := max(1-float64(age)/(float64(t.window)/DemandWindowDivisor), 0)
	for _, u := range uses.GetUses() {
		sum := sums[u.GetTeam()]
		if sum == nil {
			sum = &schema.TeamUse{Team: u.GetTeam()}
			sums[u.GetTeam()] = sum
		}
		sum.Admitted += u.GetAdmitted() * admittedWeight
		sum.Requested += u.GetRequested() * requestedWeight
		sum.RequestedLately += u.GetRequestedLately() * requestedWeight
	}
}
