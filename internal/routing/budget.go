package routing

import "sync"

const (
	// depositPerRequest is the fraction of a retry that each request adds: if all
	// replicas fail, retries add at most this fraction to the load.
	depositPerRequest = 0.1
	maxBalance        = 20
)

// RetryBudget limits the retries of an entry. It is safe for concurrent use.
type RetryBudget struct {
	mu sync.Mutex
	// balance is the number of retries left, from 0 to maxBalance.
	balance float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{balance: maxBalance} }

// Deposit adds depositPerRequest to the budget.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+depositPerRequest, maxBalance)
}

// TryWithdraw takes one retry, or returns false if none is left.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
