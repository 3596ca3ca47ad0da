package consensus_test

import (
	"context"
	"fmt"
	"math/rand"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/consensus"
	"fennelyard/internal/schema"
)

// group is a group of members with real storages and a simulated network in which a
// test can partition members.
type group struct {
	t           testing.TB
	membership  *schema.Membership
	mu          sync.Mutex
	members     map[uint64]*groupMember
	partitioned map[uint64]bool
	tick        time.Duration
	// silentTicks is MemberConfig.SilentTicks.
	silentTicks int
}

type groupMember struct {
	*consensus.Member
	storage *consensus.Storage
	folder  string
	// applied is guarded by mu.
	mu      sync.Mutex
	applied []string
}

// snapshotMarker follows the number of commands in a snapshot of the state machine.
const snapshotMarker = " commands of this state machine"

func newGroup(t testing.TB, size int, tick time.Duration) *group {
	return newReplacingGroup(t, size, tick, 0)
}

// newReplacingGroup is newGroup with members that replace voters after silentTicks.
func newReplacingGroup(t testing.TB, size int, tick time.Duration, silentTicks int) *group {
	g := &group{
		t: t, membership: &schema.Membership{Size: uint32(size)}, members: map[uint64]*groupMember{}, partitioned: map[uint64]bool{}, tick: tick,
		silentTicks: silentTicks,
	}
	for i := range size {
		g.membership.Members = append(g.membership.Members, &schema.Member{Id: uint64(i + 1), Host: fmt.Sprint("host-", i+1)})
	}
	for _, m := range g.membership.GetMembers() {
		g.start(m.GetId(), t.TempDir())
	}
	return g
}

func (g *group) start(id uint64, folder string) {
	s, err := consensus.OpenStorage(consensus.StorageConfig{Folder: folder, Group: 1, NewID: func() uint64 { return id }})
	require.NoError(g.t, err)
	founder := slices.ContainsFunc(g.membership.GetMembers(), func(m *schema.Member) bool { return m.GetId() == id })
	if stored, err := s.Membership(); err == nil && stored == nil && founder {
		require.NoError(g.t, s.Bootstrap(g.membership))
	}
	member := &groupMember{storage: s, folder: folder}
	random := rand.New(rand.NewSource(int64(id)))
	member.Member, err = consensus.NewMember(consensus.MemberConfig{
		Group: 1, Storage: s, Tick: g.tick, SnapshotAfter: 300, SilentTicks: g.silentTicks, Random: random.Intn,
		Send: func(to *schema.Member, messages []*schema.ConsensusMessage) { g.send(id, to.GetId(), messages) },
		StateMachine: consensus.StateMachine{
			Apply: func(_ uint64, data []byte) any {
				member.mu.Lock()
				defer member.mu.Unlock()
				member.applied = append(member.applied, string(data))
				return len(member.applied)
			},
			Advance: func(uint64) {},
			Snapshot: func() ([]byte, error) {
				member.mu.Lock()
				defer member.mu.Unlock()
				return []byte(fmt.Sprint(len(member.applied), snapshotMarker)), nil
			},
			Restore: func(data []byte) error {
				member.mu.Lock()
				defer member.mu.Unlock()
				n := 0
				_, _ = fmt.Sscan(string(data), &n)
				member.applied = make([]string, n)
				return nil
			},
		},
	})
	require.NoError(g.t, err)
	g.mu.Lock()
	g.members[id] = member
	g.mu.Unlock()
}

func (g *group) send(from, to uint64, messages []*schema.ConsensusMessage) {
	g.mu.Lock()
	m, down := g.members[to], g.partitioned[from] || g.partitioned[to]
	g.mu.Unlock()
	if m == nil || down {
		return
	}
	for _, msg := range messages {
		m.Step(msg)
	}
}

func (g *group) stop(id uint64) string {
	g.mu.Lock()
	m := g.members[id]
	delete(g.members, id)
	g.mu.Unlock()
	m.Stop()
	require.NoError(g.t, m.storage.Close())
	return m.folder
}

func (g *group) close() {
	for id := range g.members {
		g.stop(id)
	}
}

// leader waits for a leader that is not partitioned and has committed an entry in its term.
func (g *group) leader() uint64 {
	for limit := time.Now().Add(time.Minute); ; {
		require.True(g.t, time.Now().Before(limit), "no leader within a minute")
		g.mu.Lock()
		for id, m := range g.members {
			if m.Status().CommittedInTerm && !g.partitioned[id] {
				g.mu.Unlock()
				return id
			}
		}
		g.mu.Unlock()
		time.Sleep(g.tick)
	}
}

func (m *groupMember) appliedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.applied)
}

func (g *group) propose(id uint64, data string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, _, err := g.members[id].Propose(ctx, []byte(data))
	return err
}

// A member is stopped while more commands are committed than the log retains. After
// its restart it is sent a snapshot and the remaining entries, and it applies as
// many commands as the others.
func TestMemberCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, 50*time.Millisecond)
		defer g.close()
		leader := g.leader()
		stopped := leader%3 + 1
		folder := g.stop(stopped)
		for i := range 1000 {
			require.NoError(t, g.propose(leader, fmt.Sprint("change ", i)))
		}
		startedAt := time.Now()
		g.start(stopped, folder)
		for g.members[stopped].appliedCount() < 1000 {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("caught up after 1000 missed commands in %v of simulated time", time.Since(startedAt))
		assert.Equal(t, 1000, g.members[stopped].appliedCount())
	})
}

// TestTimeWithoutLeader measures, in simulated time, how long there is no leader
// after the leader fails, and after it transfers leadership in a planned stop.
func TestTimeWithoutLeader(t *testing.T) {
	for _, planned := range []bool{false, true} {
		t.Run(fmt.Sprintf("planned=%t", planned), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, 3, 50*time.Millisecond)
				defer g.close()
				leader := g.leader()
				startedAt := time.Now()
				if planned {
					g.members[leader].TransferLeadership()
					time.Sleep(time.Millisecond)
				}
				g.stop(leader)
				next := g.leader()
				assert.NotEqual(t, leader, next)
				elapsed := time.Since(startedAt)
				t.Logf("a new leader after %v", elapsed)
				limit := 2 * time.Second
				if planned {
					limit = 200 * time.Millisecond
				}
				assert.Less(t, elapsed, limit)
			})
		})
	}
}

// The leader is partitioned from the others. Its reads and proposals must fail
// instead of returning stale results, and after the partition it must have the
// commands that the others committed meanwhile.
func TestPartitionedLeaderServesNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, 50*time.Millisecond)
		defer g.close()
		old := g.leader()
		require.NoError(t, g.propose(old, "before"))
		g.mu.Lock()
		g.partitioned[old] = true
		g.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := g.members[old].Read(ctx)
		require.Error(t, err)
		require.Error(t, g.propose(old, "lost"))
		next := g.leader()
		require.NoError(t, g.propose(next, "after"))
		g.mu.Lock()
		g.partitioned[old] = false
		g.mu.Unlock()
		for g.members[old].appliedCount() < g.members[next].appliedCount() {
			time.Sleep(50 * time.Millisecond)
		}
		assert.Equal(t, g.members[next].applied, g.members[old].applied)
		assert.NotContains(t, g.members[old].applied, "lost")
	})
}

// BenchmarkCommit measures the commits per second of concurrent proposers with
// synced logs. For comparison, plain-sync-loop only appends to a file and syncs it
// on the same disk.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{1, 3, 5} {
		for _, proposers := range []int{1, 64} {
			b.Run(fmt.Sprintf("members=%d/proposers=%d", size, proposers), func(b *testing.B) {
				benchmarkCommit(b, size, proposers)
			})
		}
	}
	b.Run("plain-sync-loop", func(b *testing.B) {
		f, err := os.CreateTemp(b.TempDir(), "plain")
		require.NoError(b, err)
		record := make([]byte, 200)
		for b.Loop() {
			_, err := f.Write(record)
			require.NoError(b, err)
			require.NoError(b, f.Sync())
		}
	})
}

func benchmarkCommit(b *testing.B, size, proposers int) {
	g := newGroup(b, size, 50*time.Millisecond)
	defer g.close()
	m := g.members[g.leader()]
	data := make([]byte, 200)
	work := make(chan struct{})
	var wg sync.WaitGroup
	for range proposers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range work {
				if _, _, err := m.Propose(context.Background(), data); err != nil {
					b.Error(err)
				}
			}
		}()
	}
	for b.Loop() {
		work <- struct{}{}
	}
	close(work)
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}
