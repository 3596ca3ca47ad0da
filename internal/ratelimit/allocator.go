package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fennelyard/internal/schema"
)

const (
	// IssueInterval is the time between two rounds of the leader's permits.
	IssueInterval = 50 * time.Millisecond
	// burstTime is the time for which unused permits of a server accumulate, at least one.
	burstTime = 300 * time.Millisecond
	// maxQueues is the number of queues that are sent to all entries: at 30 bytes each and three
	// updates a second, 6 KB/s per entry. At other servers requests wait without an estimate.
	maxQueues = 64
)

// AllocatorConfig configures an Allocator. All fields are required.
type AllocatorConfig struct {
	// Limits returns the limits of all servers that state one, by server. It is not modified.
	Limits func() map[string]*schema.RequestLimit
	// Grants receives the permits, by the stream of the entry's control host.
	Grants *GrantBuffer
	Now    func() time.Time
}

// Allocator divides the limits of servers among the entries that request permits, on the
// leader. Each server has a token bucket, which is empty when the leader receives its limit and is
// filled only up to the time at which a quorum last confirmed the leader: two leaders
// never fill a bucket for the same time. All methods are safe for concurrent use.
type Allocator struct {
	cfg AllocatorConfig

	mu sync.Mutex
	// term is the leader's term that buckets, keyed by server, belongs to; guarded by mu.
	term    uint64
	buckets map[string]*bucket
}

// bucket is the token bucket of one server.
type bucket struct {
	limit    *schema.RequestLimit
	tokens   float64
	filledAt time.Time
	// demands is keyed by entry.
	demands map[string]*entryDemand
}

// entryDemand is an entry's demand for permits of one server.
type entryDemand struct {
	entry string
	// stream is the control host's stream that reported the demand.
	stream          string
	waiting, wanted int
	// received is the number of permits that the entry has reported as received, and inFlight the
	// permits granted that are not among them.
	received uint64
	inFlight []time.Time
	// waitingSince is when requests began to wait after the last grant, and grantedAt the last
	// grant.
	waitingSince, grantedAt time.Time
}

// NewAllocator returns an allocator without demand.
func NewAllocator(cfg AllocatorConfig) *Allocator {
	return &Allocator{cfg: cfg, buckets: map[string]*bucket{}}
}

// setTerm removes all demand and all tokens when this host begins to lead; the caller holds mu.
func (a *Allocator) setTerm(term uint64) {
	if term != a.term {
		a.term = term
		clear(a.buckets)
	}
}

// SetDemands replaces the demands of some entries, as reported in a term on the stream of their
// control host.
func (a *Allocator) SetDemands(term uint64, stream string, entries []*schema.EntryPermitDemands) {
	if len(entries) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setTerm(term)
	a.updateBuckets()
	for _, e := range entries {
		a.removeDemands(func(d *entryDemand, server string) bool {
			return d.entry == e.GetEntry() && d.stream == stream &&
				!slices.ContainsFunc(e.GetDemands(), func(p *schema.PermitDemand) bool { return p.GetServer() == server })
		})
		for _, demand := range e.GetDemands() {
			a.setDemand(stream, e.GetEntry(), demand)
		}
	}
}

// setDemand replaces an entry's demand for a server; the caller holds mu.
func (a *Allocator) setDemand(stream, entry string, demand *schema.PermitDemand) {
	b := a.buckets[demand.GetServer()]
	if b == nil {
		// This leader does not know the limit yet, or knows that it has ended. The entry reports
		// what it knows of it together with its demand.
		return
	}
	now := a.cfg.Now()
	d := b.demands[entry]
	if d == nil {
		d = &entryDemand{entry: entry, received: demand.GetReceived()}
		b.demands[entry] = d
	}
	if d.waiting == 0 {
		d.waitingSince = now
	}
	d.stream, d.waiting, d.wanted = stream, int(demand.GetWaiting()), int(demand.GetWanted())
	// The count is lower after a restart of the entry, which then has none of its permits.
	if arrived := int64(demand.GetReceived()) - int64(d.received); arrived > 0 {
		d.inFlight = d.inFlight[min(int(arrived), len(d.inFlight)):]
	}
	d.received = demand.GetReceived()
}

// RemoveStream removes the demands that were last reported on a stream.
func (a *Allocator) RemoveStream(stream string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.removeDemands(func(d *entryDemand, _ string) bool { return d.stream == stream })
}

// removeDemands removes some demands; the caller holds mu.
func (a *Allocator) removeDemands(remove func(d *entryDemand, server string) bool) {
	for server, b := range a.buckets {
		for entry, d := range b.demands {
			if remove(d, server) {
				delete(b.demands, entry)
			}
		}
	}
}

// Issue grants the permits that are due. confirmedAt is when a quorum last confirmed this host
// as the leader of the term, and lostShare the share of the entries that it has lost contact
// with: these may keep to their part of the limits on their own.
func (a *Allocator) Issue(term uint64, confirmedAt time.Time, lostShare float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setTerm(term)
	a.updateBuckets()
	now := a.cfg.Now()
	for server, b := range a.buckets {
		b.fill(Rate(b.limit)*(1-disconnectedShare*lostShare), confirmedAt)
		granted := map[*entryDemand]uint32{}
		for ; b.tokens >= 1; b.tokens-- {
			d := b.next(now)
			if d == nil {
				break
			}
			granted[d]++
			d.inFlight = append(d.inFlight, now)
			d.waitingSince, d.grantedAt = now, now
		}
		for d, n := range granted {
			a.cfg.Grants.Add(d.stream, &schema.PermitGrant{Entry: d.entry, Server: server, Count: n}, now)
		}
	}
}

// updateBuckets adds the buckets of servers that have stated a limit, and removes those of servers
// that no longer state one or are gone; the caller holds mu.
func (a *Allocator) updateBuckets() {
	limits := a.cfg.Limits()
	for server := range a.buckets {
		if limits[server] == nil {
			delete(a.buckets, server)
		}
	}
	for server, l := range limits {
		if a.buckets[server] == nil {
			a.buckets[server] = &bucket{filledAt: a.cfg.Now(), demands: map[string]*entryDemand{}}
		}
		a.buckets[server].limit = l
	}
}

// fill adds tokens at a rate.
func (b *bucket) fill(rate float64, confirmedAt time.Time) {
	if elapsed := confirmedAt.Sub(b.filledAt); elapsed > 0 {
		b.tokens += rate * elapsed.Seconds()
		b.filledAt = confirmedAt
	}
	b.tokens = min(b.tokens, max(rate*burstTime.Seconds(), 1))
}

// Queues returns the queues of the servers that have no permits left, the longest first.
func (a *Allocator) Queues() *schema.PermitQueues {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := &schema.PermitQueues{}
	for server, b := range a.buckets {
		q := &schema.PermitQueue{Server: server}
		for _, d := range b.demands {
			q.Waiting += uint32(max(d.waiting-len(d.inFlight), 0))
		}
		if b.tokens < 1 {
			q.NextInMs = uint32(seconds((1 - b.tokens) / Rate(b.limit)).Milliseconds())
		}
		if q.GetWaiting() > 0 || q.GetNextInMs() > 0 {
			out.Queues = append(out.Queues, q)
		}
	}
	slices.SortFunc(out.Queues, func(p, q *schema.PermitQueue) int {
		return cmp.Or(cmp.Compare(q.GetWaiting(), p.GetWaiting()), cmp.Compare(q.GetNextInMs(), p.GetNextInMs()), cmp.Compare(p.GetServer(), q.GetServer()))
	})
	out.Queues = out.Queues[:min(len(out.Queues), maxQueues)]
	return out
}

// next returns the demand that gets the next permit, nil if there is none: of the entries with
// waiting requests the one that has waited longest, otherwise of those that want permits in
// advance the one whose last grant is the longest ago.
func (b *bucket) next(now time.Time) *entryDemand {
	var best *entryDemand
	for _, d := range b.demands {
		d.inFlight = slices.DeleteFunc(d.inFlight, func(at time.Time) bool { return now.Sub(at) > maxGrantAge })
		if d.wanted > len(d.inFlight) && (best == nil || d.compare(best) < 0) {
			best = d
		}
	}
	return best
}

// compare orders demands, the first to be granted first.
func (d *entryDemand) compare(other *entryDemand) int {
	waits, otherWaits := d.waiting > len(d.inFlight), other.waiting > len(other.inFlight)
	switch {
	case waits && otherWaits:
		return cmp.Or(d.waitingSince.Compare(other.waitingSince), cmp.Compare(d.entry, other.entry))
	case waits:
		return -1
	case otherWaits:
		return 1
	}
	return cmp.Or(d.grantedAt.Compare(other.grantedAt), cmp.Compare(d.entry, other.entry))
}
