package listener_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/listener"
)

const (
	testTimeout = 10 * time.Second
	request     = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
)

// port is a port with an HTTP server, whose handler responds to /wait only once released is closed, and to all others at
// once, after it has read the body.
type port struct {
	t        *testing.T
	budget   *listener.Budget
	listener *listener.Listener
	released chan struct{}

	mu sync.Mutex
	// reasons counts closed connections, served the requests whose body the handler has read in full, and idle how often a
	// connection became idle; started counts the requests to /wait. Guarded by mu.
	reasons               map[listener.Reason]int
	served, idle, started int
}

// newPort starts a port for limit connections, with memory for partial heads.
func newPort(t *testing.T, limit int, partialBytes int64, headBytes func() int) *port {
	return newPortWith(t, limit, partialBytes, listener.PortConfig{MaxHeadBytes: headBytes}, 0)
}

// newPortWith is newPort with a time for heads and idle connections; 0: the default.
func newPortWith(t *testing.T, limit int, partialBytes int64, cfg listener.PortConfig, timeout time.Duration) *port {
	p := &port{t: t, released: make(chan struct{}), reasons: map[listener.Reason]int{}}
	p.budget = listener.NewBudget(listener.BudgetConfig{
		Descriptors: 64, HeadBytes: partialBytes, MessageBytes: partialBytes, Log: logr.Discard(),
		OnClosed: func(_ listener.Port, r listener.Reason) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.reasons[r]++
		},
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cfg.Port, cfg.Share = listener.PortCallers, listener.Share{Descriptors: (float64(limit) + 0.5) / 60}
	p.listener = p.budget.Listen(l, cfg)
	require.Equal(t, limit, p.listener.Limit())
	onState := func(_ net.Conn, state http.ConnState) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if state == http.StateIdle {
			p.idle++
		}
	}
	server := p.listener.NewServer(listener.ServerConfig{OnState: onState, HeadTimeout: timeout, IdleTimeout: timeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.URL.Path == "/wait" {
			p.mu.Lock()
			p.started++
			p.mu.Unlock()
			<-p.released
		}
		p.mu.Lock()
		p.served++
		p.mu.Unlock()
		_, _ = io.WriteString(w, "response")
	})})
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.listener.Serve(server)
	}()
	t.Cleanup(func() {
		select {
		case <-p.released:
		default:
			close(p.released)
		}
		require.NoError(t, server.Close())
		<-done
	})
	return p
}

func (p *port) count(r listener.Reason) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reasons[r]
}

func (p *port) servedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.served
}

// caller is a connection to a port.
type caller struct {
	net.Conn
	p  *port
	in *bufio.Reader
}

// dial connects and sends text.
func (p *port) dial(text string) *caller {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.listener.Addr().String())
	require.NoError(p.t, err)
	p.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(p.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, text)
	require.NoError(p.t, err)
	return &caller{conn, p, bufio.NewReader(conn)}
}

// status returns the status of the next response, 0 if the connection is closed before.
func (c *caller) status() int {
	c.p.t.Helper()
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		require.NotErrorIs(c.p.t, err, os.ErrDeadlineExceeded, "neither a response nor the end of the connection")
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(c.p.t, err)
	return response.StatusCode
}

func (p *port) awaitStarted(n int) {
	p.t.Helper()
	require.Eventually(p.t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.started == n
	}, testTimeout, time.Millisecond)
}

func (p *port) awaitIdle(n int) {
	p.t.Helper()
	require.Eventually(p.t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.idle == n
	}, testTimeout, time.Millisecond)
}

// headBytes returns what heads have taken.
func (p *port) headBytes() (bytes float64) {
	p.budget.RegisterGauges(func(name, _ string, read func() float64) {
		if name == "head_bytes" {
			bytes = read()
		}
	})
	return bytes
}

func (p *port) awaitOpen(n int) {
	p.t.Helper()
	require.Eventually(p.t, func() bool { return p.listener.Open() == n }, testTimeout, time.Millisecond, "%d connections", n)
}

// Connections without a request, however many, keep nobody out: each new one replaces the one that waits longest.
func TestIdleConnectionsAreReplacedOldestFirst(t *testing.T) {
	for name, text := range map[string]string{"no bytes": "", "half a head": "GET / HTTP/1.1\r\nHost", "idle after a request": request} {
		t.Run(name, func(t *testing.T) {
			p := newPort(t, 8, 1<<20, nil)
			var callers []*caller
			for i := range 8 {
				c := p.dial(text)
				if text == request {
					require.Equal(t, http.StatusOK, c.status())
					p.awaitIdle(i + 1)
				}
				callers = append(callers, c)
				p.awaitOpen(i + 1)
			}
			p.mu.Lock()
			idle := p.idle
			p.mu.Unlock()
			for i, oldest := range callers {
				require.Equal(t, http.StatusOK, p.dial(request).status())
				p.awaitIdle(idle + i + 1)
				require.Zero(t, oldest.status(), "the oldest connection is closed")
				p.awaitOpen(8)
			}
			require.Equal(t, len(callers), p.count(listener.ReasonReplaced))
		})
	}
}

// A connection with a request is never closed for a new one. While all have one, requests on a few further connections are
// refused with a time to return, and other connections are closed.
func TestConnectionsWithRequestsAreKept(t *testing.T) {
	p := newPort(t, 32, 1<<20, nil)
	var busy []*caller
	for range 30 {
		busy = append(busy, p.dial("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"))
	}
	p.awaitStarted(30)
	refused := p.dial(request)
	response, err := http.ReadResponse(refused.in, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.True(t, response.Close)
	close(p.released)
	for _, c := range busy {
		require.Equal(t, http.StatusOK, c.status())
	}
	require.Equal(t, http.StatusOK, p.dial(request).status())
	require.Positive(t, p.count(listener.ReasonBusy))
}

// Requests whose bodies do not arrive give way to others, and are not handled.
func TestRequestsWithoutTheirBodyAreReplaced(t *testing.T) {
	p := newPort(t, 8, 1<<20, nil)
	var slow []*caller
	for i := range 8 {
		c := p.dial("POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 10\r\n\r\n")
		require.Equal(t, http.StatusContinue, c.status(), "the handler waits for the body")
		_, err := io.WriteString(c, "half")
		require.NoError(t, err)
		slow = append(slow, c)
		p.awaitOpen(i + 1)
	}
	require.Equal(t, http.StatusOK, p.dial(request).status())
	require.Zero(t, slow[0].status())
	_, _ = io.WriteString(slow[0], " body.")
	_, err := io.WriteString(slow[7], " body.")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, slow[7].status())
	require.Equal(t, 2, p.servedCount())
}

func fields(n int) string {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// Heads that do not end take a part of the memory together, and the oldest gives way to one that does.
func TestPartialHeadsShareMemory(t *testing.T) {
	const head = "GET /x HTTP/1.1\r\nHost: h\r\n"
	p := newPort(t, 32, 1<<20, nil)
	var partial []*caller
	for range 10 {
		partial = append(partial, p.dial(head+fields(1000)))
		require.Eventually(t, func() bool { return p.headBytes() > 0 }, testTimeout, time.Millisecond)
	}
	require.Zero(t, partial[0].status())
	require.Positive(t, p.count(listener.ReasonPartial))
	whole := p.dial(head + fields(2000) + "\r\n")
	require.Equal(t, http.StatusOK, whole.status())
	require.Equal(t, http.StatusOK, p.dial(request).status(), "short heads need no memory")
	require.Zero(t, p.count(listener.ReasonReplaced))
}

// Empty lines before a request, which a server skips, end no head.
func TestEmptyLinesEndNoHead(t *testing.T) {
	const post = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\na"
	p := newPort(t, 32, 1<<20, nil)
	for range 10 {
		c := p.dial(post)
		require.Equal(t, http.StatusOK, c.status())
		_, err := io.WriteString(c, "\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n"+fields(1000))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return p.count(listener.ReasonPartial) > 0 }, testTimeout, time.Millisecond)
}

// Heads of requests that are served keep their memory; further large ones are refused as not run.
func TestHeadsOfRequestsInProgressTakeMemory(t *testing.T) {
	p := newPort(t, 32, 1<<20, nil)
	for range 3 {
		p.dial("GET /wait HTTP/1.1\r\nHost: h\r\n" + fields(1000) + "\r\n")
	}
	p.awaitStarted(3)
	require.Equal(t, http.StatusServiceUnavailable, p.dial("GET /x HTTP/1.1\r\nHost: h\r\n"+fields(1500)+"\r\n").status())
	require.Equal(t, http.StatusOK, p.dial(request).status())
	close(p.released)
	require.Eventually(t, func() bool {
		return p.dial("GET /x HTTP/1.1\r\nHost: h\r\n"+fields(1500)+"\r\n").status() == http.StatusOK
	}, testTimeout, time.Millisecond)
}

// The limit of a configuration holds for the head as a whole.
func TestLongHeadsAreRefused(t *testing.T) {
	p := newPort(t, 8, 1<<20, func() int { return 1000 })
	require.Equal(t, http.StatusOK, p.dial("GET /x HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", 900)+"\r\n\r\n").status())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, p.dial("GET /x HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", 6000)).status())
	require.Equal(t, 1, p.count(listener.ReasonHeadBytes))
}

// Callers that take as long as the configuration allows are not cut off.
func TestStatedTimesAreGranted(t *testing.T) {
	const timeout = 50 * time.Millisecond
	for name, stated := range map[string]time.Duration{"longer": time.Hour, "shorter": time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			p := newPortWith(t, 8, 1<<20, listener.PortConfig{MinWait: func() time.Duration { return stated }}, timeout)
			for _, before := range []string{"", request} {
				c := p.dial(before)
				if before != "" {
					require.Equal(t, http.StatusOK, c.status())
				}
				if stated < timeout {
					require.Zero(t, c.status(), "the server's own time holds")
					continue
				}
				for _, part := range []string{request[:9], request[9:]} {
					time.Sleep(4 * timeout)
					_, err := io.WriteString(c, part)
					require.NoError(t, err)
				}
				require.Equal(t, http.StatusOK, c.status())
			}
		})
	}
}

// A head that is read ahead with the request before it counts as well.
func TestPipelinedHeadsTakeMemory(t *testing.T) {
	p := newPort(t, 8, 64<<10, nil)
	c := p.dial(request + "GET /x HTTP/1.1\r\nHost: h\r\n" + fields(600) + "\r\n")
	require.Equal(t, http.StatusOK, c.status())
	require.Equal(t, http.StatusServiceUnavailable, c.status())
}

// Requests on kept connections, pipelined or not, and bodies of any kind are served like on any other connection.
func TestRequestsOnKeptConnections(t *testing.T) {
	const (
		chunks = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n\n\n\n\n\n\r\n0\r\n\r\n"
		length = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n\r\n\r\n\n\n"
		bare   = "GET /x HTTP/1.1\nHost: h\n\n"
		folded = "GET /x HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n"
	)
	p := newPort(t, 8, 1<<20, nil)
	texts := []string{request, chunks, length, bare, folded, length, "\r\n" + request, chunks, request}
	apart := p.dial("")
	for i, text := range texts {
		for j := range len(text) {
			_, err := io.WriteString(apart, text[j:j+1])
			require.NoError(t, err)
		}
		require.Equal(t, http.StatusOK, apart.status(), "request %d", i)
	}
	together := p.dial(strings.Join(texts, ""))
	for i := range texts {
		require.Equal(t, http.StatusOK, together.status(), "request %d", i)
	}
	require.Equal(t, 2, p.listener.Open())
}

// A connection that ends returns what it has taken, at whatever point.
func TestClosedConnectionsReturnWhatTheyTook(t *testing.T) {
	p := newPort(t, 32, 1<<20, nil)
	for range 3 {
		for _, text := range []string{"", "GET", "GET /x HTTP/1.1\r\nHost: h\r\n" + fields(1000), request, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\na", "malformed\r\n\r\n"} {
			c := p.dial(text)
			if !strings.HasPrefix(text, "malformed") {
				p.awaitOpen(1)
			}
			require.NoError(t, c.Close())
			p.awaitOpen(0)
		}
	}
	require.Zero(t, p.headBytes())
}
