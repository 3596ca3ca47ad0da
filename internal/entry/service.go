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
	"fennelyard/internal/claim"
	"fennelyard/internal/refusal"
	"fennelyard/internal/routing"
	"fennelyard/internal/schema"
)

// lateGrace is how long the answer to a claimed request is still awaited after
// the caller's deadline, so that a resend can be given it.
const lateGrace = 30 * time.Second

// servicesPrefix is the path under which services are reached.
const servicesPrefix = "/services/"

// answerMargin lets the record of a request that was refused at its deadline
// come back first, so that the caller is told "not run" and not "unknown".
const answerMargin = 100 * time.Millisecond

func (e *Entry) service(c echo.Context) error {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	in, refused := e.check(c, kindService)
	if refused == nil {
		refused = e.aim(c, in, c.Param("service"))
	}
	if refused != nil {
		return e.refuse(c, in, e.beforeClaim(in, refused))
	}
	in.path = pathWithin(c.Request().URL, c.Param("service"))
	if isIdempotent(c.Request().Method, in.target.service) {
		return e.repeatable(c, in, false)
	}
	return e.unrepeatable(c, in)
}

// pathWithin returns the path and query that a service sees, as the caller
// escaped them.
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

// beforeClaim keeps a refusal honest that was made before the claims were asked
// about the key.
func (e *Entry) beforeClaim(in *incoming, r *refusal.Refusal) *refusal.Refusal {
	if in.key == "" {
		return r
	}
	return claim.UnknownUnlessFirst(r, in.first)
}

// unrepeatable serves a request that must not run twice: claimed, then queued,
// then sent on a connection of its own.
func (e *Entry) unrepeatable(c echo.Context, in *incoming) error {
	if in.key == "" {
		return e.refuse(c, in, refusal.New(refusal.KeyMissing,
			"a %s request needs a header %s that names it across resends", c.Request().Method, HeaderIdempotencyKey))
	}
	q := c.Request()
	grant, kept, refused := e.keeper.Begin(q.Context(), claim.Request{
		Customer: in.customer, Key: in.key, Method: q.Method, Path: in.target.name + in.path, Body: in.body,
		Deadline: in.deadline, First: in.first,
	})
	if refused != nil {
		return e.refuse(c, in, refused)
	}
	if kept != nil {
		c.Response().Header().Set(HeaderReplayed, "true")
		return e.writeAnswer(c, in, kept)
	}
	run := &claimedRun{e: e, in: in, grant: grant, request: q, result: make(chan claimedResult, 1)}
	// The run outlives the caller: its outcome must be recorded even when
	// nobody waits for it any more.
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		run.do(context.WithoutCancel(q.Context()))
	}()
	return e.awaitRun(c, in, run)
}

func (e *Entry) awaitRun(c echo.Context, in *incoming, run *claimedRun) error {
	timer := time.NewTimer(time.Until(in.deadline) + answerMargin)
	defer timer.Stop()
	select {
	case r := <-run.result:
		if r.refused != nil {
			return e.refuse(c, in, r.refused)
		}
		return e.writeAnswer(c, in, r.answer)
	case <-timer.C:
		return e.refuse(c, in, refusal.New(refusal.OutcomeUnknown,
			"the deadline passed while the request was under way; send it again with the same key to learn its outcome").
			WithOutcome(refusal.Unknown).WithRetryAfter(time.Second))
	}
}

func (e *Entry) writeAnswer(c echo.Context, in *incoming, a *schema.Answer) error {
	e.cfg.Metrics.Request(in.kind, int(a.GetStatus()))
	e.cfg.Metrics.FirstByte(in.kind, time.Since(in.began), false)
	c.Response().Header().Set(routing.HeaderRequestID, in.id)
	c.Response().Header().Set(routing.HeaderOutcome, refusal.Ran.String())
	return c.Blob(int(a.GetStatus()), a.GetContentType(), a.GetBody())
}

type claimedResult struct {
	answer  *schema.Answer
	refused *refusal.Refusal
}

// claimedRun is the one run of a claimed request.
type claimedRun struct {
	e       *Entry
	in      *incoming
	grant   *claim.Grant
	request *http.Request
	// result receives once.
	result chan claimedResult
}

func (r *claimedRun) do(ctx context.Context) {
	e, in := r.e, r.in
	ticket, refused := e.enter(in)
	if refused != nil {
		r.notRun(refused)
		return
	}
	served := false
	defer func() { ticket.Release(served) }()
	exclude := map[string]bool{}
	for {
		if refused := <-ticket.Decision(); refused != nil {
			r.notRun(refused)
			return
		}
		if refused := e.heldBack(ctx, in); refused != nil {
			r.notRun(refused)
			return
		}
		chosen, ok := r.pick(exclude)
		if !ok {
			refused := r.wait(exclude)
			if refused != nil {
				r.notRun(refused)
				return
			}
			ticket.Requeue()
			continue
		}
		proof, answer, err := r.send(ctx, chosen)
		if proof == refusal.NotRun {
			// Proved: another server may be tried, under the same claim.
			e.cfg.Metrics.Retry()
			exclude[chosen.Server] = true
			ticket.Requeue()
			continue
		}
		served = answer != nil
		r.finish(proof, answer, err)
		return
	}
}

func (r *claimedRun) pick(exclude map[string]bool) (routing.Candidate, bool) {
	a := attempts{e: r.e, in: r.in, exclude: exclude}
	return a.pick()
}

// wait goes back to the queue when every server was tried or is full.
func (r *claimedRun) wait(exclude map[string]bool) *refusal.Refusal {
	if len(exclude) > 0 {
		clear(exclude)
		if !r.e.budget.TryWithdraw() {
			return refusal.New(refusal.BackendFailed, "every server refused").WithRetryAfter(time.Second)
		}
	}
	r.e.refresh([]admission.Demand{{Target: r.in.target.name}})
	if !r.e.pause(fullPause) || time.Now().After(r.in.deadline) {
		return refusal.New(refusal.DeadlinePassed, "no server was free before the deadline")
	}
	return nil
}

// send makes the one run. Everything but a proof that nothing ran counts as a
// run that may have happened.
func (r *claimedRun) send(ctx context.Context, to routing.Candidate) (refusal.Outcome, *schema.Answer, error) {
	e := r.e
	ctx, cancel := context.WithDeadline(ctx, r.in.deadline.Add(lateGrace))
	defer cancel()
	ctx, span := e.cfg.Tracer.Start(ctx, "dispatch")
	defer span.End()
	call := e.call(ctx, r.request, r.in, to)
	call.NewConnection = true
	reply, err := e.sender.Send(ctx, call)
	if err != nil {
		e.table.RecordResult(time.Now(), to, r.in.target.name, r.in.body, routing.Result{Reported: -1})
		e.brokeOff(ctx, r.in, to, err)
		if errors.Is(err, routing.ErrNotRun) {
			return refusal.NotRun, nil, err
		}
		return refusal.Unknown, nil, err
	}
	defer reply.Close()
	if reply.NotRun() {
		e.table.RecordResult(time.Now(), to, r.in.target.name, r.in.body, routing.Result{OK: true, Reported: reply.Outstanding()})
		return refusal.NotRun, nil, nil
	}
	body, err := reply.ReadAll(maxAnswerBytes)
	e.table.RecordResult(time.Now(), to, r.in.target.name, r.in.body, routing.Result{
		OK: err == nil, FirstByte: reply.FirstByte(), Reported: reply.Outstanding(),
	})
	if err != nil {
		e.brokeOff(ctx, r.in, to, err)
		// The server answered, so it ran; the answer is not whole.
		return refusal.Ran, nil, err
	}
	e.guard.AttemptCompleted(r.in.subject())
	return refusal.Ran, &schema.Answer{
		Status: uint32(reply.Status()), ContentType: reply.Header().Get("Content-Type"), Body: body,
	}, nil
}

func (r *claimedRun) notRun(refused *refusal.Refusal) {
	r.e.keeper.Settle(r.grant, schema.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, nil)
	r.result <- claimedResult{refused: refused}
}

// finish records the outcome before the caller is answered, so that a resend
// after a crash of this entry finds it.
func (r *claimedRun) finish(proof refusal.Outcome, answer *schema.Answer, err error) {
	switch {
	case answer != nil:
		r.e.keeper.Settle(r.grant, schema.ClaimOutcome_CLAIM_OUTCOME_DONE, answer)
		r.result <- claimedResult{answer: answer}
	case proof == refusal.Ran:
		r.e.keeper.Settle(r.grant, schema.ClaimOutcome_CLAIM_OUTCOME_DONE, &schema.Answer{Omitted: true})
		r.result <- claimedResult{refused: refusal.New(refusal.BackendFailed,
			"the request ran; its answer was cut off: %v", err).WithOutcome(refusal.Ran)}
	default:
		r.e.keeper.Settle(r.grant, schema.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN, nil)
		r.result <- claimedResult{refused: refusal.New(refusal.OutcomeUnknown,
			"the connection to the server broke: %v", err).WithOutcome(refusal.Unknown)}
	}
}
