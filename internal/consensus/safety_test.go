package consensus_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const stepsPerSchedule = 250

// TestNothingAcknowledgedIsLost runs groups through random sequences of lost,
// delayed, duplicated and reordered messages, one-way partitions, freezes, crashes
// during a sync, compaction and lost disks. It checks that there is one leader per
// term and one log, that no acknowledged entry is lost, that no read returns an
// index below an earlier acknowledgement, and that the group makes progress after
// the last fault.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	var total clusterStats
	for i := range *schedules {
		c := newCluster(t, *firstSeed+int64(i), 3+2*(i%2))
		for range stepsPerSchedule {
			c.randomAction()
		}
		c.settleAndCheck()
		total.add(c.stats)
	}
	t.Logf("%d schedules of %d steps: %+v", *schedules, stepsPerSchedule, total)
	assert.Greater(t, total.elections, *schedules, "the schedules reach elections")
	assert.Greater(t, total.snapshots, *schedules/10, "the schedules reach snapshots")
}

// randomAction performs one random step: mostly ticks, proposals and reads,
// sometimes the start or the end of a fault.
func (c *cluster) randomAction() {
	n := c.nodes[c.ids[c.random.Intn(len(c.ids))]]
	up := !n.down && !n.frozen
	switch action := c.random.Intn(100); {
	case action < 30:
		for range 1 + c.random.Intn(12) {
			c.step()
			c.reconcileMembership()
		}
	case action < 55:
		c.withLeader(c.propose)
	case action < 60:
		c.withLeader(c.read)
	case action < 63 && up:
		c.propose(n)
	case action < 66 && up:
		c.read(n)
	case action < 69 && up:
		c.crash(n, c.random.Intn(2) == 0)
	case action < 76 && n.down:
		c.start(n)
	case action < 79 && up:
		n.frozen = true
	case action < 84:
		n.frozen = false
	case action < 87:
		c.cutLinks[[2]uint64{n.id, c.ids[c.random.Intn(len(c.ids))]}] = true
	case action < 89:
		c.partition(n)
	case action < 93:
		c.cutLinks = map[[2]uint64]bool{}
	case action < 95:
		c.lossRate = []float64{0, 0.1, 0.4}[c.random.Intn(3)]
		c.duplicateRate = []float64{0, 0.2}[c.random.Intn(2)]
		c.maxDelay = []int{1, 3, 15}[c.random.Intn(3)]
	case action < 98 && up:
		c.compact(n)
	case action < 99 && up:
		n.core.TransferLeadership()
		c.process(n, false)
	case action < 100 && (c.stats.replaced == 0 || c.allVoters()):
		// Only one disk is lost at a time. Its replacement must be complete
		// before the next loss; otherwise a majority of the disks may be lost.
		c.replace(n)
	}
}

func (c *cluster) withLeader(run func(*node)) {
	if n := c.leader(); n != nil {
		run(n)
	}
}

func (c *cluster) partition(n *node) {
	for _, id := range c.ids {
		c.cutLinks[[2]uint64{n.id, id}] = true
		c.cutLinks[[2]uint64{id, n.id}] = true
	}
}

func (c *cluster) settleAndCheck() {
	c.heal(600)
	leader := c.leader()
	require.NotNil(c.t, leader, "seed %d: a leader after the last fault", c.seed)
	before := c.acknowledged
	c.propose(leader)
	c.heal(60)
	require.Greater(c.t, c.acknowledged, before, "seed %d: progress after the last fault", c.seed)
	for _, id := range c.ids {
		require.Equal(c.t, c.lastCommitted, c.nodes[id].applied, "seed %d: node %d catches up", c.seed, id)
	}
	require.True(c.t, c.allVoters(), "seed %d: every host votes again: %v", c.seed, leader.core.Membership())
}

func (s *clusterStats) add(o clusterStats) {
	s.commits += o.commits
	s.elections += o.elections
	s.crashes += o.crashes
	s.snapshots += o.snapshots
	s.replaced += o.replaced
	s.reads += o.reads
}

// allVoters reports whether the leader's membership is committed and consists of
// exactly the simulated nodes, all of them voters.
func (c *cluster) allVoters() bool {
	n := c.leader()
	if n == nil || len(n.core.Membership().GetMembers()) != len(c.ids) || n.core.Commit() != n.core.Last() {
		return false
	}
	for _, m := range n.core.Membership().GetMembers() {
		if _, ok := c.nodes[m.GetId()]; !ok || m.GetLearner() {
			return false
		}
	}
	return true
}
