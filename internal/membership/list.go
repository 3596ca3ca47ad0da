// Package membership tells which hosts of a deployment are alive. Each host
// probes one other host per period, asks a few others to probe for it before it
// suspects one, and lets news ride on the probes, so that the cost per host
// does not grow with the number of hosts (after SWIM by Das, Gupta and
// Motivala, 2002).
package membership

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"fennelyard/internal/schema"
)

const (
	// indirectProbes is how many others are asked to probe a silent host, so
	// that a cut in one direction or on one path does not make it suspect.
	indirectProbes = 3
	// factsPerProbe bounds the size of a datagram.
	factsPerProbe = 8
	// spreadFactor times log2 of the hosts is how often a host repeats news.
	spreadFactor = 3
	// One probe in deadProbeEvery goes to a dead host: hosts that were cut off
	// find each other again without being told.
	deadProbeEvery = 4

	// The defaults of Config.
	defaultPeriod     = 500 * time.Millisecond
	defaultAckWait    = 200 * time.Millisecond
	defaultSuspectFor = 2 * time.Second
)

// Config configures a List. Self, Incarnation, Hosts and Random are required.
type Config struct {
	// Self is this host's name.
	Self string
	// Incarnation is higher than that of every earlier process of this host.
	Incarnation uint64
	// Hosts names every host of the deployment.
	Hosts []string
	// ProbeInterval is the time between two probes of this host.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe may take before others are asked.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect may take to refute.
	SuspicionTimeout time.Duration
	Random           func(n int) int
}

// Datagram is a datagram for a host.
type Datagram struct {
	To    string
	Probe *schema.Probe
}

type hostEntry struct {
	fact *schema.HostFact
	// since is when the host became suspect.
	since time.Time
	// spread counts how often the fact was passed on.
	spread int
}

type openProbe struct {
	target   string
	sent     time.Time
	indirect bool
}

type relay struct {
	origin   string
	sequence uint64
	sent     time.Time
}

// List is the state of one host. It has no clock and no network of its own and
// is not safe for several goroutines.
type List struct {
	cfg   Config
	self  *schema.HostFact
	hosts map[string]*hostEntry
	// order is the round in which others are probed; next points into it.
	order    []string
	next     int
	periods  int
	lastTick time.Time
	sequence uint64
	open     map[uint64]*openProbe
	relays   map[uint64]relay
	// fresh names the hosts whose news is still passed on. It is empty in quiet
	// times, so that a probe costs the same with any number of hosts.
	fresh   []string
	changed bool
}

// NewList returns a list in which no other host is alive yet.
func NewList(cfg Config) *List {
	if cfg.ProbeInterval == 0 {
		cfg.ProbeInterval = defaultPeriod
	}
	if cfg.ProbeTimeout == 0 {
		cfg.ProbeTimeout = defaultAckWait
	}
	if cfg.SuspicionTimeout == 0 {
		cfg.SuspicionTimeout = defaultSuspectFor
	}
	l := &List{
		cfg:    cfg,
		self:   &schema.HostFact{Host: cfg.Self, Incarnation: cfg.Incarnation},
		hosts:  map[string]*hostEntry{},
		open:   map[uint64]*openProbe{},
		relays: map[uint64]relay{},
	}
	for _, h := range cfg.Hosts {
		if h == cfg.Self {
			continue
		}
		l.order = append(l.order, h)
		l.hosts[h] = &hostEntry{
			fact: &schema.HostFact{Host: h, State: schema.HostState_HOST_STATE_DEAD},
		}
	}
	return l
}

// Facts returns what is known of every host, this one first.
func (l *List) Facts() []*schema.HostFact {
	out := []*schema.HostFact{l.self}
	for _, h := range slices.Sorted(maps.Keys(l.hosts)) {
		out = append(out, l.hosts[h].fact)
	}
	return out
}

// TakeChanged reports whether any host changed since the last call.
func (l *List) TakeChanged() bool {
	c := l.changed
	l.changed = false
	return c
}

// SetLoad sets the number of requests in flight that others are told.
func (l *List) SetLoad(load uint32) {
	l.self = &schema.HostFact{
		Host: l.self.GetHost(), Incarnation: l.self.GetIncarnation(), State: l.self.GetState(),
		Load: load, Stopping: l.self.GetStopping(),
	}
}

// AnnounceStop tells others at once that this host takes no new callers, and later
// with left that it is gone.
func (l *List) AnnounceStop(left bool) []Datagram {
	state := schema.HostState_HOST_STATE_ALIVE
	if left {
		state = schema.HostState_HOST_STATE_LEFT
	}
	l.renew(state, true)
	var out []Datagram
	for _, h := range l.order {
		out = append(out, l.ping(h))
	}
	return out
}

// renew makes the host's own news supersede what others believe.
func (l *List) renew(state schema.HostState, stopping bool) {
	l.self = &schema.HostFact{
		Host: l.self.GetHost(), Incarnation: l.self.GetIncarnation() + 1, State: state,
		Load: l.self.GetLoad(), Stopping: stopping,
	}
	l.changed = true
}

// Tick does what is due and returns the datagrams to send. It is called a few
// times per AckWait.
func (l *List) Tick(now time.Time) []Datagram {
	out := l.checkOpen(now)
	l.checkSuspects(now)
	if !l.lastTick.IsZero() && now.Sub(l.lastTick) < l.cfg.ProbeInterval {
		return out
	}
	first := l.lastTick.IsZero()
	l.lastTick = now
	l.periods++
	if first {
		for _, h := range l.order {
			out = append(out, l.probe(now, h))
		}
		return out
	}
	if target, ok := l.nextTarget(); ok {
		out = append(out, l.probe(now, target))
	}
	return out
}

// nextTarget goes round all hosts in an order that is shuffled each time, so
// that a dead one is probed within a bounded number of periods.
func (l *List) nextTarget() (string, bool) {
	wantDead := l.periods%deadProbeEvery == 0
	for range 2 * len(l.order) {
		if l.next >= len(l.order) {
			l.shuffle()
			l.next = 0
		}
		h := l.order[l.next]
		l.next++
		state := l.hosts[h].fact.GetState()
		dead := state == schema.HostState_HOST_STATE_DEAD || state == schema.HostState_HOST_STATE_LEFT
		if dead == wantDead {
			return h, true
		}
	}
	if len(l.order) == 0 {
		return "", false
	}
	return l.order[l.cfg.Random(len(l.order))], true
}

func (l *List) shuffle() {
	for i := len(l.order) - 1; i > 0; i-- {
		j := l.cfg.Random(i + 1)
		l.order[i], l.order[j] = l.order[j], l.order[i]
	}
}

func (l *List) probe(now time.Time, target string) Datagram {
	s := l.ping(target)
	l.open[s.Probe.GetSequence()] = &openProbe{target: target, sent: now}
	return s
}

func (l *List) ping(target string) Datagram {
	l.sequence++
	return Datagram{target, &schema.Probe{
		Kind: schema.ProbeKind_PROBE_KIND_PING, From: l.cfg.Self, Target: target,
		Sequence: l.sequence, Facts: l.newsFor(target),
	}}
}

func (l *List) checkOpen(now time.Time) []Datagram {
	var out []Datagram
	for _, seq := range slices.Sorted(maps.Keys(l.open)) {
		p := l.open[seq]
		waited := now.Sub(p.sent)
		switch {
		case waited >= l.cfg.ProbeInterval:
			delete(l.open, seq)
			l.suspect(now, p.target)
		case waited >= l.cfg.ProbeTimeout && !p.indirect:
			p.indirect = true
			out = append(out, l.askOthers(p.target, seq)...)
		}
	}
	for seq, r := range l.relays {
		if now.Sub(r.sent) >= l.cfg.ProbeInterval {
			delete(l.relays, seq)
		}
	}
	return out
}

func (l *List) askOthers(target string, seq uint64) []Datagram {
	var alive []string
	for h, e := range l.hosts {
		if h != target && e.fact.GetState() == schema.HostState_HOST_STATE_ALIVE {
			alive = append(alive, h)
		}
	}
	slices.Sort(alive)
	var out []Datagram
	for range min(indirectProbes, len(alive)) {
		i := l.cfg.Random(len(alive))
		out = append(out, Datagram{alive[i], &schema.Probe{
			Kind: schema.ProbeKind_PROBE_KIND_PING_FOR, From: l.cfg.Self, Target: target,
			Sequence: seq, Facts: l.news(),
		}})
		alive = slices.Delete(alive, i, i+1)
	}
	return out
}

func (l *List) suspect(now time.Time, host string) {
	e := l.hosts[host]
	if e.fact.GetState() != schema.HostState_HOST_STATE_ALIVE {
		return
	}
	l.adopt(now, &schema.HostFact{
		Host: host, Incarnation: e.fact.GetIncarnation(), State: schema.HostState_HOST_STATE_SUSPECT,
		Load: e.fact.GetLoad(), Stopping: e.fact.GetStopping(),
	})
}

func (l *List) checkSuspects(now time.Time) {
	for _, e := range l.hosts {
		if e.fact.GetState() != schema.HostState_HOST_STATE_SUSPECT || now.Sub(e.since) < l.cfg.SuspicionTimeout {
			continue
		}
		l.adopt(now, &schema.HostFact{
			Host: e.fact.GetHost(), Incarnation: e.fact.GetIncarnation(), State: schema.HostState_HOST_STATE_DEAD,
		})
	}
}

// Receive takes in a datagram and returns the answers. Datagrams of hosts that
// are not configured are dropped.
func (l *List) Receive(now time.Time, p *schema.Probe) []Datagram {
	if _, known := l.hosts[p.GetFrom()]; !known {
		return nil
	}
	for _, f := range p.GetFacts() {
		l.hear(now, f)
	}
	switch p.GetKind() {
	case schema.ProbeKind_PROBE_KIND_PING:
		return []Datagram{{p.GetFrom(), l.ack(p.GetFrom(), l.cfg.Self, p.GetSequence())}}
	case schema.ProbeKind_PROBE_KIND_PING_FOR:
		if _, known := l.hosts[p.GetTarget()]; !known {
			return nil
		}
		s := l.ping(p.GetTarget())
		l.relays[s.Probe.GetSequence()] = relay{p.GetFrom(), p.GetSequence(), now}
		return []Datagram{s}
	case schema.ProbeKind_PROBE_KIND_ACK:
		return l.acked(p)
	default:
		return nil
	}
}

func (l *List) acked(p *schema.Probe) []Datagram {
	if r, ok := l.relays[p.GetSequence()]; ok {
		delete(l.relays, p.GetSequence())
		return []Datagram{{r.origin, l.ack(r.origin, p.GetTarget(), r.sequence)}}
	}
	if o, ok := l.open[p.GetSequence()]; ok && o.target == p.GetTarget() {
		delete(l.open, p.GetSequence())
	}
	return nil
}

func (l *List) ack(to, target string, seq uint64) *schema.Probe {
	return &schema.Probe{
		Kind: schema.ProbeKind_PROBE_KIND_ACK, From: l.cfg.Self, Target: target,
		Sequence: seq, Facts: l.newsFor(to),
	}
}

// hear compares a fact with what is known.
func (l *List) hear(now time.Time, f *schema.HostFact) {
	if f.GetHost() == l.cfg.Self {
		l.refute(f)
		return
	}
	e, known := l.hosts[f.GetHost()]
	if !known {
		return
	}
	old := e.fact
	newer := f.GetIncarnation() > old.GetIncarnation() ||
		f.GetIncarnation() == old.GetIncarnation() && f.GetState() > old.GetState()
	if newer {
		l.adopt(now, f)
		return
	}
	if f.GetIncarnation() == old.GetIncarnation() && f.GetState() == old.GetState() {
		// Load is told directly by its owner and not passed on as news.
		e.fact = f
	}
}

// refute answers a false word about this host by a higher incarnation. It also
// covers a clock that was set back between two processes of this host.
func (l *List) refute(f *schema.HostFact) {
	if f.GetIncarnation() < l.self.GetIncarnation() {
		return
	}
	if f.GetIncarnation() == l.self.GetIncarnation() && f.GetState() <= l.self.GetState() {
		return
	}
	l.self.Incarnation = f.GetIncarnation()
	l.renew(l.self.GetState(), l.self.GetStopping())
}

func (l *List) adopt(now time.Time, f *schema.HostFact) {
	e := l.hosts[f.GetHost()]
	if f.GetState() == schema.HostState_HOST_STATE_SUSPECT {
		e.since = now
	}
	e.fact = f
	e.spread = 0
	if !slices.Contains(l.fresh, f.GetHost()) {
		l.fresh = append(l.fresh, f.GetHost())
	}
	l.changed = true
}

// news returns this host's own fact and the least repeated others.
func (l *List) news() []*schema.HostFact {
	out := []*schema.HostFact{l.self}
	slices.SortStableFunc(l.fresh, func(a, b string) int { return l.hosts[a].spread - l.hosts[b].spread })
	for _, h := range l.fresh[:min(len(l.fresh), factsPerProbe-1)] {
		l.hosts[h].spread++
		out = append(out, l.hosts[h].fact)
	}
	l.fresh = slices.DeleteFunc(l.fresh, func(h string) bool { return l.hosts[h].spread >= l.spreadLimit() })
	return out
}

// newsFor adds what is believed of the receiver itself, unless it is alive: only
// it can refute that, by a higher incarnation. Hosts that were cut off from each
// other would otherwise hold each other for dead for ever.
func (l *List) newsFor(host string) []*schema.HostFact {
	out := l.news()
	if e, ok := l.hosts[host]; ok && e.fact.GetState() != schema.HostState_HOST_STATE_ALIVE && e.fact.GetIncarnation() > 0 {
		out = append(out, e.fact)
	}
	return out
}

func (l *List) spreadLimit() int {
	return spreadFactor * bits.Len(uint(len(l.cfg.Hosts)))
}
