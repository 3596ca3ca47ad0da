package role_test

import (
	"testing"
	"testing/synctest"
	"time"
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
		s := newSite(t, 1, 5, 2)
		defer s.close()
		s.await(20*time.Second, "five voters", func() bool { return s.voters() == 5 })
		version := uint64(1)
		// The seeds are the first three; the others lead in between.
		for _, next := range []int{3, 4, 1, 3, 0} {
			s.next = controlIP(next)
			lost := s.leader()
			version++
			s.await(time.Second, "an acknowledgement", func() bool { return s.put(version) != "" })
			s.powerOff(lost)
			s.await(inForce, "the acknowledged configuration in force", func() bool { return s.oldest() == version })
			s.network.On(lost)
			s.startControl(lost, t.TempDir(), false)
			s.await(catchUp, "the lost host's vote", func() bool { return s.voters() == 5 && s.control[lost].Votes() })
		}
	})
}
