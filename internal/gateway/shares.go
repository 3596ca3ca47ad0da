package gateway

import (
	"slices"
	"sync"
	"time"
)

// shareRetention is how long entries that are no longer listed count among those that divide a
// limit between them: an entry that is cut off from the leader keeps using its share, and so does
// a stopping one until its requests have ended.
const shareRetention = 10 * time.Minute

// shareCounter counts the entries between which a limit for all of them is divided: the largest
// number that was listed within shareRetention. It is safe for concurrent use.
type shareCounter struct {
	mu sync.Mutex
	// current is the number of listed entries, and earlier are larger numbers that were listed
	// before, in descending order. Guarded by mu.
	current int
	earlier []earlierCount
}

// earlierCount is a number of entries that counts until a time.
type earlierCount struct {
	entries int
	until   time.Time
}

// set sets the number of listed entries.
func (c *shareCounter) set(entries int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.earlier = append(c.earlier, earlierCount{c.current, now.Add(shareRetention)})
	c.current = entries
	// A number counts only while no larger one that was listed later does.
	largest := entries
	for i, e := range slices.Backward(c.earlier) {
		if e.entries <= largest || now.After(e.until) {
			c.earlier = slices.Delete(c.earlier, i, i+1)
			continue
		}
		largest = e.entries
	}
}

// count returns the number of entries that divide a limit.
func (c *shareCounter) count(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.earlier {
		if now.Before(e.until) {
			return e.entries
		}
	}
	return c.current
}
