// Package operator is the client for operators' commands.
package operator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

const (
	callTimeout   = 10 * time.Second
	maxReplyBytes = 64 << 20
)

// ErrRefused is wrapped into every error that carries an answer of the
// deployment.
var ErrRefused = errors.New("refused")

// Client gives commands to one entry. It is safe from any goroutine.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client for an operator address.
func NewClient(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: callTimeout}}
}

// Apply asks for a plan. The reply may say that the command was not accepted.
func (c *Client) Apply(ctx context.Context, q *schema.IntentRequest) (*schema.OperatorReply, error) {
	return c.command(ctx, "/v1/intents", q)
}

// Decide confirms or rejects a plan.
func (c *Client) Decide(ctx context.Context, plan uint64, confirm bool, q *schema.DecisionRequest) (*schema.OperatorReply, error) {
	verb := "reject"
	if confirm {
		verb = "confirm"
	}
	return c.command(ctx, "/v1/plans/"+strconv.FormatUint(plan, 10)+"/"+verb, q)
}

// Forget tells that a lost server will not come back.
func (c *Client) Forget(ctx context.Context, server string, q *schema.ForgetRequest) (*schema.OperatorReply, error) {
	return c.command(ctx, "/v1/servers/"+server+"/forget", q)
}

// Intents lists the plans and the revision for the next command.
func (c *Client) Intents(ctx context.Context) (*schema.IntentList, error) {
	out := &schema.IntentList{}
	return out, c.call(ctx, http.MethodGet, "/v1/intents", nil, out)
}

// Plan returns one plan.
func (c *Client) Plan(ctx context.Context, number uint64) (*schema.PlanView, error) {
	out := &schema.PlanView{}
	return out, c.call(ctx, http.MethodGet, "/v1/plans/"+strconv.FormatUint(number, 10), nil, out)
}

// Status returns the deployment as the entry sees it.
func (c *Client) Status(ctx context.Context) (*schema.StatusView, error) {
	out := &schema.StatusView{}
	return out, c.call(ctx, http.MethodGet, "/v1/status", nil, out)
}

// Suspects lists the requests under which servers ended, as the host knows them.
func (c *Client) Suspects(ctx context.Context) (*schema.SuspectList, error) {
	out := &schema.SuspectList{}
	return out, c.call(ctx, http.MethodGet, SuspectsPath, nil, out)
}

// Release has a request held back no longer.
func (c *Client) Release(ctx context.Context, key string, q *schema.ReleaseRequest) (*schema.OperatorReply, error) {
	return c.command(ctx, SuspectsPath+"/"+url.PathEscape(key)+"/release", q)
}

func (c *Client) command(ctx context.Context, path string, q proto.Message) (*schema.OperatorReply, error) {
	out := &schema.OperatorReply{}
	return out, c.call(ctx, http.MethodPost, path, q, out)
}

// call decodes every answer of the expected shape, whatever its status: a
// refused command's reply tells more than its status.
func (c *Client) call(ctx context.Context, method, path string, q, out proto.Message) error {
	var body []byte
	if q != nil {
		var err error
		if body, err = protojson.Marshal(q); err != nil {
			return errors.Newf("encode command: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Newf("make request: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return errors.Newf("reach %s: %w", c.address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return errors.Newf("read answer of %s: %w", c.address, err)
	}
	refused := &schema.ErrorReply{}
	if protojson.Unmarshal(data, refused) == nil && refused.GetError().GetCode() != "" {
		return errors.Newf("%s (%s): %s: %w", refused.GetError().GetCode(), refused.GetError().GetOutcome(),
			refused.GetError().GetMessage(), ErrRefused)
	}
	if err := protojson.Unmarshal(data, out); err != nil {
		return errors.Newf("read answer of %s (status %d): %w", c.address, resp.StatusCode, err)
	}
	return nil
}
