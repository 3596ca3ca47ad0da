package host_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelyard"
	"fennelyard/internal/routing"
	"fennelyard/internal/standin"
)

type response struct {
	status  int
	header  http.Header
	body    []byte
	code    string
	outcome string
	message string
}

// post sends one request without the client's retries.
func (h *harness) post(path, body string, header ...string) response {
	h.t.Helper()
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, h.callerURL(path), strings.NewReader(body))
	require.NoError(h.t, err)
	q.Header.Set(routing.HeaderCustomer, testCustomer)
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	return h.send(q)
}

// newResponse parses a complete response.
func newResponse(resp *http.Response, data []byte) response {
	out := response{status: resp.StatusCode, header: resp.Header, body: data}
	var e struct {
		Error struct {
			Code, Outcome, Message string
		}
	}
	if json.Unmarshal(data, &e) == nil {
		out.code, out.outcome, out.message = e.Error.Code, e.Error.Outcome, e.Error.Message
	}
	return out
}

func completion(model string) string { return `{"model":"` + model + `"}` }

// TestInvalidRequests tests the status and the error code of each kind of invalid
// request.
func TestInvalidRequests(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "entry:\n  max-body-bytes: 4096\n")
	h.application("app-1", nil)
	h.awaitServers(1)
	h.configure(1)
	key := "Idempotency-Key"
	first := h.post("/services/regdesk/enter", "{}", key, "used")
	require.Equal(t, http.StatusOK, first.status, "%s", first.body)
	for _, c := range []struct {
		name, path, body string
		header           []string
		status           int
		code             string
	}{
		{"malformed JSON", "/v1/chat/completions", "{", nil, 400, "bad-request"},
		{"no model", "/v1/chat/completions", "{}", nil, 400, "bad-request"},
		{"body over the limit", "/v1/chat/completions", strings.Repeat("x", 5000), nil, 413, "body-too-large"},
		{"unknown model", "/v1/chat/completions", completion("nobody"), nil, 404, "unknown-target"},
		{"service as a model", "/v1/chat/completions", completion(testService), nil, 404, "unknown-target"},
		{"unknown customer", "/v1/chat/completions", completion(testModel), []string{routing.HeaderCustomer, "else"}, 403, "unknown-customer"},
		{"no customer", "/v1/chat/completions", completion(testModel), []string{routing.HeaderCustomer, ""}, 403, "unknown-customer"},
		{"deadline without a number", "/v1/chat/completions", completion(testModel), []string{routing.HeaderDeadline, "soon"}, 400, "bad-request"},
		{"past deadline", "/v1/chat/completions", completion(testModel), []string{routing.HeaderDeadline, "0"}, 504, "deadline-passed"},
		{"no key", "/services/regdesk/enter", "{}", nil, 400, "key-missing"},
		{"key of another body", "/services/regdesk/enter", "{1}", []string{key, "used"}, 422, "key-reused"},
		{"key of another path", "/services/regdesk/leave", "{}", []string{key, "used"}, 422, "key-reused"},
		{"long key", "/services/regdesk/enter", "{}", []string{key, strings.Repeat("k", 129)}, 400, "bad-request"},
		{"unknown service", "/services/other/enter", "{}", []string{key, "k"}, 404, "unknown-target"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := h.post(c.path, c.body, c.header...)
			assert.Equal(t, c.status, r.status, "%s", r.body)
			assert.Equal(t, c.code, r.code)
			assert.NotEmpty(t, r.message)
			assert.NotEmpty(t, r.outcome)
		})
	}
}

// TestNotRunOutcomeIsCorrect closes the connection to the application server after
// every byte of the request and after every byte of the response. The outcome not-run
// must only be returned if the request did not run, and a retry with the same key must
// not run a request again that may have run.
func TestNotRunOutcomeIsCorrect(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	l := newTruncatingListener(t)
	runs := standin.NewRuns()
	h.application("app-1", func(c *standin.ApplicationConfig) { c.Listener, c.Runs = l, runs })
	h.awaitServers(1)
	h.configure(1)
	outcomes := map[string]int{}
	try := func(name string) {
		r := h.post("/services/regdesk/enter", `{"club":"x"}`, "Idempotency-Key", name)
		n := runs.Count(name)
		outcomes[fmt.Sprintf("%s %s", r.outcome, r.code)]++
		if r.outcome == "not-run" {
			require.Zero(t, n, "%s: outcome is not-run, but the request ran", name)
		}
		if r.status == http.StatusOK {
			require.Equal(t, 1, n, name)
			require.True(t, json.Valid(r.body), "%s: %s", name, r.body)
		}
		// The retry reaches the server over an unlimited connection.
		l.readLimit.Store(-1)
		l.writeLimit.Store(-1)
		again := h.post("/services/regdesk/enter", `{"club":"x"}`, "Idempotency-Key", name)
		require.LessOrEqual(t, runs.Count(name), 1, name)
		if r.outcome == "not-run" {
			require.Equal(t, http.StatusOK, again.status, "%s: %s", name, again.body)
		}
	}
	for n := range int64(420) {
		l.readLimit.Store(n)
		try(fmt.Sprintf("request-%d", n))
	}
	for n := range int64(300) {
		l.writeLimit.Store(n)
		try(fmt.Sprintf("answer-%d", n))
	}
	t.Log(outcomes)
	assert.Equal(t, 1, runs.Max())
}

// TestRefusedConnectionIsNotRun tests requests to a server whose process has ended but
// which is still recorded. The refused connection proves that the request did not run,
// so it is retried at another server under the same claim.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	runs := standin.NewRuns()
	stopped := h.application("app-1", func(c *standin.ApplicationConfig) { c.Runs = runs })
	h.application("app-2", func(c *standin.ApplicationConfig) { c.Runs = runs })
	h.awaitServers(2)
	h.configure(1)
	stopped.Close()
	for i := range 20 {
		r := h.post("/services/regdesk/enter", "{}", "Idempotency-Key", fmt.Sprint("k", i))
		require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	}
	assert.Equal(t, 1, runs.Max())
}

// TestBrokenResponsesAreRetried tests an engine that truncates, swaps or fails every
// third response. Every caller must get the complete response to its own request.
func TestBrokenResponsesAreRetried(t *testing.T) {
	t.Parallel()
	complete := func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"id":%q,"text":"whole"}`, q.Header.Get(routing.HeaderRequestID))
	}
	for _, c := range []struct {
		name        string
		writeBroken func(w http.ResponseWriter, q *http.Request)
	}{
		{"truncated with a content length", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000")
			_, _ = w.Write([]byte(`{"id":"x","text":"wh`))
		}},
		{"truncated without a content length", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"id":"x","text":"wh`))
		}},
		{"aborted after a part of the body", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"id":"x",`))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}},
		{"response to another request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(routing.HeaderRequestID, "another")
			_, _ = w.Write([]byte(`{"id":"another","text":"whole"}`))
		}},
		{"server error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }},
		{"not run", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(routing.HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, "")
			var calls, broken atomic.Int64
			h.engine("engine-1", func(cfg *standin.EngineConfig) {
				cfg.Complete = func(w http.ResponseWriter, q *http.Request, _ string) {
					// Every third response is broken.
					if calls.Add(1)%3 == 0 {
						broken.Add(1)
						c.writeBroken(w, q)
						return
					}
					complete(w, q)
				}
			})
			h.awaitServers(1)
			h.configure(1)
			for range 30 {
				r := h.post("/v1/chat/completions", completion(testModel))
				require.Equal(t, http.StatusOK, r.status, "%s", r.body)
				var a struct{ ID, Text string }
				require.NoError(t, json.Unmarshal(r.body, &a), "%s", r.body)
				assert.Equal(t, "whole", a.Text)
				assert.Equal(t, r.header.Get(routing.HeaderRequestID), a.ID)
			}
			assert.NotZero(t, broken.Load())
		})
	}
}

// parseTokens returns the tokens of an SSE body, whether it ends with [DONE], and
// whether it contains an error event.
func parseTokens(body []byte) (tokens []string, done, failed bool) {
	for _, block := range bytes.Split(body, []byte("\n\n")) {
		text := string(block)
		switch {
		case strings.Contains(text, "event: error"):
			failed = true
		case strings.Contains(text, "[DONE]"):
			done = true
		case strings.Contains(text, `"content":"`):
			_, rest, _ := strings.Cut(text, `"content":"`)
			token, _, _ := strings.Cut(rest, `"`)
			tokens = append(tokens, token)
		}
	}
	return tokens, done, failed
}

// TestStreams tests streams that are interrupted. If the engine numbers its events, the
// stream is resumed without lost or duplicate tokens; otherwise the caller gets an
// explicit error event and no [DONE].
func TestStreams(t *testing.T) {
	t.Parallel()
	const all = 12
	event := func(w http.ResponseWriter, n int, numbered bool) {
		if numbered {
			_, _ = fmt.Fprintf(w, "id: %d\n", n)
		}
		_, _ = fmt.Fprintf(w, "data: {\"content\":\"t%d\"}\n\n", n)
		w.(http.Flusher).Flush()
	}
	for _, c := range []struct {
		name     string
		numbered bool
		cutAfter int
		// overlap is how many events an engine repeats after a resume.
		overlap int
		done    bool
	}{
		{"uninterrupted", true, 0, 0, true},
		{"resumed", true, 5, 0, true},
		{"resumed with duplicate events", true, 5, 3, true},
		{"interrupted without event numbers", false, 5, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, "")
			h.engine("engine-1", func(cfg *standin.EngineConfig) {
				cfg.Complete = func(w http.ResponseWriter, q *http.Request, _ string) {
					w.Header().Set("Content-Type", "text/event-stream")
					last := 0
					_, _ = fmt.Sscan(q.Header.Get("Last-Event-ID"), &last)
					for n := max(last-c.overlap, 0) + 1; n <= all; n++ {
						if last == 0 && c.cutAfter > 0 && n > c.cutAfter {
							// The connection ends within an event.
							_, _ = w.Write([]byte("data: {\"conte"))
							w.(http.Flusher).Flush()
							panic(http.ErrAbortHandler)
						}
						event(w, n, c.numbered)
					}
					_, _ = w.Write([]byte("data: [DONE]\n\n"))
				}
			})
			h.awaitServers(1)
			h.configure(1)
			r := h.post("/v1/chat/completions", `{"model":"sorter","stream":true}`)
			tokens, done, failed := parseTokens(r.body)
			assert.Equal(t, c.done, done, "%s", r.body)
			assert.Equal(t, !c.done, failed)
			want := all
			if !c.done {
				want = c.cutAfter
			}
			require.Len(t, tokens, want)
			for i, w := range tokens {
				assert.Equal(t, fmt.Sprintf("t%d", i+1), w)
			}
		})
	}
}

// TestOneLoadPerBurst tests that concurrent requests of forty callers for a model that
// is not loaded cause exactly one load, which serves all of them.
func TestOneLoadPerBurst(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	first := h.engine("engine-1", func(c *standin.EngineConfig) { c.LoadTime = 200 * time.Millisecond })
	second := h.engine("engine-2", nil)
	h.awaitServers(2)
	h.configure(1)
	h.burst(40)
	assert.Equal(t, 1, first.Loads(testModel)+second.Loads(testModel))
	assert.Zero(t, first.Overcommits()+second.Overcommits())
}

// TestRefusalWithoutEngines tests that a request for a model is refused well before its
// deadline, with a retry time, if there is no engine that could load the model.
func TestRefusalWithoutEngines(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	h.configure(1)
	start := time.Now()
	_, err := h.client().Complete(context.Background(), []byte(completion(testModel)))
	var refused *fennelyard.Error
	require.True(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, "no-capacity", refused.Code())
	assert.Equal(t, "not-run", refused.Outcome())
	assert.Positive(t, refused.RetryAfter())
	assert.Less(t, time.Since(start), testTimeout/2)
}

// TestLeavingServerGetsNoNewRequests tests that once a server has announced that it is
// leaving, new requests go to other servers.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	first := h.application("app-1", nil)
	second := h.application("app-2", nil)
	h.awaitServers(2)
	h.configure(1)
	first.Leave()
	for i := range 20 {
		r := h.post("/services/regdesk/enter", "{}", "Idempotency-Key", fmt.Sprint("k", i))
		require.Equal(t, http.StatusOK, r.status)
		assert.Zero(t, first.Runs().Count(fmt.Sprint("k", i)))
		assert.Equal(t, 1, second.Runs().Count(fmt.Sprint("k", i)))
	}
}
