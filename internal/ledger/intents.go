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
	// Of two operators with the same base revision, the first one's command advances it,
	// and the second one is refused with the name of the first.
	if q.GetBase() != l.operatorRevision {
		return refuse(schema.ResultCode_RESULT_CODE_STALE,
			"the command is based on revision %d; revision is %d since command %q of operator %q",
			q.GetBase(), l.operatorRevision, l.lastCommand, l.lastOperator)
	}
	if reason := l.validateIntent(q.GetIntent()); reason != "" {
		return refuse(schema.ResultCode_RESULT_CODE_INVALID, "%s", reason)
	}
	l.acceptOperator(cmd)
	out := accepted()
	out.Plan = l.newPlan(cmd.GetOperator(), q.GetIntent(), q.GetForecasts())
	return out
}

func (l *Ledger) newPlan(operator string, in *schema.Intent, forecasts []*schema.PlanLine) *schema.Plan {
	p := &schema.Plan{
		Number: l.nextNumber(), State: schema.PlanState_PLAN_STATE_PENDING, Intent: in,
		Ground: l.configRevision, Operator: operator,
	}
	p.Lines = l.planLines(in, forecasts)
	l.putPlan(p)
	l.evictPlan()
	return p
}

func (l *Ledger) decidePlan(cmd *schema.Command, q *schema.DecidePlan) *schema.Result {
	p := l.records.Plan(q.GetPlan())
	if p == nil {
		return refuse(schema.ResultCode_RESULT_CODE_NOT_FOUND, "plan %d is not known", q.GetPlan())
	}
	if p.GetState() != schema.PlanState_PLAN_STATE_PENDING {
		out := refuse(schema.ResultCode_RESULT_CODE_STALE, "plan %d is already %s by operator %q",
			p.GetNumber(), planStateName(p.GetState()), p.GetOperator())
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
	// The servers, against which the plan was checked, may have changed without a plan.
	if reason := l.validateIntent(p.GetIntent()); reason != "" {
		return refuse(schema.ResultCode_RESULT_CODE_INVALID, "%s", reason)
	}
	l.acceptOperator(cmd)
	l.configRevision = l.index
	l.activatePlan(p)
	return l.finishPlan(cmd, p, schema.PlanState_PLAN_STATE_CONFIRMED)
}

// replan refuses the confirmation of a plan that was computed from an outdated
// configuration, and attaches a new plan.
func (l *Ledger) replan(cmd *schema.Command, p *schema.Plan) *schema.Result {
	l.finishPlan(cmd, p, schema.PlanState_PLAN_STATE_STALE)
	out := refuse(schema.ResultCode_RESULT_CODE_STALE,
		"plan %d was computed from configuration %d; configuration %d is in force since command %q of operator %q",
		p.GetNumber(), p.GetGround(), l.configRevision, l.lastCommand, l.lastOperator)
	if reason := l.validateIntent(p.GetIntent()); reason != "" {
		out.Reason += "; no new plan: " + reason
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

// evictPlan drops the oldest plan that is not in force, if there are too many.
func (l *Ledger) evictPlan() {
	if len(l.records.plans) <= maxInactivePlans+len(l.planByIntent) {
		return
	}
	for _, p := range l.records.Plans() {
		if l.planByIntent[p.GetIntent().GetName()] != p.GetNumber() {
			l.drop(PlanKey(p.GetNumber()))
			return
		}
	}
}

// activatePlan puts the intent of a confirmed plan in force and replaces its predecessor.
func (l *Ledger) activatePlan(p *schema.Plan) {
	in := p.GetIntent()
	var old *schema.Intent
	if n, ok := l.planByIntent[in.GetName()]; ok {
		old = l.records.Plan(n).GetIntent()
	}
	for _, t := range targetsOf(old) {
		removeFrom(l.intentsByTarget, t, in.GetName())
	}
	for _, t := range targetsOf(in) {
		addTo(l.intentsByTarget, t, in.GetName(), true)
	}
	l.planByIntent[in.GetName()] = p.GetNumber()
	l.dropOrphans(old, in)
	l.putCustomer(in.GetCustomer())
	for _, rec := range recordsOf(in) {
		l.putIfChanged(rec)
	}
}

// dropOrphans removes what the old intent named and no intent names any longer.
func (l *Ledger) dropOrphans(old, in *schema.Intent) {
	named := map[string]bool{}
	for _, t := range targetsOf(in) {
		named[t] = true
	}
	customer := old.GetCustomer().GetName()
	for _, t := range targetsOf(old) {
		if (!named[t] || customer != in.GetCustomer().GetName()) && !l.reachedByOtherIntent(customer, t, in.GetName()) {
			l.drop(ReachKey(customer, t))
		}
		if len(l.intentsByTarget[t]) == 0 {
			l.drop(ModelKey(t))
			l.drop(ServiceKey(t))
		}
	}
}

func (l *Ledger) reachedByOtherIntent(customer, target, except string) bool {
	for name := range l.intentsByTarget[target] {
		if name != except && l.records.Plan(l.planByIntent[name]).GetIntent().GetCustomer().GetName() == customer {
			return true
		}
	}
	return false
}

func (l *Ledger) putCustomer(c *schema.CustomerIntent) {
	l.putIfChanged(&schema.Record{Key: CustomerKey(c.GetName()), Value: &schema.Record_Customer{Customer: &schema.Customer{
		Name: c.GetName(), MaxConcurrent: c.GetMaxConcurrent(), Priority: c.GetPriority(),
		DefaultDeadlineMs: c.GetDefaultDeadline().AsDuration().Milliseconds(),
	}}})
}

// putIfChanged stores a record unless it is unchanged, so that followers receive only
// changes.
func (l *Ledger) putIfChanged(rec *schema.Record) {
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

// modelsOf returns the models and adapters of an intent.
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

// planLines returns what a confirmation would change, one line for each target.
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
	removed := map[string]bool{}
	for _, t := range targetsOf(l.records.Plan(l.planByIntent[in.GetName()]).GetIntent()) {
		removed[t] = true
	}
	for _, t := range targetsOf(in) {
		delete(removed, t)
	}
	var out []*schema.PlanLine
	for _, t := range slices.Sorted(maps.Keys(removed)) {
		out = append(out, &schema.PlanLine{Target: t, Change: changeRemove})
	}
	return out
}

func planStateName(s schema.PlanState) string {
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
