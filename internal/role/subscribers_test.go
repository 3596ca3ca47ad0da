package role_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/role"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// newSettledDeployment starts five control hosts and entries that all have the first
// configuration and are subscribed to their preferred hosts.
func newSettledDeployment(t *testing.T, seed int64, entries int) *deployment {
	return newSettledDeploymentOf(t, seed, 5, entries)
}

func newSettledDeploymentOf(t *testing.T, seed int64, control, entries int) *deployment {
	d := newDeployment(t, seed, control, entries, anyLeader)
	d.await(20*time.Second, "the voters", func() bool { return d.voters() == control })
	d.await(time.Second, "an acknowledgement", func() bool { return d.put(1) != "" })
	d.await(propagationLimit, "the first configuration in force", func() bool { return d.oldestVersion() == 1 })
	time.Sleep(6 * time.Second)
	return d
}

// subscriberCounts returns the number of subscribed entries by control host.
func (d *deployment) subscriberCounts() map[string]int {
	out := map[string]int{}
	for _, e := range d.entries {
		out[e.ControlHost()]++
	}
	return out
}

// followerWithEntries returns a control host that does not lead and has subscribed entries.
func (d *deployment) followerWithEntries() string {
	d.t.Helper()
	leader := d.leader()
	for ip := range d.control {
		if ip != leader && d.subscriberCounts()[ip] > 0 {
			return ip
		}
	}
	require.FailNow(d.t, "no follower has entries")
	return ""
}

// Entries must spread over all control hosts, so that none of them, and least of all the
// leader, has to update every entry.
func TestEntriesSpreadOverControlHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeployment(t, 11, 40)
		defer d.close()
		counts := d.subscriberCounts()
		require.Len(t, counts, 5, counts)
		for host, n := range counts {
			// Eight on average, and three standard deviations.
			require.InDelta(t, 8, n, 8, host)
		}
	})
}

// The leader loses power. Its own entries subscribe to other hosts; all others must stay
// subscribed while another leader is elected. If they moved as well, hundreds of entries
// would request the full state from the hosts during the election.
func TestEntriesStaySubscribedThroughALeaderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeployment(t, 12, 12)
		defer d.close()
		lost := d.leader()
		before := map[*role.Entry]string{}
		for _, e := range d.entries {
			before[e] = e.ControlHost()
		}
		d.powerOff(lost)
		for start := time.Now(); time.Since(start) < 6*time.Second; time.Sleep(20 * time.Millisecond) {
			for _, e := range d.entries {
				if before[e] != lost {
					require.Equal(t, before[e], e.ControlHost())
				}
			}
		}
		require.NotEmpty(t, d.leader())
		require.Zero(t, d.subscriberCounts()[lost])
		require.Zero(t, d.subscriberCounts()[""])
	})
}

// A control host is partitioned from the others, or loses power, and its entries receive no
// updates. Operators change the configuration; the entries of the lost host must receive
// each change in time from another host. In two of the cases the partition is one-way: the
// host receives from the leader but its messages are lost, or the reverse.
func TestEntriesOfALostHostReceiveChangesInTime(t *testing.T) {
	for shape, name := range []string{"partitioned", "sends only", "receives only", "without power"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSettledDeployment(t, 13, 12)
				defer d.close()
				lost := d.followerWithEntries()
				switch shape {
				case 3:
					d.powerOff(lost)
				default:
					for i := range 5 {
						if other := controlIP(i); other != lost {
							d.network.Cut(lost, other, shape != 1)
							d.network.Cut(other, lost, shape != 2)
						}
					}
				}
				ackedAt := map[uint64]time.Time{}
				for version := uint64(2); version < 14; version++ {
					if d.put(version) != "" {
						ackedAt[version] = time.Now()
					}
					time.Sleep(300 * time.Millisecond)
					for v, at := range ackedAt {
						require.False(t, time.Since(at) > propagationLimit && d.oldestVersion() < v, "version %d, acknowledged %s ago", v, time.Since(at))
					}
				}
				require.NotEmpty(t, ackedAt)
				d.await(propagationLimit, "the newest configuration", func() bool { return d.oldestVersion() == 13 })
				require.Zero(t, d.subscriberCounts()[lost])
			})
		})
	}
}

// The control hosts are partitioned in two, the leader with three others on the smaller
// side; entries reach all hosts. The larger side elects a leader and acknowledges changes.
// An entry subscribed to a host on the smaller side must receive them in time: if each host
// there that it tries next made it wait for a leader, it would receive nothing for seconds.
func TestEntriesLeaveAMinorityPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeploymentOf(t, 16, 9, 18)
		defer d.close()
		minority := []string{d.leader()}
		for ip := range d.control {
			if len(minority) < 4 && ip != minority[0] {
				minority = append(minority, ip)
			}
		}
		for ip := range d.control {
			for _, other := range minority {
				if !slices.Contains(minority, ip) {
					d.network.Cut(ip, other, true)
					d.network.Cut(other, ip, true)
				}
			}
		}
		ackedAt := map[uint64]time.Time{}
		for version := uint64(2); version < 18; version++ {
			if d.put(version) != "" {
				ackedAt[version] = time.Now()
			}
			for start := time.Now(); time.Since(start) < 400*time.Millisecond; time.Sleep(20 * time.Millisecond) {
				for v, at := range ackedAt {
					require.False(t, time.Since(at) > propagationLimit && d.oldestVersion() < v, "version %d, acknowledged %s ago; %v", v, time.Since(at), d.subscriberCounts())
				}
			}
		}
		require.NotEmpty(t, ackedAt)
		for _, ip := range minority {
			require.Zero(t, d.subscriberCounts()[ip])
		}
	})
}

// All control hosts lose their leader for longer than they send entries its last state. No other
// host has a leader either, so that entries that left would only cost all hosts new streams, and the
// next leader its lead.
func TestEntriesStaySubscribedWhileNoHostHasALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeploymentOf(t, 19, 5, 20)
		defer d.close()
		before := map[string]uint64{}
		for ip, e := range d.entries {
			before[ip] = e.Subscriptions()
		}
		cutAll := func(cut bool) {
			for _, ip := range d.controlIPs() {
				for _, other := range d.controlIPs() {
					if ip != other {
						d.network.Cut(ip, other, cut)
					}
				}
			}
		}
		cutAll(true)
		time.Sleep(5 * time.Second)
		cutAll(false)
		d.await(5*time.Second, "an acknowledgement", func() bool { return d.put(2) != "" })
		d.await(propagationLimit, "the configuration in force", func() bool { return d.oldestVersion() == 2 })
		time.Sleep(5 * time.Second)
		lead := 0
		for ip, e := range d.entries {
			if e.ControlHost() != d.leader() {
				require.Equal(t, before[ip], e.Subscriptions(), ip)
			} else {
				lead++
			}
		}
		require.Less(t, lead, len(d.entries))
	})
}

// A server sends its departure to a leader that most entries don't subscribe to. Once the
// departure is acknowledged, no entry may send the server requests: each has acknowledged
// it through its own host.
func TestDepartureIsKnownAtEveryEntryOnceAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeployment(t, 14, 12)
		defer d.close()
		leader := d.control[d.leader()]
		require.NoError(t, leader.PutConfiguration(context.Background(), &schema.PutConfiguration{
			Configuration: &schema.Configuration{Version: 2}, Pools: []*schema.Pool{{Name: "app"}},
		}))
		for i := range 4 {
			id := fmt.Sprint("i-", i)
			require.NoError(t, leader.Announce(context.Background(), roster.Announcement{ID: id, Pool: "app", Address: fmt.Sprint("10.9.9.9:", i+1), Slots: 1, Sequence: 1}))
		}
		knownServers := func() (least, most int) {
			least = 99
			for _, e := range d.entries {
				least, most = min(least, e.Servers()), max(most, e.Servers())
			}
			return least, most
		}
		d.await(time.Second, "four servers known", func() bool { least, _ := knownServers(); return least == 4 })
		// Entries may hold leases of an earlier leader when a term begins.
		time.Sleep(roster.LeaseTime)
		require.NoError(t, leader.Depart(context.Background(), "i-unknown"))
		for i := range 4 {
			require.NoError(t, leader.Depart(context.Background(), fmt.Sprint("i-", i)))
			for ip, e := range d.entries {
				require.Equal(t, 3-i, e.ReadyServers(), ip)
			}
		}
	})
}

// The disk of a control host stalls for ten seconds: the host receives from the leader, but
// its log does not advance. Its entries must receive changes made meanwhile, and operators
// must be acknowledged: after a moment the host redirects its entries, and the leader no
// longer waits for it. When its disk continues, it accepts entries again.
func TestStalledDiskDelaysNoAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeployment(t, 17, 12)
		defer d.close()
		host := d.followerWithEntries()
		d.stall(host, 10*time.Second)
		start, ackedAt := time.Now(), map[uint64]time.Time{}
		for version := uint64(2); time.Since(start) < 9*time.Second; version++ {
			putStart := time.Now()
			d.await(3*time.Second, "an acknowledgement", func() bool { return d.put(version) != "" })
			ackedAt[version] = time.Now()
			if time.Since(start) > 4*time.Second {
				require.Less(t, time.Since(putStart), time.Second)
				require.Zero(t, d.subscriberCounts()[host])
			}
			time.Sleep(200 * time.Millisecond)
			for v, at := range ackedAt {
				require.False(t, time.Since(at) > propagationLimit && d.oldestVersion() < v, "version %d", v)
			}
		}
		d.await(10*time.Second, "entries at the host again", func() bool { return d.subscriberCounts()[host] > 0 })
	})
}

// A control host's disk is slow: it follows the leader, and its log lags. For 1 s that is
// tolerated, as logs lag briefly all the time; then its entries must subscribe elsewhere.
// It counts as caught up once it has what the leader had when it started to lag.
func TestLagDetector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		detector := &role.LagDetector{}
		require.False(t, detector.Exceeded(0, 0))
		require.False(t, detector.Exceeded(5, 7))
		time.Sleep(900 * time.Millisecond)
		require.False(t, detector.Exceeded(6, 20))
		time.Sleep(200 * time.Millisecond)
		require.True(t, detector.Exceeded(6, 21))
		require.False(t, detector.Exceeded(7, 21))
		// It lags behind the next log entries, but not for 1 s yet.
		time.Sleep(900 * time.Millisecond)
		require.False(t, detector.Exceeded(20, 40))
		require.False(t, detector.Exceeded(21, 40))
		time.Sleep(900 * time.Millisecond)
		require.False(t, detector.Exceeded(40, 60))
	})
}

// The leader and three others are partitioned from the majority of control hosts, but not
// from their entries. The leader continues for a second before it notices. The larger side
// can acknowledge changes as soon as its election is over, 0.6 s after the partition, and
// these must be in force within 2 s: by then no entry may be subscribed to the smaller
// side. If the old leader's updates in that second counted as fresh, entries would stay a
// second longer.
func TestEntriesLeaveALeaderWithoutAQuorum(t *testing.T) {
	const electionOver = 600 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeploymentOf(t, 17, 9, 18)
		defer d.close()
		minority := []string{d.leader()}
		for _, ip := range d.controlIPs() {
			if len(minority) < 4 && ip != minority[0] {
				minority = append(minority, ip)
			}
		}
		for ip := range d.control {
			for _, other := range minority {
				if !slices.Contains(minority, ip) {
					d.network.Cut(ip, other, true)
					d.network.Cut(other, ip, true)
				}
			}
		}
		time.Sleep(electionOver + propagationLimit)
		for ip, n := range d.subscriberCounts() {
			require.False(t, ip == "" || slices.Contains(minority, ip), "%d entries subscribe to %q, of %v", n, ip, minority)
		}
	})
}

// Servers announce themselves to hosts that do not lead. Entries must know them all the
// same, also after the leader is lost: the next leader receives each server's announcement
// at once from the hosts that have it. A foreign announcement of a server without its
// incarnation must be refused there as well, and a departure must be redirected to the
// leader, which alone can guarantee that all entries know it.
func TestServersAnnounceThemselvesToAnyHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newSettledDeployment(t, 15, 8)
		defer d.close()
		leader := d.leader()
		require.NoError(t, d.control[leader].PutConfiguration(context.Background(), &schema.PutConfiguration{
			Configuration: &schema.Configuration{Version: 2}, Pools: []*schema.Pool{{Name: "app"}},
		}))
		host := d.control[d.followerWithEntries()]
		announcement := func(i int, sequence uint64) roster.Announcement {
			return roster.Announcement{
				ID: fmt.Sprintf("i-%d@1784556072000", i), Pool: "app", Address: fmt.Sprint("10.9.9.9:", i+1), Slots: 1, Sequence: sequence,
			}
		}
		allKnow := func(n int) func() bool {
			return func() bool {
				for _, e := range d.entries {
					if e.ReadyServers() != n {
						return false
					}
				}
				return true
			}
		}
		d.await(time.Second, "the pool's configuration", func() bool { return host.Announce(context.Background(), announcement(0, 1)) == nil })
		for i := range 5 {
			require.NoError(t, host.Announce(context.Background(), announcement(i, 2)))
		}
		d.await(200*time.Millisecond, "five servers", allKnow(5))
		foreign := announcement(0, 9)
		foreign.ID = "i-0"
		require.ErrorIs(t, host.Announce(context.Background(), foreign), role.ErrNoIncarnation)
		leaving := announcement(4, 3)
		leaving.Leaving = true
		var notLeader *role.NotLeaderError
		require.ErrorAs(t, host.Announce(context.Background(), leaving), &notLeader)
		require.NoError(t, d.control[leader].Announce(context.Background(), leaving))
		require.True(t, allKnow(4)())
		require.NoError(t, host.Announce(context.Background(), announcement(3, 3)))

		d.powerOff(leader)
		d.await(3*time.Second, "another leader", func() bool { return d.leader() != "" })
		for i := range 20 {
			require.True(t, allKnow(4)(), i)
			time.Sleep(100 * time.Millisecond)
		}
		// The server that departed announces itself once more, to a host that the previous
		// leader had not updated.
		_ = host.Announce(context.Background(), announcement(4, 4))
		time.Sleep(time.Second)
		require.True(t, allKnow(4)())
	})
}
