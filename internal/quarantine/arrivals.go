package quarantine

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	// provingTime is how long after its first copy a request may still crash the servers that run it: by then
	// one that does has crashed some.
	provingTime = abandonedWindow
	// arrivalRetention is how long after its last copy a request counts as known.
	arrivalRetention = 10 * time.Minute
	// arrivalSlots is the number of requests that are remembered, in 192 KB. If two share a slot, the later one
	// replaces the other.
	arrivalSlots = 8192
)

// arrivals records when the first copies of requests arrived at this entry. All methods are safe for concurrent
// use.
type arrivals struct {
	now  func() time.Time
	seed maphash.Seed

	mu sync.Mutex
	// slots is indexed by the low bits of a request's hash; guarded by mu.
	slots [arrivalSlots]arrival
}

// arrival is the hash of a request and when its first and last copies arrived, in ns since the epoch.
type arrival struct {
	hash        uint64
	first, last int64
}

func newArrivals(now func() time.Time) *arrivals {
	return &arrivals{now: now, seed: maphash.MakeSeed()}
}

// isNew records a copy of a request and reports whether the first one came within provingTime.
func (a *arrivals) isNew(r Request) bool {
	hash, now := r.hash(a.seed), a.now().UnixNano()
	a.mu.Lock()
	defer a.mu.Unlock()
	slot := &a.slots[hash%arrivalSlots]
	if slot.hash != hash || now-slot.last > int64(arrivalRetention) {
		*slot = arrival{hash: hash, first: now}
	}
	slot.last = now
	return now-slot.first <= int64(provingTime)
}
