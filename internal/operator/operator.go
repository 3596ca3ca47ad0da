// Package operator implements the client for operator commands and the HTTP handlers
// for suspect requests.
package operator

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/bound"
	"fennelyard/internal/schema"
)

const (
	callTimeout   = 10 * time.Second
	maxReplyBytes = 64 << 20
)

// ErrRefused is wrapped by every error that contains an error reply of the
// deployment.
var ErrRefused = errors.New("refused")

// Client sends operator commands to one entry. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client for an operator address.
func NewClient(address string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = bound.ReplyHeadBytes
	return &Client{address: address, http: &http.Client{Timeout: callTimeout, Transport: transport}}
}

// Apply requests a plan for an intent. The reply contains whether the command was
// accepted.
func (c *Client) Apply(ctx context.Context, request *schema.IntentRequest) (*schema.OperatorReply, error) {
	return c.command(ctx, "/v1/intents", request)
}

// Decide confirms or rejects a plan.
func (c *Client) Decide(ctx context.Context, plan uint64, confirm bool, request *schema.DecisionRequest) (*schema.OperatorReply, error) {
	verb := "reject"
	if confirm {
		verb = "confirm"
	}
	return c.command(ctx, "/v1/plans/"+strconv.FormatUint(plan, 10)+"/"+verb, request)
}

// Forget declares that a lost server will not return.
func (c *Client) Forget(ctx context.Context, server string, request *schema.ForgetRequest) (*schema.OperatorReply, error) {
	return c.command(ctx, "/v1/servers/"+server+"/forget", request)
}

// Intents returns the plans and the revision on which the next command must be based.
func (c *Client) Intents(ctx context.Context) (*schema.IntentList, error) {
	out := &schema.IntentList{}
	return out, c.call(ctx, http.MethodGet, "/v1/intents", nil, out)
}

// Plan returns one plan.
func (c *Client) Plan(ctx context.Context, number uint64) (*schema.PlanView, error) {
	out := &schema.PlanView{}
	return out, c.call(ctx, http.MethodGet, "/v1/plans/"+strconv.FormatUint(number, 10), nil, out)
}

// Status returns the state of the deployment as known to the entry.
func (c *Client) Status(ctx context.Context) (*schema.StatusView, error) {
	out := &schema.StatusView{}
	return out, c.call(ctx, http.MethodGet, "/v1/status", nil, out)
}

// Suspects returns the requests during which servers ended, as known to the host.
func (c *Client) Suspects(ctx context.Context) (*schema.SuspectList, error) {
	out := &schema.SuspectList{}
	return out, c.call(ctx, http.MethodGet, SuspectsPath, nil, out)
}

// Release clears a suspect request, so that it is no longer held back.
func (c *Client) Release(ctx context.Context, key string, request *schema.ReleaseRequest) (*schema.OperatorReply, error) {
	return c.command(ctx, SuspectsPath+"/"+url.PathEscape(key)+"/release", request)
}

func (c *Client) command(ctx context.Context, path string, request proto.Message) (*schema.OperatorReply, error) {
	out := &schema.OperatorReply{}
	return out, c.call(ctx, http.MethodPost, path, request, out)
}

// call decodes every response of the expected type, whatever its HTTP status: the
// reply to a refused command contains more information than its status.
func (c *Client) call(ctx context.Context, method, path string, request, out proto.Message) error {
	var body []byte
	if request != nil {
		var err error
		if body, err = protojson.Marshal(request); err != nil {
			return errors.Newf("encode command: %w", err)
		}
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Newf("create request: %w", err)
	}
	resp, err := c.http.Do(httpRequest)
	if err != nil {
		return errors.Newf("reach %s: %w", c.address, bound.ShortError(err))
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := bound.ReadAll(resp.Body, maxReplyBytes)
	if err != nil {
		return errors.Newf("read response of %s: %w", c.address, err)
	}
	refused := &schema.ErrorReply{}
	if protojson.Unmarshal(data, refused) == nil && refused.GetError().GetCode() != "" {
		return errors.Newf("%s (%s): %s: %w", refused.GetError().GetCode(), refused.GetError().GetOutcome(),
			refused.GetError().GetMessage(), ErrRefused)
	}
	if err := protojson.Unmarshal(data, out); err != nil {
		return errors.Newf("decode response of %s (status %d): %w", c.address, resp.StatusCode, err)
	}
	return nil
}
