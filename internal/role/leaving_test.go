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
	require.NotEmpty(t, b.departures)
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
