package fennelyard

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	maxDirectoryBytes = 64 << 10
	// askWait is how long one address may take: a frozen one must not use up
	// the time of those that answer.
	askWait = 2 * time.Second
)

// Entries returns the addresses that the deployment tells this caller to use,
// the best first. It asks only when the kept answer has run out. It fails when
// no known address answers.
func (c *Client) Entries(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	kept, until := c.addresses, c.until
	c.mu.Unlock()
	if len(kept) > 0 && c.opts.Now().Before(until) {
		return kept, nil
	}
	var last error
	for _, address := range append(append([]string(nil), kept...), c.opts.Addresses...) {
		addresses, keep, err := c.ask(ctx, address)
		if err != nil {
			last = err
			continue
		}
		c.mu.Lock()
		c.addresses, c.until = addresses, c.opts.Now().Add(keep)
		c.mu.Unlock()
		return addresses, nil
	}
	return nil, errors.Newf("no address answers: %w", last)
}

func (c *Client) ask(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, askWait)
	defer cancel()
	u := "http://" + address + "/v1/directory?data-centre=" + url.QueryEscape(c.opts.DataCentre)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, 0, errors.Newf("make directory request: %w", err)
	}
	resp, err := c.opts.HTTP.Do(q)
	if err != nil {
		return nil, 0, errors.Newf("ask %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxDirectoryBytes))
	if err != nil {
		return nil, 0, errors.Newf("read directory of %s: %w", address, err)
	}
	var reply struct {
		Addresses []string `json:"addresses"`
		KeepMs    int64    `json:"keep-ms"`
	}
	if err := json.Unmarshal(body, &reply); err != nil || len(reply.Addresses) == 0 {
		return nil, 0, errors.Newf("%s gave no directory (status %d)", address, resp.StatusCode)
	}
	return reply.Addresses, time.Duration(reply.KeepMs) * time.Millisecond, nil
}

// pick returns the address for an attempt, another one for each.
func (c *Client) pick(ctx context.Context, attempt int) (string, error) {
	addresses, err := c.Entries(ctx)
	if err != nil {
		return "", err
	}
	return addresses[attempt%len(addresses)], nil
}

// forget makes the next request ask the directory again.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}
