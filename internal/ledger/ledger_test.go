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

// book drives a ledger with one command after another.
type book struct {
	t     testing.TB
	l     *ledger.Ledger
	index uint64
	atMs  int64
}

func newBook(t testing.TB) *book { return &book{t: t, l: ledger.New(), atMs: start} }

func (b *book) apply(cmd *schema.Command) *schema.Result {
	b.index++
	if cmd.GetAtMs() == 0 {
		cmd.AtMs = b.atMs
	}
	data, err := proto.Marshal(cmd)
	require.NoError(b.t, err)
	return b.l.Apply(b.index, data).(*schema.Result)
}

func (b *book) heads() ledger.Status {
	var h ledger.Status
	b.l.View(func(x ledger.Status, _ *ledger.Records) { h = x })
	return h
}

func (b *book) intent(id, operator string, base uint64, in *schema.Intent) *schema.Result {
	return b.apply(&schema.Command{Id: id, Operator: operator, Body: &schema.Command_ApplyIntent{
		ApplyIntent: &schema.ApplyIntent{Base: base, Intent: in},
	}})
}

func (b *book) decide(id, operator string, plan uint64, confirm bool) *schema.Result {
	return b.apply(&schema.Command{Id: id, Operator: operator, Body: &schema.Command_DecidePlan{
		DecidePlan: &schema.DecidePlan{Plan: plan, Confirm: confirm},
	}})
}

func (b *book) force(in *schema.Intent) {
	b.t.Helper()
	r := b.intent(fmt.Sprintf("apply-%d", b.index), "ann", b.heads().OperatorRevision, in)
	require.Equal(b.t, schema.ResultCode_RESULT_CODE_OK, r.GetCode(), r.GetReason())
	r = b.decide(fmt.Sprintf("confirm-%d", b.index), "ann", r.GetPlan().GetNumber(), true)
	require.Equal(b.t, schema.ResultCode_RESULT_CODE_OK, r.GetCode(), r.GetReason())
}

func (b *book) server(name string, incarnation uint64, mib ...uint64) *schema.Result {
	return b.apply(&schema.Command{Body: &schema.Command_PutServer{PutServer: &schema.PutServer{Server: &schema.Server{
		Name: name, Incarnation: incarnation, Kind: schema.ServerKind_SERVER_KIND_ENGINE, AcceleratorMib: mib, Address: "10.0.0.9:1",
	}}}})
}

func (b *book) reserve(target, server string, incarnation uint64, accelerator uint32) *schema.Result {
	return b.apply(&schema.Command{Body: &schema.Command_Reserve{Reserve: &schema.Reserve{
		Target: target, Server: server, Incarnation: incarnation, Accelerator: accelerator,
	}}})
}

func (b *book) move(number, fencing uint64, m schema.ReservationMove) *schema.Result {
	return b.apply(&schema.Command{Body: &schema.Command_MoveReservation{MoveReservation: &schema.MoveReservation{
		Number: number, Fencing: fencing, Move: m,
	}}})
}

func (b *book) claim(key, body, entry string, attempt uint64) *schema.Result {
	return b.apply(&schema.Command{Body: &schema.Command_ClaimRequest{ClaimRequest: &schema.ClaimRequest{
		Customer: "c", Key: key, Digest: []byte(body), Entry: entry, Attempt: attempt, DeadlineMs: b.atMs + 1000,
	}}})
}

func (b *book) settle(key string, number uint64, o schema.ClaimOutcome, a *schema.Answer) *schema.Result {
	return b.apply(&schema.Command{Body: &schema.Command_SettleClaim{SettleClaim: &schema.SettleClaim{
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

// TestOperatorsRaceUnderOneRevision: two operators read revision R and both
// send a command based on it. The first one is accepted; the second is told
// whose command came first, and nothing of its own is in force.
func TestOperatorsRaceUnderOneRevision(t *testing.T) {
	b := newBook(t)
	base := b.heads().OperatorRevision
	ok(t, b.intent("1", "ann", base, intentOf("a", modelIntent("m", 10, 0, 1))))
	r := b.intent("2", "bob", base, intentOf("b", modelIntent("n", 10, 0, 1)))
	refused(t, schema.ResultCode_RESULT_CODE_STALE, r)
	assert.Contains(t, r.GetReason(), `command "1" of operator "ann"`)
	assert.Nil(t, r.GetPlan())
}

// TestResentCommandGetsItsFirstAnswer: an operator loses the answer and sends
// again, after others have moved on and after a restart from a snapshot. A
// second application would confirm twice or refuse what was accepted.
func TestResentCommandGetsItsFirstAnswer(t *testing.T) {
	b := newBook(t)
	in := intentOf("a", modelIntent("m", 10, 0, 1))
	first := b.intent("1", "ann", 0, in)
	ok(t, first)
	ok(t, b.decide("2", "ann", first.GetPlan().GetNumber(), true))
	again := b.intent("1", "ann", 0, in)
	assert.True(t, proto.Equal(first, again), "%v", again)

	data, err := b.l.Snapshot()
	require.NoError(t, err)
	b.l = ledger.New()
	require.NoError(t, b.l.Restore(data))
	again = b.intent("1", "ann", 0, in)
	assert.True(t, proto.Equal(first, again), "after a snapshot: %v", again)
	r := b.intent("1", "bob", 0, in)
	refused(t, schema.ResultCode_RESULT_CODE_ID_REUSED, r)
	assert.Contains(t, r.GetReason(), `"ann"`)
}

// TestPlanWhoseGroundMoved: a plan is confirmed after another one changed the
// configuration that it was computed from. The confirmation is refused with the
// reason and a new plan, which can be confirmed.
func TestPlanWhoseGroundMoved(t *testing.T) {
	b := newBook(t)
	p := b.intent("1", "ann", 0, intentOf("a", modelIntent("m", 10, 0, 1)))
	q := b.intent("2", "bob", b.heads().OperatorRevision, intentOf("b", modelIntent("n", 10, 0, 1)))
	ok(t, b.decide("3", "bob", q.GetPlan().GetNumber(), true))
	r := b.decide("4", "ann", p.GetPlan().GetNumber(), true)
	refused(t, schema.ResultCode_RESULT_CODE_STALE, r)
	assert.Contains(t, r.GetReason(), `command "3" of operator "bob"`)
	require.NotNil(t, r.GetPlan())
	ok(t, b.decide("5", "ann", r.GetPlan().GetNumber(), true))
	refused(t, schema.ResultCode_RESULT_CODE_STALE, b.decide("6", "bob", r.GetPlan().GetNumber(), false))
}

func TestIntentFaults(t *testing.T) {
	for _, c := range []struct {
		name, says string
		in         *schema.Intent
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
		{"defined otherwise", "by another intent", intentOf("other", modelIntent("known", 20, 0, 1))},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBook(t)
			ok(t, b.server("e", 1, 100))
			b.force(intentOf("first", modelIntent("known", 10, 0, 1)))
			r := b.intent("x", "ann", b.heads().OperatorRevision, c.in)
			refused(t, schema.ResultCode_RESULT_CODE_INVALID, r)
			assert.Contains(t, r.GetReason(), c.says)
		})
	}
}

func TestReplacedIntentTakesBackWhatItNoLongerNames(t *testing.T) {
	b := newBook(t)
	b.force(intentOf("a", modelIntent("m", 10, 0, 1), modelIntent("shared", 10, 0, 1)))
	b.force(intentOf("b", modelIntent("shared", 10, 0, 1)))
	b.force(intentOf("a", modelIntent("n", 10, 0, 1)))
	b.l.View(func(_ ledger.Status, r *ledger.Records) {
		assert.Nil(t, r.Model("m"))
		assert.False(t, r.Reaches("c", "m"))
		assert.NotNil(t, r.Model("n"))
		assert.NotNil(t, r.Model("shared"), "intent b still names it")
		assert.True(t, r.Reaches("c", "shared"))
	})
}

// TestReservationsBeforeOrders: what no proof has released stays counted, and a
// former leader's late word under an older fencing number changes nothing.
func TestReservationsBeforeOrders(t *testing.T) {
	b := newBook(t)
	ok(t, b.server("e", 1, 100, 100))
	b.force(intentOf("a", modelIntent("m", 60, 0, 1), modelIntent("n", 60, 0, 2)))
	first := b.reserve("m", "e", 1, 0)
	ok(t, first)
	res := first.GetReservation()
	refused(t, schema.ResultCode_RESULT_CODE_OVER_BOUND, b.reserve("m", "e", 1, 1))
	refused(t, schema.ResultCode_RESULT_CODE_OVER_BOUND, b.reserve("n", "e", 1, 0))

	next := b.move(res.GetNumber(), res.GetFencing(), schema.ReservationMove_RESERVATION_MOVE_REORDERED)
	ok(t, next)
	refused(t, schema.ResultCode_RESULT_CODE_STALE, b.move(res.GetNumber(), res.GetFencing(), schema.ReservationMove_RESERVATION_MOVE_RELEASED))
	fencing := next.GetReservation().GetFencing()
	ok(t, b.move(res.GetNumber(), fencing, schema.ReservationMove_RESERVATION_MOVE_LOADED))
	refused(t, schema.ResultCode_RESULT_CODE_INVALID, b.move(res.GetNumber(), fencing, schema.ReservationMove_RESERVATION_MOVE_RELEASED))

	ok(t, b.server("e", 2, 100, 100))
	b.l.View(func(_ ledger.Status, r *ledger.Records) {
		assert.Empty(t, r.Reservations(), "a new incarnation holds nothing")
	})
	refused(t, schema.ResultCode_RESULT_CODE_STALE, b.server("e", 1, 100))
	refused(t, schema.ResultCode_RESULT_CODE_STALE, b.reserve("m", "e", 1, 0))
}

// TestOrderThatMayHaveReachedTheNextIncarnation: an engine restarts while its
// load order is given again and again. The order may have reached the new
// process before its announcement did; its replica stays counted there until an
// unload proves that it is gone.
func TestOrderThatMayHaveReachedTheNextIncarnation(t *testing.T) {
	b := newBook(t)
	ok(t, b.server("e", 1, 100))
	b.force(intentOf("a", modelIntent("m", 60, 0, 1)))
	res := b.reserve("m", "e", 1, 0).GetReservation()
	ok(t, b.server("e", 2, 100))
	var kept *schema.Reservation
	b.l.View(func(_ ledger.Status, r *ledger.Records) { kept = r.Reservation(res.GetNumber()) })
	require.NotNil(t, kept)
	assert.EqualValues(t, 2, kept.GetIncarnation())
	assert.Equal(t, schema.ReservationState_RESERVATION_STATE_UNLOADING, kept.GetState())
	refused(t, schema.ResultCode_RESULT_CODE_STALE, b.move(res.GetNumber(), res.GetFencing(), schema.ReservationMove_RESERVATION_MOVE_LOADED))
	refused(t, schema.ResultCode_RESULT_CODE_OVER_BOUND, b.reserve("m", "e", 2, 0))
	ok(t, b.move(res.GetNumber(), kept.GetFencing(), schema.ReservationMove_RESERVATION_MOVE_RELEASED))
	ok(t, b.reserve("m", "e", 2, 0))
}

func TestLostServersReplicasCountUntilAnOperatorSaysOtherwise(t *testing.T) {
	b := newBook(t)
	ok(t, b.server("e", 1, 100))
	ok(t, b.server("f", 1, 100))
	b.force(intentOf("a", modelIntent("m", 60, 0, 1)))
	ok(t, b.reserve("m", "e", 1, 0))
	forget := func(id string) *schema.Result {
		return b.apply(&schema.Command{Id: id, Operator: "ann", Body: &schema.Command_ForgetServer{
			ForgetServer: &schema.ForgetServer{Name: "e", Incarnation: 1},
		}})
	}
	refused(t, schema.ResultCode_RESULT_CODE_INVALID, forget("1"))
	ok(t, b.apply(&schema.Command{Body: &schema.Command_PutServer{PutServer: &schema.PutServer{
		Server: &schema.Server{Name: "e", Incarnation: 1, AcceleratorMib: []uint64{100}, Lost: true},
	}}}))
	refused(t, schema.ResultCode_RESULT_CODE_OVER_BOUND, b.reserve("m", "f", 1, 0))
	ok(t, forget("2"))
	ok(t, b.reserve("m", "f", 1, 0))
}

// TestOneRunPerKey: a booking arrives at two entries, is sent again after its
// answer, after an entry's death and after a snapshot. Only the first arrival is
// granted, and every other one learns what became of it.
func TestOneRunPerKey(t *testing.T) {
	b := newBook(t)
	first := b.claim("k", "body", "a", 1)
	ok(t, first)
	assert.True(t, proto.Equal(first.GetClaim(), b.claim("k", "body", "a", 1).GetClaim()), "the same attempt, resent")
	other := b.claim("k", "body", "b", 2)
	refused(t, schema.ResultCode_RESULT_CODE_CLAIMED, other)
	assert.Equal(t, schema.ClaimState_CLAIM_STATE_RUNNING, other.GetClaim().GetState())
	refused(t, schema.ResultCode_RESULT_CODE_KEY_REUSED, b.claim("k", "another body", "b", 3))

	number := first.GetClaim().GetNumber()
	refused(t, schema.ResultCode_RESULT_CODE_NOT_FOUND, b.settle("k", number+1, schema.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, nil))
	ok(t, b.settle("k", number, schema.ClaimOutcome_CLAIM_OUTCOME_DONE, &schema.Answer{Status: 200, Body: []byte("yes")}))
	data, err := b.l.Snapshot()
	require.NoError(t, err)
	require.NoError(t, b.l.Restore(data))
	kept := b.claim("k", "body", "c", 4)
	refused(t, schema.ResultCode_RESULT_CODE_CLAIMED, kept)
	assert.Equal(t, "yes", string(kept.GetClaim().GetAnswer().GetBody()))

	// The entry that runs "d" dies: its claim becomes unknown, never free.
	ok(t, b.claim("d", "body", "a", 5))
	b.atMs += 12_000
	dead := b.claim("d", "body", "b", 6)
	refused(t, schema.ResultCode_RESULT_CODE_CLAIMED, dead)
	assert.Equal(t, schema.ClaimState_CLAIM_STATE_UNKNOWN, dead.GetClaim().GetState())

	// A run that is proved not to have happened frees its key.
	ok(t, b.claim("e", "body", "a", 7))
	again := b.claim("e", "body", "a", 7)
	ok(t, b.settle("e", again.GetClaim().GetNumber(), schema.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN, nil))
	ok(t, b.claim("e", "body", "b", 8))

	b.atMs += ledger.ClaimRetention.Milliseconds() + 1
	ok(t, b.claim("k", "body", "a", 9))
}

func TestLargeAnswersAreNotKept(t *testing.T) {
	b := newBook(t)
	number := b.claim("k", "body", "a", 1).GetClaim().GetNumber()
	ok(t, b.settle("k", number, schema.ClaimOutcome_CLAIM_OUTCOME_DONE,
		&schema.Answer{Status: 200, Body: make([]byte, ledger.MaxAnswerBytes+1)}))
	a := b.claim("k", "body", "a", 2).GetClaim().GetAnswer()
	assert.True(t, a.GetOmitted())
	assert.Empty(t, a.GetBody())
}

// TestKeptAnswersAreBounded fills the kept answers beyond their limit. The oldest
// answer is dropped, but its key still says that the request ran.
func TestKeptAnswersAreBounded(t *testing.T) {
	b := newBook(t)
	for i := range ledger.MaxTotalAnswerBytes/ledger.MaxAnswerBytes + 1 {
		key := fmt.Sprint("k", i)
		number := b.claim(key, "body", "a", 1).GetClaim().GetNumber()
		ok(t, b.settle(key, number, schema.ClaimOutcome_CLAIM_OUTCOME_DONE, &schema.Answer{Status: 200, Body: make([]byte, ledger.MaxAnswerBytes)}))
	}
	first := b.claim("k0", "body", "a", 2)
	refused(t, schema.ResultCode_RESULT_CODE_CLAIMED, first)
	assert.Equal(t, schema.ClaimState_CLAIM_STATE_DONE, first.GetClaim().GetState())
	assert.True(t, first.GetClaim().GetAnswer().GetOmitted())
	assert.False(t, b.claim("k1", "body", "a", 2).GetClaim().GetAnswer().GetOmitted())
}

// TestRandomCommands compares a ledger with what must hold after any commands:
// memory and bounds are never passed, a restored copy behaves like its origin,
// and a follower by revision ends with the same records.
func TestRandomCommands(t *testing.T) {
	for seed := range int64(40) {
		random := rand.New(rand.NewSource(seed))
		b := newBook(t)
		follower := ledger.NewReplica()
		for step := range 300 {
			randomCommand(b, random)
			checkBounds(t, b, seed, step)
			if random.Intn(20) == 0 {
				data, err := b.l.Snapshot()
				require.NoError(t, err)
				copied := ledger.New()
				require.NoError(t, copied.Restore(data))
				again, err := copied.Snapshot()
				require.NoError(t, err)
				require.Equal(t, data, again, "seed %d step %d", seed, step)
				b.l = copied
			}
			if random.Intn(10) == 0 {
				follower.Apply(b.l.Since(follower.Revision()))
			}
		}
		follower.Apply(b.l.Since(follower.Revision()))
		b.l.View(func(_ ledger.Status, r *ledger.Records) {
			follower.View(func(f *ledger.Records) {
				require.Equal(t, r.Len(), f.Len(), "seed %d", seed)
				for _, rec := range r.All() {
					require.True(t, proto.Equal(rec, f.Record(rec.GetKey())), "seed %d: %s", seed, rec.GetKey())
				}
			})
		})
	}
}

func randomCommand(b *book, random *rand.Rand) {
	server := fmt.Sprintf("e%d", random.Intn(3))
	target := fmt.Sprintf("m%d", random.Intn(4))
	var reservations []*schema.Reservation
	var incarnation uint64
	b.l.View(func(_ ledger.Status, r *ledger.Records) {
		reservations = r.Reservations()
		incarnation = r.Server(server).GetIncarnation()
	})
	b.atMs += int64(random.Intn(2000))
	switch random.Intn(10) {
	case 0:
		b.server(server, incarnation+uint64(random.Intn(2)), 100, 80)
	case 1:
		in := intentOf(fmt.Sprintf("i%d", random.Intn(2)))
		for i := range 4 {
			if random.Intn(2) == 0 {
				in.Models = append(in.Models, modelIntent(fmt.Sprintf("m%d", i), uint64(30+10*i), 0, uint32(1+random.Intn(2))))
			}
		}
		r := b.intent(fmt.Sprint("c", b.index), "ann", b.heads().OperatorRevision, in)
		if r.GetPlan() != nil {
			b.decide(fmt.Sprint("d", b.index), "bob", r.GetPlan().GetNumber(), random.Intn(4) > 0)
		}
	case 2, 3, 4:
		b.reserve(target, server, incarnation, uint32(random.Intn(2)))
	case 5, 6, 7:
		if len(reservations) > 0 {
			r := reservations[random.Intn(len(reservations))]
			b.move(r.GetNumber(), r.GetFencing()-uint64(random.Intn(2)), schema.ReservationMove(1+random.Intn(4)))
		}
	case 8:
		b.claim(fmt.Sprint("k", random.Intn(5)), "body", "a", random.Uint64())
	case 9:
		b.settle(fmt.Sprint("k", random.Intn(5)), uint64(random.Intn(40)), schema.ClaimOutcome(1+random.Intn(3)), nil)
	}
}

func checkBounds(t *testing.T, b *book, seed int64, step int) {
	t.Helper()
	b.l.View(func(_ ledger.Status, r *ledger.Records) {
		for _, s := range r.Servers() {
			busy := map[uint32]int{}
			for _, res := range r.ReservationsOnServer(s.GetName()) {
				require.Equal(t, s.GetIncarnation(), res.GetIncarnation(), "seed %d step %d", seed, step)
				if res.GetState() != schema.ReservationState_RESERVATION_STATE_LOADED {
					busy[res.GetAccelerator()]++
				}
			}
			for i, mib := range s.GetAcceleratorMib() {
				require.LessOrEqual(t, r.UsedMiB(s.GetName(), uint32(i)), mib, "seed %d step %d", seed, step)
				require.LessOrEqual(t, busy[uint32(i)], 1, "seed %d step %d: one order at a time", seed, step)
			}
		}
	})
}

// TestFollowerNeverGoesBack: a follower takes changes from a member that lags
// behind the one it followed before.
func TestFollowerNeverGoesBack(t *testing.T) {
	b := newBook(t)
	b.force(intentOf("a", modelIntent("m", 10, 0, 1)))
	old := b.l.Since(0)
	b.force(intentOf("a", modelIntent("m", 20, 0, 1)))
	f := ledger.NewReplica()
	f.Apply(b.l.Since(0))
	revision := f.Revision()
	f.Apply(old)
	assert.Equal(t, revision, f.Revision())
	f.View(func(r *ledger.Records) { assert.EqualValues(t, 20, r.Model("m").GetMemoryMib()) })
}

// TestStateAtFullSize holds 100 models and 15,000 adapters and hands them to a
// follower that starts from nothing.
func TestStateAtFullSize(t *testing.T) {
	b := newBook(t)
	b.force(fullIntent(100, 15000))
	f := ledger.NewReplica()
	f.Apply(b.l.Since(0))
	f.View(func(r *ledger.Records) { assert.Len(t, r.Models(), 15100) })
	data, err := b.l.Snapshot()
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
		// Whatever a peer or a disk brings, Apply answers.
		l := ledger.New()
		l.Apply(1, data)
		_ = ledger.New().Restore(data)
	})
}

// A leader that knows too little names another holder of an engine's orders than
// the recorded one, or none. Its change is passed over: were it taken, two hosts
// would give the engine orders within one lease.
func TestOrderHoldersChangeOnlyFromTheRecordedOne(t *testing.T) {
	b := newBook(t)
	change := func(from, to string, forgotten ...string) {
		b.apply(&schema.Command{Body: &schema.Command_AssignOrderHolders{AssignOrderHolders: &schema.AssignOrderHolders{
			Changes: []*schema.HolderChange{{From: from, Holder: &schema.OrderHolder{Server: "s", Host: to}}}, Forgotten: forgotten,
		}}})
	}
	holder := func() (host string) {
		b.l.View(func(_ ledger.Status, r *ledger.Records) { host = r.OrderHolder("s").GetHost() })
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
