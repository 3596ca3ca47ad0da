// Package membership detects which hosts of a deployment are alive, with the SWIM
// protocol (Das, Gupta and Motivala, 2002). Each host probes one other host per
// interval, requests indirect probes from a few others before it suspects a host,
// and piggybacks state changes on the probes, so that the cost per host does not
// grow with the number of hosts.
package membership

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"fennelyard/internal/schema"
)

const (
	// indirectProbes is the number of other hosts that are requested to probe a
	// silent host, so that the failure of one path or one direction does not make
	// it suspect.
	indirectProbes = 3
	// maxFactsPerProbe bounds the size of a datagram.
	maxFactsPerProbe = 8
	// retransmitFactor times log2 of the number of hosts is the number of times
	// that a host sends each fact.
	retransmitFactor = 3
	// In one of deadProbeIntervals probe intervals a dead host is probed, so that
	// partitioned hosts find each other again without operator action.
	deadProbeIntervals = 4

	// Defaults of Config.
	defaultProbeInterval    = 500 * time.Millisecond
	defaultProbeTimeout     = 200 * time.Millisecond
	defaultSuspicionTimeout = 2 * time.Second
)

// Config configures a List. Self, Incarnation, Hosts and Random are required.
type Config struct {
	// Self is this host's name.
	Self string
	// Incarnation must be higher than that of every earlier process of this host.
	Incarnation uint64
	// Hosts contains the name of every host of the deployment.
	Hosts []string
	// ProbeInterval is the interval between two probes by this host.
	ProbeInterval time.Duration
	// ProbeTimeout is the timeout of a direct probe, after which indirect probes are
	// requested.
	ProbeTimeout time.Duration
	// SuspicionTimeout is how long a suspect host has to refute the suspicion before
	// it is considered dead.
	SuspicionTimeout time.Duration
	Random           func(n int) int
}

// Datagram is a probe to be sent to a host.
type Datagram struct {
	To    string
	Probe *schema.Probe
}

type hostEntry struct {
	fact *schema.HostFact
	// suspectSince is when the host became suspect.
	suspectSince time.Time
	// transmissions counts how often the fact was sent to others.
	transmissions int
}

type pendingProbe struct {
	target   string
	sent     time.Time
	indirect bool
}

type relay struct {
	origin   string
	sequence uint64
	sent     time.Time
}

// List is the membership state of one host. It has no clock and no network of its
// own and is not safe for concurrent use.
type List struct {
	cfg   Config
	self  *schema.HostFact
	hosts map[string]*hostEntry
	// order is the order in which other hosts are probed; next is an index into it.
	order     []string
	next      int
	intervals int
	lastTick  time.Time
	sequence  uint64
	pending   map[uint64]*pendingProbe
	relays    map[uint64]relay
	// changedHosts lists the hosts whose facts are still sent to others. It is empty
	// while nothing changes, so that the cost of a probe does not depend on the
	// number of hosts.
	changedHosts []string
	changed      bool
}

// NewList returns a list in which all other hosts are dead.
func NewList(cfg Config) *List {
	if cfg.ProbeInterval == 0 {
		cfg.ProbeInterval = defaultProbeInterval
	}
	if cfg.ProbeTimeout == 0 {
		cfg.ProbeTimeout = defaultProbeTimeout
	}
	if cfg.SuspicionTimeout == 0 {
		cfg.SuspicionTimeout = defaultSuspicionTimeout
	}
	l := &List{
		cfg:     cfg,
		self:    &schema.HostFact{Host: cfg.Self, Incarnation: cfg.Incarnation},
		hosts:   map[string]*hostEntry{},
		pending: map[uint64]*pendingProbe{},
		relays:  map[uint64]relay{},
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

// Facts returns the known state of every host, this host first.
func (l *List) Facts() []*schema.HostFact {
	out := []*schema.HostFact{l.self}
	for _, h := range slices.Sorted(maps.Keys(l.hosts)) {
		out = append(out, l.hosts[h].fact)
	}
	return out
}

// TakeChanged reports whether the state of any host has changed since the last call.
func (l *List) TakeChanged() bool {
	c := l.changed
	l.changed = false
	return c
}

// SetLoad sets the number of requests in flight that is sent to other hosts.
func (l *List) SetLoad(load uint32) {
	l.self = &schema.HostFact{
		Host: l.self.GetHost(), Incarnation: l.self.GetIncarnation(), State: l.self.GetState(),
		Load: load, Stopping: l.self.GetStopping(),
	}
}

// AnnounceStop returns datagrams to all other hosts which announce that this host
// accepts no new callers or, with left, that it has left.
func (l *List) AnnounceStop(left bool) []Datagram {
	state := schema.HostState_HOST_STATE_ALIVE
	if left {
		state = schema.HostState_HOST_STATE_LEFT
	}
	l.updateSelf(l.self.GetIncarnation(), state, true)
	var out []Datagram
	for _, h := range l.order {
		out = append(out, l.ping(h))
	}
	return out
}

// updateSelf replaces this host's own fact by one that supersedes those that other hosts
// have, the latest of which has the incarnation latest. The old one may be on its way.
func (l *List) updateSelf(latest uint64, state schema.HostState, stopping bool) {
	l.self = &schema.HostFact{
		Host: l.self.GetHost(), Incarnation: latest + 1, State: state,
		Load: l.self.GetLoad(), Stopping: stopping,
	}
	l.changed = true
}

// Tick performs due work and returns the datagrams to send. It must be called a few
// times per ProbeTimeout.
func (l *List) Tick(now time.Time) []Datagram {
	out := l.checkPending(now)
	l.checkSuspects(now)
	if !l.lastTick.IsZero() && now.Sub(l.lastTick) < l.cfg.ProbeInterval {
		return out
	}
	first := l.lastTick.IsZero()
	l.lastTick = now
	l.intervals++
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

// nextTarget returns the next host to probe. It iterates over all hosts in an order
// that is shuffled in each round, so that each host is probed within a bounded number
// of probe intervals.
func (l *List) nextTarget() (string, bool) {
	probeDead := l.intervals%deadProbeIntervals == 0
	for range 2 * len(l.order) {
		if l.next >= len(l.order) {
			l.shuffle()
			l.next = 0
		}
		h := l.order[l.next]
		l.next++
		state := l.hosts[h].fact.GetState()
		dead := state == schema.HostState_HOST_STATE_DEAD || state == schema.HostState_HOST_STATE_LEFT
		if dead == probeDead {
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
	d := l.ping(target)
	l.pending[d.Probe.GetSequence()] = &pendingProbe{target: target, sent: now}
	return d
}

func (l *List) ping(target string) Datagram {
	l.sequence++
	return Datagram{target, &schema.Probe{
		Kind: schema.ProbeKind_PROBE_KIND_PING, From: l.cfg.Self, Target: target,
		Sequence: l.sequence, Facts: l.factsFor(target),
	}}
}

func (l *List) checkPending(now time.Time) []Datagram {
	var out []Datagram
	for _, seq := range slices.Sorted(maps.Keys(l.pending)) {
		p := l.pending[seq]
		waited := now.Sub(p.sent)
		switch {
		case waited >= l.cfg.ProbeInterval:
			delete(l.pending, seq)
			l.suspect(now, p.target)
		case waited >= l.cfg.ProbeTimeout && !p.indirect:
			p.indirect = true
			out = append(out, l.probeIndirectly(p.target, seq)...)
		}
	}
	for seq, r := range l.relays {
		if now.Sub(r.sent) >= l.cfg.ProbeInterval {
			delete(l.relays, seq)
		}
	}
	return out
}

func (l *List) probeIndirectly(target string, seq uint64) []Datagram {
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
			Sequence: seq, Facts: l.nextFacts(),
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
	l.setFact(now, &schema.HostFact{
		Host: host, Incarnation: e.fact.GetIncarnation(), State: schema.HostState_HOST_STATE_SUSPECT,
		Load: e.fact.GetLoad(), Stopping: e.fact.GetStopping(),
	})
}

func (l *List) checkSuspects(now time.Time) {
	for _, e := range l.hosts {
		if e.fact.GetState() != schema.HostState_HOST_STATE_SUSPECT || now.Sub(e.suspectSince) < l.cfg.SuspicionTimeout {
			continue
		}
		l.setFact(now, &schema.HostFact{
			Host: e.fact.GetHost(), Incarnation: e.fact.GetIncarnation(), State: schema.HostState_HOST_STATE_DEAD,
		})
	}
}

// Receive processes a datagram and returns the datagrams to send in response. It
// drops datagrams of hosts that are not configured.
func (l *List) Receive(now time.Time, p *schema.Probe) []Datagram {
	if _, known := l.hosts[p.GetFrom()]; !known {
		return nil
	}
	for _, f := range p.GetFacts() {
		l.receiveFact(now, f)
	}
	switch p.GetKind() {
	case schema.ProbeKind_PROBE_KIND_PING:
		return []Datagram{{p.GetFrom(), l.ack(p.GetFrom(), l.cfg.Self, p.GetSequence())}}
	case schema.ProbeKind_PROBE_KIND_PING_FOR:
		if _, known := l.hosts[p.GetTarget()]; !known {
			return nil
		}
		d := l.ping(p.GetTarget())
		l.relays[d.Probe.GetSequence()] = relay{p.GetFrom(), p.GetSequence(), now}
		return []Datagram{d}
	case schema.ProbeKind_PROBE_KIND_ACK:
		return l.handleAck(p)
	default:
		return nil
	}
}

func (l *List) handleAck(p *schema.Probe) []Datagram {
	if r, ok := l.relays[p.GetSequence()]; ok {
		delete(l.relays, p.GetSequence())
		return []Datagram{{r.origin, l.ack(r.origin, p.GetTarget(), r.sequence)}}
	}
	if probe, ok := l.pending[p.GetSequence()]; ok && probe.target == p.GetTarget() {
		delete(l.pending, p.GetSequence())
	}
	return nil
}

func (l *List) ack(to, target string, seq uint64) *schema.Probe {
	return &schema.Probe{
		Kind: schema.ProbeKind_PROBE_KIND_ACK, From: l.cfg.Self, Target: target,
		Sequence: seq, Facts: l.factsFor(to),
	}
}

// receiveFact merges a fact received from another host into the list.
func (l *List) receiveFact(now time.Time, f *schema.HostFact) {
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
		l.setFact(now, f)
		return
	}
	if f.GetIncarnation() == old.GetIncarnation() && f.GetState() == old.GetState() {
		// Only the load can differ. Every host sends its own load in each of its
		// datagrams, so a new load is not retransmitted as a change.
		e.fact = f
	}
}

// refute overrides a wrong fact about this host with a higher incarnation. This also
// handles a clock that was set back between two processes of this host.
func (l *List) refute(f *schema.HostFact) {
	if f.GetIncarnation() < l.self.GetIncarnation() {
		return
	}
	if f.GetIncarnation() == l.self.GetIncarnation() && f.GetState() <= l.self.GetState() {
		return
	}
	l.updateSelf(f.GetIncarnation(), l.self.GetState(), l.self.GetStopping())
}

func (l *List) setFact(now time.Time, f *schema.HostFact) {
	e := l.hosts[f.GetHost()]
	if f.GetState() == schema.HostState_HOST_STATE_SUSPECT {
		e.suspectSince = now
	}
	e.fact = f
	e.transmissions = 0
	if !slices.Contains(l.changedHosts, f.GetHost()) {
		l.changedHosts = append(l.changedHosts, f.GetHost())
	}
	l.changed = true
}

// nextFacts returns this host's own fact and the changed facts that were sent least
// often.
func (l *List) nextFacts() []*schema.HostFact {
	out := []*schema.HostFact{l.self}
	slices.SortStableFunc(l.changedHosts, func(a, b string) int { return l.hosts[a].transmissions - l.hosts[b].transmissions })
	for _, h := range l.changedHosts[:min(len(l.changedHosts), maxFactsPerProbe-1)] {
		l.hosts[h].transmissions++
		out = append(out, l.hosts[h].fact)
	}
	l.changedHosts = slices.DeleteFunc(l.changedHosts, func(h string) bool { return l.hosts[h].transmissions >= l.transmitLimit() })
	return out
}

// factsFor returns nextFacts and the fact about the receiver itself unless it is
// alive: only the receiver can refute it, with a higher incarnation. Otherwise hosts
// that were partitioned from each other would consider each other dead forever.
func (l *List) factsFor(host string) []*schema.HostFact {
	out := l.nextFacts()
	if e, ok := l.hosts[host]; ok && e.fact.GetState() != schema.HostState_HOST_STATE_ALIVE && e.fact.GetIncarnation() > 0 {
		out = append(out, e.fact)
	}
	return out
}

func (l *List) transmitLimit() int {
	return retransmitFactor * bits.Len(uint(len(l.cfg.Hosts)))
}
