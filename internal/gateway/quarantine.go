package gateway

import (
	"github.com/cockroachdb/errors"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
)

// subject is the request as the guard knows it.
func (x *exchange) subject() *quarantine.KeyedRequest {
	if x.guarded == nil {
		x.guarded = quarantine.NewKeyedRequest(quarantine.Request{
			Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI, Caller: x.call.APIKey, Body: x.body,
		})
	}
	return x.guarded
}

// brokeOff tells the guard where an attempt broke off. What the caller's leaving, the time's
// end or this entry broke off says nothing about the server, and one that leaves ends anyhow,
// whatever it runs.
func (x *exchange) brokeOff(s *server, err error) {
	if !errors.Is(err, relay.ErrInterrupted) || x.paid || x.ctx.Err() != nil || !x.g.fleet.takesWork(s) {
		return
	}
	x.g.guard.AttemptFailed(x.subject(), s.id, s.address)
}

// heldBack refuses a request at once that is known to end the servers that run it. Its
// caller would have the answer that it had before, or none, and whatever ran beside it
// would break off.
func (x *exchange) heldBack() bool {
	left, held := x.g.guard.HeldBack(x.subject())
	if held {
		x.giveUp(OutcomeHeldBack, left)
	}
	return held
}
