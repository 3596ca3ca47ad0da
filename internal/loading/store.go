package loading

import "time"

const (
	// storeAtFirst is how many loads are given to a weight store of which nothing is
	// known yet: one that serves a single load at full speed takes three times as long
	// for each of three.
	storeAtFirst = 3
	// storeStretched is from how much longer than alone on a load counts as slowed by
	// others: the end of a load is seen within a few hundredths of its time.
	storeStretched = 1.15
)

// store is what is known of a weight store that serves a few loads at full speed, and
// more of them longer in proportion: more at once bring no model sooner, and keep more
// engines from other orders. Nobody says how many; the loads' own times tell. The zero
// value is ready for use.
type store struct {
	// speed is how many loads are served at full speed, as far as is known; 0: nothing.
	speed float64
}

// atOnce is how many loads the store is given at once.
func (s *store) atOnce() int {
	if s.speed == 0 {
		return storeAtFirst
	}
	return max(int(s.speed+0.5), 1)
}

// ended notes that a load took so long that began as one of so many; alone it takes
// full. One that was not slowed shows that one more may be tried.
func (s *store) ended(atOnce int, took, full time.Duration) {
	if full <= 0 || atOnce <= 0 {
		return
	}
	stretch := float64(took) / float64(full)
	if stretch < storeStretched {
		s.speed = max(float64(s.atOnce()), float64(atOnce+1))
		return
	}
	s.speed = max(float64(atOnce)/stretch, 1)
}

// running notes that a load that began as one of so many has not ended after a time.
// A store that serves one at a time would otherwise be known only after the loads that
// are under way, most of a minute.
func (s *store) running(atOnce int, gone, full time.Duration) {
	if full <= 0 || float64(gone) < storeStretched*float64(full) {
		return
	}
	if most := max(float64(atOnce)*float64(full)/float64(gone), 1); most < float64(s.atOnce()) {
		s.speed = most
	}
}

// storeOf returns what is known of a pool's weight store; mu is held.
func (d *Driver) storeOf(pool string) *store {
	s := d.stores[pool]
	if s == nil {
		s = &store{}
		d.stores[pool] = s
	}
	return s
}

// fromStore is how long the load under way takes where the store has no other.
func (d *Driver) fromStore(e *engine) time.Duration {
	if m := d.modelOf(e, e.order.Model); m != nil {
		return m.StoreLoadTime
	}
	return 0
}

// fromStoreNow counts the loads from the store that are under way in a pool.
func (d *Driver) fromStoreNow(pool string) int {
	n := 0
	for _, e := range d.engines {
		if e.pool == pool && e.fromStore() {
			n++
		}
	}
	return n
}
