package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/cooldown"
	"fennelyard/internal/gateway"
	"fennelyard/internal/ledger"
	"fennelyard/internal/peer"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

// codec returns a minimal codec for the tests.
func codec() gateway.Codec {
	return gateway.Codec{
		ParseRequest: func(r *http.Request) gateway.RequestInfo {
			ms, _ := strconv.Atoi(r.Header.Get("X-Wait"))
			model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
			info := gateway.RequestInfo{
				ID: r.Header.Get("X-Id"), APIKey: r.Header.Get("X-Key"), Model: model, Adapter: adapter, Timeout: time.Duration(ms) * time.Millisecond,
			}
			for _, id := range strings.Fields(r.Header.Get("X-Parts")) {
				info.PromptParts = append(info.PromptParts, gateway.PromptPart{ID: id})
			}
			return info
		},
		SetForwardHeader: func(h http.Header, m gateway.ForwardInfo) {
			h.Set("X-For", m.Server)
			h.Set("X-Team", m.Team)
			h.Set("X-Left", strconv.FormatInt(m.Timeout.Milliseconds(), 10))
			if m.LastEventID > 0 {
				h.Set("X-After", strconv.FormatInt(m.LastEventID, 10))
			}
		},
		MatchesRequest: func(header http.Header, id string) bool { return header.Get("X-Id") == id },
		ParseResponse: func(status int, header http.Header) gateway.ResponseInfo {
			return gateway.ResponseInfo{
				NotRun: header.Get("X-Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest, Signed: header.Get("X-Signed") != "",
				Cooldown: cooldown.ParseResponse(status, header, time.Now()), Leaving: header.Get("X-Leaving") != "",
			}
		},
		ParseIdentity: func(header http.Header) string { return header.Get("X-Server") },
	}
}

// backend is a backend server whose handler writes to the raw connection; it counts the
// requests that reach it.
type backend struct {
	l           net.Listener
	requests    atomic.Int64
	mu          sync.Mutex
	lastRequest *http.Request
	// identify responds to health checks, which are not counted; both are guarded by mu.
	identify func(conn net.Conn)
}

// healthPath is where backends state which server they are.
const healthPath = "/health"

// statesServer returns a response to health checks that names a server.
func statesServer(id string) func(net.Conn) {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Server: "+id+"\r\nContent-Length: 0\r\n\r\n")
	}
}

// setIdentify sets how a backend responds to health checks, and returns the backend.
func (b *backend) setIdentify(identify func(net.Conn)) *backend {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.identify = identify
	return b
}

// answerHealthCheck responds to a health check, and reports whether the request is one.
func (b *backend) answerHealthCheck(conn net.Conn, request *http.Request) bool {
	if request.URL.Path != healthPath {
		return false
	}
	b.mu.Lock()
	identify := b.identify
	b.mu.Unlock()
	if identify != nil {
		identify(conn)
	}
	return true
}

func newBackend(t *testing.T, handle func(conn net.Conn, request *http.Request)) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &backend{l: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.ReadAll(request.Body)
				if b.answerHealthCheck(conn, request) {
					return
				}
				b.requests.Add(1)
				b.mu.Lock()
				b.lastRequest = request
				b.mu.Unlock()
				handle(conn, request)
			}()
		}
	}()
	return b
}

func (b *backend) header(name string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastRequest.Header.Get(name)
}

func respond(status int, header, body string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, request.Header.Get("X-Id"), header, len(body), body)
	}
}

const signed = "X-Signed: 1\r\n"

var (
	respondOK       = respond(http.StatusOK, signed, "done")
	respondNotRun   = respond(http.StatusServiceUnavailable, "X-Not-Run: 1\r\n", "")
	closeConnection = func(net.Conn, *http.Request) {}
	respondError    = respond(http.StatusInternalServerError, signed, "oops")
)

// streamEvents sends the events from first to last and then ends the stream, or interrupts it
// inside the next event.
func streamEvents(first, last int, whole bool) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("X-Id"), signed)
		chunk := func(s string) { _, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(s), s) }
		for i := first; i <= last; i++ {
			chunk(fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i))
		}
		if !whole {
			chunk(fmt.Sprintf("id: %d\nda", last+1))
			return
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

type testGateway struct {
	g   *gateway.Gateway
	url string
	// timeoutMs is the timeout that callers declare, in milliseconds.
	timeoutMs string
}

// newTestGateway starts a gateway with one pool of the backends and a route for each kind of
// request.
func newTestGateway(t *testing.T, backends ...*backend) *testGateway {
	t.Helper()
	return newTestGatewayWithBudget(t, gateway.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Millisecond, Burst: 100}, backends...)
}

func newTestGatewayWithBudget(t *testing.T, budget gateway.RetryBudgetConfig, backends ...*backend) *testGateway {
	t.Helper()
	return startTestGateway(t, budget, logr.Discard(), backends...)
}

// newTestGatewayWithLog starts a gateway with a logger.
func newTestGatewayWithLog(t *testing.T, log logr.Logger, backends ...*backend) *testGateway {
	t.Helper()
	return startTestGateway(t, gateway.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Millisecond, Burst: 100}, log, backends...)
}

func startTestGateway(t *testing.T, budget gateway.RetryBudgetConfig, log logr.Logger, backends ...*backend) *testGateway {
	t.Helper()
	return startTestGatewayWithSender(t, budget, log, relay.NewSender(relay.Config{}), backends...)
}

func startTestGatewayWithSender(t *testing.T, budget gateway.RetryBudgetConfig, log logr.Logger, sender *relay.Sender, backends ...*backend) *testGateway {
	t.Helper()
	return startConfiguredGateway(t, func(cfg *gateway.Config) { cfg.RetryBudget, cfg.Log, cfg.Sender = budget, log, sender }, backends...)
}

// startConfiguredGateway starts a gateway of whose configuration a test sets some fields.
func startConfiguredGateway(t *testing.T, configure func(*gateway.Config), backends ...*backend) *testGateway {
	t.Helper()
	g := startGateway(t, configure)
	var views []*schema.RosterServer
	for i, b := range backends {
		if b.identify == nil {
			b.setIdentify(statesServer(fmt.Sprint("s", i)))
		}
		views = append(views, &schema.RosterServer{
			Id: fmt.Sprint("s", i), Pool: "p", Address: b.l.Addr().String(), Slots: 6,
			Models: []*schema.HeldModel{{Name: "m", Adapters: []string{"a"}}},
		})
	}
	g.ApplyServers(false, views...)
	// The retry budget starts empty and refills within its window.
	time.Sleep(20 * time.Millisecond)
	s := httptest.NewServer(g)
	t.Cleanup(s.Close)
	return &testGateway{g, s.URL, "2000"}
}

// startGateway starts a gateway without servers, which may run on simulated time.
func startGateway(t *testing.T, configure func(*gateway.Config)) *gateway.Gateway {
	t.Helper()
	dialer := peer.NewDialer(peer.DialerConfig{})
	cfg := gateway.Config{
		Self: &schema.RosterEntry{Host: "e", CallerAddress: "127.0.0.1:1"}, Seeds: func() []string { return nil }, Dialer: dialer,
		Replica: ledger.NewReplica(), Codec: codec(), RequestLog: logr.Discard(), KeyRevocation: keyRevocation,
	}
	configure(&cfg)
	g := gateway.New(cfg)
	t.Cleanup(func() {
		g.Close()
		dialer.Close()
	})
	g.Configure(configuration(1, routes()...))
	return g
}

func routes() []*schema.Route {
	at := func(name string, repeat schema.Repeat, stream bool) *schema.Route {
		return &schema.Route{
			Name: name, Host: "h.example", Prefix: "/" + name + "/", Repeat: repeat, Stream: stream, TimeoutMs: 3000, AimMs: 300,
			MaxAttempts: 2, Shares: []*schema.Share{{Pool: "p", Weight: 1}},
		}
	}
	return []*schema.Route{
		at("once", schema.Repeat_REPEAT_NEVER, false), at("again", schema.Repeat_REPEAT_WHOLE, false),
		at("events", schema.Repeat_REPEAT_NEVER, true), at("resume", schema.Repeat_REPEAT_RESUME, true),
	}
}

func configuration(version uint64, routes ...*schema.Route) *schema.Changes {
	c := &schema.Changes{Revision: version, Whole: true, Records: []*schema.Record{
		{Key: ledger.ConfigurationKey, Revision: version, Value: &schema.Record_Configuration{
			Configuration: &schema.Configuration{Version: version, Limits: &schema.CallerLimits{MaxBodyBytes: 64}},
		}},
		{Key: ledger.PoolKey("p"), Value: &schema.Record_Pool{Pool: &schema.Pool{Name: "p", HealthPath: healthPath}}},
	}}
	for _, r := range routes {
		c.Records = append(c.Records, &schema.Record{Key: ledger.RouteKey(r.GetName()), Value: &schema.Record_Route{Route: r}})
	}
	return c
}

type result struct {
	status      int
	body        string
	retryAfter  string
	interrupted bool
}

func (tg *testGateway) call(t *testing.T, path, body string, model string) result {
	t.Helper()
	return tg.callWithParts(t, path, body, model)
}

// callWithParts is call with the IDs of the parts of the request's prompt.
func (tg *testGateway) callWithParts(t *testing.T, path, body, model string, parts ...string) result {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, tg.url+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Host = "h.example"
	request.Header.Set("X-Id", "42")
	request.Header.Set("X-Wait", tg.timeoutMs)
	request.Header.Set("X-Model", model)
	request.Header.Set("X-Parts", strings.Join(parts, " "))
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	if err != nil {
		return result{interrupted: true}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return result{response.StatusCode, string(data), response.Header.Get("Retry-After"), err != nil}
}

// TestRetryPolicy checks the response to a caller and the number of servers that its request
// reaches, by the behaviour of the first server and by what may be retried. A request that must
// not run twice never reaches a second server once a byte of it was sent, and only a server's
// own statement leads to a 503.
func TestRetryPolicy(t *testing.T) {
	for name, test := range map[string]struct {
		path    string
		handle  func(net.Conn, *http.Request)
		want    int
		reached int64
	}{
		"once, served":           {"/once/x", respondOK, http.StatusOK, 1},
		"once, no response":      {"/once/x", closeConnection, http.StatusBadGateway, 1},
		"once, server error":     {"/once/x", respondError, http.StatusInternalServerError, 1},
		"once, all servers full": {"/once/x", respondNotRun, http.StatusServiceUnavailable, 2},
		"once, unsigned success": {"/once/x", respond(http.StatusOK, "", "?"), http.StatusBadGateway, 1},
		"once, response to another request": {"/once/x", func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Signed: 1\r\nContent-Length: 0\r\n\r\n")
		}, http.StatusBadGateway, 1},
		"once, truncated response": {"/once/x", func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 42\r\nX-Signed: 1\r\nContent-Length: 9\r\n\r\nhal")
		}, http.StatusBadGateway, 1},
		"again, no response":  {"/again/x", closeConnection, http.StatusBadGateway, 2},
		"again, server error": {"/again/x", respondError, http.StatusInternalServerError, 2},
		"no route":            {"/nowhere/x", respondOK, http.StatusNotFound, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newBackend(t, test.handle), newBackend(t, test.handle)
			got := newTestGateway(t, a, b).call(t, test.path, "body", "")
			require.Equal(t, test.want, got.status)
			require.Equal(t, test.reached, a.requests.Load()+b.requests.Load())
			if test.want == http.StatusServiceUnavailable {
				require.NotEmpty(t, got.retryAfter)
			}
		})
	}
}

// One server is full or unreachable; the other one serves.
func TestRetryAtAnotherServer(t *testing.T) {
	closed := newBackend(t, respondOK)
	require.NoError(t, closed.l.Close())
	for name, failing := range map[string]*backend{"full": newBackend(t, respondNotRun), "unreachable": closed} {
		t.Run(name, func(t *testing.T) {
			good := newBackend(t, respondOK)
			tg := newTestGateway(t, failing, good)
			for range 6 {
				got := tg.call(t, "/once/x", "body", "")
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, "done", got.body)
			}
			require.Equal(t, int64(6), good.requests.Load())
		})
	}
}

// A server fails inside the third event. A resumable stream continues at another server after
// the last complete event, and the caller receives one whole response. Any other stream is
// interrupted and must not look complete.
func TestStreamResumesAfterServerFailure(t *testing.T) {
	whole := "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"
	handle := func(conn net.Conn, request *http.Request) {
		if request.Header.Get("X-After") == "2" {
			streamEvents(3, 4, true)(conn, request)
			return
		}
		streamEvents(1, 2, false)(conn, request)
	}
	a, b := newBackend(t, handle), newBackend(t, handle)
	tg := newTestGateway(t, a, b)
	got := tg.call(t, "/resume/x", "body", "m")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, whole, got.body)
	require.False(t, got.interrupted)

	got = tg.call(t, "/events/x", "body", "m")
	require.True(t, got.interrupted)
	require.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", got.body)
}

// The second server continues with a gap: the caller gets an interrupted response rather than
// one that misses an event.
func TestGapAfterResumeInterruptsStream(t *testing.T) {
	handle := func(conn net.Conn, request *http.Request) {
		if request.Header.Get("X-After") != "" {
			streamEvents(4, 5, true)(conn, request)
			return
		}
		streamEvents(1, 2, false)(conn, request)
	}
	got := newTestGateway(t, newBackend(t, handle), newBackend(t, handle)).call(t, "/resume/x", "body", "m")
	require.True(t, got.interrupted)
	require.NotContains(t, got.body, "e4")
}

// No server has the model and there is no forecast of a leader: the request is refused as not
// run, with a Retry-After, and reaches no server.
func TestUnavailableModelIsRefused(t *testing.T) {
	a := newBackend(t, respondOK)
	got := newTestGateway(t, a).call(t, "/once/x", "body", "other")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.retryAfter)
	require.Zero(t, a.requests.Load())
}

// The caller disconnects; the server's connection must be closed at once, or the server would
// continue in vain.
func TestCallerDisconnectClosesServerConnection(t *testing.T) {
	closed := make(chan struct{})
	a := newBackend(t, func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	tg := newTestGateway(t, a)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, tg.url+"/once/x", strings.NewReader("b"))
	require.NoError(t, err)
	request.Host = "h.example"
	go func() {
		for a.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = http.DefaultClient.Do(request) //nolint:bodyclose // there is none
	require.Error(t, err)
	<-closed
}

// The forwarded timeout is the time that the caller has left, and the intended server is named,
// so that another server at its address does not run the request.
func TestDeadlineAndServerAreForwarded(t *testing.T) {
	a := newBackend(t, respondOK)
	require.Equal(t, http.StatusOK, newTestGateway(t, a).call(t, "/once/x", "body", "").status)
	left, err := strconv.Atoi(a.header("X-Left"))
	require.NoError(t, err)
	require.Positive(t, left)
	require.LessOrEqual(t, left, 2000)
	require.Equal(t, "s0", a.header("X-For"))
}

func TestBodyOverLimit(t *testing.T) {
	a := newBackend(t, respondOK)
	got := newTestGateway(t, a).call(t, "/once/x", strings.Repeat("x", 65), "")
	require.Equal(t, http.StatusRequestEntityTooLarge, got.status)
	require.Zero(t, a.requests.Load())
}

// A new leader that is behind must not replace an entry's configuration by an older one.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	tg := newTestGateway(t, newBackend(t, respondOK))
	tg.g.Configure(configuration(5, routes()[0]))
	require.Equal(t, http.StatusNotFound, tg.call(t, "/again/x", "b", "").status)
	older := configuration(3, routes()...)
	older.Revision = 9
	tg.g.Configure(older)
	require.Equal(t, http.StatusNotFound, tg.call(t, "/again/x", "b", "").status)
	require.Equal(t, int64(5), tg.g.State().Version)
}

// A leaving server stays excluded although a new leader, which has only received an older
// report, lists it as ready. A server that a settled leader does not know is removed.
func TestLeavingServerStaysExcluded(t *testing.T) {
	a := newBackend(t, respondOK)
	tg := newTestGateway(t, a)
	view := func(state schema.RosterState) *schema.RosterServer {
		return &schema.RosterServer{Id: "s0", Pool: "p", Address: a.l.Addr().String(), Slots: 1, State: state}
	}
	tg.g.ApplyServers(false, view(schema.RosterState_ROSTER_STATE_LEAVING))
	tg.g.ApplyServers(false, view(schema.RosterState_ROSTER_STATE_READY))
	require.Equal(t, http.StatusServiceUnavailable, tg.call(t, "/once/x", "b", "").status)
	require.Zero(t, a.requests.Load())
	tg.g.ApplyServers(true)
	require.Zero(t, tg.g.ServerCount())
}

// Before a configuration is known, a missing route must not be reported as not found.
func TestRequestWithoutConfigurationIsUnavailable(t *testing.T) {
	g := newSubscribingGateway(t)
	defer g.Close()
	require.False(t, g.Ready())
	// AbortRequests ends the wait for the first configuration.
	g.AbortRequests()
	w := httptest.NewRecorder()
	g.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/once/x", nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
}

// All hosts have lost power and return. Callers reach the entry before it has found the leader,
// and each of them retries at most once. A request is read and waits until the configuration
// arrives, a moment later, and is then served.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	for name, test := range map[string]struct {
		body string
		want int
	}{
		"served":                         {"body", http.StatusOK},
		"too long for the configuration": {strings.Repeat("x", 65), http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, respondOK)
			g := newSubscribingGateway(t)
			defer g.Close()
			got := make(chan int, 1)
			body := &readNotifier{Reader: strings.NewReader(test.body), done: make(chan struct{})}
			go func() {
				w := httptest.NewRecorder()
				request := httptest.NewRequest(http.MethodPost, "/once/x", body)
				request.Host = "h.example"
				request.Header.Set("X-Id", "42")
				g.ServeHTTP(w, request)
				got <- w.Code
			}()
			<-body.done
			g.ApplyServers(false, &schema.RosterServer{Id: "s0", Pool: "p", Address: b.l.Addr().String(), Slots: 1})
			g.Configure(configuration(1, routes()...))
			require.Equal(t, test.want, <-got)
		})
	}
}

// readNotifier closes done once it is read to its end.
type readNotifier struct {
	io.Reader
	done chan struct{}
	once sync.Once
}

func (r *readNotifier) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		r.once.Do(func() { close(r.done) })
	}
	return n, err
}
