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
	// maxResults is how many results of operators' commands are stored for resends.
	maxResults = 10000
	// maxInactivePlans is how many plans that are not in force are stored.
	maxInactivePlans = 1000
)

// Ledger is the state machine of the control group. Apply is deterministic: its only clock
// is that of the commands. All methods are safe for concurrent use.
type Ledger struct {
	mu sync.RWMutex
	// index is the log index of the last applied command.
	index uint64
	// clockMs is the latest time of a leader's clock in a command; it never decreases.
	clockMs int64
	// configRevision is the index of the last confirmed plan.
	configRevision uint64
	// operatorRevision is the index of the last accepted operator's command.
	operatorRevision uint64
	lastOperator     string
	lastCommand      string
	// lastNumber is the number of the latest reservation, order, plan or claim.
	lastNumber uint64
	records    *Records
	changes    changeLog
	// intentsByTarget holds the names of the confirmed intents that name a target.
	intentsByTarget map[string]map[string]bool
	// planByIntent holds the number of the plan in force for each intent.
	planByIntent map[string]uint64
	claims       claimTable
	results      map[string]*schema.CommandResult
	// resultOrder lists the ids in results, oldest first.
	resultOrder []string
	// recordsChanged is set when the current command has changed a record.
	recordsChanged bool
	changed        chan struct{}
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
	l.changes = changeLog{}
	l.intentsByTarget = map[string]map[string]bool{}
	l.planByIntent = map[string]uint64{}
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
	l.recordsChanged = false
	l.claims.expire(l.clockMs)
	result := l.applyOnce(cmd)
	if l.recordsChanged {
		l.notifyChanged()
	}
	return result
}

// Advance records the index of a log entry without a command.
func (l *Ledger) Advance(index uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index = index
	l.notifyChanged()
}

// applyOnce returns the first result for a resent command. Otherwise the command of an
// operator who lost the response and sends it again would be applied twice.
func (l *Ledger) applyOnce(cmd *schema.Command) *schema.Result {
	if cmd.GetId() == "" {
		return l.apply(cmd)
	}
	digest := digestOf(cmd)
	if stored, ok := l.results[cmd.GetId()]; ok {
		if string(stored.GetDigest()) == string(digest) {
			return stored.GetResult()
		}
		return refuse(schema.ResultCode_RESULT_CODE_ID_REUSED,
			"command id %q belongs to another command, of operator %q", cmd.GetId(), stored.GetOperator())
	}
	result := l.apply(cmd)
	l.storeResult(&schema.CommandResult{
		Id: cmd.GetId(), Digest: digest, Operator: cmd.GetOperator(), Result: result, Index: l.index,
	})
	return result
}

func (l *Ledger) storeResult(r *schema.CommandResult) {
	l.results[r.GetId()] = r
	l.resultOrder = append(l.resultOrder, r.GetId())
	if len(l.resultOrder) > maxResults {
		delete(l.results, l.resultOrder[0])
		l.resultOrder = l.resultOrder[1:]
	}
}

// digestOf returns a command's digest without the clock and the leader's forecasts, which
// differ between a command and its resend.
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
		r = l.assignOrderHolders(b.AssignOrderHolders)
	case *schema.Command_RememberServers:
		r = l.rememberServers(b.RememberServers)
	case *schema.Command_RememberSuspects:
		r = l.rememberSuspects(b.RememberSuspects)
	case *schema.Command_RememberQuotaUse:
		r = l.rememberQuotaUse(b.RememberQuotaUse)
	case *schema.Command_RememberVersions:
		r = l.rememberVersions(b.RememberVersions)
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
	l.changes.add(l.index, rec.GetKey())
	l.recordsChanged = true
}

func (l *Ledger) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Ledger) drop(key string) {
	if l.records.Record(key) != nil {
		l.put(&schema.Record{Key: key, Deleted: true})
	}
}

func (l *Ledger) nextNumber() uint64 {
	l.lastNumber++
	return l.lastNumber
}

func (l *Ledger) acceptOperator(cmd *schema.Command) {
	l.operatorRevision = l.index
	l.lastOperator = cmd.GetOperator()
	l.lastCommand = cmd.GetId()
}

// Snapshot encodes the whole state. Equal states have equal encodings.
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

// Restore replaces the state with that of a snapshot; empty data is the empty state.
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
	// Deletions before the snapshot are unknown.
	l.changes.floor = s.GetIndex()
	l.rebuildIntents()
	for _, c := range s.GetClaims() {
		l.claims.add(c)
	}
	for _, r := range s.GetCommandResults() {
		l.storeResult(r)
	}
	l.notifyChanged()
	return nil
}

// View calls f with the state under a read lock. f must neither retain the records' maps
// nor call the ledger.
func (l *Ledger) View(f func(Status, *Records)) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	f(Status{
		Index: l.index, ConfigRevision: l.configRevision, OperatorRevision: l.operatorRevision,
		LastOperator: l.lastOperator, LastCommand: l.lastCommand, Claims: len(l.claims.byKey),
	}, l.records)
}

// Status holds the ledger's revisions, the last operator's command and the number of
// claims.
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

// Since returns the changes that a follower at a revision lacks.
func (l *Ledger) Since(after uint64) *schema.Changes {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return changesSince(l.records, &l.changes, l.index, after)
}

// rebuildIntents computes the intents in force from the confirmed plans.
func (l *Ledger) rebuildIntents() {
	var confirmed []*schema.Plan
	for _, p := range l.records.Plans() {
		if p.GetState() == schema.PlanState_PLAN_STATE_CONFIRMED {
			confirmed = append(confirmed, p)
		}
	}
	sort.Slice(confirmed, func(i, j int) bool { return confirmed[i].GetMade() < confirmed[j].GetMade() })
	for _, p := range confirmed {
		l.planByIntent[p.GetIntent().GetName()] = p.GetNumber()
	}
	for name, number := range l.planByIntent {
		for _, t := range targetsOf(l.records.Plan(number).GetIntent()) {
			addTo(l.intentsByTarget, t, name, true)
		}
	}
}
