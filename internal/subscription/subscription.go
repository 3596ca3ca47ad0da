// Package subscription is the registry of the entries that subscribe to a control host:
// their demand, their loads at the engines, and how far they have acknowledged updates. The
// host reports the sums to the leader, in one report for all entries: 291 entries that
// reported one by one cost a leader with a quarter of a core more CPU time than all of its
// other work.
package subscription

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/quota"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// SilenceTimeout is how long an entry may send no report before callers are no longer sent
// to it. Entries send a report every 300 ms; a frozen entry sends none while its
// connections stay open.
const SilenceTimeout = 1200 * time.Millisecond

// maxBehindNames bounds how many of the entries that are furthest behind are named in a
// report.
const maxBehindNames = 4

// Config configures a Registry. All fields are required.
type Config struct {
	Now func() time.Time
	// QuotaWindow is the window over which teams' quotas are counted.
	QuotaWindow time.Duration
	Log         logr.Logger
}

// Registry contains the entries subscribed to a control host. All methods are safe for
// concurrent use.
type Registry struct {
	cfg Config
	// uses are the entries' uses of teams' quotas.
	uses *quota.Totals
	// reportRequested contains a token while a report to the leader is due at once.
	reportRequested chan struct{}

	mu sync.Mutex
	// subscriptions are by the entry's host name; guarded by mu, as all below.
	subscriptions map[string]*subscription
	// waiting is the number of requests that wait for each target at all entries that are
	// not silent.
	waiting map[target]uint32
	// demandSums is the demand since the last report to the leader, and reportedWaiting the
	// targets that the last report had waiting requests for.
	demandSums      map[target]*schema.ModelDemand
	reportedWaiting map[target]bool
	// loads are the sums of the engine loads of all entries that are not silent.
	loads map[string]*loadSum
	// listReported is set while the leader has the current list of entries.
	listReported bool
	// changedPermitDemands are the entries whose permit demands have changed since the last
	// report to the leader, and limits the servers' request limits reported since then, each
	// once.
	changedPermitDemands map[string]bool
	limits               map[limitKey]*schema.ServerLimit
	// leavingServers are the servers that entries have reported as leaving since then.
	leavingServers map[string]bool
	// expectedAck is the progress of the furthest update whose acknowledgement a pending
	// change may wait for.
	expectedAck Progress
}

// subscription is the stream of one entry.
type subscription struct {
	entry *schema.RosterEntry
	// incarnation identifies the entry's process: quota use from before a restart still
	// counts.
	incarnation string
	// stream distinguishes the entry's newest stream to this host from an older one that
	// ends late, and number is the entry's own count of its streams to all hosts.
	stream, number uint64
	stopping       bool
	silent         bool
	lastReceived   time.Time
	loads          []*schema.EngineLoad
	waiting        map[target]uint32
	permitDemands  []*schema.PermitDemand
	// acked is how far the entry has acknowledged updates.
	acked Progress
}

// loadSum is the sum of the entries' loads at an engine.
type loadSum struct {
	running, unread uint32
	// cooling counts the entries that the engine has asked for a cooldown.
	cooling uint32
	// models counts the entries that have requests for a model or one of its adapters.
	models map[string]int
}

// target names a model, or an adapter of it.
type target struct{ pool, model, adapter string }

// Progress is how far an entry, or a host with all of its entries, has received updates.
type Progress struct {
	// Known is the position in the leader's roster, Revision the one in the log.
	Known    roster.Position
	Revision uint64
}

// reaches reports whether p is at least as far as q.
func (p Progress) reaches(q Progress) bool {
	return !p.Known.Before(q.Known) && p.Revision >= q.Revision
}

// New returns an empty registry.
func New(cfg Config) *Registry {
	return &Registry{
		cfg: cfg, uses: quota.NewTotals(cfg.QuotaWindow), reportRequested: make(chan struct{}, 1), subscriptions: map[string]*subscription{},
		waiting:    map[target]uint32{},
		demandSums: map[target]*schema.ModelDemand{}, reportedWaiting: map[target]bool{}, loads: map[string]*loadSum{},
		changedPermitDemands: map[string]bool{}, limits: map[limitKey]*schema.ServerLimit{}, leavingServers: map[string]bool{},
	}
}

// ReportRequested returns a channel that has a token while a report to the leader is due at
// once, as when requests wait for a new target, or all entries have acknowledged what a
// pending change may wait for.
func (r *Registry) ReportRequested() <-chan struct{} { return r.reportRequested }

// RequestReport makes a report to the leader due at once.
func (r *Registry) RequestReport() {
	select {
	case r.reportRequested <- struct{}{}:
	default:
	}
}

// Subscribe adds an entry with its stream to this host. Stream numbers increase, and number
// is the entry's own count of its streams.
func (r *Registry) Subscribe(stream uint64, entry *schema.RosterEntry, number uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old := r.subscriptions[entry.GetHost()]; old != nil {
		r.clearState(old)
	}
	r.subscriptions[entry.GetHost()] = &subscription{entry: entry, stream: stream, number: number, lastReceived: r.cfg.Now(), waiting: map[target]uint32{}}
	r.listReported = false
	r.cfg.Log.Info("entry attends", "entry", entry.GetHost(), "address", entry.GetCallerAddress(), "attending", len(r.subscriptions))
}

// current returns the subscription of an entry if the stream is its newest, or nil; mu is
// held.
func (r *Registry) current(stream uint64, host string) *subscription {
	if s := r.subscriptions[host]; s != nil && s.stream == stream {
		return s
	}
	return nil
}

// HandleReport applies an entry's report.
func (r *Registry) HandleReport(stream uint64, host string, report *schema.EntryNews) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(stream, host)
	if s == nil {
		return
	}
	s.lastReceived = r.cfg.Now()
	if started := report.GetStartedMs(); started != 0 {
		s.incarnation = host + "/" + strconv.FormatUint(started, 10)
	}
	if s.stopping != report.GetStopping() || s.silent {
		s.stopping, s.silent, r.listReported = report.GetStopping(), false, false
		r.cfg.Log.Info("entry state", "entry", host, "stopping", s.stopping, "silent", false)
		r.RequestReport()
	}
	if s.entry.GetPathLost() != report.GetPathLost() {
		r.setPathLost(s, report.GetPathLost())
	}
	if report.GetLoadsTold() {
		r.setLoads(s, report.GetLoads())
	}
	if uses := report.GetTeamUses(); uses != nil {
		r.uses.Report(s.incarnation, uses, s.lastReceived)
	}
	for _, d := range report.GetDemands() {
		r.addDemand(s, d)
	}
	r.addLimits(report.GetLimits())
	r.setPermitDemands(s, report.GetPermitDemands())
	r.addLeavingServers(report.GetLeavingServers())
}

// setPathLost records whether an entry has lost its path to the backend servers; mu is held. Earlier
// lists may still be encoded, so that they keep the entry as it was.
func (r *Registry) setPathLost(s *subscription, lost bool) {
	entry := proto.Clone(s.entry).(*schema.RosterEntry)
	entry.PathLost = lost
	s.entry, r.listReported = entry, false
	r.cfg.Log.Info("entry path to servers", "entry", entry.GetHost(), "lost", lost)
	r.RequestReport()
}

// addDemand adds an entry's demand; mu is held.
func (r *Registry) addDemand(s *subscription, d *schema.ModelDemand) {
	t := target{d.GetPool(), d.GetModel(), d.GetAdapter()}
	sum := r.demandSum(t)
	sum.Arrived += d.GetArrived()
	sum.ReadUs += d.GetReadUs()
	sum.RanUs += d.GetRanUs()
	before := r.waiting[t]
	r.setWaiting(s, t, d.GetWaiting())
	if before == 0 && d.GetWaiting() > 0 {
		// More requests for a target that is waited for already are reported at the next
		// interval.
		r.RequestReport()
	}
}

// setWaiting sets how many requests wait for a target at an entry; mu is held.
func (r *Registry) setWaiting(s *subscription, t target, count uint32) {
	r.waiting[t] += count - s.waiting[t]
	if r.waiting[t] == 0 {
		delete(r.waiting, t)
	}
	if count == 0 {
		delete(s.waiting, t)
	} else {
		s.waiting[t] = count
	}
}

// setLoads sets an entry's loads at the engines; mu is held.
func (r *Registry) setLoads(s *subscription, loads []*schema.EngineLoad) {
	for _, l := range s.loads {
		sum := r.loads[l.GetServer()]
		sum.running -= l.GetRunning()
		sum.unread -= l.GetUnread()
		sum.cooling -= l.GetCooling()
		for _, m := range l.GetModels() {
			if sum.models[m]--; sum.models[m] == 0 {
				delete(sum.models, m)
			}
		}
	}
	for _, l := range loads {
		sum := r.loads[l.GetServer()]
		if sum == nil {
			sum = &loadSum{models: map[string]int{}}
			r.loads[l.GetServer()] = sum
		}
		sum.running += l.GetRunning()
		sum.unread += l.GetUnread()
		sum.cooling += l.GetCooling()
		for _, m := range l.GetModels() {
			sum.models[m]++
		}
	}
	s.loads = loads
}

// clearState removes the waiting requests and the loads of an entry that is gone. Its
// requests at engines may still run, but nothing reports them any more. mu is held.
func (r *Registry) clearState(s *subscription) {
	for t := range s.waiting {
		r.setWaiting(s, t, 0)
	}
	r.setLoads(s, nil)
	r.setPermitDemands(s, nil)
}

// Acknowledge records how far an entry has acknowledged updates.
func (r *Registry) Acknowledge(stream uint64, host string, progress Progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(stream, host)
	if s == nil {
		return
	}
	pending := !r.leastAcked().reaches(r.expectedAck)
	s.acked = progress
	if pending && r.leastAcked().reaches(r.expectedAck) {
		r.RequestReport()
	}
}

// ExpectAck records that a pending change may wait until all entries have acknowledged this
// progress.
func (r *Registry) ExpectAck(progress Progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expectedAck.Known.Before(progress.Known) {
		r.expectedAck.Known = progress.Known
	}
	r.expectedAck.Revision = max(r.expectedAck.Revision, progress.Revision)
}

// leastAcked returns how far all entries that are not silent have acknowledged updates; mu
// is held. Without such entries it returns the maximum.
func (r *Registry) leastAcked() Progress {
	out := Progress{Known: roster.MaxPosition, Revision: ^uint64(0)}
	for _, s := range r.subscriptions {
		if !s.silent {
			out = out.min(s.acked)
		}
	}
	return out
}

// min returns what both p and q have reached.
func (p Progress) min(q Progress) Progress {
	if q.Known.Before(p.Known) {
		p.Known = q.Known
	}
	p.Revision = min(p.Revision, q.Revision)
	return p
}

// Count returns the number of subscribed entries.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.subscriptions)
}

// Unsubscribe removes an entry when its stream ends, and logs why it ended.
func (r *Registry) Unsubscribe(stream uint64, host, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current(stream, host)
	if s == nil {
		return
	}
	r.clearState(s)
	delete(r.subscriptions, host)
	r.listReported = false
	r.cfg.Log.Info("entry left", "entry", host, "attending", len(r.subscriptions), "error", reason)
	r.RequestReport()
}

// Sweep marks entries as silent that have sent no report for SilenceTimeout.
func (r *Registry) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for host, s := range r.subscriptions {
		if s.silent || r.cfg.Now().Sub(s.lastReceived) <= SilenceTimeout {
			continue
		}
		s.silent, r.listReported = true, false
		r.clearState(s)
		r.cfg.Log.Info("entry state", "entry", host, "stopping", s.stopping, "silent", true)
		r.RequestReport()
	}
}

// ResetReported clears the record of what was reported: the next report, to another leader,
// is complete.
func (r *Registry) ResetReported() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listReported = false
	clear(r.reportedWaiting)
	for host := range r.subscriptions {
		r.changedPermitDemands[host] = true
	}
}

// NextReport returns the next report to the leader, where own is how far this host itself
// has received updates. With loads it includes the entries' loads at the engines.
func (r *Registry) NextReport(own Progress, loads bool) *schema.HostNews {
	r.mu.Lock()
	defer r.mu.Unlock()
	acked := own.min(r.leastAcked())
	report := &schema.HostNews{
		Known: acked.Known.Message(), Revision: acked.Revision, Behind: r.entriesBehind(acked, own), Demands: r.takeDemands(),
		Limits: r.takeLimits(), PermitDemands: r.takePermitDemands(),
		LeavingServers: r.takeLeavingServers(),
	}
	if loads {
		report.Loads, report.LoadsTold = r.engineLoads(), true
		report.TeamUses = r.uses.Sum(r.cfg.Now(), nil)
	}
	if !r.listReported {
		report.Entries, report.EntriesTold, r.listReported = r.listEntries(), true, true
	}
	return report
}

// entriesBehind returns the names of up to maxBehindNames entries that limit the reported
// progress; mu is held.
func (r *Registry) entriesBehind(acked, own Progress) []string {
	if acked == own {
		return nil
	}
	var out []string
	for host, s := range r.subscriptions {
		if !s.silent && len(out) < maxBehindNames && (s.acked.Known == acked.Known && acked.Known.Before(own.Known) ||
			s.acked.Revision == acked.Revision && acked.Revision < own.Revision) {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}

// takeDemands returns the demand that was not reported yet. Waiting requests are reported
// each time, and their end once; mu is held.
func (r *Registry) takeDemands() []*schema.ModelDemand {
	for t := range r.waiting {
		r.demandSum(t)
	}
	for t := range r.reportedWaiting {
		r.demandSum(t)
	}
	out := make([]*schema.ModelDemand, 0, len(r.demandSums))
	clear(r.reportedWaiting)
	for t, d := range r.demandSums {
		if d.Waiting = r.waiting[t]; d.Waiting > 0 {
			r.reportedWaiting[t] = true
		}
		out = append(out, d)
	}
	clear(r.demandSums)
	return out
}

// demandSum returns the demand for a target since the last report; mu is held.
func (r *Registry) demandSum(t target) *schema.ModelDemand {
	d := r.demandSums[t]
	if d == nil {
		d = &schema.ModelDemand{Pool: t.pool, Model: t.model, Adapter: t.adapter}
		r.demandSums[t] = d
	}
	return d
}

// engineLoads returns the loads at the engines of all entries that are not silent; mu is
// held.
func (r *Registry) engineLoads() []*schema.EngineLoad {
	out := make([]*schema.EngineLoad, 0, len(r.loads))
	for id, sum := range r.loads {
		if sum.running == 0 && sum.unread == 0 && sum.cooling == 0 && len(sum.models) == 0 {
			delete(r.loads, id)
			continue
		}
		out = append(out, &schema.EngineLoad{
			Server: id, Running: sum.running, Unread: sum.unread, Models: slices.Sorted(maps.Keys(sum.models)), Cooling: sum.cooling,
		})
	}
	return out
}

// listEntries returns all entries that are not silent; mu is held.
func (r *Registry) listEntries() []*schema.AttendingEntry {
	out := []*schema.AttendingEntry{}
	for _, s := range r.subscriptions {
		if !s.silent {
			out = append(out, &schema.AttendingEntry{Entry: s.entry, Stopping: s.stopping, Stream: s.number})
		}
	}
	slices.SortFunc(out, func(a, b *schema.AttendingEntry) int {
		return cmp.Compare(a.GetEntry().GetHost(), b.GetEntry().GetHost())
	})
	return out
}
