package entry

import (
	"sync"
	"time"

	"fennelyard/internal/admission"
	"fennelyard/internal/ledger"
	"fennelyard/internal/routing"
	"fennelyard/internal/schema"
)

const forecastTTL = 3 * time.Second

type forecast struct {
	readyAt    time.Time
	never      bool
	reason     string
	receivedAt time.Time
}

// forecasts holds the leader's forecasts of targets that wait for a replica.
type forecasts struct {
	mu       sync.Mutex
	byTarget map[string]forecast
}

func newForecasts() *forecasts { return &forecasts{byTarget: map[string]forecast{}} }

func (f *forecasts) set(now time.Time, all []*schema.Forecast) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for t, old := range f.byTarget {
		if now.Sub(old.receivedAt) > forecastTTL {
			delete(f.byTarget, t)
		}
	}
	for _, received := range all {
		f.byTarget[received.GetTarget()] = forecast{
			readyAt: now.Add(time.Duration(received.GetReadyInMs()) * time.Millisecond),
			never:   received.GetReadyInMs() < 0, reason: received.GetReason(), receivedAt: now,
		}
	}
}

func (f *forecasts) get(now time.Time, target string) (forecast, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	latest, ok := f.byTarget[target]
	return latest, ok && now.Sub(latest.receivedAt) <= forecastTTL
}

// target is the model or service of a request, with the servers that can serve it
// now.
type target struct {
	name string
	// known is false if the target is not configured or the customer may not call
	// it.
	known      bool
	customer   *schema.Customer
	service    *schema.Service
	candidates []routing.Candidate
}

// lookUpTarget returns the target of a customer's request under the current
// configuration.
func (e *Entry) lookUpTarget(customer, name string) target {
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
			if e.acceptsRequests(s, s.GetIncarnation()) {
				out = append(out, e.candidate(s))
			}
		}
		return out
	}
	m := r.Model(name)
	var out []routing.Candidate
	for _, res := range r.ReservationsForTarget(name) {
		s := r.Server(res.GetServer())
		// A replica of another version would serve a configuration that is no
		// longer current.
		loaded := res.GetState() == schema.ReservationState_RESERVATION_STATE_LOADED && res.GetVersion() == m.GetVersion()
		if loaded && e.acceptsRequests(s, res.GetIncarnation()) {
			out = append(out, e.candidate(s))
		}
	}
	return out
}

// acceptsRequests reports whether requests may be sent to an incarnation of a server.
// It also checks the announcements received by this entry: the announcement of a
// leaving server may not have been replicated yet.
func (e *Entry) acceptsRequests(s *schema.Server, incarnation uint64) bool {
	return s != nil && s.GetIncarnation() == incarnation && !s.GetLeaving() && !s.GetLost() &&
		!e.backends.Leaving(s.GetName(), incarnation)
}

func (e *Entry) candidate(s *schema.Server) routing.Candidate {
	return routing.Candidate{
		Server: s.GetName(), Incarnation: s.GetIncarnation(), Address: s.GetAddress(),
		SameDataCentre: s.GetDataCentre() == e.cfg.Self.GetDataCentre(),
	}
}

// capacity returns the capacity of a target with its candidates. Those that have asked for a
// cooldown have none before its end.
func (e *Entry) capacity(name string, candidates []routing.Candidate, isService bool) admission.Capacity {
	limit := int(e.cfg.Settings.GetEntry().GetReplicaLimit())
	first, available := e.table.AvailableIn(time.Now(), candidates)
	switch {
	case available > 0:
		return admission.Capacity{Slots: available * limit, Known: true}
	case len(candidates) > 0:
		return admission.Capacity{Known: true, ReadyIn: first, ExpectedSlots: limit}
	}
	if isService {
		return admission.Capacity{Known: true, ReadyIn: -1, Reason: "no application server of " + name + " is there"}
	}
	now := time.Now()
	f, ok := e.forecasts.get(now, name)
	if !ok {
		return admission.Capacity{}
	}
	if f.never {
		return admission.Capacity{Known: true, ReadyIn: -1, Reason: f.reason}
	}
	return admission.Capacity{Known: true, ReadyIn: max(f.readyAt.Sub(now), 0), ExpectedSlots: limit}
}

// refreshCapacity passes the current capacity of the targets of queues to the
// admission controller.
func (e *Entry) refreshCapacity(queues []admission.Demand) {
	capacities := map[string]admission.Capacity{}
	e.cfg.Replica.View(func(r *ledger.Records) {
		for _, q := range queues {
			capacities[q.Target] = e.capacity(q.Target, e.candidates(r, q.Target), r.Service(q.Target) != nil)
		}
	})
	for target, capacity := range capacities {
		e.admission.SetCapacity(target, capacity)
	}
}

// watchConfiguration refreshes the capacity of all queues whenever the configuration
// or a replica changes.
func (e *Entry) watchConfiguration() {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		changed := e.cfg.Replica.Changed()
		e.mergeRecordedSuspects()
		e.refreshCapacity(e.admission.Queues())
		select {
		case <-e.stop:
			return
		case <-changed:
		case <-e.capacityDue:
		case <-sweep.C:
			e.table.Sweep(time.Now(), sweepInterval)
		}
	}
}
