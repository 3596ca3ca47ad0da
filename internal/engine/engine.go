// Package engine gives orders to model engines over HTTP. Another format of
// orders is met by changing this package alone.
package engine

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"fennelyard/internal/schema"
)

// The words of an order and of its reply.
const (
	OrdersPath = "/fennelyard/v1/orders"

	KindLoad   = "load"
	KindUnload = "unload"

	OutcomeDone    = "done"
	OutcomeFailed  = "failed"
	OutcomeRefused = "refused"
)

const (
	maxReplyBytes  = 64 << 10
	connectTimeout = 2 * time.Second
	// sendWithin is the time from the call to the write of an order.
	sendWithin = 3 * time.Second
)

// Client gives orders. It is safe from any goroutine.
type Client struct {
	http *http.Client
}

// NewClient returns a client that opens a connection for each order: a pooled
// one may have gone silent, and orders are rare.
func NewClient() *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialInTime}}}
}

// SendOrder sends an order and waits for the engine's final answer. An error proves
// nothing: the order may be under way, and is given again with the same number.
// The order is written only within sendWithin of the call: a leader that was
// frozen in between is deposed by the time it wakes up, and the engine may be
// another incarnation that ignores numbers.
func (c *Client) SendOrder(ctx context.Context, address string, o *schema.Order) (*schema.OrderReply, error) {
	body, err := protojson.Marshal(o)
	if err != nil {
		return nil, errors.Newf("encode order: %w", err)
	}
	ctx = context.WithValue(ctx, sendByKey{}, time.Now().Add(sendWithin))
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+OrdersPath, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Newf("make order: %w", err)
	}
	q.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(q)
	if err != nil {
		return nil, errors.Newf("give order %d: %w", o.GetFencing(), err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, errors.Newf("read answer to order %d: %w", o.GetFencing(), err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("order %d: status %d", o.GetFencing(), resp.StatusCode)
	}
	return DecodeReply(data, o.GetFencing())
}

// DecodeReply reads an answer and checks that it answers the order with that
// number: a late answer to an earlier order proves nothing about this one.
func DecodeReply(data []byte, fencing uint64) (*schema.OrderReply, error) {
	r := &schema.OrderReply{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, r); err != nil {
		return nil, errors.Newf("read order reply: %w", err)
	}
	if r.GetFencing() != fencing {
		return nil, errors.Newf("the reply answers order %d, not %d", r.GetFencing(), fencing)
	}
	switch r.GetOutcome() {
	case OutcomeDone, OutcomeFailed, OutcomeRefused:
		return r, nil
	}
	return nil, errors.Newf("order %d: unknown outcome %q", fencing, r.GetOutcome())
}
