package drain_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/drain"
)

// A request is taken if its deadline comes before the abort, whenever it arrives, and by an estimate alone as long as
// connections are accepted.
func TestRequestsThatADrainTakes(t *testing.T) {
	start := time.Unix(1000, 0)
	plan := drain.NewPlan(drain.PlanConfig{Start: start, Limit: 10 * time.Second})
	require.Equal(t, start.Add(3500*time.Millisecond), plan.AcceptUntil())
	require.Equal(t, start.Add(9400*time.Millisecond), plan.AbortAt())
	for _, test := range []struct {
		at, deadline, expected time.Duration
		want                   bool
	}{
		{0, 9400 * time.Millisecond, 0, true},
		{9 * time.Second, 9400 * time.Millisecond, 0, true},
		{0, 9401 * time.Millisecond, 0, false},
		{0, time.Minute, 0, false},
		{0, time.Minute, 9400 * time.Millisecond, true},
		{0, time.Minute, 9500 * time.Millisecond, false},
		{3500 * time.Millisecond, time.Minute, time.Second, true},
		{3501 * time.Millisecond, time.Minute, time.Second, false},
		{2 * time.Second, time.Minute, 7 * time.Second, true},
		{3 * time.Second, time.Minute, 7 * time.Second, false},
	} {
		require.Equal(t, test.want, plan.MaySend(start.Add(test.at), start.Add(test.deadline), test.expected), "%+v", test)
	}
	accept := drain.NewPlan(drain.PlanConfig{Start: start, Limit: 10 * time.Second, Accept: 6 * time.Second})
	require.True(t, accept.MaySend(start.Add(5*time.Second), start.Add(time.Minute), time.Second))
}

// A duration is expected after enough requests, not below the longest of the latest ones, and forgotten with them.
func TestExpectedDurations(t *testing.T) {
	d := drain.NewDurations()
	for range 7 {
		d.Observe("a", time.Second)
	}
	require.Zero(t, d.Expected("a"))
	d.Observe("a", 2*time.Second)
	require.Greater(t, d.Expected("a"), 2*time.Second)
	require.Less(t, d.Expected("a"), 4*time.Second)
	require.Zero(t, d.Expected("b"))
	for range 64 {
		d.Observe("a", time.Second)
	}
	require.Less(t, d.Expected("a"), 2*time.Second)
	// Routes come and go: the number of kinds is bounded.
	for i := range 5000 {
		d.Observe(fmt.Sprint(i), time.Second)
	}
	require.Zero(t, d.Expected("a"))
}

// A connection may bring a request while one is in progress, and for as long as the first header may take.
func TestPendingConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := drain.NewConnections()
		a, b := net.Pipe()
		c.Track(a, http.StateNew)
		require.Equal(t, 1, c.Pending(time.Second))
		time.Sleep(time.Second)
		require.Zero(t, c.Pending(time.Second))
		c.Track(a, http.StateActive)
		c.Track(b, http.StateNew)
		require.Equal(t, 2, c.Pending(time.Second))
		c.Track(a, http.StateIdle)
		require.Equal(t, 1, c.Pending(time.Second))
		c.Track(a, http.StateActive)
		c.Track(a, http.StateClosed)
		c.Track(b, http.StateHijacked)
		require.Zero(t, c.Pending(time.Second))
	})
}

// The steps of a drain come at their times: it ends with the last request, yet not before connections are accepted no
// longer, nor after the time at which the process must exit.
func TestStepsOfADrain(t *testing.T) {
	for name, test := range map[string]struct {
		busyFor, stopped, aborted, ended time.Duration
	}{
		"idle":              {0, 3500 * time.Millisecond, 0, 3500 * time.Millisecond},
		"busy for a while":  {5 * time.Second, 3500 * time.Millisecond, 0, 5 * time.Second},
		"busy to the close": {time.Hour, 3500 * time.Millisecond, 9400 * time.Millisecond, 9700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var stopped, aborted time.Duration
				stops := 0
				drain.NewPlan(drain.PlanConfig{Start: start, Limit: 10 * time.Second}).Run(context.Background(), drain.Steps{
					StopAccepting: func() { stopped, stops = time.Since(start), stops+1 },
					Abort: func() {
						if aborted == 0 {
							aborted = time.Since(start)
						}
					},
					Pending: func() int {
						if time.Since(start) < test.busyFor {
							return 1
						}
						return 0
					},
				})
				require.Equal(t, 1, stops)
				for _, at := range []struct{ want, got time.Duration }{{test.stopped, stopped}, {test.aborted, aborted}, {test.ended, time.Since(start)}} {
					require.InDelta(t, at.want, at.got, float64(drain.PollInterval))
				}
			})
		})
	}
}

// A server that is closed within a response to a caller that takes no chunks must not end it as if it were whole.
func TestResponsesOfAClosedServerDoNotLookWhole(t *testing.T) {
	for name, tt := range map[string]struct {
		reset bool
		whole bool
	}{"closed alone": {false, true}, "reset before": {true, false}} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			c, sent, held := drain.NewConnections(), make(chan struct{}), make(chan struct{})
			server := &http.Server{ConnState: c.Track, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "part")
				w.(http.Flusher).Flush()
				close(sent)
				<-held
			})}
			go func() { _ = server.Serve(l) }()
			conn, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
			require.NoError(t, err)
			<-sent
			if tt.reset {
				c.Reset()
			}
			require.NoError(t, server.Close())
			require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = io.ReadAll(conn)
			require.Equal(t, tt.whole, err == nil, "%v", err)
			close(held)
		})
	}
}
