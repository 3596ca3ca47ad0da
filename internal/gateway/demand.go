package gateway

import (
	"sync"
	"time"

	"fennelyard/internal/schema"
)

// target is a model of a pool, or an adapter of the model.
type target struct {
	pool    string
	model   string
	adapter string
}

// loadForecast is the leader's forecast of when a target that requests wait for is loaded.
type loadForecast struct {
	receivedAt time.Time
	// ready is the expected time; the zero time: no load is planned.
	ready time.Time
}

// demandSample is the demand for a target over an interval.
type demandSample struct {
	arrived int
	// prefillTime is the estimated prefill time of the requests sent, runTime the time that
	// engines spent on requests that ended.
	prefillTime, runTime time.Duration
}

// demandTracker collects the callers' demand for models, which is reported to the leader. It is
// safe for concurrent use.
type demandTracker struct {
	// urgent holds a token if a report should leave at once, deferred if one should leave before
	// the report interval has elapsed.
	urgent, deferred chan struct{}

	mu sync.Mutex
	// unreported is the demand since the last report; guarded by mu, as are all fields below.
	unreported map[target]demandSample
	waiting    map[target]int
	// reportedWaiting holds the targets for which waiting requests were reported.
	reportedWaiting map[target]bool
	forecasts       map[target]loadForecast
}

func newDemandTracker() *demandTracker {
	return &demandTracker{
		urgent: make(chan struct{}, 1), deferred: make(chan struct{}, 1), unreported: map[target]demandSample{}, waiting: map[target]int{},
		reportedWaiting: map[target]bool{}, forecasts: map[target]loadForecast{},
	}
}

func (d *demandTracker) addArrival(t target) { d.add(t, demandSample{arrived: 1}) }

// addPrefillTime adds the estimated time that an engine needs for a request's prefill.
func (d *demandTracker) addPrefillTime(t target, duration time.Duration) {
	d.add(t, demandSample{prefillTime: duration})
}

// addRunTime adds the time that an engine spent on a request.
func (d *demandTracker) addRunTime(t target, duration time.Duration) {
	d.add(t, demandSample{runTime: duration})
}

func (d *demandTracker) add(t target, sample demandSample) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := d.unreported[t]
	d.unreported[t] = demandSample{sum.arrived + sample.arrived, sum.prefillTime + sample.prefillTime, sum.runTime + sample.runTime}
}

// addWaiting adds n requests that wait for a target; n is negative when they stop waiting. A
// request for a target without reported waiting requests is reported at once, further ones after
// a delay that grows with the number of entries that subscribe to the host: with an immediate
// report for each request, 291 entries with many waiting requests sent 5,000 reports a second to
// hosts that then had no time left to elect a leader.
func (d *demandTracker) addWaiting(t target, n int) {
	d.mu.Lock()
	d.waiting[t] += n
	if d.waiting[t] <= 0 {
		delete(d.waiting, t)
	}
	signal := d.urgent
	if d.reportedWaiting[t] {
		signal = d.deferred
	}
	d.mu.Unlock()
	if n > 0 {
		select {
		case signal <- struct{}{}:
		default:
		}
	}
}

// reportSoon makes a report leave before the report interval has elapsed.
func (d *demandTracker) reportSoon() {
	select {
	case d.deferred <- struct{}{}:
	default:
	}
}

func (d *demandTracker) waitingCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, w := range d.waiting {
		n += w
	}
	return n
}

// collect returns the unreported demand. Targets with waiting requests are included each time,
// targets that no longer have any once.
func (d *demandTracker) collect() []*schema.ModelDemand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*schema.ModelDemand
	add := func(t target) {
		sample := d.unreported[t]
		out = append(out, &schema.ModelDemand{
			Pool: t.pool, Model: t.model, Adapter: t.adapter, Arrived: uint32(sample.arrived), Waiting: uint32(d.waiting[t]),
			ReadUs: uint64(sample.prefillTime.Microseconds()), RanUs: uint64(sample.runTime.Microseconds()),
		})
		delete(d.unreported, t)
	}
	for t := range d.waiting {
		add(t)
	}
	for t := range d.reportedWaiting {
		if d.waiting[t] == 0 {
			add(t)
			delete(d.reportedWaiting, t)
		}
	}
	for t := range d.unreported {
		add(t)
	}
	for t := range d.waiting {
		d.reportedWaiting[t] = true
	}
	return out
}

func (d *demandTracker) setForecasts(forecasts []*schema.LoadForecast, now time.Time) {
	if len(forecasts) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range forecasts {
		forecast := loadForecast{receivedAt: now}
		if f.GetReadyInMs() >= 0 {
			forecast.ready = now.Add(time.Duration(f.GetReadyInMs()) * time.Millisecond)
		}
		d.forecasts[target{f.GetPool(), f.GetModel(), f.GetAdapter()}] = forecast
	}
}

// forecast returns the leader's forecast for a target if it was received after since, or less
// than a report interval before: the leader repeats the forecasts of targets that are waited
// for in response to each report of this entry.
func (d *demandTracker) forecast(t target, since time.Time) (loadForecast, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f, ok := d.forecasts[t]
	return f, ok && f.receivedAt.After(since.Add(-reportInterval))
}
