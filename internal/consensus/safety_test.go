package consensus_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const stepsPerSchedule = 250

// TestNothingAcknowledgedIsLost drives groups through arbitrary orders of lost,
// late, doubled and reordered messages, cuts in one direction, freezes, crashes
// in the middle of a sync, compaction and lost disks. What operators and entries
// were told must stay true: one leader per term, one log, no acknowledged entry
// lost, no read behind an acknowledgement. After the last fault the group works.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	var total worldStats
	for i := range *schedules {
		w := newWorld(t, *firstSeed+int64(i), 3+2*(i%2))
		for range stepsPerSchedule {
			w.act()
		}
		w.settleAndCheck()
		total.add(w.stats)
	}
	t.Logf("%d schedules of %d steps: %+v", *schedules, stepsPerSchedule, total)
	assert.Greater(t, total.elections, *schedules, "the schedules reach elections")
	assert.Greater(t, total.snapshots, *schedules/10, "the schedules reach snapshots")
}

// act takes one step: mostly time and work, now and then a fault or its end.
func (w *world) act() {
	n := w.nodes[w.ids[w.random.Intn(len(w.ids))]]
	up := !n.down && !n.frozen
	switch action := w.random.Intn(100); {
	case action < 30:
		for range 1 + w.random.Intn(12) {
			w.step()
			w.tend()
		}
	case action < 55:
		w.withLeader(w.propose)
	case action < 60:
		w.withLeader(w.read)
	case action < 63 && up:
		w.propose(n)
	case action < 66 && up:
		w.read(n)
	case action < 69 && up:
		w.crash(n, w.random.Intn(2) == 0)
	case action < 76 && n.down:
		w.start(n)
	case action < 79 && up:
		n.frozen = true
	case action < 84:
		n.frozen = false
	case action < 87:
		w.blocked[[2]uint64{n.id, w.ids[w.random.Intn(len(w.ids))]}] = true
	case action < 89:
		w.cutOff(n)
	case action < 93:
		w.blocked = map[[2]uint64]bool{}
	case action < 95:
		w.loss = []float64{0, 0.1, 0.4}[w.random.Intn(3)]
		w.twice = []float64{0, 0.2}[w.random.Intn(2)]
		w.slow = []int{1, 3, 15}[w.random.Intn(3)]
	case action < 98 && up:
		w.compact(n)
	case action < 99 && up:
		n.core.TransferLeadership()
		w.process(n, false)
	case action < 100 && (w.stats.replaced == 0 || w.allVoters()):
		// One lost disk at a time: its repair must be over before the next
		// one, or a majority's memory is gone.
		w.replace(n)
	}
}

func (w *world) withLeader(do func(*node)) {
	if n := w.leader(); n != nil {
		do(n)
	}
}

func (w *world) cutOff(n *node) {
	for _, id := range w.ids {
		w.blocked[[2]uint64{n.id, id}] = true
		w.blocked[[2]uint64{id, n.id}] = true
	}
}

func (w *world) settleAndCheck() {
	w.heal(600)
	leader := w.leader()
	require.NotNil(w.t, leader, "seed %d: a leader after the last fault", w.seed)
	acked := w.acked
	w.propose(leader)
	w.heal(60)
	require.Greater(w.t, w.acked, acked, "seed %d: progress after the last fault", w.seed)
	for _, id := range w.ids {
		require.Equal(w.t, w.highest, w.nodes[id].applied, "seed %d: node %d catches up", w.seed, id)
	}
	require.True(w.t, w.allVoters(), "seed %d: every host votes again: %v", w.seed, leader.core.Membership())
}

func (s *worldStats) add(o worldStats) {
	s.commits += o.commits
	s.elections += o.elections
	s.crashes += o.crashes
	s.snapshots += o.snapshots
	s.replaced += o.replaced
	s.reads += o.reads
}

// allVoters reports whether a leader's committed membership is exactly the
// hosts of the world, all of them voters.
func (w *world) allVoters() bool {
	n := w.leader()
	if n == nil || len(n.core.Membership().GetMembers()) != len(w.ids) || n.core.Commit() != n.core.Last() {
		return false
	}
	for _, m := range n.core.Membership().GetMembers() {
		if _, ok := w.nodes[m.GetId()]; !ok || m.GetLearner() {
			return false
		}
	}
	return true
}
