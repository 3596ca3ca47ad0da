package routing

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// failuresToEject is how many failures in a row take a server out.
	failuresToEject = 3
	firstEjection   = time.Second
	maxEjection     = 30 * time.Second
	// At most one in ejectShare of a target's servers is out at a time: when
	// most of them fail, the fault is likely elsewhere, and taking them out
	// would bury the rest.
	ejectShare = 3
	// prefixBytes of a prompt decide whether a cached prefix is likely.
	prefixBytes = 256
	prefixLimit = 4096
	// smoothing is the weight of a new measurement in a running mean.
	smoothing = 0.2
)

type serverKey struct {
	name        string
	incarnation uint64
}

type serverState struct {
	outstanding int
	reported    int
	reportedAt  time.Time
	failures    int
	// ejectedUntil is when a probe may be tried; ejections doubles the time.
	ejectedUntil time.Time
	ejections    int
	// probing is set while the one request that may let the server back in is
	// under way.
	probing   bool
	firstByte time.Duration
	used      time.Time
}

// Table holds what an entry knows of the servers it sends to. All methods are
// safe from any goroutine.
type Table struct {
	mu      sync.Mutex
	servers map[serverKey]*serverState
	// prefixes maps the hash of target and prompt prefix to the server that
	// answered it last.
	prefixes map[uint64]serverKey
	seed     maphash.Seed
	turn     uint64
	random   func(n int) int
	policy   Policy
}

// NewTable returns an empty table.
func NewTable(policy Policy, random func(n int) int) *Table {
	return &Table{
		servers: map[serverKey]*serverState{}, prefixes: map[uint64]serverKey{},
		seed: maphash.MakeSeed(), random: random, policy: policy,
	}
}

// Pick chooses a server, counts a request as outstanding there, and returns the
// choice, or false when every candidate is full or excluded.
func (t *Table) Pick(now time.Time, target string, prompt []byte, candidates []Candidate, limit int,
	exclude map[string]bool,
) (Candidate, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	prefix := t.prefixes[t.hash(target, prompt)]
	open := t.eligible(now, candidates, exclude)
	for i := range open {
		t.fill(now, &open[i], prefix)
	}
	t.turn++
	i := Choose(t.policy, open, limit, t.turn, t.random)
	if i < 0 {
		return Candidate{}, false
	}
	s := t.state(open[i])
	s.outstanding++
	s.used = now
	if !s.ejectedUntil.IsZero() {
		s.probing = true
	}
	return open[i], true
}

// eligible leaves out ejected servers, as far as the bound on them allows.
func (t *Table) eligible(now time.Time, candidates []Candidate, exclude map[string]bool) []Candidate {
	var open, out []Candidate
	for _, c := range candidates {
		if exclude[c.Server] {
			continue
		}
		if t.isOut(now, c) {
			out = append(out, c)
			continue
		}
		open = append(open, c)
	}
	allowed := len(candidates) / ejectShare
	for len(out) > allowed {
		open = append(open, out[0])
		out = out[1:]
	}
	return open
}

func (t *Table) isOut(now time.Time, c Candidate) bool {
	s := t.state(c)
	if s.ejectedUntil.IsZero() {
		return false
	}
	return now.Before(s.ejectedUntil) || s.probing
}

func (t *Table) fill(now time.Time, c *Candidate, prefix serverKey) {
	s := t.state(*c)
	c.Outstanding = s.outstanding
	c.Reported = s.reported
	c.ReportAge = now.Sub(s.reportedAt)
	c.PrefixMatch = prefix == serverKey{c.Server, c.Incarnation}
}

func (t *Table) state(c Candidate) *serverState {
	k := serverKey{c.Server, c.Incarnation}
	s, ok := t.servers[k]
	if !ok {
		s = &serverState{}
		t.servers[k] = s
	}
	return s
}

// Result tells how a request at a server ended.
type Result struct {
	// OK is false when the server failed; a caller that went away is no failure.
	OK bool
	// FirstByte is the time to the first byte of the answer, or 0.
	FirstByte time.Duration
	// Reported is the server's own count of requests, or -1.
	Reported int
}

// RecordResult takes note that a request ended.
func (t *Table) RecordResult(now time.Time, c Candidate, target string, prompt []byte, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(c)
	s.outstanding--
	s.probing = false
	if r.Reported >= 0 {
		s.reported = max(r.Reported-s.outstanding-1, 0)
		s.reportedAt = now
	}
	if !r.OK {
		t.failed(now, s)
		return
	}
	s.failures, s.ejections = 0, 0
	s.ejectedUntil = time.Time{}
	if r.FirstByte > 0 {
		s.firstByte = mean(s.firstByte, r.FirstByte)
	}
	if len(t.prefixes) >= prefixLimit {
		clear(t.prefixes)
	}
	t.prefixes[t.hash(target, prompt)] = serverKey{c.Server, c.Incarnation}
}

func (t *Table) failed(now time.Time, s *serverState) {
	s.failures++
	if s.failures < failuresToEject && s.ejectedUntil.IsZero() {
		return
	}
	wait := min(firstEjection<<min(s.ejections, 5), maxEjection)
	s.ejections++
	s.ejectedUntil = now.Add(wait)
}

func mean(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothing*float64(sample-old))
}

func (t *Table) hash(target string, prompt []byte) uint64 {
	var h maphash.Hash
	h.SetSeed(t.seed)
	_, _ = h.WriteString(target)
	_ = h.WriteByte(0)
	_, _ = h.Write(prompt[:min(len(prompt), prefixBytes)])
	return h.Sum64()
}

// Outstanding returns this entry's requests at a server.
func (t *Table) Outstanding(server string, incarnation uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.servers[serverKey{server, incarnation}]; ok {
		return s.outstanding
	}
	return 0
}

// Ejected returns the number of servers that are out at a time.
func (t *Table) Ejected(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		if now.Before(s.ejectedUntil) {
			n++
		}
	}
	return n
}

// Sweep forgets servers that were not used for long and owe nothing.
func (t *Table) Sweep(now time.Time, unused time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, s := range t.servers {
		if s.outstanding == 0 && now.Sub(s.used) > unused {
			delete(t.servers, k)
		}
	}
}
