package gateway

import (
	"sync"
	"time"
)

// budgetShare is the part of the allowance that is used: entries that come and
// go know each other's number with a delay.
const budgetShare = 0.8

// RetryBudgetConfig bounds the dispatches of all entries beyond the first of each
// request: in any window, ratio of the requests plus slack.
type RetryBudgetConfig struct {
	Ratio  float64
	Window time.Duration
	Burst  int
}

// budget is this entry's part of the allowance for one pool. A request earns
// its ratio; the slack is split between the entries, one half to be there at
// once and the other to come in over a window, so that no window sees more than
// the whole. It starts empty: the entry that ran here before may have spent all.
type budget struct {
	cfg RetryBudgetConfig

	mu    sync.Mutex
	left  float64
	asked time.Time
}

func newBudget(cfg RetryBudgetConfig, now time.Time) *budget { return &budget{cfg: cfg, asked: now} }

func (b *budget) cap(entries int) float64 {
	return budgetShare * float64(b.cfg.Burst) / 2 / float64(max(entries, 1))
}

func (b *budget) grow(now time.Time, entries int) {
	b.left = min(b.left+b.cap(entries)*now.Sub(b.asked).Seconds()/b.cfg.Window.Seconds(), b.cap(entries))
	b.asked = now
}

// earn notes a request.
func (b *budget) earn(now time.Time, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grow(now, entries)
	b.left = min(b.left+b.cfg.Ratio*budgetShare, b.cap(entries))
}

// spend takes one repeated dispatch, or returns false when none is left.
func (b *budget) spend(now time.Time, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grow(now, entries)
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// peek reports whether spend would succeed.
func (b *budget) peek(now time.Time, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.grow(now, entries)
	return b.left >= 1
}
