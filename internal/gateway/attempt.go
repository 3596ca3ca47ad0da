package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/drain"
	"fennelyard/internal/path"
	"fennelyard/internal/ratelimit"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

// attempt sends the request to the chosen server and handles its response. It reports whether
// another attempt should follow.
func (x *exchange) attempt(remaining time.Duration) bool {
	s := x.server
	stamp, admitted := x.g.fleet.admit(s, &x.info)
	if !admitted {
		// Another request took the permit, or the server has asked for a cooldown since it was chosen.
		// A retry has already been taken from the budget.
		x.retryReserved = x.attempts > 0
		return x.hasTimeLeft()
	}
	x.attempts++
	x.abandoned = false
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	uncachedTokens, inFlight, pendingBefore := x.g.fleet.requestSent(s, &x.info)
	x.inFlightBefore, x.pendingPrefillBefore = inFlight, pendingBefore
	if x.info.Model != "" {
		x.g.demand.addPrefillTime(x.target(), x.g.fleet.prefillTime(x.pool, uncachedTokens))
	}
	prefilled := false
	markPrefilled := func() {
		if !prefilled {
			prefilled = true
			x.g.fleet.prefillDone(s, uncachedTokens)
		}
	}
	defer markPrefilled()
	timer := x.newAttemptTimer(cancel, remaining)
	defer timer.stop()
	sentAt := time.Now()
	defer func() {
		took := time.Since(sentAt)
		if x.abandoned {
			x.g.fleet.requestAbandoned(s, time.Now())
		}
		x.g.fleet.requestEnded(s, &x.info, took)
		if x.info.Model != "" {
			x.g.demand.addRunTime(x.target(), took)
		}
	}()
	onFirstEvent := func() {
		// A sample is taken only at a server without other pending prefill: that of other entries is
		// known only with a delay and would distort the sample.
		if !prefilled && x.info.Model != "" && pendingBefore == 0 {
			x.g.fleet.observeFirstEvent(x.pool, uncachedTokens, time.Since(sentAt))
		}
		markPrefilled()
	}
	response, responseInfo, err := x.send(ctx, s, remaining, 0, stamp)
	if errors.IsAny(err, relay.ErrWithheld, relay.ErrNotForwarded) {
		x.attempts--
		x.retryReserved = !timer.stop() || x.attempts > 0
		return x.hasTimeLeft()
	}
	if err != nil {
		x.retryReserved = !timer.stop()
		return x.attemptFailed(s, err)
	}
	defer response.Close()
	if responseInfo.NotRun {
		x.retryReserved = !timer.stop()
		return x.attemptNotRun(s, response, responseInfo)
	}
	x.runs++
	defer func() { x.g.fleet.requestServed(x.pool, time.Since(sentAt)) }()
	if x.route.GetStream() && response.Status == http.StatusOK && responseInfo.Signed {
		return x.relayStream(s, response, timer, onFirstEvent)
	}
	if x.retryReserved = !timer.stop(); x.retryReserved {
		return x.responseFailed(s, errAttemptTimeout)
	}
	return x.relayResponse(s, response, responseInfo, func() { x.g.latency(x.pool).observe(time.Since(sentAt)) })
}

// send sends the request to a server, and applies what the response states about the server.
// stamp is what is known of the server's limit.
func (x *exchange) send(ctx context.Context, s *server, remaining time.Duration, lastEventID int64, stamp ratelimit.Stamp) (*relay.Response, ResponseInfo, error) {
	request := x.request(remaining, lastEventID)
	// A connection may wait for a server that starts: only once it is established the request is sent
	// to a process that runs.
	var sentAt time.Time
	request.MaySend = func(via string) bool {
		sentAt, x.via = time.Now(), via
		x.sentAt, x.rosterAge = sentAt, sentAt.Sub(x.g.subscriber.confirmedAt())
		if _, held := x.g.guard.Hold(x.keyedRequest()).At(s.kind); held {
			return false
		}
		return x.g.fleet.maySend(s) && x.mayBeSent(sentAt)
	}
	request.StopsAt = relay.StopTime(x.deadline)
	request.VerifyEnd = func() relay.Presence { return x.verifyEnd(s, sentAt) }
	response, err := x.g.cfg.Sender.Send(ctx, s.address, request)
	if err != nil {
		return nil, ResponseInfo{}, errors.Newf("send to server %s: %w", s.id, err)
	}
	x.framing = response.Framing
	responseInfo := x.g.cfg.Codec.ParseResponse(response.Status, response.Header)
	x.statementsReceived(s, responseInfo, stamp, sentAt)
	return response, responseInfo, nil
}

func (x *exchange) request(remaining time.Duration, lastEventID int64) *relay.Request {
	h := relay.EndToEndHeader(x.r.Header)
	x.g.cfg.Codec.SetForwardHeader(h, ForwardInfo{
		Server: x.server.server, Timeout: remaining, LastEventID: lastEventID, Priority: x.priority(), Team: x.teamName(),
	})
	id := x.info.ID
	return &relay.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		MatchesResponse: func(header http.Header) bool { return x.g.cfg.Codec.MatchesRequest(header, id) },
	}
}

// attemptFailed handles an attempt without a response. It reports whether another attempt should
// follow.
func (x *exchange) attemptFailed(s *server, err error) bool {
	x.cause, x.abandoned = err, !errors.Is(err, relay.ErrNotSent)
	if x.r.Context().Err() != nil {
		x.reportInterruption(s, err)
		x.fail(OutcomeCallerGone, 0)
		return false
	}
	if x.g.aborted.Err() != nil {
		x.attemptAborted(err)
		return false
	}
	if errors.Is(err, path.ErrNoPath) {
		x.attempts--
		x.fail(OutcomeNoPath, path.RetryInterval)
		return false
	}
	if errors.Is(err, relay.ErrUnprovenEnd) && x.timedOut() {
		x.runs++
		x.reportInterruption(s, err)
		x.fail(OutcomeTimeout, 0)
		return false
	}
	x.g.fleet.recordFailure(s, time.Now())
	x.reportInterruption(s, err)
	x.excluded = append(x.excluded, s.id)
	if errors.Is(err, relay.ErrNotSent) {
		x.attempts--
		return x.hasTimeLeft()
	}
	x.runs++
	return x.hasTimeLeft() && x.mayRunAgain()
}

// attemptAborted responds to a request whose attempt was interrupted by the stop of this entry.
func (x *exchange) attemptAborted(err error) {
	if !errors.Is(err, relay.ErrNotSent) {
		x.runs++
	}
	x.fail(OutcomeStopping, drain.RetryAfter)
}

// mayRunAgain reports whether a request that may have run may be sent again, and otherwise
// sends the final response.
func (x *exchange) mayRunAgain() bool {
	if x.route.GetRepeat() == schema.Repeat_REPEAT_NEVER || x.runs >= int(max(x.route.GetMaxAttempts(), 1)) {
		x.fail(OutcomeUnknown, 0)
		return false
	}
	return true
}

// attemptNotRun handles a server's statement that it did not run the request. It reports whether
// another attempt should follow.
func (x *exchange) attemptNotRun(s *server, response *relay.Response, responseInfo ResponseInfo) bool {
	x.cause = errors.Newf("server %s: status %d, not run", s.id, response.Status)
	if !responseInfo.Misdirected {
		x.g.fleet.rejectedForRoom(s, time.Now())
	}
	if responseInfo.Cooldown.Wait > 0 {
		// After the cooldown the server may serve the request.
		return x.mayTryAfterRejection()
	}
	if responseInfo.Misdirected && x.info.Model != "" {
		x.g.fleet.markAbsent(s, x.info.Model, x.info.Adapter, time.Now())
		return x.hasTimeLeft()
	}
	if !responseInfo.Misdirected && x.info.Adapter != "" && x.attempts < maxAdapterAttempts {
		// The adapter may still be loading.
		x.g.fleet.markAbsent(s, x.info.Model, x.info.Adapter, time.Now())
		return x.hasTimeLeft()
	}
	x.excluded = append(x.excluded, s.id)
	return x.mayTryAfterRejection()
}

// mayTryAfterRejection reports whether a request that servers have rejected may be sent to another
// one, and otherwise sends the final response.
func (x *exchange) mayTryAfterRejection() bool {
	if x.attempts < maxBusyAttempts {
		return x.hasTimeLeft()
	}
	retryAfter := x.g.latency(x.pool).retryAfter()
	if c := x.g.fleet.chooseWithin(x.pool, &x.info, nil, time.Now(), x.random); c.server == nil {
		retryAfter = max(retryAfter, c.availableIn())
	}
	x.fail(OutcomeBusy, retryAfter)
	return false
}

const (
	// maxAdapterAttempts is the number of attempts at a server that is loading the adapter.
	maxAdapterAttempts = 3
	// maxBusyAttempts is the number of full servers that a request is tried at: with two full
	// servers in a pool the others are most often full as well.
	maxBusyAttempts = 3
)
