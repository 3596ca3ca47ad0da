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

type reply struct {
	status  int
	header  http.Header
	body    []byte
	code    string
	outcome string
	message string
}

// post sends one request without the client's retries.
func (b *bed) post(path, body string, header ...string) reply {
	b.t.Helper()
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, b.url(path), strings.NewReader(body))
	require.NoError(b.t, err)
	q.Header.Set(routing.HeaderCustomer, bedCustomer)
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	return b.do(q)
}

// replyOf is a whole answer.
func replyOf(resp *http.Response, data []byte) reply {
	out := reply{status: resp.StatusCode, header: resp.Header, body: data}
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

func TestBadInputIsToldApart(t *testing.T) {
	t.Parallel()
	b := newBed(t, "entry:\n  max-body-bytes: 4096\n")
	b.application("app-1", nil)
	b.awaitServers(1)
	b.configure(1)
	key := "Idempotency-Key"
	first := b.post("/services/regdesk/enter", "{}", key, "used")
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
		{"service asked as a model", "/v1/chat/completions", completion(bedService), nil, 404, "unknown-target"},
		{"unknown customer", "/v1/chat/completions", completion(bedModel), []string{routing.HeaderCustomer, "else"}, 403, "unknown-customer"},
		{"no customer", "/v1/chat/completions", completion(bedModel), []string{routing.HeaderCustomer, ""}, 403, "unknown-customer"},
		{"deadline without a number", "/v1/chat/completions", completion(bedModel), []string{routing.HeaderDeadline, "soon"}, 400, "bad-request"},
		{"past deadline", "/v1/chat/completions", completion(bedModel), []string{routing.HeaderDeadline, "0"}, 504, "deadline-passed"},
		{"no key", "/services/regdesk/enter", "{}", nil, 400, "key-missing"},
		{"key of another body", "/services/regdesk/enter", "{1}", []string{key, "used"}, 422, "key-reused"},
		{"key of another path", "/services/regdesk/leave", "{}", []string{key, "used"}, 422, "key-reused"},
		{"long key", "/services/regdesk/enter", "{}", []string{key, strings.Repeat("k", 129)}, 400, "bad-request"},
		{"unknown service", "/services/other/enter", "{}", []string{key, "k"}, 404, "unknown-target"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := b.post(c.path, c.body, c.header...)
			assert.Equal(t, c.status, r.status, "%s", r.body)
			assert.Equal(t, c.code, r.code)
			assert.NotEmpty(t, r.message)
			assert.NotEmpty(t, r.outcome)
		})
	}
}

// TestNotRunNeverLies cuts the connection to the application server after every
// byte of the request and after every byte of the answer. Each time the caller
// is told whether the request ran; "not run" must be true, and a second arrival
// of the key must never run it again after it may have run.
func TestNotRunNeverLies(t *testing.T) {
	t.Parallel()
	b := newBed(t, "")
	l := newCutListener(t)
	runs := standin.NewRuns()
	b.application("app-1", func(c *standin.ApplicationConfig) { c.Listener, c.Runs = l, runs })
	b.awaitServers(1)
	b.configure(1)
	outcomes := map[string]int{}
	try := func(name string) {
		r := b.post("/services/regdesk/enter", `{"club":"x"}`, "Idempotency-Key", name)
		n := runs.Count(name)
		outcomes[fmt.Sprintf("%s %s", r.outcome, r.code)]++
		if r.outcome == "not-run" {
			require.Zero(t, n, "%s: said not-run and ran", name)
		}
		if r.status == http.StatusOK {
			require.Equal(t, 1, n, name)
			require.True(t, json.Valid(r.body), "%s: %s", name, r.body)
		}
		// The resend finds a server that works.
		l.reads.Store(-1)
		l.writes.Store(-1)
		again := b.post("/services/regdesk/enter", `{"club":"x"}`, "Idempotency-Key", name)
		require.LessOrEqual(t, runs.Count(name), 1, name)
		if r.outcome == "not-run" {
			require.Equal(t, http.StatusOK, again.status, "%s: %s", name, again.body)
		}
	}
	for n := range int64(420) {
		l.reads.Store(n)
		try(fmt.Sprintf("request-%d", n))
	}
	for n := range int64(300) {
		l.writes.Store(n)
		try(fmt.Sprintf("answer-%d", n))
	}
	t.Log(outcomes)
	assert.Equal(t, 1, runs.Max())
}

// TestRefusedConnectionIsNotRun: the server's process is gone but its record is
// not. The refused connection proves that nothing ran, and another server is
// tried under the same claim.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	t.Parallel()
	b := newBed(t, "")
	runs := standin.NewRuns()
	gone := b.application("app-1", func(c *standin.ApplicationConfig) { c.Runs = runs })
	b.application("app-2", func(c *standin.ApplicationConfig) { c.Runs = runs })
	b.awaitServers(2)
	b.configure(1)
	gone.Close()
	for i := range 20 {
		r := b.post("/services/regdesk/enter", "{}", "Idempotency-Key", fmt.Sprint("k", i))
		require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	}
	assert.Equal(t, 1, runs.Max())
}

// TestBrokenAnswersNeverPassAsWhole: replicas that cut, garble or swap their
// answers stand beside one that works. Every caller gets the whole answer to its
// own request, or an error; nothing else.
func TestBrokenAnswersNeverPassAsWhole(t *testing.T) {
	t.Parallel()
	whole := func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"id":%q,"text":"whole"}`, q.Header.Get(routing.HeaderRequestID))
	}
	for _, c := range []struct {
		name  string
		spoil func(w http.ResponseWriter, q *http.Request)
	}{
		{"truncated with its length", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000")
			_, _ = w.Write([]byte(`{"id":"x","text":"wh`))
		}},
		{"truncated without its length", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"id":"x","text":"wh`))
		}},
		{"aborted in the middle", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"id":"x",`))
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}},
		{"answer to another request", func(w http.ResponseWriter, _ *http.Request) {
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
			b := newBed(t, "")
			var calls, broken atomic.Int64
			b.engine("engine-1", func(cfg *standin.EngineConfig) {
				cfg.Complete = func(w http.ResponseWriter, q *http.Request, _ string) {
					// Every third answer is broken.
					if calls.Add(1)%3 == 0 {
						broken.Add(1)
						c.spoil(w, q)
						return
					}
					whole(w, q)
				}
			})
			b.awaitServers(1)
			b.configure(1)
			for range 30 {
				r := b.post("/v1/chat/completions", completion(bedModel))
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

func tokens(body []byte) (words []string, done, failed bool) {
	for _, block := range bytes.Split(body, []byte("\n\n")) {
		text := string(block)
		switch {
		case strings.Contains(text, "event: error"):
			failed = true
		case strings.Contains(text, "[DONE]"):
			done = true
		case strings.Contains(text, `"content":"`):
			_, rest, _ := strings.Cut(text, `"content":"`)
			word, _, _ := strings.Cut(rest, `"`)
			words = append(words, word)
		}
	}
	return words, done, failed
}

// TestStreams: a stream that breaks is resumed where the engine numbers its
// events, without a token lost or doubled; where it does not, the caller sees an
// explicit error and no clean end.
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
		cutAt    int
		// overlap is how many events an engine repeats after a resume.
		overlap int
		done    bool
	}{
		{"unbroken", true, 0, 0, true},
		{"resumed", true, 5, 0, true},
		{"resumed with doubled events", true, 5, 3, true},
		{"cut without numbers", false, 5, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newBed(t, "")
			b.engine("engine-1", func(cfg *standin.EngineConfig) {
				cfg.Complete = func(w http.ResponseWriter, q *http.Request, _ string) {
					w.Header().Set("Content-Type", "text/event-stream")
					last := 0
					_, _ = fmt.Sscan(q.Header.Get("Last-Event-ID"), &last)
					for n := max(last-c.overlap, 0) + 1; n <= all; n++ {
						if last == 0 && c.cutAt > 0 && n > c.cutAt {
							// Half an event, then the end.
							_, _ = w.Write([]byte("data: {\"conte"))
							w.(http.Flusher).Flush()
							panic(http.ErrAbortHandler)
						}
						event(w, n, c.numbered)
					}
					_, _ = w.Write([]byte("data: [DONE]\n\n"))
				}
			})
			b.awaitServers(1)
			b.configure(1)
			r := b.post("/v1/chat/completions", `{"model":"sorter","stream":true}`)
			words, done, failed := tokens(r.body)
			assert.Equal(t, c.done, done, "%s", r.body)
			assert.Equal(t, !c.done, failed)
			want := all
			if !c.done {
				want = c.cutAt
			}
			require.Len(t, words, want)
			for i, w := range words {
				assert.Equal(t, fmt.Sprintf("t%d", i+1), w)
			}
		})
	}
}

// TestOneWakePerBurst: forty callers at once ask for a sleeping model. One load
// is ordered, all are served by it, and nothing else is loaded.
func TestOneWakePerBurst(t *testing.T) {
	t.Parallel()
	b := newBed(t, "")
	e := b.engine("engine-1", func(c *standin.EngineConfig) { c.LoadTime = 200 * time.Millisecond })
	f := b.engine("engine-2", nil)
	b.awaitServers(2)
	b.configure(1)
	b.burst(40)
	assert.Equal(t, 1, e.Loads(bedModel)+f.Loads(bedModel))
	assert.Zero(t, e.Overcommits()+f.Overcommits())
}

// TestRefusalsComeAtOnce: no engine could ever hold the model, or none is there.
// The caller learns it long before its deadline, with the time to come back.
func TestRefusalsComeAtOnce(t *testing.T) {
	t.Parallel()
	b := newBed(t, "")
	b.configure(1)
	began := time.Now()
	_, err := b.client().Complete(context.Background(), []byte(completion(bedModel)))
	var refused *fennelyard.Error
	require.True(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, "no-capacity", refused.Code())
	assert.Equal(t, "not-run", refused.Outcome())
	assert.Positive(t, refused.RetryAfter())
	assert.Less(t, time.Since(began), bedWait/2)
}

// TestLeavingServerGetsNothingNew: a server says that it is leaving. Once that
// is known, new requests go elsewhere while its own are finished.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	t.Parallel()
	b := newBed(t, "")
	first := b.application("app-1", nil)
	second := b.application("app-2", nil)
	b.awaitServers(2)
	b.configure(1)
	first.Leave()
	for i := range 20 {
		r := b.post("/services/regdesk/enter", "{}", "Idempotency-Key", fmt.Sprint("k", i))
		require.Equal(t, http.StatusOK, r.status)
		assert.Zero(t, first.Runs().Count(fmt.Sprint("k", i)))
		assert.Equal(t, 1, second.Runs().Count(fmt.Sprint("k", i)))
	}
}
