package role_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// catchUp is how long a host may take, from its start with an empty disk, until the
	// group can bear the next loss.
	catchUp = 5 * time.Second
	// inForce is how long after its acknowledgement a configuration is in force at every
	// entry.
	inForce = 2 * time.Second
)

// Callers are served by an old configuration and refused whatever needs a new load, for
// good: all control hosts answer, and none leads. One host after the other has lost its
// disk right after it acknowledged a change, far enough apart that each loss alone is
// borne. A host that comes back with an empty disk knows the seeds only. As long as a
// seed leads, it is taken in; once a host leads that is no seed, it never finds the
// leader, the group stays one voter short, and the third such loss takes its quorum.
//
// Evidence: hosts that came back under a seed logged their role within 0.5 s and voted
// later; those that came back under another leader logged nothing any more, and the two
// voters that were left asked for votes in vain.
func TestHostsWithLostDisksAreTakenInWhoeverLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The seeds are hosts 0 to 2: after the first leader, which is one of them, two
		// lead that are none.
		leaders := []int{3, 4, noOne, noOne, noOne, noOne}
		s := newSite(t, 1, 5, 2, leaders[0])
		defer s.close()
		s.await(20*time.Second, "five voters", func() bool { return s.voters() == 5 })
		version := uint64(1)
		for i, next := range leaders[1:] {
			lost := s.leader()
			version++
			s.await(time.Second, "an acknowledgement", func() bool { return s.put(version) != "" })
			s.next.Store(int64(next))
			s.powerOff(lost)
			s.await(inForce, "the acknowledged configuration in force", func() bool { return s.oldest() == version })
			s.await(inForce, "a leader", func() bool { return s.leader() != "" })
			if want := leaders[i]; want != noOne {
				require.Equal(t, controlIP(want), s.leader())
			}
			s.network.PowerOn(lost)
			s.startControl(lost, t.TempDir(), false)
			s.await(catchUp, "the lost host's vote", func() bool { return s.voters() == 5 && s.control[lost].Votes() })
		}
	})
}

// A host that is new hears of the members from a seed, while it can't reach the leader.
// Then it is cut off from all seeds, and the leader can be reached. It asks the leader,
// whose address it was told; were only seeds asked, the host would stay out for as long
// as the cut lasts, and the group without the reserve that it was started for.
func TestNewcomerIsTakenInWithoutSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, 5, 0, 3)
		defer s.close()
		s.await(20*time.Second, "five voters", func() bool { return s.voters() == 5 })
		s.powerOff(s.leader())
		s.await(5*time.Second, "a leader that is no seed", func() bool { return s.leader() == controlIP(3) })
		newcomer := controlIP(5)
		s.cut(newcomer, true, 3, 4)
		s.startControl(newcomer, t.TempDir(), false)
		time.Sleep(5 * time.Second)
		s.cut(newcomer, true, 0, 1, 2, 4)
		s.cut(newcomer, false, 3)
		s.await(catchUp, "the newcomer's vote", func() bool { return s.control[newcomer].Votes() })
	})
}

// cut cuts a host off from control hosts in both directions, or heals the cut.
func (s *site) cut(ip string, cut bool, others ...int) {
	for _, i := range others {
		s.network.Cut(ip, controlIP(i), cut)
		s.network.Cut(controlIP(i), ip, cut)
	}
}
