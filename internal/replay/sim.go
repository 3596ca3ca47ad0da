package replay

import (
	"container/heap"
	"math/rand"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fennelyard/internal/placement"
)

const (
	// idleDecisionInterval is the time between decisions without any other event. Only these
	// decisions unload replicas for being idle.
	idleDecisionInterval = 30 * time.Second
	// serviceTime is the time for which a request occupies its replica.
	serviceTime = 2 * time.Second
	unloadTime  = 500 * time.Millisecond
	// waitTimeout is the time after which a waiting request is refused.
	waitTimeout = 60 * time.Second
	// preloadInterval is the time between decisions that consider preloads.
	preloadInterval = time.Minute
	// visitGap is the time without requests that separates two visits of a target. The wait
	// of the first request of a visit is the cold-start time, 0 if a replica is loaded.
	visitGap = time.Minute
	// diskCacheMiB is the capacity for checkpoints on the disk of each server.
	diskCacheMiB = 400 << 10
	maxWaitMs    = 600_000
)

// Result is the result of a replay.
type Result struct {
	policy   string
	scenario string
	seed     int64
	visits   *hdrhistogram.Histogram
	// Totals of the replay after the warm-up.
	requests, refused, lateRequests, loads int
	remoteMiB                              uint64
	idleTime                               time.Duration
	// forecastError is the distribution of the absolute errors of the forecast waits,
	// including those in the warm-up.
	forecastError *hdrhistogram.Histogram
}

// Policy returns the name of the policy.
func (r Result) Policy() string { return r.policy }

// Scenario returns the name of the deployment.
func (r Result) Scenario() string { return r.scenario }

// Seed returns the seed of the arrivals.
func (r Result) Seed() int64 { return r.seed }

// ColdStart returns a percentile of the cold-start times of visits.
func (r Result) ColdStart(percentile float64) time.Duration {
	return time.Duration(r.visits.ValueAtPercentile(percentile)) * time.Millisecond
}

// MeanColdStart returns the mean cold-start time of visits.
func (r Result) MeanColdStart() time.Duration {
	return time.Duration(r.visits.Mean() * float64(time.Millisecond))
}

// IdleHours returns the accelerator hours of loaded models without requests.
func (r Result) IdleHours() float64 { return r.idleTime.Hours() }

// Visits returns the number of visits.
func (r Result) Visits() int64 { return r.visits.TotalCount() }

// LateShare returns the share of requests that were served after more than lateThreshold.
func (r Result) LateShare() float64 { return float64(r.lateRequests) / float64(max(r.requests, 1)) }

// Refused returns the number of requests that were refused after waitTimeout.
func (r Result) Refused() int { return r.refused }

// Loads returns the number of loads.
func (r Result) Loads() int { return r.loads }

// RemoteGiB returns the amount of data read from the weight store in GiB.
func (r Result) RemoteGiB() float64 { return float64(r.remoteMiB) / 1024 }

// ForecastError returns a percentile of the absolute error of the forecast waits.
func (r Result) ForecastError(percentile float64) time.Duration {
	return time.Duration(r.forecastError.ValueAtPercentile(percentile)) * time.Millisecond
}

// lateThreshold is the wait above which a request counts as late.
const lateThreshold = 10 * time.Second

// completion is the time at which a load or unload of a replica completes.
type completion struct {
	at      time.Time
	replica uint64
}

// completionHeap is a heap.Interface whose first element is the next completion.
type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// waitingRequest is a request that waits for a load.
type waitingRequest struct {
	since       time.Time
	startsVisit bool
	// forecast is the first forecast of the wait, -1 if there is none.
	forecast time.Duration
}

// targetState is the state of a model or adapter.
type targetState struct {
	// lastArrival is the time of the last request for the target, or for an adapter of it.
	lastArrival time.Time
	// busyUntil is the time at which the last request completes.
	busyUntil time.Time
	waiting   []waitingRequest
	// arrivals are the times of all arrivals for the target, for the clairvoyant policy.
	// nextArrival is the index of the first one that has not been replayed.
	arrivals    []time.Time
	nextArrival int
}

// simulation is the state of a replay.
type simulation struct {
	policy          Policy
	scenario        Scenario
	start           time.Time
	now             time.Time
	models          map[string]placement.Model
	servers         []placement.Server
	replicas        []placement.Replica
	targets         map[string]*targetState
	arrivalPatterns map[string]*placement.ArrivalPattern
	speedEstimator  *placement.SpeedEstimator
	completions     completionHeap
	// loadStarts is the start time of each load in progress, by replica.
	loadStarts map[uint64]time.Time
	// lastPreload is the time at which preloads were last considered.
	lastPreload time.Time
	// lastReplica is the number of the newest replica.
	lastReplica uint64
	random      *rand.Rand
	result      Result
}

// Run replays a scenario under a policy.
func Run(in Scenario, seed int64, p Policy) Result {
	s := &simulation{
		policy: p, scenario: in, start: time.Unix(1_790_000_000, 0).UTC().Truncate(day), models: map[string]placement.Model{},
		targets: map[string]*targetState{}, arrivalPatterns: map[string]*placement.ArrivalPattern{}, loadStarts: map[uint64]time.Time{},
		speedEstimator: placement.NewSpeedEstimator(in.Speeds), random: rand.New(rand.NewSource(seed)),
		result: Result{
			policy: p.name, scenario: in.Name, seed: seed,
			visits: hdrhistogram.New(1, maxWaitMs, 3), forecastError: hdrhistogram.New(1, maxWaitMs, 3),
		},
	}
	s.now = s.start
	for _, m := range in.Models {
		s.models[m.Name] = m
		s.targets[m.Name] = &targetState{}
		s.arrivalPatterns[m.Name] = placement.NewArrivalPattern(s.start)
	}
	for _, server := range in.Servers {
		copied := server
		copied.Cached = map[string]placement.Tier{}
		for t, tier := range server.Cached {
			// The scenario may lack models whose checkpoints are cached.
			if s.targets[t] != nil {
				copied.Cached[t] = tier
			}
		}
		s.servers = append(s.servers, copied)
	}
	for _, a := range in.Arrivals {
		if state := s.targets[a.Target]; state != nil {
			state.arrivals = append(state.arrivals, s.start.Add(a.At))
		}
	}
	s.run()
	return s.result
}

func (s *simulation) run() {
	end := s.start.Add(s.scenario.Length)
	next := 0
	nextIdleDecision := s.start
	for s.now.Before(end) {
		at := nextIdleDecision
		if next < len(s.scenario.Arrivals) {
			at = minTime(at, s.start.Add(s.scenario.Arrivals[next].At))
		}
		if len(s.completions) > 0 {
			at = minTime(at, s.completions[0].at)
		}
		s.advance(at)
		tick := !at.Before(nextIdleDecision)
		decide := tick
		if tick {
			nextIdleDecision = at.Add(idleDecisionInterval)
		}
		for len(s.completions) > 0 && !s.completions[0].at.After(s.now) {
			s.completeOrder(heap.Pop(&s.completions).(completion).replica)
			decide = true
		}
		for next < len(s.scenario.Arrivals) && !s.start.Add(s.scenario.Arrivals[next].At).After(s.now) {
			decide = s.handleArrival(s.scenario.Arrivals[next].Target) || decide
			next++
		}
		if decide {
			s.decide(!tick)
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// warmingUp reports whether the warm-up is in progress, in which nothing is measured.
func (s *simulation) warmingUp() bool { return s.now.Sub(s.start) < s.scenario.WarmUp }

// advance advances the simulated time and adds up the idle time of accelerators.
func (s *simulation) advance(to time.Time) {
	step := to.Sub(s.now)
	if step <= 0 {
		return
	}
	for _, r := range s.replicas {
		if r.State != placement.StateLoaded {
			continue
		}
		from := s.now
		if busy := s.targets[r.Target].busyUntil; busy.After(from) {
			from = minTime(busy, to)
		}
		if s.warmingUp() {
			continue
		}
		share := float64(r.MemoryMiB) / acceleratorMiB
		s.result.idleTime += time.Duration(float64(to.Sub(from)) * share)
	}
	s.now = to
	s.applyOutages()
}

// applyOutages updates which servers are available.
func (s *simulation) applyOutages() {
	for i := range s.servers {
		server := &s.servers[i]
		usable := true
		for _, o := range s.scenario.Outages {
			if o.Server == server.Name && s.now.Sub(s.start) >= o.Start && s.now.Sub(s.start) < o.End {
				usable = false
			}
		}
		if server.Usable && !usable {
			// The server's host was reclaimed. Its next incarnation has no loaded models.
			server.Incarnation++
			s.replicas = slices.DeleteFunc(s.replicas, func(r placement.Replica) bool { return r.Server == server.Name })
		}
		server.Usable = usable
	}
}

// handleArrival replays the arrival of a request and reports whether a decision is due.
func (s *simulation) handleArrival(target string) bool {
	state := s.targets[target]
	if state == nil {
		return false
	}
	if !s.warmingUp() {
		s.result.requests++
	}
	visit := state.lastArrival.IsZero() || s.now.Sub(state.lastArrival) > visitGap
	s.arrivalPatterns[target].RecordArrival(s.now)
	// A request for an adapter also uses its base model.
	if base := s.models[target].Base; base != "" {
		s.arrivalPatterns[base].RecordArrival(s.now)
		s.targets[base].lastArrival = s.now
	}
	state.lastArrival = s.now
	state.nextArrival++
	if s.isLoaded(target) {
		state.busyUntil = maxTime(state.busyUntil, s.now.Add(serviceTime))
		if visit {
			s.recordColdStart(0)
		}
		return false
	}
	state.waiting = append(state.waiting, waitingRequest{since: s.now, startsVisit: visit, forecast: -1})
	return true
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordColdStart records the cold-start time of a visit, unless it is in the warm-up.
func (s *simulation) recordColdStart(wait time.Duration) {
	if s.warmingUp() {
		return
	}
	_ = s.result.visits.RecordValue(min(wait.Milliseconds(), maxWaitMs))
}

func (s *simulation) isLoaded(target string) bool {
	return slices.ContainsFunc(s.replicas, func(r placement.Replica) bool {
		return r.Target == target && r.State == placement.StateLoaded
	})
}

// decide makes the placement decisions and applies them. skipIdle disables unloads that are
// due only to idle time.
func (s *simulation) decide(skipIdle bool) {
	s.expireRequests()
	in := placement.Input{
		Now: s.now, Servers: s.servers, Demands: map[string]placement.Demand{},
		Model: func(name string) (placement.Model, bool) {
			m, ok := s.models[name]
			return m, ok
		},
		Pattern: func(name string) *placement.ArrivalPattern { return s.arrivalPatterns[name] },
		Speeds:  s.speedEstimator.Speeds(), Prices: s.scenario.Prices, SkipIdle: skipIdle,
	}
	if s.policy.adjustPrices != nil {
		in.Prices = s.policy.adjustPrices(in.Prices)
	}
	if s.policy.idleTimeout != nil {
		in.IdleTimeout = func(r placement.Replica) time.Duration { return s.policy.idleTimeout(s, r) }
	}
	if s.policy.idleTimeout == nil && s.now.Sub(s.lastPreload) >= preloadInterval {
		s.lastPreload = s.now
		for _, m := range s.scenario.Models {
			in.PreloadCandidates = append(in.PreloadCandidates, m.Name)
		}
	}
	for _, r := range s.replicas {
		state := s.targets[r.Target]
		r.LastUsed = maxTime(maxTime(state.lastArrival, state.busyUntil), r.Since)
		if state.busyUntil.After(s.now) {
			r.Running = 1
		}
		in.Replicas = append(in.Replicas, r)
	}
	for t, state := range s.targets {
		if len(state.waiting) > 0 {
			in.Demands[t] = placement.Demand{Waiting: len(state.waiting), EarliestDeadline: state.waiting[0].since.Add(waitTimeout)}
		}
	}
	plan := placement.Decide(in)
	s.recordForecasts(plan)
	for _, d := range plan.Decisions {
		s.applyDecision(d)
	}
}

// expireRequests refuses the requests that have waited for longer than waitTimeout.
func (s *simulation) expireRequests() {
	for _, state := range s.targets {
		for len(state.waiting) > 0 && s.now.Sub(state.waiting[0].since) > waitTimeout {
			if !s.warmingUp() {
				s.result.refused++
			}
			if state.waiting[0].startsVisit {
				s.recordColdStart(waitTimeout)
			}
			state.waiting = state.waiting[1:]
		}
	}
}

// recordForecasts records the first forecast of the wait of each request.
func (s *simulation) recordForecasts(plan placement.Plan) {
	for t, f := range plan.Forecasts {
		state := s.targets[t]
		for i := range state.waiting {
			if w := &state.waiting[i]; w.forecast < 0 && f.Possible {
				w.forecast = max(f.ReadyAt.Sub(w.since), 0)
			}
		}
	}
}

func (s *simulation) applyDecision(d placement.Decision) {
	if d.Kind == placement.KindUnload {
		for i := range s.replicas {
			if s.replicas[i].Number == d.Replica {
				s.replicas[i].State = placement.StateUnloading
				heap.Push(&s.completions, completion{s.now.Add(unloadTime), d.Replica})
			}
		}
		return
	}
	s.lastReplica++
	m := s.models[d.Target]
	s.replicas = append(s.replicas, placement.Replica{
		Number: s.lastReplica, Target: d.Target, Version: m.Version, Server: d.Server, Accelerator: d.Accelerator,
		MemoryMiB: m.MemoryMiB, State: placement.StateLoading, ReadyAt: d.ReadyAt, Since: s.now,
	})
	s.loadStarts[s.lastReplica] = s.now
	if !s.warmingUp() {
		s.result.loads++
	}
	heap.Push(&s.completions, completion{s.now.Add(s.loadTime(d, m)), s.lastReplica})
}

// loadTime returns the actual duration of a load. It depends on the current rate of the weight
// store and on a random factor that is unknown to the policies.
func (s *simulation) loadTime(d placement.Decision, m placement.Model) time.Duration {
	tier := placement.TierRemote
	remote := 0
	for _, r := range s.replicas {
		if r.State == placement.StateLoading && s.findServer(r.Server).Cached[r.Target] == placement.TierRemote {
			remote++
		}
	}
	if server := s.findServer(d.Server); server != nil {
		tier = server.Cached[d.Target]
	}
	speeds := s.scenario.Speeds
	if tier == placement.TierRemote {
		if !s.warmingUp() {
			s.result.remoteMiB += m.MemoryMiB
		}
		remote--
		for _, slowdown := range s.scenario.Slowdowns {
			if at := s.now.Sub(s.start); at >= slowdown.From && at < slowdown.To {
				speeds.RemoteMiBPerSecond /= slowdown.Factor
			}
		}
	}
	factor := 0.9 + 0.3*s.random.Float64()
	return time.Duration(factor * float64(placement.LoadTime(speeds, tier, m.MemoryMiB, max(remote, 0))))
}

func (s *simulation) findServer(name string) *placement.Server {
	for i := range s.servers {
		if s.servers[i].Name == name {
			return &s.servers[i]
		}
	}
	return nil
}

// completeOrder completes the load or unload of a replica.
func (s *simulation) completeOrder(replica uint64) {
	i := slices.IndexFunc(s.replicas, func(r placement.Replica) bool { return r.Number == replica })
	if i < 0 {
		return
	}
	r := &s.replicas[i]
	if r.State == placement.StateUnloading {
		s.replicas = slices.Delete(s.replicas, i, i+1)
		return
	}
	server := s.findServer(r.Server)
	s.speedEstimator.Observe(server.Cached[r.Target], r.MemoryMiB, s.now.Sub(s.loadStarts[replica]))
	delete(s.loadStarts, replica)
	s.cacheOnDisk(server, r.Target)
	r.State = placement.StateLoaded
	r.Since = s.now
	state := s.targets[r.Target]
	for _, w := range state.waiting {
		wait := s.now.Sub(w.since)
		if w.startsVisit {
			s.recordColdStart(wait)
		}
		if w.forecast >= 0 {
			_ = s.result.forecastError.RecordValue(min((wait - w.forecast).Abs().Milliseconds(), maxWaitMs))
		}
		if wait > lateThreshold && !s.warmingUp() {
			s.result.lateRequests++
		}
	}
	if len(state.waiting) > 0 {
		state.busyUntil = maxTime(state.busyUntil, s.now.Add(serviceTime))
	}
	state.waiting = nil
}

// cacheOnDisk adds a checkpoint to the disk cache of a server and evicts the least recently
// used checkpoints that exceed its capacity.
func (s *simulation) cacheOnDisk(server *placement.Server, target string) {
	if server.Cached[target] == placement.TierMemory {
		return
	}
	server.Cached[target] = placement.TierDisk
	for {
		var used uint64
		oldest := ""
		for t, tier := range server.Cached {
			if tier != placement.TierDisk {
				continue
			}
			used += s.models[t].MemoryMiB
			if t != target && (oldest == "" || s.targets[t].lastArrival.Before(s.targets[oldest].lastArrival) ||
				s.targets[t].lastArrival.Equal(s.targets[oldest].lastArrival) && t < oldest) {
				oldest = t
			}
		}
		if used <= diskCacheMiB || oldest == "" {
			return
		}
		delete(server.Cached, oldest)
	}
}

// nextArrival returns the time of the next arrival for a target.
func (s *simulation) nextArrival(target string) (time.Time, bool) {
	state := s.targets[target]
	if state.nextArrival >= len(state.arrivals) {
		return time.Time{}, false
	}
	return state.arrivals[state.nextArrival], true
}

func (s *simulation) lastArrival(target string) time.Time { return s.targets[target].lastArrival }
