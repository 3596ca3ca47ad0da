package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/cooldown"
	"fennelyard/internal/path"
	"fennelyard/internal/refusal"
	"fennelyard/internal/relay"
	"fennelyard/internal/routing"
)

// send sends a call to a server unless it has asked for a cooldown, and applies the cooldown that
// the response states. The error wraps routing.ErrCooldown if the call was not sent, also if the
// request is held back meanwhile.
func (e *Entry) send(ctx context.Context, in *incomingRequest, to routing.Candidate, call routing.Call) (*routing.Response, error) {
	if !e.table.Admit(time.Now(), to) {
		return nil, errors.Newf("server %q: %w", to.Server, routing.ErrCooldown)
	}
	call.MaySend = func() bool {
		_, held := e.guard.HeldBack(in.keyedRequest())
		return !held && e.cooldown(to) == 0 && e.mayBeSent(in)
	}
	call.VerifyEnd = func() relay.Presence { return e.verifyEnd(ctx, in, to) }
	sentAt := time.Now()
	response, err := e.sender.Send(ctx, call)
	if err != nil {
		return nil, errors.Newf("server %q: %w", to.Server, err)
	}
	statement := cooldown.ParseResponse(response.Status(), response.Header(), time.Now())
	if statement.Wait > 0 && response.Via() != "" {
		// For the server the request came from the entry that carried it.
		e.stateCooldown(response.Via(), to.ServerKey(), statement.Wait)
	}
	e.statementReceived(to, statement, sentAt, call.RequestID)
	return response, nil
}

// cooldown returns how long a server must get no request.
func (e *Entry) cooldown(of routing.Candidate) time.Duration {
	return e.table.Cooldown(time.Now(), of.ServerKey())
}

// statementReceived applies the cooldown that the response to a request states.
func (e *Entry) statementReceived(from routing.Candidate, s cooldown.Statement, sentAt time.Time, request string) {
	if s.Unreadable {
		e.cfg.Log.Info("server cooldown not read", "server", from.ServerKey(), "request", request)
	}
	wait, changed := e.table.ObserveStatement(time.Now(), from, s, sentAt)
	if !changed {
		return
	}
	e.requestCapacityRefresh()
	if wait == 0 {
		e.cfg.Log.Info("server takes requests again", "server", from.ServerKey(), "request", request)
		return
	}
	e.cfg.Log.Info("server states a cooldown", "server", from.ServerKey(), "for-ms", s.Wait.Milliseconds(),
		"no-request-for-ms", wait.Milliseconds(), "request", request)
	time.AfterFunc(wait, e.requestCapacityRefresh)
}

// requestCapacityRefresh makes the capacity of all queues be computed again.
func (e *Entry) requestCapacityRefresh() {
	select {
	case e.capacityDue <- struct{}{}:
	default:
	}
}

// withheld reports whether a call failed because its server has asked for a cooldown.
func withheld(err error) bool { return errors.Is(err, routing.ErrCooldown) }

// noPathRefusal returns the refusal of a request at an entry that reaches no server.
func noPathRefusal(err error) *refusal.Refusal {
	return refusal.New(refusal.NoPath, "this entry reaches no server: %v", err).WithRetryAfter(path.RetryInterval)
}
