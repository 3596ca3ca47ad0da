package quota

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"fennelyard/internal/schema"
)

// StockConfig configures a Stock. Give is required.
type StockConfig struct {
	// Window is the length of the window over which quotas are counted; 0 means DefaultWindow.
	Window time.Duration
	// Give sends a grant, issued by the leader at a time, to an entry.
	Give func(entry, team string, amount float64, issuedAt time.Time)
}

// Stock is what a control host has been granted for its entries. It counts what it has given them, so that the next
// leader knows it. All methods are safe for concurrent use.
type Stock struct {
	cfg   StockConfig
	start time.Time

	mu sync.Mutex
	// teams are by name; guarded by mu, as all below.
	teams map[string]*teamStock
	// entries are those that subscribe, and those that have left within the window, by name.
	entries map[string]*stockEntry
	// reportedTerm is the leader's term of the last report, and streamStarts is set until the first report on a
	// stream to a leader.
	reportedTerm uint64
	streamStarts bool
	// knownEntries is the largest number of entries that an entry has reported, and lostEntries counts those
	// that have left and have not been reported.
	knownEntries, lostEntries int
}

// teamStock is a control host's stock of a team's quota.
type teamStock struct {
	// held are the grants that are left, the oldest first, and received is the sum of all received on the
	// stream to the leader.
	held     []heldGrant
	received float64
	demands  demands
	// given is what entries were given or have admitted otherwise, and may use or have used within the window.
	given *ring
	// adopted is the usage of entries that has not been reported to the leader.
	adopted *ring
	// returned, returnedSince and creditUsed are to be reported to the leader.
	returned      float64
	returnedSince time.Time
	creditUsed    float64
	reported      *schema.QuotaDemand
}

// stockEntry is an entry as far as its use is known.
type stockEntry struct {
	// stream is the number of its last stream, among its streams to all hosts, and incarnation identifies its process.
	stream      uint64
	incarnation string
	// reportedAt is when it last reported, and leftAt when it left; the zero time while it subscribes.
	reportedAt, leftAt time.Time
	// known is set if its use within the window is known to this host.
	known bool
}

// NewStock returns an empty stock.
func NewStock(cfg StockConfig, now time.Time) *Stock {
	cfg.Window = cmp.Or(cfg.Window, DefaultWindow)
	return &Stock{cfg: cfg, start: now, streamStarts: true, teams: map[string]*teamStock{}, entries: map[string]*stockEntry{}}
}

// team returns the stock of a team and adds it if needed; the caller holds mu.
func (s *Stock) team(name string) *teamStock {
	t := s.teams[name]
	if t == nil {
		t = &teamStock{demands: demands{}, given: newUseRing(s.start, s.cfg.Window), adopted: newUseRing(s.start, s.cfg.Window)}
		s.teams[name] = t
	}
	return t
}

// Subscribe applies the first report of an entry on a stream, with the start of its process and its own number of the
// stream.
func (s *Stock) Subscribe(entry string, startedMs, stream uint64, report *schema.QuotaReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, incarnation := s.entries[entry], strconv.FormatUint(startedMs, 10)
	e := &stockEntry{stream: stream, incarnation: incarnation, reportedAt: now, known: report.GetKnowsWindow() || old != nil && old.known}
	s.entries[entry] = e
	for _, t := range s.teams {
		delete(t.demands, entry)
	}
	// An entry that has been at no other host since used what was given here.
	if old == nil || old.incarnation != incarnation || old.stream+1 != stream {
		for _, use := range report.GetUses() {
			t := s.team(use.GetTeam())
			t.given.addByAge(use.GetByAge(), now)
			if use.GetTerm() == 0 || use.GetTerm() != s.reportedTerm {
				// The present leader knows what it has granted through another host.
				t.adopted.addByAge(use.GetByAge(), now)
			}
		}
	}
	s.report(entry, report, now)
}

// Unsubscribe records that an entry has left.
func (s *Stock) Unsubscribe(entry string, stream uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[entry]
	if e == nil || e.stream != stream {
		return
	}
	e.leftAt = now
	s.lostEntries++
	for _, t := range s.teams {
		delete(t.demands, entry)
	}
}

// useCredit records a use without a grant; the caller holds mu.
func (s *Stock) useCredit(t *teamStock, amount float64, now time.Time) {
	t.given.add(now, now, amount)
	t.creditUsed += amount
}

// Report applies an entry's report, and gives the entries what is left. It reports whether requests wait that the
// leader does not know of.
func (s *Stock) Report(entry string, report *schema.QuotaReport, now time.Time) (waits bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report(entry, report, now)
}

// report is Report; the caller holds mu.
func (s *Stock) report(entry string, report *schema.QuotaReport, now time.Time) (waits bool) {
	s.knownEntries = max(s.knownEntries, int(report.GetEntries()))
	if e := s.entries[entry]; e != nil {
		e.reportedAt, e.known = now, e.known || report.GetKnowsWindow()
	}
	for _, d := range report.GetDemands() {
		t := s.team(d.GetTeam())
		t.demands.update(entry, d, now)
		if returned := d.GetReturned(); returned > 0 {
			issuedAt := now.Add(-time.Duration(d.GetReturnedAgeMs())*time.Millisecond - returnMargin)
			t.given.add(issuedAt, now, -returned)
			t.giveBack(returned, issuedAt)
		}
		if used := d.GetCreditUsed(); used > 0 {
			s.useCredit(t, used, now)
		}
		s.divide(d.GetTeam(), t, now)
		waits = waits || t.demands.unmet(now) > t.reported.GetWaiting()
	}
	return waits
}

// returnMargin is the time by which a returned grant may be older than reported, for the time of the messages: what is
// returned must not count for longer than the grant.
const returnMargin = 500 * time.Millisecond

// giveBack records that a part of a grant is not used.
func (t *teamStock) giveBack(amount float64, issuedAt time.Time) {
	if t.returned == 0 || issuedAt.Before(t.returnedSince) {
		t.returnedSince = issuedAt
	}
	t.returned += amount
}

// Grant adds a grant that the leader issued at a time, and gives it to the entries.
func (s *Stock) Grant(team string, amount float64, issuedAt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.team(team)
	t.received += amount
	i, _ := slices.BinarySearchFunc(t.held, issuedAt, func(g heldGrant, at time.Time) int { return g.issuedAt.Compare(at) })
	t.held = slices.Insert(t.held, i, heldGrant{amount, issuedAt})
	s.divide(team, t, now)
}

// divide gives the entries what is left of the grants; the caller holds mu.
func (s *Stock) divide(team string, t *teamStock, now time.Time) {
	available := 0.0
	for len(t.held) > 0 && now.Sub(t.held[0].issuedAt) >= GrantLifetime {
		t.giveBack(t.held[0].amount, t.held[0].issuedAt)
		t.held = t.held[1:]
	}
	for _, g := range t.held {
		available += g.amount
	}
	t.demands.divide(available, now, func(entry string, amount float64) {
		t.given.add(now, now, amount)
		for amount > 0 && len(t.held) > 0 {
			first := &t.held[0]
			part := min(first.amount, amount)
			s.cfg.Give(entry, team, part, first.issuedAt)
			amount -= part
			if first.amount -= part; first.amount <= 0 {
				t.held = t.held[1:]
			}
		}
	})
}

// LeaderLost drops the grants of a leader that this host no longer follows: only grants to entries are known to the
// next one, by the first report on its stream.
func (s *Stock) LeaderLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamStarts = true
	for _, t := range s.teams {
		t.held, t.received, t.reported = nil, 0, nil
		t.returned = 0
	}
}

// NextReport returns the next report to the leader of a term. The first one on a stream contains all usage within the
// window.
func (s *Stock) NextReport(term uint64, now time.Time) *schema.QuotaReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.streamStarts
	s.reportedTerm, s.streamStarts = term, false
	subscribed, known := s.countEntries(now)
	out := &schema.QuotaReport{
		Entries: uint32(s.knownEntries), SubscribedEntries: uint32(subscribed), KnownEntries: uint32(known), LostEntries: uint32(s.lostEntries),
		KnowsWindow: now.Sub(s.start) >= s.cfg.Window+GrantLifetime, UptimeMs: uint64(now.Sub(s.start).Milliseconds()),
	}
	s.lostEntries = 0
	for name, t := range s.teams {
		if d := t.nextDemand(name, now); d != nil {
			out.Demands = append(out.Demands, d)
		}
		if uses := t.adopted.byAge(now); uses != nil {
			out.Uses = append(out.Uses, &schema.QuotaUse{Team: name, ByAge: uses})
			clear(t.adopted.amounts)
		}
		if given := t.given.byAge(now); first && given != nil {
			out.Given = append(out.Given, &schema.QuotaUse{Team: name, ByAge: given})
		}
		if t.idle(now) {
			delete(s.teams, name)
		}
	}
	return out
}

// entrySilenceTimeout is how long a subscribed entry may send no report before it counts as cut off.
const entrySilenceTimeout = 1200 * time.Millisecond

// countEntries returns the number of entries that subscribe and report, and of those whose use is known. It forgets
// those that have left for longer than the window; the caller holds mu.
func (s *Stock) countEntries(now time.Time) (subscribed, known int) {
	for name, e := range s.entries {
		switch {
		case !e.leftAt.IsZero() && now.Sub(e.leftAt) > s.cfg.Window:
			delete(s.entries, name)
		case !e.leftAt.IsZero() || now.Sub(e.reportedAt) > entrySilenceTimeout:
		case e.known:
			subscribed, known = subscribed+1, known+1
		default:
			subscribed++
		}
	}
	return subscribed, known
}

// nextDemand returns the demand on the leader if it has changed, nil otherwise.
func (t *teamStock) nextDemand(name string, now time.Time) *schema.QuotaDemand {
	d := &schema.QuotaDemand{
		Team: name, Waiting: t.demands.unmet(now), Received: t.received, Returned: t.returned, CreditUsed: t.creditUsed,
	}
	if d.GetReturned() == 0 && d.GetCreditUsed() == 0 && d.GetWaiting() == t.reported.GetWaiting() && d.GetReceived() == t.reported.GetReceived() {
		return nil
	}
	if t.returned > 0 {
		d.ReturnedAgeMs = now.Sub(t.returnedSince).Milliseconds() + 1
	}
	t.returned, t.creditUsed, t.reported = 0, 0, d
	return d
}

// idle reports whether nothing of the stock matters any more.
func (t *teamStock) idle(now time.Time) bool {
	return len(t.demands) == 0 && len(t.held) == 0 && t.given.total(now) <= 0 && t.reported.GetWaiting() == 0 &&
		t.returned == 0 && t.creditUsed == 0
}
