package roster

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/schema"
)

// MirrorConfig configures a Mirror. All fields are required.
type MirrorConfig struct {
	Now func() time.Time
}

// Mirror is a control host's copy of the leader's roster, by the leader's words. Entries
// that attend the host are told from it. It outlives a change of leader: what the next
// leader says is compared with it, and entries are told the difference. All methods are
// safe from any goroutine.
type Mirror struct {
	cfg MirrorConfig

	mu sync.Mutex
	// at is how far the present leader's roster is known, and began where its first word
	// led; before and beforeBegan are the same of the leader before. Guarded by mu, as all
	// below.
	at, began           Position
	before, beforeBegan Position
	servers             map[string]*mirrored
	// recent holds the same servers, the last changed one at the back.
	recent *list.List
	// started counts the servers that live and tell their starts, by the server's id.
	started map[string]int
	// named are the servers that the present leader has named, and settled is set once all
	// others are gone.
	named   map[string]bool
	settled bool
	// forgotten is the last change that is not remembered any more.
	forgotten Position
	entries   *schema.EntryList
	hosts     *schema.ControlHostList
	// entriesAt and hostsAt are how far the roster must be known to know these lists.
	entriesAt, hostsAt Position
	loads              *schema.EngineLoads
	forecasts          map[forecastOf]forecast
	// heard is when, by the leader's last word, a quorum took it for the leader, and revision
	// what its log had applied as it spoke.
	heard    time.Time
	revision uint64
	// confirmed is a moment at which the leader was one, proved by its answer to this host,
	// and required what its log had then committed.
	confirmed time.Time
	required  uint64
	// uses are the teams' uses of their quotas.
	uses *schema.TeamUses
	// awaited is set while somebody waits until all entries are told, and unawaited while
	// the leader does not wait for this host.
	awaited, unawaited bool
	// changed is closed and replaced at each change of servers and lists, answered at
	// each word with forecasts.
	changed, answered chan struct{}
}

// mirrored is a server's view, and how far the roster must be known to know it.
type mirrored struct {
	view *schema.RosterServer
	at   Position
	gone time.Time
	// place is where it stands among the recent ones.
	place *list.Element
}

// forecastOf names what a forecast is of.
type forecastOf struct{ pool, model, adapter string }

// forecast is the leader's word on a load, and when it came.
type forecast struct {
	word *schema.LoadForecast
	at   time.Time
}

// forecastForget is after how long a forecast is dropped: entries that wait ask for it
// three times a second.
const forecastForget = 2 * time.Second

// NewMirror returns the mirror of nothing.
func NewMirror(cfg MirrorConfig) *Mirror {
	return &Mirror{
		cfg: cfg, servers: map[string]*mirrored{}, recent: list.New(), started: map[string]int{}, named: map[string]bool{}, forecasts: map[forecastOf]forecast{},
		changed: make(chan struct{}), answered: make(chan struct{}),
	}
}

// Apply takes in a word of the leader. It returns false for one of an earlier term.
func (m *Mirror) Apply(news *schema.LeaderNews) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := PositionOf(news.GetKnown())
	if at.Term < m.at.Term {
		return false
	}
	if at.Term > m.at.Term {
		m.before, m.beforeBegan = m.at, m.began
		m.began, m.named, m.settled = at, map[string]bool{}, false
	}
	advanced := m.at.Before(at)
	if advanced {
		m.at = at
	}
	m.heard = m.cfg.Now().Add(-time.Duration(news.GetLeaderAgeMs()) * time.Millisecond)
	m.revision = news.GetRevision()
	if news.GetTeamUses() != nil {
		m.uses = news.GetTeamUses()
	}
	m.awaited, m.unawaited = news.GetConfirm(), news.GetLagging()
	changed := m.takeServers(news)
	changed = m.takeLists(news) || changed || advanced && m.awaited
	if news.GetLoads() != nil {
		m.loads = news.GetLoads()
	}
	m.takeForecasts(news.GetForecasts())
	if changed {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return true
}

// takeServers reports whether anything changed; mu is held.
func (m *Mirror) takeServers(news *schema.LeaderNews) bool {
	changed := false
	for _, v := range news.GetServers() {
		m.named[v.GetId()] = true
		changed = m.set(v) || changed
	}
	if news.GetSettled() && !m.settled {
		m.settled, changed = true, true
		for id, s := range m.servers {
			if !m.named[id] {
				m.set(withState(s.view, schema.RosterState_ROSTER_STATE_GONE))
			}
		}
	}
	return changed
}

// set takes a server's view in, and reports whether it is another; mu is held.
func (m *Mirror) set(v *schema.RosterServer) bool {
	old := m.servers[v.GetId()]
	if old != nil && same(old.view, v) {
		return false
	}
	if old != nil {
		m.remove(old)
	}
	s := &mirrored{view: v, at: m.at}
	if v.GetState() == schema.RosterState_ROSTER_STATE_GONE {
		s.gone = m.cfg.Now()
	}
	m.add(s)
	return true
}

// add takes a server in that is not there; mu is held.
func (m *Mirror) add(s *mirrored) {
	m.servers[s.view.GetId()] = s
	s.place = m.recent.PushBack(s)
	if name := incarnation.Parse(s.view.GetId()); name.StartMs != 0 && s.gone.IsZero() {
		m.started[name.Server]++
	}
}

// remove leaves a server out; mu is held.
func (m *Mirror) remove(s *mirrored) {
	delete(m.servers, s.view.GetId())
	m.recent.Remove(s.place)
	if name := incarnation.Parse(s.view.GetId()); name.StartMs != 0 && s.gone.IsZero() {
		if m.started[name.Server]--; m.started[name.Server] == 0 {
			delete(m.started, name.Server)
		}
	}
}

// changedAfter returns the servers that somebody lacks who knows the roster so far; mu is
// held.
func (m *Mirror) changedAfter(p Position) []*schema.RosterServer {
	var out []*schema.RosterServer
	for place := m.recent.Back(); place != nil; place = place.Prev() {
		s := place.Value.(*mirrored)
		if !p.Before(s.at) {
			break
		}
		out = append(out, s.view)
	}
	return out
}

// takeLists reports whether anything changed; mu is held.
func (m *Mirror) takeLists(news *schema.LeaderNews) bool {
	changed := false
	if l := news.GetEntries(); l != nil && !proto.Equal(l, m.entries) {
		m.entries, m.entriesAt, changed = l, m.at, true
	}
	if l := news.GetHosts(); l != nil && !proto.Equal(l, m.hosts) {
		m.hosts, m.hostsAt, changed = l, m.at, true
	}
	return changed
}

// takeForecasts needs mu.
func (m *Mirror) takeForecasts(list []*schema.LoadForecast) {
	if len(list) == 0 {
		return
	}
	now := m.cfg.Now()
	for _, f := range list {
		m.forecasts[forecastOf{f.GetPool(), f.GetModel(), f.GetAdapter()}] = forecast{f, now}
	}
	for of, f := range m.forecasts {
		if now.Sub(f.at) > forecastForget {
			delete(m.forecasts, of)
		}
	}
	close(m.answered)
	m.answered = make(chan struct{})
}

// Sweep forgets servers that were gone for long.
func (m *Mirror) Sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.servers {
		if !s.gone.IsZero() && m.cfg.Now().Sub(s.gone) > forgetAfter {
			m.remove(s)
			if m.forgotten.Before(s.at) {
				m.forgotten = s.at
			}
		}
	}
}

// resumes reports whether what changed since a position is all that somebody lacks who
// knows that much. Where not, all has to be told: a host that heard the leader later
// compared with other views, and the same change is not known to it. mu is held.
func (m *Mirror) resumes(p Position) bool {
	switch {
	case p.Term == 0 || p.Before(m.forgotten):
		return false
	case p.Term == m.at.Term:
		return !p.Before(m.began)
	case p.Term == m.before.Term:
		return !p.Before(m.beforeBegan) && !m.before.Before(p)
	}
	return false
}

// Since returns what somebody lacks who knows the roster so far, as a word without a
// sequence. Known is how far it is told by that; not less than it was.
func (m *Mirror) Since(p Position) *schema.LeaderNews {
	m.mu.Lock()
	defer m.mu.Unlock()
	news := &schema.LeaderNews{Whole: !m.resumes(p), Settled: m.settled, Confirm: m.awaited}
	if news.GetWhole() {
		p = Position{}
	}
	news.Servers = m.changedAfter(p)
	if p.Before(m.entriesAt) {
		news.Entries = m.entries
	}
	if p.Before(m.hostsAt) {
		news.Hosts = m.hosts
	}
	if p.Before(m.at) {
		p = m.at
	}
	news.Known = p.Message()
	return news
}

// HasTargetSince reports whether a server that somebody does not know who knows the roster so
// far holds one of some targets.
func (m *Mirror) HasTargetSince(p Position, wants []*schema.ModelDemand) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.changedAfter(p), func(v *schema.RosterServer) bool { return holdsAny(v, wants) })
}

// Forecasts returns the leader's words on some targets that came after a moment, as
// they are true now.
func (m *Mirror) Forecasts(wants []*schema.ModelDemand, after time.Time) []*schema.LoadForecast {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	var out []*schema.LoadForecast
	for _, w := range wants {
		f, known := m.forecasts[forecastOf{w.GetPool(), w.GetModel(), w.GetAdapter()}]
		if !known || f.at.Before(after) {
			continue
		}
		in := f.word.GetReadyInMs()
		if in > 0 {
			in = max(in-now.Sub(f.at).Milliseconds(), 0)
		}
		out = append(out, &schema.LoadForecast{Pool: w.GetPool(), Model: w.GetModel(), Adapter: w.GetAdapter(), ReadyInMs: in})
	}
	return out
}

// LacksStartTime reports whether a key names no start of a server that tells its starts, as far
// as the leader has said: see Roster.LacksStart.
func (m *Mirror) LacksStartTime(id string) bool {
	name := incarnation.Parse(id)
	if name.StartMs != 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.started[name.Server] > 0
}

// Loads returns what all entries have at the engines, as the leader last said.
func (m *Mirror) Loads() *schema.EngineLoads {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loads
}

// Changed returns a channel that is closed at the next change of servers or lists.
func (m *Mirror) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// ForecastsUpdated returns a channel that is closed when the next forecasts come.
func (m *Mirror) ForecastsUpdated() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answered
}

// Position returns how far the leader's roster is known.
func (m *Mirror) Position() Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at
}

// MarkedLagging reports whether the leader, by its last word, does not wait until this host's
// entries are told.
func (m *Mirror) MarkedLagging() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unawaited
}

// Confirm notes a moment at which the leader is proved to have led, and the log's index up to
// which a host knows all that was acknowledged by then.
func (m *Mirror) Confirm(at time.Time, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.confirmed) {
		m.confirmed, m.required = at, revision
	}
}

// Confirmed returns the last moment at which the leader is proved to have led, the zero time
// for never, and the log's index up to which a host knows all that was acknowledged by then.
func (m *Mirror) Confirmed() (at time.Time, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed, m.required
}

// TeamUses returns the teams' uses of their quotas, as the leader last sent them.
func (m *Mirror) TeamUses() *schema.TeamUses {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.uses
}

// LeaderLastSeen returns when the leader was last known to lead, the zero time for never, and what its log had
// applied by then.
func (m *Mirror) LeaderLastSeen() (at time.Time, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heard, m.revision
}
