// Package engine sends orders to model engines over HTTP. Supporting another format
// of orders requires changes to this package only.
package engine

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"fennelyard/internal/bound"
	"fennelyard/internal/schema"
)

// The path of orders, the kinds of orders and the outcomes in replies.
const (
	OrdersPath = "/fennelyard/v1/orders"

	KindLoad   = "load"
	KindUnload = "unload"

	OutcomeDone    = "done"
	OutcomeFailed  = "failed"
	OutcomeRefused = "refused"
)

const (
	connectTimeout = 2 * time.Second
	// sendTimeout bounds the time from the call until the order is written.
	sendTimeout = 3 * time.Second
)

// Client sends orders. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a Client that opens a connection for each order: a pooled
// connection may have been lost, and orders are rare.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: dialBeforeDeadline, MaxResponseHeaderBytes: bound.ReplyHeadBytes,
	}}}
}

// SendOrder sends an order and waits for the engine's final reply. After an error the
// order may still be in progress, and must be sent again with the same fencing token.
// The order is written only within sendTimeout of the call: a leader that was frozen for
// longer has been deposed when it resumes, and the engine may be another incarnation
// that ignores fencing tokens.
func (c *Client) SendOrder(ctx context.Context, address string, o *schema.Order) (*schema.OrderReply, error) {
	body, err := protojson.Marshal(o)
	if err != nil {
		return nil, errors.Newf("encode order: %w", err)
	}
	ctx = context.WithValue(ctx, sendDeadlineKey{}, time.Now().Add(sendTimeout))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+OrdersPath, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Newf("create order request: %w", err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Newf("send order %d: %w", o.GetFencing(), bound.ShortError(err))
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := bound.ReadAll(resp.Body, bound.OrderReplyBytes)
	if err != nil {
		return nil, errors.Newf("read reply to order %d: %w", o.GetFencing(), err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("order %d: status %d", o.GetFencing(), resp.StatusCode)
	}
	return DecodeReply(data, o.GetFencing())
}

// DecodeReply decodes a reply and checks that it belongs to the order with a fencing
// token: a late reply to an earlier order proves nothing about this one.
func DecodeReply(data []byte, fencing uint64) (*schema.OrderReply, error) {
	r := &schema.OrderReply{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, r); err != nil {
		return nil, errors.Newf("read order reply: %w", bound.ShortError(err))
	}
	if r.GetFencing() != fencing {
		return nil, errors.Newf("the reply belongs to order %d, not %d", r.GetFencing(), fencing)
	}
	r.Reason = bound.ShortText(r.GetReason())
	switch r.GetOutcome() {
	case OutcomeDone, OutcomeFailed, OutcomeRefused:
		return r, nil
	}
	return nil, bound.ShortError(errors.Newf("order %d: unknown outcome %q", fencing, r.GetOutcome()))
}
