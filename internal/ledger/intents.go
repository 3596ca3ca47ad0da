package ledger

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

const (
	changeAdd    = "add"
	changeAlter  = "change"
	changeKeep   = "keep"
	changeRemove = "remove"
)

func (l *Ledger) applyIntent(cmd *schema.Command, q *schema.ApplyIntent) *schema.Result {
	// Two operators who saw the same revision: the first one's command moves
	// it, the second learns by whom.
	if q.GetBase() != l.operatorRevision {
		return refuse(schema.ResultCode_RESULT_CODE_STALE,
			"the command is based on revision %d; revision is %d since command %q of operator %q",
			q.GetBase(), l.operatorRevision, l.lastCommand, l.lastOperator)
	}
	if why := l.intentFault(q.GetIntent()); why != "" {
		return refuse(schema.ResultCode_RESULT_CODE_INVALID, "%s", why)
	}
	l.acceptOperator(cmd)
	out := accepted()
	out.Plan = l.newPlan(cmd.GetOperator(), q.GetIntent(), q.GetForecasts())
	return out
}

func (l *Ledger) newPlan(operator string, in *schema.Intent, forecasts []*schema.PlanLine) *schema.Plan {
	p := &schema.Plan{
		Number: l.number(), State: schema.PlanState_PLAN_STATE_PENDING, Intent: in,
		Ground: l.configRevision, Operator: operator,
	}
	p.Lines = l.planLines(in, forecasts)
	l.putPlan(p)
	l.forgetPlans()
	return p
}

func (l *Ledger) decidePlan(cmd *schema.Command, q *schema.DecidePlan) *schema.Result {
	p := l.records.Plan(q.GetPlan())
	if p == nil {
		return refuse(schema.ResultCode_RESULT_CODE_NOT_FOUND, "plan %d is not known", q.GetPlan())
	}
	if p.GetState() != schema.PlanState_PLAN_STATE_PENDING {
		out := refuse(schema.ResultCode_RESULT_CODE_STALE, "plan %d is already %s by operator %q",
			p.GetNumber(), planStateWord(p.GetState()), p.GetOperator())
		out.Plan = p
		return out
	}
	if !q.GetConfirm() {
		l.acceptOperator(cmd)
		return l.finishPlan(cmd, p, schema.PlanState_PLAN_STATE_REJECTED)
	}
	if p.GetGround() != l.configRevision {
		return l.replan(cmd, p)
	}
	// What the plan was checked against may have changed without a plan: the
	// servers.
	if why := l.intentFault(p.GetIntent()); why != "" {
		return refuse(schema.ResultCode_RESULT_CODE_INVALID, "%s", why)
	}
	l.acceptOperator(cmd)
	l.configRevision = l.index
	l.enforce(p)
	return l.finishPlan(cmd, p, schema.PlanState_PLAN_STATE_CONFIRMED)
}

// replan answers the confirmation of a plan whose ground moved by a new plan.
func (l *Ledger) replan(cmd *schema.Command, p *schema.Plan) *schema.Result {
	l.finishPlan(cmd, p, schema.PlanState_PLAN_STATE_STALE)
	out := refuse(schema.ResultCode_RESULT_CODE_STALE,
		"plan %d was computed from configuration %d; configuration %d is in force since command %q of operator %q",
		p.GetNumber(), p.GetGround(), l.configRevision, l.lastCommand, l.lastOperator)
	if why := l.intentFault(p.GetIntent()); why != "" {
		out.Reason += "; no new plan: " + why
		return out
	}
	out.Plan = l.newPlan(cmd.GetOperator(), p.GetIntent(), p.GetLines())
	out.Reason += "; a new plan is attached"
	return out
}

func (l *Ledger) finishPlan(cmd *schema.Command, p *schema.Plan, state schema.PlanState) *schema.Result {
	next := proto.Clone(p).(*schema.Plan)
	next.State = state
	next.Operator = cmd.GetOperator()
	if state == schema.PlanState_PLAN_STATE_CONFIRMED {
		next.Made = l.index
	}
	l.putPlan(next)
	out := accepted()
	out.Plan = next
	return out
}

func (l *Ledger) putPlan(p *schema.Plan) {
	l.put(&schema.Record{Key: PlanKey(p.GetNumber()), Value: &schema.Record_Plan{Plan: p}})
}

// forgetPlans drops the oldest plans that are not in force.
func (l *Ledger) forgetPlans() {
	if len(l.records.plans) <= planLimit+len(l.intents) {
		return
	}
	for _, p := range l.records.Plans() {
		if l.intents[p.GetIntent().GetName()] != p.GetNumber() {
			l.drop(PlanKey(p.GetNumber()))
			return
		}
	}
}

// enforce puts a confirmed plan's intent in force in place of its predecessor.
func (l *Ledger) enforce(p *schema.Plan) {
	in := p.GetIntent()
	var old *schema.Intent
	if n, ok := l.intents[in.GetName()]; ok {
		old = l.records.Plan(n).GetIntent()
	}
	for _, t := range targetsOf(old) {
		dropFrom(l.definers, t, in.GetName())
	}
	for _, t := range targetsOf(in) {
		addTo(l.definers, t, in.GetName(), true)
	}
	l.intents[in.GetName()] = p.GetNumber()
	l.dropOrphans(old, in)
	l.putCustomer(in.GetCustomer())
	for _, rec := range recordsOf(in) {
		l.putChanged(rec)
	}
}

// dropOrphans removes what the old intent named and nothing names any more.
func (l *Ledger) dropOrphans(old, in *schema.Intent) {
	kept := map[string]bool{}
	for _, t := range targetsOf(in) {
		kept[t] = true
	}
	customer := old.GetCustomer().GetName()
	for _, t := range targetsOf(old) {
		if (!kept[t] || customer != in.GetCustomer().GetName()) && !l.reachedOtherwise(customer, t, in.GetName()) {
			l.drop(ReachKey(customer, t))
		}
		if len(l.definers[t]) == 0 {
			l.drop(ModelKey(t))
			l.drop(ServiceKey(t))
		}
	}
}

func (l *Ledger) reachedOtherwise(customer, target, except string) bool {
	for name := range l.definers[target] {
		if name != except && l.records.Plan(l.intents[name]).GetIntent().GetCustomer().GetName() == customer {
			return true
		}
	}
	return false
}

func (l *Ledger) putCustomer(c *schema.CustomerIntent) {
	l.putChanged(&schema.Record{Key: CustomerKey(c.GetName()), Value: &schema.Record_Customer{Customer: &schema.Customer{
		Name: c.GetName(), MaxConcurrent: c.GetMaxConcurrent(), Priority: c.GetPriority(),
		DefaultDeadlineMs: c.GetDefaultDeadline().AsDuration().Milliseconds(),
	}}})
}

// putChanged spares followers the records that stayed the same.
func (l *Ledger) putChanged(rec *schema.Record) {
	if old := l.records.Record(rec.GetKey()); old != nil {
		rec.Revision = old.GetRevision()
		if proto.Equal(old, rec) {
			return
		}
	}
	l.put(rec)
}

func targetsOf(in *schema.Intent) []string {
	var out []string
	for _, m := range in.GetModels() {
		out = append(out, m.GetName())
	}
	for _, a := range in.GetAdapters() {
		out = append(out, a.GetName())
	}
	for _, s := range in.GetServices() {
		out = append(out, s.GetName())
	}
	return out
}

func recordsOf(in *schema.Intent) []*schema.Record {
	var out []*schema.Record
	for _, m := range modelsOf(in) {
		out = append(out, &schema.Record{Key: ModelKey(m.GetName()), Value: &schema.Record_Model{Model: m}})
	}
	for _, s := range in.GetServices() {
		out = append(out, &schema.Record{Key: ServiceKey(s.GetName()), Value: &schema.Record_Service{
			Service: &schema.Service{Name: s.GetName(), IdempotentMethods: s.GetIdempotentMethods()},
		}})
	}
	customer := in.GetCustomer().GetName()
	for _, t := range targetsOf(in) {
		out = append(out, &schema.Record{Key: ReachKey(customer, t), Value: &schema.Record_Reach{
			Reach: &schema.Reach{Customer: customer, Target: t, Intent: in.GetName()},
		}})
	}
	return out
}

// modelsOf returns the models and adapters that an intent asks for.
func modelsOf(in *schema.Intent) []*schema.Model {
	var out []*schema.Model
	for _, m := range in.GetModels() {
		out = append(out, &schema.Model{
			Name: m.GetName(), Version: m.GetVersion(), MemoryMib: m.GetMemoryMib(),
			MinReplicas: m.GetMinReplicas(), MaxReplicas: m.GetMaxReplicas(),
			ColdStartMs: m.GetColdStart().AsDuration().Milliseconds(),
		})
	}
	for _, a := range in.GetAdapters() {
		out = append(out, &schema.Model{
			Name: a.GetName(), Version: a.GetVersion(), MemoryMib: a.GetMemoryMib(),
			MaxReplicas: a.GetMaxReplicas(), Base: a.GetBase(),
		})
	}
	return out
}

// planLines tells what a confirmation would change, target by target.
func (l *Ledger) planLines(in *schema.Intent, forecasts []*schema.PlanLine) []*schema.PlanLine {
	known := map[string]*schema.PlanLine{}
	for _, f := range forecasts {
		known[f.GetTarget()] = f
	}
	var out []*schema.PlanLine
	for _, m := range modelsOf(in) {
		out = append(out, &schema.PlanLine{
			Target: m.GetName(), Change: l.changeOf(m), MinReplicas: m.GetMinReplicas(),
			MaxReplicas: m.GetMaxReplicas(), MemoryMib: m.GetMemoryMib(),
			ColdStartMs: known[m.GetName()].GetColdStartMs(), IdleHoursPerDay: known[m.GetName()].GetIdleHoursPerDay(),
		})
	}
	for _, s := range in.GetServices() {
		change := changeAdd
		if l.records.Service(s.GetName()) != nil {
			change = changeKeep
		}
		out = append(out, &schema.PlanLine{Target: s.GetName(), Change: change})
	}
	return append(out, l.removedLines(in)...)
}

func (l *Ledger) changeOf(m *schema.Model) string {
	old := l.records.Model(m.GetName())
	switch {
	case old == nil:
		return changeAdd
	case proto.Equal(old, m):
		return changeKeep
	}
	return changeAlter
}

func (l *Ledger) removedLines(in *schema.Intent) []*schema.PlanLine {
	gone := map[string]bool{}
	for _, t := range targetsOf(l.records.Plan(l.intents[in.GetName()]).GetIntent()) {
		gone[t] = true
	}
	for _, t := range targetsOf(in) {
		delete(gone, t)
	}
	var out []*schema.PlanLine
	for _, t := range slices.Sorted(maps.Keys(gone)) {
		out = append(out, &schema.PlanLine{Target: t, Change: changeRemove})
	}
	return out
}

func planStateWord(s schema.PlanState) string {
	switch s {
	case schema.PlanState_PLAN_STATE_CONFIRMED:
		return "confirmed"
	case schema.PlanState_PLAN_STATE_REJECTED:
		return "rejected"
	case schema.PlanState_PLAN_STATE_STALE:
		return "replaced"
	default:
		return "pending"
	}
}
