package ledger

import (
	"crypto/sha256"
	"sort"
	"sync"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

const (
	// resultLimit is how many results of operators' commands are kept for
	// resends.
	resultLimit = 10000
	// planLimit is how many plans that are no longer in force are kept.
	planLimit = 1000
)

// Ledger is the state machine of the control group. Apply is deterministic:
// it uses no clock but the commands' own. All methods are safe from any
// goroutine.
type Ledger struct {
	mu sync.RWMutex
	// index is the log index of the last applied command.
	index uint64
	// clockMs is the highest leader's clock seen; it never goes back.
	clockMs int64
	// configRevision is the index of the last confirmed plan.
	configRevision uint64
	// operatorRevision is the index of the last accepted operator's command.
	operatorRevision uint64
	lastOperator     string
	lastCommand      string
	// lastNumber was given to the latest reservation, order, plan or claim.
	lastNumber uint64
	records    *Records
	ring       changeRing
	// definers holds the confirmed intents that name a target.
	definers map[string]map[string]bool
	// intents holds the number of the plan in force for each intent.
	intents map[string]uint64
	claims  claimTable
	results map[string]*schema.CommandResult
	// resultOrder lists the ids in results, oldest first.
	resultOrder []string
	// touched is set when the command at hand changed a record.
	touched bool
	changed chan struct{}
}

// New returns an empty ledger.
func New() *Ledger {
	l := &Ledger{changed: make(chan struct{})}
	l.reset()
	return l
}

func (l *Ledger) reset() {
	l.index, l.clockMs, l.configRevision, l.operatorRevision, l.lastNumber = 0, 0, 0, 0, 0
	l.lastOperator, l.lastCommand = "", ""
	l.records = NewRecords()
	l.ring = changeRing{}
	l.definers = map[string]map[string]bool{}
	l.intents = map[string]uint64{}
	l.claims = newClaimTable()
	l.results = map[string]*schema.CommandResult{}
	l.resultOrder = nil
}

// Apply applies one encoded command and returns its *schema.Result.
func (l *Ledger) Apply(index uint64, data []byte) any {
	cmd := &schema.Command{}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index = index
	if err := proto.Unmarshal(data, cmd); err != nil {
		return refuse(schema.ResultCode_RESULT_CODE_INVALID, "the command cannot be read")
	}
	l.clockMs = max(l.clockMs, cmd.GetAtMs())
	l.touched = false
	l.claims.expire(l.clockMs)
	result := l.applyOnce(cmd)
	if l.touched {
		l.announce()
	}
	return result
}

// Advance takes note of a log entry that holds no command.
func (l *Ledger) Advance(index uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index = index
	l.announce()
}

// applyOnce gives a resent command its first result. Without it an operator
// who lost the answer and sends again would have the command applied twice.
func (l *Ledger) applyOnce(cmd *schema.Command) *schema.Result {
	if cmd.GetId() == "" {
		return l.apply(cmd)
	}
	digest := digestOf(cmd)
	if kept, ok := l.results[cmd.GetId()]; ok {
		if string(kept.GetDigest()) == string(digest) {
			return kept.GetResult()
		}
		return refuse(schema.ResultCode_RESULT_CODE_ID_REUSED,
			"command id %q belongs to another command, of operator %q", cmd.GetId(), kept.GetOperator())
	}
	result := l.apply(cmd)
	l.keepResult(&schema.CommandResult{
		Id: cmd.GetId(), Digest: digest, Operator: cmd.GetOperator(), Result: result, Index: l.index,
	})
	return result
}

func (l *Ledger) keepResult(r *schema.CommandResult) {
	l.results[r.GetId()] = r
	l.resultOrder = append(l.resultOrder, r.GetId())
	if len(l.resultOrder) > resultLimit {
		delete(l.results, l.resultOrder[0])
		l.resultOrder = l.resultOrder[1:]
	}
}

// digestOf leaves out the clock and the leader's forecasts, which differ
// between a command and its resend.
func digestOf(cmd *schema.Command) []byte {
	c := proto.Clone(cmd).(*schema.Command)
	c.AtMs = 0
	if a := c.GetApplyIntent(); a != nil {
		a.Forecasts = nil
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

func (l *Ledger) apply(cmd *schema.Command) *schema.Result {
	var r *schema.Result
	switch b := cmd.GetBody().(type) {
	case *schema.Command_ApplyIntent:
		r = l.applyIntent(cmd, b.ApplyIntent)
	case *schema.Command_DecidePlan:
		r = l.decidePlan(cmd, b.DecidePlan)
	case *schema.Command_PutServer:
		r = l.putServer(b.PutServer.GetServer())
	case *schema.Command_ForgetServer:
		r = l.forgetServer(cmd, b.ForgetServer)
	case *schema.Command_Reserve:
		r = l.reserve(b.Reserve)
	case *schema.Command_MoveReservation:
		r = l.moveReservation(b.MoveReservation)
	case *schema.Command_ClaimRequest:
		r = l.claim(b.ClaimRequest)
	case *schema.Command_SettleClaim:
		r = l.settleClaim(b.SettleClaim)
	case *schema.Command_PutConfiguration:
		r = l.putConfiguration(b.PutConfiguration)
	case *schema.Command_DepartServer:
		r = l.departServer(b.DepartServer)
	case *schema.Command_AssignOrderHolders:
		r = l.assignHolders(b.AssignOrderHolders)
	case *schema.Command_RememberServers:
		r = l.rememberServers(b.RememberServers)
	case *schema.Command_RememberSuspects:
		r = l.rememberSuspects(b.RememberSuspects)
	case *schema.Command_Batch:
		r = &schema.Result{Code: schema.ResultCode_RESULT_CODE_OK}
		for _, c := range b.Batch.GetCommands() {
			r.Results = append(r.Results, l.applyOnce(c))
		}
	default:
		r = refuse(schema.ResultCode_RESULT_CODE_INVALID, "the command has no known body")
	}
	r.Revision = l.index
	return r
}

func refuse(code schema.ResultCode, format string, args ...any) *schema.Result {
	return &schema.Result{Code: code, Reason: errors.Newf(format, args...).Error()}
}

func accepted() *schema.Result {
	return &schema.Result{Code: schema.ResultCode_RESULT_CODE_OK}
}

func (l *Ledger) put(rec *schema.Record) {
	rec.Revision = l.index
	l.records.Put(rec)
	l.ring.add(l.index, rec.GetKey())
	l.touched = true
}

func (l *Ledger) announce() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Ledger) drop(key string) {
	if l.records.Record(key) != nil {
		l.put(&schema.Record{Key: key, Deleted: true})
	}
}

func (l *Ledger) number() uint64 {
	l.lastNumber++
	return l.lastNumber
}

func (l *Ledger) acceptOperator(cmd *schema.Command) {
	l.operatorRevision = l.index
	l.lastOperator = cmd.GetOperator()
	l.lastCommand = cmd.GetId()
}

// Snapshot encodes the whole state. Equal states give equal bytes.
func (l *Ledger) Snapshot() ([]byte, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := &schema.LedgerSnapshot{
		Index: l.index, ClockMs: l.clockMs, ConfigRevision: l.configRevision,
		OperatorRevision: l.operatorRevision, LastOperator: l.lastOperator, LastCommand: l.lastCommand,
		LastNumber: l.lastNumber, Records: l.records.All(), Claims: l.claims.all(),
	}
	for _, id := range l.resultOrder {
		s.CommandResults = append(s.CommandResults, l.results[id])
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, errors.Newf("encode ledger: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot; empty data is the empty state.
func (l *Ledger) Restore(data []byte) error {
	s := &schema.LedgerSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return errors.Newf("decode ledger: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
	l.index, l.clockMs, l.configRevision = s.GetIndex(), s.GetClockMs(), s.GetConfigRevision()
	l.operatorRevision, l.lastNumber = s.GetOperatorRevision(), s.GetLastNumber()
	l.lastOperator, l.lastCommand = s.GetLastOperator(), s.GetLastCommand()
	for _, rec := range s.GetRecords() {
		l.records.Put(rec)
	}
	// Deletions before the snapshot are not known any more.
	l.ring.floor = s.GetIndex()
	l.rebuildIntents()
	for _, c := range s.GetClaims() {
		l.claims.restore(c)
	}
	for _, r := range s.GetCommandResults() {
		l.keepResult(r)
	}
	l.announce()
	return nil
}

// View calls f with the state; f must neither keep the records' maps nor call
// the ledger.
func (l *Ledger) View(f func(Status, *Records)) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	f(Status{
		Index: l.index, ConfigRevision: l.configRevision, OperatorRevision: l.operatorRevision,
		LastOperator: l.lastOperator, LastCommand: l.lastCommand, Claims: len(l.claims.byKey),
	}, l.records)
}

// Status are the ledger's present revisions.
type Status struct {
	Index            uint64
	ConfigRevision   uint64
	OperatorRevision uint64
	LastOperator     string
	LastCommand      string
	Claims           int
}

// Changed returns a channel that is closed at the next change of a record.
func (l *Ledger) Changed() <-chan struct{} {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.changed
}

// Since returns what a follower at a revision lacks.
func (l *Ledger) Since(after uint64) *schema.Changes {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return changesSince(l.records, &l.ring, l.index, after)
}

// rebuildIntents derives the intents in force from the confirmed plans.
func (l *Ledger) rebuildIntents() {
	var confirmed []*schema.Plan
	for _, p := range l.records.Plans() {
		if p.GetState() == schema.PlanState_PLAN_STATE_CONFIRMED {
			confirmed = append(confirmed, p)
		}
	}
	sort.Slice(confirmed, func(i, j int) bool { return confirmed[i].GetMade() < confirmed[j].GetMade() })
	for _, p := range confirmed {
		l.intents[p.GetIntent().GetName()] = p.GetNumber()
	}
	for name, number := range l.intents {
		for _, t := range targetsOf(l.records.Plan(number).GetIntent()) {
			addTo(l.definers, t, name, true)
		}
	}
}
