// Package roster is the control group leader's view of the backend servers, the control
// hosts and the entries, built from what they send. Only departures and the servers that
// take new work are recorded in the log; all else is received again within a few
// announcements after a change of leader.
package roster

import (
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/schema"
)

const (
	// maxMissedAnnouncements is how many announcements a server may miss before it counts
	// as gone. An announcement may be seconds late, and entries detect the end of a server
	// much sooner, by their own connections.
	maxMissedAnnouncements = 4
	// settleAnnouncements is the number of announcement intervals after which a new leader
	// has received an announcement of every live server. A server whose announcement to
	// another host failed tries the next host within a second or two.
	settleAnnouncements = 5
	// goneServerRetention is how long a gone server is kept, so that a late announcement of
	// it is recognized.
	goneServerRetention = 2 * time.Minute
)

// Announcement is a backend server's announcement of one of its incarnations.
type Announcement struct {
	// ID is the key of the incarnation.
	ID         string
	Pool       string
	Address    string
	DataCentre string
	Slots      int
	// Software is the version of the server's software, "" if it announces none. Versions have
	// no order.
	Software string
	// Leaving is set once the server takes no new work.
	Leaving bool
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64
	// Loaded are the models in an engine's accelerator memory.
	Loaded []*schema.HeldModel
	// InMemory and OnDisk name the models of whose weights the engine has a copy.
	InMemory []string
	OnDisk   []string
	// Received is when a control host received the announcement; zero means now.
	Received time.Time
}

// IsText reports whether all names are valid UTF-8. Messages between hosts can carry no others.
func (a *Announcement) IsText() bool {
	for _, m := range a.Loaded {
		if !allText(m.GetName()) || !allText(m.GetAdapters()...) {
			return false
		}
	}
	return allText(a.ID, a.Pool, a.Address, a.DataCentre, a.Software) && allText(a.InMemory...) && allText(a.OnDisk...)
}

func allText(names ...string) bool {
	return !slices.ContainsFunc(names, func(name string) bool { return !utf8.ValidString(name) })
}

// ReceivedAt returns when the announcement was received: Received, or now if that is zero.
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
	// Departed reports whether an earlier leader recorded a server as leaving.
	Departed func(id string) bool
	Now      func() time.Time
	Log      logr.Logger
}

type server struct {
	view         *schema.RosterServer
	sequence     uint64
	lastReceived time.Time
	// change is the roster's change number at which the view last changed.
	change uint64
}

// addressOwner is the incarnation assumed to run at an address.
type addressOwner struct {
	id string
	// challenger is another incarnation that announced the address last, or "".
	challenger string
}

// Roster is the leader's soft state. All methods are safe for concurrent use.
type Roster struct {
	cfg Config

	mu sync.Mutex
	// termStart is when this host became the leader; guarded by mu, as all fields below.
	termStart time.Time
	change    uint64
	servers   map[string]*server
	// addressOwners is keyed by address, incarnations by server id.
	addressOwners map[string]*addressOwner
	incarnations  map[string]*currentIncarnation
	changed       chan struct{}
	// hosts are the control hosts connected to this leader, by address.
	hosts map[string]*hostState
	// requests counts the control hosts whose entries have requests for a model at an
	// engine.
	requests map[serverModel]int
	// ackWaiters is the number of callers that await acknowledgements of the entries.
	ackWaiters int
	// hostsChange and entriesChange are the change numbers of the lists of control hosts
	// and entries, and settledChange the one at which every live server was known; 0 means
	// not yet.
	hostsChange, entriesChange, settledChange uint64
	// entries and listedHosts are these lists as sent; nil while this leader doesn't have
	// them complete. They are shared between updates and must not be modified.
	entries     *schema.EntryList
	listedHosts *schema.ControlHostList
	// limits are the request limits of the servers that state one; the map is never modified.
	limits map[string]*schema.RequestLimit
	// knownEntries are the subscribed entries at the last sweep, by host, and lostEntries those
	// that have vanished without a graceful stop, with the time.
	knownEntries map[string]*schema.AttendingEntry
	lostEntries  map[string]time.Time
	// absentEntries are those whose leases may run although no host lists them, by host.
	absentEntries map[string]absentEntry
	// loads is the sum of the entries' loads as of loadsAt. It is shared between updates
	// and must not be modified.
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
	r.termStart = r.cfg.Now()
	r.servers = map[string]*server{}
	r.addressOwners = map[string]*addressOwner{}
	r.incarnations = map[string]*currentIncarnation{}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	if r.hosts == nil {
		r.hosts = map[string]*hostState{}
		r.requests = map[serverModel]int{}
	}
	r.settledChange, r.entriesChange, r.hostsChange = 0, 0, 0
	r.entries, r.listedHosts = nil, nil
	r.limits = map[string]*schema.RequestLimit{}
	r.knownEntries, r.lostEntries, r.absentEntries = nil, map[string]time.Time{}, map[string]absentEntry{}
}

// Reset removes all servers at the beginning of this host's term as leader: what it
// received in an earlier term may be long outdated.
func (r *Roster) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reset()
	r.nextChange()
}

func (r *Roster) nextChange() uint64 {
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

// Announce applies an announcement. It returns false if the announcement is rejected: it is
// older than the known one, of an earlier incarnation, or of a server whose claim to its address
// is not confirmed yet.
func (r *Roster) Announce(a Announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[a.ID]
	if s != nil && a.Sequence <= s.sequence || !r.acceptsIncarnation(a) || !r.ownsAddress(a) {
		return false
	}
	state := schema.RosterState_ROSTER_STATE_READY
	if a.Leaving || r.cfg.Departed(a.ID) || (s != nil && s.view.GetState() == schema.RosterState_ROSTER_STATE_LEAVING) {
		state = schema.RosterState_ROSTER_STATE_LEAVING
	}
	view := &schema.RosterServer{
		Id: a.ID, Pool: a.Pool, Address: a.Address, DataCentre: a.DataCentre, Slots: uint32(a.Slots), State: state, Software: a.Software,
	}
	if s == nil {
		s = &server{}
		r.servers[a.ID] = s
		view.Models = a.Loaded
		r.cfg.Log.Info("server heard", "server", a.ID, "pool", a.Pool, "address", a.Address, "state", state.String(),
			"version", a.Software, "sequence", a.Sequence)
	} else {
		view.Models, view.Limit = s.view.GetModels(), s.view.GetLimit()
		if known := s.view.GetSoftware(); known != a.Software && s.sequence > 0 {
			// A process runs one version: what was announced first holds.
			r.cfg.Log.Info("server announces another version", "server", a.ID, "version", a.Software, "first", known, "sequence", a.Sequence)
			view.Software = known
		}
	}
	s.sequence, s.lastReceived = a.Sequence, a.ReceivedAt(r.cfg.Now())
	r.setView(s, view)
	return true
}

// Restore adds a server that an earlier leader recorded and that has not announced itself
// yet. A server that announces itself at the same address replaces it at once. Restore
// returns false if the server is known.
func (r *Roster) Restore(a Announcement) bool {
	// Every announcement of a known server is newer than this one.
	a.Sequence = 0
	if r.hasOtherIncarnation(a.ID) || !r.Announce(a) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.servers[a.ID]; s != nil && s.sequence == 0 {
		// Old enough for announcedRecently to be false.
		s.lastReceived = s.lastReceived.Add(-2 * r.cfg.AnnounceEvery)
	}
	return true
}

// hasOtherIncarnation reports whether another incarnation of a server is assumed to be
// running.
func (r *Roster) hasOtherIncarnation(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.incarnations[incarnation.ServerOf(id)]
	return current != nil && current.id != id
}

// ReadyServers returns the servers that take new work, in the form in which they are
// recorded for the next leader.
func (r *Roster) ReadyServers() map[string]*schema.KnownServer {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]*schema.KnownServer{}
	for id, s := range r.servers {
		if v := s.view; v.GetState() == schema.RosterState_ROSTER_STATE_READY {
			out[id] = &schema.KnownServer{
				Id: id, Pool: v.GetPool(), Address: v.GetAddress(), DataCentre: v.GetDataCentre(), Slots: v.GetSlots(), Software: v.GetSoftware(),
			}
		}
	}
	return out
}

// Versions returns the versions of the software of all servers, also of those that leave.
func (r *Roster) Versions() []*schema.PoolVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[[2]string]bool{}
	var out []*schema.PoolVersion
	for _, s := range r.servers {
		v := s.view
		if key := [2]string{v.GetPool(), v.GetSoftware()}; v.GetState() != schema.RosterState_ROSTER_STATE_GONE && !seen[key] {
			seen[key] = true
			out = append(out, &schema.PoolVersion{Pool: v.GetPool(), Software: v.GetSoftware()})
		}
	}
	return out
}

// ownsAddress decides between two incarnations at one address. An announcement that was
// delayed by a partition may arrive after its sender has crashed and another server has
// started at its address. If it were accepted at once, the running server would refuse the
// requests meant for the other until its next announcement. While the current owner
// announces itself, a challenger must therefore announce itself twice in a row: a delayed
// announcement has no successor, and the running server continues to announce itself.
func (r *Roster) ownsAddress(a Announcement) bool {
	owner := r.addressOwners[a.Address]
	if owner == nil {
		r.addressOwners[a.Address] = &addressOwner{id: a.ID}
		return true
	}
	if owner.id == a.ID || incarnation.ServerOf(owner.id) == incarnation.ServerOf(a.ID) {
		// acceptsIncarnation has already decided between incarnations of one server.
		owner.id, owner.challenger = a.ID, ""
		return true
	}
	return r.takeOver(owner, a, "another server announces its address")
}

// takeOver lets another incarnation's announcement replace an address's owner, unless the
// owner has announced itself recently and this is the other's first announcement.
func (r *Roster) takeOver(owner *addressOwner, a Announcement, reason string) bool {
	if r.announcedRecently(owner.id) && owner.challenger != a.ID {
		owner.challenger = a.ID
		r.cfg.Log.Info("announcement held back", "server", a.ID, "address", a.Address, "holder", owner.id, "sequence", a.Sequence)
		return false
	}
	old := r.servers[owner.id]
	owner.id, owner.challenger = a.ID, ""
	if old != nil {
		r.markGone(old, reason)
	}
	return true
}

// announcedRecently reports whether an incarnation announced itself within the last one and
// a half announcement intervals.
func (r *Roster) announcedRecently(id string) bool {
	s := r.servers[id]
	return s != nil && r.cfg.Now().Sub(s.lastReceived) < r.cfg.AnnounceEvery*3/2
}

func (r *Roster) setView(s *server, view *schema.RosterServer) {
	if s.view != nil && sameView(s.view, view) {
		return
	}
	if s.view != nil && s.view.GetState() != view.GetState() {
		r.cfg.Log.Info("server state", "server", view.GetId(), "from", s.view.GetState().String(),
			"to", view.GetState().String(), "sequence", s.sequence)
	}
	s.view = view
	r.setLimit(view)
	s.change = r.nextChange()
}

func sameView(a, b *schema.RosterServer) bool {
	return a.GetState() == b.GetState() && a.GetPool() == b.GetPool() && a.GetAddress() == b.GetAddress() &&
		a.GetSlots() == b.GetSlots() && a.GetSoftware() == b.GetSoftware() && sameModels(a.GetModels(), b.GetModels()) && proto.Equal(a.GetLimit(), b.GetLimit())
}

func sameModels(a, b []*schema.HeldModel) bool {
	return slices.EqualFunc(a, b, func(x, y *schema.HeldModel) bool {
		return x.GetName() == y.GetName() && slices.Equal(x.GetAdapters(), y.GetAdapters())
	})
}

func (r *Roster) markGone(s *server, reason string) {
	if s.view.GetState() == schema.RosterState_ROSTER_STATE_GONE {
		return
	}
	r.cfg.Log.Info("server gone", "server", s.view.GetId(), "reason", reason,
		"silent-ms", r.cfg.Now().Sub(s.lastReceived).Milliseconds())
	r.setView(s, withState(s.view, schema.RosterState_ROSTER_STATE_GONE))
}

func withState(v *schema.RosterServer, state schema.RosterState) *schema.RosterServer {
	return &schema.RosterServer{
		Id: v.GetId(), Pool: v.GetPool(), Address: v.GetAddress(), DataCentre: v.GetDataCentre(), Slots: v.GetSlots(),
		State: state, Models: v.GetModels(), Limit: v.GetLimit(), Software: v.GetSoftware(),
	}
}

// Depart marks a server that has announced its end. It returns the change number that
// entries must have acknowledged to have received it. Entries may have a server from an
// earlier leader that has not announced itself to this one: it is sent to them as gone.
func (r *Roster) Depart(id string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	if s == nil {
		s = &server{lastReceived: r.cfg.Now()}
		r.servers[id] = s
		r.setView(s, &schema.RosterServer{Id: id, State: schema.RosterState_ROSTER_STATE_GONE})
		return s.change
	}
	if s.view.GetState() == schema.RosterState_ROSTER_STATE_READY {
		r.setView(s, withState(s.view, schema.RosterState_ROSTER_STATE_LEAVING))
	}
	return s.change
}

// ApplyDepartures marks servers as leaving whose responses to entries state that they take no new
// work. Others than those that depart by a call of their own are not recorded in the log: entries
// report them to each leader that lacks them.
func (r *Roster) ApplyDepartures(keys []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, key := range keys {
		s := r.servers[key]
		if s == nil || s.view.GetState() != schema.RosterState_ROSTER_STATE_READY {
			continue
		}
		r.cfg.Log.Info("server leaves by its responses", "server", key)
		r.setView(s, withState(s.view, schema.RosterState_ROSTER_STATE_LEAVING))
	}
}

// SetModels records the models that an engine has loaded.
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

// Sweep marks servers that have not announced themselves for maxMissedAnnouncements
// intervals as gone, and removes those silent for goneServerRetention.
func (r *Roster) Sweep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	if r.settledChange == 0 && r.settled() {
		r.settledChange = r.nextChange()
	}
	for id, s := range r.servers {
		if s.view.GetState() == schema.RosterState_ROSTER_STATE_READY && r.cfg.Departed(id) {
			// The log has been applied since the server announced itself.
			r.setView(s, withState(s.view, schema.RosterState_ROSTER_STATE_LEAVING))
		}
		silent := now.Sub(s.lastReceived)
		if silent > maxMissedAnnouncements*r.cfg.AnnounceEvery {
			r.markGone(s, "silent")
		}
		if silent > goneServerRetention {
			delete(r.servers, id)
			if owner := r.addressOwners[s.view.GetAddress()]; owner != nil && owner.id == id {
				delete(r.addressOwners, s.view.GetAddress())
			}
			if server := incarnation.ServerOf(id); r.incarnations[server] != nil && r.incarnations[server].id == id {
				delete(r.incarnations, server)
			}
		}
	}
}

// Settled reports whether this host has led for long enough to have received an
// announcement of every live server.
func (r *Roster) Settled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.settled()
}

func (r *Roster) settled() bool {
	return r.cfg.Now().Sub(r.termStart) > settleAnnouncements*r.cfg.AnnounceEvery
}

// ServersSince returns the servers that changed after a change number, and the current
// change number.
func (r *Roster) ServersSince(after uint64) ([]*schema.RosterServer, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serversSince(after)
}

func (r *Roster) serversSince(after uint64) ([]*schema.RosterServer, uint64) {
	var out []*schema.RosterServer
	for _, s := range r.servers {
		if s.change > after {
			out = append(out, s.view)
		}
	}
	return out, r.change
}

// HasTargetSince reports whether a server that changed after a change number has one of
// some targets loaded.
func (r *Roster) HasTargetSince(after uint64, demands []*schema.ModelDemand) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		if s.change > after && servesAny(s.view, demands) {
			return true
		}
	}
	return false
}

// servesAny reports whether a server takes new work and has one of some targets loaded.
func servesAny(v *schema.RosterServer, demands []*schema.ModelDemand) bool {
	return v.GetState() == schema.RosterState_ROSTER_STATE_READY &&
		slices.ContainsFunc(demands, func(d *schema.ModelDemand) bool { return servesTarget(v, d) })
}

func servesTarget(v *schema.RosterServer, d *schema.ModelDemand) bool {
	return v.GetPool() == d.GetPool() && slices.ContainsFunc(v.GetModels(), func(m *schema.HeldModel) bool {
		return m.GetName() == d.GetModel() && (d.GetAdapter() == "" || slices.Contains(m.GetAdapters(), d.GetAdapter()))
	})
}

// Gone reports whether a known server has ended or has been silent for so long that it
// counts as ended.
func (r *Roster) Gone(id string) bool {
	return r.inState(id, schema.RosterState_ROSTER_STATE_GONE)
}

// Ready reports whether a server is known to take new work.
func (r *Roster) Ready(id string) bool {
	return r.inState(id, schema.RosterState_ROSTER_STATE_READY)
}

func (r *Roster) inState(id string, state schema.RosterState) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	return s != nil && s.view.GetState() == state
}
