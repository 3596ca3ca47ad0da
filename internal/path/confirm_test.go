package path_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/path"
	"fennelyard/internal/tunnel"
)

// maxConfirmTime is the time within which the end of a server is confirmed if some of the other hosts
// are out of reach: meanwhile requests that crash their servers are repeated.
const maxConfirmTime = 350 * time.Millisecond

// A server has ended, and half of the other hosts are out of reach: each attempt waited for all of the
// three hosts that it had asked, and asked the same ones again.
func TestEndIsConfirmedWhileHostsAreOutOfReach(t *testing.T) {
	for _, unreachable := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(unreachable, " of 10"), func(t *testing.T) {
			n := &network{}
			simulate(t, n, func(t *testing.T, d *path.Dialer) {
				n.server["s"], n.preferred, n.others = syscall.ECONNREFUSED, nil, nil
				for i := range 10 {
					host := fmt.Sprint("host-", i)
					n.preferred = append(n.preferred, host)
					if i < unreachable {
						n.hosts[host] = errSilent
					}
				}
				_, took, err := dial(d, "s")
				require.ErrorIs(t, err, syscall.ECONNREFUSED)
				require.Less(t, took, maxConfirmTime)
				// Those that did not respond are set aside.
				n.set(func(n *network) { n.throughs = nil })
				time.Sleep(500 * time.Millisecond)
				_, _, err = dial(d, "s")
				require.ErrorIs(t, err, syscall.ECONNREFUSED)
				_, asked := n.counts()
				require.False(t, slices.ContainsFunc(asked, func(host string) bool { return n.hosts[host] != nil }), "%v", asked)
			})
		})
	}
}

// Hosts that have connected to no server yet, or to none but those that have crashed, could not say whether
// a refusal was their own fault.
func TestHostWithoutRequestsConfirmsTheEndOfAServer(t *testing.T) {
	for name, reached := range map[string][]string{"no request yet": nil, "only servers that crashed": {"crashed-1", "crashed-2"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				crashed := false
				d := path.New(path.Config{
					Direct: func(_ context.Context, address string) (net.Conn, error) {
						if crashed && address != "sound" {
							return nil, syscall.ECONNREFUSED
						}
						a, _ := net.Pipe()
						return a, nil
					},
					Through:   func(context.Context, string, string) (net.Conn, error) { return nil, tunnel.ErrUnavailable },
					Hosts:     func() (preferred, others []string) { return nil, nil },
					Cooling:   func(string) bool { return false },
					AnyServer: func(...string) string { return "sound" },
					OnChange:  func() {}, Random: func(int) int { return 0 }, Log: logr.Discard(),
				})
				defer d.Close()
				for _, address := range reached {
					_, err := d.Connect(t.Context(), address)
					require.NoError(t, err)
				}
				crashed = true
				_, err := d.Connect(t.Context(), "crashed-1")
				require.True(t, errors.Is(err, syscall.ECONNREFUSED))
				require.True(t, d.ReachesOther(t.Context(), "crashed-1"))
			})
		})
	}
}

// A host that is cut off from all others finds out that a server has ended if it reaches another one; it must not
// while it reaches none.
func TestIsolatedHostConfirmsTheEndOfAServer(t *testing.T) {
	for name, reachesOther := range map[string]bool{"reaches another server": true, "reaches no server": false} {
		t.Run(name, func(t *testing.T) {
			n := &network{}
			simulate(t, n, func(t *testing.T, d *path.Dialer) {
				reach(t, d, "s0", "s")
				n.set(func(n *network) {
					n.hosts["near"], n.hosts["far"] = errSilent, errSilent
					n.server["s"] = syscall.ECONNREFUSED
					if !reachesOther {
						n.direct = syscall.ECONNREFUSED
					}
				})
				_, _, err := dial(d, "s")
				require.Error(t, err)
				require.Equal(t, reachesOther, errors.Is(err, syscall.ECONNREFUSED))
			})
		})
	}
}
