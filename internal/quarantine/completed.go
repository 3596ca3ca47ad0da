package quarantine

import (
	"encoding/binary"
	"hash/maphash"
	"sync"
	"time"
)

const (
	// lately is for how long a request that has run to its end does not count as one that
	// ends servers: what many callers ask runs to its end at each entry more often.
	lately = 30 * time.Second
	// completedSlots is how many requests are remembered, in 128 KB. Two that meet in a
	// slot are told apart; the later one stays.
	completedSlots = 8192
)

// Completed remembers which requests have lately run to their end here. A rack that loses
// its power ends several servers under whatever is asked most, and nothing that is held back
// can show any more that it harms nobody. Harmful requests never run to their end. All
// methods are safe from any goroutine.
type Completed struct {
	now  func() time.Time
	seed maphash.Seed

	mu sync.Mutex
	// slots are by the low bits of a request's sum; guarded by mu.
	slots [completedSlots]completion
}

// completion is when a request last ran to its end, by its sum.
type completion struct {
	sum uint64
	at  time.Time
}

// NewCompleted returns a memory of nothing.
func NewCompleted(now func() time.Time) *Completed {
	return &Completed{now: now, seed: maphash.MakeSeed()}
}

// Record notes that a request has run to its end.
func (c *Completed) Record(r Request) {
	sum := r.sum(c.seed)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slots[sum%completedSlots] = completion{sum, c.now()}
}

// Recently reports whether a request has lately run to its end.
func (c *Completed) Recently(r Request) bool {
	sum := r.sum(c.seed)
	c.mu.Lock()
	defer c.mu.Unlock()
	slot := &c.slots[sum%completedSlots]
	return slot.sum == sum && !slot.at.IsZero() && c.now().Sub(slot.at) < lately
}

// sum tells requests apart within this process. Its seed is secret: nobody can make a
// request that passes for another.
func (r Request) sum(seed maphash.Seed) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	var length [8]byte
	for _, part := range []string{r.Method, r.Host, r.Target, r.Caller} {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		// Writing to a hash does not fail.
		_, _ = h.Write(length[:])
		_, _ = h.WriteString(part)
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
