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
	// ErrNotSent says that an order did not leave for its engine.
	ErrNotSent = errors.New("the order did not leave")
	// ErrNoHolderReply says that the engine's order holder gave no answer; the order may
	// have left.
	ErrNoHolderReply = errors.New("the order holder gave no answer")
)

// SenderConfig configures a Hand. All fields are required.
type SenderConfig struct {
	// CatchUp returns the term of a leader that led at some moment not longer than
	// LeadFor before the call, once this host has applied what was committed then.
	CatchUp func(context.Context) (term uint64, err error)
	// IsHolder reports whether this host is the order holder of the engine of an
	// incarnation's key, by what it has applied.
	IsHolder func(key string) bool
	// SendOrder sends an order to an engine.
	SendOrder func(ctx context.Context, address string, o Order) (Outcome, error)
	Now       func() time.Time
	Log       logr.Logger
}

// Sender gives engines the orders of whoever leads. An engine's orders come from
// one host, its order holder, under every leader: were they to come from the
// leader itself, engines would take none for the whole lease after each change of
// leader, and callers of rare models would wait with them. All methods are safe
// from any goroutine.
type Sender struct {
	cfg SenderConfig

	mu sync.Mutex
	// caught and term are when the last successful call of Catch began and what it
	// returned; guarded by mu, as all below.
	caught time.Time
	term   uint64
	// question is the newest call of Catch that is under way, nil: there is none.
	question *question
	// tokens holds the highest token that was given to each engine, by the server's id:
	// an order to an earlier start that was held up must not follow one to the next.
	tokens map[string]uint64
}

// question is one call of Catch. Its answer is there once done is closed.
type question struct {
	began time.Time
	done  chan struct{}
	term  uint64
	err   error
}

// NewSender returns a Hand.
func NewSender(cfg SenderConfig) *Sender { return &Sender{cfg: cfg, tokens: map[string]uint64{}} }

// tokensKept bounds the tokens that are remembered; terms keep the orders of
// different leaders apart without them.
const tokensKept = 4096

// Send sends an order of the leader of a term to an engine, unless another host
// may be its order holder by now, another leader may have begun, or a later order
// went first. Its error is ErrNotSent where the order did not leave.
func (h *Sender) Send(ctx context.Context, term uint64, address string, o Order) (Outcome, error) {
	if err := h.check(ctx, term, o); err != nil {
		h.cfg.Log.Info("order not sent", "server", o.Server, "term", term, "token", o.FencingToken, "error", asynclog.ErrorText(err))
		return OutcomeUnknown, errors.Newf("%v: %w", err, ErrNotSent)
	}
	ctx, cancel := context.WithTimeout(ctx, orderWait)
	defer cancel()
	outcome, err := h.cfg.SendOrder(ctx, address, o)
	if err != nil {
		return OutcomeUnknown, errors.Newf("give order: %w", err)
	}
	return outcome, nil
}

func (h *Sender) check(ctx context.Context, term uint64, o Order) error {
	present, err := h.catch(ctx)
	switch {
	case err != nil:
		return errors.Newf("learn who leads: %w", err)
	case present != term:
		return errors.Newf("the order is of term %d, the present one is %d", term, present)
	case !h.cfg.IsHolder(o.Server):
		return errors.New("this host does not hold the engine's orders")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	server := incarnation.ServerOf(o.Server)
	if o.FencingToken <= h.tokens[server] {
		return errors.New("a later order went first")
	}
	if len(h.tokens) >= tokensKept {
		clear(h.tokens)
	}
	h.tokens[server] = o.FencingToken
	return nil
}

// catch relies on what was learned within confirmFor, or is just being learned. A host that
// was cut off or frozen meanwhile learns before it sends that another holds the engine's
// orders.
func (h *Sender) catch(ctx context.Context) (uint64, error) {
	h.mu.Lock()
	now := h.cfg.Now()
	if now.Sub(h.caught) < confirmFor {
		defer h.mu.Unlock()
		return h.term, nil
	}
	q := h.question
	if q == nil || now.Sub(q.began) >= confirmFor {
		q = &question{began: now, done: make(chan struct{})}
		h.question = q
		go h.ask(q)
	}
	h.mu.Unlock()
	select {
	case <-q.done:
		return q.term, q.err
	case <-ctx.Done():
		return 0, errors.Newf("wait for the answer: %w", ctx.Err())
	}
}

// ask has one question answered for all orders that wait for it: a burst of orders asks the
// leader once, as it has the most to do just then.
func (h *Sender) ask(q *question) {
	defer close(q.done)
	ctx, cancel := context.WithTimeout(context.Background(), confirmWait)
	defer cancel()
	q.term, q.err = h.cfg.CatchUp(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	if q.err == nil && q.began.After(h.caught) {
		h.caught, h.term = q.began, q.term
	}
	if h.question == q {
		h.question = nil
	}
}
