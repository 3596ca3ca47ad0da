package ratelimit

import (
	"math"
	"time"

	"fennelyard/internal/schema"
)

const (
	// ownRetention is how long an observation of this entry counts that is stricter than a newer
	// limit of the leader: by then the leader has taken it into account.
	ownRetention = 2 * time.Second
	// demandWindowValidities is the time constant of the moving average of the demand for a server,
	// in times the validity of a permit.
	demandWindowValidities = 2
	// minAdvanceUse is the number of requests that an entry expects to send while a permit is valid
	// from which it requests one in advance: more than a single request adds to the average. Permits
	// that expire unused are lost to entries whose requests wait: hundreds of entries that requested
	// one after each request for a server wasted most of its limit.
	minAdvanceUse = 0.6
	// maxDemand bounds the permits that an entry requests of one server.
	maxDemand = 256
	// disconnectedShare is the share of a limit that all entries together use when they are cut
	// off from the leader, each an equal part of it. They add to the permits of those that are
	// not.
	disconnectedShare = 0.5
	// slotValidity is how long a request may be sent after a time that a disconnected entry has
	// chosen for it. Entries that keep such slots for later could all use theirs at once.
	slotValidity = time.Second
)

// Source describes where an entry gets permits from.
type Source struct {
	// Connected is set while the entry receives the leader's updates.
	Connected bool
	// Entries is the number of entries, and Random returns a number in [0, 1).
	Entries int
	Random  func() float64
}

// Stamp is what an entry knows of a server's limit when it sends a request there.
type Stamp struct {
	// version is the number of changes of the entry's knowledge, revision the leader's revision.
	version, revision uint64
}

// observation is a limit that a response to this entry stated.
type observation struct {
	// limit has the leader's revision that was known when the request was sent.
	limit *schema.RequestLimit
	// knownRevision is the leader's revision that was known when the response arrived, at.
	knownRevision uint64
	at            time.Time
}

// Permits is what one entry knows of a server's limit, and its permits to send requests to the
// server. The zero value is a server that has stated no limit. It is not safe for concurrent use.
type Permits struct {
	// known is the leader's limit with the highest revision received.
	known *schema.RequestLimit
	// own is a limit that the entry observed and that known does not include yet.
	own *observation
	// version increases with each change of known or own.
	version uint64
	// restate is set while the leader's limit is older than known.
	restate bool
	// held are the ends of the validity of the permits, in the order of arrival.
	held []time.Time
	// received counts all permits received.
	received uint64
	// waiting is the number of requests that wait for a permit, and reportedWaiting the one last
	// reported to the leader.
	waiting, reportedWaiting int
	// othersWaiting is the number that wait at other entries, and nextGrant when the leader grants
	// the next permit, by its last update; the zero time: it has permits left.
	othersWaiting int
	nextGrant     time.Time
	// demandRate is a moving average, as of demandAt, of the requests a second that were sent or
	// would have been with a permit.
	demandRate float64
	demandAt   time.Time
	// nextSlot is when a disconnected entry may send its next request; the zero time while it is
	// connected.
	nextSlot time.Time
}

// Stated reports whether the server has ever stated a limit, as far as this entry knows.
func (p *Permits) Stated() bool { return p.known != nil || p.own != nil }

// Stamp returns the knowledge with which a request is sent.
func (p *Permits) Stamp() Stamp { return Stamp{p.version, p.known.GetRevision()} }

// Limit returns the limit to keep, nil for none.
func (p *Permits) Limit(now time.Time) *schema.RequestLimit {
	l := p.known
	if p.own != nil {
		// An observation that the leader's limit does not include is newer than that limit, unless
		// the leader has changed it since: then the stricter one is kept until their order is known.
		switch {
		case p.known.GetRevision() <= p.own.knownRevision:
			l = p.own.limit
		case now.Sub(p.own.at) >= ownRetention:
			p.own = nil
		default:
			l = p.own.limit
		}
	}
	if !l.GetLimited() {
		return nil
	}
	return l
}

// SetKnown applies the leader's limit. It reports whether the limit to keep has changed.
func (p *Permits) SetKnown(l *schema.RequestLimit, now time.Time) (changed bool) {
	before := p.Limit(now)
	// A leader without its predecessor's state knows less than this entry.
	p.restate = l.GetRevision() < p.known.GetRevision()
	newer := Newer(p.known, l)
	if newer == p.known {
		return false
	}
	p.known = newer
	p.version++
	if p.own != nil && newer.GetRevision() > p.own.knownRevision && !Stricter(p.own.limit, newer) {
		p.own = nil
	}
	return p.limitChanged(before, now)
}

// Observe applies the limit that a response states, or that it states none, where stamp is what was
// known when the request was sent. Only with mayEnd may it loosen the limit. It reports whether the
// limit to keep has changed.
func (p *Permits) Observe(stamp Stamp, limited bool, perSecond float64, mayEnd bool, now time.Time) (changed bool) {
	before := p.Limit(now)
	observed := &schema.RequestLimit{Limited: limited, PerSecond: perSecond, Revision: stamp.revision}
	if sameValue(observed, before) {
		return false
	}
	if newer := stamp.version == p.version && mayEnd; !newer && !Stricter(observed, before) {
		return false
	}
	p.own = &observation{limit: observed, knownRevision: p.known.GetRevision(), at: now}
	p.version++
	return p.limitChanged(before, now)
}

// limitChanged drops the permits of a limit that has become stricter or has ended, and reports
// whether the limit differs from the one before.
func (p *Permits) limitChanged(before *schema.RequestLimit, now time.Time) bool {
	l := p.Limit(now)
	if l == nil || Stricter(l, before) {
		p.held, p.nextSlot = nil, time.Time{}
	}
	return !sameValue(l, before)
}

// Grant adds permits that the leader granted no earlier than issuedAt.
func (p *Permits) Grant(n int, issuedAt, now time.Time) {
	p.received += uint64(n)
	l := p.Limit(now)
	if l == nil {
		return
	}
	until := issuedAt.Add(permitValidity(l))
	for range n {
		p.held = append(p.held, until)
	}
	p.expire(now)
}

func (p *Permits) expire(now time.Time) {
	valid := p.held[:0]
	for _, until := range p.held {
		if now.Before(until) {
			valid = append(valid, until)
		}
	}
	p.held = valid
}

// Available reports whether a request may be sent now.
func (p *Permits) Available(source Source, now time.Time) bool {
	l := p.Limit(now)
	if l == nil {
		return true
	}
	p.expire(now)
	return len(p.held) > 0 || p.slotReady(l, source, now)
}

// Take uses a permit for a request that is about to be sent. It returns false if there is none.
func (p *Permits) Take(source Source, now time.Time) bool {
	l := p.Limit(now)
	if l == nil {
		return true
	}
	p.expire(now)
	switch {
	case len(p.held) > 0:
		p.held = p.held[1:]
	case p.slotReady(l, source, now):
		p.nextSlot = now.Add(slotInterval(l, source))
	default:
		return false
	}
	p.addDemand(l, now)
	return true
}

// slotInterval is the time between two requests of a disconnected entry.
func slotInterval(l *schema.RequestLimit, source Source) time.Duration {
	return seconds(float64(max(source.Entries, 1)) / (disconnectedShare * Rate(l)))
}

// slotReady reports whether a disconnected entry may send a request. Its first slot is at a
// random time within the interval, so that the slots of all entries are spread evenly.
func (p *Permits) slotReady(l *schema.RequestLimit, source Source, now time.Time) bool {
	if source.Connected {
		p.nextSlot = time.Time{}
		return false
	}
	if p.nextSlot.IsZero() || now.Sub(p.nextSlot) > slotValidity {
		p.nextSlot = now.Add(time.Duration(source.Random() * float64(slotInterval(l, source))))
	}
	return !now.Before(p.nextSlot)
}

// Missed records that a request would have been sent to the server if there had been a permit.
func (p *Permits) Missed(now time.Time) {
	if l := p.Limit(now); l != nil {
		p.addDemand(l, now)
	}
}

func (p *Permits) addDemand(l *schema.RequestLimit, now time.Time) {
	p.demandRate, p.demandAt = p.demandRateAt(l, now)+1/demandWindow(l).Seconds(), now
}

func (p *Permits) demandRateAt(l *schema.RequestLimit, now time.Time) float64 {
	return p.demandRate * math.Exp(-now.Sub(p.demandAt).Seconds()/demandWindow(l).Seconds())
}

func demandWindow(l *schema.RequestLimit) time.Duration {
	return demandWindowValidities * permitValidity(l)
}

// AddWaiting adds n requests that wait for a permit; n is negative when they stop waiting.
func (p *Permits) AddWaiting(n int) { p.waiting += n }

// Waiting returns the number of requests that wait for a permit.
func (p *Permits) Waiting() int { return p.waiting }

// SetQueue sets the queue of all entries for permits, nil for none.
func (p *Permits) SetQueue(q *schema.PermitQueue, now time.Time) {
	p.othersWaiting, p.nextGrant = max(int(q.GetWaiting())-p.reportedWaiting, 0), time.Time{}
	if q != nil {
		p.nextGrant = now.Add(time.Duration(q.GetNextInMs()) * time.Millisecond)
	}
}

// WaitTime estimates how long the last of the waiting requests still waits for a permit.
func (p *Permits) WaitTime(source Source, now time.Time) time.Duration {
	l := p.Limit(now)
	switch {
	case l == nil || p.Available(source, now):
		return 0
	case !source.Connected:
		return p.nextSlot.Sub(now) + time.Duration(max(p.waiting-1, 0))*slotInterval(l, source)
	}
	return max(p.nextGrant.Sub(now), 0) + seconds(float64(max(p.othersWaiting+p.waiting-1, 0))/Rate(l))
}

// Demand returns the demand for permits, nil for none.
func (p *Permits) Demand(server string, now time.Time) *schema.PermitDemand {
	l := p.Limit(now)
	p.reportedWaiting = p.waiting
	if l == nil {
		return nil
	}
	p.expire(now)
	expectedUse := p.demandRateAt(l, now) * permitValidity(l).Seconds()
	wanted := min(max(p.waiting, int(expectedUse+1-minAdvanceUse)-len(p.held)), maxDemand)
	if wanted <= 0 && p.waiting == 0 {
		return nil
	}
	return &schema.PermitDemand{Server: server, Waiting: uint32(p.waiting), Wanted: uint32(wanted), Received: p.received}
}

// Report returns what the leader may not know of the limit, nil for nothing.
func (p *Permits) Report(server string, now time.Time) *schema.ServerLimit {
	p.Limit(now)
	switch {
	case p.own != nil:
		return &schema.ServerLimit{Server: server, Limit: p.own.limit, Observed: true}
	case p.restate:
		return &schema.ServerLimit{Server: server, Limit: p.known}
	}
	return nil
}
