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

	"fennelyard/internal/gateway"
	"fennelyard/internal/ledger"
	"fennelyard/internal/peer"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

// codec is a small one of the tests' own.
func codec() gateway.Codec {
	return gateway.Codec{
		ParseRequest: func(r *http.Request) gateway.RequestInfo {
			ms, _ := strconv.Atoi(r.Header.Get("X-Wait"))
			return gateway.RequestInfo{
				ID: r.Header.Get("X-Id"), APIKey: r.Header.Get("X-Key"), Model: r.Header.Get("X-Model"), Timeout: time.Duration(ms) * time.Millisecond,
			}
		},
		SetForwardHeader: func(h http.Header, m gateway.ForwardInfo) {
			h.Set("X-For", m.Server)
			h.Set("X-Team", m.Team)
			h.Set("X-Left", strconv.FormatInt(m.Timeout.Milliseconds(), 10))
			if m.LastEventID > 0 {
				h.Set("X-After", strconv.FormatInt(m.LastEventID, 10))
			}
		},
		MatchesRequest: func(a http.Header, id string) bool { return a.Get("X-Id") == id },
		ParseResponse: func(status int, a http.Header) gateway.ResponseInfo {
			return gateway.ResponseInfo{
				NotRun: a.Get("X-Not-Run") != "", Misdirected: status == http.StatusMisdirectedRequest, Signed: a.Get("X-Signed") != "",
			}
		},
	}
}

// backend is a backend server whose behaviour a test writes on the raw
// connection; it counts the requests that reach it.
type backend struct {
	l    net.Listener
	seen atomic.Int64
	mu   sync.Mutex
	last *http.Request
}

func newBackend(t *testing.T, behave func(conn net.Conn, q *http.Request)) *backend {
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
				q, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.ReadAll(q.Body)
				b.seen.Add(1)
				b.mu.Lock()
				b.last = q
				b.mu.Unlock()
				behave(conn, q)
			}()
		}
	}()
	return b
}

func (b *backend) header(name string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last.Header.Get(name)
}

func reply(status int, header, body string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, q *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d x\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
			status, q.Header.Get("X-Id"), header, len(body), body)
	}
}

const signed = "X-Signed: 1\r\n"

var (
	answers = reply(http.StatusOK, signed, "done")
	sheds   = reply(http.StatusServiceUnavailable, "X-Not-Run: 1\r\n", "")
	breaks  = func(net.Conn, *http.Request) {}
	errs    = reply(http.StatusInternalServerError, signed, "oops")
)

// stream sends events from first to last and then ends it, or breaks it off
// inside the next event.
func stream(first, last int, whole bool) func(net.Conn, *http.Request) {
	return func(conn net.Conn, q *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("X-Id"), signed)
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

type bed struct {
	g   *gateway.Gateway
	url string
	// wait is how long callers say that they wait, in milliseconds.
	wait string
}

// newBed serves one pool of the backends on routes for each kind of request.
func newBed(t *testing.T, backends ...*backend) *bed {
	t.Helper()
	return newBedWith(t, gateway.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Millisecond, Burst: 100}, backends...)
}

func newBedWith(t *testing.T, budget gateway.RetryBudgetConfig, backends ...*backend) *bed {
	t.Helper()
	return newBedOf(t, budget, logr.Discard(), backends...)
}

// newBedLogging is a bed that logs what it believes.
func newBedLogging(t *testing.T, log logr.Logger, backends ...*backend) *bed {
	t.Helper()
	return newBedOf(t, gateway.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Millisecond, Burst: 100}, log, backends...)
}

func newBedOf(t *testing.T, budget gateway.RetryBudgetConfig, log logr.Logger, backends ...*backend) *bed {
	t.Helper()
	dialer := peer.NewDialer(peer.DialerConfig{})
	g := gateway.New(gateway.Config{
		Self: &schema.RosterEntry{Host: "e", CallerAddress: "127.0.0.1:1"}, Seeds: func() []string { return nil }, Dialer: dialer,
		Replica: ledger.NewReplica(), Sender: relay.NewSender(relay.Config{}), Codec: codec(),
		RetryBudget: budget, Log: log, RequestLog: logr.Discard(), KeyRevocation: revocation,
	})
	t.Cleanup(func() {
		g.Close()
		dialer.Close()
	})
	g.Configure(configuration(1, routes()...))
	var views []*schema.RosterServer
	for i, b := range backends {
		views = append(views, &schema.RosterServer{
			Id: fmt.Sprint("s", i), Pool: "p", Address: b.l.Addr().String(), Slots: 6,
			Models: []*schema.HeldModel{{Name: "m"}},
		})
	}
	g.Believe(false, views...)
	// The budget starts empty and fills within its window.
	time.Sleep(20 * time.Millisecond)
	s := httptest.NewServer(g)
	t.Cleanup(s.Close)
	return &bed{g, s.URL, "2000"}
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
		{Key: ledger.PoolKey("p"), Value: &schema.Record_Pool{Pool: &schema.Pool{Name: "p"}}},
	}}
	for _, r := range routes {
		c.Records = append(c.Records, &schema.Record{Key: ledger.RouteKey(r.GetName()), Value: &schema.Record_Route{Route: r}})
	}
	return c
}

type result struct {
	status int
	body   string
	after  string
	broken bool
}

func (b *bed) call(t *testing.T, path, body string, model string) result {
	t.Helper()
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, b.url+path, strings.NewReader(body))
	require.NoError(t, err)
	q.Host = "h.example"
	q.Header.Set("X-Id", "42")
	q.Header.Set("X-Wait", b.wait)
	q.Header.Set("X-Model", model)
	r, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(q)
	if err != nil {
		return result{broken: true}
	}
	defer func() { _ = r.Body.Close() }()
	data, err := io.ReadAll(r.Body)
	return result{r.StatusCode, string(data), r.Header.Get("Retry-After"), err != nil}
}

// What a caller gets, and how many servers its request reached, by how the first
// server that is asked behaves and by what may be repeated. A request that must
// not run twice never reaches a second server once a byte of it was taken, and
// only a server's own word makes a 503.
func TestWhatMayBeRepeated(t *testing.T) {
	for name, x := range map[string]struct {
		path   string
		behave func(net.Conn, *http.Request)
		want   int
		reach  int64
	}{
		"once, served":           {"/once/x", answers, http.StatusOK, 1},
		"once, no answer":        {"/once/x", breaks, http.StatusBadGateway, 1},
		"once, the server fails": {"/once/x", errs, http.StatusInternalServerError, 1},
		"once, all are full":     {"/once/x", sheds, http.StatusServiceUnavailable, 2},
		"once, unsigned success": {"/once/x", reply(http.StatusOK, "", "?"), http.StatusBadGateway, 1},
		"once, another's answer": {"/once/x", func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Signed: 1\r\nContent-Length: 0\r\n\r\n")
		}, http.StatusBadGateway, 1},
		"once, cut short": {"/once/x", func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 42\r\nX-Signed: 1\r\nContent-Length: 9\r\n\r\nhal")
		}, http.StatusBadGateway, 1},
		"again, no answer":        {"/again/x", breaks, http.StatusBadGateway, 2},
		"again, the server fails": {"/again/x", errs, http.StatusInternalServerError, 2},
		"no route":                {"/nowhere/x", answers, http.StatusNotFound, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newBackend(t, x.behave), newBackend(t, x.behave)
			got := newBed(t, a, b).call(t, x.path, "body", "")
			require.Equal(t, x.want, got.status)
			require.Equal(t, x.reach, a.seen.Load()+b.seen.Load())
			if x.want == http.StatusServiceUnavailable {
				require.NotEmpty(t, got.after)
			}
		})
	}
}

// One server refuses as full, or can't be reached at all; the other one serves.
func TestAnotherServerServes(t *testing.T) {
	closed := newBackend(t, answers)
	require.NoError(t, closed.l.Close())
	for name, first := range map[string]*backend{"full": newBackend(t, sheds), "gone": closed} {
		t.Run(name, func(t *testing.T) {
			good := newBackend(t, answers)
			bed := newBed(t, first, good)
			for range 6 {
				got := bed.call(t, "/once/x", "body", "")
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, "done", got.body)
			}
			require.Equal(t, int64(6), good.seen.Load())
		})
	}
}

// A server dies inside the third event. A stream that may be resumed goes on at
// another server after the last event that was complete, and the caller sees one
// whole answer; any other stream is broken off and must not look complete.
func TestStreamWhoseServerDies(t *testing.T) {
	whole := "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"
	behave := func(conn net.Conn, q *http.Request) {
		if q.Header.Get("X-After") == "2" {
			stream(3, 4, true)(conn, q)
			return
		}
		stream(1, 2, false)(conn, q)
	}
	a, b := newBackend(t, behave), newBackend(t, behave)
	bed := newBed(t, a, b)
	got := bed.call(t, "/resume/x", "body", "m")
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, whole, got.body)
	require.False(t, got.broken)

	got = bed.call(t, "/events/x", "body", "m")
	require.True(t, got.broken)
	require.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n", got.body)
}

// The second server goes on with a gap: the caller gets a broken answer rather
// than one that lacks an event.
func TestGapAfterResumeIsNotPassedOn(t *testing.T) {
	behave := func(conn net.Conn, q *http.Request) {
		if q.Header.Get("X-After") != "" {
			stream(4, 5, true)(conn, q)
			return
		}
		stream(1, 2, false)(conn, q)
	}
	got := newBed(t, newBackend(t, behave), newBackend(t, behave)).call(t, "/resume/x", "body", "m")
	require.True(t, got.broken)
	require.NotContains(t, got.body, "e4")
}

// No server holds the model and no leader says a word: the request is refused as
// not run, with a time to come back, and reached nobody.
func TestModelThatDoesNotCome(t *testing.T) {
	a := newBackend(t, answers)
	got := newBed(t, a).call(t, "/once/x", "body", "other")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.after)
	require.Zero(t, a.seen.Load())
}

// The caller leaves; the server's connection must be closed at once, or it would
// work on for nobody.
func TestServerLearnsThatTheCallerLeft(t *testing.T) {
	closed := make(chan struct{})
	a := newBackend(t, func(conn net.Conn, _ *http.Request) {
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
	})
	bed := newBed(t, a)
	ctx, cancel := context.WithCancel(context.Background())
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, bed.url+"/once/x", strings.NewReader("b"))
	require.NoError(t, err)
	q.Host = "h.example"
	go func() {
		for a.seen.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = http.DefaultClient.Do(q) //nolint:bodyclose // there is none
	require.Error(t, err)
	<-closed
}

// What a server is told of the time left is what the caller has left, and the
// server is named, so that another one at its address does not run the request.
func TestDeadlineAndServerArePassedOn(t *testing.T) {
	a := newBackend(t, answers)
	require.Equal(t, http.StatusOK, newBed(t, a).call(t, "/once/x", "body", "").status)
	left, err := strconv.Atoi(a.header("X-Left"))
	require.NoError(t, err)
	require.Positive(t, left)
	require.LessOrEqual(t, left, 2000)
	require.Equal(t, "s0", a.header("X-For"))
}

func TestBodyOverTheLimit(t *testing.T) {
	a := newBackend(t, answers)
	got := newBed(t, a).call(t, "/once/x", strings.Repeat("x", 65), "")
	require.Equal(t, http.StatusRequestEntityTooLarge, got.status)
	require.Zero(t, a.seen.Load())
}

// A new leader that is behind must not take an entry's configuration back.
func TestConfigurationNeverGoesBack(t *testing.T) {
	bed := newBed(t, newBackend(t, answers))
	bed.g.Configure(configuration(5, routes()[0]))
	require.Equal(t, http.StatusNotFound, bed.call(t, "/again/x", "b", "").status)
	older := configuration(3, routes()...)
	older.Revision = 9
	bed.g.Configure(older)
	require.Equal(t, http.StatusNotFound, bed.call(t, "/again/x", "b", "").status)
	require.Equal(t, int64(5), bed.g.State().Version)
}

// A server that was said to leave stays out although a new leader, which has
// only heard its older word, names it as ready. One that a settled leader does
// not know is gone.
func TestLeavingServerStaysOut(t *testing.T) {
	a := newBackend(t, answers)
	bed := newBed(t, a)
	view := func(state schema.RosterState) *schema.RosterServer {
		return &schema.RosterServer{Id: "s0", Pool: "p", Address: a.l.Addr().String(), Slots: 1, State: state}
	}
	bed.g.Believe(false, view(schema.RosterState_ROSTER_STATE_LEAVING))
	bed.g.Believe(false, view(schema.RosterState_ROSTER_STATE_READY))
	require.Equal(t, http.StatusServiceUnavailable, bed.call(t, "/once/x", "b", "").status)
	require.Zero(t, a.seen.Load())
	bed.g.Believe(true)
	require.Zero(t, bed.g.Servers())
}

// Before a configuration is known nothing is said to be missing.
func TestNoConfigurationIsNoRoute(t *testing.T) {
	g := attending(t)
	defer g.Close()
	require.False(t, g.Ready())
	// The gateway ends: what waits for the first configuration is answered.
	g.AbortRequests()
	w := httptest.NewRecorder()
	g.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/once/x", nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
}

// All hosts have lost power and come back. Callers find the entry before it has
// found the leader, and each of them has one more try at most. A request is read
// and kept until the configuration is there, a moment later, and is then served.
func TestStartingEntryKeepsCallersForItsConfiguration(t *testing.T) {
	for name, x := range map[string]struct {
		body string
		want int
	}{
		"served":                      {"body", http.StatusOK},
		"too long, as turns out then": {strings.Repeat("x", 65), http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, answers)
			g := attending(t)
			defer g.Close()
			got := make(chan int, 1)
			body := &readOnce{Reader: strings.NewReader(x.body), read: make(chan struct{})}
			go func() {
				w := httptest.NewRecorder()
				q := httptest.NewRequest(http.MethodPost, "/once/x", body)
				q.Host = "h.example"
				q.Header.Set("X-Id", "42")
				g.ServeHTTP(w, q)
				got <- w.Code
			}()
			<-body.read
			g.Believe(false, &schema.RosterServer{Id: "s0", Pool: "p", Address: b.l.Addr().String(), Slots: 1})
			g.Configure(configuration(1, routes()...))
			require.Equal(t, x.want, <-got)
		})
	}
}

// readOnce tells when it was read to its end.
type readOnce struct {
	io.Reader
	read chan struct{}
	once sync.Once
}

func (r *readOnce) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err != nil {
		r.once.Do(func() { close(r.read) })
	}
	return n, err
}
