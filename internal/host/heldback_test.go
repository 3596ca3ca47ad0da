package host_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/routing"
	"fennelyard/internal/schema"
	"fennelyard/internal/standin"
)

// TestCrashingBookingIsHeldBack tests a booking that crashes every application server
// that runs it. Its caller sends it repeatedly, with a new key each time. After three
// servers have ended it must be refused as not run, with Retry-After, and reach no
// further server, also after a restart of this host. Other bookings are served at the
// same time.
func TestCrashingBookingIsHeldBack(t *testing.T) {
	const (
		crashing = `{"seat":"harmful"}`
		ordinary = `{"seat":"4"}`
		servers  = 6
	)
	for _, method := range []string{http.MethodPost, http.MethodPut} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, "")
			var crashes atomic.Int64
			for i := range servers {
				h.application(fmt.Sprint("app-", i), func(c *standin.ApplicationConfig) {
					c.CrashBody, c.Crashed = crashing, func() { crashes.Add(1) }
				})
			}
			h.awaitServers(servers)
			h.configure(1)
			sent := 0
			book := func(body string) response {
				sent++
				return h.book(method, body, fmt.Sprint("k", sent))
			}
			// The request that crashes the third server may have run, so its own outcome is
			// unknown.
			var got response
			for range servers {
				if got = book(crashing); got.code == "held-back" && got.outcome == "not-run" {
					break
				}
				// The caller gets its response before the server's end is confirmed.
				h.eventually("all crashes recorded", func() bool { return int64(h.maxEndedServers()) == crashes.Load() })
			}
			require.Equal(t, "held-back", got.code)
			require.Equal(t, "not-run", got.outcome)
			require.NotEmpty(t, got.header.Get("Retry-After"))
			// The host retries a PUT at other servers at once; these retries count like those
			// of the caller.
			require.Equal(t, int64(3), crashes.Load())
			require.Equal(t, http.StatusOK, book(ordinary).status)

			before := crashes.Load()
			h.eventually("the suspect recorded in the control log", func() bool { return h.host.Suspects() > 0 })
			h.restart()
			h.eventually("an ordinary booking served", func() bool { return book(ordinary).status == http.StatusOK })
			require.Equal(t, "held-back", book(crashing).code)
			require.Equal(t, before, crashes.Load())
		})
	}
}

// maxEndedServers returns the largest number of servers that the host knows to have
// ended while they ran the same request.
func (h *harness) maxEndedServers() int {
	list, err := h.operator.Suspects(context.Background())
	require.NoError(h.t, err)
	most := 0
	for _, s := range list.GetSuspects() {
		most = max(most, len(s.GetEndedServers()))
	}
	return most
}

// firstHeldFor returns for how long the first suspect of a list is held back, in milliseconds.
func firstHeldFor(list *schema.SuspectList) uint64 {
	if len(list.GetSuspects()) == 0 {
		return 0
	}
	return list.GetSuspects()[0].GetHeldBackForMs()
}

// book sends one booking without the client's retries.
func (h *harness) book(method, body, key string) response {
	h.t.Helper()
	q, err := http.NewRequestWithContext(context.Background(), method, h.callerURL("/services/"+testService+"/book"), strings.NewReader(body))
	require.NoError(h.t, err)
	q.Header.Set(routing.HeaderCustomer, testCustomer)
	if method == http.MethodPost {
		q.Header.Set("Idempotency-Key", key)
	}
	return h.send(q)
}

// send sends a request and returns its complete response.
func (h *harness) send(q *http.Request) response {
	h.t.Helper()
	resp, err := http.DefaultClient.Do(q)
	require.NoError(h.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(h.t, err)
	return newResponse(resp, data)
}

// Conversations that share one message crash the engines that respond to them, within responses that
// end with their connections. No two are alike. They must be held back after five engines at
// the latest, and conversations that share the first message only must be served.
func TestCrashingMessageIsHeldBack(t *testing.T) {
	// One request that is retried may crash three engines before others do.
	const engines, maxCrashes = 2, 5
	t.Run("restarted after the end is noticed", func(t *testing.T) { testCrashingMessage(t, engines, maxCrashes, false) })
	t.Run("restarted before the end is noticed", func(t *testing.T) { testCrashingMessage(t, engines, maxCrashes, true) })
}

func testCrashingMessage(t *testing.T, engines int, maxCrashes int64, restartsFirst bool) {
	h := newHarness(t, "")
	crashes := h.crashingEngines(engines, restartsFirst)
	h.awaitServers(engines)
	h.configure(uint32(engines))
	talk := func(document, question string) response {
		return h.post("/v1/chat/completions", fmt.Sprintf(`{"model":%q,"messages":[{"role":"system","content":"plan"},{"role":"user","content":%q},{"role":"user","content":%q}]}`,
			testModel, document, question))
	}
	require.Equal(t, http.StatusOK, talk("ordinary", "first").status)
	for n := range 3 * maxCrashes {
		if got := talk("harmful", fmt.Sprint("question ", n)); got.code == "held-back" && got.outcome == "not-run" {
			break
		}
		h.eventually("the model at another engine", func() bool { return talk("ordinary", fmt.Sprint("after ", n)).status == http.StatusOK })
	}
	require.LessOrEqual(t, crashes.Load(), maxCrashes)
	before := crashes.Load()
	got := talk("harmful", "the last question")
	require.Equal(t, "held-back", got.code)
	require.Equal(t, "not-run", got.outcome)
	require.Contains(t, got.message, "same part")
	require.NotEmpty(t, got.header.Get("Retry-After"))
	require.Equal(t, http.StatusOK, talk("ordinary", "second").status)
	require.Equal(t, before, crashes.Load())
}

// crashingEngines starts engines that crash under messages that contain "harmful", within responses that end
// with their connections, and start again. With restartsFirst the host knows the new process before the old
// one's connection and port close. It returns the number of crashes.
func (h *harness) crashingEngines(engines int, restartsFirst bool) *atomic.Int64 {
	crashes := &atomic.Int64{}
	var start func(name string)
	start = func(name string) {
		started := make(chan *standin.Engine, 1)
		started <- h.engine(name, func(c *standin.EngineConfig) {
			c.Complete = func(w http.ResponseWriter, r *http.Request, _ string) {
				body, err := io.ReadAll(r.Body)
				if err != nil || !strings.Contains(string(body), "harmful") {
					_, _ = io.WriteString(w, `{"text":"ok"}`)
					return
				}
				crashes.Add(1)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+routing.HeaderRequestID+": "+r.Header.Get(routing.HeaderRequestID)+"\r\n\r\n{\"text\":\"o\"}")
				if restartsFirst {
					before := h.incarnation(name)
					start(name)
					h.eventually("the new process announced", func() bool { return h.incarnation(name) > before })
				}
				_ = c.Listener.Close()
				_ = conn.Close()
				go func() {
					(<-started).Close()
					if !restartsFirst {
						start(name)
					}
				}()
			}
		})
	}
	for i := range engines {
		start(fmt.Sprint("engine-", i))
	}
	return crashes
}

// incarnation returns the incarnation of a server that the host knows, 0 for none.
func (h *harness) incarnation(name string) uint64 {
	for _, s := range h.status().GetServers() {
		if s.GetName() == name {
			return s.GetIncarnation()
		}
	}
	return 0
}

// The control group has no quorum, so that nothing is recorded in its log: each host needed three servers of its
// own to hold a request back.
func TestCrashingRequestIsHeldBackWithoutQuorum(t *testing.T) {
	const crashing, hostCount, servers = `{"seat":"harmful"}`, 3, 9
	h, hosts := newHarnessWithHosts(t, hostCount)
	var crashes atomic.Int64
	for i := range servers {
		h.application(fmt.Sprint("app-", i), func(c *standin.ApplicationConfig) {
			c.CrashBody, c.Crashed = crashing, func() { crashes.Add(1) }
		})
	}
	h.awaitServers(servers)
	h.configure(1)
	put := func(address, body string) response {
		q, err := http.NewRequestWithContext(context.Background(), http.MethodPut, "http://"+address+"/services/"+testService+"/book", strings.NewReader(body))
		require.NoError(t, err)
		q.Header.Set(routing.HeaderCustomer, testCustomer)
		return h.send(q)
	}
	for _, p := range hosts {
		h.eventually("a booking served by each host", func() bool { return put(p.caller, `{"seat":"4"}`).status == http.StatusOK })
	}
	h.host.Close()
	heldBack := func(p *partitionableHost) bool { return put(p.caller, crashing).code == "held-back" }
	h.eventually("the request held back by a host", func() bool { return heldBack(hosts[0]) })
	before := crashes.Load()
	require.LessOrEqual(t, before, int64(4))
	h.eventually("the evidence at the other hosts", func() bool {
		for _, p := range hosts {
			if list, err := p.operator.Suspects(context.Background()); err != nil || firstHeldFor(list) == 0 {
				return false
			}
		}
		return true
	})
	for _, p := range hosts {
		require.True(t, heldBack(p))
		require.Equal(t, http.StatusOK, put(p.caller, `{"seat":"5"}`).status)
	}
	require.Equal(t, before, crashes.Load())
}
