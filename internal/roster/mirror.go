package roster

import (
	"cmp"
	"container/list"
	"maps"
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

// Mirror is a control host's copy of the leader's roster, from which the entries subscribed
// to the host are updated. It outlives a change of leader: the next leader's updates are
// compared with it, and entries receive the difference. All methods are safe for concurrent
// use.
type Mirror struct {
	cfg MirrorConfig

	mu sync.Mutex
	// position is how far the current leader's roster is known, and firstPosition the
	// position of its first update; previousPosition and previousFirstPosition are the same
	// of the previous leader. Guarded by mu, as all fields below.
	position, firstPosition                 Position
	previousPosition, previousFirstPosition Position
	servers                                 map[string]*mirroredServer
	// recent holds the same servers, the most recently changed one at the back.
	recent *list.List
	// startCounts counts the live servers that report start times, by server id.
	startCounts map[string]int
	// listed are the servers that the current leader has sent. Once settled is set, all
	// others are gone.
	listed  map[string]bool
	settled bool
	// forgotten is the position of the last change that has been removed.
	forgotten Position
	entries   *schema.EntryList
	hosts     *schema.ControlHostList
	// entriesPosition and hostsPosition are the positions at which these lists last
	// changed.
	entriesPosition, hostsPosition Position
	loads                          *schema.EngineLoads
	forecasts                      map[forecastKey]forecast
	// termSince is when the first update of the current leader was received.
	termSince time.Time
	// leaderLastSeen is when a quorum last acknowledged the leader, by its latest update,
	// and revision what its log had applied when it sent that update.
	leaderLastSeen time.Time
	revision       uint64
	// confirmed is the latest time at which the leader is proved to have led, by its reply
	// to this host, and required the revision that its log had committed then.
	confirmed time.Time
	required  uint64
	// teamUses are the teams' uses of their quotas.
	teamUses *schema.TeamUses
	// permitQueues are the queues for permits as of permitQueuesAt.
	permitQueues   *schema.PermitQueues
	permitQueuesAt time.Time
	// newerLimits are limits of servers that the leader has not received from its predecessor,
	// and that are not reported to it yet; by server.
	newerLimits map[string]*schema.ServerLimit
	// acksAwaited is set while the leader awaits acknowledgements of all entries, and
	// markedLagging while it does not wait for this host.
	acksAwaited, markedLagging bool
	// changed is closed and replaced at each change of servers and lists, forecastsUpdated
	// at each update with forecasts.
	changed, forecastsUpdated chan struct{}
}

// mirroredServer is a server's view and the position at which it last changed.
type mirroredServer struct {
	view      *schema.RosterServer
	position  Position
	goneSince time.Time
	// element is the server's element in Mirror.recent.
	element *list.Element
}

// forecastKey identifies the target of a forecast.
type forecastKey struct{ pool, model, adapter string }

// forecast is the leader's forecast of a load, and when it was received.
type forecast struct {
	message    *schema.LoadForecast
	receivedAt time.Time
}

// forecastRetention is how long a forecast is kept. Entries with waiting requests query it
// three times a second.
const forecastRetention = 2 * time.Second

// NewMirror returns an empty mirror.
func NewMirror(cfg MirrorConfig) *Mirror {
	return &Mirror{
		cfg: cfg, servers: map[string]*mirroredServer{}, recent: list.New(), startCounts: map[string]int{}, listed: map[string]bool{}, forecasts: map[forecastKey]forecast{},
		newerLimits: map[string]*schema.ServerLimit{},
		changed:     make(chan struct{}), forecastsUpdated: make(chan struct{}),
	}
}

// Apply applies an update of the leader. It returns false if the update is of an earlier
// term.
func (m *Mirror) Apply(update *schema.LeaderNews) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at := PositionOf(update.GetKnown())
	if at.Term < m.position.Term {
		return false
	}
	if at.Term > m.position.Term {
		m.previousPosition, m.previousFirstPosition = m.position, m.firstPosition
		m.firstPosition, m.listed, m.settled, m.termSince = at, map[string]bool{}, false, m.cfg.Now()
	}
	advanced := m.position.Before(at)
	if advanced {
		m.position = at
	}
	m.leaderLastSeen = m.cfg.Now().Add(-time.Duration(update.GetLeaderAgeMs()) * time.Millisecond)
	m.revision = update.GetRevision()
	if update.GetTeamUses() != nil {
		m.teamUses = update.GetTeamUses()
	}
	m.acksAwaited, m.markedLagging = update.GetConfirm(), update.GetLagging()
	changed := m.applyServers(update)
	changed = m.applyLists(update) || changed || advanced && m.acksAwaited
	if update.GetLoads() != nil {
		m.loads = update.GetLoads()
	}
	if update.GetPermitQueues() != nil {
		m.permitQueues, m.permitQueuesAt = update.GetPermitQueues(), m.cfg.Now()
	}
	m.applyForecasts(update.GetForecasts())
	if changed {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	return true
}

// applyServers applies the servers of an update and reports whether any changed; the caller
// holds mu.
func (m *Mirror) applyServers(update *schema.LeaderNews) bool {
	changed := false
	for _, v := range update.GetServers() {
		m.listed[v.GetId()] = true
		changed = m.setServer(v) || changed
	}
	if update.GetSettled() && !m.settled {
		m.settled, changed = true, true
		for id, s := range m.servers {
			if !m.listed[id] {
				m.setServer(withState(s.view, schema.RosterState_ROSTER_STATE_GONE))
			}
		}
	}
	return changed
}

// setServer stores a server's view and reports whether it changed; the caller holds mu.
func (m *Mirror) setServer(v *schema.RosterServer) bool {
	old := m.servers[v.GetId()]
	v = m.mergeLimit(old, v)
	if old != nil && sameView(old.view, v) {
		return false
	}
	if old != nil {
		m.removeServer(old)
	}
	s := &mirroredServer{view: v, position: m.position}
	if v.GetState() == schema.RosterState_ROSTER_STATE_GONE {
		s.goneSince = m.cfg.Now()
	}
	m.addServer(s)
	return true
}

// addServer adds a server that is not in the mirror; the caller holds mu.
func (m *Mirror) addServer(s *mirroredServer) {
	m.servers[s.view.GetId()] = s
	s.element = m.recent.PushBack(s)
	if name := incarnation.Parse(s.view.GetId()); name.StartMs != 0 && s.goneSince.IsZero() {
		m.startCounts[name.Server]++
	}
}

// removeServer removes a server; the caller holds mu.
func (m *Mirror) removeServer(s *mirroredServer) {
	delete(m.servers, s.view.GetId())
	m.recent.Remove(s.element)
	if name := incarnation.Parse(s.view.GetId()); name.StartMs != 0 && s.goneSince.IsZero() {
		if m.startCounts[name.Server]--; m.startCounts[name.Server] == 0 {
			delete(m.startCounts, name.Server)
		}
	}
}

// changedSince returns the servers that changed after a position; the caller holds mu.
func (m *Mirror) changedSince(p Position) []*schema.RosterServer {
	var out []*schema.RosterServer
	for element := m.recent.Back(); element != nil; element = element.Prev() {
		s := element.Value.(*mirroredServer)
		if !p.Before(s.position) {
			break
		}
		out = append(out, s.view)
	}
	return out
}

// applyLists applies the lists of an update and reports whether any changed; the caller
// holds mu.
func (m *Mirror) applyLists(update *schema.LeaderNews) bool {
	changed := false
	if l := update.GetEntries(); l != nil && !proto.Equal(l, m.entries) {
		m.entries, m.entriesPosition, changed = l, m.position, true
	}
	if l := update.GetHosts(); l != nil && !proto.Equal(l, m.hosts) {
		m.hosts, m.hostsPosition, changed = l, m.position, true
	}
	return changed
}

// applyForecasts stores forecasts and drops old ones; the caller holds mu.
func (m *Mirror) applyForecasts(forecasts []*schema.LoadForecast) {
	if len(forecasts) == 0 {
		return
	}
	now := m.cfg.Now()
	for _, f := range forecasts {
		m.forecasts[forecastKey{f.GetPool(), f.GetModel(), f.GetAdapter()}] = forecast{f, now}
	}
	for key, f := range m.forecasts {
		if now.Sub(f.receivedAt) > forecastRetention {
			delete(m.forecasts, key)
		}
	}
	close(m.forecastsUpdated)
	m.forecastsUpdated = make(chan struct{})
}

// Software returns the software of the servers that are not gone, by pool and version.
func (m *Mirror) Software() []*schema.SoftwareView {
	m.mu.Lock()
	defer m.mu.Unlock()
	type software struct{ pool, version string }
	views := map[software]*schema.SoftwareView{}
	for _, s := range m.servers {
		if !s.goneSince.IsZero() {
			continue
		}
		key := software{s.view.GetPool(), s.view.GetSoftware()}
		if views[key] == nil {
			views[key] = &schema.SoftwareView{Pool: key.pool, Version: key.version}
		}
		views[key].Servers++
		if s.view.GetState() == schema.RosterState_ROSTER_STATE_READY {
			views[key].Ready++
		}
	}
	return slices.SortedFunc(maps.Values(views), func(a, b *schema.SoftwareView) int {
		return cmp.Or(cmp.Compare(a.GetPool(), b.GetPool()), cmp.Compare(a.GetVersion(), b.GetVersion()))
	})
}

// Sweep removes servers that have been gone for goneServerRetention.
func (m *Mirror) Sweep() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.servers {
		if !s.goneSince.IsZero() && m.cfg.Now().Sub(s.goneSince) > goneServerRetention {
			m.removeServer(s)
			if m.forgotten.Before(s.position) {
				m.forgotten = s.position
			}
		}
	}
}

// canResume reports whether the changes after a position are all that a subscriber at that
// position lacks. Otherwise the subscriber needs the whole roster: a host that connected to
// the leader after that position has compared the leader's first update with earlier views
// of its own, so the changes that it recorded are not all that the subscriber lacks. The
// caller holds mu.
func (m *Mirror) canResume(p Position) bool {
	switch {
	case p.Term == 0 || p.Before(m.forgotten):
		return false
	case p.Term == m.position.Term:
		return !p.Before(m.firstPosition)
	case p.Term == m.previousPosition.Term:
		return !p.Before(m.previousFirstPosition) && !m.previousPosition.Before(p)
	}
	return false
}

// Since returns the update for a subscriber at a position, without a sequence number. Its
// Known is the position that the update leads to: not before p, unless the update is whole.
func (m *Mirror) Since(p Position) *schema.LeaderNews {
	m.mu.Lock()
	defer m.mu.Unlock()
	update := &schema.LeaderNews{Whole: !m.canResume(p), Settled: m.settled, Confirm: m.acksAwaited}
	if update.GetWhole() {
		p = Position{}
	}
	update.Servers = m.changedSince(p)
	if p.Before(m.entriesPosition) {
		update.Entries = m.entries
	}
	if p.Before(m.hostsPosition) {
		update.Hosts = m.hosts
	}
	if p.Before(m.position) {
		p = m.position
	}
	update.Known = p.Message()
	return update
}

// HasTargetSince reports whether a server that changed after a position has one of some
// targets loaded.
func (m *Mirror) HasTargetSince(p Position, demands []*schema.ModelDemand) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.changedSince(p), func(v *schema.RosterServer) bool { return servesAny(v, demands) })
}

// Forecasts returns the leader's forecasts for some targets that were received after a
// time, less the time passed since.
func (m *Mirror) Forecasts(demands []*schema.ModelDemand, after time.Time) []*schema.LoadForecast {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	var out []*schema.LoadForecast
	for _, d := range demands {
		f, known := m.forecasts[forecastKey{d.GetPool(), d.GetModel(), d.GetAdapter()}]
		if !known || f.receivedAt.Before(after) {
			continue
		}
		readyInMs := f.message.GetReadyInMs()
		if readyInMs > 0 {
			readyInMs = max(readyInMs-now.Sub(f.receivedAt).Milliseconds(), 0)
		}
		out = append(out, &schema.LoadForecast{Pool: d.GetPool(), Model: d.GetModel(), Adapter: d.GetAdapter(), ReadyInMs: readyInMs})
	}
	return out
}

// LacksStartTime reports whether a key has no start time although the leader's updates name
// a start time for its server: see Roster.LacksStartTime.
func (m *Mirror) LacksStartTime(id string) bool {
	name := incarnation.Parse(id)
	if name.StartMs != 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startCounts[name.Server] > 0
}

// Loads returns the sum of all entries' loads at the engines, as of the leader's latest
// update.
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

// ForecastsUpdated returns a channel that is closed when the next forecasts are received.
func (m *Mirror) ForecastsUpdated() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.forecastsUpdated
}

// Position returns how far the leader's roster is known.
func (m *Mirror) Position() Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position
}

// TermSince returns when the first update of the current leader was received, the zero time for
// never.
func (m *Mirror) TermSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.termSince
}

// MarkedLagging reports whether the leader, by its latest update, treats this host as
// lagging and does not wait for acknowledgements of its entries.
func (m *Mirror) MarkedLagging() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.markedLagging
}

// Confirm records a time at which the leader is proved to have led, and the revision at
// which a host has all that was acknowledged by then.
func (m *Mirror) Confirm(at time.Time, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.confirmed) {
		m.confirmed, m.required = at, revision
	}
}

// Confirmed returns the latest time at which the leader is proved to have led, the zero
// time for never, and the revision at which a host has all that was acknowledged by then.
func (m *Mirror) Confirmed() (at time.Time, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed, m.required
}

// TeamUses returns the teams' uses of their quotas, as the leader last sent them.
func (m *Mirror) TeamUses() *schema.TeamUses {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.teamUses
}

// LeaderLastSeen returns when the leader was last known to lead, the zero time for never,
// and the revision that its log had applied by then.
func (m *Mirror) LeaderLastSeen() (at time.Time, revision uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaderLastSeen, m.revision
}
