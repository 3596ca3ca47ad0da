// Package subscription is what a control host knows of the entries that attend it: which
// there are, what they are asked for, what they have at the engines and how far they have
// been told. The leader is told the sum, in one word for all of them: told one by one, 291
// entries cost a leader of a quarter of a core more than all else that it did.
package subscription

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"fennelyard/internal/quota"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// SilenceTimeout is how long an entry may say nothing before callers are no longer sent to it.
// Entries speak every 300 ms; a frozen one says nothing while its connections stay open.
const SilenceTimeout = 1200 * time.Millisecond

// behindMost is how many of the entries that are told no further than others are named.
const behindMost = 4

// Config configures Entries. All fields are required.
type Config struct {
	Now func() time.Time
	// QuotaWindow is the window over which teams' quotas are counted.
	QuotaWindow time.Duration
	Log         logr.Logger
}

// Registry are the entries that attend a control host. All methods are safe from any
// goroutine.
type Registry struct {
	cfg Config
	// uses are what the entries admitted of the teams' quotas.
	uses *quota.Totals
	// urgent holds a token while the leader should be told soon.
	urgent chan struct{}

	mu sync.Mutex
	// entries are by the entry's host; guarded by mu, as all below.
	entries map[string]*attendee
	// waiting is how many requests wait for each target at all entries that speak.
	waiting map[target]uint32
	// since is what was asked for since the last word to the leader, and said the
	// targets whose waiting requests it has been told of.
	since map[target]*schema.ModelDemand
	said  map[target]bool
	// loads is what all entries that speak have at the engines.
	loads map[string]*engineLoad
	// listed is set while the leader knows the list of entries as it is.
	listed bool
	// confirm is how far the entries were told by a word that somebody may wait for.
	confirm Progress
}

// attendee is one entry's stream.
type attendee struct {
	entry *schema.RosterEntry
	// start names the start of the entry: what it admitted before it restarted still counts.
	start string
	// stream tells its newer stream to this host from an older one that ends late, and
	// number is the entry's own count, over all hosts.
	stream, number uint64
	stopping       bool
	silent         bool
	heard          time.Time
	loads          []*schema.EngineLoad
	waiting        map[target]uint32
	// told is how far the entry has been told, by its own word.
	told Progress
}

// engineLoad is the sum of what entries have at an engine.
type engineLoad struct {
	running, unread uint32
	// models counts the entries that have requests for a model, or for an adapter of one.
	models map[string]int
}

// target names a model, or an adapter of it.
type target struct{ pool, model, adapter string }

// Progress is how far an entry, or a host with all of its entries, has been told.
type Progress struct {
	// Known is of the leader's roster, Revision of the log.
	Known    roster.Position
	Revision uint64
}

// reaches reports whether all of far has been told.
func (t Progress) reaches(far Progress) bool {
	return !t.Known.Before(far.Known) && t.Revision >= far.Revision
}

// New returns a registry without entries.
func New(cfg Config) *Registry {
	return &Registry{
		cfg: cfg, uses: quota.NewTotals(cfg.QuotaWindow), urgent: make(chan struct{}, 1), entries: map[string]*attendee{}, waiting: map[target]uint32{},
		since: map[target]*schema.ModelDemand{}, said: map[target]bool{}, loads: map[string]*engineLoad{},
	}
}

// ReportRequested receives when the leader should be told at once: requests wait, or what somebody
// may wait for has been told to all entries.
func (e *Registry) ReportRequested() <-chan struct{} { return e.urgent }

// RequestReport has the leader told at once.
func (e *Registry) RequestReport() {
	select {
	case e.urgent <- struct{}{}:
	default:
	}
}

// Subscribe notes that an entry speaks on a stream to this host; stream numbers grow, and
// number is the entry's own.
func (e *Registry) Subscribe(stream uint64, entry *schema.RosterEntry, number uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old := e.entries[entry.GetHost()]; old != nil {
		e.empty(old)
	}
	e.entries[entry.GetHost()] = &attendee{entry: entry, stream: stream, number: number, heard: e.cfg.Now(), waiting: map[target]uint32{}}
	e.listed = false
	e.cfg.Log.Info("entry attends", "entry", entry.GetHost(), "address", entry.GetCallerAddress(), "attending", len(e.entries))
}

// present returns an entry if the stream is its newest; mu is held.
func (e *Registry) present(stream uint64, host string) *attendee {
	if a := e.entries[host]; a != nil && a.stream == stream {
		return a
	}
	return nil
}

// HandleReport takes in an entry's word.
func (e *Registry) HandleReport(stream uint64, host string, news *schema.EntryNews) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.present(stream, host)
	if a == nil {
		return
	}
	a.heard = e.cfg.Now()
	if started := news.GetStartedMs(); started != 0 {
		a.start = host + "/" + strconv.FormatUint(started, 10)
	}
	if a.stopping != news.GetStopping() || a.silent {
		a.stopping, a.silent, e.listed = news.GetStopping(), false, false
		e.cfg.Log.Info("entry state", "entry", host, "stopping", a.stopping, "silent", false)
		e.RequestReport()
	}
	if news.GetLoadsTold() {
		e.load(a, news.GetLoads())
	}
	if u := news.GetTeamUses(); u != nil {
		e.uses.Report(a.start, u, a.heard)
	}
	for _, d := range news.GetDemands() {
		e.demand(a, d)
	}
}

// demand adds what an entry was asked for; mu is held.
func (e *Registry) demand(a *attendee, d *schema.ModelDemand) {
	t := target{d.GetPool(), d.GetModel(), d.GetAdapter()}
	sum := e.sum(t)
	sum.Arrived += d.GetArrived()
	sum.ReadUs += d.GetReadUs()
	sum.RanUs += d.GetRanUs()
	before := e.waiting[t]
	e.wait(a, t, d.GetWaiting())
	if before == 0 && d.GetWaiting() > 0 {
		// More requests for what is waited for already are told with the next beat.
		e.RequestReport()
	}
}

// wait sets how many requests wait for a target at an entry; mu is held.
func (e *Registry) wait(a *attendee, t target, n uint32) {
	e.waiting[t] += n - a.waiting[t]
	if e.waiting[t] == 0 {
		delete(e.waiting, t)
	}
	if n == 0 {
		delete(a.waiting, t)
	} else {
		a.waiting[t] = n
	}
}

// load sets what an entry has at the engines; mu is held.
func (e *Registry) load(a *attendee, loads []*schema.EngineLoad) {
	for _, l := range a.loads {
		sum := e.loads[l.GetServer()]
		sum.running -= l.GetRunning()
		sum.unread -= l.GetUnread()
		for _, m := range l.GetModels() {
			if sum.models[m]--; sum.models[m] == 0 {
				delete(sum.models, m)
			}
		}
	}
	for _, l := range loads {
		sum := e.loads[l.GetServer()]
		if sum == nil {
			sum = &engineLoad{models: map[string]int{}}
			e.loads[l.GetServer()] = sum
		}
		sum.running += l.GetRunning()
		sum.unread += l.GetUnread()
		for _, m := range l.GetModels() {
			sum.models[m]++
		}
	}
	a.loads = loads
}

// empty forgets what waits at an entry that has gone, and what it had at the engines: that
// is not known to have ended, but nobody says so either. mu is held.
func (e *Registry) empty(a *attendee) {
	for t := range a.waiting {
		e.wait(a, t, 0)
	}
	e.load(a, nil)
}

// Acknowledge notes how far an entry says that it was told.
func (e *Registry) Acknowledge(stream uint64, host string, far Progress) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.present(stream, host)
	if a == nil {
		return
	}
	lacked := !e.least().reaches(e.confirm)
	a.told = far
	if lacked && e.least().reaches(e.confirm) {
		e.RequestReport()
	}
}

// ExpectAck notes that somebody may wait until all entries have been told so far.
func (e *Registry) ExpectAck(far Progress) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.confirm.Known.Before(far.Known) {
		e.confirm.Known = far.Known
	}
	e.confirm.Revision = max(e.confirm.Revision, far.Revision)
}

// least is how far all entries that speak have been told; mu is held. With none it is
// further than anything.
func (e *Registry) least() Progress {
	out := Progress{Known: roster.MaxPosition, Revision: ^uint64(0)}
	for _, a := range e.entries {
		if !a.silent {
			out = out.least(a.told)
		}
	}
	return out
}

// least is how far both have been told.
func (t Progress) least(u Progress) Progress {
	if u.Known.Before(t.Known) {
		t.Known = u.Known
	}
	t.Revision = min(t.Revision, u.Revision)
	return t
}

// Count returns the number of entries that attend.
func (e *Registry) Count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.entries)
}

// Unsubscribe notes the end of an entry's stream.
func (e *Registry) Unsubscribe(stream uint64, host string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.present(stream, host)
	if a == nil {
		return
	}
	e.empty(a)
	delete(e.entries, host)
	e.listed = false
	e.cfg.Log.Info("entry left", "entry", host, "attending", len(e.entries))
	e.RequestReport()
}

// Sweep leaves out entries that have fallen silent.
func (e *Registry) Sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for host, a := range e.entries {
		if a.silent || e.cfg.Now().Sub(a.heard) <= SilenceTimeout {
			continue
		}
		a.silent, e.listed = true, false
		e.empty(a)
		e.cfg.Log.Info("entry state", "entry", host, "stopping", a.stopping, "silent", true)
		e.RequestReport()
	}
}

// ResetReported forgets what a leader was told: a word to another one begins with everything.
func (e *Registry) ResetReported() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed = false
	clear(e.said)
}

// NextReport returns the next word to the leader, of entries that are told by a host which
// itself has been told so far; with loads also what they have at the engines.
func (e *Registry) NextReport(own Progress, loads bool) *schema.HostNews {
	e.mu.Lock()
	defer e.mu.Unlock()
	far := own.least(e.least())
	news := &schema.HostNews{
		Known: far.Known.Message(), Revision: far.Revision, Behind: e.behind(far, own), Demands: e.demands(),
	}
	if loads {
		news.Loads, news.LoadsTold = e.engines(), true
		news.TeamUses = e.uses.Sum(e.cfg.Now(), nil)
	}
	if !e.listed {
		news.Entries, news.EntriesTold, e.listed = e.list(), true, true
	}
	return news
}

// behind names entries that hold back how far all are told; mu is held.
func (e *Registry) behind(far, own Progress) []string {
	if far == own {
		return nil
	}
	var out []string
	for host, a := range e.entries {
		if !a.silent && len(out) < behindMost && (a.told.Known == far.Known && far.Known.Before(own.Known) ||
			a.told.Revision == far.Revision && far.Revision < own.Revision) {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}

// demands is what the leader does not know yet. What waits is said each time, what no
// longer waits once; mu is held.
func (e *Registry) demands() []*schema.ModelDemand {
	for t := range e.waiting {
		e.sum(t)
	}
	for t := range e.said {
		e.sum(t)
	}
	out := make([]*schema.ModelDemand, 0, len(e.since))
	clear(e.said)
	for t, d := range e.since {
		if d.Waiting = e.waiting[t]; d.Waiting > 0 {
			e.said[t] = true
		}
		out = append(out, d)
	}
	clear(e.since)
	return out
}

// sum returns what was asked for of a target since the last word; mu is held.
func (e *Registry) sum(t target) *schema.ModelDemand {
	d := e.since[t]
	if d == nil {
		d = &schema.ModelDemand{Pool: t.pool, Model: t.model, Adapter: t.adapter}
		e.since[t] = d
	}
	return d
}

// engines is what all entries that speak have at the engines; mu is held.
func (e *Registry) engines() []*schema.EngineLoad {
	out := make([]*schema.EngineLoad, 0, len(e.loads))
	for id, sum := range e.loads {
		if sum.running == 0 && sum.unread == 0 && len(sum.models) == 0 {
			delete(e.loads, id)
			continue
		}
		out = append(out, &schema.EngineLoad{
			Server: id, Running: sum.running, Unread: sum.unread, Models: slices.Sorted(maps.Keys(sum.models)),
		})
	}
	return out
}

// list is every entry that speaks; mu is held.
func (e *Registry) list() []*schema.AttendingEntry {
	out := []*schema.AttendingEntry{}
	for _, a := range e.entries {
		if !a.silent {
			out = append(out, &schema.AttendingEntry{Entry: a.entry, Stopping: a.stopping, Stream: a.number})
		}
	}
	slices.SortFunc(out, func(a, b *schema.AttendingEntry) int {
		return cmp.Compare(a.GetEntry().GetHost(), b.GetEntry().GetHost())
	})
	return out
}
