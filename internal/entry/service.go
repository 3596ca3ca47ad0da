package entry

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"fennelyard/internal/admission"
	"fennelyard/internal/bound"
	"fennelyard/internal/claim"
	"fennelyard/internal/ledger"
	"fennelyard/internal/memory"
	"fennelyard/internal/refusal"
	"fennelyard/internal/relay"
	"fennelyard/internal/routing"
	"fennelyard/internal/schema"
	"fennelyard/internal/tcp"
)

// lateResponseGrace is the time after the caller's deadline for which the response to
// a claimed request is still awaited, so that a retry can return it.
const lateResponseGrace = 30 * time.Second

// servicesPrefix is the path prefix of services.
const servicesPrefix = "/services/"

// settleMargin is the time after the deadline for recording the outcome of a request
// refused at its deadline, so that the caller receives the outcome not-run rather
// than unknown.
const settleMargin = 100 * time.Millisecond

func (e *Entry) serveService(c echo.Context) error {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	in, refused := e.checkRequest(c, kindService)
	defer in.release()
	if refused == nil {
		refused = e.resolveTarget(c, in, c.Param("service"))
	}
	if refused != nil {
		return e.refuse(c, in, e.refusalBeforeClaim(in, refused))
	}
	in.path = pathWithin(c.Request().URL, c.Param("service"))
	if isIdempotent(c.Request().Method, in.target.service) {
		return e.serveRepeatable(c, in)
	}
	return e.serveUnrepeatable(c, in)
}

// pathWithin returns the path and query sent to a service, escaped as the caller
// sent them.
func pathWithin(u *url.URL, service string) string {
	path := strings.TrimPrefix(u.EscapedPath(), servicesPrefix+service)
	if path == "" {
		path = "/"
	}
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}

func isIdempotent(method string, s *schema.Service) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return slices.Contains(s.GetIdempotentMethods(), method)
}

// refusalBeforeClaim returns a refusal that is made before the key is looked up in
// the claims: its outcome is unknown unless this is the first attempt.
func (e *Entry) refusalBeforeClaim(in *incomingRequest, r *refusal.Refusal) *refusal.Refusal {
	if in.key == "" {
		return r
	}
	return claim.UnknownUnlessFirst(r, in.firstAttempt)
}

// serveUnrepeatable serves a request that must not run twice: it is claimed, then
// queued, then sent on a new connection.
func (e *Entry) serveUnrepeatable(c echo.Context, in *incomingRequest) error {
	if in.key == "" {
		return e.refuse(c, in, refusal.New(refusal.KeyMissing,
			"a %s request needs a header %s that names it across resends", c.Request().Method, HeaderIdempotencyKey))
	}
	if refused := e.refusalForStop(in); refused != nil {
		return e.refuse(c, in, e.refusalBeforeClaim(in, refused))
	}
	q := c.Request()
	grant, recorded, refused := e.claims.Begin(q.Context(), claim.Request{
		Customer: in.customer, Key: in.key, Method: q.Method, Path: in.target.name + in.path, Body: in.body,
		Deadline: in.deadline, First: in.firstAttempt,
	})
	if refused != nil {
		return e.refuse(c, in, refused)
	}
	if recorded != nil {
		c.Response().Header().Set(HeaderReplayed, "true")
		return e.writeClaimedResponse(c, in, recorded)
	}
	claimed := &claimedRequest{e: e, in: in, grant: grant, request: q, result: make(chan claimedResult, 1), callerGone: make(chan struct{})}
	// The request continues after its caller disconnects: its outcome must be
	// recorded all the same.
	in.handedOver = true
	defer close(claimed.callerGone)
	e.claimedRuns.Add(1)
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		defer e.claimedRuns.Add(-1)
		defer in.memory.Release()
		claimed.run(context.WithoutCancel(q.Context()))
	}()
	return e.awaitClaimed(c, in, claimed)
}

// awaitClaimed writes the result of a claimed request, or a refusal with an unknown
// outcome if there is none by the deadline.
func (e *Entry) awaitClaimed(c echo.Context, in *incomingRequest, claimed *claimedRequest) error {
	timer := time.NewTimer(time.Until(in.deadline) + settleMargin)
	defer timer.Stop()
	select {
	case r := <-claimed.result:
		if r.refused != nil {
			return e.refuse(c, in, r.refused)
		}
		if r.rest != nil {
			return e.forwardClaimed(c, in, claimed, r)
		}
		return e.writeClaimedResponse(c, in, r.response)
	case <-e.aborted.Done():
		return e.refuse(c, in, refusal.New(refusal.OutcomeUnknown,
			"this entry stops while the request is under way; send it again with the same key to learn its outcome").
			WithOutcome(refusal.Unknown).WithRetryAfter(time.Second))
	case <-timer.C:
		return e.refuse(c, in, refusal.New(refusal.OutcomeUnknown,
			"the deadline passed while the request was under way; send it again with the same key to learn its outcome").
			WithOutcome(refusal.Unknown).WithRetryAfter(time.Second))
	}
}

func (e *Entry) writeClaimedResponse(c echo.Context, in *incomingRequest, response *schema.Answer) error {
	e.cfg.Metrics.Request(in.kind, int(response.GetStatus()))
	e.cfg.Metrics.FirstByte(in.kind, time.Since(in.received), false)
	c.Response().Header().Set(routing.HeaderRequestID, in.id)
	c.Response().Header().Set(routing.HeaderOutcome, refusal.Ran.String())
	return writeHeld(c, int(response.GetStatus()), response.GetContentType(), response.GetBody())
}

// forwardClaimed forwards a response that is too large to be held, as it comes.
func (e *Entry) forwardClaimed(c echo.Context, in *incomingRequest, claimed *claimedRequest, r claimedResult) error {
	e.cfg.Metrics.Request(in.kind, int(r.response.GetStatus()))
	e.cfg.Metrics.FirstByte(in.kind, time.Since(in.received), false)
	c.Response().Header().Set(routing.HeaderRequestID, in.id)
	c.Response().Header().Set(routing.HeaderOutcome, refusal.Ran.String())
	if err := e.forwardAsItComes(c, in, r.rest, r.response.GetBody(), r.memory); err != nil {
		e.logCutResponse(in, r.from, err)
		if errors.Is(err, relay.ErrInterrupted) {
			claimed.forwardErr = err
			e.reportFailedAttempt(c.Request().Context(), in, r.from, err)
		}
		tcp.AbortResponse(c.Response())
	}
	e.attemptCompleted(in, r.rest)
	return nil
}

type claimedResult struct {
	response *schema.Answer
	refused  *refusal.Refusal
	// rest is the response of the server from of which the body of response is the first part, in memory;
	// nil if that is the whole. It is open until the caller's request has ended.
	rest   *routing.Response
	from   routing.Candidate
	memory *memory.Share
}

// claimedRequest is a claimed request, which is run at most once.
type claimedRequest struct {
	e       *Entry
	in      *incomingRequest
	grant   *claim.Grant
	request *http.Request
	// result receives exactly one value.
	result chan claimedResult
	// callerGone is closed once the caller's request has ended.
	callerGone chan struct{}
	// forwardErr is the error with which the server broke off a response that was handed over, nil for none; it is set
	// before callerGone is closed. handedOver is set once the caller's request with it has ended.
	forwardErr error
	handedOver bool
}

func (r *claimedRequest) run(ctx context.Context) {
	e, in := r.e, r.in
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(e.aborted, cancel)()
	ticket, refused := e.enqueue(in)
	if refused != nil {
		r.settleNotRun(refused)
		return
	}
	served := false
	defer func() { ticket.Release(served) }()
	exclude := map[string]bool{}
	for {
		if refused := e.awaitAdmission(ctx, in, ticket); refused != nil {
			r.settleNotRun(refused)
			return
		}
		if refused := e.refusalForStop(in); refused != nil {
			r.settleNotRun(refused)
			return
		}
		if refused := e.checkHeldBack(ctx, in); refused != nil {
			r.settleNotRun(refused)
			return
		}
		chosen, ok := r.pickServer(exclude)
		if !ok {
			refused := r.awaitServer(exclude)
			if refused != nil {
				r.settleNotRun(refused)
				return
			}
			ticket.Requeue()
			continue
		}
		outcome, response, err := r.send(ctx, chosen)
		if outcome == refusal.NotRun && withoutPath(err) {
			r.settleNotRun(noPathRefusal(err))
			return
		}
		if outcome == refusal.NotRun {
			// The server is proved not to have run the request: another one may be
			// tried under the same claim.
			e.cfg.Metrics.Retry()
			if e.cooldown(chosen) == 0 {
				exclude[chosen.Server] = true
			}
			ticket.Requeue()
			continue
		}
		served = response != nil || r.handedOver
		if served {
			e.durations.Observe(in.durationKind(), time.Since(in.received))
		}
		if !r.handedOver {
			r.settle(outcome, response, err)
		}
		return
	}
}

func (r *claimedRequest) pickServer(exclude map[string]bool) (routing.Candidate, bool) {
	a := attempts{e: r.e, in: r.in, exclude: exclude}
	return a.pickReplica()
}

// awaitServer waits before the request returns to the queue because every server
// was tried or is full, or returns a refusal.
func (r *claimedRequest) awaitServer(exclude map[string]bool) *refusal.Refusal {
	if len(exclude) > 0 {
		clear(exclude)
		if !r.e.budget.TryWithdraw() {
			return refusal.New(refusal.BackendFailed, "every server refused").WithRetryAfter(time.Second)
		}
	}
	r.e.refreshCapacity([]admission.Demand{{Target: r.in.target.name}})
	if !r.e.sleep(noReplicaRetryDelay) || time.Now().After(r.in.deadline) {
		return refusal.New(refusal.DeadlinePassed, "no server was free before the deadline")
	}
	return nil
}

// send sends the request to a server. It returns NotRun only if the server is proved
// not to have run it; the request may have run in every other case.
func (r *claimedRequest) send(ctx context.Context, to routing.Candidate) (refusal.Outcome, *schema.Answer, error) {
	e := r.e
	ctx, cancel := context.WithDeadline(ctx, r.in.deadline.Add(lateResponseGrace))
	defer cancel()
	ctx, span := e.cfg.Tracer.Start(ctx, "dispatch")
	defer span.End()
	call := e.call(ctx, r.request, r.in, to)
	call.NewConnection = true
	response, err := e.send(ctx, r.in, to, call)
	if withheld(err) || withoutPath(err) {
		e.table.RecordResult(time.Now(), to, r.in.target.name, r.in.body, routing.Result{NotSent: true})
		return refusal.NotRun, nil, err
	}
	if err != nil {
		e.table.RecordResult(time.Now(), to, r.in.target.name, r.in.body, routing.Result{Reported: -1})
		e.reportFailedAttempt(ctx, r.in, to, err)
		if errors.Is(err, routing.ErrNotRun) {
			return refusal.NotRun, nil, err
		}
		return refusal.Unknown, nil, err
	}
	defer response.Close()
	if response.NotRun() {
		e.table.RecordResult(time.Now(), to, r.in.target.name, r.in.body, routing.Result{OK: true, Reported: response.Outstanding()})
		return refusal.NotRun, nil, nil
	}
	share := e.memory.NewShare()
	defer share.Release()
	body, complete, err := share.Read(response.Body(), response.Length(), bound.HeldResponseBytes)
	// The request is at its server until the end of the response.
	defer func() {
		e.table.RecordResult(time.Now(), to, r.in.target.name, r.in.body, routing.Result{
			OK: err == nil, FirstByte: response.FirstByte(), Reported: response.Outstanding(),
		})
	}()
	if err != nil {
		e.reportFailedAttempt(ctx, r.in, to, err)
		// The server sent a response, so the request ran; the response is
		// incomplete.
		return refusal.Ran, nil, err
	}
	answer := &schema.Answer{Status: uint32(response.Status()), ContentType: response.Header().Get("Content-Type"), Body: body}
	if !complete {
		err = r.handOver(claimedResult{response: answer, rest: response, from: to, memory: share})
		return refusal.Ran, nil, nil
	}
	e.attemptCompleted(r.in, response)
	return refusal.Ran, answer, nil
}

// handOver records that the request ran, and lets its caller have a response that is too large to be held. It
// returns once the caller's request has ended, with the error with which the server broke the response off, nil for
// none.
func (r *claimedRequest) handOver(result claimedResult) error {
	r.e.claims.Settle(r.grant, schema.ClaimOutcome_CLAIM_OUTCOME_DONE, &schema.Answer{Status: result.response.GetStatus(), Omitted: true})
	r.result <- result
	<-r.callerGone
	r.handedOver = true
	return r.forwardErr
}

// respond lets the caller have the result. The request's body is no longer needed: its caller may send the next one as
// soon as it has the response.
func (r *claimedRequest) respond(result claimedResult) {
	r.in.memory.Release()
	r.result <- result
}

func (r *claimedRequest) settleNotRun(refused *refusal.Refusal) {
	r.e.claims.Settle(r.grant, schema.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, nil)
	r.respond(claimedResult{refused: refused})
}

// recordedAnswer returns what is recorded of a response: a body that is not kept is not sent to the log either.
func recordedAnswer(a *schema.Answer) *schema.Answer {
	if len(a.GetBody()) <= ledger.MaxAnswerBytes {
		return a
	}
	return &schema.Answer{Status: a.GetStatus(), ContentType: a.GetContentType(), Omitted: true}
}

// settle records the outcome before the caller receives it, so that a retry after a
// crash of this entry finds it.
func (r *claimedRequest) settle(outcome refusal.Outcome, response *schema.Answer, err error) {
	switch {
	case response != nil:
		r.e.claims.Settle(r.grant, schema.ClaimOutcome_CLAIM_OUTCOME_DONE, recordedAnswer(response))
		r.respond(claimedResult{response: response})
	case outcome == refusal.Ran:
		r.e.claims.Settle(r.grant, schema.ClaimOutcome_CLAIM_OUTCOME_DONE, &schema.Answer{Omitted: true})
		r.respond(claimedResult{refused: refusal.New(refusal.BackendFailed,
			"the request ran; its answer was cut off: %v", err).WithOutcome(refusal.Ran)})
	default:
		r.e.claims.Settle(r.grant, schema.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN, nil)
		r.respond(claimedResult{refused: refusal.New(refusal.OutcomeUnknown,
			"the connection to the server broke: %v", err).WithOutcome(refusal.Unknown)})
	}
}
