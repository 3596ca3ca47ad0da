package control

import (
	"context"
	"sync"
	"time"

	"fennelyard/internal/consensus"
)

// leadershipConfirmation caches the last confirmation that this member leads. Many
// hosts may request one at the same time, and each confirmation costs a round trip to
// every member of the group.
type leadershipConfirmation struct {
	mu sync.Mutex
	// startedAt is when the confirmation was requested. It and the fields below are
	// guarded by mu.
	startedAt time.Time
	term      uint64
	index     uint64
}

// confirm returns a term in which this member led and the index that was committed
// then, at some time no earlier than age before the call. Concurrent calls that need
// a new confirmation share one.
func (c *leadershipConfirmation) confirm(ctx context.Context, g *Group, age time.Duration) (index, term uint64, err error) {
	if age <= 0 {
		return g.confirmNow(ctx)
	}
	calledAt := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := g.Status(); s.CommittedInTerm && c.term == s.Term && c.startedAt.After(calledAt.Add(-age)) {
		return c.index, c.term, nil
	}
	startedAt := time.Now()
	if index, term, err = g.confirmNow(ctx); err != nil {
		return 0, 0, err
	}
	c.startedAt, c.term, c.index = startedAt, term, index
	return index, term, nil
}

// confirmNow lets a quorum confirm that this member leads, and returns the committed
// index and the term.
func (g *Group) confirmNow(ctx context.Context) (index, term uint64, err error) {
	before := g.Status()
	if index, err = g.ConfirmLeadership(ctx); err != nil {
		return 0, 0, err
	}
	// If the term has changed, the confirmation does not apply to the new term.
	if after := g.Status(); after.Term != before.Term {
		return 0, 0, consensus.ErrNotLeader
	}
	return index, before.Term, nil
}
