package loading

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/incarnation"
)

var (
	// ErrNotSent means that an order was not sent to its engine.
	ErrNotSent = errors.New("the order did not leave")
	// ErrNoHolderReply means that the engine's order holder did not reply; the order may have
	// been sent.
	ErrNoHolderReply = errors.New("no reply from the order holder")
)

// SenderConfig configures a Sender. All fields are required.
type SenderConfig struct {
	// CatchUp returns the term of a leader that led at some moment not longer than
	// MaxLeadershipProofAge before the call, once this host has applied what was committed by
	// then.
	CatchUp func(context.Context) (term uint64, err error)
	// IsHolder reports whether this host is the order holder of the engine with an
	// incarnation's key, according to the log that it has applied.
	IsHolder func(key string) bool
	// SendOrder sends an order to an engine.
	SendOrder func(ctx context.Context, address string, o Order) (Outcome, error)
	Now       func() time.Time
	Log       logr.Logger
}

// Sender sends the leader's orders to the engines of which this host is the order holder. An
// engine's orders come from one host under every leader: if the leader sent them itself,
// engines would take none for a whole lease after each change of leader, and requests for rare
// models would wait as long. All methods are safe from any goroutine.
type Sender struct {
	cfg SenderConfig

	mu sync.Mutex
	// confirmedAt and confirmedTerm are when the last successful call of CatchUp began and what
	// it returned; guarded by mu, as all below.
	confirmedAt   time.Time
	confirmedTerm uint64
	// query is the newest call of CatchUp in progress, or nil.
	query *termQuery
	// tokens is the highest fencing token sent to each engine, by the server's id: a delayed
	// order for an earlier incarnation must not follow one for the next.
	tokens map[string]uint64
}

// termQuery is one call of CatchUp. term and err are valid once done is closed.
type termQuery struct {
	began time.Time
	done  chan struct{}
	term  uint64
	err   error
}

// NewSender returns a Sender.
func NewSender(cfg SenderConfig) *Sender { return &Sender{cfg: cfg, tokens: map[string]uint64{}} }

// maxTokens bounds the number of stored tokens. The orders of different leaders are ordered by
// their terms without them.
const maxTokens = 4096

// Send sends an order of the leader of a term to an engine, unless another host may be its
// order holder by now, another term may have begun, or a later order was sent first. It returns
// ErrNotSent if the order was not sent.
func (s *Sender) Send(ctx context.Context, term uint64, address string, o Order) (Outcome, error) {
	if err := s.checkOrder(ctx, term, o); err != nil {
		s.cfg.Log.Info("order not sent", "server", o.Server, "term", term, "token", o.Token, "error", asynclog.ErrorText(err))
		return OutcomeUnknown, errors.Newf("%v: %w", err, ErrNotSent)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	outcome, err := s.cfg.SendOrder(ctx, address, o)
	if err != nil {
		return OutcomeUnknown, errors.Newf("give order: %w", err)
	}
	return outcome, nil
}

func (s *Sender) checkOrder(ctx context.Context, term uint64, o Order) error {
	current, err := s.confirmTerm(ctx)
	switch {
	case err != nil:
		return errors.Newf("learn who leads: %w", err)
	case current != term:
		return errors.Newf("the order is of term %d, the present one is %d", term, current)
	case !s.cfg.IsHolder(o.Server):
		return errors.New("this host does not hold the engine's orders")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	server := incarnation.ServerOf(o.Server)
	if o.Token <= s.tokens[server] {
		return errors.New("a later order went first")
	}
	if len(s.tokens) >= maxTokens {
		clear(s.tokens)
	}
	s.tokens[server] = o.Token
	return nil
}

// confirmTerm returns the term confirmed within maxConfirmationAge, or else the result of a query
// in progress or a new one. A host that was cut off or frozen meanwhile thus learns before it
// sends an order that another host is the engine's order holder.
func (s *Sender) confirmTerm(ctx context.Context) (uint64, error) {
	s.mu.Lock()
	now := s.cfg.Now()
	if now.Sub(s.confirmedAt) < maxConfirmationAge {
		defer s.mu.Unlock()
		return s.confirmedTerm, nil
	}
	q := s.query
	if q == nil || now.Sub(q.began) >= maxConfirmationAge {
		q = &termQuery{began: now, done: make(chan struct{})}
		s.query = q
		go s.runQuery(q)
	}
	s.mu.Unlock()
	select {
	case <-q.done:
		return q.term, q.err
	case <-ctx.Done():
		return 0, errors.Newf("wait for the answer: %w", ctx.Err())
	}
}

// runQuery runs one query for all orders that wait for its result: a burst of orders queries the
// leader once, as the leader has the most work just then.
func (s *Sender) runQuery(q *termQuery) {
	defer close(q.done)
	ctx, cancel := context.WithTimeout(context.Background(), confirmationTimeout)
	defer cancel()
	q.term, q.err = s.cfg.CatchUp(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.err == nil && q.began.After(s.confirmedAt) {
		s.confirmedAt, s.confirmedTerm = q.began, q.term
	}
	if s.query == q {
		s.query = nil
	}
}
