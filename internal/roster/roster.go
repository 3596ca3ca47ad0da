// Package roster is what the leader of the control group believes, from what it
// hears, of the backend servers and of the entries. Nothing of it is stored but
// departures, which are in the log: all else is heard again within a few
// announcements after a change of leader.
package roster

import (
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/schema"
)

const (
	// missedBeats is how many announcements may be missed before a server counts
	// as gone. An announcement may be seconds late, and a server that is gone in
	// fact is noticed by the entries' own connections much sooner.
	missedBeats = 4
	// settleBeats is after how many announcement times a new leader has heard
	// every server: one that announced itself elsewhere in vain tries the next
	// host within a second or two.
	settleBeats = 5
	// forgetAfter is how long a gone server's id is kept, to know a late
	// announcement of it.
	forgetAfter = 2 * time.Minute
)

// Announcement is a backend server's word about one incarnation of itself.
type Announcement struct {
	// ID is the key of the incarnation.
	ID         string
	Pool       string
	Address    string
	DataCentre string
	Slots      int
	// Leaving is set once the server takes no new work.
	Leaving bool
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64
	// Loaded are the models in an engine's accelerator memory.
	Loaded []*schema.HeldModel
	// InMemory and OnDisk name the models whose weights the engine has a copy of.
	InMemory []string
	OnDisk   []string
	// Received is when a control host heard it; the zero value: now.
	Received time.Time
}

// ReceivedAt returns when an announcement that is taken in now was heard.
func (a *Announcement) ReceivedAt(now time.Time) time.Time {
	if a.Received.IsZero() {
		return now
	}
	return a.Received
}

// Config configures a Roster. All fields are required but Self.
type Config struct {
	// Self is the address of this control host.
	Self string
	// AnnounceEvery is the time between a server's announcements.
	AnnounceEvery time.Duration
	// Departed tells of servers that an earlier leader recorded as leaving.
	Departed func(id string) bool
	Now      func() time.Time
	Log      logr.Logger
}

type server struct {
	view     *schema.RosterServer
	sequence uint64
	heard    time.Time
	// change is the roster's change number of the view.
	change uint64
}

// holder is the incarnation believed to live at an address.
type holder struct {
	id string
	// challenger is another incarnation that was heard last, or "".
	challenger string
}

// Roster is the leader's soft state. All methods are safe from any goroutine.
type Roster struct {
	cfg Config

	mu sync.Mutex
	// began is when this host began to lead; guarded by mu, as all below.
	began   time.Time
	change  uint64
	servers map[string]*server
	// holders are by address, starts by the server's id.
	holders map[string]*holder
	starts  map[string]*start
	changed chan struct{}
	// hosts are the control hosts that follow this leader, by address.
	hosts map[string]*following
	// runs counts the control hosts whose entries have requests for a model at an engine.
	runs map[run]int
	// awaited counts those who wait until the entries have been told.
	awaited int
	// hostsChange and entriesChange are the change numbers of the lists of control hosts
	// and of entries, and settledChange the one by which the leader has heard every server
	// that lives; 0: it has not yet.
	hostsChange, entriesChange, settledChange uint64
	// entries and hostsListed are these lists as they are told; nil: this leader can't know
	// them yet. They are told to many and not changed.
	entries     *schema.EntryList
	hostsListed *schema.ControlHostList
	// loads is the sum of the entries' loads as of loadsAt; it is told to many
	// entries and not changed.
	loads   *schema.EngineLoads
	loadsAt time.Time
}

// New returns an empty roster.
func New(cfg Config) *Roster {
	r := &Roster{cfg: cfg}
	r.reset()
	return r
}

func (r *Roster) reset() {
	r.began = r.cfg.Now()
	r.servers = map[string]*server{}
	r.holders = map[string]*holder{}
	r.starts = map[string]*start{}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	if r.hosts == nil {
		r.hosts = map[string]*following{}
		r.runs = map[run]int{}
	}
	r.settledChange, r.entriesChange, r.hostsChange = 0, 0, 0
	r.entries, r.hostsListed = nil, nil
}

// Reset forgets all servers: this host begins to lead, and what it heard when
// it led before may be long untrue.
func (r *Roster) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
	r.touch()
}

func (r *Roster) touch() uint64 {
	r.change++
	close(r.changed)
	r.changed = make(chan struct{})
	return r.change
}

// Changed returns a channel that is closed at the next change.
func (r *Roster) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Announce takes an announcement in. It returns false for one that is older
// than what is known.
func (r *Roster) Announce(a Announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[a.ID]
	if s != nil && a.Sequence <= s.sequence || !r.succeeds(a) || !r.holds(a) {
		return false
	}
	state := schema.RosterState_ROSTER_STATE_READY
	if a.Leaving || r.cfg.Departed(a.ID) || (s != nil && s.view.GetState() == schema.RosterState_ROSTER_STATE_LEAVING) {
		state = schema.RosterState_ROSTER_STATE_LEAVING
	}
	view := &schema.RosterServer{
		Id: a.ID, Pool: a.Pool, Address: a.Address, DataCentre: a.DataCentre, Slots: uint32(a.Slots), State: state,
	}
	if s == nil {
		s = &server{}
		r.servers[a.ID] = s
		view.Models = a.Loaded
		r.cfg.Log.Info("server heard", "server", a.ID, "pool", a.Pool, "address", a.Address, "state", state.String(),
			"sequence", a.Sequence)
	} else {
		view.Models = s.view.GetModels()
	}
	s.sequence, s.heard = a.Sequence, a.ReceivedAt(r.cfg.Now())
	r.setView(s, view)
	return true
}

// Restore takes in a server that an earlier leader recorded and that has not been heard
// yet. One that announces itself at the same address takes its place at once. It
// returns false where the server is known.
func (r *Roster) Restore(a Announcement) bool {
	// No word of a server that is known is older.
	a.Sequence = 0
	if r.knowsOther(a.ID) || !r.Announce(a) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.servers[a.ID]; s != nil && s.sequence == 0 {
		s.heard = s.heard.Add(-2 * r.cfg.AnnounceEvery)
	}
	return true
}

// knowsOther reports whether another start of a server is believed to live.
func (r *Roster) knowsOther(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.starts[incarnation.ServerOf(id)]
	return h != nil && h.id != id
}

// ReadyServers returns the servers that take new work, as they are recorded for the next
// leader.
func (r *Roster) ReadyServers() map[string]*schema.KnownServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]*schema.KnownServer{}
	for id, s := range r.servers {
		if v := s.view; v.GetState() == schema.RosterState_ROSTER_STATE_READY {
			out[id] = &schema.KnownServer{
				Id: id, Pool: v.GetPool(), Address: v.GetAddress(), DataCentre: v.GetDataCentre(), Slots: v.GetSlots(),
			}
		}
	}
	return out
}

// holds decides between two incarnations at one address. An announcement that
// was held up by a partition may arrive after its sender has crashed and another
// server has come at its address; were it believed at once, requests would be
// refused by the server that lives until its next word. While the present holder
// speaks, a challenger must be heard twice in a row: what is left on its way from
// the dead ends there, and a server that lives speaks on.
func (r *Roster) holds(a Announcement) bool {
	h := r.holders[a.Address]
	if h == nil {
		r.holders[a.Address] = &holder{id: a.ID}
		return true
	}
	if h.id == a.ID || incarnation.ServerOf(h.id) == incarnation.ServerOf(a.ID) {
		// Of starts of one server succeeds has decided.
		h.id, h.challenger = a.ID, ""
		return true
	}
	return r.challenge(h, a, "its address announces another server")
}

// challenge lets an announcement of another incarnation take a holder's place, unless
// the holder still speaks and the other is heard the first time.
func (r *Roster) challenge(h *holder, a Announcement, reason string) bool {
	if r.speaks(h.id) && h.challenger != a.ID {
		h.challenger = a.ID
		r.cfg.Log.Info("announcement held back", "server", a.ID, "address", a.Address, "holder", h.id, "sequence", a.Sequence)
		return false
	}
	old := r.servers[h.id]
	h.id, h.challenger = a.ID, ""
	if old != nil {
		r.gone(old, reason)
	}
	return true
}

// speaks reports whether an incarnation was heard within an announcement's time and a
// half.
func (r *Roster) speaks(id string) bool {
	s := r.servers[id]
	return s != nil && r.cfg.Now().Sub(s.heard) < r.cfg.AnnounceEvery*3/2
}

func (r *Roster) setView(s *server, view *schema.RosterServer) {
	if s.view != nil && same(s.view, view) {
		return
	}
	if s.view != nil && s.view.GetState() != view.GetState() {
		r.cfg.Log.Info("server state", "server", view.GetId(), "from", s.view.GetState().String(),
			"to", view.GetState().String(), "sequence", s.sequence)
	}
	s.view = view
	s.change = r.touch()
}

func same(a, b *schema.RosterServer) bool {
	return a.GetState() == b.GetState() && a.GetPool() == b.GetPool() && a.GetAddress() == b.GetAddress() &&
		a.GetSlots() == b.GetSlots() && sameModels(a.GetModels(), b.GetModels())
}

func sameModels(a, b []*schema.HeldModel) bool {
	return slices.EqualFunc(a, b, func(x, y *schema.HeldModel) bool {
		return x.GetName() == y.GetName() && slices.Equal(x.GetAdapters(), y.GetAdapters())
	})
}

func (r *Roster) gone(s *server, reason string) {
	if s.view.GetState() == schema.RosterState_ROSTER_STATE_GONE {
		return
	}
	r.cfg.Log.Info("server gone", "server", s.view.GetId(), "reason", reason,
		"silent-ms", r.cfg.Now().Sub(s.heard).Milliseconds())
	r.setView(s, withState(s.view, schema.RosterState_ROSTER_STATE_GONE))
}

func withState(v *schema.RosterServer, state schema.RosterState) *schema.RosterServer {
	return &schema.RosterServer{
		Id: v.GetId(), Pool: v.GetPool(), Address: v.GetAddress(), DataCentre: v.GetDataCentre(), Slots: v.GetSlots(),
		State: state, Models: v.GetModels(),
	}
}

// Depart marks a server that has said that it ends. It returns the change number
// that entries must have been told of to know it. Entries may know a server from
// an earlier leader that this one has not heard of: they are told that it is gone.
func (r *Roster) Depart(id string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	if s == nil {
		s = &server{heard: r.cfg.Now()}
		r.servers[id] = s
		r.setView(s, &schema.RosterServer{Id: id, State: schema.RosterState_ROSTER_STATE_GONE})
		return s.change
	}
	if s.view.GetState() == schema.RosterState_ROSTER_STATE_READY {
		r.setView(s, withState(s.view, schema.RosterState_ROSTER_STATE_LEAVING))
	}
	return s.change
}

// SetModels records which models an engine holds ready.
func (r *Roster) SetModels(id string, models []*schema.HeldModel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	if s == nil {
		return
	}
	view := withState(s.view, s.view.GetState())
	view.Models = models
	r.setView(s, view)
}

// Sweep marks servers that have not been heard for long as gone, and forgets
// those that were gone for very long.
func (r *Roster) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	if r.settledChange == 0 && r.settled() {
		r.settledChange = r.touch()
	}
	for id, s := range r.servers {
		silent := now.Sub(s.heard)
		if silent > missedBeats*r.cfg.AnnounceEvery {
			r.gone(s, "silent")
		}
		if silent > forgetAfter {
			delete(r.servers, id)
			if h := r.holders[s.view.GetAddress()]; h != nil && h.id == id {
				delete(r.holders, s.view.GetAddress())
			}
			if server := incarnation.ServerOf(id); r.starts[server] != nil && r.starts[server].id == id {
				delete(r.starts, server)
			}
		}
	}
}

// Settled reports whether this host has led for long enough to have heard every
// server that lives.
func (r *Roster) Settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settled()
}

func (r *Roster) settled() bool { return r.cfg.Now().Sub(r.began) > settleBeats*r.cfg.AnnounceEvery }

// ServersSince returns the servers that changed after a change number, and the number
// that the answer leads to.
func (r *Roster) ServersSince(after uint64) ([]*schema.RosterServer, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.since(after)
}

func (r *Roster) since(after uint64) ([]*schema.RosterServer, uint64) {
	var out []*schema.RosterServer
	for _, s := range r.servers {
		if s.change > after {
			out = append(out, s.view)
		}
	}
	return out, r.change
}

// HasTargetSince reports whether a server that changed after a change number holds one of
// some targets.
func (r *Roster) HasTargetSince(after uint64, wants []*schema.ModelDemand) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if s.change > after && holdsAny(s.view, wants) {
			return true
		}
	}
	return false
}

// holdsAny reports whether a server takes new work and holds one of some targets.
func holdsAny(v *schema.RosterServer, wants []*schema.ModelDemand) bool {
	return v.GetState() == schema.RosterState_ROSTER_STATE_READY &&
		slices.ContainsFunc(wants, func(w *schema.ModelDemand) bool { return holdsTarget(v, w) })
}

func holdsTarget(v *schema.RosterServer, w *schema.ModelDemand) bool {
	return v.GetPool() == w.GetPool() && slices.ContainsFunc(v.GetModels(), func(m *schema.HeldModel) bool {
		return m.GetName() == w.GetModel() && (w.GetAdapter() == "" || slices.Contains(m.GetAdapters(), w.GetAdapter()))
	})
}

// Gone reports whether a server that was known has ended, or is silent for so long that it
// counts as such.
func (r *Roster) Gone(id string) bool {
	return r.is(id, schema.RosterState_ROSTER_STATE_GONE)
}

// Ready reports whether a server takes new work, as far as is known.
func (r *Roster) Ready(id string) bool {
	return r.is(id, schema.RosterState_ROSTER_STATE_READY)
}

func (r *Roster) is(id string, state schema.RosterState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	return s != nil && s.view.GetState() == state
}
