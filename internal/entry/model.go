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
	"fennelyard/internal/bound"
	"fennelyard/internal/drain"
	"fennelyard/internal/ledger"
	"fennelyard/internal/memory"
	"fennelyard/internal/refusal"
	"fennelyard/internal/routing"
	"fennelyard/internal/tcp"
)

const (
	// minSilenceTimeout is the minimum time for which a reused connection may be
	// silent; for slow models it is silenceTimeoutServiceTimes times the mean
	// service time.
	minSilenceTimeout          = 3 * time.Second
	silenceTimeoutServiceTimes = 4
	// writeSlack is the time beyond the deadline that a response may take to be written.
	writeSlack = 500 * time.Millisecond
	// noReplicaRetryDelay is the delay before a retry if all replicas are full or
	// excluded.
	noReplicaRetryDelay = 5 * time.Millisecond
)

// completionRequest holds the fields of a completion request that an entry reads.
type completionRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
	// Messages is empty for requests without a conversation.
	Messages []json.RawMessage `json:"messages"`
}

func (e *Entry) serveCompletion(c echo.Context) error {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	in, refused := e.checkRequest(c, kindModel)
	defer in.release()
	if refused == nil {
		refused = e.resolveModel(c, in)
	}
	repeatable := c.Request().Header.Get(HeaderRepeatable) != "no"
	switch {
	case refused != nil && !repeatable:
		return e.refuse(c, in, e.refusalBeforeClaim(in, refused))
	case refused != nil:
		return e.refuse(c, in, refused)
	case repeatable:
		return e.serveRepeatable(c, in)
	}
	return e.serveUnrepeatable(c, in)
}

// resolveModel reads the body of a completion request, and sets the target and the deadline.
func (e *Entry) resolveModel(c echo.Context, in *incomingRequest) *refusal.Refusal {
	var q completionRequest
	if err := json.Unmarshal(in.body, &q); err != nil || q.Model == "" {
		return refusal.New(refusal.BadRequest, `the body is not a JSON object with a "model"`)
	}
	in.messages, in.stream = q.Messages, q.Stream
	return e.resolveTarget(c, in, q.Model)
}

// serveRepeatable serves a request that may run more than once.
func (e *Entry) serveRepeatable(c echo.Context, in *incomingRequest) error {
	ctx, cancel := context.WithDeadline(c.Request().Context(), in.deadline)
	defer cancel()
	defer context.AfterFunc(e.aborted, cancel)()
	if refused := e.refusalForStop(in); refused != nil {
		return e.refuse(c, in, refused)
	}
	if refused := e.checkHeldBack(ctx, in); refused != nil {
		return e.refuse(c, in, refused)
	}
	ticket, refused := e.enqueue(in)
	if refused != nil {
		return e.refuse(c, in, refused)
	}
	e.budget.Deposit()
	a := &attempts{
		e: e, in: in, ticket: ticket, cold: len(in.target.candidates) == 0,
		exclude: map[string]bool{},
	}
	served, refused := a.run(ctx, c)
	ticket.Release(served)
	if a.cut {
		tcp.AbortResponse(c.Response())
	}
	if refused != nil {
		return e.refuse(c, in, refused)
	}
	if served {
		e.durations.Observe(in.durationKind(), time.Since(in.received))
	}
	e.cfg.Metrics.Request(in.kind, c.Response().Status)
	return nil
}

// attempts sends a repeatable request to replicas until one returns a response.
type attempts struct {
	e      *Entry
	in     *incomingRequest
	ticket *admission.Ticket
	// cold is set if the target had no replica when the request arrived.
	cold bool
	// exclude holds the servers that the request must not be sent to again.
	exclude map[string]bool
	// newConnection is set after a connection was silent: the next attempt does not
	// use a pooled connection.
	newConnection bool
	// retryWithdrawn is set if the retry budget was charged for the next attempt.
	retryWithdrawn bool
	// mayHaveRun is set once an attempt is not proved not to have run.
	mayHaveRun bool
	// cut is set if a response broke off of which a part has been sent.
	cut bool
}

func (a *attempts) run(ctx context.Context, c echo.Context) (served bool, refused *refusal.Refusal) {
	for {
		if r := a.e.awaitAdmission(ctx, a.in, a.ticket); r != nil {
			return false, a.correctOutcome(r)
		}
		finished, served, r := a.attempt(ctx, c)
		if finished {
			return served, a.correctOutcome(r)
		}
		a.e.cfg.Metrics.Retry()
		a.ticket.Requeue()
	}
}

// correctOutcome replaces the outcome NotRun of a refusal by Unknown if an earlier
// attempt may have run the request.
func (a *attempts) correctOutcome(r *refusal.Refusal) *refusal.Refusal {
	if r != nil && a.mayHaveRun && r.Outcome() == refusal.NotRun {
		return r.WithOutcome(refusal.Unknown)
	}
	return r
}

// attempt makes one attempt. finished is false if another attempt should follow.
func (a *attempts) attempt(ctx context.Context, c echo.Context) (finished, served bool, r *refusal.Refusal) {
	e, in := a.e, a.in
	if r := e.checkHeldBack(ctx, in); r != nil {
		return true, false, r
	}
	if r := e.refusalForStop(in); r != nil {
		return true, false, r
	}
	chosen, ok := a.pickReplica()
	if !ok {
		return a.noReplica(ctx)
	}
	a.retryWithdrawn = false
	ctx, span := e.cfg.Tracer.Start(ctx, "dispatch")
	defer span.End()
	span.SetAttributes(attribute.String("fennelyard.server", chosen.Server))
	call := e.call(ctx, c.Request(), in, chosen)
	call.NewConnection = a.newConnection
	call.SilenceTimeout = max(minSilenceTimeout, silenceTimeoutServiceTimes*e.admission.MeanServiceTime(in.target.name))
	response, err := e.send(ctx, in, chosen, call)
	if withheld(err) {
		a.recordResult(chosen, routing.Result{NotSent: true})
		return a.requeue(ctx)
	}
	if withoutPath(err) {
		a.recordResult(chosen, routing.Result{NotSent: true})
		return true, false, noPathRefusal(err)
	}
	if err != nil {
		a.recordResult(chosen, routing.Result{OK: ctx.Err() != nil, Reported: -1})
		e.reportFailedAttempt(ctx, in, chosen, err)
		return a.handleFailure(ctx, chosen, err)
	}
	defer response.Close()
	if response.NotRun() {
		a.recordResult(chosen, routing.Result{OK: true, Reported: response.Outstanding()})
		if e.cooldown(chosen) == 0 {
			a.exclude[chosen.Server] = true
		}
		return a.requeue(ctx)
	}
	if response.Status() >= http.StatusInternalServerError {
		a.recordResult(chosen, routing.Result{Reported: response.Outstanding()})
		return a.handleFailure(ctx, chosen, errors.Newf("status %d", response.Status()))
	}
	if a.in.stream {
		return a.forwardStream(ctx, c, chosen, call, response)
	}
	return a.forwardResponse(ctx, c, chosen, response)
}

// requeue returns the request to the queue after an attempt that did not run, unless its deadline
// has passed.
func (a *attempts) requeue(ctx context.Context) (finished, served bool, r *refusal.Refusal) {
	return ctx.Err() != nil, false, refusal.New(refusal.DeadlinePassed, "the deadline passed between two attempts")
}

func (a *attempts) pickReplica() (routing.Candidate, bool) {
	var candidates []routing.Candidate
	a.e.cfg.Replica.View(func(r *ledger.Records) { candidates = a.e.candidates(r, a.in.target.name) })
	limit := int(a.e.cfg.Settings.GetEntry().GetReplicaLimit())
	return a.e.table.Pick(time.Now(), a.in.target.name, a.in.body, candidates, limit, a.exclude)
}

// noReplica handles an attempt without a replica: all are gone, full or were tried.
// The request returns to the queue unless the retry budget is exhausted.
func (a *attempts) noReplica(ctx context.Context) (finished, served bool, r *refusal.Refusal) {
	if len(a.exclude) > 0 {
		clear(a.exclude)
		if !a.retryWithdrawn && !a.e.budget.TryWithdraw() {
			return true, false, refusal.New(refusal.BackendFailed, "every replica refused or failed").WithRetryAfter(time.Second)
		}
	}
	a.e.refreshCapacity([]admission.Demand{{Target: a.in.target.name}})
	select {
	case <-ctx.Done():
		return true, false, refusal.New(refusal.DeadlinePassed, "no replica was free before the deadline")
	case <-time.After(noReplicaRetryDelay):
		return false, false, nil
	}
}

func (a *attempts) recordResult(c routing.Candidate, r routing.Result) {
	a.e.table.RecordResult(time.Now(), c, a.in.target.name, a.in.body, r)
}

// handleFailure decides whether another attempt follows a failed one, and charges
// the retry budget for it.
func (a *attempts) handleFailure(ctx context.Context, chosen routing.Candidate, err error) (finished, served bool, r *refusal.Refusal) {
	if !errors.Is(err, routing.ErrNotRun) {
		a.mayHaveRun = true
	}
	if a.e.aborted.Err() != nil {
		return true, false, refusal.New(refusal.BackendFailed, "this entry stops while server %q worked", chosen.Server).WithRetryAfter(drain.RetryAfter)
	}
	if ctx.Err() != nil {
		return true, false, refusal.New(refusal.DeadlinePassed, "the deadline passed while server %q worked", chosen.Server)
	}
	if errors.Is(err, routing.ErrSilent) {
		a.newConnection = true
	} else {
		a.exclude[chosen.Server] = true
	}
	a.retryWithdrawn = a.e.budget.TryWithdraw()
	if !a.retryWithdrawn {
		return true, false, refusal.New(refusal.BackendFailed, "server %q failed and no retry is left: %v", chosen.Server, err).
			WithRetryAfter(time.Second)
	}
	a.e.cfg.Log.V(1).Info("attempt failed", "server", chosen.Server, "reason", err.Error())
	return false, false, nil
}

// forwardResponse holds a response until it is complete, so that a request with a truncated response can be
// retried and no caller receives a part of one. A response that is longer than bound.HeldResponseBytes, or than
// there is memory for, is forwarded as it comes.
func (a *attempts) forwardResponse(ctx context.Context, c echo.Context, chosen routing.Candidate, response *routing.Response) (finished, served bool, r *refusal.Refusal) {
	share := a.e.memory.NewShare()
	defer share.Release()
	held, complete, err := share.Read(response.Body(), response.Length(), bound.HeldResponseBytes)
	if err == nil && complete && response.Status() == http.StatusOK && !json.Valid(held) {
		err = errors.Newf("not JSON: %w", routing.ErrIncomplete)
	}
	// The request is at its server until the end of the response.
	defer func() {
		a.recordResult(chosen, routing.Result{OK: err == nil || ctx.Err() != nil, FirstByte: response.FirstByte(), Reported: response.Outstanding()})
	}()
	if err != nil {
		a.e.reportFailedAttempt(ctx, a.in, chosen, err)
		return a.handleFailure(ctx, chosen, err)
	}
	a.e.cfg.Metrics.FirstByte(a.in.kind, time.Since(a.in.received), a.cold)
	copyHeader(c.Response().Header(), response.Header())
	c.Response().Header().Set(routing.HeaderRequestID, a.in.id)
	if complete {
		a.e.attemptCompleted(a.in, response)
		// The request is served even if its caller has disconnected.
		_ = writeHeld(c, response.Status(), response.Header().Get("Content-Type"), held)
		return true, true, nil
	}
	if err = a.e.forwardAsItComes(c, a.in, response, held, share); err != nil {
		a.e.reportFailedAttempt(ctx, a.in, chosen, err)
		a.e.logCutResponse(a.in, chosen, err)
		a.cut = true
		return true, false, nil
	}
	a.e.attemptCompleted(a.in, response)
	return true, true, nil
}

// writeHeld writes a response that is held whole, with its length: a caller that takes no chunks could not tell the
// end of this host's process from that of the response. A body may be empty without having the length 0 (HEAD).
func writeHeld(c echo.Context, status int, contentType string, body []byte) error {
	if len(body) > 0 {
		c.Response().Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	return c.Blob(status, contentType, body)
}

// forwardAsItComes forwards a response of which the first part is held, no faster than the caller reads it. It gives
// the memory of this part back.
func (e *Entry) forwardAsItComes(c echo.Context, in *incomingRequest, response *routing.Response, held []byte, share *memory.Share) error {
	w := c.Response()
	// This fails only if the connection is already closed.
	_ = http.NewResponseController(w.Writer).SetWriteDeadline(in.deadline.Add(writeSlack))
	w.Header().Set("Content-Type", response.Header().Get("Content-Type"))
	if response.Length() >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(response.Length(), 10))
	}
	w.WriteHeader(response.Status())
	if _, err := w.Write(held); err != nil {
		return errors.Newf("write response: %w", err)
	}
	share.Release()
	if readErr, writeErr := tcp.Copy(w, response.Body(), nil); readErr != nil || writeErr != nil {
		return errors.Newf("forward response: %w", errors.CombineErrors(readErr, writeErr))
	}
	return nil
}

// logCutResponse logs and counts a response of which a part has been sent, and whose connection must be closed so that
// it does not look complete.
func (e *Entry) logCutResponse(in *incomingRequest, at routing.Candidate, cause error) {
	e.cfg.Log.Info("response cut", "server", at.Server, "address", at.Address, "request", in.id, "reason", cause.Error())
	e.cfg.Metrics.Refusal(refusal.StreamCut.String(), refusal.Unknown.String())
}

// call returns the call that sends a request to a server.
func (e *Entry) call(ctx context.Context, q *http.Request, in *incomingRequest, to routing.Candidate) routing.Call {
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

// reachableModels returns the names of the models that a customer may call, sorted.
func (e *Entry) reachableModels(customer string) []string {
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
