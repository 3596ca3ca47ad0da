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
)

const (
	headerCustomer = "Fennelyard-Customer"
	headerDeadline = "Fennelyard-Deadline-Ms"
	headerKey      = "Idempotency-Key"
	headerAttempt  = "Fennelyard-Attempt"
	headerReplayed = "Fennelyard-Replayed"
	headerNo       = "Fennelyard-Repeatable"

	idleTimeout       = 10 * time.Second
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// newTransport gives up connections that went silent within seconds.
func newTransport() *http.Transport {
	d := &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return &http.Transport{DialContext: d.DialContext, IdleConnTimeout: idleTimeout}
}

func (c *Client) request(ctx context.Context, address string, r Request, attempt int) (*http.Request, error) {
	q, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Newf("make request: %w", err)
	}
	for k, v := range r.Header {
		q.Header[k] = v
	}
	if q.Header.Get("Content-Type") == "" && len(r.Body) > 0 {
		q.Header.Set("Content-Type", "application/json")
	}
	propagation.TraceContext{}.Inject(ctx, propagation.HeaderCarrier(q.Header))
	q.Header.Set(headerCustomer, c.opts.Customer)
	q.Header.Set(headerDeadline, deadlineMs(ctx))
	if r.Key != "" {
		q.Header.Set(headerKey, r.Key)
		q.Header.Set(headerAttempt, strconv.Itoa(attempt))
	}
	if !r.Repeatable {
		q.Header.Set(headerNo, "no")
		// The library must not repeat it by itself: a resend says that it is one.
		q.GetBody = nil
	}
	return q, nil
}
