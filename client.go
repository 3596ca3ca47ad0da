package fennelyard

import (
	"context"
	cryptorand "crypto/rand"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"fennelyard/internal/bound"
	"fennelyard/internal/cooldown"
)

const (
	defaultDeadline  = 30 * time.Second
	connectTimeout   = 2 * time.Second
	maxResponseBytes = 16 << 20
	// maxAttempts limits the attempts of one request. It does not apply while the
	// deployment reports that the request is still running, nor to attempts that an entry
	// refuses with the time for which it wants no requests.
	maxAttempts   = 4
	minRetryDelay = 50 * time.Millisecond
)

// ClientOptions configures a Client. Addresses and Customer are required.
type ClientOptions struct {
	// Addresses are caller addresses (IP:PORT) of some entries of the deployment,
	// from which the client fetches the directory first.
	Addresses []string
	// Customer is the customer that the caller belongs to.
	Customer string
	// DataCentre is the caller's data centre, whose entries the directory lists
	// first. Empty means the data centre of the entry that serves the directory.
	DataCentre string
	// Deadline is used for requests whose context has none; 0 means 30 seconds.
	Deadline time.Duration
	// HTTP sends the requests; nil means a new client that closes silent
	// connections within seconds.
	HTTP *http.Client
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Tracer starts a span for each request, whose context is propagated in the
	// request header; nil disables tracing.
	Tracer trace.Tracer
}

// Client sends requests to a deployment. It is safe for concurrent use by
// multiple goroutines.
type Client struct {
	opts ClientOptions
	// cooldowns are the times for which entries have asked this client to send them nothing, by
	// address.
	cooldowns *cooldown.Table

	mu sync.Mutex
	// addresses is the cached directory, valid until expiry; both are guarded by mu.
	addresses []string
	expiry    time.Time
}

// NewClient returns a client that connects at its first request.
func NewClient(opts ClientOptions) *Client {
	if opts.Deadline == 0 {
		opts.Deadline = defaultDeadline
	}
	if opts.HTTP == nil {
		opts.HTTP = &http.Client{Transport: newTransport()}
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Tracer == nil {
		opts.Tracer = noop.NewTracerProvider().Tracer("")
	}
	return &Client{opts: opts, cooldowns: cooldown.NewTable(cooldown.Config{
		// The number of other clients is not known.
		Hosts: func() int { return 1 }, Random: rand.Float64,
	})}
}

// Answer is a complete HTTP response of a model or service.
type Answer struct {
	status   int
	body     []byte
	replayed bool
	header   http.Header
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Body returns the whole body, which must not be modified.
func (a *Answer) Body() []byte { return a.body }

// Replayed reports whether the deployment returned the stored response of an
// earlier request with the same key.
func (a *Answer) Replayed() bool { return a.replayed }

// Header returns the response header, which must not be modified.
func (a *Answer) Header() http.Header { return a.header }

// NewKey returns a random idempotency key.
func NewKey() string { return cryptorand.Text() }

// Complete sends an OpenAI-style chat completion and returns the whole response.
// The body is a JSON object with a "model" field. The error is a *Error when the
// deployment refused the request.
func (c *Client) Complete(ctx context.Context, body []byte) (*Answer, error) {
	return c.Do(ctx, Request{Method: http.MethodPost, Path: "/v1/chat/completions", Body: body, Repeatable: true})
}

// Request is a request to a model or to a service.
type Request struct {
	Method string
	// Path is /v1/chat/completions, /v1/completions or /services/NAME/...
	Path   string
	Header http.Header
	Body   []byte
	// Repeatable allows the client to retry the request when the outcome of an
	// attempt is unknown.
	Repeatable bool
	// Key is the idempotency key of a request that must not run twice. If it is
	// empty and Repeatable is false, the client generates one.
	Key string
}

// Do sends a request and returns the whole response. A request that is not
// repeatable is retried only with its key, so that it runs at most once. Do
// returns a *Error when the deployment refused the request and the client does not
// retry it: a retry cannot succeed, the attempts are used up, or the context's
// deadline is earlier than the retry.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.opts.Deadline)
		defer cancel()
	}
	ctx, span := c.opts.Tracer.Start(ctx, "caller", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	if !r.Repeatable && r.Key == "" {
		r.Key = NewKey()
	}
	var lastErr error
	for attempt := 1; ; attempt++ {
		address, err := c.selectAddress(ctx, attempt-1)
		if err != nil {
			return nil, preferLast(err, lastErr)
		}
		sentAt := c.opts.Now()
		response, err := c.send(ctx, address, r, attempt)
		if err == nil {
			c.cooldowns.Responded(address, sentAt)
			return response, nil
		}
		c.observeRefusal(address, err, sentAt)
		lastErr = err
		delay, retry := c.retryDelay(ctx, r, err, attempt)
		if !retry {
			return nil, err
		}
		if !sleep(ctx, delay) {
			return nil, lastErr
		}
	}
}

// preferLast returns the error of the last attempt, or err if there was none.
func preferLast(err, lastErr error) error {
	if lastErr != nil {
		return lastErr
	}
	return err
}

// retryDelay returns the delay before the next attempt, and whether there is one.
func (c *Client) retryDelay(ctx context.Context, r Request, err error, attempt int) (time.Duration, bool) {
	if ctx.Err() != nil {
		return 0, false
	}
	var refusal *Error
	if !errors.As(err, &refusal) {
		// The connection failed and the outcome is unknown. The retry is safe,
		// because the request is repeatable or carries a key.
		c.invalidateDirectory()
		return minRetryDelay, attempt < maxAttempts
	}
	deadline, _ := ctx.Deadline()
	delay := max(cooldown.Extend(refusal.retryAfter, 1, rand.Float64()), minRetryDelay)
	if refusal.concernsEntry() {
		// The cooldown keeps this client from the entry; another one may serve the request now.
		c.invalidateDirectory()
		return minRetryDelay, refusal.retryAfter > 0 || attempt < maxAttempts
	}
	if delay > time.Until(deadline) {
		return 0, false
	}
	switch refusal.code {
	case "still-running":
		return delay, true
	case "no-leader":
		c.invalidateDirectory()
		return delay, attempt < maxAttempts
	case "backend-failed", "stream-cut":
		return delay, r.Repeatable && attempt < maxAttempts
	}
	return 0, false
}

// observeRefusal applies the time for which an entry asks this client to send it nothing.
func (c *Client) observeRefusal(address string, err error, sentAt time.Time) {
	var refusal *Error
	switch {
	case !errors.As(err, &refusal):
	case refusal.concernsEntry():
		c.cooldowns.Observe(address, refusal.retryAfter, sentAt, c.opts.Now())
	default:
		c.cooldowns.Responded(address, sentAt)
	}
}

// send makes one attempt of a request at an address.
func (c *Client) send(ctx context.Context, address string, r Request, attempt int) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer c.watchEntry(ctx, cancel, address)()
	req, err := c.newRequest(ctx, address, r, attempt)
	if err != nil {
		return nil, err
	}
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errEntrySilent) {
			err = cause
		}
		return nil, errors.Newf("send request to %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := bound.ReadReply(resp, maxResponseBytes)
	if err != nil {
		return nil, errors.Newf("read response of %s: %w", address, err)
	}
	if refusal := parseError(resp, body); refusal != nil {
		return nil, refusal
	}
	return &Answer{
		status: resp.StatusCode, body: body, header: resp.Header,
		replayed: resp.Header.Get(headerReplayed) == "true",
	}, nil
}

// sleep waits for d and reports whether it passed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// deadlineMs returns the milliseconds left until the deadline of ctx, at least 1, or
// an empty string if ctx has no deadline.
func deadlineMs(ctx context.Context) string {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ""
	}
	return strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10)
}
