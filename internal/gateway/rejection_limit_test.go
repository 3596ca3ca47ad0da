package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/path"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

// entries returns the listed entries of a deployment, the one of newTestGateway among them.
func entries(n int) []*schema.RosterEntry {
	list := []*schema.RosterEntry{{Host: "e"}}
	for i := 1; i < n; i++ {
		list = append(list, &schema.RosterEntry{Host: fmt.Sprint("e", i)})
	}
	return list
}

// A new entry that begins to serve before it knows a rejection limit, or with how many entries it shares
// the servers, takes their whole capacity for its own share.
func TestNewEntryKnowsRejectionLimitsBeforeItServes(t *testing.T) {
	var g *gateway.Gateway
	served := false
	log := funcr.New(func(_, args string) {
		if strings.Contains(args, "configuration in force") {
			served = true
			state := g.State()
			require.Equal(t, 1, state.RejectionLimits)
			require.Equal(t, 6, state.Entries)
		}
	}, funcr.Options{})
	g = newSubscribingGatewayWithLog(t, log)
	defer g.Close()
	require.NoError(t, g.ApplyUpdate(&schema.LeaderNews{
		Changes: encodeChanges(configuration(1, routes()...)), Entries: &schema.EntryList{Entries: entries(6)},
		RejectionLimits: []*schema.PoolRejectionLimit{{Pool: "p", PerSecond: 1}},
	}))
	require.True(t, served)
}

// All servers of a pool with a rejection limit have rejected a request: each entry sends them nothing for
// some time, and a caller that returns sooner is refused again.
func TestRetryAfterCountsTheTimeUntilServersHaveRoom(t *testing.T) {
	var backends []*backend
	for range 3 {
		backends = append(backends, newBackend(t, respondNotRun))
	}
	tg := newTestGateway(t, backends...)
	tg.g.SetEntries(entries(6))
	tg.g.SetRejectionLimit("p", 1)
	got := tg.call(t, "/once/x", "body", "")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	seconds, err := strconv.ParseFloat(got.retryAfter, 64)
	require.NoError(t, err)
	require.Greater(t, seconds, 5.0, "one rejection a second of six entries")
}

// An entry without any path to the servers must not take the one at which it tries to resume a stream for
// a failed one, and try the next.
func TestStreamIsNotResumedWithoutAPath(t *testing.T) {
	var backends []*backend
	for range 5 {
		backends = append(backends, newBackend(t, streamEvents(1, 2, false)))
	}
	var mu sync.Mutex
	dialed := map[string]bool{}
	sender := relay.NewSender(relay.Config{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		mu.Lock()
		defer mu.Unlock()
		first := len(dialed) == 0
		if dialed[address] = true; !first {
			return nil, path.ErrNoPath
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}})
	budget := gateway.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Millisecond, Burst: 100}
	tg := startTestGatewayWithSender(t, budget, logr.Discard(), sender, backends...)
	got := tg.call(t, "/resume/x", "body", "m")
	require.True(t, got.interrupted)
	mu.Lock()
	defer mu.Unlock()
	require.Len(t, dialed, 2)
}

// The caller of a resumed stream leaves: its second server may still run it, and a request in its place
// may be one too many for a server with a rejection limit.
func TestAbandonedResumedStreamKeepsItsPlace(t *testing.T) {
	for name, respond := range map[string]func(net.Conn, *http.Request){
		"before its response": func(net.Conn, *http.Request) {},
		"during its response": func(conn net.Conn, request *http.Request) { streamEvents(3, 3, false)(conn, request) },
	} {
		t.Run(name, func(t *testing.T) {
			resumed, done := make(chan struct{}), make(chan struct{})
			defer close(done)
			handle := func(conn net.Conn, request *http.Request) {
				if request.Header.Get("X-After") == "" {
					streamEvents(1, 2, false)(conn, request)
					return
				}
				respond(conn, request)
				close(resumed)
				<-done
			}
			tg := newTestGateway(t, newBackend(t, handle), newBackend(t, handle))
			tg.g.SetRejectionLimit("p", 1)
			ctx, cancel := context.WithCancel(context.Background())
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, tg.url+"/resume/x", strings.NewReader("body"))
			require.NoError(t, err)
			request.Host = "h.example"
			request.Header.Set("X-Id", "42")
			request.Header.Set("X-Model", "m")
			response, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			<-resumed
			if name == "during its response" {
				for events := ""; !strings.Contains(events, "e3"); {
					b := make([]byte, 64)
					n, err := response.Body.Read(b)
					require.NoError(t, err)
					events += string(b[:n])
				}
			}
			cancel()
			require.Eventually(t, func() bool { return tg.g.InFlight() == 0 }, 10*time.Second, time.Millisecond)
			require.Equal(t, 2, tg.g.AbandonedRequests(), "one at each server")
		})
	}
}
