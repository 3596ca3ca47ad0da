package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/schema"
)

// Configure applies changes as received from the leader.
func (g *Gateway) Configure(c *schema.Changes) { g.configure(c) }

// ApplyUpdate applies an update of the leader.
func (g *Gateway) ApplyUpdate(update *schema.LeaderNews) error {
	return newSubscriber(g).applyUpdate(update)
}

// ApplyServers applies servers as received from the leader.
func (g *Gateway) ApplyServers(prune bool, views ...*schema.RosterServer) {
	known := map[string]bool{}
	for _, v := range views {
		known[v.GetId()] = true
	}
	g.fleet.update(views, prune, known)
}

// SetConfirmationAge sets how long ago the configuration was confirmed.
func (g *Gateway) SetConfirmationAge(age time.Duration) {
	g.subscriber.mu.Lock()
	defer g.subscriber.mu.Unlock()
	g.subscriber.confirmed = time.Now().Add(-age)
}

// HoldLease confirms the configuration for as long as a test takes. Without a lease an entry sends health checks, for which
// it opens connections.
func (g *Gateway) HoldLease() { g.SetConfirmationAge(-time.Hour) }

// RecordConfirmation applies a host's update that acknowledges the report sent sentAfter after
// the gateway's start, and returns the age of the confirmation.
func (g *Gateway) RecordConfirmation(sentAfter, confirmedAge time.Duration) time.Duration {
	g.subscriber.recordConfirmation(&schema.LeaderNews{EchoUs: uint64(sentAfter.Microseconds()), ConfirmedAgeMs: confirmedAge.Milliseconds()})
	return time.Since(g.subscriber.confirmedAt())
}

// ServerCount returns the number of known servers.
func (g *Gateway) ServerCount() int { return g.fleet.count() }

// SetEntries applies the list of entries as received from the leader.
func (g *Gateway) SetEntries(list []*schema.RosterEntry) { g.setEntries(list) }

// SetRejectionLimit records that a response has stated a rejection limit.
func (g *Gateway) SetRejectionLimit(pool string, perSecond float64) {
	g.SetOldRejectionLimit(pool, perSecond, 0)
}

// SetOldRejectionLimit records that a response has stated a rejection limit some time ago.
func (g *Gateway) SetOldRejectionLimit(pool string, perSecond float64, age time.Duration) {
	g.fleet.rejectionLimits.Observe(pool, perSecond, time.Now().Add(-age))
}

// AbandonedRequests returns the number of abandoned requests that have kept their places at servers.
func (g *Gateway) AbandonedRequests() int {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	n := 0
	for _, s := range g.fleet.servers {
		n += len(s.abandoned)
	}
	return n
}

// CopyOf returns a request to a plain service of which no copy has completed, with the key of its copies.
func CopyOf(key string) *RequestInfo { return &RequestInfo{copyKey: key} }

// Engines is a set of engines with the model m loaded, for tests of the choice.
type Engines struct {
	f      *fleet
	random func(int) int
}

// NewEngines returns the engines e0, e1 and so on.
func NewEngines(n int) *Engines {
	f := newFleet()
	var views []*schema.RosterServer
	for i := range n {
		views = append(views, &schema.RosterServer{
			Id: fmt.Sprint("e", i), Pool: "p", Models: []*schema.HeldModel{{Name: "m", Adapters: []string{"a"}}},
		})
	}
	f.update(views, false, nil)
	return &Engines{f, func(int) int { return 0 }}
}

// ApplyServers applies engines as received from the leader.
func (e *Engines) ApplyServers(views ...*schema.RosterServer) { e.f.update(views, false, nil) }

// SetLoads sets the load of all entries at the engines.
func (e *Engines) SetLoads(loads ...*schema.EngineLoad) { e.f.setLoads(loads) }

// Send chooses an engine for a request and records that it was sent there.
func (e *Engines) Send(info *RequestInfo) string {
	s := e.f.choose("p", info, nil, time.Now(), e.random)
	e.f.admit(s, info)
	e.f.requestSent(s, info)
	return s.view.GetId()
}

// Admit reports whether a request may be sent to an engine now, and takes what it needs.
func (e *Engines) Admit(id string, info *RequestInfo) bool {
	_, ok := e.f.admit(e.f.servers[id], info)
	return ok
}

// RecordCooldown records that an engine has just asked for a cooldown.
func (e *Engines) RecordCooldown(id string, wait time.Duration) {
	e.f.observeCooldown(e.f.servers[id], wait, time.Now())
}

// RecordDeparture records that a response of an engine states that it leaves.
func (e *Engines) RecordDeparture(id string) { e.f.recordDeparture(e.f.servers[id], time.Now()) }

// RecordEnded records that other entries found some time ago that an engine had ended.
func (e *Engines) RecordEnded(id string, age time.Duration) {
	e.f.recordEnded([]*schema.Suspect{{Ended: []*schema.EndedServer{{Server: id}}, AgeMs: age.Milliseconds()}}, time.Now())
}

// AddPermits adds permits for an engine that the leader has just granted.
func (e *Engines) AddPermits(id string, n uint32) { e.AddOldPermits(id, n, 0) }

// AddOldPermits adds permits for an engine that the leader granted some time ago.
func (e *Engines) AddOldPermits(id string, n uint32, age time.Duration) {
	e.f.addPermits([]*schema.PermitGrant{{Server: id, Count: n, AgeMs: age.Milliseconds()}}, time.Now())
}

// HasEngine reports whether any engine can serve a request.
func (e *Engines) HasEngine(info *RequestInfo) bool {
	return e.f.choose("p", info, nil, time.Now(), e.random) != nil
}

// UncachedTokens returns the number of a request's tokens that an engine has to prefill, by
// incarnation key.
func (e *Engines) UncachedTokens(key string, info *RequestInfo) int {
	return e.f.servers[key].uncached(info)
}

// Choose chooses an engine for a request.
func (e *Engines) Choose(info *RequestInfo) string {
	return e.f.choose("p", info, nil, time.Now(), e.random).view.GetId()
}

// SetEntries sets the number of entries and the seed of this entry's random numbers.
func (e *Engines) SetEntries(entries int, seed uint64) {
	e.f.setEntries(entries)
	e.random = rand.New(rand.NewPCG(seed, 1)).IntN
}

// SetSlots sets the number of requests that each engine runs at once.
func (e *Engines) SetSlots(n uint32) {
	for _, s := range e.f.servers {
		s.view.Slots = n
	}
}

// SetVersion sets the version of the software of some engines, with room for slots requests.
func (e *Engines) SetVersion(version string, slots uint32, ids ...string) {
	var views []*schema.RosterServer
	for _, id := range ids {
		view := proto.Clone(e.f.servers[id].view).(*schema.RosterServer)
		view.Software, view.Slots = version, slots
		views = append(views, view)
	}
	e.f.update(views, false, nil)
}

// ResumedAt returns a request that continues a stream of a version's servers.
func ResumedAt(version, model string) *RequestInfo {
	return &RequestInfo{Model: model, resumable: true, bound: true, version: version}
}

// ObserveRunTime records how long an engine ran a request.
func (e *Engines) ObserveRunTime(d time.Duration) { e.f.poolStats("p").observeEnd(d) }

// SetMinGap sets the longest allowed pause between events of the pool's streams.
func (e *Engines) SetMinGap(gap time.Duration) { e.f.poolStats("p").minGap = gap }

// Serve sends a request and ends it.
func (e *Engines) Serve(info *RequestInfo) {
	s := e.f.choose("p", info, nil, time.Now(), e.random)
	tokens, _, _ := e.f.requestSent(s, info)
	e.f.prefillDone(s, tokens)
	e.f.requestEnded(s, info, 0)
}

// ObservePrefillRate records first events of engines with this prefill rate, in tokens per
// millisecond, and 40 ms of other delay.
func (e *Engines) ObservePrefillRate(rate float64) {
	for i := range 400 {
		tokens := i * 37 % 2000
		e.f.observeFirstEvent("p", tokens, 40*time.Millisecond+time.Duration(float64(tokens)/rate*float64(time.Millisecond)))
	}
}

// PrefillRate returns the estimated prefill rate in tokens per millisecond.
func (e *Engines) PrefillRate() float64 { return e.f.poolStats("p").prefillRate() }

// RecordFailure records a failure of an engine.
func (e *Engines) RecordFailure(id string) { e.f.recordFailure(e.f.servers[id], time.Now()) }

// ReportedLoad returns the load that is reported to the leader for an engine.
func (e *Engines) ReportedLoad(id string) (running, pendingPrefill uint32) {
	for _, l := range e.f.reportLoads() {
		if l.GetServer() == id {
			return l.GetRunning(), l.GetUnread()
		}
	}
	return 0, 0
}

// FirstUpdateWait returns the timeout for a host's first update.
func FirstUpdateWait(failedRounds int) time.Duration { return firstUpdateWait(failedRounds) }

// AttemptTimer is the timer of one attempt.
type AttemptTimer struct{ t *attemptTimer }

// NewAttemptTimer starts the timer of an attempt that cancel ends.
func NewAttemptTimer(timeout time.Duration, cancel func(), reserveRetry func() bool) *AttemptTimer {
	return &AttemptTimer{newAttemptTimer(timeout, cancel, reserveRetry)}
}

// Stop records that the response has started.
func (t *AttemptTimer) Stop() bool { return t.t.stop() }

// ControlHosts is the set of control hosts that an entry can subscribe to.
type ControlHosts struct{ h *controlHosts }

// NewControlHosts returns the hosts known to an entry that has only seeds.
func NewControlHosts(self *schema.RosterEntry, seeds []string) *ControlHosts {
	return &ControlHosts{newControlHosts(self, func() []string { return seeds })}
}

// SetFollowers sets the hosts that follow the leader.
func (c *ControlHosts) SetFollowers(hosts ...*schema.ControlHost) { c.h.followers = hosts }

// Next returns the host to try next.
func (c *ControlHosts) Next(now time.Time) string { return c.h.next(now) }

// PreferredTo returns a host that is preferred to the current one.
func (c *ControlHosts) PreferredTo(current string, now time.Time) string {
	return c.h.preferredTo(current, now)
}

// RecordFailure records a failed attempt at a host.
func (c *ControlHosts) RecordFailure(address string, now time.Time) { c.h.recordFailure(address, now) }

// RecordSuccess records that a host sends the leader's updates.
func (c *ControlHosts) RecordSuccess(address string) { c.h.recordSuccess(address) }

// RetryInterval returns the time to wait before the next host is tried.
func (c *ControlHosts) RetryInterval() time.Duration { return c.h.retryInterval() }

// DemandTracker collects the demand that an entry reports to the leader.
type DemandTracker struct{ d *demandTracker }

// NewDemandTracker returns a tracker without demand.
func NewDemandTracker() *DemandTracker { return &DemandTracker{newDemandTracker()} }

// AddWaiting adds n requests that wait for a model.
func (d *DemandTracker) AddWaiting(model string, n int) { d.d.addWaiting(target{"p", model, ""}, n) }

// Collect returns the number of waiting requests by model in the next report.
func (d *DemandTracker) Collect() map[string]int {
	out := map[string]int{}
	for _, demand := range d.d.collect() {
		out[demand.GetModel()] = int(demand.GetWaiting())
	}
	return out
}

// Urgent reports whether a report should leave at once.
func (d *DemandTracker) Urgent() bool {
	select {
	case <-d.d.urgent:
		return true
	default:
		return false
	}
}

// Deferred reports whether a report should leave before the report interval has elapsed.
func (d *DemandTracker) Deferred() bool {
	select {
	case <-d.d.deferred:
		return true
	default:
		return false
	}
}

// SetForecast sets the leader's forecast for a model as received at a time.
func (d *DemandTracker) SetForecast(model string, readyMs int64, at time.Time) {
	d.d.setForecasts([]*schema.LoadForecast{{Pool: "p", Model: model, ReadyInMs: readyMs}}, at)
}

// HasForecast reports whether a request that started at a time has a forecast.
func (d *DemandTracker) HasForecast(model string, start time.Time) bool {
	_, ok := d.d.forecast(target{"p", model, ""}, start)
	return ok
}

// ExceedsBacklog reports whether a request with an aim is refused because the engine that it
// would be sent to has too large a backlog.
func (e *Engines) ExceedsBacklog(info *RequestInfo, aim time.Duration) bool {
	return e.f.backlog(e.f.choose("p", info, nil, time.Now(), e.random), info).exceeds(aim)
}

// PrefillDone records that an engine has processed prompt tokens that were sent to it.
func (e *Engines) PrefillDone(id string, tokens int) { e.f.prefillDone(e.f.servers[id], tokens) }

// RequestEnded records the end of a request at an engine.
func (e *Engines) RequestEnded(id string, info *RequestInfo) {
	e.f.requestEnded(e.f.servers[id], info, 0)
}

// MaxEndedServers returns the largest number of servers that this entry has found to have ended
// under the same request.
func (g *Gateway) MaxEndedServers() int {
	most := 0
	list, _ := g.guard.Suspects().Since(0, quarantine.PartAll)
	for _, s := range list {
		most = max(most, len(s.GetEnded()))
	}
	return most
}

// SetRetryBudget sets the budget of pools that have had no request.
func (g *Gateway) SetRetryBudget(budget RetryBudgetConfig) { g.cfg.RetryBudget = budget }

// WithdrawRetry takes a retry from a pool's budget.
func (g *Gateway) WithdrawRetry(pool string, now time.Time) bool {
	return g.retryBudget(pool).withdraw(now, g.sharingEntries())
}

// SetForecast sets the leader's forecast of when a model of the pool p is ready; negative: none.
func (g *Gateway) SetForecast(model string, ready time.Duration) {
	g.demand.setForecasts([]*schema.LoadForecast{{Pool: "p", Model: model, ReadyInMs: ready.Milliseconds()}}, time.Now())
}

// AddPermits adds permits for a server that the leader has just granted.
func (g *Gateway) AddPermits(id string, n uint32) {
	g.fleet.addPermits([]*schema.PermitGrant{{Server: id, Count: n}}, time.Now())
}

// HoldBackPart records that enough servers have ended under a prompt part to hold it back.
func (g *Gateway) HoldBackPart(id string) {
	part := quarantine.Carrier{Scope: quarantine.ScopePart, Name: id, Depth: 1}
	for _, server := range []string{"ended-1", "ended-2", "ended-3"} {
		g.guard.Suspects().Accuse(server, time.Now(), []quarantine.Accusation{{Key: part.Key(), Scope: part.Scope, Depth: part.Depth}})
	}
}

// Bounds of RecentEntries.
const (
	EntryRetention     = entryRetention
	MaxDepartedEntries = maxDepartedEntries
)

// RecentEntries is the record of a gateway's other entries.
type RecentEntries struct{ entries recentEntries }

// Set applies a list of the leader.
func (r *RecentEntries) Set(list []*schema.RosterEntry, self string, now time.Time) {
	r.entries.set(list, self, now)
}

// All returns the addresses of the other entries.
func (r *RecentEntries) All(now time.Time) []string { return r.entries.all(now) }

// UsableLoad returns the mean number of requests that a server may have of entries that each have less
// than one request's share of it, and ChanceOverloads how often a second its rejection limit may be exceeded.
func UsableLoad(capacity, limit, runSeconds float64) float64 {
	return usableLoad(capacity, limit, runSeconds)
}

const ChanceOverloads = chanceOverloads

// GrantQuota grants an amount of a team's quota for a minute.
func (g *Gateway) GrantQuota(team string, amount float64) {
	g.quotas.Grant(team, amount, time.Now().Add(time.Minute), time.Now())
}

// SetTeamUses sets the uses of quotas over all entries.
func (g *Gateway) SetTeamUses(uses *schema.TeamUses) { g.quotas.SetTotals(1, uses) }

// LoseLease ends the lease of the leader's view of the engines, and the updates of the leader, at one of some entries.
func (e *Engines) LoseLease(entries int) {
	e.f.sharingEntries = func() int { return entries }
	e.f.confirmedAt, e.f.connected = func() time.Time { return time.Time{} }, func() bool { return false }
}

// SetRejectionLimit records that the engines have stated a rejection limit.
func (e *Engines) SetRejectionLimit(perSecond float64, now time.Time) {
	e.f.rejectionLimits.Observe("p", perSecond, now)
}

// HealthChecks returns the number of health checks that this entry sends at a time at which a request could be sent. They are
// over at once, and rejected on request.
func (e *Engines) HealthChecks(now time.Time, rejected bool) int {
	for _, s := range e.f.servers {
		s.health.wantedAt = now
	}
	checks := e.f.serversToCheck(maxHealthChecks, func(string) bool { return true }, now)
	for _, s := range checks {
		if rejected {
			e.f.rejectedForRoom(s, now)
		}
		e.f.checkEnded(s)
	}
	return len(checks)
}
