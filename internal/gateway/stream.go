package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

// errGap says that a resumed stream does not go on where the first one ended.
var errGap = errors.New("the resumed stream leaves a gap")

// stream passes a stream on, event by event. When its server fails, a stream
// that may be resumed goes on at another one after the last event that has left;
// the caller sees one answer under the first server's header.
func (x *exchange) stream(s *server, answer *relay.Response, patience *patience, read func()) bool {
	last := x.call.LastEventID
	for {
		err := x.events(answer, &last, func() bool {
			read()
			return patience.begin()
		})
		answer.Close()
		switch {
		case err == nil:
			x.g.fleet.good(s)
			x.g.guard.AttemptCompleted(x.subject())
			x.status, x.outcome = http.StatusOK, OutcomeServed
			return false
		case errors.Is(err, errCallerGone):
			x.cause = err
			x.giveUp(OutcomeCallerGone, 0)
			return false
		case x.g.ended.Err() != nil:
			x.cause = err
			x.giveUp(OutcomeStopping, elsewhereAfter)
			return false
		case x.ctx.Err() != nil:
			x.cause = err
			x.giveUp(OutcomeTimeout, 0)
			return false
		case !x.started:
			x.paid = !patience.begin()
			return x.failedIn(s, err)
		}
		x.cause = err
		x.g.fleet.bad(s, time.Now())
		x.brokeOff(s, err)
		x.tried = append(x.tried, s.id)
		if s, answer = x.resume(last); answer == nil {
			x.giveUp(OutcomeCut, 0)
			return false
		}
	}
}

// events passes events on until the stream ends; nil is a regular end.
func (x *exchange) events(answer *relay.Response, last *int64, begun func() bool) error {
	in := relay.NewEventReader(answer.Body)
	out := http.NewResponseController(x.w)
	for came := time.Now(); ; came = time.Now() {
		b, err := in.Next()
		if x.started {
			x.pause = max(x.pause, time.Since(came))
		}
		if errors.Is(err, io.EOF) {
			if !x.started {
				x.begin(answer)
			}
			return nil
		}
		if err != nil {
			if x.r.Context().Err() != nil {
				return errCallerGone
			}
			return err
		}
		if !begun() {
			return errGivenUp
		}
		if first, to, ok := relay.EventIDs(b); ok {
			if x.started && first != *last+1 {
				return errGap
			}
			*last = to
		}
		if !x.started {
			x.begin(answer)
		}
		if _, err = x.w.Write(b); err == nil {
			err = out.Flush()
		}
		if err != nil {
			return errors.Newf("write event: %v: %w", err, errCallerGone)
		}
	}
}

func (x *exchange) begin(answer *relay.Response) {
	x.pass(answer)
	x.first = time.Since(x.began)
	x.w.WriteHeader(answer.Status)
}

// resume asks another server to go on after an event.
func (x *exchange) resume(last int64) (*server, *relay.Response) {
	for {
		if x.route.GetRepeat() != schema.Repeat_REPEAT_RESUME || x.runs >= int(x.route.GetMaxAttempts()) {
			return nil, nil
		}
		x.g.guard.AwaitProbes(x.ctx, x.subject())
		if _, held := x.g.guard.HeldBack(x.subject()); held {
			return nil, nil
		}
		if !x.mayResume() {
			return nil, nil
		}
		left := time.Until(x.deadline)
		s := x.g.fleet.choose(x.pool, &x.call, x.tried, time.Now(), x.random)
		if s == nil || left < minLeft || !x.g.budget(x.pool).spend(time.Now(), x.g.entryCount()) {
			return nil, nil
		}
		x.server = s
		x.attempts++
		x.tried = append(x.tried, s.id)
		answer, err := x.g.cfg.Sender.Send(x.ctx, s.address, x.request(left, last))
		if err != nil {
			x.cause = err
			x.g.fleet.bad(s, time.Now())
			x.brokeOff(s, err)
			if !errors.Is(err, relay.ErrNotSent) {
				x.runs++
			}
			continue
		}
		v := x.g.cfg.Codec.ParseResponse(answer.Status, answer.Header)
		if v.NotRun {
			answer.Close()
			continue
		}
		x.runs++
		if answer.Status == http.StatusOK && v.Signed {
			return s, answer
		}
		answer.Close()
	}
}
