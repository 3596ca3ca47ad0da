package role_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/role"
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

// One entry is cut off. While it may still be in touch the change is not acknowledged:
// its callers would be served by the configuration before. Once it counts as silent it
// holds nothing up, or operators would be refused by a system that has taken their
// change.
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
		s.await(2*time.Second, "an acknowledgement", func() bool { return s.put(3) != "" })
		require.Greater(t, time.Since(began), 800*time.Millisecond)
		require.Less(t, time.Since(began), 1800*time.Millisecond)
		require.Equal(t, uint64(2), s.oldest())
		s.await(time.Second, "the other entry", func() bool { return s.entries["10.0.1.2"].Version() == 3 })
	})
}

// An entry speaks and never takes a change, as one that is out of memory might. Operators
// are answered again after three seconds, and at once as soon as all entries are told.
func TestAcknowledgementsAreWithheldForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, behind := &role.Withheld{}, context.DeadlineExceeded
		require.True(t, w.Hold(behind))
		time.Sleep(2900 * time.Millisecond)
		require.True(t, w.Hold(behind))
		time.Sleep(200 * time.Millisecond)
		require.False(t, w.Hold(behind))
		require.False(t, w.Hold(nil))
		require.True(t, w.Hold(behind))
	})
}
