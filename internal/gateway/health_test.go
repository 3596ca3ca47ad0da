package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/schema"
)

// rejectsFor returns a response to health checks with status 503 and a header field.
func rejectsFor(field string) func(net.Conn) {
	return func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 x\r\n"+field+"\r\nContent-Length: 0\r\n\r\n")
	}
}

// An entry that is cut off from all control hosts must learn from the servers themselves that they leave, and must not
// refuse its callers for servers that are too full to say anything.
func TestEntryWithoutALeaseAsksServersThemselves(t *testing.T) {
	serve := respond(http.StatusOK, signed, "done")
	for name, test := range map[string]struct {
		identify []func(net.Conn)
		// served are the servers that still get requests.
		served []bool
	}{
		"one leaves":                     {[]func(net.Conn){rejectsFor("X-Server: s0"), statesServer("s1")}, []bool{false, true}},
		"the only one leaves":            {[]func(net.Conn){rejectsFor("X-Server: s0")}, []bool{false}},
		"another process has an address": {[]func(net.Conn){statesServer("s7"), statesServer("s1")}, []bool{false, true}},
		"one says nothing":               {[]func(net.Conn){rejectsFor("X-Not-Run: 1"), statesServer("s1")}, []bool{false, true}},
		"none says anything":             {[]func(net.Conn){rejectsFor("X-Not-Run: 1"), func(net.Conn) {}}, []bool{true, true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var servers []*backend
			for _, identify := range test.identify {
				servers = append(servers, newBackend(t, serve).setIdentify(identify))
			}
			tg := newTestGateway(t, servers...)
			tg.g.SetConfirmationAge(time.Hour)
			call := func(d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					tg.call(t, "/once/x", "body", "")
				}
			}
			call(1200 * time.Millisecond)
			var before []int64
			for _, s := range servers {
				before = append(before, s.requests.Load())
			}
			call(800 * time.Millisecond)
			for i, s := range servers {
				require.Equal(t, test.served[i], s.requests.Load() > before[i], "server %d", i)
			}
		})
	}
}

// All entries lose their leases at once when there is no leader. Their health checks together must not take the room of the
// requests at a server, and keep what it has stated.
func TestHealthChecksOfAllEntriesAreBounded(t *testing.T) {
	const (
		tick   = 100 * time.Millisecond
		length = time.Minute
	)
	for name, test := range map[string]struct {
		entries int
		limit   float64
		// rejections is the rejection limit, and every check is rejected.
		rejections float64
		// burst is the most checks in a second; 0: not bounded by itself. perSecond is the most a second in all, and
		// least the fewest in all.
		burst     int
		perSecond float64
		least     int
	}{
		"small deployment":         {entries: 7, burst: 2 * 7, perSecond: 20, least: 7 * 100},
		"large deployment":         {entries: 300, burst: 2 * 20, perSecond: 2 * 20, least: 300},
		"request limit":            {entries: 7, limit: 5, perSecond: 5, least: 7},
		"request limit, large":     {entries: 300, limit: 20, perSecond: 20, least: 100},
		"request limit below one":  {entries: 7, limit: 0.5, perSecond: 0.5, least: 3},
		"rejection limit":          {entries: 7, rejections: 2, perSecond: 2, least: 7},
		"rejection limit, large":   {entries: 300, rejections: 5, perSecond: 5, least: 20},
		"rejection limit of a few": {entries: 68, rejections: 1, perSecond: 1, least: 7},
	} {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			var entries []*gateway.Engines
			for range test.entries {
				e := gateway.NewEngines(1)
				e.SetSlots(1)
				if test.limit > 0 {
					e.ApplyServers(&schema.RosterServer{
						Id: "e0", Pool: "p", Models: []*schema.HeldModel{{Name: "m"}}, Slots: 1,
						Limit: &schema.RequestLimit{Limited: true, PerSecond: test.limit, Revision: 1},
					})
				}
				if test.rejections > 0 {
					e.SetRejectionLimit(test.rejections, start)
				}
				e.LoseLease(test.entries)
				entries = append(entries, e)
			}
			var ticks []int
			total := 0
			for at := time.Duration(0); at < length; at += tick {
				n := 0
				for _, e := range entries {
					n += e.HealthChecks(start.Add(at), test.rejections > 0)
				}
				ticks = append(ticks, n)
				total += n
				second := 0
				for _, n := range ticks[max(0, len(ticks)-int(time.Second/tick)):] {
					second += n
				}
				require.True(t, test.burst == 0 || second <= test.burst, "%d checks in the second before %v", second, at)
			}
			require.LessOrEqual(t, float64(total), test.perSecond*length.Seconds())
			require.GreaterOrEqual(t, total, test.least)
		})
	}
}
