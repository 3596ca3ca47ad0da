package host_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/operator"
	"fennelyard/internal/refusal"
	"fennelyard/internal/routing"
	"fennelyard/internal/standin"
)

const (
	// drainLimit is the stop limit of these tests: requests whose deadline is later than it can't be finished for
	// sure.
	drainLimit   = 20 * time.Second
	lateDeadline = "30000"
)

// lateConn is a caller's connection without a request.
type lateConn struct {
	t    *testing.T
	conn net.Conn
}

func (h *harness) connect(t *testing.T) lateConn {
	conn, err := net.Dial("tcp", h.layout.Hosts()[0].Caller)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return lateConn{t, conn}
}

// begin sends the header of a request and a part of its body.
func (c lateConn) begin(path, deadlineMs, key string) {
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %s\r\nIdempotency-Key: %s\r\nFennelyard-Attempt: 1\r\nContent-Length: %d\r\n\r\n%s",
		path, routing.HeaderCustomer, testCustomer, routing.HeaderDeadline, deadlineMs, key, len(completion(testModel)), completion(testModel)[:5])
	require.NoError(c.t, err)
}

// end sends the rest of the body.
func (c lateConn) end() {
	_, err := io.WriteString(c.conn, completion(testModel)[5:])
	require.NoError(c.t, err)
}

func (c lateConn) receive() response {
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	require.NoError(c.t, err)
	data, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	return newResponse(resp, data)
}

// drain drains the host and returns once it does. stopped is closed once it has ended.
func (h *harness) drain(limit time.Duration) (stopped <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		h.host.Drain(ctx)
	}()
	h.eventually("a draining host", func() bool { return strings.Contains(h.log.String(), `"draining"`) })
	return done
}

// A request reaches a stopping listed host on a connection that was open before, whole or in parts, or waits there: it is
// served if its deadline comes before the host must stop, and refused as not run otherwise.
func TestStoppingListedHostFinishesOrRefuses(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "entry: {directory-keep: 1s}\n")
	runs := standin.NewRuns()
	h.engine("engine-1", nil)
	h.application("app-1", func(cfg *standin.ApplicationConfig) { cfg.Runs = runs })
	h.awaitServers(2)
	h.configure(1)
	h.burst(1)
	waiting := make(chan response, 1)
	go func() {
		waiting <- h.post("/services/regdesk/enter", "{}", "Idempotency-Key", "warm", "Fennelyard-Attempt", "1")
	}()
	require.Equal(t, http.StatusOK, (<-waiting).status)
	const model, service = "/v1/chat/completions", "/services/regdesk/enter"
	type late struct {
		conn                  lateConn
		path, deadlineMs, key string
		begunBefore           bool
	}
	var all []late
	for i, path := range []string{model, service} {
		for j, deadlineMs := range []string{lateDeadline, "12000"} {
			for k, begunBefore := range []bool{true, false} {
				l := late{h.connect(t), path, deadlineMs, fmt.Sprint("key-", i, j, k), begunBefore}
				if begunBefore {
					l.conn.begin(l.path, l.deadlineMs, l.key)
				}
				all = append(all, l)
			}
		}
	}
	stopped := h.drain(drainLimit)
	for _, l := range all {
		if !l.begunBefore {
			l.conn.begin(l.path, l.deadlineMs, l.key)
		}
		l.conn.end()
		r := l.conn.receive()
		if l.deadlineMs != lateDeadline {
			require.Equal(t, http.StatusOK, r.status, "%+v: %s", l, r.body)
			continue
		}
		require.Equal(t, "stopping", r.code, "%+v: %s", l, r.body)
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		require.Equal(t, refusal.NotRun.String(), r.outcome)
		require.NotEmpty(t, r.header.Get("Retry-After"))
		require.Zero(t, runs.Count(l.key))
	}
	require.Equal(t, 1, runs.Max())
	<-stopped
}

// A request that waits for a replica when its host is asked to stop is refused at once if it could not be finished.
func TestStoppingListedHostRefusesWaitingRequests(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "entry: {directory-keep: 1s}\n")
	// The load outlasts the stop, but not the request's deadline as far as the leader knows.
	h.engine("engine-1", func(cfg *standin.EngineConfig) { cfg.LoadTime = drainLimit })
	h.awaitServers(1)
	h.configure(1)
	got := make(chan response, 1)
	go func() {
		got <- h.post("/v1/chat/completions", completion(testModel), routing.HeaderDeadline, lateDeadline)
	}()
	h.eventually("a waiting request", func() bool { return strings.Contains(scrape(t, h), "fennelyard_in_flight_requests 1") })
	stopped := h.drain(drainLimit)
	r := <-got
	require.Equal(t, "stopping", r.code, "%s", r.body)
	require.Equal(t, refusal.NotRun.String(), r.outcome)
	<-stopped
}

// A request fails at its replica after the signal: it is not sent to a server again that could not finish it, and its
// refusal does not say that it has not run.
func TestStoppingListedHostDoesNotRetryWhatItCannotFinish(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "entry: {directory-keep: 1s}\n")
	release := make(chan struct{})
	var calls atomic.Int64
	h.engine("engine-1", func(cfg *standin.EngineConfig) {
		cfg.Complete = func(w http.ResponseWriter, _ *http.Request, _ string) {
			if calls.Add(1) == 1 {
				<-release
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "{}")
		}
	})
	h.awaitServers(1)
	h.configure(1)
	var got response
	var wg sync.WaitGroup
	wg.Go(func() {
		got = h.post("/v1/chat/completions", completion(testModel), routing.HeaderDeadline, lateDeadline)
	})
	h.eventually("the request at its server", func() bool { return calls.Load() == 1 })
	stopped := h.drain(drainLimit)
	close(release)
	wg.Wait()
	require.Equal(t, int64(1), calls.Load())
	require.Equal(t, refusal.Unknown.String(), got.outcome, "%s", got.body)
	<-stopped
}

// Requests that are at a server when their host must end get a response that promises nothing.
func TestStoppedListedHostRespondsToEveryRequest(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "entry: {directory-keep: 1s}\n")
	release := make(chan struct{})
	defer close(release)
	var running atomic.Int64
	block := func(q *http.Request) {
		running.Add(1)
		select {
		case <-release:
		case <-q.Context().Done():
		}
	}
	h.engine("engine-1", func(cfg *standin.EngineConfig) {
		cfg.Complete = func(_ http.ResponseWriter, q *http.Request, _ string) { block(q) }
	})
	h.application("app-1", func(cfg *standin.ApplicationConfig) {
		cfg.Handle = func(_ http.ResponseWriter, q *http.Request) { block(q) }
	})
	h.awaitServers(2)
	h.configure(1)
	results := make([]response, 2)
	var wg sync.WaitGroup
	wg.Go(func() {
		results[0] = h.post("/v1/chat/completions", completion(testModel), routing.HeaderDeadline, lateDeadline)
	})
	wg.Go(func() {
		results[1] = h.post("/services/regdesk/enter", "{}", "Idempotency-Key", "k", routing.HeaderDeadline, lateDeadline)
	})
	h.eventually("both requests at their servers", func() bool { return running.Load() == 2 })
	stopped := h.drain(10 * time.Second)
	wg.Wait()
	require.Equal(t, http.StatusBadGateway, results[0].status, "%s", results[0].body)
	require.Equal(t, http.StatusConflict, results[1].status, "%s", results[1].body)
	for _, r := range results {
		require.Equal(t, refusal.Unknown.String(), r.outcome)
	}
	<-stopped
}

// A stream breaks off at a stopping host that could not take it any more: it is resumed, as its caller has a part of it.
func TestStoppingListedHostResumesStreams(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "entry: {directory-keep: 1s}\n")
	running, proceed := make(chan struct{}), make(chan struct{})
	h.engine("engine-1", func(cfg *standin.EngineConfig) {
		cfg.Complete = func(w http.ResponseWriter, q *http.Request, _ string) {
			w.Header().Set("Content-Type", "text/event-stream")
			if q.Header.Get("Last-Event-ID") != "" {
				_, _ = io.WriteString(w, "id: 2\ndata: {}\n\ndata: [DONE]\n\n")
				return
			}
			_, _ = io.WriteString(w, "id: 1\ndata: {}\n\n")
			w.(http.Flusher).Flush()
			close(running)
			<-proceed
			panic(http.ErrAbortHandler)
		}
	})
	h.awaitServers(1)
	h.configure(1)
	got := make(chan response, 1)
	go func() {
		got <- h.post("/v1/chat/completions", `{"model":"sorter","stream":true}`, routing.HeaderDeadline, lateDeadline)
	}()
	<-running
	stopped := h.drain(drainLimit)
	close(proceed)
	require.Contains(t, string((<-got).body), "id: 2\ndata: {}\n\ndata: [DONE]")
	<-stopped
}

// A completion that must not run twice is refused before its key is looked up, such as for a body that comes too late at a
// stop: only a first attempt is known not to have run.
func TestRefusalsBeforeTheClaimOfACompletion(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	for _, c := range []struct {
		header  []string
		outcome refusal.Outcome
	}{
		{nil, refusal.NotRun},
		{[]string{"Idempotency-Key", "k"}, refusal.NotRun},
		{[]string{"Idempotency-Key", "k", "Fennelyard-Repeatable", "no"}, refusal.Unknown},
		{[]string{"Idempotency-Key", "k", "Fennelyard-Repeatable", "no", "Fennelyard-Attempt", "1"}, refusal.NotRun},
	} {
		r := h.post("/v1/chat/completions", "{", c.header...)
		require.Equal(t, c.outcome.String(), r.outcome, "%v: %s", c.header, r.body)
	}
}

// A command of an operator is on its way when its host is asked to stop: it gets its response, though no caller has a
// request there any more.
func TestStoppingListedHostFinishesCommandsOfOperators(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "entry: {directory-keep: 1s}\n")
	conn, err := net.Dial("tcp", h.layout.Hosts()[0].Operator)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s/x/release HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{", operator.SuspectsPath)
	require.NoError(t, err)
	stopped := h.drain(drainLimit)
	h.eventually("a drained host", func() bool { return strings.Contains(h.log.String(), `"drained"`) })
	_, err = io.WriteString(conn, "}")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	<-stopped
}
