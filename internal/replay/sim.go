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
	// quietRound is the time between decisions while nothing happens.
	quietRound = 30 * time.Second
	// serviceTime is how long a request keeps its replica from being idle.
	serviceTime = 2 * time.Second
	unloadTime  = 500 * time.Millisecond
	// patience is how long callers wait for a load before they give up.
	patience = 60 * time.Second
	// aheadEvery is the time between looks at loads ahead of demand.
	aheadEvery = time.Minute
	// visitGap parts two visits of a target: the first request of each is the
	// one whose wait is the cold-start time, 0 when a replica was kept.
	visitGap = time.Minute
	// diskCacheMiB is the room for checkpoints on each server's disk.
	diskCacheMiB = 400 << 10
	maxWaitMs    = 600_000
)

// Result is what one replay gave.
type Result struct {
	policy   string
	scenario string
	seed     int64
	visits   *hdrhistogram.Histogram
	// Totals of the whole replay.
	requests, refused, late, loads int
	remoteMiB                      uint64
	idle                           time.Duration
	// forecastError holds the absolute errors of the forecast waits.
	forecastError *hdrhistogram.Histogram
}

// Policy returns the name of the policy.
func (r Result) Policy() string { return r.policy }

// Scenario returns the name of the deployment.
func (r Result) Scenario() string { return r.scenario }

// Seed returns the seed of the arrivals.
func (r Result) Seed() int64 { return r.seed }

// ColdStart returns a percentile of the visits' cold-start time.
func (r Result) ColdStart(percentile float64) time.Duration {
	return time.Duration(r.visits.ValueAtPercentile(percentile)) * time.Millisecond
}

// MeanColdStart returns the mean cold-start time of the visits.
func (r Result) MeanColdStart() time.Duration {
	return time.Duration(r.visits.Mean() * float64(time.Millisecond))
}

// IdleHours returns the accelerator hours that were held without a request.
func (r Result) IdleHours() float64 { return r.idle.Hours() }

// Visits returns the number of visits.
func (r Result) Visits() int64 { return r.visits.TotalCount() }

// LateShare returns the share of requests that waited for more than 10 seconds.
func (r Result) LateShare() float64 { return float64(r.late) / float64(max(r.requests, 1)) }

// Refused returns the requests that gave up.
func (r Result) Refused() int { return r.refused }

// Loads returns the number of loads.
func (r Result) Loads() int { return r.loads }

// RemoteGiB returns what was read from the weight store.
func (r Result) RemoteGiB() float64 { return float64(r.remoteMiB) / 1024 }

// ForecastError returns a percentile of the absolute error of forecast waits.
func (r Result) ForecastError(percentile float64) time.Duration {
	return time.Duration(r.forecastError.ValueAtPercentile(percentile)) * time.Millisecond
}

// lateAfter is when a wait counts as late.
const lateAfter = 10 * time.Second

type finish struct {
	at     time.Time
	number uint64
}

type finishes []finish

func (f finishes) Len() int           { return len(f) }
func (f finishes) Less(i, j int) bool { return f[i].at.Before(f[j].at) }
func (f finishes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishes) Push(x any)        { *f = append(*f, x.(finish)) }
func (f *finishes) Pop() any {
	old := *f
	x := old[len(old)-1]
	*f = old[:len(old)-1]
	return x
}

type waiting struct {
	since    time.Time
	visit    bool
	forecast time.Duration
}

type use struct {
	last    time.Time
	busy    time.Time
	waiting []waiting
	// arrivals are all of the target's, for the clairvoyant; next points to the
	// first one that is ahead.
	arrivals []time.Time
	next     int
}

type sim struct {
	policy   Policy
	in       Scenario
	start    time.Time
	now      time.Time
	models   map[string]placement.Model
	servers  []placement.Server
	replicas []placement.Replica
	uses     map[string]*use
	patterns map[string]*placement.ArrivalPattern
	learner  *placement.SpeedEstimator
	finishes finishes
	began    map[uint64]time.Time
	// lookedAhead is when loads ahead were last considered.
	lookedAhead time.Time
	number      uint64
	random      *rand.Rand
	result      Result
}

// Run replays a scenario under a policy.
func Run(in Scenario, seed int64, p Policy) Result {
	s := &sim{
		policy: p, in: in, start: time.Unix(1_790_000_000, 0).UTC().Truncate(day), models: map[string]placement.Model{},
		uses: map[string]*use{}, patterns: map[string]*placement.ArrivalPattern{}, began: map[uint64]time.Time{},
		learner: placement.NewSpeedEstimator(in.Speeds), random: rand.New(rand.NewSource(seed)),
		result: Result{
			policy: p.name, scenario: in.Name, seed: seed,
			visits: hdrhistogram.New(1, maxWaitMs, 3), forecastError: hdrhistogram.New(1, maxWaitMs, 3),
		},
	}
	s.now = s.start
	for _, m := range in.Models {
		s.models[m.Name] = m
		s.uses[m.Name] = &use{}
		s.patterns[m.Name] = placement.NewArrivalPattern(s.start)
	}
	for _, x := range in.Servers {
		copied := x
		copied.Cached = map[string]placement.Tier{}
		for t, tier := range x.Cached {
			// A recorded file may not know every cached checkpoint.
			if s.uses[t] != nil {
				copied.Cached[t] = tier
			}
		}
		s.servers = append(s.servers, copied)
	}
	for _, a := range in.Arrivals {
		if u := s.uses[a.Target]; u != nil {
			u.arrivals = append(u.arrivals, s.start.Add(a.At))
		}
	}
	s.run()
	return s.result
}

func (s *sim) run() {
	end := s.start.Add(s.in.Length)
	next := 0
	quiet := s.start
	for s.now.Before(end) {
		at := quiet
		if next < len(s.in.Arrivals) {
			at = earlier(at, s.start.Add(s.in.Arrivals[next].At))
		}
		if len(s.finishes) > 0 {
			at = earlier(at, s.finishes[0].at)
		}
		s.pass(at)
		tick := !at.Before(quiet)
		decide := tick
		if tick {
			quiet = at.Add(quietRound)
		}
		for len(s.finishes) > 0 && !s.finishes[0].at.After(s.now) {
			s.finish(heap.Pop(&s.finishes).(finish).number)
			decide = true
		}
		for next < len(s.in.Arrivals) && !s.start.Add(s.in.Arrivals[next].At).After(s.now) {
			decide = s.arrive(s.in.Arrivals[next].Target) || decide
			next++
		}
		if decide {
			s.decide(!tick)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// learning reports whether the days that only teach the policy are not over.
func (s *sim) learning() bool { return s.now.Sub(s.start) < s.in.WarmUp }

// pass lets time go by and counts idle accelerators.
func (s *sim) pass(to time.Time) {
	step := to.Sub(s.now)
	if step <= 0 {
		return
	}
	for _, r := range s.replicas {
		if r.State != placement.StateLoaded {
			continue
		}
		from := s.now
		if busy := s.uses[r.Target].busy; busy.After(from) {
			from = earlier(busy, to)
		}
		if s.learning() {
			continue
		}
		share := float64(r.MemoryMiB) / acceleratorMiB
		s.result.idle += time.Duration(float64(to.Sub(from)) * share)
	}
	s.now = to
	s.outages()
}

func (s *sim) outages() {
	for i := range s.servers {
		x := &s.servers[i]
		usable := true
		for _, o := range s.in.Outages {
			if o.Server == x.Name && s.now.Sub(s.start) >= o.At && s.now.Sub(s.start) < o.Back {
				usable = false
			}
		}
		if x.Usable && !usable {
			// The host is reclaimed; its next incarnation holds nothing.
			x.Incarnation++
			s.replicas = slices.DeleteFunc(s.replicas, func(r placement.Replica) bool { return r.Server == x.Name })
		}
		x.Usable = usable
	}
}

// arrive returns whether a decision is due.
func (s *sim) arrive(target string) bool {
	u := s.uses[target]
	if u == nil {
		return false
	}
	if !s.learning() {
		s.result.requests++
	}
	visit := u.last.IsZero() || s.now.Sub(u.last) > visitGap
	s.patterns[target].RecordArrival(s.now)
	// A request for an adapter needs its base as well.
	if base := s.models[target].Base; base != "" {
		s.patterns[base].RecordArrival(s.now)
		s.uses[base].last = s.now
	}
	u.last = s.now
	u.next++
	if s.loaded(target) {
		u.busy = later(u.busy, s.now.Add(serviceTime))
		if visit {
			s.record(0)
		}
		return false
	}
	u.waiting = append(u.waiting, waiting{since: s.now, visit: visit, forecast: -1})
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *sim) record(wait time.Duration) {
	if s.learning() {
		return
	}
	_ = s.result.visits.RecordValue(min(wait.Milliseconds(), maxWaitMs))
}

func (s *sim) loaded(target string) bool {
	return slices.ContainsFunc(s.replicas, func(r placement.Replica) bool {
		return r.Target == target && r.State == placement.StateLoaded
	})
}

func (s *sim) decide(settled bool) {
	s.giveUp()
	in := placement.Input{
		Now: s.now, Servers: s.servers, Demands: map[string]placement.Demand{},
		Model: func(name string) (placement.Model, bool) {
			m, ok := s.models[name]
			return m, ok
		},
		Pattern: func(name string) *placement.ArrivalPattern { return s.patterns[name] },
		Speeds:  s.learner.Speeds(), Prices: s.in.Weights, SkipIdle: settled,
	}
	if s.policy.weights != nil {
		in.Prices = s.policy.weights(in.Prices)
	}
	if s.policy.keep != nil {
		in.IdleTimeout = func(r placement.Replica) time.Duration { return s.policy.keep(s, r) }
	}
	if s.policy.keep == nil && s.now.Sub(s.lookedAhead) >= aheadEvery {
		s.lookedAhead = s.now
		for _, m := range s.in.Models {
			in.PreloadCandidates = append(in.PreloadCandidates, m.Name)
		}
	}
	for _, r := range s.replicas {
		u := s.uses[r.Target]
		r.LastUsed = later(later(u.last, u.busy), r.Since)
		if u.busy.After(s.now) {
			r.Running = 1
		}
		in.Replicas = append(in.Replicas, r)
	}
	for t, u := range s.uses {
		if len(u.waiting) > 0 {
			in.Demands[t] = placement.Demand{Waiting: len(u.waiting), EarliestDeadline: u.waiting[0].since.Add(patience)}
		}
	}
	plan := placement.Decide(in)
	s.noteForecasts(plan)
	for _, d := range plan.Decisions {
		s.act(d)
	}
}

// giveUp refuses those who have waited too long.
func (s *sim) giveUp() {
	for _, u := range s.uses {
		for len(u.waiting) > 0 && s.now.Sub(u.waiting[0].since) > patience {
			if !s.learning() {
				s.result.refused++
			}
			if u.waiting[0].visit {
				s.record(patience)
			}
			u.waiting = u.waiting[1:]
		}
	}
}

func (s *sim) noteForecasts(plan placement.Plan) {
	for t, f := range plan.Forecasts {
		u := s.uses[t]
		for i := range u.waiting {
			if w := &u.waiting[i]; w.forecast < 0 && f.Possible {
				w.forecast = max(f.ReadyAt.Sub(w.since), 0)
			}
		}
	}
}

func (s *sim) act(d placement.Decision) {
	if d.Kind == placement.KindUnload {
		for i := range s.replicas {
			if s.replicas[i].Number == d.Replica {
				s.replicas[i].State = placement.StateUnloading
				heap.Push(&s.finishes, finish{s.now.Add(unloadTime), d.Replica})
			}
		}
		return
	}
	s.number++
	m := s.models[d.Target]
	s.replicas = append(s.replicas, placement.Replica{
		Number: s.number, Target: d.Target, Version: m.Version, Server: d.Server, Accelerator: d.Accelerator,
		MemoryMiB: m.MemoryMiB, State: placement.StateLoading, ReadyAt: d.ReadyAt, Since: s.now,
	})
	s.began[s.number] = s.now
	if !s.learning() {
		s.result.loads++
	}
	heap.Push(&s.finishes, finish{s.now.Add(s.loadTime(d, m)), s.number})
}

// loadTime is how long a load really takes: the store's present rate and a
// spread that no policy can know.
func (s *sim) loadTime(d placement.Decision, m placement.Model) time.Duration {
	tier := placement.TierRemote
	remote := 0
	for _, r := range s.replicas {
		if r.State == placement.StateLoading && s.server(r.Server).Cached[r.Target] == placement.TierRemote {
			remote++
		}
	}
	if x := s.server(d.Server); x != nil {
		tier = x.Cached[d.Target]
	}
	speeds := s.in.Speeds
	if tier == placement.TierRemote {
		if !s.learning() {
			s.result.remoteMiB += m.MemoryMiB
		}
		remote--
		for _, x := range s.in.Slowdowns {
			if at := s.now.Sub(s.start); at >= x.From && at < x.To {
				speeds.RemoteMiBPerSecond /= x.By
			}
		}
	}
	spread := 0.9 + 0.3*s.random.Float64()
	return time.Duration(spread * float64(placement.LoadTime(speeds, tier, m.MemoryMiB, max(remote, 0))))
}

func (s *sim) server(name string) *placement.Server {
	for i := range s.servers {
		if s.servers[i].Name == name {
			return &s.servers[i]
		}
	}
	return nil
}

func (s *sim) finish(number uint64) {
	i := slices.IndexFunc(s.replicas, func(r placement.Replica) bool { return r.Number == number })
	if i < 0 {
		return
	}
	r := &s.replicas[i]
	if r.State == placement.StateUnloading {
		s.replicas = slices.Delete(s.replicas, i, i+1)
		return
	}
	x := s.server(r.Server)
	s.learner.Observe(x.Cached[r.Target], r.MemoryMiB, s.now.Sub(s.began[number]))
	delete(s.began, number)
	s.cache(x, r.Target)
	r.State = placement.StateLoaded
	r.Since = s.now
	u := s.uses[r.Target]
	for _, w := range u.waiting {
		wait := s.now.Sub(w.since)
		if w.visit {
			s.record(wait)
		}
		if w.forecast >= 0 {
			_ = s.result.forecastError.RecordValue(min((wait - w.forecast).Abs().Milliseconds(), maxWaitMs))
		}
		if wait > lateAfter && !s.learning() {
			s.result.late++
		}
	}
	if len(u.waiting) > 0 {
		u.busy = later(u.busy, s.now.Add(serviceTime))
	}
	u.waiting = nil
}

// cache puts a checkpoint on a server's disk; the one whose target was used
// longest ago makes room.
func (s *sim) cache(x *placement.Server, target string) {
	if x.Cached[target] == placement.TierMemory {
		return
	}
	x.Cached[target] = placement.TierDisk
	for {
		var used uint64
		oldest := ""
		for t, tier := range x.Cached {
			if tier != placement.TierDisk {
				continue
			}
			used += s.models[t].MemoryMiB
			if t != target && (oldest == "" || s.uses[t].last.Before(s.uses[oldest].last) ||
				s.uses[t].last.Equal(s.uses[oldest].last) && t < oldest) {
				oldest = t
			}
		}
		if used <= diskCacheMiB || oldest == "" {
			return
		}
		delete(x.Cached, oldest)
	}
}

// nextUse returns when a target is asked for next.
func (s *sim) nextUse(target string) (time.Time, bool) {
	u := s.uses[target]
	if u.next >= len(u.arrivals) {
		return time.Time{}, false
	}
	return u.arrivals[u.next], true
}

func (s *sim) lastUse(target string) time.Time { return s.uses[target].last }
