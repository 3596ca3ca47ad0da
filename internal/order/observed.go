package order

import (
	"time"

	"fennelyard/internal/ledger"
	"fennelyard/internal/placement"
	"fennelyard/internal/schema"
)

const (
	// demandLife is how long an entry's word on its queues counts.
	demandLife = 3 * time.Second
	// quietAfter is how long a server may be silent before no new work goes
	// there; lostAfter before it is recorded as lost.
	quietAfter = 5 * time.Second
	lostAfter  = 15 * time.Second
	// returnLife is how long a refused caller is expected back.
	returnLife = 15 * time.Second
)

// fleet is the leader's soft state: it is lost with the leader and comes back
// with the next reports.
type fleet struct {
	servers map[string]*heard
	// demands holds each entry's word by target.
	demands  map[string]map[string]entryDemand
	patterns map[string]*placement.ArrivalPattern
	used     map[string]time.Time
	returns  map[string]time.Time
}

type heard struct {
	server *schema.Server
	cached map[string]placement.Tier
	loaded map[string]bool
	// seen holds what the incarnation ever reported as loaded.
	seen map[string]bool
	// sequence and at belong to the latest sign of life, altered to the latest
	// full announcement.
	sequence uint64
	at       time.Time
	altered  time.Time
}

type entryDemand struct {
	demand *schema.Demand
	at     time.Time
}

func newFleet() *fleet {
	return &fleet{
		servers: map[string]*heard{}, demands: map[string]map[string]entryDemand{},
		patterns: map[string]*placement.ArrivalPattern{}, used: map[string]time.Time{},
		returns: map[string]time.Time{},
	}
}

// hear takes in an announcement and returns the server where its record may
// have to change. A sign of life for a server that is not known in full is not
// taken: the entry will send the rest.
func (f *fleet) hear(a *schema.Announcement, now time.Time) *schema.Server {
	name := a.GetServer().GetName()
	at := now.Add(-time.Duration(a.GetAgeMs()) * time.Millisecond)
	old := f.servers[name]
	if old != nil && a.GetServer().GetIncarnation() < old.server.GetIncarnation() {
		return nil
	}
	same := old != nil && a.GetServer().GetIncarnation() == old.server.GetIncarnation()
	if a.GetServer().GetAddress() == "" {
		if same && a.GetSequence() >= old.sequence {
			old.sequence = a.GetSequence()
			old.at = later(old.at, at)
		}
		if same {
			return old.server
		}
		return nil
	}
	if same && a.GetSequence() < old.sequence {
		return nil
	}
	h := &heard{
		server: a.GetServer(), sequence: a.GetSequence(), at: at, altered: at,
		cached: map[string]placement.Tier{}, loaded: map[string]bool{}, seen: map[string]bool{},
	}
	if same {
		h.seen = old.seen
	}
	for _, c := range a.GetCached() {
		h.cached[c.GetTarget()] = placement.Tier(c.GetTier())
	}
	for _, t := range a.GetLoaded() {
		h.loaded[t] = true
		h.seen[t] = true
	}
	f.servers[name] = h
	return h.server
}

// vanishedAfter is how long an engine must not report a replica that it once
// reported; announcements lag behind orders.
const vanishedAfter = 3 * time.Second

// vanished reports whether an engine that reported a replica since it was loaded
// has stopped to do so.
func (f *fleet) vanished(res *schema.Reservation, now time.Time) bool {
	h := f.servers[res.GetServer()]
	if h == nil || h.server.GetIncarnation() != res.GetIncarnation() || h.loaded[res.GetTarget()] {
		return false
	}
	since := later(h.altered, time.UnixMilli(res.GetChangedMs()))
	return h.seen[res.GetTarget()] && h.at.Sub(since) > vanishedAfter && now.Sub(since) > vanishedAfter
}

// want takes in an entry's word on a target; base is the target's base model, if
// it is an adapter.
func (f *fleet) want(entry string, d *schema.Demand, base string, now time.Time) {
	target := d.GetTarget()
	if f.demands[entry] == nil {
		f.demands[entry] = map[string]entryDemand{}
	}
	f.demands[entry][target] = entryDemand{d, now}
	if d.GetReturning() > 0 {
		f.returns[target] = now
	}
	// A request for an adapter needs its base as well: the base is used and
	// learnt about with every one of its adapters.
	for _, t := range []string{target, base} {
		if t == "" {
			continue
		}
		if d.GetArrived() > 0 {
			f.pattern(t, now).RecordArrival(now)
		}
		if d.GetArrived() > 0 || d.GetWaiting() > 0 || d.GetRunning() > 0 {
			f.used[t] = now
		}
	}
}

func (f *fleet) pattern(target string, now time.Time) *placement.ArrivalPattern {
	p, ok := f.patterns[target]
	if !ok {
		p = placement.NewArrivalPattern(now)
		f.patterns[target] = p
	}
	return p
}

// totals joins the entries' words and forgets old ones.
func (f *fleet) totals(now time.Time) (waiting map[string]placement.Demand, running map[string]int) {
	waiting, running = map[string]placement.Demand{}, map[string]int{}
	for entry, demands := range f.demands {
		for target, e := range demands {
			if now.Sub(e.at) > demandLife {
				delete(demands, target)
				continue
			}
			running[target] += int(e.demand.GetRunning())
			waiting[target] = join(waiting[target], e)
		}
		if len(demands) == 0 {
			delete(f.demands, entry)
		}
	}
	for target, at := range f.returns {
		if now.Sub(at) > returnLife {
			delete(f.returns, target)
			continue
		}
		d := waiting[target]
		d.ExpectedRetries = max(d.ExpectedRetries, 1)
		waiting[target] = d
	}
	return waiting, running
}

func join(d placement.Demand, e entryDemand) placement.Demand {
	d.Waiting += int(e.demand.GetWaiting())
	d.Priority = max(d.Priority, e.demand.GetPriority())
	if e.demand.GetWaiting() == 0 {
		return d
	}
	first := e.at.Add(time.Duration(e.demand.GetFirstDeadlineMs()) * time.Millisecond)
	if d.EarliestDeadline.IsZero() || first.Before(d.EarliestDeadline) {
		d.EarliestDeadline = first
	}
	return d
}

// input builds what placement decides on.
func (f *fleet) input(now time.Time, r *ledger.Records, busy map[uint64]bool) placement.Input {
	demands, running := f.totals(now)
	in := placement.Input{Now: now, Demands: demands, Pattern: func(t string) *placement.ArrivalPattern { return f.patterns[t] }}
	for _, s := range r.Servers() {
		if s.GetKind() == schema.ServerKind_SERVER_KIND_ENGINE {
			in.Servers = append(in.Servers, f.engine(now, s))
		}
	}
	in.Pinned = r.Pinned()
	for _, res := range r.Reservations() {
		rep := replicaOf(res)
		rep.LastUsed = later(f.used[res.GetTarget()], rep.Since)
		rep.Running = running[res.GetTarget()]
		if busy[res.GetNumber()] && rep.State == placement.StateLoaded {
			rep.State = placement.StateUnloading
		}
		in.Replicas = append(in.Replicas, rep)
	}
	in.Model = func(name string) (placement.Model, bool) { return modelOf(r.Model(name)) }
	return in
}

func (f *fleet) engine(now time.Time, s *schema.Server) placement.Server {
	out := placement.Server{
		Name: s.GetName(), Incarnation: s.GetIncarnation(), DataCentre: s.GetDataCentre(),
		Accelerators: s.GetAcceleratorMib(), Leaving: s.GetLeaving(), Lost: s.GetLost(),
	}
	h := f.servers[s.GetName()]
	if h == nil || h.server.GetIncarnation() != s.GetIncarnation() {
		return out
	}
	out.Cached = h.cached
	out.Usable = !s.GetLeaving() && !s.GetLost() && now.Sub(h.at) < quietAfter
	return out
}

func modelOf(m *schema.Model) (placement.Model, bool) {
	return placement.Model{
		Name: m.GetName(), Version: m.GetVersion(), Base: m.GetBase(), MemoryMiB: m.GetMemoryMib(),
		MinReplicas: int(m.GetMinReplicas()), MaxReplicas: int(m.GetMaxReplicas()),
	}, m != nil
}

func replicaOf(r *schema.Reservation) placement.Replica {
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
