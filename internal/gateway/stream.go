package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/drain"
	"fennelyard/internal/path"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

// errGap is returned if a resumed stream does not continue where the first one ended.
var errGap = errors.New("the resumed stream does not continue after the last event")

// relayStream forwards a stream event by event. If its server fails, a resumable stream
// continues at another server after the last event that was sent; the caller receives one
// response with the header of the first server.
func (x *exchange) relayStream(s *server, response *relay.Response, timer *attemptTimer, onFirstEvent func()) bool {
	lastID := x.info.LastEventID
	for {
		err := x.relayEvents(response, &lastID, func() bool {
			onFirstEvent()
			return timer.stop()
		})
		response.Close()
		x.abandoned = err != nil
		switch {
		case err == nil:
			x.g.fleet.recordSuccess(s)
			x.attemptCompleted(s)
			x.status, x.outcome = http.StatusOK, OutcomeServed
			return false
		case errors.Is(err, errCallerGone):
			x.reportInterruption(s, err)
			x.cause = err
			x.fail(OutcomeCallerGone, 0)
			return false
		case x.g.aborted.Err() != nil:
			x.cause = err
			x.fail(OutcomeStopping, drain.RetryAfter)
			return false
		case x.timedOut():
			x.reportInterruption(s, err)
			x.cause = err
			x.fail(OutcomeTimeout, 0)
			return false
		case !x.started:
			x.retryReserved = !timer.stop()
			return x.responseFailed(s, err)
		}
		x.cause = err
		x.g.fleet.recordFailure(s, time.Now())
		x.reportInterruption(s, err)
		x.excluded = append(x.excluded, s.id)
		x.bindTo(s)
		var ended func()
		if s, response, ended = x.resume(lastID); response == nil {
			x.fail(OutcomeCut, 0)
			return false
		}
		resumedAt := s
		defer func() {
			if x.abandoned {
				x.g.fleet.requestAbandoned(resumedAt, time.Now())
			}
			ended()
		}()
	}
}

// relayEvents forwards events until the stream ends; it returns nil at the regular end. proceed
// is called before events are sent and returns false if the attempt was canceled.
func (x *exchange) relayEvents(response *relay.Response, lastID *int64, proceed func() bool) error {
	in := relay.NewEventReader(relay.EventReaderConfig{In: response.Body, Reserve: func() (func(), error) {
		return x.g.largeEvents.Reserve(x.ctx)
	}})
	defer in.Close()
	out := http.NewResponseController(x.w)
	for waitStart := time.Now(); ; waitStart = time.Now() {
		events, err := in.Next()
		if x.started {
			x.maxPause = max(x.maxPause, time.Since(waitStart))
		}
		if errors.Is(err, io.EOF) {
			if !x.started {
				x.startStream(response)
			}
			return nil
		}
		if err != nil {
			if x.r.Context().Err() != nil {
				return errCallerGone
			}
			return err
		}
		if !proceed() {
			return errAttemptTimeout
		}
		if first, last, ok := relay.EventIDs(events); ok {
			if x.started && first != *lastID+1 {
				return errGap
			}
			*lastID, x.lastEventID = last, last
		}
		if !x.started {
			x.awaitOrigin()
			x.streamBegun()
			x.startStream(response)
		}
		if _, err = x.w.Write(events); err == nil {
			err = out.Flush()
		}
		if err != nil {
			return errors.Newf("write event: %v: %w", err, errCallerGone)
		}
	}
}

func (x *exchange) startStream(response *relay.Response) {
	x.copyHeader(response)
	x.timeToFirstByte = time.Since(x.startTime)
	x.w.WriteHeader(response.Status)
}

// resume continues the stream at another server after the event lastID. It returns nil if no
// server can. ended must be called at the end of the stream.
func (x *exchange) resume(lastID int64) (s *server, response *relay.Response, ended func()) {
	// reserved is set while a retry has been taken from the budget and nothing has been sent for it.
	reserved := false
	for {
		if x.route.GetRepeat() != schema.Repeat_REPEAT_RESUME || x.runs >= int(x.route.GetMaxAttempts()) {
			return nil, nil, nil
		}
		x.g.guard.AwaitProbes(x.ctx, x.keyedRequest())
		if _, quarantined := x.heldBack(); quarantined {
			return nil, nil, nil
		}
		if !x.keyAllowsResume() {
			return nil, nil, nil
		}
		remaining := time.Until(x.deadline)
		c := x.g.fleet.chooseWithin(x.pool, &x.info, x.excluded, time.Now(), x.random)
		s = c.server
		if s == nil && c.awaitable() {
			if !x.awaitRelease(c, x.beforeDeadline(time.Now().Add(x.callerTimeout()))) {
				return nil, nil, nil
			}
			continue
		}
		if s == nil || remaining < minTimeLeft || !reserved && !x.g.retryBudget(x.pool).withdraw(time.Now(), x.g.sharingEntries()) {
			return nil, nil, nil
		}
		reserved = true
		stamp, admitted := x.g.fleet.admit(s, &x.info)
		if !admitted {
			continue
		}
		x.server = s
		x.attempts++
		ended = x.g.fleet.requestResumed(s)
		response, responseInfo, err := x.send(x.ctx, s, remaining, lastID, stamp)
		reserved = errors.Is(err, relay.ErrNotSent)
		if err != nil || responseInfo.NotRun {
			if err != nil && !errors.Is(err, relay.ErrNotSent) {
				x.g.fleet.requestAbandoned(s, time.Now())
			}
			ended()
		}
		if errors.IsAny(err, relay.ErrWithheld, relay.ErrNotForwarded) || responseInfo.Cooldown.Wait > 0 && responseInfo.NotRun {
			if response != nil {
				response.Close()
			}
			continue
		}
		if errors.Is(err, path.ErrNoPath) {
			x.cause = err
			x.attempts--
			return nil, nil, nil
		}
		x.excluded = append(x.excluded, s.id)
		if err != nil {
			x.cause = err
			x.g.fleet.recordFailure(s, time.Now())
			x.reportInterruption(s, err)
			if !errors.Is(err, relay.ErrNotSent) {
				x.runs++
			}
			continue
		}
		if responseInfo.NotRun {
			response.Close()
			if !responseInfo.Misdirected {
				x.g.fleet.rejectedForRoom(s, time.Now())
			}
			continue
		}
		x.runs++
		if response.Status == http.StatusOK && responseInfo.Signed {
			return s, response, ended
		}
		response.Close()
		ended()
	}
}
