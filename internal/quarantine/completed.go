package quarantine

import (
	"encoding/binary"
	"hash/maphash"
	"sync"
	"time"
)

const (
	// completionRetention is how long a completed request is exempt from suspicion. A
	// request sent by many callers completes at each entry more often than that.
	completionRetention = 30 * time.Second
	// completedSlots is the number of completed requests that are remembered, in 128 KB. If
	// two share a slot, the later one replaces the other; the hash still distinguishes
	// them.
	completedSlots = 8192
)

// Completed records which requests completed recently at this entry, or what these share with
// others. When a rack loses
// power, several servers end while they run the most frequent requests; once these are held
// back, they could no longer prove themselves harmless. A harmful request never completes.
// All methods are safe for concurrent use.
type Completed struct {
	now  func() time.Time
	seed maphash.Seed

	mu sync.Mutex
	// slots is indexed by the low bits of a request's hash; guarded by mu.
	slots [completedSlots]completion
}

// completion is the hash of a request and when it last completed.
type completion struct {
	hash uint64
	at   time.Time
}

// NewCompleted returns a Completed without requests.
func NewCompleted(now func() time.Time) *Completed {
	return &Completed{now: now, seed: maphash.MakeSeed()}
}

// Record records that a request has completed at a server of a kind.
func (c *Completed) Record(r Request, kind Kind) { c.record(kind.mix(r.hash(c.seed))) }

// RecordShared records that a request with a carrier has completed at a server of a kind.
func (c *Completed) RecordShared(carrier Carrier, kind Kind) {
	c.record(kind.mix(uint64(carrier.Hint())))
}

// mix returns the hash of what completed at servers of the kind.
func (k Kind) mix(hash uint64) uint64 { return hash ^ uint64(k)*0x9e3779b97f4a7c15 }

func (c *Completed) record(hash uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slots[hash%completedSlots] = completion{hash, c.now()}
}

// Recently reports whether a request has completed at a server of a kind within
// completionRetention.
func (c *Completed) Recently(r Request, kind Kind) bool {
	return c.isRecent(c.last(kind.mix(r.hash(c.seed))))
}

// RecentlyShared reports whether a request with a carrier has completed at a server of a kind
// within completionRetention.
func (c *Completed) RecentlyShared(carrier Carrier, kind Kind) bool {
	return c.isRecent(c.LastShared(carrier.Hint(), kind))
}

// LastShared returns when a request last completed at a server of a kind that has a carrier with
// a hint, the zero time if that is not known.
func (c *Completed) LastShared(hint Hint, kind Kind) time.Time { return c.last(kind.mix(uint64(hint))) }

func (c *Completed) isRecent(at time.Time) bool {
	return !at.IsZero() && c.now().Sub(at) < completionRetention
}

func (c *Completed) last(hash uint64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if slot := &c.slots[hash%completedSlots]; slot.hash == hash {
		return slot.at
	}
	return time.Time{}
}

// hash returns a hash that identifies a request within this process. Its seed is secret, so
// that nobody can forge a request with the hash of another.
func (r Request) hash(seed maphash.Seed) uint64 {
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
