package role_test

import (
	"math/rand"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Copies of a harmful request arrive faster than servers crash under it: each of them met a server of its own,
// up to all that there are. An ordinary request that comes as often must be served.
func TestCopiesOfAHarmfulRequestShareServers(t *testing.T) {
	const (
		entries, servers = 24, 60
		gap, length      = 17 * time.Millisecond, 6 * time.Second
		runTime          = 1200 * time.Millisecond
	)
	for _, path := range []string{"/once/x", "/again/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newSettledDeploymentOf(t, 71, 3, entries)
				defer d.close()
				b := startBackends(d, servers)
				defer b.close()
				b.mu.Lock()
				b.runTime = runTime
				b.mu.Unlock()
				random := rand.New(rand.NewSource(71))
				var wg sync.WaitGroup
				var mu sync.Mutex
				served, sound := 0, 0
				for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(gap) {
					ip, other := d.entryIPs()[random.Intn(entries)], d.entryIPs()[random.Intn(entries)]
					wg.Go(func() { d.callFor(3*time.Second, ip, path, harmfulBody) })
					wg.Go(func() {
						status := d.callFor(3*time.Second, other, "/again/x", "popular")
						mu.Lock()
						defer mu.Unlock()
						sound++
						if status == http.StatusOK {
							served++
						}
					})
				}
				wg.Wait()
				late := b.lateArrivals(maxHoldBackDelay)
				t.Logf("%d servers crashed, %d late arrivals, %d of %d popular requests served", b.crashCount(), late, served, sound)
				require.LessOrEqual(t, b.crashCount(), maxSlowCrashes)
				require.LessOrEqual(t, late, maxLateArrivals)
				require.GreaterOrEqual(t, float64(served), minSoundShare*float64(sound))
			})
		})
	}
}
