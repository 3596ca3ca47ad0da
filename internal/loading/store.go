package loading

import "time"

const (
	// initialStoreConcurrency is the number of concurrent loads from a weight store of unknown
	// speed: one that serves a single load at full speed takes three times as long for each of
	// three.
	initialStoreConcurrency = 3
	// slowedLoadRatio is the ratio of a load's time to its time alone from which it counts as
	// slowed by others: the end of a load is observed within a few hundredths of its time.
	slowedLoadRatio = 1.15
)

// store estimates the speed of a weight store, which serves a few concurrent loads at full
// speed and more of them proportionally slower: more loads at once complete no sooner, and keep
// more engines from other orders. The limit is not configured; it is estimated from the load
// times. The zero value is ready for use.
type store struct {
	// fullSpeedLoads is the estimated number of loads served at full speed; 0: unknown.
	fullSpeedLoads float64
}

// concurrency returns the number of loads to run concurrently.
func (s *store) concurrency() int {
	if s.fullSpeedLoads == 0 {
		return initialStoreConcurrency
	}
	return max(int(s.fullSpeedLoads+0.5), 1)
}

// recordLoad records the time of a load that began as one of so many concurrent ones; alone it
// takes full. A load that was not slowed shows that one more may be tried.
func (s *store) recordLoad(concurrent int, took, full time.Duration) {
	if full <= 0 || concurrent <= 0 {
		return
	}
	stretch := float64(took) / float64(full)
	if stretch < slowedLoadRatio {
		s.fullSpeedLoads = max(float64(s.concurrency()), float64(concurrent+1))
		return
	}
	s.fullSpeedLoads = max(float64(concurrent)/stretch, 1)
}

// recordProgress records that a load that began as one of so many concurrent ones is not done
// after a time. The speed of a store that serves one load at a time would otherwise be unknown
// until the first loads end, for most of a minute.
func (s *store) recordProgress(concurrent int, elapsed, full time.Duration) {
	if full <= 0 || float64(elapsed) < slowedLoadRatio*float64(full) {
		return
	}
	if estimate := max(float64(concurrent)*float64(full)/float64(elapsed), 1); estimate < float64(s.concurrency()) {
		s.fullSpeedLoads = estimate
	}
}

// poolStore returns the estimate of a pool's weight store; the caller holds mu.
func (d *Driver) poolStore(pool string) *store {
	s := d.stores[pool]
	if s == nil {
		s = &store{}
		d.stores[pool] = s
	}
	return s
}

// storeLoadTime returns how long the load in progress takes if the store serves no other.
func (d *Driver) storeLoadTime(e *engine) time.Duration {
	if m := d.modelOf(e, e.order.Model); m != nil {
		return m.StoreLoadTime
	}
	return 0
}

// storeLoadsRunning returns the number of loads from the store in progress in a pool.
func (d *Driver) storeLoadsRunning(pool string) int {
	n := 0
	for _, e := range d.engines {
		if e.pool == pool && e.loadsFromStore() {
			n++
		}
	}
	return n
}
