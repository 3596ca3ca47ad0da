package consensus_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/schema"
)

const (
	replacingTick = 50 * time.Millisecond
	// replacingSilentTicks is how long a voter is silent before it is replaced.
	replacingSilentTicks = 50
)

// voters returns the IDs of the voters that a member knows.
func (g *group) voters(id uint64) (out []uint64) {
	for _, m := range g.members[id].Status().Membership.GetMembers() {
		if !m.GetLearner() {
			out = append(out, m.GetId())
		}
	}
	return out
}

// join starts a member on a host of its own and has it join the group, whoever leads, until it is a voter.
func (g *group) join(id uint64) {
	g.start(id, g.t.TempDir())
	for limit := time.Now().Add(time.Minute); ; {
		require.True(g.t, time.Now().Before(limit), "%d is no voter within a minute", id)
		leader := g.leader()
		for _, voter := range g.voters(leader) {
			if voter == id {
				return
			}
		}
		g.members[leader].Join(&schema.Member{Id: id, Host: fmt.Sprint("host-", id)})
		time.Sleep(replacingTick)
	}
}

// changeLeader has the leader hand over, and waits for another one.
func (g *group) changeLeader() {
	old := g.leader()
	for limit := time.Now().Add(time.Minute); g.leader() == old; {
		require.True(g.t, time.Now().Before(limit), "no change of leader within a minute")
		// The transfer fails if it is to a voter that was just lost.
		g.members[old].TransferLeadership()
		time.Sleep(10 * replacingTick)
	}
}

// Hosts are lost for good and replaced at other addresses, each just after a change of leader, which does not know
// yet who is silent: the lost voters stayed in, each replacement raised the quorum, and one more loss stopped the
// group.
func TestLostVotersLeaveTheGroup(t *testing.T) {
	for _, size := range []int{3, 5, 7} {
		t.Run(fmt.Sprint(size, " voters"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newReplacingGroup(t, size, replacingTick, replacingSilentTicks)
				defer g.close()
				next := uint64(size)
				for range 3 {
					leader := g.leader()
					for id := range g.members {
						if id != leader {
							g.stop(id)
							break
						}
					}
					g.changeLeader()
					next++
					g.join(next)
					time.Sleep(2 * replacingSilentTicks * replacingTick)
				}
				require.Len(t, g.voters(g.leader()), size)
				for lost := 0; lost < (size-1)/2; lost++ {
					g.stop(g.leader())
				}
				require.NoError(t, g.propose(g.leader(), "acknowledged"))
			})
		})
	}
}

// A voter that is silent in a group of its size stays, however long: with nobody in its place the group would bear
// fewer losses once it is back.
func TestSilentVoterStaysWithoutReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newReplacingGroup(t, 5, replacingTick, replacingSilentTicks)
		defer g.close()
		leader := g.leader()
		silent := leader%5 + 1
		g.mu.Lock()
		g.partitioned[silent] = true
		g.mu.Unlock()
		time.Sleep(time.Minute)
		g.changeLeader()
		time.Sleep(time.Minute)
		require.Len(t, g.voters(g.leader()), 5)
	})
}

// A group grows with hosts that join while all others are there, and does not shrink below that when one of
// them is silent.
func TestGroupGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newReplacingGroup(t, 3, replacingTick, replacingSilentTicks)
		defer g.close()
		g.join(4)
		g.join(5)
		time.Sleep(2 * replacingSilentTicks * replacingTick)
		leader := g.leader()
		require.Len(t, g.voters(leader), 5)
		silent := leader%5 + 1
		g.mu.Lock()
		g.partitioned[silent] = true
		g.mu.Unlock()
		time.Sleep(time.Minute)
		require.Len(t, g.voters(g.leader()), 5)
	})
}

// A voter that was removed as it was silent, and returns with its disk, joins again.
func TestRemovedVoterJoinsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newReplacingGroup(t, 3, replacingTick, replacingSilentTicks)
		defer g.close()
		silent := g.leader()%3 + 1
		g.mu.Lock()
		g.partitioned[silent] = true
		g.mu.Unlock()
		time.Sleep(2 * replacingSilentTicks * replacingTick)
		g.join(4)
		require.NotContains(t, g.voters(g.leader()), silent)
		g.mu.Lock()
		g.partitioned[silent] = false
		g.mu.Unlock()
		for range 100 {
			g.members[g.leader()].Join(&schema.Member{Id: silent, Host: fmt.Sprint("host-", silent)})
			time.Sleep(replacingTick)
		}
		require.Contains(t, g.voters(g.leader()), silent)
		require.NoError(t, g.propose(g.leader(), "acknowledged"))
		time.Sleep(time.Second)
		require.Equal(t, g.members[g.leader()].appliedCount(), g.members[silent].appliedCount())
	})
}
