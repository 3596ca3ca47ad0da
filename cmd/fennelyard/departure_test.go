package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/relay"
	"fennelyard/internal/tcp"
	"fennelyard/internal/tunnel"
	"fennelyard/platform/standin"
)

const (
	departureEntries = 3
	// drainLimit is how long after the acknowledgement of its departure a server may still get requests.
	drainLimit = 2 * time.Second
	// departureWatch is how long requests are watched after an acknowledgement.
	departureWatch = 5 * time.Second
	// departureAckLimit is how long a departure may stay unacknowledged while the hosts recover from a failure.
	departureAckLimit = 15 * time.Second
)

// departureCase has two backend servers, the first of which leaves under load.
type departureCase struct {
	*soak
	t *testing.T

	mu sync.Mutex
	// arrivals are the times at which the first server read the heads of requests, and leaving is set once it leaves;
	// both guarded by mu.
	arrivals []time.Time
	leaving  bool
}

func newDepartureCase(t *testing.T) *departureCase {
	s, end := newSoak(t.Context(), t, 1, soakConfig{entries: departureEntries})
	t.Cleanup(end)
	c := &departureCase{soak: s, t: t}
	for i := range 2 {
		l := s.listenServer(i)
		h := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if standin.AnswerHealthCheck(w, r, c.serverID(i)) {
				return
			}
			if i == 0 {
				c.mu.Lock()
				c.arrivals = append(c.arrivals, time.Now())
				c.mu.Unlock()
			}
			standin.BeginResponse(w, r)
			_, _ = w.Write([]byte("answer"))
		})}
		go func() { _ = h.Serve(l) }()
		t.Cleanup(func() { _ = h.Close() })
		startMs := time.Now().UnixMilli()
		c.announceUntilEnd(func(sequence int) (path, body string) { return c.announcement(i, l.Addr().String(), startMs, sequence) })
	}
	c.startLoad()
	require.Eventually(t, func() bool { return len(c.arrivalsAfter(time.Time{})) >= 3*departureEntries }, waitLimit, 20*time.Millisecond)
	return c
}

func (c *departureCase) serverID(i int) string { return fmt.Sprint("i-", i) }

// announcement returns an announcement of a server.
func (c *departureCase) announcement(i int, address string, startMs int64, sequence int) (path, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	path, body = standin.Announcement(c.serverID(i), address, "v1", startMs, sequence)
	if i == 0 && c.leaving {
		body = strings.Replace(body, `"ready"`, `"draining"`, 1)
	}
	return path, body
}

// repeat calls a function again and again until the test ends.
func (c *departureCase) repeat(f func(n int)) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			f(n)
			time.Sleep(20 * time.Millisecond)
		}
	})
	c.t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

func (c *departureCase) callerURL(entry int) string {
	return fmt.Sprintf("http://%s:%d/%s/x", c.entryIP(entry), c.port+2, standin.UnsafeRoute)
}

// startLoad sends requests to each entry until the test ends.
func (c *departureCase) startLoad() {
	for entry := range departureEntries {
		c.repeat(func(n int) {
			c.call(http.MethodPost, c.callerURL(entry), "body", standin.RequestHeader(fmt.Sprintf("load-%d-%d", entry, n), 1500), 2*time.Second)
		})
	}
}

// announceUntilEnd announces a server until the test ends.
func (c *departureCase) announceUntilEnd(announcement func(sequence int) (path, body string)) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.announce(ctx, 0, announcement) })
	c.t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

func (c *departureCase) arrivalsAfter(at time.Time) []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []time.Duration
	for _, a := range c.arrivals {
		if a.After(at) {
			out = append(out, a.Sub(at).Round(time.Millisecond))
		}
	}
	return out
}

// depart reports the departure of the first server to one control host after the other until it is acknowledged, and
// returns when it was.
func (c *departureCase) depart() time.Time {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	var acknowledged time.Time
	n := 0
	require.Eventually(c.t, func() bool {
		status, _ := c.call(http.MethodDelete, c.operatorURL(n%soakControls)+"/v1/instances/"+c.serverID(0), "", nil, time.Second)
		n, acknowledged = n+1, time.Now()
		return status == http.StatusOK
	}, departureAckLimit, 20*time.Millisecond)
	return acknowledged
}

// requireDrained requires that no request reaches the first server later than drainLimit after the acknowledgement.
func (c *departureCase) requireDrained(acknowledged time.Time) {
	time.Sleep(time.Until(acknowledged.Add(departureWatch)))
	require.Empty(c.t, c.arrivalsAfter(acknowledged.Add(drainLimit)))
}

// A message from outside brings a name that is no text, and messages between hosts carry texts alone. Updates stop, and
// a departure is acknowledged that no entry knows.
func TestNamesThatAreNoTextDoNotKeepDeparturesFromEntries(t *testing.T) {
	const noText = "\xff"
	for name, disturb := range map[string]func(c *departureCase){
		"no disturbance": func(*departureCase) {},
		"announcement": func(c *departureCase) {
			path, body := standin.Announcement("%FF", "127.0.3.29:1", "v1", 5, 1)
			for i := range soakControls {
				status, _ := c.call(http.MethodPut, c.operatorURL(i)+path, body, nil, time.Second)
				assert.Equal(c.t, http.StatusBadRequest, status)
				status, _ = c.call(http.MethodDelete, c.operatorURL(i)+path, "", nil, time.Second)
				assert.Equal(c.t, http.StatusBadRequest, status)
			}
		},
		"requests": func(c *departureCase) {
			for entry := range departureEntries {
				c.repeat(func(n int) {
					header := standin.RequestHeader(fmt.Sprintf("no-text-%d-%d", entry, n), 1000)
					header["Model"] = []string{noText}
					status, _ := c.call(http.MethodPost, c.callerURL(entry), "body", header, time.Second)
					assert.Equal(c.t, http.StatusBadRequest, status)
				})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newDepartureCase(t)
			disturb(c)
			time.Sleep(500 * time.Millisecond)
			c.requireDrained(c.depart())
		})
	}
}

// stop stops a process, and returns once it no longer runs.
func (c *departureCase) stop(name string) {
	c.cluster.sendSignal(name, syscall.SIGSTOP)
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", c.cluster.process(name).cmd.Process.Pid))
	assert.NoError(c.t, err)
	for len(threads) > 0 {
		threads = slices.DeleteFunc(threads, func(file string) bool {
			stat, err := os.ReadFile(file)
			return err != nil || bytes.Contains(stat, []byte(") T "))
		})
	}
}

// The carrier of a tunnel is stopped after the last check. Once it goes on, the request must not reach the server,
// whether its sender still waits or not.
func TestStoppedCarrierForwardsNoRequestLate(t *testing.T) {
	const (
		stopped  = 2600 * time.Millisecond
		latePath = "/late"
	)
	for name, wait := range map[string]time.Duration{"sender waits": 2 * stopped, "sender has given up": stopped / 2} {
		t.Run(name, func(t *testing.T) {
			c := newDepartureCase(t)
			var arrivals atomic.Int64
			l := c.listenServer(9)
			h := &http.Server{ReadHeaderTimeout: waitLimit, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == latePath {
					arrivals.Add(1)
				}
				standin.BeginResponse(w, r)
			})}
			go func() { _ = h.Serve(l) }()
			defer func() { _ = h.Close() }()
			// Carriers connect to known servers only.
			startMs := time.Now().UnixMilli()
			c.announceUntilEnd(func(sequence int) (path, body string) {
				return standin.Announcement("i-9", l.Addr().String(), "v2", startMs, sequence)
			})
			carrier := fmt.Sprintf("%s:%d", c.entryIP(1), c.port)
			open := tunnel.NewOpener(tcp.Dial)
			sender := relay.NewSender(relay.Config{Dial: func(ctx context.Context, address string) (net.Conn, error) { return open(ctx, carrier, address) }})
			request := &relay.Request{
				Method: http.MethodGet, Target: latePath, Host: "h", MatchesResponse: func(http.Header) bool { return true },
				MaySend: func(string) bool {
					c.stop("entry-1")
					time.AfterFunc(stopped, func() { c.cluster.sendSignal("entry-1", syscall.SIGCONT) })
					return true
				},
			}
			ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
			defer cancel()
			for err := tunnel.ErrNotToServer; errors.Is(err, tunnel.ErrNotToServer); time.Sleep(20 * time.Millisecond) {
				conn, openErr := open(ctx, carrier, l.Addr().String())
				if err = openErr; openErr == nil {
					tcp.Reset(conn)
				}
			}
			ctx, cancel = context.WithTimeout(t.Context(), wait)
			defer cancel()
			_, err := sender.Send(ctx, l.Addr().String(), request)
			if wait > stopped {
				require.ErrorIs(t, err, relay.ErrNotSent, "a carrier that drops a request says so")
			}
			time.Sleep(stopped)
			require.Zero(t, arrivals.Load())
		})
	}
}
