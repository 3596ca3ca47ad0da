package role_test

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// cooldownGrace is how long after a response that states a cooldown further requests may arrive:
// those that had left before.
const cooldownGrace = 500 * time.Millisecond

// rejection is the response of a server that rejects requests.
type rejection struct {
	// retryAfter is the value of the header, empty for none, and wait the time that it states.
	retryAfter string
	wait       time.Duration
	// until, if set, is the date that the header states, instead of a wait.
	until time.Time
	// delay is the time until the response.
	delay time.Duration
}

// rejectFor returns the response of a server that asks for a cooldown in seconds.
func rejectFor(wait time.Duration) rejection {
	return rejection{retryAfter: fmt.Sprint(wait.Seconds()), wait: wait}
}

// always makes a server respond to all requests with a rejection.
func always(r rejection) func() *rejection { return func() *rejection { return &r } }

// inTurn makes a server respond with one rejection after the other.
func inTurn(list ...rejection) func() *rejection {
	n := 0
	return func() *rejection {
		n++
		return &list[n%len(list)]
	}
}

// untilDate makes a server state the date after a wait, which has no fractions of a second.
func untilDate(wait time.Duration) func() *rejection {
	return func() *rejection {
		at := time.Now().Add(wait).Truncate(time.Second)
		return &rejection{retryAfter: at.UTC().Format(http.TimeFormat), until: at}
	}
}

// serverRequest is the arrival of an entry's request at a server, and serverStatement a response
// that states a cooldown.
type serverRequest struct {
	entry, server string
	at            time.Time
}

type serverStatement struct {
	entry, server string
	at            time.Time
	wait          time.Duration
}

// setRejection makes a server reject requests from now on; nil: it serves them.
func (b *backends) setRejection(address string, next func() *rejection) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejections[address] = next
}

// recordArrival records a request and returns how it is rejected, nil if it is served.
func (p *backendProcess) recordArrival(conn net.Conn) *rejection {
	b := p.backends
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, serverRequest{ipOf(conn), p.id, time.Now()})
	if next := b.rejections[p.address]; next != nil {
		return next()
	}
	return nil
}

// reject sends a rejection.
func (p *backendProcess) reject(conn net.Conn, id string, r *rejection) {
	time.Sleep(r.delay)
	header := ""
	if r.retryAfter != "" {
		header = "Retry-After: " + r.retryAfter + "\r\n"
	}
	b := p.backends
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		// The entry has canceled the attempt, and does not receive the response.
		return
	}
	wait := r.wait
	if !r.until.IsZero() {
		wait = time.Until(r.until)
	}
	b.mu.Lock()
	b.statements = append(b.statements, serverStatement{ipOf(conn), p.id, time.Now(), wait})
	b.mu.Unlock()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 rejected\r\nX-Id: %s\r\n%s%sContent-Length: 0\r\n\r\n", id, header, p.recordDeparture(conn))
}

// ipOf returns the address of the host at the other end of a connection.
func ipOf(conn net.Conn) string {
	ip, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	return ip
}

// requireCooldownsKept requires that no entry sent a request to a server during a cooldown that the
// server had asked this entry for.
func (b *backends) requireCooldownsKept() {
	t := b.deployment.t
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	stated := 0
	for _, s := range b.statements {
		if s.wait > 0 {
			stated++
		}
		var during []string
		for _, r := range b.requests {
			if r.entry == s.entry && r.server == s.server && r.at.Sub(s.at) > cooldownGrace && r.at.Sub(s.at) < s.wait {
				during = append(during, r.at.Sub(s.at).Round(time.Millisecond).String())
			}
		}
		require.Empty(t, during, "%s asked %s for %s", s.server, s.entry, s.wait)
	}
	require.Positive(t, stated)
}

// A server that rejects a request asks its entry to send nothing for some time, and gets the
// entry's next requests all the same.
func TestServersGetNoRequestsDuringTheirCooldowns(t *testing.T) {
	for _, wait := range []time.Duration{700 * time.Millisecond, 3 * time.Second} {
		t.Run(wait.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSettledDeployment(t, 61, 6)
				defer d.close()
				b := startBackends(d, 3)
				defer b.close()
				l := d.startLoad(d.entryIPs(), 4)
				b.setRejection(backendAddress(0), always(rejectFor(wait)))
				time.Sleep(10 * time.Second)
				statuses := l.end()
				b.requireCooldownsKept()
				require.Equal(t, []int{200}, slices.Collect(maps.Keys(statuses)), "the other servers take the requests")
			})
		})
	}
}

// forgetStatements forgets what servers stated to an entry that has restarted.
func (b *backends) forgetStatements(entry string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.statements = slices.DeleteFunc(b.statements, func(s serverStatement) bool { return s.entry == entry })
	b.departures = slices.DeleteFunc(b.departures, func(s serverStatement) bool { return s.entry == entry })
}

// Servers state cooldowns in all forms, and entries and servers fail meanwhile. Each case is a way
// in which an entry could forget a cooldown, or take a shorter one for it.
func TestCooldownsAreKeptUnderFaults(t *testing.T) {
	const all = -1
	for name, test := range map[string]struct {
		// server is the one that rejects requests, or all.
		server   int
		response func() *rejection
		sameIDs  bool
		run      func(d *deployment, b *backends)
	}{
		"a fraction of a second":                            {response: always(rejection{retryAfter: "0.75", wait: 750 * time.Millisecond})},
		"a date":                                            {response: untilDate(4 * time.Second)},
		"a huge number":                                     {response: always(rejection{retryAfter: "1e30", wait: time.Hour})},
		"a shorter time after a longer":                     {response: inTurn(rejectFor(6*time.Second), rejection{retryAfter: "0.6", wait: 600 * time.Millisecond, delay: 300 * time.Millisecond})},
		"nothing after a time":                              {response: inTurn(rejectFor(4*time.Second), rejection{delay: 200 * time.Millisecond})},
		"garbage after a time":                              {response: inTurn(rejectFor(4*time.Second), rejection{retryAfter: "soon", delay: 200 * time.Millisecond})},
		"zero after a time":                                 {response: inTurn(rejectFor(4*time.Second), rejection{retryAfter: "0", delay: 200 * time.Millisecond})},
		"late responses":                                    {response: always(rejection{retryAfter: "3", wait: 3 * time.Second, delay: 300 * time.Millisecond})},
		"all servers":                                       {server: all, response: always(rejectFor(2 * time.Second))},
		"an entry is cut off":                               {response: always(rejectFor(3 * time.Second)), run: func(d *deployment, _ *backends) { d.setEntryPartition("10.0.1.1", true) }},
		"an entry is cut off and returns":                   {response: always(rejectFor(4 * time.Second)), run: cutOffForASecond},
		"all entries are cut off":                           {server: all, response: always(rejectFor(2 * time.Second)), run: cutOffAllEntries},
		"the leader is lost":                                {response: always(rejectFor(6 * time.Second)), run: func(d *deployment, _ *backends) { d.powerOff(d.leader()) }},
		"all control hosts restart":                         {response: always(rejectFor(8 * time.Second)), run: func(d *deployment, _ *backends) { d.restartControlHosts(d.controlIPs()...) }},
		"an entry restarts":                                 {response: always(rejectFor(3 * time.Second)), run: restartAnEntry},
		"a server starts again":                             {response: always(rejectFor(4 * time.Second)), run: func(_ *deployment, b *backends) { b.stopSome(2) }},
		"a server starts again, same id":                    {response: always(rejectFor(4 * time.Second)), sameIDs: true, run: func(_ *deployment, b *backends) { b.stopSome(2) }},
		"all servers start again while entries are cut off": {server: all, response: always(rejectFor(time.Second)), sameIDs: true, run: restartServersWhileCutOff},
		"all servers start again, same ids":                 {server: all, response: always(rejectFor(4 * time.Second)), sameIDs: true, run: func(_ *deployment, b *backends) { b.stopSome(3) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSettledDeploymentOf(t, 62, 3, 6)
				defer d.close()
				b := startBackendsWith(d, 3, test.sameIDs)
				defer b.close()
				l := d.startLoad(d.entryIPs(), 6)
				time.Sleep(time.Second)
				for i := range 3 {
					if test.server == all || test.server == i {
						b.setRejection(backendAddress(i), test.response)
					}
				}
				time.Sleep(time.Second)
				if test.run != nil {
					test.run(d, b)
				}
				time.Sleep(10 * time.Second)
				t.Log(l.end())
				b.requireCooldownsKept()
			})
		})
	}
}

func cutOffForASecond(d *deployment, _ *backends) {
	d.setEntryPartition("10.0.1.1", true)
	time.Sleep(time.Second)
	d.setEntryPartition("10.0.1.1", false)
}

func cutOffAllEntries(d *deployment, _ *backends) {
	for _, ip := range d.entryIPs() {
		d.setEntryPartition(ip, true)
	}
}

func restartAnEntry(d *deployment, b *backends) {
	d.restartEntry("10.0.1.1")
	b.forgetStatements("10.0.1.1")
}

// restartServersWhileCutOff lets servers that the entries do not know yet state cooldowns before
// the entries get to know them.
func restartServersWhileCutOff(d *deployment, b *backends) {
	cutOffAllEntries(d, b)
	b.stopSome(3)
	for i := range 3 {
		b.setRejection(backendAddress(i), always(rejectFor(8*time.Second)))
	}
	time.Sleep(backendRestartDelay + 2*time.Second)
	for _, ip := range d.entryIPs() {
		d.setEntryPartition(ip, false)
	}
}

// The only server asks for a cooldown that outlasts the callers' deadlines. They must be refused at
// once with the time after which the server takes requests, and be served then.
func TestCallersAreRefusedAtOnceDuringACooldown(t *testing.T) {
	const wait = 5 * time.Second
	for _, path := range []string{"/once/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSettledDeploymentOf(t, 63, 3, 1)
				defer d.close()
				b := startBackends(d, 1)
				defer b.close()
				const entry = "10.0.1.1"
				b.setRejection(backendAddress(0), always(rejectFor(wait)))
				for range 3 {
					started := time.Now()
					result := d.call(entry, path, "ordinary")
					require.Equal(t, 503, result.status)
					require.Less(t, time.Since(started), 100*time.Millisecond)
					require.InDelta(t, wait.Seconds(), result.retryAfterSeconds, 1)
				}
				b.setRejection(backendAddress(0), nil)
				time.Sleep(time.Second)
				result := d.call(entry, path, "ordinary")
				require.Equal(t, 503, result.status)
				time.Sleep(time.Duration(result.retryAfterSeconds * float64(time.Second)))
				require.Equal(t, 200, d.call(entry, path, "ordinary").status)
				require.Len(t, b.requestsBetween(backendAddress(0), time.Time{}, time.Now()), 2)
			})
		})
	}
}

// The only server asks for a cooldown that ends before the callers' deadlines. Their requests must
// be served after it, and not all at once while the server may reject them again.
func TestRequestsWaitForTheEndOfACooldown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeploymentOf(t, 64, 3, 6)
		defer d.close()
		b := startBackends(d, 1)
		defer b.close()
		b.setRejection(backendAddress(0), always(rejectFor(time.Second)))
		var wg sync.WaitGroup
		for _, ip := range d.entryIPs() {
			wg.Go(func() { d.call(ip, "/once/x", "first") })
		}
		time.Sleep(100 * time.Millisecond)
		statuses := make([]int, 60)
		for i := range statuses {
			wg.Go(func() { statuses[i] = d.call(d.entryIPs()[i%6], "/once/x", fmt.Sprint("ordinary ", i)).status })
		}
		time.Sleep(500 * time.Millisecond)
		b.setRejection(backendAddress(0), nil)
		from := time.Now()
		wg.Wait()
		b.requireCooldownsKept()
		require.Equal(t, slices.Repeat([]int{200}, 60), statuses)
		times := b.requestsBetween(backendAddress(0), from, time.Now())
		first := slices.MinFunc(times, time.Time.Compare)
		require.Less(t, len(b.requestsBetween(backendAddress(0), first, first.Add(10*time.Millisecond))), 6)
	})
}

// returnsAfter returns the times of the entries' first requests after a time.
func (b *backends) returnsAfter(from time.Time) []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := map[string]time.Time{}
	for _, r := range b.requests {
		if _, returned := first[r.entry]; !returned && r.at.After(from) {
			first[r.entry] = r.at
		}
	}
	return slices.Collect(maps.Values(first))
}

// The only server asks many entries for the same cooldown. No entry may send anything
// before its end, and they must not all return at the same time.
func TestManyEntriesReturnAfterACooldown(t *testing.T) {
	const wait, entries = 2 * time.Second, 60
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeploymentOf(t, 65, 3, entries)
		defer d.close()
		b := startBackends(d, 1)
		defer b.close()
		b.setRejection(backendAddress(0), always(rejectFor(wait)))
		var wg sync.WaitGroup
		for _, ip := range d.entryIPs() {
			wg.Go(func() { d.call(ip, "/again/x", "first") })
		}
		time.Sleep(500 * time.Millisecond)
		b.setRejection(backendAddress(0), nil)
		from := time.Now()
		for _, ip := range d.entryIPs() {
			for range 3 {
				wg.Go(func() { d.call(ip, "/again/x", "ordinary") })
			}
		}
		wg.Wait()
		b.requireCooldownsKept()
		returns := b.returnsAfter(from)
		require.Len(t, returns, entries)
		for _, first := range returns {
			near := slices.DeleteFunc(slices.Clone(returns), func(at time.Time) bool { return at.Sub(first).Abs() > 50*time.Millisecond })
			require.Less(t, len(near), entries/2, "a tenth of a second of a cooldown of 2 s")
		}
	})
}
