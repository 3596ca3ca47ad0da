package entry

import (
	"context"
	"time"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/ledger"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/refusal"
	"fennelyard/internal/routing"
	"fennelyard/internal/schema"
	"github.com/cockroachdb/errors"
)

const (
	// suspectWait is how long the group may take to record suspects, and suspectRetry the
	// time between two tries.
	suspectWait  = 2 * time.Second
	suspectRetry = time.Second
)

// asRepeated is what stays the same when the caller repeats a request.
func (in *incoming) asRepeated() quarantine.Request {
	return quarantine.Request{
		Method: in.method, Host: in.target.name, Target: in.path, Caller: in.customer, Body: in.body,
	}
}

// heldBack refuses a request that is known to end the servers that run it; nil: it is not.
// It is looked at before each attempt: the word may come while it waits, or from its own
// last attempt.
func (e *Entry) heldBack(in *incoming) *refusal.Refusal {
	if e.book.Empty() || !e.book.Suspects(in.asRepeated().Hint()) {
		return nil
	}
	key := in.asRepeated().Key()
	left, held := e.book.Held(key)
	if !held {
		return nil
	}
	if e.completed.Lately(in.asRepeated()) {
		// Others have met servers that ended; here it has run to its end.
		e.clear(key)
		return nil
	}
	return refusal.New(refusal.HeldBack, "servers ended that ran this request before (%s)", key).After(left)
}

// brokeOff has the end of a server looked into at which an attempt broke off. A server
// that leaves ends anyhow, whatever it runs.
func (e *Entry) brokeOff(ctx context.Context, in *incoming, at routing.Candidate, err error) {
	if ctx.Err() != nil || errors.Is(err, routing.ErrNotRun) || errors.Is(err, routing.ErrSilent) {
		return
	}
	if e.completed.Lately(in.asRepeated()) {
		return
	}
	works := false
	e.cfg.Replica.View(func(r *ledger.Records) { works = e.takesWork(r.Server(at.Server), at.Incarnation) })
	if works {
		server := incarnation.Name{Server: at.Server, Born: int64(at.Incarnation)}
		e.inquest.BrokeOff(server.String(), at.Address, in.asRepeated().Key())
	}
}

// ranWhole notes that a server lived through a request.
func (e *Entry) ranWhole(in *incoming) {
	e.completed.Note(in.asRepeated())
	if !e.book.Empty() && e.book.Suspects(in.asRepeated().Hint()) {
		e.clear(in.asRepeated().Key())
	}
}

// clear notes, and has recorded, that a request does not end servers. It reports whether
// that is news.
func (e *Entry) clear(key quarantine.Key) bool {
	news := e.book.Clear(key)
	if news {
		e.recordSoon()
	}
	return news
}

// accuse notes that a server ended under requests.
func (e *Entry) accuse(server string, keys []quarantine.Key) {
	for _, key := range keys {
		e.book.Accuse(key, server)
	}
	e.recordSoon()
}

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
		list, to := e.book.Since(change, quarantine.PartNoted)
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
	e.book.Take(list, true)
}
