package fennelyard

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const (
	defaultDeadline = 30 * time.Second
	connectTimeout  = 2 * time.Second
	maxAnswerBytes  = 16 << 20
	// maxAttempts bounds how many addresses one request is sent to.
	maxAttempts = 4
	minPause    = 50 * time.Millisecond
	maxPause    = 5 * time.Second
)

// ClientOptions configures a Client. Addresses and Customer are required.
type ClientOptions struct {
	// Addresses are some caller addresses (IP:PORT) of the deployment, to ask
	// for the directory first.
	Addresses []string
	// Customer is the customer that the caller belongs to.
	Customer string
	// DataCentre is where the caller is; the directory then prefers entries
	// there. Empty means that of the entry that is asked.
	DataCentre string
	// Deadline is used for requests whose context has none; 0 means 30 seconds.
	Deadline time.Duration
	// HTTP sends the requests; nil means a client of its own.
	HTTP *http.Client
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Tracer starts a span for each request, whose context travels with it; nil
	// means none.
	Tracer trace.Tracer
}

// Client sends requests to a deployment. It is safe for concurrent use by
// multiple goroutines.
type Client struct {
	opts ClientOptions

	mu sync.Mutex
	// addresses is the directory's answer, kept until until; guarded by mu.
	addresses []string
	until     time.Time
}

// NewClient returns a client. It does not connect before the first request.
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
	return &Client{opts: opts}
}

// Answer is a whole answer.
type Answer struct {
	status   int
	body     []byte
	replayed bool
	header   http.Header
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Body returns the whole body. It must not be changed.
func (a *Answer) Body() []byte { return a.body }

// Replayed reports whether the answer was kept from an earlier arrival of the
// request's key.
func (a *Answer) Replayed() bool { return a.replayed }

// Header returns the answer's header. It must not be changed.
func (a *Answer) Header() http.Header { return a.header }

// NewKey returns a random request key.
func NewKey() string { return rand.Text() }

// Complete sends an OpenAI-style chat completion and returns its whole answer.
// The body is a JSON object with a "model". Errors are of type *Error when the
// deployment refused.
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
	// Repeatable allows the client to send the request again when its outcome
	// is not known.
	Repeatable bool
	// Key names a request that must not run twice; empty means a new random key
	// when Repeatable is false.
	Key string
}

// Do sends a request and returns its whole answer. A request that is not
// repeatable is sent again only with its key, so that it runs at most once. Do
// returns a *Error when the deployment refused and the refusal is final for the
// time that the context leaves.
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
	var last error
	for attempt := 1; ; attempt++ {
		address, err := c.pick(ctx, attempt-1)
		if err != nil {
			return nil, joinLast(err, last)
		}
		answer, err := c.send(ctx, address, r, attempt)
		if err == nil {
			return answer, nil
		}
		last = err
		wait, again := c.again(ctx, r, err, attempt)
		if !again {
			return nil, err
		}
		if !sleep(ctx, wait) {
			return nil, last
		}
	}
}

func joinLast(err, last error) error {
	if last != nil {
		return last
	}
	return err
}

// again decides whether and when a request is sent once more.
func (c *Client) again(ctx context.Context, r Request, err error, attempt int) (time.Duration, bool) {
	if ctx.Err() != nil {
		return 0, false
	}
	var refused *Error
	if !errors.As(err, &refused) {
		// The connection failed: whether it ran is not known, and a key or its
		// being repeatable makes it safe to ask again.
		c.forget()
		return minPause, attempt < maxAttempts
	}
	deadline, _ := ctx.Deadline()
	wait := max(refused.retryAfter, minPause)
	if wait > time.Until(deadline) {
		return 0, false
	}
	switch refused.code {
	case "still-running":
		return min(wait, maxPause), true
	case "stopping", "not-ready", "no-leader":
		c.forget()
		return min(wait, maxPause), attempt < maxAttempts
	case "backend-failed", "stream-cut":
		return wait, r.Repeatable && attempt < maxAttempts
	}
	return 0, false
}

func (c *Client) send(ctx context.Context, address string, r Request, attempt int) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer c.watchEntry(ctx, cancel, address)()
	q, err := c.request(ctx, address, r, attempt)
	if err != nil {
		return nil, err
	}
	resp, err := c.opts.HTTP.Do(q)
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
			err = cause
		}
		return nil, errors.Newf("send to %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, errors.Newf("read answer of %s: %w", address, err)
	}
	if refused := refusalOf(resp, body); refused != nil {
		return nil, refused
	}
	return &Answer{
		status: resp.StatusCode, body: body, header: resp.Header,
		replayed: resp.Header.Get(headerReplayed) == "true",
	}, nil
}

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

func deadlineMs(ctx context.Context) string {
	deadline, ok := ctx.Deadline()
	if !ok {
		return ""
	}
	return strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10)
}
