package control_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/consensus"
	"fennelyard/internal/ledger"
	"fennelyard/internal/schema"
)

var (
	schedules = flag.Int("schedules", 4, "fault schedules to try")
	firstSeed = flag.Int64("first-seed", 1, "seed of the first schedule")
)

// testGroup is a control group of three members with ledgers and real storages on a
// simulated network that can lose messages and partition members.
type testGroup struct {
	t           *testing.T
	mu          sync.Mutex
	members     map[uint64]*consensus.Member
	partitioned map[uint64]bool
	random      *rand.Rand
	lossRate    float64
}

func newTestGroup(t *testing.T, seed int64) *testGroup {
	g := &testGroup{t: t, members: map[uint64]*consensus.Member{}, partitioned: map[uint64]bool{}, random: rand.New(rand.NewSource(seed))}
	membership := &schema.Membership{Members: []*schema.Member{{Id: 1, Host: "a"}, {Id: 2, Host: "b"}, {Id: 3, Host: "c"}}}
	for _, m := range membership.GetMembers() {
		id := m.GetId()
		s, err := consensus.OpenStorage(consensus.StorageConfig{Folder: t.TempDir(), Group: 1, NewID: func() uint64 { return id }})
		require.NoError(t, err)
		t.Cleanup(func() { _ = s.Close() })
		require.NoError(t, s.Bootstrap(membership))
		l := ledger.New()
		random := rand.New(rand.NewSource(seed + int64(id)))
		member, err := consensus.NewMember(consensus.MemberConfig{
			Group: 1, Storage: s, Tick: 50 * time.Millisecond, SnapshotAfter: 20, Random: random.Intn,
			StateMachine: consensus.StateMachine{Apply: l.Apply, Advance: l.Advance, Snapshot: l.Snapshot, Restore: l.Restore},
			Send: func(to *schema.Member, messages []*schema.ConsensusMessage) {
				g.send(id, to.GetId(), messages)
			},
		})
		require.NoError(t, err)
		g.mu.Lock()
		g.members[id] = member
		g.mu.Unlock()
	}
	return g
}

func (g *testGroup) send(from, to uint64, messages []*schema.ConsensusMessage) {
	g.mu.Lock()
	m, lost := g.members[to], g.partitioned[from] || g.partitioned[to] || g.random.Float64() < g.lossRate
	g.mu.Unlock()
	if m == nil || lost {
		return
	}
	for _, msg := range messages {
		m.Step(msg)
	}
}

type intentInput struct {
	base uint64
}

type intentOutput struct {
	// known is false if the operator received no reply.
	known    bool
	accepted bool
	revision uint64
}

// revisionModel models the operators' revision: a command based on the current
// revision is accepted and advances it, any other command is refused.
var revisionModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(uint64), input.(intentInput), output.(intentOutput)
		switch {
		case out.accepted:
			return in.base == current && out.revision > current, out.revision
		default:
			return in.base != current, current
		}
	},
}

// Four operators send commands based on the last known revision to the current
// leader, while members are partitioned and messages are lost. Commands without a
// reply are sent again under the same id. All replies must be consistent with one
// order of commands.
func TestOperatorCommandsAreLinearizable(t *testing.T) {
	for i := range *schedules {
		synctest.Test(t, func(t *testing.T) {
			g := newTestGroup(t, *firstSeed+int64(i))
			defer func() {
				for _, m := range g.members {
					m.Stop()
				}
			}()
			var mu sync.Mutex
			var history []porcupine.Operation
			known := uint64(0)
			accepted := 0
			var wg sync.WaitGroup
			for operator := range 4 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for n := range 12 {
						mu.Lock()
						base := known
						mu.Unlock()
						call := time.Now().UnixNano()
						out := g.apply(fmt.Sprintf("%d-%d", operator, n), base)
						mu.Lock()
						assert.True(t, out.known, "a repeated command gets a reply")
						history = append(history, porcupine.Operation{
							ClientId: operator, Input: intentInput{base}, Output: out, Call: call, Return: time.Now().UnixNano(),
						})
						if out.accepted {
							accepted++
							known = max(known, out.revision)
						}
						mu.Unlock()
						time.Sleep(time.Duration(operator+1) * 70 * time.Millisecond)
					}
				}()
			}
			stop := make(chan struct{})
			faultsDone := make(chan struct{})
			go func() {
				defer close(faultsDone)
				g.injectFaults(stop)
			}()
			wg.Wait()
			close(stop)
			<-faultsDone
			assert.True(t, porcupine.CheckOperations(revisionModel, history), "seed %d", *firstSeed+int64(i))
			assert.Positive(t, accepted)
			t.Logf("seed %d: %d commands, %d accepted", *firstSeed+int64(i), len(history), accepted)
		})
	}
}

// injectFaults repeatedly partitions a random member for a while.
func (g *testGroup) injectFaults(stop <-chan struct{}) {
	for {
		g.mu.Lock()
		member := uint64(1 + g.random.Intn(3))
		g.partitioned[member] = true
		g.lossRate = 0.05
		g.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		g.mu.Lock()
		g.partitioned[member] = false
		g.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Second):
		}
	}
}

// apply sends one command repeatedly until its outcome is known.
func (g *testGroup) apply(id string, base uint64) intentOutput {
	cmd := &schema.Command{Id: id, Operator: "ann", Body: &schema.Command_ApplyIntent{ApplyIntent: &schema.ApplyIntent{
		Base: base, Intent: &schema.Intent{
			Name: "a", Customer: &schema.CustomerIntent{Name: "c"},
			Models: []*schema.ModelIntent{{Name: "m", Version: "1", MemoryMib: 1, MaxReplicas: 1}},
		},
	}}}
	data, err := proto.Marshal(cmd)
	require.NoError(g.t, err)
	for range 60 {
		for member := uint64(1); member <= 3; member++ {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			result, _, err := g.members[member].Propose(ctx, data)
			cancel()
			if err == nil {
				r := result.(*schema.Result)
				return intentOutput{known: true, accepted: r.GetCode() == schema.ResultCode_RESULT_CODE_OK, revision: r.GetRevision()}
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return intentOutput{}
}
