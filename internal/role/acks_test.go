package role_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/role"
)

// deliveryTime is the time in which an update reaches an entry, including decoding.
const deliveryTime = 5 * time.Millisecond

// A change is acknowledged to an operator, but callers are served by the previous
// configuration: the leader lost power with the acknowledgement, before it updated any
// entry. Entries notice after a second, when a new leader must be there; if the election
// needs a second round, that takes longer than a change may take to be in force.
func TestAcknowledgedConfigurationIsInForceAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 3, 5, 7, anyLeader)
		defer d.close()
		d.await(20*time.Second, "five voters", func() bool { return d.voters() == 5 })
		d.await(time.Second, "an acknowledgement", func() bool { return d.put(1) != "" })
		d.await(propagationLimit, "the first configuration in force", func() bool { return d.oldestVersion() == 1 })
		for version := uint64(2); version < 12; version++ {
			d.await(time.Second, "an acknowledgement", func() bool { return d.put(version) != "" })
			time.Sleep(deliveryTime)
			require.Equal(t, version, d.oldestVersion())
			time.Sleep(137 * time.Millisecond)
		}
	})
}

// One entry is partitioned. While it may still be in sync the change must not be
// acknowledged: its callers would be served by the previous configuration. Once it counts
// as silent it must not delay the acknowledgement, or operators would be refused by a
// system that has accepted their change.
func TestUnreachableEntryDelaysAcknowledgementsForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 4, 3, 2, anyLeader)
		defer d.close()
		d.await(20*time.Second, "three voters", func() bool { return d.voters() == 3 })
		d.await(time.Second, "an acknowledgement", func() bool { return d.put(2) != "" })
		d.await(propagationLimit, "the first configuration in force", func() bool { return d.oldestVersion() == 2 })
		for i := range 3 {
			d.network.Cut(controlIP(i), "10.0.1.1", true)
		}
		start := time.Now()
		d.await(2*time.Second, "an acknowledgement", func() bool { return d.put(3) != "" })
		require.Greater(t, time.Since(start), 800*time.Millisecond)
		require.Less(t, time.Since(start), 1800*time.Millisecond)
		require.Equal(t, uint64(2), d.oldestVersion())
		d.await(time.Second, "the other entry", func() bool { return d.entries["10.0.1.2"].Version() == 3 })
	})
}

// An entry sends reports but never applies a change, as one that is out of memory might.
// Operators must be acknowledged again after three seconds, and at once when no entry is
// behind.
func TestAcknowledgementsAreWithheldForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, behind := &role.AckGate{}, context.DeadlineExceeded
		require.True(t, gate.Withhold(behind))
		time.Sleep(2900 * time.Millisecond)
		require.True(t, gate.Withhold(behind))
		time.Sleep(200 * time.Millisecond)
		require.False(t, gate.Withhold(behind))
		require.False(t, gate.Withhold(nil))
		require.True(t, gate.Withhold(behind))
	})
}
