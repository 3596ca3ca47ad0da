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

// treeSite starts five control hosts and entries that all have the first configuration, and
// have settled with the hosts that they prefer.
func treeSite(t *testing.T, seed int64, entries int) *site { return treeSiteOf(t, seed, 5, entries) }

func treeSiteOf(t *testing.T, seed int64, control, entries int) *site {
	s := newSite(t, seed, control, entries, noOne)
	s.await(20*time.Second, "the voters", func() bool { return s.voters() == control })
	s.await(time.Second, "an acknowledgement", func() bool { return s.put(1) != "" })
	s.await(inForce, "the first configuration in force", func() bool { return s.oldest() == 1 })
	time.Sleep(6 * time.Second)
	return s
}

// attended counts the entries of each control host.
func (s *site) attended() map[string]int {
	out := map[string]int{}
	for _, e := range s.entries {
		out[e.Attends()]++
	}
	return out
}

// someFollower returns a control host that does not lead and has entries.
func (s *site) someFollower() string {
	s.t.Helper()
	leader := s.leader()
	for ip := range s.control {
		if ip != leader && s.attended()[ip] > 0 {
			return ip
		}
	}
	require.FailNow(s.t, "no follower has entries")
	return ""
}

// Entries spread over all control hosts, so that none of them, the leader least of all, has
// to speak to every entry.
func TestEntriesSpreadOverControlHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := treeSite(t, 11, 40)
		defer s.close()
		attended := s.attended()
		require.Len(t, attended, 5, attended)
		for host, n := range attended {
			// Eight on average, and three standard deviations.
			require.InDelta(t, 8, n, 8, host)
		}
	})
}

// The leader loses power. Its own entries go to other hosts; all others stay where they
// are while another leader is elected: moved as well, hundreds of entries would ask the
// hosts for everything just when these have an election to hold.
func TestEntriesStayThroughAChangeOfLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := treeSite(t, 12, 12)
		defer s.close()
		lost := s.leader()
		before := map[*role.Entry]string{}
		for _, e := range s.entries {
			before[e] = e.Attends()
		}
		s.powerOff(lost)
		for began := time.Now(); time.Since(began) < 6*time.Second; time.Sleep(20 * time.Millisecond) {
			for _, e := range s.entries {
				if before[e] != lost {
					require.Equal(t, before[e], e.Attends())
				}
			}
		}
		require.NotEmpty(t, s.leader())
		require.Zero(t, s.attended()[lost])
		require.Zero(t, s.attended()[""])
	})
}

// A control host is cut off from the others, or loses power, while its entries are told
// nothing. Operators change the configuration; the entries of the lost host must have each
// change within its time, from another host. In some rounds the host is cut off in one
// direction only, so that it hears the leader and is not heard, or the other way about.
func TestEntriesOfALostHostHaveChangesInTime(t *testing.T) {
	for shape, name := range []string{"cut off", "heard only", "hears only", "without power"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := treeSite(t, 13, 12)
				defer s.close()
				lost := s.someFollower()
				switch shape {
				case 3:
					s.powerOff(lost)
				default:
					for i := range 5 {
						if other := controlIP(i); other != lost {
							s.network.Cut(lost, other, shape != 1)
							s.network.Cut(other, lost, shape != 2)
						}
					}
				}
				acked := map[uint64]time.Time{}
				for version := uint64(2); version < 14; version++ {
					if s.put(version) != "" {
						acked[version] = time.Now()
					}
					time.Sleep(300 * time.Millisecond)
					for v, at := range acked {
						require.False(t, time.Since(at) > inForce && s.oldest() < v, "version %d, acknowledged %s ago", v, time.Since(at))
					}
				}
				require.NotEmpty(t, acked)
				s.await(inForce, "the newest configuration", func() bool { return s.oldest() == 13 })
				require.Zero(t, s.attended()[lost])
			})
		})
	}
}

// The control hosts are cut in two, the leader with three others on the smaller side;
// entries reach all of them. The larger side elects a leader and acknowledges changes. An
// entry that attended a host of the smaller side must have them in time: if each host there
// that it asks next kept it waiting for a leader, it would be told of none for seconds.
func TestEntriesLeaveTheSideWithoutALeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := treeSiteOf(t, 16, 9, 18)
		defer s.close()
		small := []string{s.leader()}
		for ip := range s.control {
			if len(small) < 4 && ip != small[0] {
				small = append(small, ip)
			}
		}
		for ip := range s.control {
			for _, other := range small {
				if !slices.Contains(small, ip) {
					s.network.Cut(ip, other, true)
					s.network.Cut(other, ip, true)
				}
			}
		}
		acked := map[uint64]time.Time{}
		for version := uint64(2); version < 18; version++ {
			if s.put(version) != "" {
				acked[version] = time.Now()
			}
			for began := time.Now(); time.Since(began) < 400*time.Millisecond; time.Sleep(20 * time.Millisecond) {
				for v, at := range acked {
					require.False(t, time.Since(at) > inForce && s.oldest() < v, "version %d, acknowledged %s ago; %v", v, time.Since(at), s.attended())
				}
			}
		}
		require.NotEmpty(t, acked)
		for _, ip := range small {
			require.Zero(t, s.attended()[ip])
		}
	})
}

// A server says that it leaves, to a leader that most entries do not attend. Once that is
// acknowledged no entry sends it anything: each has taken the word, over its own host.
func TestDepartureIsKnownAtEveryEntryOnceAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := treeSite(t, 14, 12)
		defer s.close()
		leader := s.control[s.leader()]
		require.NoError(t, leader.PutConfiguration(context.Background(), &schema.PutConfiguration{
			Configuration: &schema.Configuration{Version: 2}, Pools: []*schema.Pool{{Name: "app"}},
		}))
		for i := range 4 {
			id := fmt.Sprint("i-", i)
			require.NoError(t, leader.Announce(context.Background(), roster.Announcement{ID: id, Pool: "app", Address: fmt.Sprint("10.9.9.9:", i+1), Slots: 1, Sequence: 1}))
		}
		known := func() (least, most int) {
			least = 99
			for _, e := range s.entries {
				least, most = min(least, e.Servers()), max(most, e.Servers())
			}
			return least, most
		}
		s.await(time.Second, "four servers known", func() bool { least, _ := known(); return least == 4 })
		require.NoError(t, leader.Depart(context.Background(), "i-unheard"))
		for i := range 4 {
			require.NoError(t, leader.Depart(context.Background(), fmt.Sprint("i-", i)))
			for ip, e := range s.entries {
				require.Equal(t, 3-i, e.ReadyServers(), ip)
			}
		}
	})
}

// The disk of a control host stalls for ten seconds: it hears the leader, and its log stands
// still. Its entries must have what operators change meanwhile, and operators must be
// answered: after a moment the host sends its entries elsewhere, and nobody waits for it.
// When its disk goes on it takes entries again.
func TestStalledDiskHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := treeSite(t, 17, 12)
		defer s.close()
		host := s.someFollower()
		s.stall(host, 10*time.Second)
		began, acked := time.Now(), map[uint64]time.Time{}
		for version := uint64(2); time.Since(began) < 9*time.Second; version++ {
			asked := time.Now()
			s.await(3*time.Second, "an acknowledgement", func() bool { return s.put(version) != "" })
			acked[version] = time.Now()
			if time.Since(began) > 4*time.Second {
				require.Less(t, time.Since(asked), time.Second)
				require.Zero(t, s.attended()[host])
			}
			time.Sleep(200 * time.Millisecond)
			for v, at := range acked {
				require.False(t, time.Since(at) > inForce && s.oldest() < v, "version %d", v)
			}
		}
		s.await(10*time.Second, "entries at the host again", func() bool { return s.attended()[host] > 0 })
	})
}

// A control host's disk is slow: it follows the leader, and its log lags. For a second that
// is let pass, as logs lag by a moment all the time; then its entries must go elsewhere. It
// counts again once it has what the leader had when it began to lag.
func TestHostWhoseLogLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &role.Lag{}
		require.False(t, l.Holds(0, 0))
		require.False(t, l.Holds(5, 7))
		time.Sleep(900 * time.Millisecond)
		require.False(t, l.Holds(6, 20))
		time.Sleep(200 * time.Millisecond)
		require.True(t, l.Holds(6, 21))
		require.False(t, l.Holds(7, 21))
		// It lags behind the next entries, and not by a second yet.
		time.Sleep(900 * time.Millisecond)
		require.False(t, l.Holds(20, 40))
		require.False(t, l.Holds(21, 40))
		time.Sleep(900 * time.Millisecond)
		require.False(t, l.Holds(40, 60))
	})
}

// The leader is cut off from most control hosts and, with three others, not from its
// entries. It goes on for a second before it notices. Changes can be acknowledged on the
// larger side as soon as an election is over there, 0.6 s after the cut, and must then be in
// force within two seconds: by then no entry may be told by the smaller side any more. If
// what the old leader says in that second counted as news, entries would stay a second longer.
func TestEntriesLeaveALeaderWithoutAQuorum(t *testing.T) {
	const electionOver = 600 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := treeSiteOf(t, 17, 9, 18)
		defer s.close()
		small := []string{s.leader()}
		for _, ip := range s.controlIPs() {
			if len(small) < 4 && ip != small[0] {
				small = append(small, ip)
			}
		}
		for ip := range s.control {
			for _, other := range small {
				if !slices.Contains(small, ip) {
					s.network.Cut(ip, other, true)
					s.network.Cut(other, ip, true)
				}
			}
		}
		time.Sleep(electionOver + inForce)
		for ip, n := range s.attended() {
			require.False(t, ip == "" || slices.Contains(small, ip), "%d entries attend %q, of %v", n, ip, small)
		}
	})
}

// Servers announce themselves to hosts that do not lead. Entries know them all the same,
// and go on knowing them when the leader is lost: the next one hears of each server at
// once from the hosts that have its word. Somebody else's word of a server without its
// start is refused there as well, and one that leaves is sent to the leader, who alone can
// promise that all entries know.
func TestServersAnnounceThemselvesToAnyHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := treeSite(t, 15, 8)
		defer s.close()
		leader := s.leader()
		require.NoError(t, s.control[leader].PutConfiguration(context.Background(), &schema.PutConfiguration{
			Configuration: &schema.Configuration{Version: 2}, Pools: []*schema.Pool{{Name: "app"}},
		}))
		host := s.control[s.someFollower()]
		word := func(i int, sequence uint64) roster.Announcement {
			return roster.Announcement{
				ID: fmt.Sprintf("i-%d@1784556072000", i), Pool: "app", Address: fmt.Sprint("10.9.9.9:", i+1), Slots: 1, Sequence: sequence,
			}
		}
		all := func(n int) func() bool {
			return func() bool {
				for _, e := range s.entries {
					if e.ReadyServers() != n {
						return false
					}
				}
				return true
			}
		}
		s.await(time.Second, "the pool's configuration", func() bool { return host.Announce(context.Background(), word(0, 1)) == nil })
		for i := range 5 {
			require.NoError(t, host.Announce(context.Background(), word(i, 2)))
		}
		s.await(200*time.Millisecond, "five servers", all(5))
		foreign := word(0, 9)
		foreign.ID = "i-0"
		require.ErrorIs(t, host.Announce(context.Background(), foreign), role.ErrNoIncarnation)
		leaving := word(4, 3)
		leaving.Leaving = true
		var elsewhere *role.NotLeaderError
		require.ErrorAs(t, host.Announce(context.Background(), leaving), &elsewhere)
		require.NoError(t, s.control[leader].Announce(context.Background(), leaving))
		require.True(t, all(4)())
		require.NoError(t, host.Announce(context.Background(), word(3, 3)))

		s.powerOff(leader)
		s.await(3*time.Second, "another leader", func() bool { return s.leader() != "" })
		for i := range 20 {
			require.True(t, all(4)(), i)
			time.Sleep(100 * time.Millisecond)
		}
		// The server that had left says once more that it is there, to a host that the
		// leader before had not told.
		_ = host.Announce(context.Background(), word(4, 4))
		time.Sleep(time.Second)
		require.True(t, all(4)())
	})
}
