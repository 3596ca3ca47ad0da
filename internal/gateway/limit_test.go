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
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

// A request whose best server states a limit goes to another one without a permit, and to the
// limited one with each permit once.
func TestRequestsNeedPermits(t *testing.T) {
	e := gateway.NewEngines(2)
	limited := func(revision uint64, perSecond float64) *schema.RosterServer {
		return &schema.RosterServer{
			Id: "e0", Pool: "p", Models: []*schema.HeldModel{{Name: "m"}},
			Limit: &schema.RequestLimit{Limited: perSecond > 0, PerSecond: perSecond, Revision: revision},
		}
	}
	e.ApplyServers(limited(1, 2))
	info := &gateway.RequestInfo{Model: "m"}
	for range 5 {
		require.Equal(t, "e1", e.Send(info))
	}
	e.AddPermits("e0", 2)
	for range 2 {
		require.Equal(t, "e0", e.Send(info), "it has fewer requests")
	}
	require.Equal(t, "e1", e.Send(info))
	e.ApplyServers(limited(2, 0))
	require.Equal(t, "e0", e.Send(info), "the limit has ended")
}

// A stream breaks off, and the only other server states a limit. The stream must continue there as
// soon as a permit arrives; its caller would otherwise lose what it has received.
func TestStreamResumesWithAPermit(t *testing.T) {
	handle := func(conn net.Conn, request *http.Request) {
		if request.Header.Get("X-After") == "2" {
			streamEvents(3, 4, true)(conn, request)
			return
		}
		streamEvents(1, 2, false)(conn, request)
	}
	a, b := newBackend(t, handle), newBackend(t, handle)
	tg := newTestGateway(t, a, b)
	tg.g.SetConfirmationAge(0)
	for i, backend := range []*backend{a, b} {
		tg.g.ApplyServers(false, &schema.RosterServer{
			Id: fmt.Sprint("s", i), Pool: "p", Address: backend.l.Addr().String(), Models: []*schema.HeldModel{{Name: "m"}},
			Limit: &schema.RequestLimit{Limited: true, PerSecond: 1, Revision: 1},
		})
	}
	tg.g.AddPermits("s0", 1)
	go func() {
		for tg.g.State().AwaitingPermit == 0 && t.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		tg.g.AddPermits("s1", 1)
	}()
	got := tg.call(t, "/resume/x", "body", "m")
	require.False(t, got.interrupted)
	require.Equal(t, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n", got.body)
}

// Permits that were granted long before they arrive are not used: the leader has granted others
// since.
func TestLatePermitsAreNotUsed(t *testing.T) {
	e := gateway.NewEngines(2)
	e.ApplyServers(&schema.RosterServer{
		Id: "e0", Pool: "p", Models: []*schema.HeldModel{{Name: "m"}}, Limit: &schema.RequestLimit{Limited: true, PerSecond: 10, Revision: 1},
	})
	e.AddOldPermits("e0", 3, 2*time.Second)
	for range 5 {
		require.Equal(t, "e1", e.Send(&gateway.RequestInfo{Model: "m"}))
	}
}

// Something between an entry and a server responds, or a server that does not take the request: they know of no
// limit, and entries that took it for ended would overload the server.
func TestOnlyResponsesOfTheServiceEndLimits(t *testing.T) {
	for name, test := range map[string]struct {
		handle func(net.Conn, *http.Request)
		// limits and rejectionLimits are how many limits hold afterwards.
		limits, rejectionLimits int
	}{
		"service":     {respondOK, 0, 0},
		"unsigned":    {respond(http.StatusOK, "", "done"), 1, 1},
		"not run":     {respond(http.StatusServiceUnavailable, signed+"X-Not-Run: 1\r\n", ""), 1, 0},
		"misdirected": {respond(http.StatusMisdirectedRequest, signed, ""), 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBackend(t, test.handle)
			tg := newTestGateway(t, b)
			tg.g.SetConfirmationAge(0)
			tg.g.ApplyServers(false, &schema.RosterServer{
				Id: "s0", Pool: "p", Address: b.l.Addr().String(), Models: []*schema.HeldModel{{Name: "m"}},
				Limit: &schema.RequestLimit{Limited: true, PerSecond: 1000, Revision: 1},
			})
			tg.g.SetOldRejectionLimit("p", 1000, 10*time.Second)
			tg.g.AddPermits("s0", 1)
			tg.call(t, "/once/x", "body", "m")
			require.EqualValues(t, 1, b.requests.Load())
			state := tg.g.State()
			require.Equal(t, test.limits, state.LimitedServers)
			require.Equal(t, test.rejectionLimits, state.RejectionLimits)
		})
	}
}

// servedIn is a gateway on simulated time with one plain server that states a limit.
type servedIn struct {
	g *gateway.Gateway
	// took is how long the server takes for the next request.
	took time.Duration
	// reached counts the requests that have reached the server.
	reached atomic.Int64
	servers sync.WaitGroup
}

// startServedIn starts a gateway whose server takes this long for the first request.
func startServedIn(t *testing.T, took time.Duration) *servedIn {
	t.Helper()
	s := &servedIn{took: took}
	t.Cleanup(s.servers.Wait)
	dial := func(context.Context, string) (net.Conn, error) {
		entrySide, serverSide := net.Pipe()
		s.servers.Go(func() {
			defer func() { _ = serverSide.Close() }()
			request, err := http.ReadRequest(bufio.NewReader(serverSide))
			if err != nil {
				return
			}
			_, _ = io.ReadAll(request.Body)
			s.reached.Add(1)
			time.Sleep(s.took)
			respondOK(serverSide, request)
		})
		return entrySide, nil
	}
	stated := gateway.LimitStatement{Limited: true, PerSecond: 100}
	s.g = startGateway(t, func(cfg *gateway.Config) {
		cfg.Sender = relay.NewSender(relay.Config{Dial: dial})
		parse := cfg.Codec.ParseResponse
		cfg.Codec.ParseResponse = func(status int, header http.Header) gateway.ResponseInfo {
			info := parse(status, header)
			info.Limit = stated
			return info
		}
	})
	s.g.ApplyServers(false, &schema.RosterServer{
		Id: "s0", Pool: "p", Address: "10.0.2.1:80", Slots: 6, Limit: &schema.RequestLimit{Limited: true, PerSecond: stated.PerSecond, Revision: 1},
	})
	return s
}

// call sends a request whose caller waits for a time, and returns its status and how long that took.
func (s *servedIn) call(path string, timeout time.Duration) (response *httptest.ResponseRecorder, took time.Duration) {
	request := httptest.NewRequest(http.MethodPost, "http://h.example"+path, strings.NewReader("body"))
	request.Header.Set("X-Id", "42")
	request.Header.Set("X-Wait", strconv.FormatInt(timeout.Milliseconds(), 10))
	response = httptest.NewRecorder()
	start := time.Now()
	s.g.ServeHTTP(response, request)
	return response, time.Since(start)
}

// permitAfter adds a permit after a time.
func (s *servedIn) permitAfter(d time.Duration) {
	s.g.SetConfirmationAge(0)
	time.AfterFunc(d, func() {
		s.g.SetConfirmationAge(0)
		s.g.AddPermits("s0", 1)
	})
}

// A request waits for a permit that arrives when less of its time is left than its server needs. It would run in vain,
// and its caller would get 504 instead of a time to return; one that is still served in time must be sent.
func TestPermitThatArrivesTooLateIsNotUsed(t *testing.T) {
	const took, timeout = 40 * time.Millisecond, time.Second
	for _, route := range []string{"once", "again"} {
		path := "/" + route + "/x"
		for left := 5 * time.Millisecond; left <= 100*time.Millisecond; left += 5 * time.Millisecond {
			t.Run(fmt.Sprint(route, ", ", left), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startServedIn(t, took)
					s.permitAfter(0)
					first, _ := s.call(path, timeout)
					require.Equal(t, http.StatusOK, first.Code)
					s.permitAfter(timeout - left)
					got, gotAfter := s.call(path, timeout)
					if left > took {
						require.Equal(t, http.StatusOK, got.Code)
						return
					}
					require.Equal(t, http.StatusServiceUnavailable, got.Code)
					require.Equal(t, "0.50", got.Header().Get("Retry-After"))
					require.LessOrEqual(t, gotAfter, timeout-took)
					require.EqualValues(t, 1, s.reached.Load())
				})
			})
		}
	}
}

// A request waits for a permit at an entry that learns only during the wait how long the server takes. Its permit arrives
// too late for that.
func TestPermitIsTooLateByWhatWasLearnedDuringTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const took, timeout = 40 * time.Millisecond, time.Second
		s := startServedIn(t, took)
		s.permitAfter(500 * time.Millisecond)
		s.permitAfter(timeout - took/2)
		statuses := make(chan int, 2)
		for range 2 {
			go func() {
				response, _ := s.call("/once/x", timeout)
				statuses <- response.Code
			}()
		}
		require.Equal(t, http.StatusOK, <-statuses)
		require.Equal(t, http.StatusServiceUnavailable, <-statuses)
		require.EqualValues(t, 1, s.reached.Load())
	})
}

// A request waits for a permit of a server whose times vary, and the permit arrives when less of its time is left than the
// server mostly needs. It may still be served in time, and must not be refused.
func TestRequestThatMayBeServedInTimeIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const least, most, timeout = 20 * time.Millisecond, 40 * time.Millisecond, time.Second
		s := startServedIn(t, most)
		for _, s.took = range []time.Duration{most, least, most} {
			s.permitAfter(0)
			response, _ := s.call("/once/x", timeout)
			require.Equal(t, http.StatusOK, response.Code)
		}
		s.took = least
		s.permitAfter(timeout - (least+most)/2)
		response, _ := s.call("/once/x", timeout)
		require.Equal(t, http.StatusOK, response.Code)
	})
}
