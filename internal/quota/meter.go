package quota

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fennelyard/internal/schema"
)

//go:generate go tool stringer -type=Verdict,Source -linecomment -output=quota_string.go

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	// VerdictAdmitted means that the request may run.
	VerdictAdmitted Verdict = iota // admitted
	// VerdictWaits means that the request waits for a grant.
	VerdictWaits // waits
	// VerdictOverQuota means that the team demands more than its quota.
	VerdictOverQuota // over-quota
	// VerdictNoGrant means that nobody can grant the request at present.
	VerdictNoGrant // no-grant
)

// Source is by what a request was admitted.
type Source int

// The sources.
const (
	SourceNone   Source = iota // none
	SourceGrant                // grant
	SourceCredit               // credit
	SourceShare                // share
)

const (
	// MaxWait is the longest time for which a request waits for a grant.
	MaxWait = time.Second
	// maxSumsAge is the age of the last confirmation up to which sums count as up to date.
	maxSumsAge = 1500 * time.Millisecond
	// maxUnconfirmedWait is the age of the last confirmation up to which requests wait for grants: a leader
	// that is lost is mostly replaced within it.
	maxUnconfirmedWait = 3 * time.Second
	// creditSettleTime is the age of a use of credit at the last confirmation from which on the leader counts
	// it, as it has been reported.
	creditSettleTime = time.Second
)

// slotLength returns the length of the slots of a window.
func slotLength(window time.Duration) time.Duration { return window / windowSlots }

// newUseRing returns a ring for what grants may be used for: a window, and the lifetime of a grant.
func newUseRing(start time.Time, window time.Duration) *ring {
	return newRing(start, window+GrantLifetime, slotLength(window))
}

// Link is what an entry knows of the control group.
type Link struct {
	// ConfirmedAt is the time as of which the leader is known to have led.
	ConfirmedAt time.Time
	// Entries is the number of entries that share the quotas.
	Entries int
}

// Admission is a request that was admitted or waits for a grant.
type Admission struct {
	team string
	cost float64
	// source is set once the request is admitted, as are admittedAt, and grantedAt: when the oldest grant was
	// issued that it uses. All are guarded by the meter's mu.
	source                Source
	admittedAt, grantedAt time.Time
	// granted is closed when a waiting request is admitted.
	granted chan struct{}
}

// Granted returns a channel that is closed when the waiting request is admitted.
func (a *Admission) Granted() <-chan struct{} { return a.granted }

// heldGrant is what is left of a grant.
type heldGrant struct {
	amount   float64
	issuedAt time.Time
}

// creditUse is a request that was admitted without a grant.
type creditUse struct {
	cost float64
	at   time.Time
}

// teamUsage is one entry's usage of a team's quota.
type teamUsage struct {
	admitted, requested *ring
	// current is the part of admitted since the first sums of the present leader.
	current *ring
	// total is the latest sum over all entries; nil if the team uses little of its quota.
	total *schema.TeamUse
	// held are the grants that are left, the oldest first, and received is the sum of all received on the
	// stream.
	held     []heldGrant
	received float64
	// returned is what was not used and is not reported yet, of grants issued since returnedSince.
	returned      float64
	returnedSince time.Time
	// credit are the uses of credit that may not be settled, and unreportedCredit those not reported.
	credit           []creditUse
	unreportedCredit float64
	// waiting are the requests that wait for grants, the oldest first.
	waiting []*Admission
	// reported is the demand that was reported last.
	reported *schema.QuotaDemand
}

// MeterConfig configures a Meter.
type MeterConfig struct {
	// Window is the length of the window over which quotas are counted; 0 means
	// DefaultWindow.
	Window time.Duration
	// Random returns a number in [0, 1); required.
	Random func() float64
	// Rank returns the rank of this entry among all entries, for a team, from 0; required. It differs from entry
	// to entry.
	Rank func(team string) int
	// NoShares is set if the entry admits nothing by itself while it is cut off.
	NoShares bool
	// OnWaiting, if set, is called when a request begins to wait for a grant.
	OnWaiting func()
}

// Meter admits an entry's requests within the quotas of their teams. All methods are safe
// for concurrent use.
type Meter struct {
	cfg   MeterConfig
	start time.Time

	mu sync.Mutex
	// teams holds the teams with requests within the window; guarded by mu.
	teams map[string]*teamUsage
	// entries is the number of entries by which the leader divides credits, 0 before its first sums;
	// guarded by mu.
	entries int
	// term is the leader's term of the last sums; guarded by mu.
	term uint64
}

// NewMeter returns a Meter without usage.
func NewMeter(cfg MeterConfig, now time.Time) *Meter {
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	return &Meter{cfg: cfg, start: now, teams: map[string]*teamUsage{}}
}

// usage returns a team's usage and adds it if needed; the caller holds mu.
func (m *Meter) usage(team string) *teamUsage {
	u := m.teams[team]
	if u == nil {
		u = &teamUsage{
			admitted: newUseRing(m.start, m.cfg.Window), requested: newUseRing(m.start, m.cfg.Window), current: newUseRing(m.start, m.cfg.Window),
		}
		m.teams[team] = u
	}
	return u
}

// Admit decides on a request of a team. For a request that is not admitted and does not wait it returns after
// which time the quota is expected to have room for it, 0 if that is not known.
func (m *Meter) Admit(t *schema.Team, cost float64, link Link, now time.Time) (*Admission, Verdict, time.Duration) {
	q := t.GetQuota()
	a := &Admission{team: t.GetName(), cost: cost}
	if !Limits(q) {
		return a, VerdictAdmitted, 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	u, budget := m.usage(t.GetName()), Budget(q, m.cfg.Window)
	u.requested.add(now, now, cost)
	m.expire(u, now)
	age := now.Sub(link.ConfirmedAt)
	if !m.cfg.NoShares && min(age, now.Sub(m.start)) >= m.ShareAfter() {
		return m.admitShare(u, a, budget, link.Entries, now)
	}
	if after, dropped := m.drops(u, q, budget); dropped && age < maxSumsAge {
		return nil, VerdictOverQuota, after
	}
	switch {
	case len(u.waiting) == 0 && u.takeGrants(a, now), m.takeCredit(u, a, budget, link, now):
		return a, VerdictAdmitted, 0
	case age < maxSumsAge && u.total.GetAvailable() < -q.GetRatePerSecond()*MaxWait.Seconds(), cost > budget*budgetFraction:
		// What leaves the window while the request waits is not enough.
		return nil, VerdictOverQuota, m.cfg.Window / DemandWindowDivisor
	case age > maxUnconfirmedWait:
		return nil, VerdictNoGrant, 0
	}
	a.granted = make(chan struct{})
	u.waiting = append(u.waiting, a)
	if m.cfg.OnWaiting != nil {
		m.cfg.OnWaiting()
	}
	return a, VerdictWaits, 0
}

// drops reports whether a request is rejected at random, as the team demands more than the rest of its
// budget; the caller holds mu.
func (m *Meter) drops(u *teamUsage, q *schema.Quota, budget float64) (time.Duration, bool) {
	admitted := u.total.GetAdmitted()
	requested := max(u.total.GetRequested(), u.total.GetRequestedLately()*recentWindowDivisor/DemandWindowDivisor)
	if requested == 0 {
		return 0, false
	}
	spendTime := m.cfg.Window / DemandWindowDivisor
	allowed := budget - admitted + steadyFraction*q.GetRatePerSecond()*spendTime.Seconds()
	if allowed >= requested || m.cfg.Random() < allowed/requested {
		return 0, false
	}
	return max(secondsToDuration((admitted-budget)/q.GetRatePerSecond()), spendTime/2), true
}

func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// admit records that a request is admitted; the caller holds mu.
func (u *teamUsage) admit(a *Admission, source Source, now time.Time) {
	a.source, a.admittedAt = source, now
	u.admitted.add(now, now, a.cost)
	u.current.add(now, now, a.cost)
}

// takeGrants admits a request if the held grants cover it; the caller holds mu.
func (u *teamUsage) takeGrants(a *Admission, now time.Time) bool {
	if u.heldSum() < a.cost {
		return false
	}
	a.grantedAt = now
	for rest := a.cost; rest > 0 && len(u.held) > 0; {
		first := &u.held[0]
		if first.issuedAt.Before(a.grantedAt) {
			a.grantedAt = first.issuedAt
		}
		if first.amount > rest {
			first.amount -= rest
			break
		}
		rest -= first.amount
		u.held = u.held[1:]
	}
	u.admit(a, SourceGrant, now)
	return true
}

func (u *teamUsage) heldSum() float64 {
	sum := 0.0
	for _, g := range u.held {
		sum += g.amount
	}
	return sum
}

// takeCredit admits a request if the entry's credit covers it; the caller holds mu.
func (m *Meter) takeCredit(u *teamUsage, a *Admission, budget float64, link Link, now time.Time) bool {
	if m.entries == 0 {
		return false
	}
	rest := credit(budget*budgetFraction, budget*unlistedUse, m.entries)
	if u.total != nil {
		rest = u.total.GetCredit()
	}
	settled := link.ConfirmedAt.Add(-creditSettleTime)
	u.credit = slices.DeleteFunc(u.credit, func(c creditUse) bool { return c.at.Before(settled) })
	for _, c := range u.credit {
		rest -= c.cost
	}
	if a.cost > rest {
		return false
	}
	u.credit = append(u.credit, creditUse{a.cost, now})
	u.unreportedCredit += a.cost
	u.admit(a, SourceCredit, now)
	return true
}

// expire returns the grants that may no longer be used; the caller holds mu.
func (m *Meter) expire(u *teamUsage, now time.Time) {
	for len(u.held) > 0 && now.Sub(u.held[0].issuedAt) >= GrantLifetime {
		u.giveBack(u.held[0].amount, u.held[0].issuedAt)
		u.held = u.held[1:]
	}
}

// giveBack records that a part of a grant is not used; the caller holds mu.
func (u *teamUsage) giveBack(amount float64, issuedAt time.Time) {
	if u.returned == 0 || issuedAt.Before(u.returnedSince) {
		u.returnedSince = issuedAt
	}
	u.returned += amount
}

// Grant adds a grant that the leader issued at a time, and admits the requests that wait for it.
func (m *Meter) Grant(team string, amount float64, issuedAt, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.usage(team)
	u.received += amount
	u.hold(amount, issuedAt)
	m.serveWaiting(u, now)
}

// hold adds to the held grants; the caller holds mu.
func (u *teamUsage) hold(amount float64, issuedAt time.Time) {
	i, _ := slices.BinarySearchFunc(u.held, issuedAt, func(g heldGrant, at time.Time) int { return g.issuedAt.Compare(at) })
	u.held = slices.Insert(u.held, i, heldGrant{amount, issuedAt})
}

// serveWaiting admits the waiting requests that the held grants cover; the caller holds mu.
func (m *Meter) serveWaiting(u *teamUsage, now time.Time) {
	m.expire(u, now)
	for len(u.waiting) > 0 && u.takeGrants(u.waiting[0], now) {
		close(u.waiting[0].granted)
		u.waiting = u.waiting[1:]
	}
}

// Cancel ends the wait of a request, and reports whether it was admitted before.
func (m *Meter) Cancel(a *Admission) (admitted bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if u := m.teams[a.team]; u != nil {
		u.waiting = slices.DeleteFunc(u.waiting, func(w *Admission) bool { return w == a })
	}
	return a.source != SourceNone
}

// Source returns by what a request was admitted.
func (m *Meter) Source(a *Admission) Source {
	m.mu.Lock()
	defer m.mu.Unlock()
	return a.source
}

// Refund removes the cost of a request that was admitted but did not run from the usage at the time of its
// admission. What is left of the lifetime of its grant serves other requests.
func (m *Meter) Refund(a *Admission, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.teams[a.team]
	if u == nil || a.source == SourceNone {
		return
	}
	u.admitted.add(a.admittedAt, now, -a.cost)
	u.current.add(a.admittedAt, now, -a.cost)
	if a.source == SourceGrant {
		u.hold(a.cost, a.grantedAt)
		m.serveWaiting(u, now)
	}
	a.source = SourceNone
}

// Report returns this entry's usage of quotas, and removes teams without any.
func (m *Meter) Report(now time.Time) *schema.TeamUses {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := &schema.TeamUses{}
	for team, u := range m.teams {
		m.expire(u, now)
		admitted := u.admitted.sum(now, windowSlots+1)
		if u.idle(admitted, now) {
			delete(m.teams, team)
			continue
		}
		out.Uses = append(out.Uses, &schema.TeamUse{
			Team:     team,
			Admitted: max(admitted, 0), Requested: u.requested.sum(now, windowSlots/DemandWindowDivisor), RequestedLately: u.requested.sum(now, windowSlots/recentWindowDivisor),
		})
	}
	return out
}

// idle reports whether nothing of the usage matters any more.
func (u *teamUsage) idle(admitted float64, now time.Time) bool {
	return admitted <= 0 && u.requested.total(now) == 0 && u.total == nil && len(u.held) == 0 && len(u.waiting) == 0 &&
		u.returned == 0 && u.unreportedCredit == 0 && u.reported.GetWaiting() == 0
}

// StreamStarted records that reports go to another control host, or on another stream. It returns the usage that
// the host may not know.
func (m *Meter) StreamStarted(now time.Time) []*schema.QuotaUse {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*schema.QuotaUse
	for team, u := range m.teams {
		// What was not used is not given back to another leader, which may not have counted it.
		u.received, u.reported, u.returned = 0, nil, 0
		earlier, current := u.admitted.byAge(now), u.current.byAge(now)
		if held := u.heldSum(); held > 0 {
			if current == nil {
				current = make([]float64, ageParts)
			}
			current[0] += held
		}
		for i := range earlier {
			if i < len(current) {
				earlier[i] = max(earlier[i]-current[i], 0)
			}
		}
		if earlier != nil {
			out = append(out, &schema.QuotaUse{Team: team, ByAge: earlier})
		}
		if current != nil {
			out = append(out, &schema.QuotaUse{Team: team, ByAge: current, Term: m.term})
		}
	}
	return out
}

// KnowsWindow reports whether the meter knows what the entry has admitted in a whole window.
func (m *Meter) KnowsWindow(now time.Time) bool { return now.Sub(m.start) >= m.cfg.Window }

// Demands returns the demands that have changed since the last call.
func (m *Meter) Demands(now time.Time) []*schema.QuotaDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*schema.QuotaDemand
	for team, u := range m.teams {
		m.expire(u, now)
		d := &schema.QuotaDemand{Team: team, Received: u.received, Returned: u.returned}
		// An entry that was cut off for long reports what still counts.
		d.CreditUsed = max(min(u.unreportedCredit, u.admitted.total(now)), 0)
		for _, a := range u.waiting {
			d.Waiting += a.cost
		}
		if d.GetReturned() == 0 && d.GetCreditUsed() == 0 && d.GetWaiting() == u.reported.GetWaiting() && d.GetReceived() == u.reported.GetReceived() {
			continue
		}
		if u.returned > 0 {
			d.ReturnedAgeMs = now.Sub(u.returnedSince).Milliseconds() + 1
		}
		u.returned, u.unreportedCredit, u.reported = 0, 0, d
		out = append(out, d)
	}
	return out
}

// SetTotals sets the sums over all entries, of the leader of a term. Teams that are not listed use little of their
// quotas. Grants of an earlier leader are dropped: the present one counts them as used.
func (m *Meter) SetTotals(term uint64, uses *schema.TeamUses) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term != m.term {
		m.term = term
		for _, u := range m.teams {
			u.held = nil
			clear(u.current.amounts)
		}
	}
	m.entries = int(uses.GetEntries())
	for _, u := range m.teams {
		u.total = nil
	}
	for _, total := range uses.GetUses() {
		m.usage(total.GetTeam()).total = total
	}
}
