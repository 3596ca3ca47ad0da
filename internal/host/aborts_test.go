package host_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/refusal"
	"fennelyard/internal/routing"
	"fennelyard/internal/standin"
)

// ask sends a request by HTTP/1.0, without chunks, and returns the response with the error after its last byte.
func (h *harness) ask(method, path string, header string) (string, error) {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.layout.Hosts()[0].Caller)
	require.NoError(h.t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(h.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.0\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", method, path, routing.HeaderCustomer,
		testCustomer, header, len(completion(testModel)), completion(testModel))
	require.NoError(h.t, err)
	data, err := io.ReadAll(conn)
	return string(data), err
}

// A listed host breaks off a response of which a part was forwarded: a caller that takes no chunks must not take the
// end of the connection for that of the response.
func TestAbortedResponsesOfListedHostsDoNotLookWhole(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	breakOff := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, largeAnswer)
		w.(http.Flusher).Flush()
		time.Sleep(100 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
	h.engine("engine-1", func(cfg *standin.EngineConfig) {
		cfg.Complete = func(w http.ResponseWriter, q *http.Request, _ string) { breakOff(w, q) }
	})
	h.application("app-1", func(cfg *standin.ApplicationConfig) { cfg.Handle = breakOff })
	h.awaitServers(2)
	h.configure(1)
	data, err := h.ask(http.MethodPost, "/v1/chat/completions", "")
	require.True(t, strings.Contains(data, " 200 OK"))
	require.Error(t, err)
	data, err = h.ask(http.MethodPost, "/services/regdesk/enter", "Idempotency-Key: k\r\n")
	require.True(t, strings.Contains(data, " 200 OK"))
	require.Error(t, err)
}

// A caller that takes no chunks cannot tell the end of a killed host from that of a response without a length: what
// is held whole states its length.
func TestHeldResponsesStateTheirLength(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	held := `{"text":"` + strings.Repeat("0123456789", 10<<10) + `"}`
	h.engine("engine-1", func(cfg *standin.EngineConfig) {
		cfg.Complete = func(w http.ResponseWriter, _ *http.Request, _ string) { _, _ = io.WriteString(w, held) }
	})
	h.application("app-1", func(cfg *standin.ApplicationConfig) {
		cfg.Handle = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, held) }
	})
	h.awaitServers(2)
	h.configure(1)
	for _, path := range []string{"/v1/chat/completions", "/services/regdesk/enter"} {
		data, err := h.ask(http.MethodPost, path, "Idempotency-Key: k\r\n")
		require.NoError(t, err)
		require.True(t, strings.Contains(data, fmt.Sprintf("\r\nContent-Length: %d\r\n", len(held))), path)
		require.True(t, strings.HasSuffix(data, held))
	}
}

// A server's bytes that are no text are quoted in the error event that ends a stream which broke: the event must be
// sent all the same, or the stream looks whole. So must the refusal of a request.
func TestErrorsThatQuoteNoTextDoNotLookWhole(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	h.engine("engine-1", func(cfg *standin.EngineConfig) {
		cfg.Complete = func(w http.ResponseWriter, q *http.Request, _ string) {
			if q.Header.Get("Last-Event-ID") != "" || q.Header.Get("Idempotency-Key") != "" {
				closeAfter(w, "HTTP/1.1 200 OK\r\n"+routing.HeaderRequestID+": \xff\xfe\r\nContent-Length: 0\r\n\r\n")
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
	require.Contains(t, string(r.body), "id: 1\n")
	require.Contains(t, string(r.body), "stream-cut")
	r = h.post("/v1/chat/completions", completion(testModel), "Fennelyard-Repeatable", "no", "Idempotency-Key", "k")
	require.Equal(t, refusal.Unknown.String(), r.outcome, "%s", r.body)
}

// A listed host that stops at once, or at its limit, breaks off what it serves: a caller that takes no chunks must not
// take the part for the whole.
func TestResponsesThatAStoppedHostBreaksOffDoNotLookWhole(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "")
	held := make(chan struct{})
	hold := func(w http.ResponseWriter) {
		_, _ = io.WriteString(w, largeAnswer)
		w.(http.Flusher).Flush()
		<-held
	}
	h.engine("engine-1", func(cfg *standin.EngineConfig) {
		cfg.Complete = func(w http.ResponseWriter, _ *http.Request, _ string) { hold(w) }
	})
	h.application("app-1", func(cfg *standin.ApplicationConfig) {
		cfg.Handle = func(w http.ResponseWriter, _ *http.Request) { hold(w) }
	})
	// The servers end once no handler is left.
	t.Cleanup(func() { close(held) })
	h.awaitServers(2)
	h.configure(1)
	errs := make(chan error, 2)
	for _, path := range []string{"/v1/chat/completions", "/services/regdesk/enter"} {
		go func() {
			_, err := h.ask(http.MethodPost, path, "Idempotency-Key: k\r\n")
			errs <- err
		}()
	}
	h.eventually("two responses forwarded", func() bool { return strings.Contains(scrape(t, h), "fennelyard_requests_at_servers 2") })
	time.Sleep(300 * time.Millisecond)
	h.host.Close()
	require.Error(t, <-errs)
	require.Error(t, <-errs)
}
