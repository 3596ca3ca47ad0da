package role_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// onTheWay is how long a word to an entry is on its way, with room for its decoding.
const onTheWay = 5 * time.Millisecond

// An operator has a change acknowledged, and callers are served by the configuration
// before it: the leader lost power with the acknowledgement, before it told any entry.
// Entries notice after a second, and a new leader must be there: where the election
// needs a second round, that takes longer than a change may take to be in force.
func TestAcknowledgedConfigurationIsInForceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3, 5, 7, noOne)
		defer s.close()
		s.await(20*time.Second, "five voters", func() bool { return s.voters() == 5 })
		s.await(time.Second, "an acknowledgement", func() bool { return s.put(1) != "" })
		s.await(inForce, "the first configuration in force", func() bool { return s.oldest() == 1 })
		for version := uint64(2); version < 12; version++ {
			s.await(time.Second, "an acknowledgement", func() bool { return s.put(version) != "" })
			time.Sleep(onTheWay)
			require.Equal(t, version, s.oldest())
			time.Sleep(137 * time.Millisecond)
		}
	})
}

// One entry is cut off. The acknowledgement of a change waits for it for a moment only,
// or operators would be refused by a system that has taken their change.
func TestEntryOutOfReachHoldsNoAcknowledgementUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 4, 3, 2, noOne)
		defer s.close()
		s.await(20*time.Second, "three voters", func() bool { return s.voters() == 3 })
		s.await(time.Second, "an acknowledgement", func() bool { return s.put(2) != "" })
		s.await(inForce, "the first configuration in force", func() bool { return s.oldest() == 2 })
		for i := range 3 {
			s.network.Cut(controlIP(i), "10.0.1.1", true)
		}
		began := time.Now()
		s.await(time.Second, "an acknowledgement", func() bool { return s.put(3) != "" })
		require.Less(t, time.Since(began), 400*time.Millisecond)
		require.Equal(t, uint64(2), s.oldest())
		s.await(time.Second, "the other entry", func() bool { return s.entries["10.0.1.2"].Version() == 3 })
	})
}
