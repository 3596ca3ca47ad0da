package fennelyard

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/bound"
)

const (
	// probeInterval is the time between probes of an entry that processes a
	// request.
	probeInterval = 2 * time.Second
	probeTimeout  = 2 * time.Second
	// maxFailedProbes is the number of consecutive failed probes after which the
	// entry is considered silent.
	maxFailedProbes = 2
)

var errEntrySilent = errors.New("entry stopped responding to probes")

// watchEntry probes an entry and cancels the request there when the entry no
// longer responds; stop ends the probes. A cold start may take long, so that
// silence on the request's own connection proves nothing: a frozen entry, or a
// connection whose state was lost by a device on the path, looks like a request
// that waits for a load. Each probe uses a new connection.
func (c *Client) watchEntry(ctx context.Context, cancel context.CancelCauseFunc, address string) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(probeInterval)
		defer ticker.Stop()
		for failed := 0; failed < maxFailedProbes; {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if c.cooldowns.Remaining(address, c.opts.Now()) > 0 {
				// The entry wants no requests for now, and has responded to say so.
				continue
			}
			if c.probe(ctx, address) {
				failed = 0
				continue
			}
			failed++
		}
		cancel(errEntrySilent)
	}()
	return func() { close(done) }
}

// probe reports whether an entry responds on a new connection.
func (c *Client) probe(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/directory", nil)
	if err != nil {
		return false
	}
	transport := &http.Transport{
		DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext, MaxResponseHeaderBytes: bound.ReplyHeadBytes,
	}
	resp, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}
