package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"fennelyard/internal/admission"
	"fennelyard/internal/ledger"
	"fennelyard/internal/refusal"
	"fennelyard/internal/routing"
)

const (
	// maxAnswerBytes bounds a whole answer, which is held until it is complete.
	maxAnswerBytes = 16 << 20
	// minPatience is the least time that a reused connection may be silent;
	// patienceTimes the mean service time is more for slow models.
	minPatience   = 3 * time.Second
	patienceTimes = 4
	// fullPause is waited when all replicas are full or excluded.
	fullPause = 5 * time.Millisecond
)

// completion is what an entry needs to know of a completion request.
type completion struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

func (e *Entry) model(c echo.Context) error {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	in, refused := e.check(c, kindModel)
	if refused != nil {
		return e.refuse(c, in, refused)
	}
	var q completion
	if err := json.Unmarshal(in.body, &q); err != nil || q.Model == "" {
		return e.refuse(c, in, refusal.New(refusal.BadRequest, `the body is not a JSON object with a "model"`))
	}
	if refused := e.aim(c, in, q.Model); refused != nil {
		return e.refuse(c, in, refused)
	}
	if c.Request().Header.Get(HeaderRepeatable) == "no" {
		return e.unrepeatable(c, in)
	}
	return e.repeatable(c, in, q.Stream)
}

// repeatable serves a request that may run more than once.
func (e *Entry) repeatable(c echo.Context, in *incoming, stream bool) error {
	ctx, cancel := context.WithDeadline(c.Request().Context(), in.deadline)
	defer cancel()
	if refused := e.heldBack(ctx, in); refused != nil {
		return e.refuse(c, in, refused)
	}
	ticket, refused := e.enter(in)
	if refused != nil {
		return e.refuse(c, in, refused)
	}
	e.budget.Deposit()
	run := &attempts{
		e: e, in: in, ticket: ticket, stream: stream, cold: len(in.target.candidates) == 0,
		exclude: map[string]bool{},
	}
	served, refused := run.all(ctx, c)
	ticket.Release(served)
	if refused != nil {
		return e.refuse(c, in, refused)
	}
	e.cfg.Metrics.Request(in.kind, c.Response().Status)
	return nil
}

// attempts tries replicas until one has answered.
type attempts struct {
	e      *Entry
	in     *incoming
	ticket *admission.Ticket
	stream bool
	cold   bool
	// exclude holds servers that this request should not try again.
	exclude map[string]bool
	// fresh is set after a silent connection: the next attempt trusts none that
	// is pooled.
	fresh bool
	// paid is set while an attempt is under way that the budget paid for.
	paid bool
	// mayHaveRun is set by an attempt that is not proved not to have run.
	mayHaveRun bool
}

func (a *attempts) all(ctx context.Context, c echo.Context) (served bool, refused *refusal.Refusal) {
	for {
		if r := a.e.await(ctx, a.ticket); r != nil {
			return false, a.honest(r)
		}
		finished, served, r := a.one(ctx, c)
		if finished {
			return served, a.honest(r)
		}
		a.e.cfg.Metrics.Retry()
		a.ticket.Requeue()
	}
}

// honest never says "not run" of a request that an earlier attempt may have run.
func (a *attempts) honest(r *refusal.Refusal) *refusal.Refusal {
	if r != nil && a.mayHaveRun && r.Outcome() == refusal.NotRun {
		return r.WithOutcome(refusal.Unknown)
	}
	return r
}

// one makes one attempt. It is not finished when another one should follow.
func (a *attempts) one(ctx context.Context, c echo.Context) (finished, served bool, r *refusal.Refusal) {
	e, in := a.e, a.in
	if r := e.heldBack(ctx, in); r != nil {
		return true, false, r
	}
	chosen, ok := a.pick()
	if !ok {
		return a.noReplica(ctx)
	}
	a.paid = false
	ctx, span := e.cfg.Tracer.Start(ctx, "dispatch")
	defer span.End()
	span.SetAttributes(attribute.String("fennelyard.server", chosen.Server))
	call := e.call(ctx, c.Request(), in, chosen)
	call.NewConnection = a.fresh
	call.SilenceTimeout = max(minPatience, patienceTimes*e.gate.MeanServiceTime(in.target.name))
	reply, err := e.sender.Send(ctx, call)
	if err != nil {
		a.done(chosen, routing.Result{OK: ctx.Err() != nil, Reported: -1})
		e.brokeOff(ctx, in, chosen, err)
		return a.failed(ctx, chosen, err)
	}
	defer reply.Close()
	if reply.NotRun() {
		a.done(chosen, routing.Result{OK: true, Reported: reply.Outstanding()})
		a.exclude[chosen.Server] = true
		return ctx.Err() != nil, false, refusal.New(refusal.DeadlinePassed, "the deadline passed between two attempts")
	}
	if reply.Status() >= http.StatusInternalServerError {
		a.done(chosen, routing.Result{Reported: reply.Outstanding()})
		return a.failed(ctx, chosen, errors.Newf("status %d", reply.Status()))
	}
	if a.stream {
		return a.passStream(ctx, c, chosen, call, reply)
	}
	return a.passWhole(ctx, c, chosen, reply)
}

func (a *attempts) pick() (routing.Candidate, bool) {
	var candidates []routing.Candidate
	a.e.cfg.Replica.View(func(r *ledger.Records) { candidates = a.e.candidates(r, a.in.target.name) })
	limit := int(a.e.cfg.Settings.GetEntry().GetReplicaLimit())
	return a.e.table.Pick(time.Now(), a.in.target.name, a.in.body, candidates, limit, a.exclude)
}

// noReplica goes back to the queue: the replica that was there is gone or full,
// or each one was tried.
func (a *attempts) noReplica(ctx context.Context) (finished, served bool, r *refusal.Refusal) {
	if len(a.exclude) > 0 {
		clear(a.exclude)
		if !a.paid && !a.e.budget.TryWithdraw() {
			return true, false, refusal.New(refusal.BackendFailed, "every replica refused or failed").WithRetryAfter(time.Second)
		}
	}
	a.e.refresh([]admission.Demand{{Target: a.in.target.name}})
	select {
	case <-ctx.Done():
		return true, false, refusal.New(refusal.DeadlinePassed, "no replica was free before the deadline")
	case <-time.After(fullPause):
		return false, false, nil
	}
}

func (a *attempts) done(c routing.Candidate, r routing.Result) {
	a.e.table.RecordResult(time.Now(), c, a.in.target.name, a.in.body, r)
}

// failed decides whether another attempt follows a failed one.
func (a *attempts) failed(ctx context.Context, chosen routing.Candidate, err error) (finished, served bool, r *refusal.Refusal) {
	if !errors.Is(err, routing.ErrNotRun) {
		a.mayHaveRun = true
	}
	if ctx.Err() != nil {
		return true, false, refusal.New(refusal.DeadlinePassed, "the deadline passed while server %q worked", chosen.Server)
	}
	if errors.Is(err, routing.ErrSilent) {
		a.fresh = true
	} else {
		a.exclude[chosen.Server] = true
	}
	a.paid = a.e.budget.TryWithdraw()
	if !a.paid {
		return true, false, refusal.New(refusal.BackendFailed, "server %q failed and no retry is left: %v", chosen.Server, err).
			WithRetryAfter(time.Second)
	}
	a.e.cfg.Log.V(1).Info("attempt failed", "server", chosen.Server, "reason", err.Error())
	return false, false, nil
}

// passWhole holds an answer until it is complete, so that a truncated one can be
// tried again and never reaches the caller.
func (a *attempts) passWhole(ctx context.Context, c echo.Context, chosen routing.Candidate, reply *routing.Reply) (finished, served bool, r *refusal.Refusal) {
	body, err := reply.ReadAll(maxAnswerBytes)
	if err == nil && reply.Status() == http.StatusOK && !json.Valid(body) {
		err = errors.Newf("not JSON: %w", routing.ErrIncomplete)
	}
	a.done(chosen, routing.Result{OK: err == nil || ctx.Err() != nil, FirstByte: reply.FirstByte(), Reported: reply.Outstanding()})
	if err != nil {
		a.e.brokeOff(ctx, a.in, chosen, err)
		return a.failed(ctx, chosen, err)
	}
	a.e.guard.AttemptCompleted(a.in.subject())
	a.e.cfg.Metrics.FirstByte(a.in.kind, time.Since(a.in.began), a.cold)
	copyHeader(c.Response().Header(), reply.Header())
	c.Response().Header().Set(routing.HeaderRequestID, a.in.id)
	// A caller that went away has its answer all the same.
	_ = c.Blob(reply.Status(), reply.Header().Get("Content-Type"), body)
	return true, true, nil
}

// call builds the call of a request to a server.
func (e *Entry) call(ctx context.Context, q *http.Request, in *incoming, to routing.Candidate) routing.Call {
	header := q.Header.Clone()
	header.Del("Authorization")
	header.Del(HeaderAttempt)
	header.Set(routing.HeaderCustomer, in.customer)
	header.Set(routing.HeaderPriority, strconv.Itoa(int(in.target.customer.GetPriority())))
	propagator().Inject(ctx, propagation.HeaderCarrier(header))
	return routing.Call{
		Address: to.Address, Method: q.Method, Path: in.path, Header: header,
		Body: in.body, RequestID: in.id,
	}
}

func copyHeader(to, from http.Header) {
	for _, k := range []string{"Content-Type", "Cache-Control", "Location"} {
		if v := from.Get(k); v != "" {
			to.Set(k, v)
		}
	}
}

// reachable lists what a customer may call, sorted by name.
func (e *Entry) reachable(customer string) []string {
	var out []string
	e.cfg.Replica.View(func(r *ledger.Records) {
		for _, m := range r.Models() {
			if r.Reaches(customer, m.GetName()) {
				out = append(out, m.GetName())
			}
		}
	})
	return out
}
