package routing

import (
	"hash/maphash"
	"sync"
	"time"

	"fennelyard/internal/cooldown"
)

const (
	// consecutiveFailuresToEject is the number of consecutive failures after which
	// a server is ejected.
	consecutiveFailuresToEject = 3
	firstEjection              = time.Second
	maxEjection                = 30 * time.Second
	// At most one in maxEjectedDivisor of a target's servers is ejected at a time:
	// if most of them fail, the cause is probably elsewhere, and ejecting them
	// would overload the rest.
	maxEjectedDivisor = 3
	// hashedPrefixBytes is the length of the prompt prefix that determines whether a
	// cached prefix is likely.
	hashedPrefixBytes = 256
	maxPrefixes       = 4096
	// smoothingFactor is the weight of a new sample in the exponential moving
	// average.
	smoothingFactor = 0.2
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
	// ejectedUntil is the time after which a request may probe the server, zero if
	// it is not ejected. ejections counts the ejections since the last success;
	// each doubles the duration of the next one.
	ejectedUntil time.Time
	ejections    int
	// probing is set while the one request that may end the ejection is in flight.
	probing bool
	// firstByte is the moving average of the time to the first byte.
	firstByte time.Duration
	lastUsed  time.Time
}

// Table holds the state of the servers that an entry sends requests to. All methods
// are safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	servers map[serverKey]*serverState
	// prefixes maps the hash of a target and a prompt prefix to the server that
	// last served it.
	prefixes map[uint64]serverKey
	seed     maphash.Seed
	turn     uint64
	random   func(n int) int
	policy   Policy
	// cooldowns are the times for which servers have asked this entry to send them nothing.
	cooldowns *cooldown.Table
}

// NewTable returns an empty table of one of the entries that hosts counts.
func NewTable(policy Policy, random func(n int) int, hosts func() int) *Table {
	return &Table{
		servers: map[serverKey]*serverState{}, prefixes: map[uint64]serverKey{},
		seed: maphash.MakeSeed(), random: random, policy: policy,
		cooldowns: cooldown.NewTable(cooldown.Config{
			Hosts: hosts, Random: func() float64 { return float64(random(randomSteps)) / randomSteps },
		}),
	}
}

// randomSteps is the resolution of random extensions of cooldowns.
const randomSteps = 1024

// Pick selects a server, counts a request as outstanding there, and returns the
// selected candidate, or false if every candidate is full or excluded.
func (t *Table) Pick(now time.Time, target string, prompt []byte, candidates []Candidate, limit int,
	exclude map[string]bool,
) (Candidate, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	prefix := t.prefixes[t.hash(target, prompt)]
	eligible := t.eligible(now, candidates, exclude)
	for i := range eligible {
		t.fillState(now, &eligible[i], prefix)
	}
	t.turn++
	i := Choose(t.policy, eligible, limit, t.turn, t.random)
	if i < 0 {
		return Candidate{}, false
	}
	s := t.state(eligible[i])
	s.outstanding++
	s.lastUsed = now
	if !s.ejectedUntil.IsZero() {
		s.probing = true
	}
	return eligible[i], true
}

// eligible returns the candidates that are neither excluded nor ejected, and take requests
// after their cooldowns. Ejected candidates beyond the bound of maxEjectedDivisor are included.
func (t *Table) eligible(now time.Time, candidates []Candidate, exclude map[string]bool) []Candidate {
	var eligible, ejected []Candidate
	for _, c := range candidates {
		if exclude[c.Server] || t.cooldowns.AvailableIn(c.ServerKey(), now) > 0 {
			continue
		}
		if t.isEjected(now, c) {
			ejected = append(ejected, c)
			continue
		}
		eligible = append(eligible, c)
	}
	maxEjected := len(candidates) / maxEjectedDivisor
	for len(ejected) > maxEjected {
		eligible = append(eligible, ejected[0])
		ejected = ejected[1:]
	}
	return eligible
}

func (t *Table) isEjected(now time.Time, c Candidate) bool {
	s := t.state(c)
	if s.ejectedUntil.IsZero() {
		return false
	}
	return now.Before(s.ejectedUntil) || s.probing
}

func (t *Table) fillState(now time.Time, c *Candidate, prefix serverKey) {
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

// Result is the result of a request at a server.
type Result struct {
	// OK is false if the server failed; a caller that disconnects is no failure.
	OK bool
	// FirstByte is the time to the first byte of the response, or 0.
	FirstByte time.Duration
	// Reported is the number of requests that the server reports, or -1.
	Reported int
	// NotSent is set if the request was not sent, which proves nothing of the server.
	NotSent bool
}

// RecordResult records that a request ended at a candidate that Pick returned for
// it.
func (t *Table) RecordResult(now time.Time, c Candidate, target string, prompt []byte, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(c)
	s.outstanding--
	s.probing = false
	if r.NotSent {
		return
	}
	if r.Reported >= 0 {
		s.reported = max(r.Reported-s.outstanding-1, 0)
		s.reportedAt = now
	}
	if !r.OK {
		t.recordFailure(now, s)
		return
	}
	s.failures, s.ejections = 0, 0
	s.ejectedUntil = time.Time{}
	if r.FirstByte > 0 {
		s.firstByte = smoothedMean(s.firstByte, r.FirstByte)
	}
	if len(t.prefixes) >= maxPrefixes {
		clear(t.prefixes)
	}
	t.prefixes[t.hash(target, prompt)] = serverKey{c.Server, c.Incarnation}
}

func (t *Table) recordFailure(now time.Time, s *serverState) {
	s.failures++
	if s.failures < consecutiveFailuresToEject && s.ejectedUntil.IsZero() {
		return
	}
	duration := min(firstEjection<<min(s.ejections, 5), maxEjection)
	s.ejections++
	s.ejectedUntil = now.Add(duration)
}

func smoothedMean(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(smoothingFactor*float64(sample-old))
}

func (t *Table) hash(target string, prompt []byte) uint64 {
	var h maphash.Hash
	h.SetSeed(t.seed)
	_, _ = h.WriteString(target)
	_ = h.WriteByte(0)
	_, _ = h.Write(prompt[:min(len(prompt), hashedPrefixBytes)])
	return h.Sum64()
}

// Outstanding returns the number of this entry's requests at a server.
func (t *Table) Outstanding(server string, incarnation uint64) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.servers[serverKey{server, incarnation}]; ok {
		return s.outstanding
	}
	return 0
}

// TotalOutstanding returns the number of this entry's requests at all servers.
func (t *Table) TotalOutstanding() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		n += s.outstanding
	}
	return n
}

// Ejected returns the number of servers that are ejected at a time.
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

// Sweep removes servers without outstanding requests that were not used for longer
// than unused.
func (t *Table) Sweep(now time.Time, unused time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, s := range t.servers {
		if s.outstanding == 0 && now.Sub(s.lastUsed) > unused {
			delete(t.servers, k)
		}
	}
}
