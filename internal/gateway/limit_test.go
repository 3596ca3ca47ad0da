package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
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
