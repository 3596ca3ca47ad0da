package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"fennelyard/internal/admission"
	"fennelyard/internal/bound"
	"fennelyard/internal/claim"
	"fennelyard/internal/directory"
	"fennelyard/internal/drain"
	"fennelyard/internal/memory"
	"fennelyard/internal/operator"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/refusal"
	"fennelyard/internal/routing"
	"fennelyard/internal/schema"
)

// The headers between a caller and an entry, in addition to those of package
// routing.
const (
	// HeaderIdempotencyKey identifies a non-idempotent request across retries.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderAttempt is 1 the first time that the caller sends an idempotency key.
	HeaderAttempt = "Fennelyard-Attempt"
	// HeaderRepeatable is "no" on a completion request that must not run twice.
	HeaderRepeatable = "Fennelyard-Repeatable"
	// HeaderReplayed is set on the recorded response of an earlier attempt.
	HeaderReplayed = "Fennelyard-Replayed"

	kindModel   = "model"
	kindService = "service"

	maxCallerDeadline = 10 * time.Minute
	// stopBodyTimeout is how long the rest of a body may take at least that arrives as this host stops.
	stopBodyTimeout = 500 * time.Millisecond
)

func (e *Entry) callerRoutes() *echo.Echo {
	r := newRoutes()
	r.Use(e.trace)
	r.GET("/v1/directory", e.directory)
	r.POST("/v1/chat/completions", e.serveCompletion)
	r.POST("/v1/completions", e.serveCompletion)
	r.GET("/v1/models", e.listModels)
	r.Any(servicesPrefix+":service/*", e.serveService)
	r.Any(servicesPrefix+":service", e.serveService)
	return r
}

// trace continues the caller's trace with a server span.
func (e *Entry) trace(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		q := c.Request()
		ctx := propagator().Extract(q.Context(), propagation.HeaderCarrier(q.Header))
		ctx, span := e.cfg.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer),
			trace.WithAttributes(attribute.String("http.route", c.Path()), attribute.String("host.name", e.cfg.Self.GetName())))
		defer span.End()
		c.SetRequest(q.WithContext(ctx))
		return next(c)
	}
}

// propagator propagates the W3C trace context.
func propagator() propagation.TextMapPropagator { return propagation.TraceContext{} }

func (e *Entry) directory(c echo.Context) error {
	centre := c.QueryParam("data-centre")
	if centre == "" {
		centre = e.cfg.Self.GetDataCentre()
	}
	reply := &schema.DirectoryReply{
		Addresses: directory.Select(e.hosts(), centre, e.cfg.Random),
		KeepMs:    uint32(e.cfg.Settings.GetEntry().GetDirectoryKeep().AsDuration().Milliseconds()),
	}
	return operator.WriteProto(c, http.StatusOK, reply)
}

func (e *Entry) hosts() []directory.Entry {
	facts := map[string]*schema.HostFact{}
	for _, f := range e.cfg.Membership.Facts() {
		facts[f.GetHost()] = f
	}
	var out []directory.Entry
	for _, h := range e.cfg.Settings.GetHosts() {
		f := facts[h.GetName()]
		out = append(out, directory.Entry{
			Name: h.GetName(), DataCentre: h.GetDataCentre(), Address: h.GetCallerAddress(),
			State: f.GetState(), Stopping: f.GetStopping(), Load: int(f.GetLoad()),
		})
	}
	return out
}

// incomingRequest is a caller's request.
type incomingRequest struct {
	id       string
	customer string
	kind     string
	method   string
	// path is the path and query sent to the backend server.
	path   string
	target target
	body   []byte
	// memory is what the body takes; handedOver is set if a claimed request that goes on without its caller
	// gives it back.
	memory     *memory.Share
	handedOver bool
	received   time.Time
	deadline   time.Time
	// key is the idempotency key of a request that must not run twice.
	// firstAttempt is set if the caller declares that it sends the key for the
	// first time.
	key          string
	firstAttempt bool
	// stream is set if the response is a stream of events, and started once a part of it was sent to the caller.
	stream, started bool
	// messages are those of a conversation with a model, as JSON.
	messages []json.RawMessage
	// keyed is created by keyedRequest when first needed.
	keyed *quarantine.KeyedRequest
}

// release gives back what the body takes, once the request has ended.
func (in *incomingRequest) release() {
	if !in.handedOver {
		in.memory.Release()
	}
}

// checkRequest reads a request, and refuses one that is invalid or arrives before
// the entry is ready. The request is returned also with a refusal.
func (e *Entry) checkRequest(c echo.Context, kind string) (*incomingRequest, *refusal.Refusal) {
	q := c.Request()
	in := &incomingRequest{
		id: strconv.FormatUint(e.cfg.RandomID(), 36), kind: kind, method: q.Method, received: time.Now(), path: q.URL.RequestURI(),
		customer: q.Header.Get(routing.HeaderCustomer), key: q.Header.Get(HeaderIdempotencyKey),
		firstAttempt: q.Header.Get(HeaderAttempt) == "1", memory: e.memory.NewShare(),
	}
	if e.Readiness() == ReadinessNone {
		return in, refusal.New(refusal.NotReady, "this entry does not know yet that its configuration is current").
			WithRetryAfter(time.Second)
	}
	if in.customer == "" {
		return in, refusal.New(refusal.UnknownCustomer, "header %s is missing", routing.HeaderCustomer)
	}
	if len(in.key) > claim.MaxKeyBytes {
		return in, refusal.New(refusal.BadRequest, "header %s has more than %d bytes", HeaderIdempotencyKey, claim.MaxKeyBytes)
	}
	return in, e.readBody(c, in)
}

// mayBeSent reports whether a request may be sent to a server now: always unless this host drains, and then only if it
// ends before the host must abort it, or if a part of its response has been sent.
func (e *Entry) mayBeSent(in *incomingRequest) bool {
	plan := e.drainPlan.Load()
	switch {
	case plan == nil:
		return true
	case in.started:
		return plan.MayResume(time.Now())
	}
	return plan.MaySend(time.Now(), in.deadline, e.durations.Expected(in.durationKind()))
}

// refusalForStop returns the refusal of a request that this host, which is stopping, could not finish if it were sent to a
// server now, and nil for any other: another entry serves it.
func (e *Entry) refusalForStop(in *incomingRequest) *refusal.Refusal {
	if e.mayBeSent(in) {
		return nil
	}
	abort := time.Until(e.drainPlan.Load().AbortAt()).Round(time.Millisecond)
	e.cfg.Log.Info("request refused by stop", "request", in.id, "target", in.target.name, "abort-in-ms", abort.Milliseconds(),
		"deadline-in-ms", time.Until(in.deadline).Milliseconds(), "expected-ms", e.durations.Expected(in.durationKind()).Milliseconds())
	return stoppingRefusal("this entry stops in %v", abort)
}

// stoppingRefusal returns the refusal of a request that has not run, as this host stops.
func stoppingRefusal(format string, args ...any) *refusal.Refusal {
	return refusal.New(refusal.Stopping, format, args...).WithRetryAfter(drain.RetryAfter)
}

// durationKind returns the kind of the request for the prediction of its duration.
func (in *incomingRequest) durationKind() string {
	if in.stream {
		return in.target.name + "/stream"
	}
	return in.target.name
}

// memoryRetryAfter is when a request may come again whose body found no memory: other entries have their own.
const memoryRetryAfter = 500 * time.Millisecond

// readBody reads a body of bounded size within bound.BodyTimeout. The read deadline is
// cleared afterwards: otherwise it would interrupt a long response.
func (e *Entry) readBody(c echo.Context, in *incomingRequest) *refusal.Refusal {
	limit := int64(e.cfg.Settings.GetEntry().GetMaxBodyBytes())
	tooLarge := refusal.New(refusal.BodyTooLarge, "the body has more than %d bytes", limit)
	if c.Request().ContentLength > limit {
		return tooLarge
	}
	if bound.HasUnstatedBody(c.Request()) {
		return refusal.New(refusal.BadRequest, "a %s request by HTTP/1.0 states the length of its body", c.Request().Method)
	}
	timer := drain.NewBodyTimer(c.Response().Writer)
	timer.Bound(time.Now().Add(bound.BodyTimeout))
	stop := context.AfterFunc(e.draining, func() {
		if plan := e.drainPlan.Load(); plan != nil {
			timer.Bound(time.Now().Add(max(time.Until(plan.AcceptUntil()), stopBodyTimeout)))
		}
	})
	// Reading one byte over the limit detects a body that is too long.
	body, ended, err := in.memory.Read(c.Request().Body, c.Request().ContentLength, limit+1)
	stop()
	timer.End()
	if !ended {
		drain.AbandonBody(c.Response().Writer, c.Request())
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && e.drainPlan.Load() != nil:
		return stoppingRefusal("this entry stops, and the body has not arrived")
	case err != nil:
		return refusal.New(refusal.BadRequest, "the body could not be read")
	case int64(len(body)) > limit:
		return tooLarge
	case !ended:
		return refusal.New(refusal.NoMemory, "the bodies of other requests take all memory of this entry").WithRetryAfter(memoryRetryAfter)
	}
	in.body = body
	return nil
}

// resolveTarget sets the target and the deadline of a request.
func (e *Entry) resolveTarget(c echo.Context, in *incomingRequest, name string) *refusal.Refusal {
	in.target = e.lookUpTarget(in.customer, name)
	if in.target.customer == nil {
		return refusal.New(refusal.UnknownCustomer, "customer %q is not configured", in.customer)
	}
	if !in.target.known || (in.kind == kindService) != (in.target.service != nil) {
		return refusal.New(refusal.UnknownTarget, "customer %q reaches no %s %q", in.customer, in.kind, name)
	}
	timeout, refused := e.requestTimeout(c.Request().Header.Get(routing.HeaderDeadline), in.target.customer)
	if refused != nil {
		return refused
	}
	in.deadline = in.received.Add(timeout)
	return nil
}

func (e *Entry) requestTimeout(header string, customer *schema.Customer) (time.Duration, *refusal.Refusal) {
	if header == "" {
		if ms := customer.GetDefaultDeadlineMs(); ms > 0 {
			return time.Duration(ms) * time.Millisecond, nil
		}
		return e.cfg.Settings.GetEntry().GetDefaultDeadline().AsDuration(), nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	switch {
	case err != nil:
		return 0, refusal.New(refusal.BadRequest, "header %s: %q is not a number of milliseconds", routing.HeaderDeadline, header)
	case ms <= 0:
		return 0, refusal.New(refusal.DeadlinePassed, "the deadline has passed on arrival")
	}
	return min(time.Duration(ms)*time.Millisecond, maxCallerDeadline), nil
}

func (in *incomingRequest) admissionRequest() admission.Request {
	return admission.Request{
		Customer: in.customer, CustomerLimit: int(in.target.customer.GetMaxConcurrent()),
		Target: in.target.name, Priority: in.target.customer.GetPriority(), Deadline: in.deadline,
	}
}

// enqueue queues a request. If the target has no replica, a report to the leader
// is sent immediately.
func (e *Entry) enqueue(in *incomingRequest) (*admission.Ticket, *refusal.Refusal) {
	capacity := e.capacity(in.target.name, in.target.candidates, in.target.service != nil)
	ticket, refused := e.admission.Admit(in.admissionRequest(), capacity)
	if capacity.Slots == 0 && in.target.service == nil {
		e.requestReport()
	}
	return ticket, refused
}

// awaitAdmission waits for a ticket's admission decision, and records the wait in
// a span. A request that waits when this host begins to stop is refused as soon as it
// can't be finished any more.
func (e *Entry) awaitAdmission(ctx context.Context, in *incomingRequest, t *admission.Ticket) *refusal.Refusal {
	_, span := e.cfg.Tracer.Start(ctx, "queue")
	defer span.End()
	draining := e.draining.Done()
	var recheck <-chan time.Time
	for {
		select {
		case r := <-t.Decision():
			return r
		case <-draining:
			draining = nil
			ticker := time.NewTicker(drain.PollInterval)
			defer ticker.Stop()
			recheck = ticker.C
		case <-recheck:
		case <-ctx.Done():
			if e.aborted.Err() != nil {
				return stoppingRefusal("this entry stops")
			}
			return refusal.New(refusal.DeadlinePassed, "the caller went away")
		}
		if refused := e.refusalForStop(in); refused != nil {
			return refused
		}
	}
}

func (e *Entry) listModels(c echo.Context) error {
	customer := c.Request().Header.Get(routing.HeaderCustomer)
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, name := range e.reachableModels(customer) {
		list.Data = append(list.Data, model{ID: name, Object: "model"})
	}
	return c.JSON(http.StatusOK, list)
}

// refuse counts a refusal and writes it as the response to a request.
func (e *Entry) refuse(c echo.Context, in *incomingRequest, r *refusal.Refusal) error {
	e.cfg.Metrics.Refusal(r.Code().String(), r.Outcome().String())
	e.cfg.Metrics.Request(in.kind, r.Status())
	span := trace.SpanFromContext(c.Request().Context())
	span.SetAttributes(attribute.String("fennelyard.refusal", r.Code().String()))
	return writeRefusal(c, in.id, r)
}

func writeRefusal(c echo.Context, id string, r *refusal.Refusal) error {
	if after := r.RetryAfter(); after > 0 {
		seconds := (after + time.Second - 1) / time.Second
		c.Response().Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	c.Response().Header().Set(routing.HeaderOutcome, r.Outcome().String())
	return operator.WriteProto(c, r.Status(), r.ErrorReply(id))
}
