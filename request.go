package fennelyard

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/propagation"

	"fennelyard/internal/bound"
)

const (
	headerCustomer   = "Fennelyard-Customer"
	headerDeadline   = "Fennelyard-Deadline-Ms"
	headerKey        = "Idempotency-Key"
	headerAttempt    = "Fennelyard-Attempt"
	headerReplayed   = "Fennelyard-Replayed"
	headerRepeatable = "Fennelyard-Repeatable"

	idleConnTimeout   = 10 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// newTransport returns a transport that closes silent connections within seconds.
func newTransport() *http.Transport {
	d := &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return &http.Transport{DialContext: d.DialContext, IdleConnTimeout: idleConnTimeout, MaxResponseHeaderBytes: bound.HeadBytes}
}

// newRequest returns the HTTP request for an attempt, with the trace context and the
// headers of the deployment.
func (c *Client) newRequest(ctx context.Context, address string, r Request, attempt int) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Newf("create request: %w", err)
	}
	for k, v := range r.Header {
		req.Header[k] = v
	}
	if req.Header.Get("Content-Type") == "" && len(r.Body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(req.Header))
	req.Header.Set(headerCustomer, c.opts.Customer)
	req.Header.Set(headerDeadline, deadlineMs(ctx))
	if r.Key != "" {
		req.Header.Set(headerKey, r.Key)
		req.Header.Set(headerAttempt, strconv.Itoa(attempt))
	}
	if !r.Repeatable {
		req.Header.Set(headerRepeatable, "no")
		// Without GetBody, net/http cannot retry the request by itself. A retry has
		// to carry its attempt number.
		req.GetBody = nil
	}
	return req, nil
}
