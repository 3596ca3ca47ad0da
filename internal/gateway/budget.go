package gateway

import (
	"sync"
	"time"
)

// usableBudgetShare is the share of the budget that is used: the number of entries is known
// with a delay when entries come and go.
const usableBudgetShare = 0.8

// RetryBudgetConfig bounds the retries of all entries together: in any window, at most Ratio
// times the number of requests plus Burst.
type RetryBudgetConfig struct {
	Ratio  float64
	Window time.Duration
	Burst  float64
}

// retryBudget is this entry's share of the retry budget of one pool. Each request deposits
// Ratio retries. The burst is divided between the entries: one half is the limit of the balance, the
// other half refills over a window, so that no window exceeds the whole. The balance starts at
// 0, as an earlier process of this entry may have spent it.
type retryBudget struct {
	cfg RetryBudgetConfig

	mu         sync.Mutex
	balance    float64
	refilledAt time.Time
}

func newRetryBudget(cfg RetryBudgetConfig, now time.Time) *retryBudget {
	return &retryBudget{cfg: cfg, refilledAt: now}
}

func (b *retryBudget) limit(entries int) float64 {
	return usableBudgetShare * b.cfg.Burst / 2 / float64(max(entries, 1))
}

func (b *retryBudget) refill(now time.Time, entries int) {
	b.balance = min(b.balance+b.limit(entries)*now.Sub(b.refilledAt).Seconds()/b.cfg.Window.Seconds(), b.limit(entries))
	b.refilledAt = now
}

// deposit adds the part of a retry that one request contributes.
func (b *retryBudget) deposit(now time.Time, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, entries)
	b.balance = min(b.balance+b.cfg.Ratio*usableBudgetShare, b.limit(entries))
}

// withdraw takes one retry from the budget; it returns false if none is left.
func (b *retryBudget) withdraw(now time.Time, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, entries)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// available reports whether withdraw would succeed.
func (b *retryBudget) available(now time.Time, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, entries)
	return b.balance >= 1
}
