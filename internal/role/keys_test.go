package role_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A partitioned entry continues to accept a revoked key: it does not receive the
// revocation, and the leader does not wait for it.
func TestPartitionedEntryRefusesARevokedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t, 6, 3, 2, anyLeader)
		defer d.close()
		const partitioned = "10.0.1.1"
		d.await(20*time.Second, "three voters", func() bool { return d.voters() == 3 })
		d.await(2*time.Second, "an acknowledgement", func() bool { return d.put(1) != "" })
		d.await(propagationLimit, "accepted keys", func() bool {
			return d.entries[partitioned].AcceptsKey(versionKey(1)) && d.entries["10.0.1.2"].AcceptsKey(versionKey(1))
		})
		setCut := func(cut bool) {
			for i := range 3 {
				d.network.Cut(controlIP(i), partitioned, cut)
				d.network.Cut(partitioned, controlIP(i), cut)
			}
		}
		setCut(true)
		require.True(t, d.entries[partitioned].AcceptsKey(versionKey(1)), "refused before the limit")
		d.await(3*time.Second, "an acknowledgement", func() bool { return d.put(2) != "" })
		ackedAt := time.Now()
		for time.Since(ackedAt) < 6*time.Second {
			time.Sleep(20 * time.Millisecond)
			if time.Since(ackedAt) > revocationLimit {
				require.False(t, d.entries[partitioned].AcceptsKey(versionKey(1)), "%s after the acknowledgement", time.Since(ackedAt))
			}
		}
		require.True(t, d.entries["10.0.1.2"].AcceptsKey(versionKey(2)))
		setCut(false)
		d.await(5*time.Second, "the newest key at all entries", func() bool { return d.entries[partitioned].AcceptsKey(versionKey(2)) })
	})
}
