package fennelyard_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"fennelyard"
)

// entries are simulated entries, by host name. They serve requests, or refuse them as refusals says.
type entries struct {
	names []string

	mu sync.Mutex
	// refusals are the error codes and waits of the entries that refuse requests; guarded by mu, as
	// are the arrivals of requests.
	refusals map[string]refusal
	arrivals map[string][]time.Time
	// queries counts the queries of the directory; guarded by mu.
	queries map[string]int
}

type refusal struct {
	code string
	wait time.Duration
}

func newEntries(names ...string) *entries {
	return &entries{names: names, refusals: map[string]refusal{}, arrivals: map[string][]time.Time{}, queries: map[string]int{}}
}

// RoundTrip implements http.RoundTripper.
func (e *entries) RoundTrip(q *http.Request) (*http.Response, error) {
	respond := func(status int, body string) (*http.Response, error) {
		return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body)), Request: q}, nil
	}
	if q.URL.Path == "/v1/directory" {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.queries[q.URL.Host]++
		return respond(http.StatusOK, fmt.Sprintf(`{"addresses":["%s"],"keep-ms":5000}`, strings.Join(e.names, `","`)))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals[q.URL.Host] = append(e.arrivals[q.URL.Host], time.Now())
	if r := e.refusals[q.URL.Host]; r.code != "" {
		return respond(http.StatusServiceUnavailable, fmt.Sprintf(
			`{"error":{"code":%q,"message":"x","outcome":"not-run","retry-after-ms":%d}}`, r.code, r.wait.Milliseconds()))
	}
	return respond(http.StatusOK, "{}")
}

func (e *entries) client() *fennelyard.Client {
	return fennelyard.NewClient(fennelyard.ClientOptions{Addresses: e.names, Customer: "c", HTTP: &http.Client{Transport: e}})
}

// arrivalsAt returns the times of requests at an entry since start.
func (e *entries) arrivalsAt(name string, start time.Time) []time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []time.Duration
	for _, at := range e.arrivals[name] {
		out = append(out, at.Sub(start))
	}
	return out
}

var anyRequest = fennelyard.Request{Method: http.MethodGet, Path: "/services/s/x", Repeatable: true}

// An entry asks for more than five seconds. The client must not come back sooner, as it did when it
// capped waits.
func TestClientKeepsLongWaits(t *testing.T) {
	for _, code := range []string{"no-leader", "not-ready", "stopping", "still-running"} {
		t.Run(code, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEntries("e1")
				e.refusals["e1"] = refusal{code, 8 * time.Second}
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				_, err := e.client().Do(ctx, anyRequest)
				require.Error(t, err)
				arrivals := e.arrivalsAt("e1", start)
				require.GreaterOrEqual(t, len(arrivals), 2)
				for i := 1; i < len(arrivals); i++ {
					require.GreaterOrEqual(t, arrivals[i]-arrivals[i-1], 8*time.Second)
					require.LessOrEqual(t, arrivals[i]-arrivals[i-1], 9100*time.Millisecond)
				}
			})
		})
	}
}

// One entry asks a client to wait. Its other requests must go to the other entries.
func TestClientSendsAnEntryNothingWhileItWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntries("e1", "e2")
		e.refusals["e1"] = refusal{"stopping", 10 * time.Second}
		c, start := e.client(), time.Now()
		for range 20 {
			_, err := c.Do(t.Context(), anyRequest)
			require.NoError(t, err)
			time.Sleep(400 * time.Millisecond)
		}
		require.Len(t, e.arrivalsAt("e1", start), 1)
		require.Equal(t, 1, e.queries["e1"], "the directory, before")
	})
}

// All entries ask for a time that ends after the request's deadline. The client must say so at once,
// and not send anything.
func TestClientFailsAtOnceWhenAllEntriesAskToWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntries("e1", "e2")
		for _, name := range e.names {
			e.refusals[name] = refusal{"not-ready", time.Minute}
		}
		c, start := e.client(), time.Now()
		for range 3 {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			_, err := c.Do(ctx, anyRequest)
			cancel()
			var refused *fennelyard.Error
			require.True(t, errors.As(err, &refused))
			require.Equal(t, "not-run", refused.Outcome())
			require.Greater(t, refused.RetryAfter(), 50*time.Second)
		}
		require.Less(t, time.Since(start), time.Second)
		for _, name := range e.names {
			require.Len(t, e.arrivalsAt(name, start), 1)
			require.LessOrEqual(t, e.queries[name], 2, "none once it has asked to wait")
		}
	})
}

// Many clients are asked for the same wait. They must not all return at the same time.
func TestClientsReturnAtDifferentTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntries("e1")
		e.refusals["e1"] = refusal{"no-leader", 4 * time.Second}
		start := time.Now()
		var wg sync.WaitGroup
		for range 40 {
			wg.Go(func() { _, _ = e.client().Do(t.Context(), anyRequest) })
		}
		time.Sleep(time.Second)
		e.mu.Lock()
		delete(e.refusals, "e1")
		e.mu.Unlock()
		wg.Wait()
		arrivals := e.arrivalsAt("e1", start)[40:]
		slices.Sort(arrivals)
		require.GreaterOrEqual(t, arrivals[0], 4*time.Second)
		require.Greater(t, arrivals[39]-arrivals[0], 300*time.Millisecond)
	})
}
