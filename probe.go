package fennelyard

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// probeEvery is the time between two signs of life that the client asks of
	// an entry which works on its request, probeWait the time for each.
	probeEvery = 2 * time.Second
	probeWait  = 2 * time.Second
	// maxSilent is how many signs in a row may be missing.
	maxSilent = 2
)

var errSilent = errors.New("the entry went silent")

// watchEntry cancels a request whose entry no longer gives a sign of life, and
// returns a function that ends the watch. A cold answer may take long, so that
// the request's own connection tells nothing: an entry that is frozen, or a
// connection that something in between has forgotten, looks like one that
// waits for a load. Each sign is asked for on a connection of its own.
func (c *Client) watchEntry(ctx context.Context, cancel context.CancelCauseFunc, address string) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(probeEvery)
		defer ticker.Stop()
		for silent := 0; silent < maxSilent; {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if c.probe(ctx, address) {
				silent = 0
				continue
			}
			silent++
		}
		cancel(errSilent)
	}()
	return func() { close(done) }
}

func (c *Client) probe(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeWait)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/directory", nil)
	if err != nil {
		return false
	}
	fresh := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: connectTimeout}).DialContext}
	resp, err := (&http.Client{Transport: fresh}).Do(q)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return true
}
