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
	// ClaimLimit is how many keys are remembered at once. Above it new claims
	// are refused; none is forgotten early, or its resend would run again.
	ClaimLimit = 200000
	// MaxAnswerBytes is the largest answer body that is kept for resends.
	MaxAnswerBytes = 64 << 10
	// MaxTotalAnswerBytes bounds the bodies of all kept answers together. Above it
	// the oldest are dropped; their keys are remembered all the same.
	MaxTotalAnswerBytes = 32 << 20
	// claimGrace is added to a run's deadline before a claim that nobody
	// settled counts as unknown.
	claimGrace = 10 * time.Second
	// Each command forgets at most this many old claims, so that none takes long.
	expirePerCommand = 16
)

type claimKey struct {
	customer string
	key      string
}

type claimTable struct {
	byKey map[claimKey]*schema.Claim
	// order lists claims by time; settled or released ones may still be in it.
	order []*schema.Claim
	// answered lists the claims with a kept answer, oldest first, and kept is
	// the size of their bodies.
	answered []claimKey
	kept     int
}

func newClaimTable() claimTable {
	return claimTable{byKey: map[claimKey]*schema.Claim{}}
}

func (t *claimTable) restore(c *schema.Claim) {
	k := claimKey{c.GetCustomer(), c.GetKey()}
	t.byKey[k] = c
	t.order = append(t.order, c)
	t.noteAnswer(k, c)
}

// noteAnswer counts a kept answer and drops the oldest ones above the limit.
func (t *claimTable) noteAnswer(k claimKey, c *schema.Claim) {
	if len(c.GetAnswer().GetBody()) == 0 {
		return
	}
	t.answered = append(t.answered, k)
	t.kept += len(c.GetAnswer().GetBody())
	for t.kept > MaxTotalAnswerBytes {
		oldest := t.answered[0]
		t.answered = t.answered[1:]
		old, ok := t.byKey[oldest]
		if !ok {
			continue
		}
		t.kept -= len(old.GetAnswer().GetBody())
		next := proto.Clone(old).(*schema.Claim)
		next.Answer = &schema.Answer{Status: old.GetAnswer().GetStatus(), Omitted: true}
		t.byKey[oldest] = next
	}
}

// all returns the claims in the order of their numbers, which is that of time.
func (t *claimTable) all() []*schema.Claim {
	return slices.SortedFunc(maps.Values(t.byKey), func(a, b *schema.Claim) int {
		return int(a.GetNumber()) - int(b.GetNumber())
	})
}

func (t *claimTable) expire(nowMs int64) {
	for range expirePerCommand {
		if len(t.order) == 0 || t.order[0].GetClaimedMs()+ClaimRetention.Milliseconds() > nowMs {
			return
		}
		old := t.order[0]
		k := claimKey{old.GetCustomer(), old.GetKey()}
		if kept, ok := t.byKey[k]; ok && kept.GetNumber() == old.GetNumber() {
			t.kept -= len(kept.GetAnswer().GetBody())
			delete(t.byKey, k)
		}
		t.order = t.order[1:]
	}
}

// claim lets one run of a non-idempotent request begin. Every later arrival of
// its key, at any entry, learns what became of that run instead.
func (l *Ledger) claim(q *schema.ClaimRequest) *schema.Result {
	k := claimKey{q.GetCustomer(), q.GetKey()}
	if old, ok := l.claims.byKey[k]; ok {
		return l.claimAgain(k, old, q)
	}
	if len(l.claims.byKey) >= ClaimLimit {
		return refuse(schema.ResultCode_RESULT_CODE_OVER_BOUND, "%d request keys are remembered", ClaimLimit)
	}
	c := &schema.Claim{
		Customer: q.GetCustomer(), Key: q.GetKey(), Digest: q.GetDigest(),
		State: schema.ClaimState_CLAIM_STATE_RUNNING, Number: l.number(),
		Entry: q.GetEntry(), EntryIncarnation: q.GetEntryIncarnation(), Attempt: q.GetAttempt(),
		ClaimedMs: l.clockMs, DeadlineMs: q.GetDeadlineMs(),
	}
	l.claims.restore(c)
	out := accepted()
	out.Claim = c
	return out
}

func (l *Ledger) claimAgain(k claimKey, old *schema.Claim, q *schema.ClaimRequest) *schema.Result {
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
	// The entry that ran it must have died before it could tell the outcome.
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
	// An outcome that is offered twice is recorded once; one that is known does
	// not become unknown again.
	if old.GetState() == schema.ClaimState_CLAIM_STATE_DONE {
		return refuse(schema.ResultCode_RESULT_CODE_STALE, "claim %d is settled", q.GetNumber())
	}
	switch q.GetOutcome() {
	case schema.ClaimOutcome_CLAIM_OUTCOME_DONE:
		l.replaceClaim(k, old, schema.ClaimState_CLAIM_STATE_DONE, boundAnswer(q.GetAnswer()))
	case schema.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN:
		// Only an entry that proved that nothing ran says so; the key is free.
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
	l.claims.noteAnswer(k, next)
	return next
}

func boundAnswer(a *schema.Answer) *schema.Answer {
	if len(a.GetBody()) <= MaxAnswerBytes {
		return a
	}
	return &schema.Answer{Status: a.GetStatus(), ContentType: a.GetContentType(), Omitted: true}
}
