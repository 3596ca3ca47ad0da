package ledger_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"fennelyard/internal/ledger"
	"fennelyard/internal/schema"
)

const start = 1_790_000_000_000

// fixture is a ledger to which a test applies commands in sequence.
type fixture struct {
	t      testing.TB
	ledger *ledger.Ledger
	index  uint64
	atMs   int64
}

func newFixture(t testing.TB) *fixture { return &fixture{t: t, ledger: ledger.New(), atMs: start} }

func (fx *fixture) apply(cmd *schema.Command) *schema.Result {
	fx.index++
	if cmd.GetAtMs() == 0 {
		cmd.AtMs = fx.atMs
	}
	data, err := proto.Marshal(cmd)
	require.NoError(fx.t, err)
	return fx.ledger.Apply(fx.index, data).(*schema.Result)
}

func (fx *fixture) status() ledger.Status {
	var status ledger.Status
	fx.ledger.View(func(current ledger.Status, _ *ledger.Records) { status = current })
	return status
}

func (fx *fixture) intent(id, operator string, base uint64, in *schema.Intent) *schema.Result {
	return fx.apply(&schema.Command{Id: id, Operator: operator, Body: &schema.Command_ApplyIntent{
		ApplyIntent: &schema.ApplyIntent{Base: base, Intent: in},
	}})
}

func (fx *fixture) decide(id, operator string, plan uint64, confirm bool) *schema.Result {
	return fx.apply(&schema.Command{Id: id, Operator: operator, Body: &schema.Command_DecidePlan{
		DecidePlan: &schema.DecidePlan{Plan: plan, Confirm: confirm},
	}})
}

func (fx *fixture) applyAndConfirm(in *schema.Intent) {
	fx.t.Helper()
	r := fx.intent(fmt.Sprintf("apply-%d", fx.index), "ann", fx.status().OperatorRevision, in)
	require.Equal(fx.t, schema.ResultCode_RESULT_CODE_OK, r.GetCode(), r.GetReason())
	r = fx.decide(fmt.Sprintf("confirm-%d", fx.index), "ann", r.GetPlan().GetNumber(), true)
	require.Equal(fx.t, schema.ResultCode_RESULT_CODE_OK, r.GetCode(), r.GetReason())
}

func (fx *fixture) server(name string, incarnation uint64, mib ...uint64) *schema.Result {
	return fx.apply(&schema.Command{Body: &schema.Command_PutServer{PutServer: &schema.PutServer{Server: &schema.Server{
		Name: name, Incarnation: incarnation, Kind: schema.ServerKind_SERVER_KIND_ENGINE, AcceleratorMib: mib, Address: "10.0.0.9:1",
	}}}})
}

func (fx *fixture) reserve(target, server string, incarnation uint64, accelerator uint32) *schema.Result {
	return fx.apply(&schema.Command{Body: &schema.Command_Reserve{Reserve: &schema.Reserve{
		Target: target, Server: server, Incarnation: incarnation, Accelerator: accelerator,
	}}})
}

func (fx *fixture) move(number, fencing uint64, m schema.ReservationMove) *schema.Result {
	return fx.apply(&schema.Command{Body: &schema.Command_MoveReservation{MoveReservation: &schema.MoveReservation{
		Number: number, Fencing: fencing, Move: m,
	}}})
}

func (fx *fixture) claim(key, body, entry string, attempt uint64) *schema.Result {
	return fx.apply(&schema.Command{Body: &schema.Command_ClaimRequest{ClaimRequest: &schema.ClaimRequest{
		Customer: "c", Key: key, Digest: []byte(body), Entry: entry, Attempt: attempt, DeadlineMs: fx.atMs + 1000,
	}}})
}

func (fx *fixture) settle(key string, number uint64, o schema.ClaimOutcome, a *schema.Answer) *schema.Result {
	return fx.apply(&schema.Command{Body: &schema.Command_SettleClaim{SettleClaim: &schema.SettleClaim{
		Customer: "c", Key: key, Number: number, Outcome: o, Answer: a,
	}}})
}

func modelIntent(name string, mib uint64, minReplicas, maxReplicas uint32) *schema.ModelIntent {
	return &schema.ModelIntent{
		Name: name, Version: "1", MemoryMib: mib, MinReplicas: minReplicas, MaxReplicas: maxReplicas,
		ColdStart: durationpb.New(time.Second),
	}
}

func intentOf(name string, models ...*schema.ModelIntent) *schema.Intent {
	return &schema.Intent{Name: name, Customer: &schema.CustomerIntent{Name: "c"}, Models: models}
}

func ok(t testing.TB, r *schema.Result) {
	t.Helper()
	require.Equal(t, schema.ResultCode_RESULT_CODE_OK, r.GetCode(), r.GetReason())
}

func refused(t testing.TB, code schema.ResultCode, r *schema.Result) {
	t.Helper()
	require.Equal(t, code, r.GetCode(), r.GetReason())
}

// TestOperatorsRaceUnderOneRevision: two operators read revision R and both send a command
// based on it. The first must be accepted; the second must be refused with the name of the
// first, and nothing of it may be in force.
func TestOperatorsRaceUnderOneRevision(t *testing.T) {
	fx := newFixture(t)
	base := fx.status().OperatorRevision
	ok(t, fx.intent("1", "ann", base, intentOf("a", modelIntent("m", 10, 0, 1))))
	r := fx.intent("2", "bob", base, intentOf("b", modelIntent("n", 10, 0, 1)))
	refused(t, schema.ResultCode_RESULT_CODE_STALE, r)
	assert.Contains(t, r.GetReason(), `command "1" of operator "ann"`)
	assert.Nil(t, r.GetPlan())
}

// TestResentCommandGetsItsFirstAnswer: an operator loses the response and sends the command
// again, after later commands and after a restart from a snapshot. If it were applied
// again, it would confirm twice or be refused although it was accepted.
func TestResentCommandGetsItsFirstAnswer(t *testing.T) {
	fx := newFixture(t)
	in := intentOf("a", modelIntent("m", 10, 0, 1))
	first := fx.intent("1", "ann", 0, in)
	ok(t, first)
	ok(t, fx.decide("2", "ann", first.GetPlan().GetNumber(), true))
	again := fx.intent("1", "ann", 0, in)
	assert.True(t, proto.Equal(first, again), "%v", again)

	data, err := fx.ledger.Snapshot()
	require.NoError(t, err)
	fx.ledger = ledger.New()
	require.NoError(t, fx.ledger.Restore(data))
	again = fx.intent("1", "ann", 0, in)
	assert.True(t, proto.Equal(first, again), "after a snapshot: %v", again)
	r := fx.intent("1", "bob", 0, in)
	refused(t, schema.ResultCode_RESULT_CODE_ID_REUSED, r)
	assert.Contains(t, r.GetReason(), `"ann"`)
}

// TestPlanOfAnOutdatedConfiguration: a plan is confirmed after another plan changed the
// configuration that it was computed from. The confirmation must be refused with the reason
// and a new plan, which can be confirmed.
func TestPlanOfAnOutdatedConfiguration(t *testing.T) {
	fx := newFixture(t)
	p := fx.intent("1", "ann", 0, intentOf("a", modelIntent("m", 10, 0, 1)))
	q := fx.intent("2", "bob", fx.status().OperatorRevision, intentOf("b", modelIntent("n", 10, 0, 1)))
	ok(t, fx.decide("3", "bob", q.GetPlan().GetNumber(), true))
	r := fx.decide("4", "ann", p.GetPlan().GetNumber(), true)
	refused(t, schema.ResultCode_RESULT_CODE_STALE, r)
	assert.Contains(t, r.GetReason(), `command "3" of operator "bob"`)
	require.NotNil(t, r.GetPlan())
	ok(t, fx.decide("5", "ann", r.GetPlan().GetNumber(), true))
	refused(t, schema.ResultCode_RESULT_CODE_STALE, fx.decide("6", "bob", r.GetPlan().GetNumber(), false))
}

func TestIntentFaults(t *testing.T) {
	for _, c := range []struct {
		name, wantReason string
		in               *schema.Intent
	}{
		{"no targets", "names no model", intentOf("a")},
		{"no name", "intent name is missing", intentOf("", modelIntent("m", 1, 0, 1))},
		{"slash in a name", "without spaces and slashes", intentOf("a", modelIntent("m/n", 1, 0, 1))},
		{"twice", "named twice", intentOf("a", modelIntent("m", 1, 0, 1), modelIntent("m", 1, 0, 1))},
		{"bounds crossed", "above max-replicas", intentOf("a", modelIntent("m", 1, 2, 1))},
		{"never served", "max-replicas 0", intentOf("a", modelIntent("m", 1, 0, 0))},
		{"no memory", "memory-mib", intentOf("a", modelIntent("m", 0, 0, 1))},
		{"too large", "largest accelerator", intentOf("a", modelIntent("m", 1000, 0, 1))},
		{"unknown base", "is not a model", &schema.Intent{
			Name: "a", Customer: &schema.CustomerIntent{Name: "c"},
			Adapters: []*schema.AdapterIntent{{Name: "x", Base: "y", Version: "1", MemoryMib: 1, MaxReplicas: 1}},
		}},
		{"defined differently", "by another intent", intentOf("other", modelIntent("known", 20, 0, 1))},
	} {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t)
			ok(t, fx.server("e", 1, 100))
			fx.applyAndConfirm(intentOf("first", modelIntent("known", 10, 0, 1)))
			r := fx.intent("x", "ann", fx.status().OperatorRevision, c.in)
			refused(t, schema.ResultCode_RESULT_CODE_INVALID, r)
			assert.Contains(t, r.GetReason(), c.wantReason)
		})
	}
}

func TestReplacedIntentRemovesWhatItNoLongerNames(t *testing.T) {
	fx := newFixture(t)
	fx.applyAndConfirm(intentOf("a", modelIntent("m", 10, 0, 1), modelIntent("shared", 10, 0, 1)))
	fx.applyAndConfirm(intentOf("b", modelIntent("shared", 10, 0, 1)))
	fx.applyAndConfirm(intentOf("a", modelIntent("n", 10, 0, 1)))
	fx.ledger.View(func(_ ledger.Status, r *ledger.Records) {
		assert.Nil(t, r.Model("m"))
		assert.False(t, r.Reaches("c", "m"))
		assert.NotNil(t, r.Model("n"))
		assert.NotNil(t, r.Model("shared"), "intent b still names it")
		assert.True(t, r.Reaches("c", "shared"))
	})
}

// TestReservationsBeforeOrders: a reservation counts until its release is proved, and a
// late message of a former leader with an older fencing number changes nothing.
func TestReservationsBeforeOrders(t *testing.T) {
	fx := newFixture(t)
	ok(t, fx.server("e", 1, 100, 100))
	fx.applyAndConfirm(intentOf("a", modelIntent("m", 60, 0, 1), modelIntent("n", 60, 0, 2)))
	first := fx.reserve("m", "e", 1, 0)
	ok(t, first)
	res := first.GetReservation()
	refused(t, schema.ResultCode_RESULT_CODE_OVER_BOUND, fx.reserve("m", "e", 1, 1))
	refused(t, schema.ResultCode_RESULT_CODE_OVER_BOUND, fx.reserve("n", "e", 1, 0))

	next := fx.move(res.GetNumber(), res.GetFencing(), schema.ReservationMove_RESERVATION_MOVE_REORDERED)
	ok(t, next)
	refused(t, schema.ResultCode_RESULT_CODE_STALE, fx.move(res.GetNumber(), res.GetFencing(), schema.ReservationMove_RESERVATION_MOVE_RELEASED))
	fencing := next.GetReservation().GetFencing()
	ok(t, fx.move(res.GetNumber(), fencing, schema.ReservationMove_RESERVATION_MOVE_LOADED))
	refused(t, schema.ResultCode_RESULT_CODE_INVALID, fx.move(res.GetNumber(), fencing, schema.ReservationMove_RESERVATION_MOVE_RELEASED))

	ok(t, fx.server("e", 2, 100, 100))
	fx.ledger.View(func(_ ledger.Status, r *ledger.Records) {
		assert.Empty(t, r.Reservations(), "a new incarnation has no reservations")
	})
	refused(t, schema.ResultCode_RESULT_CODE_STALE, fx.server("e", 1, 100))
	refused(t, schema.ResultCode_RESULT_CODE_STALE, fx.reserve("m", "e", 1, 0))
}

// TestOrderThatMayHaveReachedTheNextIncarnation: an engine restarts while its load order is
// being resent. The order may have reached the new process before its announcement was
// recorded. Its replica must count there until an unload proves that it is gone.
func TestOrderThatMayHaveReachedTheNextIncarnation(t *testing.T) {
	fx := newFixture(t)
	ok(t, fx.server("e", 1, 100))
	fx.applyAndConfirm(intentOf("a", modelIntent("m", 60, 0, 1)))
	res := fx.reserve("m", "e", 1, 0).GetReservation()
	ok(t, fx.server("e", 2, 100))
	var transferred *schema.Reservation
	fx.ledger.View(func(_ ledger.Status, r *ledger.Records) { transferred = r.Reservation(res.GetNumber()) })
	require.NotNil(t, transferred)
	assert.EqualValues(t, 2, transferred.GetIncarnation())
	assert.Equal(t, schema.ReservationState_RESERVATION_STATE_UNLOADING, transferred.GetState())
	refused(t, schema.ResultCode_RESULT_CODE_STALE, fx.move(res.GetNumber(), res.GetFencing(), schema.ReservationMove_RESERVATION_MOVE_LOADED))
	refused(t, schema.ResultCode_RESULT_CODE_OVER_BOUND, fx.reserve("m", "e", 2, 0))
	ok(t, fx.move(res.GetNumber(), transferred.GetFencing(), schema.ReservationMove_RESERVATION_MOVE_RELEASED))
	ok(t, fx.reserve("m", "e", 2, 0))
}

func TestReplicasOfALostServerCountUntilAnOperatorForgetsIt(t *testing.T) {
	fx := newFixture(t)
	ok(t, fx.server("e", 1, 100))
	ok(t, fx.server("f", 1, 100))
	fx.applyAndConfirm(intentOf("a", modelIntent("m", 60, 0, 1)))
	ok(t, fx.reserve("m", "e", 1, 0))
	forget := func(id string) *schema.Result {
		return fx.apply(&schema.Command{Id: id, Operator: "ann", Body: &schema.Command_ForgetServer{
			ForgetServer: &schema.ForgetServer{Name: "e", Incarnation: 1},
		}})
	}
	refused(t, schema.ResultCode_RESULT_CODE_INVALID, forget("1"))
	ok(t, fx.apply(&schema.Command{Body: &schema.Command_PutServer{PutServer: &schema.PutServer{
		Server: &schema.Server{Name: "e", Incarnation: 1, AcceleratorMib: []uint64{100}, Lost: true},
	}}}))
	refused(t, schema.ResultCode_RESULT_CODE_OVER_BOUND, fx.reserve("m", "f", 1, 0))
	ok(t, forget("2"))
	ok(t, fx.reserve("m", "f", 1, 0))
}

// TestOneRunPerKey: a booking arrives at two entries, is sent again after its response,
// after the end of its entry and after a snapshot. Only the first arrival may run, and
// every other one must get the state of that run.
func TestOneRunPerKey(t *testing.T) {
	fx := newFixture(t)
	first := fx.claim("k", "body", "a", 1)
	ok(t, first)
	assert.True(t, proto.Equal(first.GetClaim(), fx.claim("k", "body", "a", 1).GetClaim()), "the same attempt, resent")
	other := fx.claim("k", "body", "b", 2)
	refused(t, schema.ResultCode_RESULT_CODE_CLAIMED, other)
	assert.Equal(t, schema.ClaimState_CLAIM_STATE_RUNNING, other.GetClaim().GetState())
	refused(t, schema.ResultCode_RESULT_CODE_KEY_REUSED, fx.claim("k", "another body", "b", 3))

	number := first.GetClaim().GetNumber()
	refused(t, schema.ResultCode_RESULT_CODE_NOT_FOUND, fx.settle("k", number+1, schema.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, nil))
	ok(t, fx.settle("k", number, schema.ClaimOutcome_CLAIM_OUTCOME_DONE, &schema.Answer{Status: 200, Body: []byte("yes")}))
	data, err := fx.ledger.Snapshot()
	require.NoError(t, err)
	require.NoError(t, fx.ledger.Restore(data))
	repeated := fx.claim("k", "body", "c", 4)
	refused(t, schema.ResultCode_RESULT_CODE_CLAIMED, repeated)
	assert.Equal(t, "yes", string(repeated.GetClaim().GetAnswer().GetBody()))

	// The entry that runs "d" ends: its claim becomes unknown, never free.
	ok(t, fx.claim("d", "body", "a", 5))
	fx.atMs += 12_000
	unknown := fx.claim("d", "body", "b", 6)
	refused(t, schema.ResultCode_RESULT_CODE_CLAIMED, unknown)
	assert.Equal(t, schema.ClaimState_CLAIM_STATE_UNKNOWN, unknown.GetClaim().GetState())

	// A proof that a run did not happen frees its key.
	ok(t, fx.claim("e", "body", "a", 7))
	again := fx.claim("e", "body", "a", 7)
	ok(t, fx.settle("e", again.GetClaim().GetNumber(), schema.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, nil))
	ok(t, fx.claim("e", "body", "b", 8))

	fx.atMs += ledger.ClaimRetention.Milliseconds() + 1
	ok(t, fx.claim("k", "body", "a", 9))
}

func TestLargeAnswersAreNotStored(t *testing.T) {
	fx := newFixture(t)
	number := fx.claim("k", "body", "a", 1).GetClaim().GetNumber()
	ok(t, fx.settle("k", number, schema.ClaimOutcome_CLAIM_OUTCOME_DONE,
		&schema.Answer{Status: 200, Body: make([]byte, ledger.MaxAnswerBytes+1)}))
	a := fx.claim("k", "body", "a", 2).GetClaim().GetAnswer()
	assert.True(t, a.GetOmitted())
	assert.Empty(t, a.GetBody())
}

// TestStoredAnswersAreBounded fills the stored bodies beyond their limit. The oldest body
// must be dropped, but its key must still show that the request ran.
func TestStoredAnswersAreBounded(t *testing.T) {
	fx := newFixture(t)
	for i := range ledger.MaxTotalAnswerBytes/ledger.MaxAnswerBytes + 1 {
		key := fmt.Sprint("k", i)
		number := fx.claim(key, "body", "a", 1).GetClaim().GetNumber()
		ok(t, fx.settle(key, number, schema.ClaimOutcome_CLAIM_OUTCOME_DONE, &schema.Answer{Status: 200, Body: make([]byte, ledger.MaxAnswerBytes)}))
	}
	first := fx.claim("k0", "body", "a", 2)
	refused(t, schema.ResultCode_RESULT_CODE_CLAIMED, first)
	assert.Equal(t, schema.ClaimState_CLAIM_STATE_DONE, first.GetClaim().GetState())
	assert.True(t, first.GetClaim().GetAnswer().GetOmitted())
	assert.False(t, fx.claim("k1", "body", "a", 2).GetClaim().GetAnswer().GetOmitted())
}

// TestRandomCommands checks invariants after random commands: memory and bounds are never
// exceeded, a restored copy behaves like the original, and a follower by revision ends with
// the same records.
func TestRandomCommands(t *testing.T) {
	for seed := range int64(40) {
		random := rand.New(rand.NewSource(seed))
		fx := newFixture(t)
		follower := ledger.NewReplica()
		for step := range 300 {
			randomCommand(fx, random)
			checkBounds(t, fx, seed, step)
			if random.Intn(20) == 0 {
				data, err := fx.ledger.Snapshot()
				require.NoError(t, err)
				copied := ledger.New()
				require.NoError(t, copied.Restore(data))
				again, err := copied.Snapshot()
				require.NoError(t, err)
				require.Equal(t, data, again, "seed %d step %d", seed, step)
				fx.ledger = copied
			}
			if random.Intn(10) == 0 {
				follower.Apply(fx.ledger.Since(follower.Revision()))
			}
		}
		follower.Apply(fx.ledger.Since(follower.Revision()))
		fx.ledger.View(func(_ ledger.Status, r *ledger.Records) {
			follower.View(func(f *ledger.Records) {
				require.Equal(t, r.Len(), f.Len(), "seed %d", seed)
				for _, rec := range r.All() {
					require.True(t, proto.Equal(rec, f.Record(rec.GetKey())), "seed %d: %s", seed, rec.GetKey())
				}
			})
		})
	}
}

func randomCommand(fx *fixture, random *rand.Rand) {
	server := fmt.Sprintf("e%d", random.Intn(3))
	target := fmt.Sprintf("m%d", random.Intn(4))
	var reservations []*schema.Reservation
	var incarnation uint64
	fx.ledger.View(func(_ ledger.Status, r *ledger.Records) {
		reservations = r.Reservations()
		incarnation = r.Server(server).GetIncarnation()
	})
	fx.atMs += int64(random.Intn(2000))
	switch random.Intn(10) {
	case 0:
		fx.server(server, incarnation+uint64(random.Intn(2)), 100, 80)
	case 1:
		in := intentOf(fmt.Sprintf("i%d", random.Intn(2)))
		for i := range 4 {
			if random.Intn(2) == 0 {
				in.Models = append(in.Models, modelIntent(fmt.Sprintf("m%d", i), uint64(30+10*i), 0, uint32(1+random.Intn(2))))
			}
		}
		r := fx.intent(fmt.Sprint("c", fx.index), "ann", fx.status().OperatorRevision, in)
		if r.GetPlan() != nil {
			fx.decide(fmt.Sprint("d", fx.index), "bob", r.GetPlan().GetNumber(), random.Intn(4) > 0)
		}
	case 2, 3, 4:
		fx.reserve(target, server, incarnation, uint32(random.Intn(2)))
	case 5, 6, 7:
		if len(reservations) > 0 {
			r := reservations[random.Intn(len(reservations))]
			fx.move(r.GetNumber(), r.GetFencing()-uint64(random.Intn(2)), schema.ReservationMove(1+random.Intn(4)))
		}
	case 8:
		fx.claim(fmt.Sprint("k", random.Intn(5)), "body", "a", random.Uint64())
	case 9:
		fx.settle(fmt.Sprint("k", random.Intn(5)), uint64(random.Intn(40)), schema.ClaimOutcome(1+random.Intn(3)), nil)
	}
}

func checkBounds(t *testing.T, fx *fixture, seed int64, step int) {
	t.Helper()
	fx.ledger.View(func(_ ledger.Status, r *ledger.Records) {
		for _, s := range r.Servers() {
			outstanding := map[uint32]int{}
			for _, res := range r.ReservationsOnServer(s.GetName()) {
				require.Equal(t, s.GetIncarnation(), res.GetIncarnation(), "seed %d step %d", seed, step)
				if res.GetState() != schema.ReservationState_RESERVATION_STATE_LOADED {
					outstanding[res.GetAccelerator()]++
				}
			}
			for i, mib := range s.GetAcceleratorMib() {
				require.LessOrEqual(t, r.UsedMiB(s.GetName(), uint32(i)), mib, "seed %d step %d", seed, step)
				require.LessOrEqual(t, outstanding[uint32(i)], 1, "seed %d step %d: one order at a time", seed, step)
			}
		}
	})
}

// TestFollowerNeverRegresses: a follower receives changes from a member that lags behind
// the one it followed before.
func TestFollowerNeverRegresses(t *testing.T) {
	fx := newFixture(t)
	fx.applyAndConfirm(intentOf("a", modelIntent("m", 10, 0, 1)))
	old := fx.ledger.Since(0)
	fx.applyAndConfirm(intentOf("a", modelIntent("m", 20, 0, 1)))
	f := ledger.NewReplica()
	f.Apply(fx.ledger.Since(0))
	revision := f.Revision()
	f.Apply(old)
	assert.Equal(t, revision, f.Revision())
	f.View(func(r *ledger.Records) { assert.EqualValues(t, 20, r.Model("m").GetMemoryMib()) })
}

// TestStateAtFullSize sends 100 models and 15,000 adapters to a follower without records.
func TestStateAtFullSize(t *testing.T) {
	fx := newFixture(t)
	fx.applyAndConfirm(fullIntent(100, 15000))
	f := ledger.NewReplica()
	f.Apply(fx.ledger.Since(0))
	f.View(func(r *ledger.Records) { assert.Len(t, r.Models(), 15100) })
	data, err := fx.ledger.Snapshot()
	require.NoError(t, err)
	require.NoError(t, ledger.New().Restore(data))
}

func fullIntent(models, adapters int) *schema.Intent {
	in := intentOf("full")
	for i := range models {
		in.Models = append(in.Models, modelIntent(fmt.Sprintf("model-%03d", i), 16384, 0, 4))
	}
	for i := range adapters {
		in.Adapters = append(in.Adapters, &schema.AdapterIntent{
			Name: fmt.Sprintf("adapter-%05d", i), Base: fmt.Sprintf("model-%03d", i%models), Version: "1", MemoryMib: 128, MaxReplicas: 2,
		})
	}
	return in
}

func FuzzApply(f *testing.F) {
	data, err := proto.Marshal(&schema.Command{Id: "1", Body: &schema.Command_Reserve{Reserve: &schema.Reserve{Target: "m"}}})
	require.NoError(f, err)
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		// Apply must return for any data from a peer or a disk.
		l := ledger.New()
		l.Apply(1, data)
		_ = ledger.New().Restore(data)
	})
}

// A leader that is not up to date names another holder of an engine's orders than the
// recorded one, or none. Its change must be ignored: otherwise two hosts would send the
// engine orders within one lease.
func TestOrderHoldersChangeOnlyFromTheRecordedOne(t *testing.T) {
	fx := newFixture(t)
	change := func(from, to string, forgotten ...string) {
		fx.apply(&schema.Command{Body: &schema.Command_AssignOrderHolders{AssignOrderHolders: &schema.AssignOrderHolders{
			Changes: []*schema.HolderChange{{From: from, Holder: &schema.OrderHolder{Server: "s", Host: to}}}, Forgotten: forgotten,
		}}})
	}
	holder := func() (host string) {
		fx.ledger.View(func(_ ledger.Status, r *ledger.Records) { host = r.OrderHolder("s").GetHost() })
		return host
	}
	change("", "a")
	change("", "b")
	assert.Equal(t, "a", holder())
	change("b", "c")
	assert.Equal(t, "a", holder())
	change("a", "b")
	assert.Equal(t, "b", holder())
	change("x", "y", "s")
	assert.Empty(t, holder())
}
