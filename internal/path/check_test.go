package path_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/path"
)

// reach connects to servers over the host's own path.
func reach(t *testing.T, d *path.Dialer, servers ...string) {
	t.Helper()
	for _, server := range servers {
		via, _, err := dial(d, server)
		require.NoError(t, err)
		require.Empty(t, via)
	}
}

// A host that has just lost its path, and reached the server last about which it is asked, must not say that
// it reaches others.
func TestHostIsUnsureOfTheServerThatItReachedLast(t *testing.T) {
	n := &network{}
	simulate(t, n, func(t *testing.T, d *path.Dialer) {
		ctx := context.Background()
		require.False(t, d.ReachesOther(ctx, "s0"), "it has reached none")
		for i, server := range []string{"s0", "s1", "s0", "s0"} {
			_, _, err := dial(d, server)
			require.NoError(t, err)
			require.Equal(t, i > 0, d.ReachesOther(ctx, "s0"))
		}
		n.set(func(n *network) { n.direct = syscall.ECONNREFUSED })
		for range 3 {
			require.False(t, d.ReachesOther(ctx, "s0"))
			require.False(t, d.ReachesOther(ctx, "s1"))
		}
	})
}

// A host without requests of its own is asked by others: it must find out with the first one that it reaches
// no server either, and not take servers that have crashed for that.
func TestIdleHostFindsOutThatItReachesNoServer(t *testing.T) {
	for name, test := range map[string]struct {
		direct    error
		crashed   []string
		unreached bool
	}{
		"path lost":       {direct: errSilent, unreached: true},
		"path refused":    {direct: syscall.ECONNREFUSED, unreached: true},
		"servers crashed": {crashed: []string{"s1", "s2", "s3"}},
	} {
		t.Run(name, func(t *testing.T) {
			n := &network{}
			simulate(t, n, func(t *testing.T, d *path.Dialer) {
				reach(t, d, "s0", "s1")
				time.Sleep(10 * time.Second)
				n.set(func(n *network) {
					n.direct = test.direct
					for _, server := range test.crashed {
						n.server[server] = syscall.ECONNREFUSED
					}
				})
				for _, server := range []string{"s2", "s3"} {
					ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
					_, err := d.Connect(ctx, server)
					cancel()
					require.Error(t, err)
				}
				time.Sleep(700 * time.Millisecond)
				require.Equal(t, test.unreached, d.Unreached())
				n.set(func(n *network) { n.direct = nil })
				time.Sleep(time.Second)
				require.False(t, d.Unreached())
				require.False(t, d.Lost())
			})
		})
	}
}

// A server that wants nothing from a host for some time must not be connected to for a check either.
func TestCoolingServersAreNotChecked(t *testing.T) {
	n := &network{}
	simulate(t, n, func(t *testing.T, d *path.Dialer) {
		reach(t, d, "s0", "s1")
		time.Sleep(time.Second)
		n.set(func(n *network) {
			n.direct, n.cooling, n.connected = syscall.ECONNREFUSED, map[string]bool{"s0": true, "s1": true}, nil
		})
		for range 3 {
			_, _, err := dial(d, "s2")
			require.NoError(t, err)
			require.False(t, d.ReachesOther(context.Background(), "s2"))
			time.Sleep(time.Second)
		}
		n.set(func(n *network) {
			require.Contains(t, n.connected, "s2")
			require.NotContains(t, n.connected, "s0")
			require.NotContains(t, n.connected, "s1")
		})
	})
}

// Thousands of servers are out of reach: a host checks few of them at a time, and all once the path is
// back.
func TestChecksAreBounded(t *testing.T) {
	n := &network{direct: errSilent}
	simulate(t, n, func(t *testing.T, d *path.Dialer) {
		for i := range 1000 {
			_, _, err := dial(d, fmt.Sprint("s", i))
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		require.True(t, d.Lost())
		n.set(func(n *network) { n.directs = 0 })
		time.Sleep(10 * time.Second)
		directs, _ := n.counts()
		require.LessOrEqual(t, directs, 10*8*2+8)
		n.set(func(n *network) { n.direct, n.directs = nil, 0 })
		time.Sleep(3 * time.Second)
		require.Equal(t, path.State{}, d.State())
		_, before := n.counts()
		for i := range 1000 {
			via, _, err := dial(d, fmt.Sprint("s", i))
			require.NoError(t, err)
			require.Empty(t, via)
		}
		_, after := n.counts()
		require.Len(t, after, len(before))
		require.NotContains(t, after, "far")
	})
}
