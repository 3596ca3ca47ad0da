package fennelyard

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/bound"
	"fennelyard/internal/cooldown"
)

const (
	maxDirectoryBytes = 64 << 10
	// directoryTimeout limits the query of one address, so that an unresponsive
	// entry leaves time for the others.
	directoryTimeout = 2 * time.Second
)

// Entries returns the addresses of the entries that the deployment assigns to
// this caller, in order of preference. It queries the directory only when the
// cached one has expired, at entries that have not asked this client to wait. It fails
// when all known addresses fail.
func (c *Client) Entries(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	cached, expiry := c.addresses, c.expiry
	c.mu.Unlock()
	if len(cached) > 0 && c.opts.Now().Before(expiry) {
		return cached, nil
	}
	var lastErr error
	for _, address := range append(append([]string(nil), cached...), c.opts.Addresses...) {
		if wait := c.cooldowns.Remaining(address, c.opts.Now()); wait > 0 {
			lastErr = errors.Newf("query directory of %s: %w", address, &cooldown.Error{Wait: wait})
			continue
		}
		addresses, ttl, err := c.fetchDirectory(ctx, address)
		if err != nil {
			lastErr = err
			continue
		}
		c.mu.Lock()
		c.addresses, c.expiry = addresses, c.opts.Now().Add(ttl)
		c.mu.Unlock()
		return addresses, nil
	}
	if cooldown.WaitOf(lastErr) > 0 && len(cached) > 0 {
		return cached, nil
	}
	return nil, errors.Newf("fetch directory: all known addresses failed: %w", lastErr)
}

// fetchDirectory queries the entry at an address for the directory and returns the
// addresses in it and how long they may be cached.
func (c *Client) fetchDirectory(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	u := "http://" + address + "/v1/directory?data-centre=" + url.QueryEscape(c.opts.DataCentre)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, 0, errors.Newf("create directory request: %w", err)
	}
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		return nil, 0, errors.Newf("query directory of %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := bound.ReadReply(resp, maxDirectoryBytes)
	if err != nil {
		return nil, 0, errors.Newf("read directory of %s: %w", address, err)
	}
	var reply struct {
		Addresses []string `json:"addresses"`
		KeepMs    int64    `json:"keep-ms"`
	}
	if err := json.Unmarshal(body, &reply); err != nil || len(reply.Addresses) == 0 {
		return nil, 0, errors.Newf("no valid directory in response of %s (status %d)", address, resp.StatusCode)
	}
	return reply.Addresses, time.Duration(reply.KeepMs) * time.Millisecond, nil
}

// selectAddress returns the address for an attempt. Successive attempts use
// successive addresses of the directory, without those of entries that have asked this
// client to wait. If all have, selectAddress waits for the first, or fails with an Error
// if that is after the deadline of ctx.
func (c *Client) selectAddress(ctx context.Context, attempt int) (string, error) {
	for {
		addresses, err := c.Entries(ctx)
		if err != nil {
			return "", err
		}
		now := c.opts.Now()
		wait := time.Duration(0)
		for i := range addresses {
			address := addresses[(attempt+i)%len(addresses)]
			if c.cooldowns.Admit(address, now) {
				return address, nil
			}
			if left := c.cooldowns.AvailableIn(address, now); wait == 0 || left < wait {
				wait = left
			}
		}
		if deadline, ok := ctx.Deadline(); ok && wait > time.Until(deadline) {
			return "", &Error{
				code: codeNoEntry, outcome: outcomeNotRun, message: "every entry has asked this client to wait",
				status: http.StatusServiceUnavailable, retryAfter: wait,
			}
		}
		if !sleep(ctx, wait) {
			return "", errors.Newf("wait for an entry: %w", ctx.Err())
		}
	}
}

// invalidateDirectory makes the next request fetch the directory again.
func (c *Client) invalidateDirectory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiry = time.Time{}
}
