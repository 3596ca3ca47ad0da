package host_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/bound"
	"fennelyard/internal/refusal"
	"fennelyard/internal/routing"
	"fennelyard/internal/settings"
	"fennelyard/internal/standin"
)

// maxEndlessBytes is what an endless server of these tests sends at most.
const maxEndlessBytes = 64 << 20

// sendEndlessly sends bytes without end on the connection of a request, up to maxEndlessBytes, and adds what the
// other end has taken.
func sendEndlessly(w http.ResponseWriter, beginning, repeated string, taken *atomic.Int64) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, beginning)
	piece := []byte(strings.Repeat(repeated, 1+(64<<10)/len(repeated)))
	for sent := 0; sent < maxEndlessBytes && err == nil; {
		var n int
		n, err = conn.Write(piece)
		sent += n
		taken.Add(int64(n))
	}
}

// A server that sends bytes without end, in a head, a body or an event, must not fill the memory of a listed host,
// and the request that met a bound may have run.
func TestListedHostsBoundEndlessResponses(t *testing.T) {
	t.Parallel()
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		beginning, repeated string
		body                string
		outcome             refusal.Outcome
		// streamed is set if a part of the response reaches the caller.
		streamed bool
	}{
		"field":                   {ok + "A: ", "a", completion(testModel), refusal.Unknown, false},
		"fields":                  {ok, "A: b\r\n", completion(testModel), refusal.Unknown, false},
		"informational responses": {"", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", completion(testModel), refusal.Unknown, false},
		"event":                   {ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "a", `{"model":"sorter","stream":true}`, refusal.Unknown, false},
		"body in chunks":          {ok + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("b", 0x1000) + "\r\n", completion(testModel), refusal.Ran, true},
		"body":                    {ok + "Content-Length: 99999999999\r\n\r\n", "b", completion(testModel), refusal.Ran, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, "entry: {buffer-mb: 1}\n")
			var taken atomic.Int64
			h.engine("engine-1", func(cfg *standin.EngineConfig) {
				cfg.Complete = func(w http.ResponseWriter, _ *http.Request, _ string) {
					sendEndlessly(w, c.beginning, c.repeated, &taken)
				}
			})
			h.awaitServers(1)
			h.configure(1)
			if !c.streamed {
				r := h.post("/v1/chat/completions", c.body, routing.HeaderDeadline, "20000")
				require.Equal(t, c.outcome.String(), r.outcome, "%s", r.body)
				require.Contains(t, h.log.String(), "response over a bound")
				return
			}
			// The caller reads the header alone: the server is held up.
			q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, h.callerURL("/v1/chat/completions"), strings.NewReader(c.body))
			require.NoError(t, err)
			q.Header.Set(routing.HeaderCustomer, testCustomer)
			resp, err := http.DefaultClient.Do(q)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Less(t, taken.Load(), int64(maxEndlessBytes))
			require.NoError(t, resp.Body.Close())
		})
	}
}

// The continuation of a stream meets a bound, or ends its server: it is logged and evidence like a first attempt.
func TestContinuationsOfStreamsAreEvidence(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	var taken atomic.Int64
	h.engine("engine-1", func(cfg *standin.EngineConfig) {
		cfg.Complete = func(w http.ResponseWriter, q *http.Request, _ string) {
			if q.Header.Get("Last-Event-ID") != "" {
				sendEndlessly(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 2\ndata: ", "a", &taken)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: {}\n\n")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	h.awaitServers(1)
	h.configure(1)
	r := h.post("/v1/chat/completions", `{"model":"sorter","stream":true}`)
	require.Contains(t, string(r.body), "stream-cut")
	require.Less(t, taken.Load(), int64(maxEndlessBytes))
	require.Contains(t, h.log.String(), "response over a bound")
	h.eventually("evidence", func() bool { return strings.Contains(h.log.String(), "attempts broke off") })
}

// A server sends long texts in its head: they must not fill the log, nor the refusals that quote them.
func TestHeadsOfServersAreQuotedInPart(t *testing.T) {
	t.Parallel()
	const maxBytes = 2 << 10
	long := strings.Repeat("a", 48<<10)
	for name, head := range map[string]string{
		"status line": "HTTP/1.1 " + long + "\r\n\r\n",
		"request ID":  "HTTP/1.1 200 OK\r\n" + routing.HeaderRequestID + ": " + long + "\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, "")
			h.engine("engine-1", func(cfg *standin.EngineConfig) {
				cfg.Complete = func(w http.ResponseWriter, _ *http.Request, _ string) {
					conn, _, err := http.NewResponseController(w).Hijack()
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, head)
					_ = conn.Close()
				}
			})
			h.awaitServers(1)
			h.configure(1)
			for _, headers := range [][]string{nil, {"Fennelyard-Repeatable", "no", "Idempotency-Key", "k"}} {
				r := h.post("/v1/chat/completions", completion(testModel), headers...)
				require.NotEqual(t, http.StatusOK, r.status)
				require.Less(t, len(r.body), maxBytes)
			}
			for line := range strings.Lines(h.log.String()) {
				require.Less(t, len(line), maxBytes)
			}
		})
	}
}

// largeAnswer is a response of a size that no host holds, in JSON.
var largeAnswer = `{"text":"` + strings.Repeat("0123456789", 80<<10) + `"}`

// Sound responses are served whole on listed hosts however large they are, many at once, also of requests that must
// not run twice, and also when the memory for bodies is used up.
func TestListedHostsServeLargeResponsesWhole(t *testing.T) {
	t.Parallel()
	for _, megabytes := range []string{"0.001", "16"} {
		t.Run(megabytes, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, "entry: {buffer-mb: "+megabytes+"}\n")
			require.Greater(t, len(largeAnswer), bound.HeldResponseBytes)
			runs := standin.NewRuns()
			h.engine("engine-1", func(cfg *standin.EngineConfig) {
				cfg.Complete = func(w http.ResponseWriter, _ *http.Request, _ string) { _, _ = io.WriteString(w, largeAnswer) }
			})
			h.application("app-1", func(cfg *standin.ApplicationConfig) {
				cfg.Handle = func(w http.ResponseWriter, q *http.Request) {
					runs.Add(q.Header.Get("Idempotency-Key"))
					_, _ = io.WriteString(w, largeAnswer)
				}
			})
			h.awaitServers(2)
			h.configure(1)
			var wg sync.WaitGroup
			for i := range 16 {
				wg.Go(func() {
					r := h.post("/v1/chat/completions", completion(testModel))
					require.Equal(t, http.StatusOK, r.status, "%s", r.message)
					require.True(t, string(r.body) == largeAnswer)
				})
				wg.Go(func() {
					r := h.post("/services/regdesk/enter", "{}", "Idempotency-Key", fmt.Sprint("k", i))
					require.Equal(t, http.StatusOK, r.status, "%s", r.message)
					require.True(t, string(r.body) == largeAnswer)
				})
			}
			wg.Wait()
			// The response was too large to be kept, and the request is not run again.
			r := h.post("/services/regdesk/enter", "{}", "Idempotency-Key", "k1")
			require.Equal(t, refusal.Ran.String(), r.outcome, "%s", r.body)
			require.Equal(t, 1, runs.Max())
		})
	}
}

// A large response of a request that must not run twice breaks off after a part of it was forwarded: its caller must
// not take it for complete, and the request is not run again.
func TestLargeClaimedResponseThatBreaksOff(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	runs := standin.NewRuns()
	h.application("app-1", func(cfg *standin.ApplicationConfig) {
		cfg.Handle = func(w http.ResponseWriter, q *http.Request) {
			runs.Add(q.Header.Get("Idempotency-Key"))
			_, _ = io.WriteString(w, largeAnswer)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	h.awaitServers(1)
	h.configure(1)
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, h.callerURL("/services/regdesk/enter"), strings.NewReader("{}"))
	require.NoError(t, err)
	q.Header.Set(routing.HeaderCustomer, testCustomer)
	q.Header.Set("Idempotency-Key", "k")
	resp, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
	require.NoError(t, resp.Body.Close())
	r := h.post("/services/regdesk/enter", "{}", "Idempotency-Key", "k")
	require.Equal(t, refusal.Ran.String(), r.outcome, "%s", r.body)
	require.Equal(t, 1, runs.Max())
	// The server may have crashed under the request.
	h.eventually("evidence of the attempt", func() bool { return strings.Contains(h.log.String(), "attempts broke off") })
	require.Contains(t, scrape(t, h), "fennelyard_requests_at_servers 0")
}

// A server ends within a large response of a claimed request, and another one completes the same request: the end is
// evidence, and the completion clears it.
func TestLargeClaimedResponsesAreEvidence(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	post := func(key string) (whole bool) {
		q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, h.callerURL("/services/regdesk/enter"), strings.NewReader("{}"))
		require.NoError(t, err)
		q.Header.Set(routing.HeaderCustomer, testCustomer)
		q.Header.Set("Idempotency-Key", key)
		resp, err := http.DefaultClient.Do(q)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		_, err = io.ReadAll(resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK
	}
	l := listen(t)
	h.application("app-1", func(cfg *standin.ApplicationConfig) {
		cfg.Listener = l
		cfg.Handle = func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, largeAnswer)
			w.(http.Flusher).Flush()
			_ = l.Close()
			panic(http.ErrAbortHandler)
		}
	})
	h.awaitServers(1)
	h.configure(1)
	require.False(t, post("k1"))
	h.eventually("a server that has ended", func() bool { return strings.Contains(h.log.String(), `"answers":"refused"`) })
	h.application("app-2", func(cfg *standin.ApplicationConfig) {
		cfg.Handle = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, largeAnswer) }
	})
	h.awaitServers(2)
	n := 1
	h.eventually("the request completed", func() bool {
		n++
		return post(fmt.Sprint("k", n))
	})
	h.eventually("the request cleared", func() bool { return strings.Contains(h.log.String(), "suspect cleared") })
	h.eventually("no request at a server", func() bool { return strings.Contains(scrape(t, h), "fennelyard_requests_at_servers 0") })
}

// A large response that breaks off must not look complete, and gives the place of its request at its replica back.
func TestLargeResponseThatBreaksOffGivesItsPlaceBack(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "entry: {replica-limit: 1}\n")
	var calls atomic.Int64
	h.engine("engine-1", func(cfg *standin.EngineConfig) {
		cfg.Complete = func(w http.ResponseWriter, _ *http.Request, _ string) {
			if calls.Add(1) > 1 {
				_, _ = io.WriteString(w, largeAnswer)
				return
			}
			_, _ = io.WriteString(w, largeAnswer)
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	})
	h.awaitServers(1)
	h.configure(1)
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, h.callerURL("/v1/chat/completions"), strings.NewReader(completion(testModel)))
	require.NoError(t, err)
	q.Header.Set(routing.HeaderCustomer, testCustomer)
	resp, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	_, err = io.ReadAll(resp.Body)
	require.Error(t, err)
	require.NoError(t, resp.Body.Close())
	for range 2 {
		r := h.post("/v1/chat/completions", completion(testModel), routing.HeaderDeadline, "25000")
		require.Equal(t, http.StatusOK, r.status, "%s", r.message)
	}
	require.Contains(t, scrape(t, h), "fennelyard_requests_at_servers 0")
}

// A request whose body finds no memory is refused as not run, with a time to return, and the memory of requests that
// have ended is there again.
func TestListedHostsRefuseBodiesWithoutMemory(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "entry: {buffer-mb: 0.1}\n")
	h.application("app-1", nil)
	h.awaitServers(1)
	h.configure(1)
	body := strings.Repeat("a", settings.DefaultMaxBodyBytes/2)
	r := h.post("/services/regdesk/enter", body, "Idempotency-Key", "k", "Fennelyard-Attempt", "1")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "no-memory", r.code)
	require.Equal(t, refusal.NotRun.String(), r.outcome)
	require.NotEmpty(t, r.header.Get("Retry-After"))
	for i := range 20 {
		// 40 KB fit, and only if earlier ones were given back.
		r = h.post("/services/regdesk/enter", body[:40<<10], "Idempotency-Key", fmt.Sprint("small", i))
		require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	}
	h.eventually("no memory taken", func() bool { return strings.Contains(scrape(t, h), "fennelyard_buffer_bytes 0") })
}

// scrape returns the metrics of the host.
func scrape(t *testing.T, h *harness) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	h.host.Metrics().Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return recorder.Body.String()
}
