package ledger

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

const (
	// ClaimRetention is how long a request key is remembered after its claim.
	ClaimRetention = 24 * time.Hour
	// ClaimLimit is the maximum number of remembered keys. Above it new claims are refused;
	// no key is dropped early, or a resent request would run again.
	ClaimLimit = 200000
	// MaxAnswerBytes is the maximum size of a response body that is stored for resends.
	MaxAnswerBytes = 64 << 10
	// MaxTotalAnswerBytes is the maximum size of all stored bodies together. Above it the
	// oldest bodies are dropped, but not their keys.
	MaxTotalAnswerBytes = 32 << 20
	// claimGrace is added to a run's deadline before a claim that was not settled counts as
	// unknown.
	claimGrace = 10 * time.Second
	// maxExpiredPerCommand is the maximum number of claims that a command expires, so that
	// no command takes long.
	maxExpiredPerCommand = 16
)

type claimKey struct {
	customer string
	key      string
}

type claimTable struct {
	byKey map[claimKey]*schema.Claim
	// order lists claims by time; it may still contain settled or released ones.
	order []*schema.Claim
	// withAnswer lists the claims with a stored response, oldest first, and answerBytes is
	// the size of their bodies.
	withAnswer  []claimKey
	answerBytes int
}

func newClaimTable() claimTable {
	return claimTable{byKey: map[claimKey]*schema.Claim{}}
}

func (t *claimTable) add(c *schema.Claim) {
	k := claimKey{c.GetCustomer(), c.GetKey()}
	t.byKey[k] = c
	t.order = append(t.order, c)
	t.addAnswer(k, c)
}

// addAnswer adds a claim's stored response and drops the oldest bodies above the limit.
func (t *claimTable) addAnswer(k claimKey, c *schema.Claim) {
	if len(c.GetAnswer().GetBody()) == 0 {
		return
	}
	t.withAnswer = append(t.withAnswer, k)
	t.answerBytes += len(c.GetAnswer().GetBody())
	for t.answerBytes > MaxTotalAnswerBytes {
		oldest := t.withAnswer[0]
		t.withAnswer = t.withAnswer[1:]
		old, ok := t.byKey[oldest]
		if !ok {
			continue
		}
		t.answerBytes -= len(old.GetAnswer().GetBody())
		next := proto.Clone(old).(*schema.Claim)
		next.Answer = &schema.Answer{Status: old.GetAnswer().GetStatus(), Omitted: true}
		t.byKey[oldest] = next
	}
}

// all returns the claims by number, which is also the order of time.
func (t *claimTable) all() []*schema.Claim {
	return slices.SortedFunc(maps.Values(t.byKey), func(a, b *schema.Claim) int {
		return int(a.GetNumber()) - int(b.GetNumber())
	})
}

func (t *claimTable) expire(nowMs int64) {
	for range maxExpiredPerCommand {
		if len(t.order) == 0 || t.order[0].GetClaimedMs()+ClaimRetention.Milliseconds() > nowMs {
			return
		}
		old := t.order[0]
		k := claimKey{old.GetCustomer(), old.GetKey()}
		if stored, ok := t.byKey[k]; ok && stored.GetNumber() == old.GetNumber() {
			t.answerBytes -= len(stored.GetAnswer().GetBody())
			delete(t.byKey, k)
		}
		t.order = t.order[1:]
	}
}

// claim allows one run of a non-idempotent request. Every later request with its key, at
// any entry, receives the state of that run instead.
func (l *Ledger) claim(q *schema.ClaimRequest) *schema.Result {
	k := claimKey{q.GetCustomer(), q.GetKey()}
	if old, ok := l.claims.byKey[k]; ok {
		return l.repeatClaim(k, old, q)
	}
	if len(l.claims.byKey) >= ClaimLimit {
		return refuse(schema.ResultCode_RESULT_CODE_OVER_BOUND, "%d request keys are remembered", ClaimLimit)
	}
	c := &schema.Claim{
		Customer: q.GetCustomer(), Key: q.GetKey(), Digest: q.GetDigest(),
		State: schema.ClaimState_CLAIM_STATE_RUNNING, Number: l.nextNumber(),
		Entry: q.GetEntry(), EntryIncarnation: q.GetEntryIncarnation(), Attempt: q.GetAttempt(),
		ClaimedMs: l.clockMs, DeadlineMs: q.GetDeadlineMs(),
	}
	l.claims.add(c)
	out := accepted()
	out.Claim = c
	return out
}

func (l *Ledger) repeatClaim(k claimKey, old *schema.Claim, q *schema.ClaimRequest) *schema.Result {
	if string(old.GetDigest()) != string(q.GetDigest()) {
		return refuse(schema.ResultCode_RESULT_CODE_KEY_REUSED, "the key belongs to another request")
	}
	running := old.GetState() == schema.ClaimState_CLAIM_STATE_RUNNING
	same := old.GetEntry() == q.GetEntry() && old.GetEntryIncarnation() == q.GetEntryIncarnation() &&
		old.GetAttempt() == q.GetAttempt()
	if running && same {
		out := accepted()
		out.Claim = old
		return out
	}
	// The entry that ran it must have ended before it could report the outcome.
	if running && l.clockMs > old.GetDeadlineMs()+claimGrace.Milliseconds() {
		old = l.replaceClaim(k, old, schema.ClaimState_CLAIM_STATE_UNKNOWN, nil)
	}
	out := refuse(schema.ResultCode_RESULT_CODE_CLAIMED, "the key is claimed")
	out.Claim = old
	return out
}

func (l *Ledger) settleClaim(q *schema.SettleClaim) *schema.Result {
	k := claimKey{q.GetCustomer(), q.GetKey()}
	old, ok := l.claims.byKey[k]
	if !ok || old.GetNumber() != q.GetNumber() {
		return refuse(schema.ResultCode_RESULT_CODE_NOT_FOUND, "claim %d is gone", q.GetNumber())
	}
	// A repeated outcome is recorded once, and a known one does not become unknown again.
	if old.GetState() == schema.ClaimState_CLAIM_STATE_DONE {
		return refuse(schema.ResultCode_RESULT_CODE_STALE, "claim %d is settled", q.GetNumber())
	}
	switch q.GetOutcome() {
	case schema.ClaimOutcome_CLAIM_OUTCOME_DONE:
		l.replaceClaim(k, old, schema.ClaimState_CLAIM_STATE_DONE, boundAnswer(q.GetAnswer()))
	case schema.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN:
		// Only an entry that proved that nothing ran reports this; the key becomes free.
		if old.GetState() != schema.ClaimState_CLAIM_STATE_RUNNING {
			return refuse(schema.ResultCode_RESULT_CODE_STALE, "claim %d is no longer running", q.GetNumber())
		}
		delete(l.claims.byKey, k)
	case schema.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN:
		l.replaceClaim(k, old, schema.ClaimState_CLAIM_STATE_UNKNOWN, nil)
	default:
		return refuse(schema.ResultCode_RESULT_CODE_INVALID, "no outcome")
	}
	return accepted()
}

func (l *Ledger) replaceClaim(k claimKey, old *schema.Claim, state schema.ClaimState, a *schema.Answer) *schema.Claim {
	next := proto.Clone(old).(*schema.Claim)
	next.State = state
	next.Answer = a
	l.claims.byKey[k] = next
	l.claims.addAnswer(k, next)
	return next
}

func boundAnswer(a *schema.Answer) *schema.Answer {
	if len(a.GetBody()) <= MaxAnswerBytes {
		return a
	}
	return &schema.Answer{Status: a.GetStatus(), ContentType: a.GetContentType(), Omitted: true}
}
