package quota

import (
	"cmp"
	"sync"
	"time"

	"fennelyard/internal/schema"
)

const (
	// maxLeaderAge is the age of the quorum's last confirmation up to which a leader grants: no other host can
	// lead by then.
	maxLeaderAge = 500 * time.Millisecond
	// creditLifetime is how long an entry may use the credit of an update, once a later one is on its way.
	creditLifetime = 2 * time.Second
)

// AllocatorConfig configures an Allocator. All fields are required, but for Window.
type AllocatorConfig struct {
	// Window is the length of the window over which quotas are counted; 0 means DefaultWindow.
	Window time.Duration
	// Quota returns the quota of a team.
	Quota func(team string) *schema.Quota
	// History returns the recorded grants, in RecordIntervals, the newest first.
	History func() []*schema.QuotaSlot
	// NoShares is set if entries that are cut off admit nothing by themselves: nothing is reserved for them then.
	NoShares bool
	// Give sends a grant to a control host's stream.
	Give func(stream, team string, amount float64, now time.Time)
	// Hosts returns the number of control hosts, and of those that vote.
	Hosts func() (all, voters int)
	Now   func() time.Time
}

// Allocator divides the quotas of teams among the control hosts, on the leader. A new leader counts what the hosts
// have given their entries, and what it does not know as used. All methods are safe for concurrent use.
type Allocator struct {
	cfg AllocatorConfig

	mu sync.Mutex
	// term is the leader's term that the state below belongs to, and since when this host leads in it; guarded by
	// mu, as all below.
	term  uint64
	since time.Time
	// history are the grants that were recorded before this leader began, by team, and recordedAt is when it began
	// the newest slot of the record.
	history    map[string][]pastGrant
	recordedAt time.Time
	// accounts are by team, and hosts by address.
	accounts map[string]*account
	hosts    map[string]*hostReport
	// counted are the hosts whose entries' use before this term is counted.
	counted map[string]bool
	// entries is the largest number of entries known to any entry, and missingSince when fewer began to
	// subscribe; the zero time: all subscribe.
	entries      int
	missingSince time.Time
}

// account is the use of a team's quota.
type account struct {
	// issued is what was granted, or used otherwise, within the window.
	issued  *ring
	demands demands
	// least are the smallest uses in the present creditLifetime, since leastSince, and in the one before.
	least      [2]float64
	leastSince time.Time
	// unrecorded is what was granted or used otherwise and is not recorded.
	unrecorded float64
}

// pastGrant is what was granted at least age before a leader began.
type pastGrant struct {
	amount float64
	age    time.Duration
}

// hostReport is what a control host last reported.
type hostReport struct {
	stream            string
	subscribed, known int
	knowsWindow       bool
	startedAt         time.Time
}

// Use is the use of a team's quota as the leader counts it.
type Use struct {
	// Used is what was granted or used, or may have been. Available is what can be granted now, and Credit
	// the credit of each entry. Unknown is the part of Used that may have been used under an earlier leader,
	// or by entries that are cut off.
	Used, Available, Credit, Unknown float64
}

// NewAllocator returns an allocator without any use.
func NewAllocator(cfg AllocatorConfig) *Allocator {
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	return &Allocator{cfg: cfg, accounts: map[string]*account{}, hosts: map[string]*hostReport{}}
}

// setTerm removes the state of an earlier term; the caller holds mu.
func (a *Allocator) setTerm(term uint64, now time.Time) {
	if term == a.term {
		return
	}
	a.term, a.since, a.entries, a.missingSince = term, now, 0, time.Time{}
	a.history, a.recordedAt = map[string][]pastGrant{}, now
	for i, slot := range a.cfg.History() {
		// The amounts of a slot were granted before the next one began.
		age := time.Duration(max(i-1, 0)) * RecordInterval
		for _, amount := range slot.GetAmounts() {
			a.history[amount.GetTeam()] = append(a.history[amount.GetTeam()], pastGrant{amount.GetAmount(), age})
		}
	}
	clear(a.accounts)
	clear(a.hosts)
	a.counted = map[string]bool{}
}

// account returns a team's account and adds it if needed; the caller holds mu.
func (a *Allocator) account(team string) *account {
	c := a.accounts[team]
	if c == nil {
		c = &account{issued: newUseRing(a.since, a.cfg.Window), demands: demands{}}
		a.accounts[team] = c
	}
	return c
}

// knowsAll reports whether this leader has granted all that may have been used within the window; the caller holds mu.
func (a *Allocator) knowsAll(now time.Time) bool {
	return now.Sub(a.since) >= a.cfg.Window+GrantLifetime
}

// Report applies the report of a control host on its stream in a term.
func (a *Allocator) Report(term uint64, host, stream string, report *schema.QuotaReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Now()
	a.setTerm(term, now)
	h := a.hosts[host]
	if h == nil || h.stream != stream {
		a.removeDemands(h)
		h = &hostReport{stream: stream}
		a.hosts[host] = h
	}
	h.subscribed, h.known, h.knowsWindow = int(report.GetSubscribedEntries()), int(report.GetKnownEntries()), report.GetKnowsWindow()
	h.startedAt = now.Add(-time.Duration(report.GetUptimeMs()) * time.Millisecond)
	a.entries = max(a.entries, int(report.GetEntries()))
	if !a.knowsAll(now) {
		uses := report.GetUses()
		if !a.counted[host] {
			// What was granted to the host in this term is none of it.
			a.counted[host], uses = true, report.GetGiven()
		}
		for _, use := range uses {
			a.account(use.GetTeam()).issued.addByAge(use.GetByAge(), now)
		}
	}
	for _, d := range report.GetDemands() {
		c := a.account(d.GetTeam())
		c.demands.update(stream, d, now)
		c.issued.add(now.Add(-time.Duration(d.GetReturnedAgeMs())*time.Millisecond-returnMargin), now, -d.GetReturned())
		c.use(d.GetCreditUsed(), now)
	}
	a.entriesLost(int(report.GetLostEntries()), now)
}

// entriesLost counts the credits of entries that were lost, which they may have used without a report; the caller
// holds mu.
func (a *Allocator) entriesLost(n int, now time.Time) {
	if n == 0 {
		return
	}
	for team, c := range a.accounts {
		most := limit(a.cfg.Quota(team), a.cfg.Window)
		c.use(float64(n)*credit(most, min(c.least[0], c.least[1]), a.entryCount()), now)
	}
}

// use counts what was granted or used otherwise.
func (c *account) use(amount float64, now time.Time) {
	c.issued.add(now, now, amount)
	c.unrecorded += amount
}

// RemoveStream removes a control host whose stream has ended.
func (a *Allocator) RemoveStream(host, stream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.hosts[host]
	if h == nil || h.stream != stream {
		return
	}
	a.removeDemands(h)
	a.entriesLost(h.subscribed, a.cfg.Now())
	delete(a.hosts, host)
}

// removeDemands removes the demands of a host; the caller holds mu.
func (a *Allocator) removeDemands(h *hostReport) {
	if h == nil {
		return
	}
	for _, c := range a.accounts {
		delete(c.demands, h.stream)
	}
}

// entryCount returns the number of entries that share the quotas; the caller holds mu.
func (a *Allocator) entryCount() int { return max(a.entries, a.subscribed(), 1) }

// subscribed returns the number of entries that subscribe; the caller holds mu.
func (a *Allocator) subscribed() (n int) {
	for _, h := range a.hosts {
		n += h.subscribed
	}
	return n
}

// unknownPart returns the part of the budgets that may have been used within the window unknown to this leader: under
// an earlier leader, by entries whose control host has been lost as well. The caller holds mu.
func (a *Allocator) unknownPart(now time.Time) float64 {
	if a.knowsAll(now) {
		return 0
	}
	known, knowing := 0, 0
	hosts, _ := a.cfg.Hosts()
	for _, h := range a.hosts {
		known += h.known
		if h.knowsWindow {
			knowing++
		}
	}
	return max(min(1-float64(known)/float64(a.entryCount()), 1-float64(knowing)/float64(max(hosts, 1))), 0)
}

// reservedPart returns the part of the budgets that is reserved for entries that are cut off, which keep to their
// shares. The caller holds mu.
func (a *Allocator) reservedPart(now time.Time) float64 {
	entries, subscribed := a.entryCount(), a.subscribed()
	switch {
	case subscribed >= entries:
		a.missingSince = time.Time{}
	case a.missingSince.IsZero():
		a.missingSince = now
	case now.Sub(a.missingSince) >= cutOffGrace && !a.cfg.NoShares:
		return largestShares(entries-subscribed, entries)
	}
	return 0
}

// pause returns for how long nobody can have granted anything before this leader began. An earlier leader was confirmed
// by a majority of the control hosts, and so by one of any others than fewer than half of them: if all of these have
// started again, it was last confirmed before the last of them did. The caller holds mu.
func (a *Allocator) pause() time.Duration {
	hosts, voters := a.cfg.Hosts()
	if 2*(hosts-len(a.hosts)) >= voters {
		return 0
	}
	var last time.Time
	for _, h := range a.hosts {
		if h.knowsWindow {
			return 0
		}
		if h.startedAt.After(last) {
			last = h.startedAt
		}
	}
	return max(a.since.Sub(last)-maxLeaderAge, 0)
}

// unknownUse returns what may have been used of a team's quota unknown to this leader, if nobody reports it: what was
// recorded, and what may have been granted since the last record or used on credit. The caller holds mu.
func (a *Allocator) unknownUse(team string, most float64, now time.Time) float64 {
	recorded, age := 0.0, now.Sub(a.since)+a.pause()
	for _, g := range a.history[team] {
		if g.age+age <= a.cfg.Window+GrantLifetime {
			recorded += g.amount
		}
	}
	recorded = min(recorded, most)
	return min(recorded+unrecordedFraction*most+creditFraction*(most-recorded), most)
}

// use returns the use of a team's quota; the caller holds mu.
func (a *Allocator) use(team string, c *account, now time.Time) Use {
	most := limit(a.cfg.Quota(team), a.cfg.Window)
	u := Use{Unknown: max(a.unknownPart(now)*a.unknownUse(team, most, now), a.reservedPart(now)*most)}
	u.Used = max(c.issued.total(now), 0) + u.Unknown
	if now.Sub(c.leastSince) > creditLifetime {
		c.least, c.leastSince = [2]float64{u.Used, c.least[0]}, now
	}
	c.least[0] = min(c.least[0], u.Used)
	u.Available = most - u.Used - creditFraction*max(most-min(c.least[0], c.least[1]), 0)
	u.Credit = credit(most, u.Used, a.entryCount())
	return u
}

// NextRecord returns what is to be recorded before more may be granted, nil if nothing is due.
func (a *Allocator) NextRecord(term uint64) *schema.RememberQuotaUse {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Now()
	a.setTerm(term, now)
	next, urgent := now.Sub(a.recordedAt) >= RecordInterval, false
	out := &schema.RememberQuotaUse{NextSlot: next, Keep: uint32((a.cfg.Window+GrantLifetime)/RecordInterval) + 2}
	for team, c := range a.accounts {
		if c.unrecorded > 0 {
			out.Amounts = append(out.Amounts, &schema.QuotaAmount{Team: team, Amount: c.unrecorded})
		}
		urgent = urgent || c.unrecorded > unrecordedFraction/2*limit(a.cfg.Quota(team), a.cfg.Window)
	}
	if !urgent && (!next || len(out.GetAmounts()) == 0 && len(a.cfg.History()) == 0) {
		return nil
	}
	return out
}

// Recorded records that a record of a term was committed.
func (a *Allocator) Recorded(term uint64, record *schema.RememberQuotaUse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if term != a.term {
		return
	}
	if record.GetNextSlot() {
		a.recordedAt = a.cfg.Now()
	}
	for _, amount := range record.GetAmounts() {
		if c := a.accounts[amount.GetTeam()]; c != nil {
			c.unrecorded -= amount.GetAmount()
		}
	}
}

// Issue grants what is available. confirmedAt is when a quorum last confirmed this host as the leader of the term.
func (a *Allocator) Issue(term uint64, confirmedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Now()
	a.setTerm(term, now)
	if now.Sub(confirmedAt) > maxLeaderAge {
		return
	}
	for team, c := range a.accounts {
		if len(c.demands) == 0 && c.issued.total(now) <= 0 && c.unrecorded <= 0 {
			delete(a.accounts, team)
			continue
		}
		u := a.use(team, c, now)
		unrecorded := unrecordedFraction*limit(a.cfg.Quota(team), a.cfg.Window) - c.unrecorded
		c.demands.divide(min(u.Available, unrecorded), now, func(stream string, amount float64) {
			c.use(amount, now)
			a.cfg.Give(stream, team, amount, now)
		})
	}
}

// Decorate adds to the sums over all entries what can be granted, and the credit of each entry, and adds the teams that
// use so much that entries must know it.
func (a *Allocator) Decorate(term uint64, sums *schema.TeamUses) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Now()
	a.setTerm(term, now)
	// Entries assume a use for a team that is not listed, and have no credit where it may be larger.
	if a.unknownPart(now) <= unlistedUse {
		sums.Entries = uint32(a.entryCount())
	}
	listed := map[string]bool{}
	for _, u := range sums.GetUses() {
		use := a.use(u.GetTeam(), a.account(u.GetTeam()), now)
		u.Available, u.Credit, listed[u.GetTeam()] = use.Available, use.Credit, true
	}
	for team, c := range a.accounts {
		use := a.use(team, c, now)
		if !listed[team] && use.Used > unlistedUse*Budget(a.cfg.Quota(team), a.cfg.Window) {
			sums.Uses = append(sums.Uses, &schema.TeamUse{Team: team, Available: use.Available, Credit: use.Credit})
		}
	}
}

// Uses returns the uses of the quotas of all teams with any.
func (a *Allocator) Uses(term uint64) map[string]Use {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Now()
	a.setTerm(term, now)
	uses := map[string]Use{}
	for team, c := range a.accounts {
		uses[team] = a.use(team, c, now)
	}
	return uses
}
