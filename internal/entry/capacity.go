package entry

import (
	"sync"
	"time"

	"fennelyard/internal/admission"
	"fennelyard/internal/ledger"
	"fennelyard/internal/routing"
	"fennelyard/internal/schema"
)

const forecastLife = 3 * time.Second

type forecast struct {
	ready  time.Time
	never  bool
	reason string
	at     time.Time
}

// forecasts holds the leader's word on targets that wait for a replica.
type forecasts struct {
	mu sync.Mutex
	by map[string]forecast
}

func newForecasts() *forecasts { return &forecasts{by: map[string]forecast{}} }

func (f *forecasts) set(now time.Time, all []*schema.Forecast) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for t, old := range f.by {
		if now.Sub(old.at) > forecastLife {
			delete(f.by, t)
		}
	}
	for _, x := range all {
		f.by[x.GetTarget()] = forecast{
			ready: now.Add(time.Duration(x.GetReadyInMs()) * time.Millisecond),
			never: x.GetReadyInMs() < 0, reason: x.GetReason(), at: now,
		}
	}
}

func (f *forecasts) of(now time.Time, target string) (forecast, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, ok := f.by[target]
	return x, ok && now.Sub(x.at) <= forecastLife
}

// target is what a request asks for, with what can serve it now.
type target struct {
	name string
	// known is false when the customer may not call it or it is not configured.
	known      bool
	customer   *schema.Customer
	service    *schema.Service
	candidates []routing.Candidate
}

// lookUp reads the configuration in force for a customer's request.
func (e *Entry) lookUp(customer, name string) target {
	t := target{name: name}
	e.cfg.Replica.View(func(r *ledger.Records) {
		t.customer = r.Customer(customer)
		if t.customer == nil || !r.Reaches(customer, name) {
			return
		}
		t.service = r.Service(name)
		t.known = t.service != nil || r.Model(name) != nil
		t.candidates = e.candidates(r, name)
	})
	return t
}

func (e *Entry) candidates(r *ledger.Records, name string) []routing.Candidate {
	if r.Service(name) != nil {
		var out []routing.Candidate
		for _, s := range r.ServersOf(name) {
			if e.takesWork(s, s.GetIncarnation()) {
				out = append(out, e.candidate(s))
			}
		}
		return out
	}
	m := r.Model(name)
	var out []routing.Candidate
	for _, res := range r.ReservationsForTarget(name) {
		s := r.Server(res.GetServer())
		// A replica of another version would answer under a configuration that
		// is no longer in force.
		loaded := res.GetState() == schema.ReservationState_RESERVATION_STATE_LOADED && res.GetVersion() == m.GetVersion()
		if loaded && e.takesWork(s, res.GetIncarnation()) {
			out = append(out, e.candidate(s))
		}
	}
	return out
}

// takesWork also looks at what this entry heard itself: a leaving server's word
// may not have come back through the log yet.
func (e *Entry) takesWork(s *schema.Server, incarnation uint64) bool {
	return s != nil && s.GetIncarnation() == incarnation && !s.GetLeaving() && !s.GetLost() &&
		!e.heard.Leaving(s.GetName(), incarnation)
}

func (e *Entry) candidate(s *schema.Server) routing.Candidate {
	return routing.Candidate{
		Server: s.GetName(), Incarnation: s.GetIncarnation(), Address: s.GetAddress(),
		SameDataCentre: s.GetDataCentre() == e.cfg.Self.GetDataCentre(),
	}
}

// supply tells the gate what stands ready.
func (e *Entry) supply(name string, candidates int, isService bool) admission.Capacity {
	limit := int(e.cfg.Settings.GetEntry().GetReplicaLimit())
	if candidates > 0 {
		return admission.Capacity{Slots: candidates * limit, Known: true}
	}
	if isService {
		return admission.Capacity{Known: true, ReadyIn: -1, Reason: "no application server of " + name + " is there"}
	}
	now := time.Now()
	f, ok := e.forecasts.of(now, name)
	if !ok {
		return admission.Capacity{}
	}
	if f.never {
		return admission.Capacity{Known: true, ReadyIn: -1, Reason: f.reason}
	}
	return admission.Capacity{Known: true, ReadyIn: max(f.ready.Sub(now), 0), ExpectedSlots: limit}
}

// refresh gives the gate the present supply of every queue in use.
func (e *Entry) refresh(queues []admission.Demand) {
	supplies := map[string]admission.Capacity{}
	e.cfg.Replica.View(func(r *ledger.Records) {
		for _, q := range queues {
			supplies[q.Target] = e.supply(q.Target, len(e.candidates(r, q.Target)), r.Service(q.Target) != nil)
		}
	})
	for t, s := range supplies {
		e.gate.SetCapacity(t, s)
	}
}

// watch refreshes the queues whenever the configuration or a replica changes.
func (e *Entry) watch() {
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		changed := e.cfg.Replica.Changed()
		e.takeSuspects()
		e.refresh(e.gate.Queues())
		select {
		case <-e.stop:
			return
		case <-changed:
		case <-sweep.C:
			e.table.Sweep(time.Now(), sweepEvery)
		}
	}
}
