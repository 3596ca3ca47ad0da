package quota_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fennelyard/internal/quota"
	"fennelyard/internal/schema"
)

const (
	window = 8 * time.Second
	step   = 20 * time.Millisecond
	// messageDelay is the time of a message between two hosts.
	messageDelay = step
	// entryReportInterval is the time between two reports of an entry, and between two sums that it receives;
	// hostReportInterval that of a control host.
	entryReportInterval = 300 * time.Millisecond
	hostReportInterval  = 100 * time.Millisecond
	issueInterval       = 60 * time.Millisecond
	// reconnectTime is how long an entry needs to find another control host, or a host another leader.
	reconnectTime = 200 * time.Millisecond
	// maxOverage is the fraction of a budget that may be admitted beyond it.
	maxOverage = 0.1
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// fleet is a number of entries that subscribe to control hosts, one of which leads.
type fleet struct {
	team    *schema.Team
	random  *rand.Rand
	now     time.Time
	leader  *leader
	term    uint64
	hosts   []*controlHost
	entries []*entry
	// messages are on their way, by the time at which they arrive.
	messages map[time.Time][]func()
	// admitted is the admitted cost of each step.
	admitted []float64
	refused  int
	requests int
	// refusedCost and offeredCost are the costs of the requests.
	refusedCost, offeredCost float64
	// refusedBelow counts the requests that were refused while a window had room for them.
	refusedBelow int
	// waited counts requests that waited for a grant, and waitSum is how long those did that were admitted.
	waited  int
	waitSum time.Duration
	// bytes are those of all messages about quotas from and to entries.
	bytes int
	// bucketTokens are the tokens in a token bucket with the team's rate and burst that all
	// entries share, and bucketRefused counts the requests that find it empty.
	// history is the record of what was granted; it survives all hosts.
	history       []float64
	bucketTokens  float64
	bucketRefused int
}

// leader is the state of the control host that leads.
type leader struct {
	allocator *quota.Allocator
	totals    *quota.Totals
}

// controlHost is a control host; its stock is nil while it is lost.
type controlHost struct {
	index  int
	starts int
	stock  *quota.Stock
	totals *quota.Totals
	uses   *schema.TeamUses
	// follows is the leader to which the host reports.
	follows *leader
	urgent  bool
}

// entry is an entry; its meter is nil while it is lost.
type entry struct {
	index       int
	meter       *quota.Meter
	startedAt   time.Time
	confirmedAt time.Time
	host        *controlHost
	hostStarts  int
	streams     uint64
	cutOff      bool
	urgent      bool
	waiting     []waitingRequest
}

type waitingRequest struct {
	admission *quota.Admission
	cost      float64
	since     time.Time
}

func newFleet(seed uint64, entries int, q *schema.Quota) *fleet {
	f := &fleet{
		team: &schema.Team{Name: "t", Quota: q}, random: rand.New(rand.NewPCG(seed, 1)), now: start, messages: map[time.Time][]func(){},
	}
	for i := range min(9, max(entries/8, 1)) {
		f.hosts = append(f.hosts, &controlHost{index: i})
		f.startHost(i)
	}
	for i := range entries {
		f.entries = append(f.entries, &entry{index: i})
		f.startEntry(i)
	}
	f.elect()
	// All hosts know a whole window.
	f.run(window+2*quota.GrantLifetime, 0, nil)
	f.admitted = nil
	return f
}

// send delivers a message after messageDelay.
func (f *fleet) send(deliver func()) {
	at := f.now.Add(messageDelay)
	f.messages[at] = append(f.messages[at], deliver)
}

func (f *fleet) startHost(i int) {
	h := f.hosts[i]
	h.starts++
	h.totals, h.uses, h.follows = quota.NewTotals(window), nil, nil
	h.stock = quota.NewStock(quota.StockConfig{Window: window, Give: func(name, team string, amount float64, issuedAt time.Time) {
		for _, e := range f.entries {
			if fmt.Sprint(e.index) == name && e.meter != nil && !e.cutOff {
				meter := e.meter
				f.bytes += 20
				f.send(func() { meter.Grant(team, amount, issuedAt, f.now) })
			}
		}
	}}, f.now)
}

func (f *fleet) loseHost(i int) { f.hosts[i].stock, f.hosts[i].follows = nil, nil }

func (f *fleet) startEntry(i int) {
	e := f.entries[i]
	f.loseEntry(i)
	e.startedAt, e.confirmedAt, e.streams = f.now, f.now.Add(-time.Hour), 0
	e.meter = quota.NewMeter(quota.MeterConfig{Window: window, Random: f.random.Float64, Rank: func(string) int { return i }, OnWaiting: func() { e.urgent = true }}, f.now)
}

// loseEntry ends an entry and what waits there.
func (f *fleet) loseEntry(i int) {
	e := f.entries[i]
	f.unsubscribe(e)
	f.refused += len(e.waiting)
	e.meter, e.waiting = nil, nil
}

func (f *fleet) unsubscribe(e *entry) {
	if e.host != nil && e.host.stock != nil && e.host.starts == e.hostStarts {
		e.host.stock.Unsubscribe(fmt.Sprint(e.index), e.streams, f.now)
	}
	e.host = nil
}

// elect makes another leader without any state.
func (f *fleet) elect() {
	f.term++
	l := &leader{totals: quota.NewTotals(window)}
	l.allocator = quota.NewAllocator(quota.AllocatorConfig{
		Window: window, Quota: func(string) *schema.Quota { return f.team.GetQuota() }, History: f.slots, Hosts: func() (int, int) { return len(f.hosts), len(f.hosts) }, Now: func() time.Time { return f.now },
		Give: func(stream, team string, amount float64, now time.Time) {
			for _, h := range f.hosts {
				if h.follows == l && fmt.Sprint(h.index, "/", h.starts) == stream {
					stock := h.stock
					f.send(func() { stock.Grant(team, amount, now, f.now) })
				}
			}
		},
	})
	f.leader = l
}

// run sends requests with a total cost of perSecond to the entries that pick returns.
func (f *fleet) run(d time.Duration, perSecond float64, pick func() int) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.admitted = append(f.admitted, 0)
		f.bucketTokens = min(f.bucketTokens+f.team.GetQuota().GetRatePerSecond()*step.Seconds(), f.team.GetQuota().GetBurst())
		due := perSecond * step.Seconds()
		for due > 0 {
			cost := 2000 + 14000*f.random.Float64()
			if f.random.Float64() > due/cost {
				break
			}
			due -= cost
			f.request(pick(), cost)
		}
		f.advance()
	}
}

func (f *fleet) request(i int, cost float64) {
	f.requests++
	f.offeredCost += cost
	if f.bucketTokens >= cost {
		f.bucketTokens -= cost
	} else {
		f.bucketRefused++
	}
	e := f.entries[i]
	if e.meter == nil {
		return
	}
	a, verdict, _ := e.meter.Admit(f.team, cost, quota.Link{ConfirmedAt: e.confirmedAt, Entries: len(f.entries)}, f.now)
	switch verdict {
	case quota.VerdictAdmitted:
		f.admitted[len(f.admitted)-1] += cost
	case quota.VerdictWaits:
		f.waited++
		e.waiting = append(e.waiting, waitingRequest{a, cost, f.now})
	default:
		f.refuse(cost)
	}
}

func (f *fleet) refuse(cost float64) {
	f.refused++
	f.refusedCost += cost
	sum := cost
	for _, a := range f.admitted[max(len(f.admitted)-int(window/step), 0):] {
		sum += a
	}
	if sum <= quota.Budget(f.team.GetQuota(), window) {
		f.refusedBelow++
	}
}

// advance delivers messages and sends those that are due.
func (f *fleet) advance() {
	due := f.messages[f.now]
	delete(f.messages, f.now)
	for _, deliver := range due {
		deliver()
	}
	elapsed := f.now.Sub(start)
	for _, e := range f.entries {
		if e.meter != nil {
			f.advanceEntry(e, elapsed)
		}
	}
	for _, h := range f.hosts {
		if h.stock != nil && f.leader != nil {
			f.advanceHost(h, elapsed)
		}
	}
	if f.leader != nil && elapsed%issueInterval == 0 {
		f.leader.allocator.Issue(f.term, f.now)
		f.record()
	}
}

// slots returns the record of what was granted.
func (f *fleet) slots() (out []*schema.QuotaSlot) {
	for _, amount := range f.history {
		out = append(out, &schema.QuotaSlot{Amounts: []*schema.QuotaAmount{{Team: "t", Amount: amount}}})
	}
	return out
}

// record records what was granted.
func (f *fleet) record() {
	l, term := f.leader, f.term
	record := l.allocator.NextRecord(term)
	if record == nil {
		return
	}
	if record.GetNextSlot() || len(f.history) == 0 {
		f.history = append([]float64{0}, f.history...)
	}
	for _, amount := range record.GetAmounts() {
		f.history[0] += amount.GetAmount()
	}
	f.history = f.history[:min(len(f.history), int(record.GetKeep()))]
	l.allocator.Recorded(term, record)
}

func (f *fleet) advanceEntry(e *entry, elapsed time.Duration) {
	kept := e.waiting[:0]
	for _, w := range e.waiting {
		select {
		case <-w.admission.Granted():
			f.admitted[len(f.admitted)-1] += w.cost
			f.waitSum += f.now.Sub(w.since)
			continue
		default:
		}
		if f.now.Sub(w.since) >= quota.MaxWait && !e.meter.Cancel(w.admission) {
			f.refuse(w.cost)
			continue
		}
		kept = append(kept, w)
	}
	e.waiting = kept
	lost := e.host != nil && (e.host.stock == nil || e.host.starts != e.hostStarts)
	if e.cutOff || lost {
		if e.host != nil {
			f.unsubscribe(e)
		}
		if e.cutOff {
			return
		}
	}
	phase := elapsed + time.Duration(e.index)*step
	if e.host == nil {
		if phase%reconnectTime == 0 {
			f.subscribe(e)
		}
		return
	}
	if phase%entryReportInterval == 0 || e.urgent {
		e.urgent = false
		f.reportEntry(e, phase%entryReportInterval == 0)
	}
	if h := e.host; phase%entryReportInterval == 0 && h.follows != nil && h.follows == f.leader && h.uses != nil {
		meter, uses, at, term := e.meter, h.uses, f.now, f.term
		f.bytes += 30 * len(uses.GetUses())
		f.send(func() {
			meter.SetTotals(term, uses)
			e.confirmedAt = at
		})
	}
}

// subscribe subscribes an entry to some host that runs.
func (f *fleet) subscribe(e *entry) {
	h := f.hosts[(e.index+f.random.IntN(2))%len(f.hosts)]
	if h.stock == nil || f.leader == nil || h.follows != f.leader {
		return
	}
	e.host, e.hostStarts = h, h.starts
	e.streams++
	h.stock.Subscribe(fmt.Sprint(e.index), uint64(e.startedAt.UnixMilli()), e.streams,
		&schema.QuotaReport{
			Uses: e.meter.StreamStarted(f.now), Demands: e.meter.Demands(f.now), Entries: uint32(len(f.entries)), KnowsWindow: f.now.Sub(e.startedAt) >= window,
		}, f.now)
}

func (f *fleet) reportEntry(e *entry, periodic bool) {
	h := e.host
	report := &schema.QuotaReport{Demands: e.meter.Demands(f.now), Entries: uint32(len(f.entries)), KnowsWindow: f.now.Sub(e.startedAt) >= window}
	var uses *schema.TeamUses
	if periodic {
		uses = e.meter.Report(f.now)
	}
	f.bytes += 30*len(report.GetDemands()) + 30*len(uses.GetUses())
	stock, totals, name := h.stock, h.totals, fmt.Sprint(e.index)
	f.send(func() {
		if uses != nil {
			totals.Report(name+"/"+e.startedAt.String(), uses, f.now)
		}
		if stock.Report(name, report, f.now) {
			h.urgent = true
		}
	})
}

func (f *fleet) advanceHost(h *controlHost, elapsed time.Duration) {
	phase := elapsed + time.Duration(h.index)*step
	l, stream := f.leader, fmt.Sprint(h.index, "/", h.starts)
	if h.follows != l {
		if phase%reconnectTime != 0 {
			return
		}
		h.stock.LeaderLost()
		h.follows = l
	}
	if phase%hostReportInterval != 0 && !h.urgent {
		return
	}
	h.urgent = false
	report, uses, term := h.stock.NextReport(f.term, f.now), h.totals.Sum(f.now, nil), f.term
	f.send(func() {
		if f.leader != l {
			return
		}
		l.totals.Report(stream, uses, f.now)
		l.allocator.Report(term, fmt.Sprint(h.index), stream, report)
		l.allocator.Issue(term, f.now)
		sums := l.totals.Sum(f.now, nil)
		l.allocator.Decorate(term, sums)
		f.send(func() {
			if h.follows == l {
				h.uses = sums
			}
		})
	})
}

// maxInWindow returns the maximum cost admitted in a window.
func (f *fleet) maxInWindow() float64 {
	n, sum, maximum := int(window/step), 0.0, 0.0
	for i, a := range f.admitted {
		sum += a
		if i >= n {
			sum -= f.admitted[i-n]
		}
		maximum = max(maximum, sum)
	}
	return maximum
}
