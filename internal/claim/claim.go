// Package claim ensures that a non-idempotent request runs at most once: it is
// claimed in the replicated log before its first byte is sent to a backend server,
// and its outcome is recorded there for every later request with the same key.
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
	// MaxKeyBytes is the maximum length of a request key in bytes.
	MaxKeyBytes = 128
	// claimTimeout bounds the claim, so that a caller is refused promptly if the
	// control group has no quorum.
	claimTimeout = 2 * time.Second
	// settleTimeout bounds how long a response is delayed until the outcome is
	// recorded.
	settleTimeout = 2 * time.Second
	// settleRetryLimit bounds how long the record of an outcome is retried, in the
	// background once settleTimeout has passed.
	settleRetryLimit = time.Minute
	// noLeaderRetryAfter is the Retry-After value sent to callers while the control
	// group cannot record a claim.
	noLeaderRetryAfter = 2 * time.Second
	// runningRetryAfter is the Retry-After value sent to callers while an earlier
	// request with the same key is running.
	runningRetryAfter = time.Second
)

// Config configures a Client. All fields are required.
type Config struct {
	Entry       string
	Incarnation uint64
	// Propose commits a command; see control.Client.
	Propose func(ctx context.Context, cmd *schema.Command) (*schema.Result, error)
	// NewAttemptID returns a random number that identifies a claim attempt.
	NewAttemptID func() uint64
	Log          logr.Logger
}

// Client claims requests and records their outcomes in the control group's log. It is
// safe for concurrent use.
type Client struct {
	cfg Config
}

// NewClient returns a client.
func NewClient(cfg Config) *Client { return &Client{cfg: cfg} }

// Request is a non-idempotent request.
type Request struct {
	Customer string
	Key      string
	Method   string
	Path     string
	Body     []byte
	Deadline time.Time
	// First is true if the caller declares that this is the first request with the
	// key.
	First bool
}

// Grant permits one run of a request. Its owner must settle it.
type Grant struct {
	customer string
	key      string
	number   uint64
}

// Number returns the number of the run, which is never reused.
func (g *Grant) Number() uint64 { return g.number }

// digest returns a hash of the method, path and body. Requests with equal digests
// are the same request.
func digest(r Request) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(r.Path), r.Body} {
		// Each part is hashed separately, so that different splits of the same
		// bytes into parts have different digests.
		sum := sha256.Sum256(part)
		_, _ = h.Write(sum[:])
	}
	return h.Sum(nil)
}

// Begin claims a request. It returns a grant, or the recorded response to an earlier
// request with the same key, or a refusal.
func (c *Client) Begin(ctx context.Context, r Request) (*Grant, *schema.Answer, *refusal.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	result, err := c.cfg.Propose(ctx, &schema.Command{Body: &schema.Command_ClaimRequest{ClaimRequest: &schema.ClaimRequest{
		Customer: r.Customer, Key: r.Key, Digest: digest(r), Entry: c.cfg.Entry,
		EntryIncarnation: c.cfg.Incarnation, DeadlineMs: r.Deadline.UnixMilli(), Attempt: c.cfg.NewAttemptID(),
	}}})
	if err != nil {
		return nil, nil, c.refuseUnclaimed(r, err)
	}
	switch result.GetCode() {
	case schema.ResultCode_RESULT_CODE_OK:
		return &Grant{r.Customer, r.Key, result.GetClaim().GetNumber()}, nil, nil
	case schema.ResultCode_RESULT_CODE_CLAIMED:
		answer, refused := earlierOutcome(result.GetClaim())
		return nil, answer, refused
	case schema.ResultCode_RESULT_CODE_KEY_REUSED:
		return nil, nil, refusal.New(refusal.KeyReused, "the key was used for another request; this one was not run")
	default:
		return nil, nil, refusal.New(refusal.NoCapacity, "%s", result.GetReason()).WithRetryAfter(noLeaderRetryAfter)
	}
}

// refuseUnclaimed refuses a request that could not be claimed. Nothing was sent, so
// this request did not run. Whether an earlier request with the same key ran is known
// only from the log, so the outcome is "not run" only for the first request.
func (c *Client) refuseUnclaimed(r Request, err error) *refusal.Refusal {
	out := refusal.New(refusal.NoLeader, "the control group cannot record the request now: %v", errors.UnwrapAll(err)).
		WithRetryAfter(noLeaderRetryAfter)
	return UnknownUnlessFirst(out, r.First)
}

// UnknownUnlessFirst sets the outcome of a refusal that was made without reading the
// claims to unknown, unless first is true: the caller declares that this is the first
// request with the key.
func UnknownUnlessFirst(r *refusal.Refusal, first bool) *refusal.Refusal {
	if first {
		return r
	}
	return r.WithOutcome(refusal.Unknown)
}

func earlierOutcome(c *schema.Claim) (*schema.Answer, *refusal.Refusal) {
	switch {
	case c.GetState() == schema.ClaimState_CLAIM_STATE_RUNNING:
		return nil, refusal.New(refusal.StillRunning, "an earlier arrival of the key is under way").
			WithOutcome(refusal.Unknown).WithRetryAfter(runningRetryAfter)
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

// Settle records the outcome of a run. It returns once the record is committed or
// settleTimeout has passed; the record is then retried in the background.
func (c *Client) Settle(g *Grant, outcome schema.ClaimOutcome, a *schema.Answer) {
	recorded := make(chan struct{})
	go func() {
		defer close(recorded)
		ctx, cancel := context.WithTimeout(context.Background(), settleRetryLimit)
		defer cancel()
		_, err := c.cfg.Propose(ctx, &schema.Command{Body: &schema.Command_SettleClaim{SettleClaim: &schema.SettleClaim{
			Customer: g.customer, Key: g.key, Number: g.number, Outcome: outcome, Answer: a,
		}}})
		if err != nil {
			// Later requests with the key are refused with an unknown outcome.
			c.cfg.Log.Info("outcome not recorded", "claim", g.number, "reason", err.Error())
		}
	}()
	timer := time.NewTimer(settleTimeout)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	}
}
