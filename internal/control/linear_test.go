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

// triple is a control group of three members with ledgers behind them, on real
// storages, over a network that a test can cut.
type triple struct {
	t       *testing.T
	mu      sync.Mutex
	members map[uint64]*consensus.Member
	cut     map[uint64]bool
	random  *rand.Rand
	loss    float64
}

func newTriple(t *testing.T, seed int64) *triple {
	g := &triple{t: t, members: map[uint64]*consensus.Member{}, cut: map[uint64]bool{}, random: rand.New(rand.NewSource(seed))}
	first := &schema.Membership{Members: []*schema.Member{{Id: 1, Host: "a"}, {Id: 2, Host: "b"}, {Id: 3, Host: "c"}}}
	for _, m := range first.GetMembers() {
		id := m.GetId()
		s, err := consensus.OpenStorage(consensus.StorageConfig{Folder: t.TempDir(), Group: 1, NewID: func() uint64 { return id }})
		require.NoError(t, err)
		t.Cleanup(func() { _ = s.Close() })
		require.NoError(t, s.Bootstrap(first))
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

func (g *triple) send(from, to uint64, messages []*schema.ConsensusMessage) {
	g.mu.Lock()
	m, lost := g.members[to], g.cut[from] || g.cut[to] || g.random.Float64() < g.loss
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
	// known is false when the operator gave up without an answer.
	known    bool
	accepted bool
	revision uint64
}

// baseModel is the operators' revision: a command based on it moves it, one
// based on another number does not.
var baseModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		now, in, out := state.(uint64), input.(intentInput), output.(intentOutput)
		switch {
		case out.accepted:
			return in.base == now && out.revision > now, out.revision
		default:
			return in.base != now, now
		}
	},
}

// TestOperatorsCommandsAreLinearizable: four operators read the revision that
// they know of and send commands based on it to whoever leads, while leaders are
// cut off and messages lost; commands without an answer are sent again under
// their id. Whatever each of them was told must fit into one order of commands.
func TestOperatorsCommandsAreLinearizable(t *testing.T) {
	for i := range *schedules {
		synctest.Test(t, func(t *testing.T) {
			g := newTriple(t, *firstSeed+int64(i))
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
						assert.True(t, out.known, "a command that is sent again gets its answer")
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
			quiet := make(chan struct{})
			go func() {
				defer close(quiet)
				g.trouble(stop)
			}()
			wg.Wait()
			close(stop)
			<-quiet
			assert.True(t, porcupine.CheckOperations(baseModel, history), "seed %d", *firstSeed+int64(i))
			assert.Positive(t, accepted)
			t.Logf("seed %d: %d commands, %d accepted", *firstSeed+int64(i), len(history), accepted)
		})
	}
}

// trouble cuts off a member for a while, again and again.
func (g *triple) trouble(stop <-chan struct{}) {
	for {
		g.mu.Lock()
		victim := uint64(1 + g.random.Intn(3))
		g.cut[victim] = true
		g.loss = 0.05
		g.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		g.mu.Lock()
		g.cut[victim] = false
		g.mu.Unlock()
		select {
		case <-stop:
			return
		case <-time.After(2 * time.Second):
		}
	}
}

// apply sends one command, again and again, until its outcome is known.
func (g *triple) apply(id string, base uint64) intentOutput {
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
