package order

import (
	"time"

	"fennelyard/internal/ledger"
	"fennelyard/internal/placement"
	"fennelyard/internal/schema"
)

const (
	// demandTTL is how long an entry's report of its queues is valid.
	demandTTL = 3 * time.Second
	// A server that is silent for silenceTimeout gets no new loads; one that is
	// silent for lostTimeout is recorded as lost.
	silenceTimeout = 5 * time.Second
	lostTimeout    = 15 * time.Second
	// retryTTL is how long refused callers are expected to retry after a report of them.
	retryTTL = 15 * time.Second
)

// observedState is the leader's soft state, built from the entries' reports. It is
// lost with the leader; the next leader rebuilds it from the next reports.
type observedState struct {
	servers map[string]*observedServer
	// demands holds the latest demand by entry and target.
	demands  map[string]map[string]entryDemand
	patterns map[string]*placement.ArrivalPattern
	// lastUsed is when each target last had a request.
	lastUsed map[string]time.Time
	// retriesReported is when an entry last reported callers of a target that were
	// refused and are expected to retry.
	retriesReported map[string]time.Time
}

// observedServer is the latest announcement of a server.
type observedServer struct {
	server *schema.Server
	cached map[string]placement.Tier
	loaded map[string]bool
	// everLoaded holds all targets that the incarnation has reported as loaded.
	everLoaded map[string]bool
	// sequence and lastSeen belong to the latest announcement of either kind,
	// announcedAt to the latest full one.
	sequence    uint64
	lastSeen    time.Time
	announcedAt time.Time
}

// entryDemand is an entry's demand for a target.
type entryDemand struct {
	demand     *schema.Demand
	receivedAt time.Time
}

func newObservedState() *observedState {
	return &observedState{
		servers: map[string]*observedServer{}, demands: map[string]map[string]entryDemand{},
		patterns: map[string]*placement.ArrivalPattern{}, lastUsed: map[string]time.Time{},
		retriesReported: map[string]time.Time{},
	}
}

// handleAnnouncement applies an announcement and returns the server if its record
// may have to change, or nil. An announcement without an address is a keep-alive;
// it is ignored for an incarnation without a full announcement, which the entry
// sends later.
func (st *observedState) handleAnnouncement(a *schema.Announcement, now time.Time) *schema.Server {
	name := a.GetServer().GetName()
	lastSeen := now.Add(-time.Duration(a.GetAgeMs()) * time.Millisecond)
	old := st.servers[name]
	if old != nil && a.GetServer().GetIncarnation() < old.server.GetIncarnation() {
		return nil
	}
	same := old != nil && a.GetServer().GetIncarnation() == old.server.GetIncarnation()
	if a.GetServer().GetAddress() == "" {
		if same && a.GetSequence() >= old.sequence {
			old.sequence = a.GetSequence()
			old.lastSeen = later(old.lastSeen, lastSeen)
		}
		if same {
			return old.server
		}
		return nil
	}
	if same && a.GetSequence() < old.sequence {
		return nil
	}
	o := &observedServer{
		server: a.GetServer(), sequence: a.GetSequence(), lastSeen: lastSeen, announcedAt: lastSeen,
		cached: map[string]placement.Tier{}, loaded: map[string]bool{}, everLoaded: map[string]bool{},
	}
	if same {
		o.everLoaded = old.everLoaded
	}
	for _, c := range a.GetCached() {
		o.cached[c.GetTarget()] = placement.Tier(c.GetTier())
	}
	for _, t := range a.GetLoaded() {
		o.loaded[t] = true
		o.everLoaded[t] = true
	}
	st.servers[name] = o
	return o.server
}

// missingTimeout is how long a replica that an engine once reported must be absent
// from its announcements before it counts as missing: announcements lag behind
// orders.
const missingTimeout = 3 * time.Second

// isMissing reports whether the engine of a loaded replica once reported the replica and
// has not reported it for missingTimeout.
func (st *observedState) isMissing(res *schema.Reservation, now time.Time) bool {
	o := st.servers[res.GetServer()]
	if o == nil || o.server.GetIncarnation() != res.GetIncarnation() || o.loaded[res.GetTarget()] {
		return false
	}
	since := later(o.announcedAt, time.UnixMilli(res.GetChangedMs()))
	return o.everLoaded[res.GetTarget()] && o.lastSeen.Sub(since) > missingTimeout && now.Sub(since) > missingTimeout
}

// handleDemand records an entry's demand for a target. base is the target's base
// model if it is an adapter, or "".
func (st *observedState) handleDemand(entry string, d *schema.Demand, base string, now time.Time) {
	target := d.GetTarget()
	if st.demands[entry] == nil {
		st.demands[entry] = map[string]entryDemand{}
	}
	st.demands[entry][target] = entryDemand{d, now}
	if d.GetReturning() > 0 {
		st.retriesReported[target] = now
	}
	// A request for an adapter needs its base model as well, so its arrival and
	// use also count for the base.
	for _, t := range []string{target, base} {
		if t == "" {
			continue
		}
		if d.GetArrived() > 0 {
			st.pattern(t, now).RecordArrival(now)
		}
		if d.GetArrived() > 0 || d.GetWaiting() > 0 || d.GetRunning() > 0 {
			st.lastUsed[t] = now
		}
	}
}

// pattern returns a target's arrival pattern, creating it if needed.
func (st *observedState) pattern(target string, now time.Time) *placement.ArrivalPattern {
	p, ok := st.patterns[target]
	if !ok {
		p = placement.NewArrivalPattern(now)
		st.patterns[target] = p
	}
	return p
}

// totalDemands returns the demand and the running requests of all entries by
// target, and removes expired reports.
func (st *observedState) totalDemands(now time.Time) (waiting map[string]placement.Demand, running map[string]int) {
	waiting, running = map[string]placement.Demand{}, map[string]int{}
	for entry, demands := range st.demands {
		for target, e := range demands {
			if now.Sub(e.receivedAt) > demandTTL {
				delete(demands, target)
				continue
			}
			running[target] += int(e.demand.GetRunning())
			waiting[target] = mergeDemand(waiting[target], e)
		}
		if len(demands) == 0 {
			delete(st.demands, entry)
		}
	}
	for target, at := range st.retriesReported {
		if now.Sub(at) > retryTTL {
			delete(st.retriesReported, target)
			continue
		}
		d := waiting[target]
		d.ExpectedRetries = max(d.ExpectedRetries, 1)
		waiting[target] = d
	}
	return waiting, running
}

// mergeDemand adds an entry's demand to a sum over entries.
func mergeDemand(d placement.Demand, e entryDemand) placement.Demand {
	d.Waiting += int(e.demand.GetWaiting())
	d.Priority = max(d.Priority, e.demand.GetPriority())
	if e.demand.GetWaiting() == 0 {
		return d
	}
	first := e.receivedAt.Add(time.Duration(e.demand.GetFirstDeadlineMs()) * time.Millisecond)
	if d.EarliestDeadline.IsZero() || first.Before(d.EarliestDeadline) {
		d.EarliestDeadline = first
	}
	return d
}

// placementInput builds the input of a placement decision from the records and the
// soft state. A loaded replica whose reservation is busy counts as unloading.
func (st *observedState) placementInput(now time.Time, r *ledger.Records, busy map[uint64]bool) placement.Input {
	demands, running := st.totalDemands(now)
	in := placement.Input{Now: now, Demands: demands, Pattern: func(t string) *placement.ArrivalPattern { return st.patterns[t] }}
	for _, s := range r.Servers() {
		if s.GetKind() == schema.ServerKind_SERVER_KIND_ENGINE {
			in.Servers = append(in.Servers, st.placementServer(now, s))
		}
	}
	in.Pinned = r.Pinned()
	for _, res := range r.Reservations() {
		rep := placementReplica(res)
		rep.LastUsed = later(st.lastUsed[res.GetTarget()], rep.Since)
		rep.Running = running[res.GetTarget()]
		if busy[res.GetNumber()] && rep.State == placement.StateLoaded {
			rep.State = placement.StateUnloading
		}
		in.Replicas = append(in.Replicas, rep)
	}
	in.Model = func(name string) (placement.Model, bool) { return placementModel(r.Model(name)) }
	return in
}

// placementServer returns an engine as placement sees it: without cached checkpoints
// and not usable if nothing of its recorded incarnation was observed.
func (st *observedState) placementServer(now time.Time, s *schema.Server) placement.Server {
	out := placement.Server{
		Name: s.GetName(), Incarnation: s.GetIncarnation(), DataCentre: s.GetDataCentre(),
		Accelerators: s.GetAcceleratorMib(), Leaving: s.GetLeaving(), Lost: s.GetLost(),
	}
	o := st.servers[s.GetName()]
	if o == nil || o.server.GetIncarnation() != s.GetIncarnation() {
		return out
	}
	out.Cached = o.cached
	out.Usable = !s.GetLeaving() && !s.GetLost() && now.Sub(o.lastSeen) < silenceTimeout
	return out
}

func placementModel(m *schema.Model) (placement.Model, bool) {
	return placement.Model{
		Name: m.GetName(), Version: m.GetVersion(), Base: m.GetBase(), MemoryMiB: m.GetMemoryMib(),
		MinReplicas: int(m.GetMinReplicas()), MaxReplicas: int(m.GetMaxReplicas()),
	}, m != nil
}

func placementReplica(r *schema.Reservation) placement.Replica {
	out := placement.Replica{
		Number: r.GetNumber(), Target: r.GetTarget(), Version: r.GetVersion(), Server: r.GetServer(),
		Accelerator: int(r.GetAccelerator()), MemoryMiB: r.GetMemoryMib(),
		Since: time.UnixMilli(r.GetChangedMs()), ReadyAt: time.UnixMilli(r.GetReadyMs()),
	}
	switch r.GetState() {
	case schema.ReservationState_RESERVATION_STATE_LOADED:
		out.State = placement.StateLoaded
	case schema.ReservationState_RESERVATION_STATE_UNLOADING:
		out.State = placement.StateUnloading
	default:
		out.State = placement.StateLoading
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
