// Package claim makes a non-idempotent request run at most once: it is claimed
// in the replicated log before its first byte leaves for a backend server, and
// its outcome is recorded there for every later arrival of the same key.
package claim

import (
	"context"
	"crypto/sha256"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"fennelyard/internal/ledger"
	"fennelyard/internal/refusal"
	"fennelyard/internal/schema"
)

const (
	// MaxKey bounds a request key in bytes.
	MaxKey = 128
	// claimWait bounds the claim: without a quorum the caller is told at once.
	claimWait = 2 * time.Second
	// settleWait bounds how long an answer waits for its record.
	settleWait = 2 * time.Second
	// settleLimit is how long an outcome is offered to the log in the
	// background after that.
	settleLimit = time.Minute
	// comeBack is told to callers when the control group has no leader.
	comeBack = 2 * time.Second
	// stillRunning is told to callers whose earlier arrival is under way.
	stillRunning = time.Second
)

// Config configures a Keeper. All fields are required.
type Config struct {
	Entry       string
	Incarnation uint64
	// Propose commits a command; see control.Client.
	Propose func(ctx context.Context, cmd *schema.Command) (*schema.Result, error)
	// NewAttemptID returns a random number for each run.
	NewAttemptID func() uint64
	Log          logr.Logger
}

// Client claims and settles. It is safe from any goroutine.
type Client struct {
	cfg Config
}

// NewClient returns a keeper.
func NewClient(cfg Config) *Client { return &Client{cfg: cfg} }

// Request is a non-idempotent request.
type Request struct {
	Customer string
	Key      string
	Method   string
	Path     string
	Body     []byte
	Deadline time.Time
	// First is true when the caller says that this is the key's first arrival.
	First bool
}

// Grant allows one run. Its holder settles it.
type Grant struct {
	customer string
	key      string
	number   uint64
}

// Number names the run; it is never used twice.
func (g *Grant) Number() uint64 { return g.number }

// digest covers what makes two requests the same.
func digest(r Request) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.Path), r.Body} {
		// Each part is hashed by itself, so that no two lists of parts collide.
		sum := sha256.Sum256(part)
		_, _ = h.Write(sum[:])
	}
	return h.Sum(nil)
}

// Begin claims a request. It returns a grant, or the kept answer of an earlier
// arrival, or a refusal.
func (k *Client) Begin(ctx context.Context, r Request) (*Grant, *schema.Answer, *refusal.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	result, err := k.cfg.Propose(ctx, &schema.Command{Body: &schema.Command_ClaimRequest{ClaimRequest: &schema.ClaimRequest{
		Customer: r.Customer, Key: r.Key, Digest: digest(r), Entry: k.cfg.Entry,
		EntryIncarnation: k.cfg.Incarnation, DeadlineMs: r.Deadline.UnixMilli(), Attempt: k.cfg.NewAttemptID(),
	}}})
	if err != nil {
		return nil, nil, k.noClaim(r, err)
	}
	switch result.GetCode() {
	case schema.ResultCode_RESULT_CODE_OK:
		return &Grant{r.Customer, r.Key, result.GetClaim().GetNumber()}, nil, nil
	case schema.ResultCode_RESULT_CODE_CLAIMED:
		answer, refused := earlier(result.GetClaim())
		return nil, answer, refused
	case schema.ResultCode_RESULT_CODE_KEY_REUSED:
		return nil, nil, refusal.New(refusal.KeyReused, "the key was used for another request; this one was not run")
	default:
		return nil, nil, refusal.New(refusal.NoCapacity, "%s", result.GetReason()).WithRetryAfter(comeBack)
	}
}

// noClaim refuses a request that could not be claimed. Nothing was sent, so
// this arrival did not run; but whether an earlier arrival of the key did is
// known to the log alone, and "not run" is said only of a first arrival.
func (k *Client) noClaim(r Request, err error) *refusal.Refusal {
	out := refusal.New(refusal.NoLeader, "the control group cannot record the request now: %v", errors.UnwrapAll(err)).
		WithRetryAfter(comeBack)
	return UnknownUnlessFirst(out, r.First)
}

// UnknownUnlessFirst turns the outcome of a refusal that was made without looking at the
// claims into unknown, unless the caller says that the key arrived for the
// first time.
func UnknownUnlessFirst(r *refusal.Refusal, first bool) *refusal.Refusal {
	if first {
		return r
	}
	return r.WithOutcome(refusal.Unknown)
}

func earlier(c *schema.Claim) (*schema.Answer, *refusal.Refusal) {
	switch {
	case c.GetState() == schema.ClaimState_CLAIM_STATE_RUNNING:
		return nil, refusal.New(refusal.StillRunning, "an earlier arrival of the key is under way").
			WithOutcome(refusal.Unknown).WithRetryAfter(stillRunning)
	case c.GetState() == schema.ClaimState_CLAIM_STATE_DONE && c.GetAnswer().GetOmitted():
		return nil, refusal.New(refusal.AnswerNotKept, "the request ran; its answer was not kept (more than %d bytes, or cut off)",
			ledger.MaxAnswerBytes).WithOutcome(refusal.Ran)
	case c.GetState() == schema.ClaimState_CLAIM_STATE_DONE:
		return c.GetAnswer(), nil
	default:
		return nil, refusal.New(refusal.OutcomeUnknown, "an earlier arrival of the key may or may not have run").
			WithOutcome(refusal.Unknown)
	}
}

// Settle records how a run ended. It returns after the record is committed or
// a short wait; the record is then offered on in the background.
func (k *Client) Settle(g *Grant, outcome schema.ClaimOutcome, a *schema.Answer) {
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
		defer cancel()
		_, err := k.cfg.Propose(ctx, &schema.Command{Body: &schema.Command_SettleClaim{SettleClaim: &schema.SettleClaim{
			Customer: g.customer, Key: g.key, Number: g.number, Outcome: outcome, Answer: a,
		}}})
		if err != nil {
			// Later arrivals of the key are told that the outcome is unknown.
			k.cfg.Log.Info("outcome not recorded", "claim", g.number, "reason", err.Error())
		}
	}()
	timer := time.NewTimer(settleWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	}
}
