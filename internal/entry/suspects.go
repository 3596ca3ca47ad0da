package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"fennelyard/internal/bound"
	"fennelyard/internal/incarnation"
	"fennelyard/internal/ledger"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/refusal"
	"fennelyard/internal/relay"
	"fennelyard/internal/routing"
	"fennelyard/internal/schema"
)

const (
	// proposeTimeout bounds a proposal of suspects to the control group,
	// proposeRetryInterval is the time until the next attempt.
	proposeTimeout       = 2 * time.Second
	proposeRetryInterval = time.Second
)

// keyedRequest returns the request as the guard identifies it.
func (in *incomingRequest) keyedRequest() *quarantine.KeyedRequest {
	if in.keyed == nil {
		in.keyed = quarantine.NewKeyedRequest(quarantine.Request{
			Method: in.method, Host: in.target.name, Target: in.path, Caller: in.customer, Body: in.body,
		}, in.carriers()...)
	}
	return in.keyed
}

// maxCarrierMessages is the maximum number of messages of a conversation that are looked at
// for what crashes servers.
const maxCarrierMessages = 16

// carriers returns what the request shares with others, the narrowest first: messages of its
// conversation, its model and its customer.
func (in *incomingRequest) carriers() []quarantine.Carrier {
	var out []quarantine.Carrier
	messages := in.messages[:min(len(in.messages), maxCarrierMessages)]
	for depth, message := range slices.Backward(messages) {
		id := messageID(message)
		if depth == len(in.messages)-1 {
			out = append(out, quarantine.Carrier{Scope: quarantine.ScopeSession, Name: id})
			continue
		}
		out = append(out,
			quarantine.Carrier{Scope: quarantine.ScopePart, Name: id, Depth: depth},
			quarantine.Carrier{Scope: quarantine.ScopePartAtModel, Name: id, Within: in.target.name, Depth: depth})
	}
	if in.kind == kindModel {
		out = append(out, quarantine.Carrier{Scope: quarantine.ScopeModel, Name: in.target.name})
	}
	return append(out, quarantine.Carrier{Scope: quarantine.ScopeTeam, Name: in.customer})
}

// messageID returns an ID that is the same for equal messages at every entry.
func messageID(message []byte) string {
	return strconv.FormatUint(xxhash.Sum64(message), 16) + "-" + strconv.Itoa(len(message))
}

// verifyEnd reports whether the process that sent a response without a length or chunks still runs once its
// connection was closed. A server that wants nothing from this entry is not asked.
func (e *Entry) verifyEnd(ctx context.Context, in *incomingRequest, at routing.Candidate) relay.Presence {
	start := time.Now()
	presence := relay.PresenceNotProbed
	if e.cooldown(at) == 0 {
		presence = e.sender.Identify(ctx, at.Address, in.id, at.Incarnation)
	}
	e.cfg.Log.Info("response ended with its connection", "server", incarnationOf(at), "request", in.id, "answers", presence.String(),
		"took-ms", time.Since(start).Milliseconds())
	return presence
}

// attemptCompleted records a response that ended regularly. One whose end nothing proves is
// no evidence that the request does not crash servers.
func (e *Entry) attemptCompleted(in *incomingRequest, response *routing.Response) {
	if response.Complete() && response.Status() < http.StatusInternalServerError {
		e.guard.AttemptCompleted(in.keyedRequest(), quarantine.AnyKind)
	}
}

// leaves reports whether a server has announced that it leaves. One that is lost, or whose next incarnation is
// known, has not: it may have crashed.
func (e *Entry) leaves(at routing.Candidate) bool {
	leaving := e.backends.Leaving(at.Server, at.Incarnation)
	e.cfg.Replica.View(func(r *ledger.Records) {
		s := r.Server(at.Server)
		leaving = leaving || s.GetIncarnation() == at.Incarnation && s.GetLeaving()
	})
	return leaving
}

// incarnationOf returns the name of a server's incarnation.
func incarnationOf(at routing.Candidate) string {
	return incarnation.Name{Server: at.Server, StartMs: int64(at.Incarnation)}.String()
}

// serverOf returns a server as the guard knows it. Listed hosts do not know the versions of servers' software.
func serverOf(at routing.Candidate) quarantine.Server {
	return quarantine.Server{ID: incarnationOf(at), Address: at.Address}
}

// checkHeldBack refuses a request that is known to end the servers that run it, and
// returns nil for any other. It waits for the probes of servers at which an attempt
// of the request has just failed.
func (e *Entry) checkHeldBack(ctx context.Context, in *incomingRequest) *refusal.Refusal {
	e.guard.AwaitProbes(ctx, in.keyedRequest())
	left, held := e.guard.HeldBack(in.keyedRequest())
	if !held {
		return nil
	}
	key, scope, _ := in.keyedRequest().HeldBy()
	if scope == quarantine.ScopeRequest.String() {
		return refusal.New(refusal.HeldBack, "servers ended that ran this request before (%s)", key).WithRetryAfter(left)
	}
	return refusal.New(refusal.HeldBack, "servers ended that ran requests with the same %s (%s)", scope, key).WithRetryAfter(left)
}

// reportFailedAttempt reports a server at which an attempt failed to the guard. One at which it was given up
// may still run the request, and crash later. A leaving server is not reported: it ends whatever it runs.
func (e *Entry) reportFailedAttempt(ctx context.Context, in *incomingRequest, at routing.Candidate, err error) {
	if met := bound.Of(err); met != nil {
		e.cfg.Log.Info("response over a bound", "server", at.Server, "address", at.Address, "bound", met.Kind.String(), "limit", met.Limit, "request", in.id)
		e.cfg.Metrics.BoundMet("server", met.Kind.String())
	}
	switch {
	case errors.Is(err, routing.ErrNotRun) || e.leaves(at):
	case ctx.Err() != nil || errors.Is(err, routing.ErrSilent):
		e.guard.AttemptAbandoned(in.keyedRequest(), serverOf(at))
	default:
		e.guard.AttemptFailed(in.keyedRequest(), serverOf(at))
	}
}

// requestRecording triggers recordSuspects.
func (e *Entry) requestRecording() {
	select {
	case e.suspectsDue <- struct{}{}:
	default:
	}
}

// recordSuspects has the control group record the suspects that this entry finds, so
// that every entry knows them and they survive a restart of all entries. Until that
// succeeds, only this entry holds these requests back.
func (e *Entry) recordSuspects() {
	for recorded := uint64(0); ; {
		select {
		case <-e.stop:
			return
		case <-e.suspectsDue:
			recorded = e.recordSince(recorded)
		}
	}
}

// recordSince has the control group record the suspects changed after a change number
// of the suspect set. It returns the number of the last change recorded, which is
// not the latest only if the entry stops.
func (e *Entry) recordSince(change uint64) uint64 {
	for {
		list, to := e.guard.Suspects().Since(change, quarantine.PartOwn)
		if len(list) == 0 {
			return to
		}
		err := e.proposeSuspects(list)
		if err == nil {
			change = to
			continue
		}
		e.cfg.Log.Info("suspects not recorded", "count", len(list), "error", err.Error())
		if !e.sleep(proposeRetryInterval) {
			return change
		}
	}
}

func (e *Entry) proposeSuspects(list []*schema.Suspect) error {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
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

// mergeRecordedSuspects merges the suspects that the control group has recorded.
func (e *Entry) mergeRecordedSuspects() {
	var list []*schema.Suspect
	e.cfg.Replica.View(func(r *ledger.Records) { list = r.Suspects(time.Now()) })
	e.guard.Merge(list, quarantine.SourceControl)
}
