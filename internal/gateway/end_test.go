package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

// respondUntilClose sends a response without a length or chunks, and closes the connection regularly.
func respondUntilClose(body string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s\r\n%s", request.Header.Get("X-Id"), signed, body)
	}
}

const twoEvents = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"

// A response without a length or chunks that ends because its server's process did, or the host that carried it,
// must not look whole, whatever is found at the server's address afterwards.
func TestHalfResponsesDoNotLookWhole(t *testing.T) {
	for name, tt := range map[string]struct {
		afterwards func(tg *testGateway, b *backend)
		whole      bool
	}{
		"the server runs": {func(*testGateway, *backend) {}, true},
		"the server runs and leaves": {func(tg *testGateway, b *backend) {
			tg.g.ApplyServers(true, &schema.RosterServer{Id: "s0", Pool: "p", Address: b.l.Addr().String(), State: schema.RosterState_ROSTER_STATE_LEAVING})
		}, true},
		"another server has the address":  {func(_ *testGateway, b *backend) { b.setIdentify(statesServer("s1")) }, false},
		"nobody says who has the address": {func(_ *testGateway, b *backend) { b.setIdentify(statesServer("")) }, false},
		"connections are closed at once":  {func(_ *testGateway, b *backend) { b.setIdentify(func(net.Conn) {}) }, false},
		"connections get no response":     {func(_ *testGateway, b *backend) { b.setIdentify(func(net.Conn) { time.Sleep(time.Second) }) }, false},
		"connections are refused":         {func(_ *testGateway, b *backend) { _ = b.l.Close() }, false},
		"a server that leaves has ended": {func(tg *testGateway, b *backend) {
			tg.g.ApplyServers(true, &schema.RosterServer{Id: "s0", Pool: "p", Address: b.l.Addr().String(), State: schema.RosterState_ROSTER_STATE_LEAVING})
			_ = b.l.Close()
		}, false},
		"the server has started again": {func(tg *testGateway, b *backend) {
			b.setIdentify(statesServer("s0"))
			tg.g.ApplyServers(true, &schema.RosterServer{
				Id: fmt.Sprint("s0@", time.Now().Add(time.Minute).UnixMilli()), Pool: "p", Address: b.l.Addr().String(), Slots: 6,
			})
		}, false},
		"a server that was removed has ended": {func(tg *testGateway, b *backend) {
			tg.g.ApplyServers(true)
			_ = b.l.Close()
		}, false},
	} {
		for _, path := range []string{"/once/x", "/events/x"} {
			t.Run(name+path, func(t *testing.T) {
				var tg *testGateway
				var server *backend
				server = newBackend(t, func(conn net.Conn, request *http.Request) {
					respondUntilClose(twoEvents)(conn, request)
					tt.afterwards(tg, server)
				})
				tg = newTestGateway(t, server)
				got := tg.call(t, path, "body", "")
				switch {
				case tt.whole:
					require.Equal(t, result{status: http.StatusOK, body: twoEvents}, got)
				case path == "/once/x":
					require.Equal(t, result{status: http.StatusBadGateway}, got)
				default:
					require.True(t, got.interrupted, "%d", got.status)
				}
				require.Equal(t, int64(1), server.requests.Load())
			})
		}
	}
}

// A stream whose end nothing proves goes on at another server after its last event.
func TestStreamWhoseEndIsNotProvedIsResumed(t *testing.T) {
	ended := newBackend(t, respondUntilClose(twoEvents)).setIdentify(func(net.Conn) {})
	other := newBackend(t, streamEvents(3, 4, true))
	tg := newTestGateway(t, ended, other)
	for range 20 {
		got := tg.call(t, "/resume/x", "body", "")
		require.Equal(t, http.StatusOK, got.status)
		require.False(t, got.interrupted)
		if other.header("X-After") == "2" {
			require.Equal(t, twoEvents+"id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n", got.body)
			return
		}
	}
	t.Fatal("no stream was resumed")
}

// A server that stops at the deadline that it was sent may end the response as if it were whole.
func TestStreamThatItsServerStopsAtTheDeadlineIsNotWhole(t *testing.T) {
	for name, end := range map[string]string{"in chunks": "0\r\n\r\n", "until the connection is closed": ""} {
		t.Run(name, func(t *testing.T) {
			server := newBackend(t, func(conn net.Conn, request *http.Request) {
				if end == "" {
					respondUntilClose(twoEvents)(conn, request)
				} else {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: 42\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", signed, len(twoEvents), twoEvents)
				}
				ms, err := strconv.Atoi(request.Header.Get("X-Left"))
				require.NoError(t, err)
				time.Sleep(time.Duration(ms) * time.Millisecond)
				_, _ = io.WriteString(conn, end)
			})
			outcomes := make(chan gateway.Outcome, 1)
			tg := startConfiguredGateway(t, func(c *gateway.Config) {
				c.Sender, c.OnRequestDone = relay.NewSender(relay.Config{}), func(s gateway.RequestStats) { outcomes <- s.Outcome }
			}, server)
			tg.timeoutMs = "300"
			require.True(t, tg.call(t, "/events/x", "body", "").interrupted)
			require.Equal(t, gateway.OutcomeTimeout, <-outcomes, "the server has not failed")
		})
	}
}

// The counter distinguishes proved ends from others.
func TestEndsWithTheConnectionAreCounted(t *testing.T) {
	var counted []relay.Presence
	count := func(c *gateway.Config) {
		c.Sender, c.OnConnectionEnd = relay.NewSender(relay.Config{}), func(p relay.Presence) { counted = append(counted, p) }
	}
	startConfiguredGateway(t, count, newBackend(t, respondUntilClose("done"))).call(t, "/once/x", "body", "")
	startConfiguredGateway(t, count, newBackend(t, respondUntilClose("done")).setIdentify(statesServer("s9"))).call(t, "/once/x", "body", "")
	require.Equal(t, []relay.Presence{relay.PresenceConfirmed, relay.PresenceReplaced}, counted)
}

// A server that leaves, is unhealthy or has no slot left rejects health checks, and need not state its ID then. Its whole
// responses must not be broken off for it.
func TestRejectedHealthChecksBreakOffNoWholeResponse(t *testing.T) {
	reject := func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	}
	for name, leaves := range map[string]bool{"full or unhealthy": false, "leaving": true} {
		t.Run(name, func(t *testing.T) {
			var tg *testGateway
			var server *backend
			server = newBackend(t, func(conn net.Conn, request *http.Request) {
				respondUntilClose("done")(conn, request)
				if leaves {
					tg.g.ApplyServers(true, &schema.RosterServer{Id: "s0", Pool: "p", Address: server.l.Addr().String(), State: schema.RosterState_ROSTER_STATE_LEAVING})
				}
			}).setIdentify(reject)
			tg = newTestGateway(t, server)
			require.Equal(t, result{status: http.StatusOK, body: "done"}, tg.call(t, "/once/x", "body", ""))
		})
	}
}

// Many responses that end at once at a server that takes few connections must not be broken off because it takes long
// to ask about each of them.
func TestManyResponsesThatEndAtOnceAreWhole(t *testing.T) {
	const n, slots, runs = 100, 6, 60 * time.Millisecond
	var arrived sync.WaitGroup
	arrived.Add(n)
	var checks atomic.Int64
	slot := make(chan struct{}, slots)
	server := newBackend(t, func(conn net.Conn, request *http.Request) {
		arrived.Done()
		arrived.Wait()
		respondUntilClose("done")(conn, request)
	}).setIdentify(func(conn net.Conn) {
		checks.Add(1)
		slot <- struct{}{}
		time.Sleep(runs)
		<-slot
		statesServer("s0")(conn)
	})
	tg := newTestGateway(t, server)
	tg.timeoutMs = "3000"
	var failed atomic.Int64
	var wg sync.WaitGroup
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if tg.call(t, "/once/x", "body", "") != (result{status: http.StatusOK, body: "done"}) {
				failed.Add(1)
			}
		}()
	}
	wg.Wait()
	require.Zero(t, failed.Load(), fmt.Sprintf("whole responses of %d that were broken off; health checks sent: %d", n, checks.Load()))
}

// A server that has asked for a cooldown gets no health check, and nothing proves the end of what it sends meanwhile.
func TestServerThatHasAskedForACooldownIsNotAskedAboutItsResponses(t *testing.T) {
	begun, rejected := make(chan struct{}), make(chan struct{})
	var checks atomic.Int64
	server := newBackend(t, func(conn net.Conn, request *http.Request) {
		if request.URL.Path == "/again/x" {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 429 x\r\nX-Id: 42\r\nX-Not-Run: 1\r\nRetry-After: 5\r\nContent-Length: 0\r\n\r\n")
			return
		}
		close(begun)
		<-rejected
		respondUntilClose("done")(conn, request)
	}).setIdentify(func(conn net.Conn) {
		checks.Add(1)
		statesServer("s0")(conn)
	})
	tg := newTestGateway(t, server)
	got := make(chan result, 1)
	go func() { got <- tg.call(t, "/once/x", "body", "") }()
	<-begun
	_ = tg.call(t, "/again/x", "body", "")
	close(rejected)
	require.Equal(t, result{status: http.StatusBadGateway}, <-got)
	require.Zero(t, checks.Load())
}

// A process that is being ended closes its connections before its port, and still responds to health checks in between:
// what it cut off must not look whole.
func TestServerThatEndsAMomentLaterDidNotSendAWholeResponse(t *testing.T) {
	for _, path := range []string{"/once/x", "/events/x"} {
		t.Run(path, func(t *testing.T) {
			var server *backend
			server = newBackend(t, func(conn net.Conn, request *http.Request) {
				respondUntilClose(twoEvents)(conn, request)
				time.AfterFunc(30*time.Millisecond, func() { _ = server.l.Close() })
			})
			tg := newTestGateway(t, server)
			got := tg.call(t, path, "body", "")
			require.True(t, got.interrupted || got.status == http.StatusBadGateway, "%+v", got)
		})
	}
}

// By HTTP/1.0 a body without a length ends with its connection, and would run as an empty one.
func TestHalfRequestsOfCallersAreNotRun(t *testing.T) {
	server := newBackend(t, respondOK)
	tg := newTestGateway(t, server)
	for request, status := range map[string]int{
		"POST /once/x HTTP/1.0\r\nHost: h.example\r\nX-Id: 42\r\nX-Wait: 2000\r\n\r\nhalf":                                        http.StatusBadRequest,
		"POST /once/x HTTP/1.0\r\nHost: h.example\r\nX-Id: 42\r\nX-Wait: 2000\r\nContent-Length: 5\r\n\r\nhalf":                   http.StatusBadRequest,
		"POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Id: 42\r\nX-Wait: 2000\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n": http.StatusBadRequest,
		"GET /once/x HTTP/1.0\r\nHost: h.example\r\nX-Id: 42\r\nX-Wait: 2000\r\n\r\n":                                             http.StatusOK,
	} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(tg.url, "http://"))
		require.NoError(t, err)
		_, err = io.WriteString(conn, request)
		require.NoError(t, err)
		if status != http.StatusOK {
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, status, response.StatusCode, request)
		_ = response.Body.Close()
		_ = conn.Close()
	}
	require.Equal(t, int64(1), server.requests.Load())
}

// An interrupted response to a caller that takes no chunks must not end like a whole one.
func TestInterruptedResponsesDoNotLookWholeWithoutChunks(t *testing.T) {
	server := newBackend(t, streamEvents(1, 2, false))
	tg := newTestGateway(t, server)
	conn, err := net.Dial("tcp", strings.TrimPrefix(tg.url, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /events/x HTTP/1.0\r\nHost: h.example\r\nX-Id: 42\r\nX-Wait: 2000\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.Error(t, err)
}
