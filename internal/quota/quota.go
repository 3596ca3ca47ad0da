// Package quota keeps the quotas of teams over all entries together. Each entry counts what
// it admits and reports it on its subscription; the sums come back to all entries, which
// reject a random part of a team's requests once it asks for more than its quota: global
// random drop of Raghavan et al., Cloud Control with Distributed Rate Limiting (SIGCOMM
// 2007). No request waits for another host's consent, and no share of the quota is tied to
// an entry that has no use for it.
package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fennelyard/internal/schema"
)

const (
	// DefaultWindow is the window over which quotas are counted where none is set.
	DefaultWindow = 8 * time.Second
	// DemandWindowDivisor is the part of the window over which demand is measured and the rest of
	// the quota is spent. It is some times the delay of the sums, or the admitted rate
	// would oscillate.
	DemandWindowDivisor = 4
	// steadyPart of the rate is admitted however much of the quota is used: what leaves the
	// window can be spent again, but when it leaves is not known from a sum.
	steadyPart = 0.3
	// latePart is the part of the window that shows a jump of demand first.
	latePart = 16
	// slots is how many slots a window is counted in; a multiple of both parts.
	slots = 32
	// reportGrace is the age up to which a report counts in full: reporters send the next one
	// within it.
	reportGrace = 500 * time.Millisecond
)

// Budget is what a quota allows in a window.
func Budget(q *schema.Quota, window time.Duration) float64 {
	return q.GetRatePerSecond()*window.Seconds() + q.GetBurst()
}

// Cost is what a request counts, by its declared tokens; declared is false for one that
// declares none.
func Cost(q *schema.Quota, tokens float64, declared bool) float64 {
	switch {
	case !q.GetTokens():
		return 1
	case !declared:
		return q.GetPlainTokens()
	}
	return tokens
}

// Limits reports whether a quota bounds anything.
func Limits(q *schema.Quota) bool { return q.GetRatePerSecond() > 0 }

// sliding sums amounts over a window of time.
type sliding struct {
	amounts [slots]float64
	// last is the number of the newest slot.
	last int64
}

// turn drops the slots that have left the window.
func (s *sliding) turn(slot int64) {
	if slot-s.last >= slots {
		s.amounts = [slots]float64{}
		s.last = slot
		return
	}
	for s.last < slot {
		s.last++
		s.amounts[s.last%slots] = 0
	}
}

func (s *sliding) add(slot int64, amount float64) {
	s.turn(slot)
	s.amounts[s.last%slots] += amount
}

// sum is the sum of the newest n slots.
func (s *sliding) sum(slot int64, n int64) float64 {
	s.turn(slot)
	total := 0.0
	for i := range n {
		total += s.amounts[(s.last+slots-i)%slots]
	}
	return total
}

// use is what one entry knows of a team's quota.
type use struct {
	admitted, requested sliding
	// total is the latest sum over all entries; nil: the team uses little of its quota.
	total *schema.TeamUse
}

// MeterConfig configures a Meter.
type MeterConfig struct {
	// Window is the window over which quotas are counted; 0: DefaultWindow.
	Window time.Duration
	// Random returns a number in [0, 1); required.
	Random func() float64
}

// Meter admits an entry's requests within the quotas of their teams. All methods are safe
// from any goroutine.
type Meter struct {
	cfg   MeterConfig
	slot  time.Duration
	began time.Time

	mu sync.Mutex
	// uses are the teams that were asked for within the window; guarded by mu.
	uses map[string]*use
}

// NewMeter returns a meter that has admitted nothing.
func NewMeter(cfg MeterConfig, now time.Time) *Meter {
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	return &Meter{cfg: cfg, slot: cfg.Window / slots, began: now, uses: map[string]*use{}}
}

func (m *Meter) at(now time.Time) int64 { return int64(now.Sub(m.began)/m.slot) + slots }

// use returns what is known of a team; mu is held.
func (m *Meter) use(team string) *use {
	u := m.uses[team]
	if u == nil {
		u = &use{}
		m.uses[team] = u
	}
	return u
}

// Admit counts a request of a team against its quota, or returns when the quota will have
// room for it. fresh tells that the sums of all entries are up to date; without them an
// entry admits its own part of the quota, one of so many entries, and at least one request.
func (m *Meter) Admit(t *schema.Team, cost float64, fresh bool, entries int, now time.Time) (after time.Duration, ok bool) {
	q := t.GetQuota()
	if !Limits(q) {
		return 0, true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	slot, u := m.at(now), m.use(t.GetName())
	u.requested.add(slot, cost)
	budget := Budget(q, m.cfg.Window)
	if fresh {
		after, ok = m.share(u, q, budget)
	} else {
		after, ok = m.alone(u, budget, cost, entries, slot)
	}
	if ok {
		u.admitted.add(slot, cost)
	}
	return after, ok
}

// share admits the part of all requests that the rest of the budget allows; mu is held.
func (m *Meter) share(u *use, q *schema.Quota, budget float64) (time.Duration, bool) {
	admitted := u.total.GetAdmitted()
	requested := max(u.total.GetRequested(), u.total.GetRequestedLately()*latePart/DemandWindowDivisor)
	if requested == 0 {
		return 0, true
	}
	spend := m.cfg.Window / DemandWindowDivisor
	allowed := budget - admitted + steadyPart*q.GetRatePerSecond()*spend.Seconds()
	if allowed >= requested || m.cfg.Random() < allowed/requested {
		return 0, true
	}
	return max(seconds((admitted-budget)/q.GetRatePerSecond()), spend/2), false
}

// alone admits an entry's own part of a budget; mu is held.
func (m *Meter) alone(u *use, budget, cost float64, entries int, slot int64) (time.Duration, bool) {
	admitted := u.admitted.sum(slot, slots)
	part := budget / float64(max(entries, 1))
	if admitted == 0 || admitted+cost <= part {
		return 0, true
	}
	return m.cfg.Window / DemandWindowDivisor, false
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Refund gives a request back that was admitted and did not run.
func (m *Meter) Refund(team string, cost float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u := m.uses[team]; u != nil {
		u.admitted.add(m.at(now), -cost)
	}
}

// Report returns this entry's use of quotas, and forgets teams without any.
func (m *Meter) Report(now time.Time) *schema.TeamUses {
	m.mu.Lock()
	defer m.mu.Unlock()
	slot, out := m.at(now), &schema.TeamUses{}
	for team, u := range m.uses {
		admitted := u.admitted.sum(slot, slots)
		if admitted <= 0 && u.requested.sum(slot, slots) == 0 && u.total == nil {
			delete(m.uses, team)
			continue
		}
		out.Uses = append(out.Uses, &schema.TeamUse{
			Team:     team,
			Admitted: max(admitted, 0), Requested: u.requested.sum(slot, slots/DemandWindowDivisor), RequestedLately: u.requested.sum(slot, slots/latePart),
		})
	}
	return out
}

// SetTotals takes in the sums over all entries. Teams that are not named use little of their
// quotas.
func (m *Meter) SetTotals(uses *schema.TeamUses) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, u := range m.uses {
		u.total = nil
	}
	for _, total := range uses.GetUses() {
		m.use(total.GetTeam()).total = total
	}
}

// Totals sums the latest reports of some reporters. A report's weight falls with its age,
// as what it counts leaves the window: the use of a reporter that is gone still counts for
// as long as it matters. All methods are safe from any goroutine.
type Totals struct {
	window time.Duration

	mu sync.Mutex
	// reports are by reporter; guarded by mu.
	reports map[string]report
}

// report is a reporter's use of quotas at a time.
type report struct {
	uses *schema.TeamUses
	at   time.Time
}

// NewTotals returns the sums of nothing, for quotas over a window; 0: DefaultWindow.
func NewTotals(window time.Duration) *Totals {
	return &Totals{window: cmp.Or(window, DefaultWindow), reports: map[string]report{}}
}

// Report takes in a reporter's use, in place of its earlier ones.
func (t *Totals) Report(reporter string, uses *schema.TeamUses, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[reporter] = report{uses, now}
}

// Sum returns the sums, ordered by team. Teams of which keep says no are left out; a nil
// keep leaves none out.
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
		t.add(sums, r.uses, max(age-reportGrace, 0))
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

// add adds a report of some age to the sums; mu is held.
func (t *Totals) add(sums map[string]*schema.TeamUse, uses *schema.TeamUses, age time.Duration) {
	left := 1 - float64(age)/float64(t.window)
	recent := max(1-float64(age)/(float64(t.window)/DemandWindowDivisor), 0)
	for _, u := range uses.GetUses() {
		sum := sums[u.GetTeam()]
		if sum == nil {
			sum = &schema.TeamUse{Team: u.GetTeam()}
			sums[u.GetTeam()] = sum
		}
		sum.Admitted += u.GetAdmitted() * left
		sum.Requested += u.GetRequested() * recent
		sum.RequestedLately += u.GetRequestedLately() * recent
	}
}
