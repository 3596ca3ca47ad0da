package control

import (
	"context"
	"sync"
	"time"

	"fennelyard/internal/consensus"
)

// lately is the last confirmation that this member led. Many hosts may ask within
// a moment, and each round of the group costs a message to every member and back.
type lately struct {
	mu sync.Mutex
	// began is when the confirmation was asked for; guarded by mu, as all below.
	began time.Time
	term  uint64
	index uint64
}

// confirm returns a term in which this member led, and the index that was
// committed then, at some moment not longer than age before the call. Calls that
// need a new confirmation share one.
func (l *lately) confirm(ctx context.Context, g *Group, age time.Duration) (index, term uint64, err error) {
	if age <= 0 {
		return g.confirmNow(ctx)
	}
	asked := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := g.Status(); s.CommittedInTerm && l.term == s.Term && l.began.After(asked.Add(-age)) {
		return l.index, l.term, nil
	}
	began := time.Now()
	if index, term, err = g.confirmNow(ctx); err != nil {
		return 0, 0, err
	}
	l.began, l.term, l.index = began, term, index
	return index, term, nil
}

// confirmNow has a quorum confirm that this member leads, and returns what is
// committed and the term.
func (g *Group) confirmNow(ctx context.Context) (index, term uint64, err error) {
	before := g.Status()
	if index, err = g.ConfirmLeadership(ctx); err != nil {
		return 0, 0, err
	}
	// A term that has ended since confirms nothing of the next one.
	if after := g.Status(); after.Term != before.Term {
		return 0, 0, consensus.ErrNotLeader
	}
	return index, before.Term, nil
}
