package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/ledger"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/refusal"
	"fennelyard/internal/routing"
	"fennelyard/internal/schema"
)

const (
	// suspectWait is how long the group may take to record suspects, and suspectRetry the
	// time between two tries.
	suspectWait  = 2 * time.Second
	suspectRetry = time.Second
)

// subject is a request as the guard knows it.
func (in *incoming) subject() *quarantine.KeyedRequest {
	if in.guarded == nil {
		in.guarded = quarantine.NewKeyedRequest(quarantine.Request{
			Method: in.method, Host: in.target.name, Target: in.path, Caller: in.customer, Body: in.body,
		})
	}
	return in.guarded
}

// heldBack refuses a request that is known to end the servers that run it, nil: it is not. It
// waits for what becomes known of the servers at which it has just broken off.
func (e *Entry) heldBack(ctx context.Context, in *incoming) *refusal.Refusal {
	e.guard.AwaitProbes(ctx, in.subject())
	left, held := e.guard.HeldBack(in.subject())
	if !held {
		return nil
	}
	return refusal.New(refusal.HeldBack, "servers ended that ran this request before (%s)", in.subject().ComputedKey()).WithRetryAfter(left)
}

// brokeOff tells the guard where an attempt broke off. A server that leaves ends anyhow,
// whatever it runs.
func (e *Entry) brokeOff(ctx context.Context, in *incoming, at routing.Candidate, err error) {
	if ctx.Err() != nil || errors.Is(err, routing.ErrNotRun) || errors.Is(err, routing.ErrSilent) {
		return
	}
	works := false
	e.cfg.Replica.View(func(r *ledger.Records) { works = e.takesWork(r.Server(at.Server), at.Incarnation) })
	if works {
		server := incarnation.Name{Server: at.Server, StartMs: int64(at.Incarnation)}
		e.guard.AttemptFailed(in.subject(), server.String(), at.Address)
	}
}

// recordSoon has recorded, by the group, what the guard has found.
func (e *Entry) recordSoon() {
	select {
	case e.suspects <- struct{}{}:
	default:
	}
}

// recordSuspects has the group record what this entry itself finds, so that every entry
// knows it and it outlasts them all. Until that succeeds this entry acts on it alone.
func (e *Entry) recordSuspects() {
	for recorded := uint64(0); ; {
		select {
		case <-e.stop:
			return
		case <-e.suspects:
			recorded = e.recordSince(recorded)
		}
	}
}

// recordSince has all recorded that has changed since a change of the book. It returns up
// to which change that is; less than all only where the entry stops.
func (e *Entry) recordSince(change uint64) uint64 {
	for {
		list, to := e.guard.Suspects().Since(change, quarantine.PartNoted)
		if len(list) == 0 {
			return to
		}
		err := e.propose(list)
		if err == nil {
			change = to
			continue
		}
		e.cfg.Log.Info("suspects not recorded", "count", len(list), "error", err.Error())
		if !e.pause(suspectRetry) {
			return change
		}
	}
}

func (e *Entry) propose(list []*schema.Suspect) error {
	ctx, cancel := context.WithTimeout(context.Background(), suspectWait)
	defer cancel()
	q, now := &schema.RememberSuspects{}, time.Now().UnixMilli()
	for _, s := range list {
		q.Suspects = append(q.Suspects, &schema.KnownSuspect{Suspect: s, AtMs: now})
	}
	_, err := e.cfg.Control.Propose(ctx, &schema.Command{Body: &schema.Command_RememberSuspects{RememberSuspects: q}})
	if err != nil {
		return errors.Newf("record suspects: %w", err)
	}
	return nil
}

// takeSuspects takes in what the group has recorded.
func (e *Entry) takeSuspects() {
	var list []*schema.Suspect
	e.cfg.Replica.View(func(r *ledger.Records) { list = r.Suspects(time.Now()) })
	e.guard.Suspects().Merge(list, true)
}
