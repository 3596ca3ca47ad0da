package routing

import "sync"

const (
	// Each request earns budgetPerRequest of a retry: when a whole pool fails,
	// retries add at most that share to its load.
	budgetPerRequest = 0.1
	maxBudget        = 20
)

// Budget bounds the retries of an entry. It is safe from any goroutine.
type Budget struct {
	mu sync.Mutex
	// left is between 0 and maxBudget.
	left float64
}

// NewBudget returns a full budget.
func NewBudget() *Budget { return &Budget{left: maxBudget} }

// Earn adds the share of one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+budgetPerRequest, maxBudget)
}

// Spend takes one retry, or returns false when none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
