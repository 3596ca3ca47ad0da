package role_test

import (
	"maps"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// leavingGrace is how long after a response that states that its server leaves further requests may
// arrive: those that had left before.
const leavingGrace = 500 * time.Millisecond

// setLeaving makes the server at an address state in all responses that it leaves. It announces
// itself as before.
func (b *backends) setLeaving(address string, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving[address] = leaving
}

// recordDeparture records that a response states that its server leaves, and returns the header
// line, empty if it does not leave.
func (p *backendProcess) recordDeparture(conn net.Conn) string {
	b := p.backends
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.leaving[p.address] {
		return ""
	}
	b.departureCount++
	b.departures = append(b.departures, serverStatement{entry: ipOf(conn), server: p.id, at: time.Now()})
	return "X-Leaving: 1\r\n"
}

// requireNoRequestsAfterDepartures requires that no entry sent a request to a server that had stated
// to this entry that it leaves.
func (b *backends) requireNoRequestsAfterDepartures() {
	t := b.deployment.t
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	require.Positive(t, b.departureCount)
	for _, s := range b.departures {
		var after []string
		for _, r := range b.requests {
			if r.entry == s.entry && r.server == s.server && r.at.Sub(s.at) > leavingGrace {
				after = append(after, r.at.Sub(s.at).Round(time.Millisecond).String())
			}
		}
		require.Empty(t, after, "%s stated to %s that it leaves", s.server, s.entry)
	}
}

// A server states in its responses that it leaves, and has not announced it. It must get no more
// requests from the entries that received such a response.
func TestServersThatStateThatTheyLeaveGetNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeployment(t, 71, 6)
		defer d.close()
		b := startBackends(d, 3)
		defer b.close()
		l := d.startLoad(d.entryIPs(), 4)
		b.setLeaving(backendAddress(0), true)
		time.Sleep(10 * time.Second)
		statuses := l.end()
		b.requireNoRequestsAfterDepartures()
		require.Equal(t, []int{200}, slices.Collect(maps.Keys(statuses)), "the other servers take the requests")
	})
}

// setSilent makes the server at an address send no announcements, or send them again.
func (b *backends) setSilent(address string, silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent[address] = silent
}

// requireNoNewWork requires that a server got no request from any entry in a time.
func (b *backends) requireNoNewWork(address string, from time.Time) {
	b.deployment.t.Helper()
	require.Empty(b.deployment.t, b.requestsBetween(address, from, time.Now()), "%s", address)
}

// departureLimit is the time within which a server that states to one entry that it leaves gets no
// requests from the others either.
const departureLimit = 2 * time.Second

// Entries, control hosts and servers fail while a server leaves. Each case is a way in which an entry
// could take it for ready again.
func TestStatedDeparturesAreKeptUnderFaults(t *testing.T) {
	address := backendAddress(0)
	for name, test := range map[string]struct {
		run func(d *deployment, b *backends)
		// cutOff is set if entries are cut off, which then know only what was stated to them.
		cutOff bool
	}{
		"no fault":            {run: func(*deployment, *backends) {}},
		"entries are cut off": {cutOff: true, run: cutOffAllEntries},
		"the leader is lost":  {run: func(d *deployment, _ *backends) { d.powerOff(d.leader()) }},
		"all control hosts restart, and lose what they know of servers": {run: func(d *deployment, _ *backends) { d.restartControlHosts(d.controlIPs()...) }},
		"an entry restarts": {run: func(d *deployment, b *backends) {
			time.Sleep(departureLimit)
			restartAnEntry(d, b)
		}},
		"its announcements stop, and go on when it counts as gone": {run: func(_ *deployment, b *backends) {
			b.setSilent(address, true)
			time.Sleep(6 * time.Second)
			b.setSilent(address, false)
		}},
		"it rejects requests as well": {run: func(_ *deployment, b *backends) { b.setRejection(address, always(rejectFor(time.Second))) }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSettledDeploymentOf(t, 72, 3, 6)
				defer d.close()
				b := startBackends(d, 3)
				defer b.close()
				l := d.startLoad(d.entryIPs(), 4)
				time.Sleep(time.Second)
				b.setLeaving(address, true)
				test.run(d, b)
				time.Sleep(departureLimit)
				from := time.Now()
				time.Sleep(8 * time.Second)
				t.Log(l.end())
				b.requireNoRequestsAfterDepartures()
				if !test.cutOff {
					b.requireNoNewWork(address, from)
				}
			})
		})
	}
}

// A server that left starts again under its id, and takes requests. Entries that took it for the
// one that left would leave it idle.
func TestServersThatLeftTakeRequestsAfterTheirNextStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeploymentOf(t, 73, 3, 6)
		defer d.close()
		b := startBackendsWith(d, 1, true)
		defer b.close()
		l := d.startLoad(d.entryIPs(), 4)
		b.setLeaving(backendAddress(0), true)
		time.Sleep(3 * time.Second)
		from := time.Now()
		b.setLeaving(backendAddress(0), false)
		b.stopSome(1)
		time.Sleep(2 * backendRestartDelay)
		l.end()
		b.requireNoRequestsAfterDepartures()
		require.Greater(t, b.rate(backendAddress(0), from.Add(backendRestartDelay), time.Now()), 6.0)
	})
}

// All servers leave. Callers must be refused at once, as no server takes their requests.
func TestCallersAreRefusedAtOnceWhenAllServersLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeploymentOf(t, 74, 3, 2)
		defer d.close()
		b := startBackends(d, 2)
		defer b.close()
		for i := range 2 {
			b.setLeaving(backendAddress(i), true)
		}
		for range 2 {
			require.Equal(t, 200, d.call("10.0.1.1", "/once/x", "ordinary").status, "a response that says so is delivered")
		}
		time.Sleep(departureLimit)
		for _, ip := range d.entryIPs() {
			start := time.Now()
			result := d.call(ip, "/once/x", "ordinary")
			require.Equal(t, 503, result.status)
			require.Positive(t, result.retryAfterSeconds)
			require.Less(t, time.Since(start), 100*time.Millisecond)
		}
		b.requireNoRequestsAfterDepartures()
	})
}
