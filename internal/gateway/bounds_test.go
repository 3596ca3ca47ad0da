package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/bound"
	"fennelyard/internal/gateway"
	"fennelyard/internal/memory"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
	"fennelyard/internal/standin"
)

// blockedCaller is a caller that reads nothing of its response but the header until it is released.
type blockedCaller struct {
	header   http.Header
	status   int
	blocked  chan struct{}
	release  chan struct{}
	once     sync.Once
	received int
}

func newBlockedCaller() *blockedCaller {
	return &blockedCaller{header: http.Header{}, blocked: make(chan struct{}), release: make(chan struct{})}
}

func (c *blockedCaller) Header() http.Header              { return c.header }
func (c *blockedCaller) WriteHeader(status int)           { c.status = status }
func (c *blockedCaller) Flush()                           {}
func (c *blockedCaller) SetWriteDeadline(time.Time) error { return nil }

func (c *blockedCaller) Write(p []byte) (int, error) {
	c.once.Do(func() { close(c.blocked) })
	<-c.release
	c.received += len(p)
	return len(p), nil
}

// serve serves a request of the caller and returns once the response is complete; interrupted is set if
// it was cut off.
func (c *blockedCaller) serve(ctx context.Context, g *gateway.Gateway, path string) (interrupted bool) {
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://h.example"+path, strings.NewReader("body"))
	request.Header.Set("X-Id", "42")
	request.RequestURI = path
	defer func() { interrupted = recover() != nil }()
	g.ServeHTTP(c, request)
	return false
}

// newEndlessGateway starts a gateway whose servers send bytes without end.
func newEndlessGateway(t *testing.T, servers int, cfg standin.EndlessConnConfig) (g *gateway.Gateway, conns func() []*standin.EndlessConn) {
	t.Helper()
	var mu sync.Mutex
	var opened []*standin.EndlessConn
	dial := func(context.Context, string) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		opened = append(opened, standin.NewEndlessConn(cfg))
		return opened[len(opened)-1], nil
	}
	tg := startConfiguredGateway(t, func(c *gateway.Config) {
		c.Log, c.Sender = logr.Discard(), relay.NewSender(relay.Config{Dial: dial})
		c.RetryBudget = gateway.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Millisecond, Burst: 100}
	})
	var views []*schema.RosterServer
	for i := range servers {
		views = append(views, &schema.RosterServer{Id: fmt.Sprint("s", i), Pool: "p", Address: fmt.Sprintf("10.0.0.%d:1", i+1), Slots: 6})
	}
	tg.g.ApplyServers(false, views...)
	setLongTimeouts(tg)
	tg.g.HoldLease()
	return tg.g, func() (used []*standin.EndlessConn) {
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range opened {
			// Nothing is read on connections that only show whether a server listens.
			if conn.ReadBytes() > 0 {
				used = append(used, conn)
			}
		}
		return used
	}
}

const matchingHead = "HTTP/1.1 200 OK\r\nX-Id: 42\r\nX-Signed: 1\r\n"

// readAhead is what an entry reads of a connection beyond what it holds of a body.
const readAhead = 64 << 10

// A body without end in a response that matches its request must not fill the memory of the entry: it is forwarded
// no faster than the caller reads.
func TestEndlessBodiesAreHeldInPartOnly(t *testing.T) {
	for name, cfg := range map[string]standin.EndlessConnConfig{
		"length": {Beginning: matchingHead + "Content-Length: 99999999999\r\n\r\n", Repeated: "a"},
		"chunks": {Beginning: matchingHead + "Transfer-Encoding: chunked\r\n\r\n", Repeated: "1000\r\n" + strings.Repeat("b", 0x1000) + "\r\n"},
		"close":  {Beginning: matchingHead + "\r\n", Repeated: "a"},
	} {
		t.Run(name, func(t *testing.T) {
			cfg.MaxBytes = 64 << 20
			g, conns := newEndlessGateway(t, 1, cfg)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c, interrupted := newBlockedCaller(), make(chan bool, 1)
			go func() { interrupted <- c.serve(ctx, g, "/once/x") }()
			select {
			case <-c.blocked:
				require.LessOrEqual(t, conns()[0].ReadBytes(), int64(bound.HeldResponseBytes+readAhead))
			case <-interrupted:
				require.LessOrEqual(t, conns()[0].ReadBytes(), int64(bound.HeldResponseBytes+readAhead))
				t.Fatalf("status %d", c.status)
			}
			// The caller leaves: the response must not look complete.
			cancel()
			close(c.release)
			require.True(t, <-interrupted)
		})
	}
}

// An event without end must not fill the memory of the entry, nor those of many servers at once.
func TestEndlessEventsAreBounded(t *testing.T) {
	const callers = 32
	g, conns := newEndlessGateway(t, 1, standin.EndlessConnConfig{Beginning: matchingHead + "\r\nid: 1\ndata: ", Repeated: "a", MaxBytes: 64 << 20})
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			c := newBlockedCaller()
			c.serve(context.Background(), g, "/events/x")
			require.Equal(t, http.StatusBadGateway, c.status)
		})
	}
	wg.Wait()
	require.Len(t, conns(), callers)
	for _, conn := range conns() {
		require.LessOrEqual(t, conn.ReadBytes(), int64(bound.EventBytes+readAhead))
	}
}

// A request whose response met a bound may have run: where it must not run twice it is not sent again, and its
// caller gets no promise.
func TestRequestWhoseResponseMeetsABoundMayHaveRun(t *testing.T) {
	for path, sent := range map[string]int{"/once/x": 1, "/again/x": 2, "/events/x": 1} {
		t.Run(path, func(t *testing.T) {
			g, conns := newEndlessGateway(t, 3, standin.EndlessConnConfig{Beginning: "HTTP/1.1 200 OK\r\nX-Id: ", Repeated: "4", MaxBytes: 64 << 20})
			c := newBlockedCaller()
			require.False(t, c.serve(context.Background(), g, path))
			require.Equal(t, http.StatusBadGateway, c.status)
			require.Empty(t, c.header.Get("Retry-After"))
			require.Len(t, conns(), sent)
		})
	}
}

// A line names the server, the bound and the request, and the bound is counted.
func TestBoundsThatAreMetAreLogged(t *testing.T) {
	var lines bytes.Buffer
	var counted []bound.Kind
	endless := func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+strings.Repeat("a", 2*bound.HeadBytes))
	}
	tg := startConfiguredGateway(t, func(c *gateway.Config) {
		c.Sender, c.RetryBudget = relay.NewSender(relay.Config{}), gateway.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Millisecond, Burst: 100}
		c.Log = funcr.New(func(_, line string) {
			if strings.Contains(line, "over a bound") {
				lines.WriteString(line)
			}
		}, funcr.Options{})
		c.OnBoundMet = func(k bound.Kind) { counted = append(counted, k) }
	}, newBackend(t, endless))
	require.Equal(t, http.StatusBadGateway, tg.call(t, "/once/x", "body", "").status)
	require.Equal(t, []bound.Kind{bound.KindHead}, counted)
	for _, part := range []string{`"server"="s0"`, `"bound"="head-bytes"`, `"limit"=65536`, `"request"="42"`, `"address"="127.0.0.1:`} {
		require.Contains(t, lines.String(), part)
	}
}

// largeBody is the body of a large response.
var largeBody = strings.Repeat("0123456789abcde\n", 3<<16)

// respondLarge sends largeBody with one of the framings.
func respondLarge(framing string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		head := "HTTP/1.1 200 OK\r\nX-Id: " + request.Header.Get("X-Id") + "\r\nX-Signed: 1\r\n"
		switch framing {
		case "length":
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(largeBody), largeBody)
		case "chunks":
			_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(largeBody), largeBody)
		default:
			_, _ = io.WriteString(conn, head+"\r\n"+largeBody)
		}
	}
}

// dialPatiently connects without the timeout of entries: a machine that is short of processor time may need longer.
func dialPatiently(_ context.Context, address string) (net.Conn, error) {
	return net.Dial("tcp", address)
}

// Sound responses are served whole however large they are, also many at once, and also when the memory for bodies
// is used up.
func TestLargeResponsesAreServedWhole(t *testing.T) {
	for _, framing := range []string{"length", "chunks", "close"} {
		for _, budget := range []int64{1, 4 << 20} {
			t.Run(fmt.Sprint(framing, " ", budget), func(t *testing.T) {
				limit := memory.NewBudget(memory.Config{Bytes: budget})
				tg := startConfiguredGateway(t, func(c *gateway.Config) {
					c.Sender, c.Memory = relay.NewSender(relay.Config{Dial: dialPatiently}), limit
					c.RetryBudget = gateway.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Millisecond, Burst: 100}
				}, newBackend(t, respondLarge(framing)))
				setLongTimeouts(tg)
				var wg sync.WaitGroup
				for range 20 {
					wg.Go(func() {
						got := tg.call(t, "/again/x", "", "")
						require.Equal(t, http.StatusOK, got.status)
						require.False(t, got.interrupted)
						require.True(t, got.body == largeBody)
					})
				}
				wg.Wait()
				require.LessOrEqual(t, limit.Most(), budget)
				require.Zero(t, limit.Used())
			})
		}
	}
}

// A response that breaks off after a part of it was forwarded must not look complete.
func TestLargeResponseThatBreaksOffIsNotComplete(t *testing.T) {
	for name, respond := range map[string]func(net.Conn, *http.Request){
		"length": func(conn net.Conn, _ *http.Request) {
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", matchingHead, 2*len(largeBody), largeBody)
		},
		"chunks": func(conn net.Conn, _ *http.Request) {
			_, _ = fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", matchingHead, len(largeBody), largeBody)
		},
		"close": func(conn net.Conn, _ *http.Request) {
			_, _ = io.WriteString(conn, matchingHead+"\r\n"+largeBody)
			_ = conn.(*net.TCPConn).SetLinger(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, respond)
			got := newTestGatewayWithLongTimeouts(t, server).call(t, "/again/x", "body", "")
			// A reset may overtake the part that is held.
			require.True(t, got.interrupted || got.status == http.StatusBadGateway, "%d", got.status)
			require.Equal(t, int64(1), server.requests.Load())
		})
	}
}

// A request whose body finds no memory has not run: it is refused at once, with a time to return.
func TestRequestsWithoutMemoryAreRefused(t *testing.T) {
	server := newBackend(t, respondOK)
	tg := startConfiguredGateway(t, func(c *gateway.Config) {
		c.Sender, c.Memory = relay.NewSender(relay.Config{}), memory.NewBudget(memory.Config{Bytes: 2 * memory.FreeBytes})
	}, server)
	larger := configuration(2, routes()...)
	larger.GetRecords()[0].GetConfiguration().Limits.MaxBodyBytes = 8 * memory.FreeBytes
	tg.g.Configure(larger)
	body := func(n int) string { return strings.Repeat("a", n) }
	require.Equal(t, result{status: http.StatusServiceUnavailable, retryAfter: "0.50"}, tg.call(t, "/once/x", body(8*memory.FreeBytes), ""))
	require.Zero(t, server.requests.Load())
	require.Equal(t, http.StatusOK, tg.call(t, "/once/x", body(memory.FreeBytes-1), "").status)
	require.Equal(t, http.StatusRequestEntityTooLarge, tg.call(t, "/once/x", body(8*memory.FreeBytes+1), "").status)
	require.Equal(t, int64(1), server.requests.Load())
}

// A caller asks for its connection to be closed and is refused before its body has arrived: a reset may overtake the
// refusal.
func TestConnectionOfARefusedBodyIsNotReset(t *testing.T) {
	tg := newTestGateway(t, newBackend(t, respondOK))
	conn, err := net.Dial("tcp", strings.TrimPrefix(tg.url, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	half := strings.Repeat("a", 32<<10)
	_, err = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 42\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", 2*len(half), half)
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)
	_, err = io.WriteString(conn, half)
	require.NoError(t, err)
	response, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(response), "HTTP/1.1 413 "), "%s", response)
}
