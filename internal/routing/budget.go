package routing

import "sync"

const (
	// Each request earns budgetPerRequest of a retry: when a whole pool fails,
	// retries add at most that share to its load.
	budgetPerRequest = 0.1
	maxBudget        = 20
)

// RetryBudget bounds the retries of an entry. It is safe from any goroutine.
type RetryBudget struct {
	mu sync.Mutex
	// left is between 0 and maxBudget.
	left float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{left: maxBudget} }

// Deposit adds the share of one request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+budgetPerRequest, maxBudget)
}

// TryWithdraw takes one retry, or returns false when none is left.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
