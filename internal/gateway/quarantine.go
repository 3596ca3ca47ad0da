package gateway

import (
	"github.com/cockroachdb/errors"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
)

// keyedRequest returns the request with its key, for the guard.
func (x *exchange) keyedRequest() *quarantine.KeyedRequest {
	if x.keyed == nil {
		x.keyed = quarantine.NewKeyedRequest(quarantine.Request{
			Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI, Caller: x.info.APIKey, Body: x.body,
		})
	}
	return x.keyed
}

// reportInterruption reports an interrupted attempt to the guard. An interruption by the
// caller, by the deadline or by this entry proves nothing about the server, and neither does
// one of a server that is leaving, which ends whatever it runs.
func (x *exchange) reportInterruption(s *server, err error) {
	if !errors.Is(err, relay.ErrInterrupted) || x.retryReserved || x.ctx.Err() != nil || !x.g.fleet.isReady(s) {
		return
	}
	x.g.guard.AttemptFailed(x.keyedRequest(), s.id, s.address)
}

// refusedByQuarantine refuses at once a request that is known to end the servers that run it.
// Another attempt would fail in the same way and would interrupt all requests that run beside
// it.
func (x *exchange) refusedByQuarantine() bool {
	retryAfter, quarantined := x.g.guard.HeldBack(x.keyedRequest())
	if quarantined {
		x.fail(OutcomeHeldBack, retryAfter)
	}
	return quarantined
}
