package loading

import (
	"math"
	"time"

	"fennelyard/internal/schema"
)

const (
	// rateWindow is the averaging window of a model's request rate. Demand moves between models
	// within seconds, but a shorter window would take a pause in the requests of a rare model
	// for their end.
	rateWindow = 8 * time.Second
	// riseWindow is the window of a second average, which follows rising demand. The difference
	// between the two averages gives the growth rate.
	riseWindow = 2 * time.Second
	// riseMinRequests is the number of requests within riseWindow from which a rise is assumed.
	// A rare model with one request in ten seconds has three of them within two seconds about
	// once an hour.
	riseMinRequests = 2.5
	// riseMinDeviations is the number of standard deviations of the average over riseWindow by
	// which the two averages must differ. Without it the noise of constant demand makes each
	// busy model seem to rise half of the time.
	riseMinDeviations = 2
	// riseHorizon is how far rising demand is extrapolated: about half the time of a load from
	// the weight store, as a rise ends at some point.
	riseHorizon = 3 * time.Second
)

// target names a model or one of its adapters.
type target struct {
	pool    string
	model   string
	adapter string
}

// demand is the demand for one target, summed over all entries.
type demand struct {
	// rate and recentRate are averages over rateWindow and riseWindow, as of lastRequested.
	rate          float64
	recentRate    float64
	lastRequested time.Time
	// prefillLoad is the share of an engine's time that the prefill of its prompts takes,
	// averaged over rateWindow.
	prefillLoad float64
	// concurrency is the number of requests at engines, averaged over rateWindow.
	concurrency float64
	// waiting is the number of requests that wait now, by entry.
	waiting map[string]int
}

// record adds n requests, the prefill time of the requests that were sent and the run time of
// the requests that ended.
func (d *demand) record(n int, prefill, runTime time.Duration, now time.Time) {
	d.concurrency = d.decayed(d.concurrency, rateWindow, now) + runTime.Seconds()/rateWindow.Seconds()
	d.prefillLoad = d.decayed(d.prefillLoad, rateWindow, now) + prefill.Seconds()/rateWindow.Seconds()
	d.rate = d.decayed(d.rate, rateWindow, now) + float64(n)/rateWindow.Seconds()
	d.recentRate = d.decayed(d.recentRate, riseWindow, now) + float64(n)/riseWindow.Seconds()
	d.lastRequested = now
}

// decayed returns an average decayed since the last request.
func (d *demand) decayed(average float64, window time.Duration, now time.Time) float64 {
	return average * math.Exp(-now.Sub(d.lastRequested).Seconds()/window.Seconds())
}

// expectedRate returns the rate expected riseHorizon from now. An average lags behind linear
// growth by its window, so the two averages differ by the growth during the difference of their
// windows. Without the extrapolation a model that becomes busy within six seconds gets its
// second replica ten seconds after its first requests, all of which queue at one engine
// meanwhile.
func (d *demand) expectedRate(now time.Time) float64 {
	rate, recentRate := d.decayed(d.rate, rateWindow, now), d.decayed(d.recentRate, riseWindow, now)
	deviation := math.Sqrt(rate / (2 * riseWindow.Seconds()))
	if recentRate < rate+riseMinDeviations*deviation || recentRate*riseWindow.Seconds() < riseMinRequests {
		return rate
	}
	growth := (recentRate - rate) / (rateWindow - riseWindow).Seconds()
	return recentRate + growth*(riseWindow+riseHorizon).Seconds()
}

// meanTimes returns the mean prefill time and the mean run time of a request; 0 while no
// request was sent.
func (d *demand) meanTimes() (prefill, runTime time.Duration) {
	if d.rate <= 0 {
		return 0, 0
	}
	// All averages decay alike, so their ratios are constant.
	return time.Duration(d.prefillLoad / d.rate * float64(time.Second)), time.Duration(d.concurrency / d.rate * float64(time.Second))
}

func (d *demand) totalWaiting() int {
	n := 0
	for _, w := range d.waiting {
		n += w
	}
	return n
}

// HandleDemand records an entry's demand since its previous report.
func (d *Driver) HandleDemand(entry string, demands []*schema.ModelDemand) {
	if len(demands) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	urgent := false
	for _, reported := range demands {
		t := target{reported.GetPool(), reported.GetModel(), reported.GetAdapter()}
		if d.recordDemand(entry, t, reported, now) {
			urgent = true
		}
		if t.adapter != "" {
			d.recordAdapterUse(t, reported, now)
			modelDemand := &schema.ModelDemand{Arrived: reported.GetArrived(), ReadUs: reported.GetReadUs(), RanUs: reported.GetRanUs()}
			d.recordDemand(entry, target{t.pool, t.model, ""}, modelDemand, now)
		}
	}
	if urgent {
		d.wake()
	}
}

// recordDemand records an entry's demand for a target. It reports whether requests wait.
func (d *Driver) recordDemand(entry string, t target, reported *schema.ModelDemand, now time.Time) bool {
	dm := d.demands[t]
	if dm == nil {
		dm = &demand{waiting: map[string]int{}, lastRequested: now}
		d.demands[t] = dm
	}
	if reported.GetArrived() > 0 || reported.GetReadUs() > 0 || reported.GetRanUs() > 0 {
		dm.record(int(reported.GetArrived()), time.Duration(reported.GetReadUs())*time.Microsecond, time.Duration(reported.GetRanUs())*time.Microsecond, now)
	}
	if reported.GetModel() == "" {
		return false
	}
	if reported.GetWaiting() == 0 {
		delete(dm.waiting, entry)
		return false
	}
	dm.waiting[entry] = int(reported.GetWaiting())
	return true
}

// recordAdapterUse sets the last use of an adapter at every engine that has it.
func (d *Driver) recordAdapterUse(t target, reported *schema.ModelDemand, now time.Time) {
	if reported.GetArrived() == 0 {
		return
	}
	for _, e := range d.engines {
		if l := e.loaded[t.model]; l != nil && e.pool == t.pool {
			if _, ok := l.Adapters[t.adapter]; ok {
				l.Adapters[t.adapter] = now
			}
		}
	}
}

// RemoveEntry drops the waiting requests of an entry that is gone.
func (d *Driver) RemoveEntry(entry string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, dm := range d.demands {
		delete(dm.waiting, entry)
	}
}

// forecastCacheTime is how long a forecast is reused: entries query theirs every 50 ms, and
// computing one iterates over all engines.
const forecastCacheTime = 50 * time.Millisecond

// forecast is a cached estimate of when a target is ready.
type forecast struct {
	at        time.Time
	readyInMs int64 // in ms from at; -1: no load is expected
}

// Forecasts returns the expected time until the target of each demand is ready.
func (d *Driver) Forecasts(waiting []*schema.ModelDemand) []*schema.LoadForecast {
	if len(waiting) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	var out []*schema.LoadForecast
	for _, wanted := range waiting {
		t := target{wanted.GetPool(), wanted.GetModel(), wanted.GetAdapter()}
		f, ok := d.forecasts[t]
		if !ok || now.Sub(f.at) > forecastCacheTime {
			f = forecast{at: now, readyInMs: d.forecastMs(wanted, now)}
			d.forecasts[t] = f
		}
		out = append(out, &schema.LoadForecast{Pool: t.pool, Model: t.model, Adapter: t.adapter, ReadyInMs: f.readyInMs})
	}
	return out
}

// forecastMs returns the time in ms until a target is ready; -1: no load is expected.
func (d *Driver) forecastMs(wanted *schema.ModelDemand, now time.Time) int64 {
	ready := int64(-1)
	for _, e := range d.engines {
		// A new order holder sends no orders before ordersAllowedFrom; loads in progress continue.
		delay := max(e.ordersAllowedFrom.Sub(now), 0)
		if in, ok := d.readyIn(e, wanted, delay, now); ok && (ready < 0 || in.Milliseconds() < ready) {
			ready = in.Milliseconds()
		}
	}
	if suspended := d.suspendedFor(wanted.GetPool(), wanted.GetModel(), now); suspended > 0 && !d.isLoaded(wanted.GetPool(), wanted.GetModel()) {
		return suspended.Milliseconds()
	}
	return ready
}

// isLoaded reports whether any engine of a pool has a model loaded.
func (d *Driver) isLoaded(pool, model string) bool {
	for _, e := range d.engines {
		if e.pool == pool && e.loaded[model] != nil {
			return true
		}
	}
	return false
}

// readyIn returns the time until an engine can serve a target, if it has the model, its order
// in progress loads or makes room for it, or it has a copy to load from. delay is the time
// until the engine can get its next order.
func (d *Driver) readyIn(e *engine, wanted *schema.ModelDemand, delay time.Duration, now time.Time) (time.Duration, bool) {
	if e.pool != wanted.GetPool() || e.rejecting {
		return 0, false
	}
	if l := e.loaded[wanted.GetModel()]; l != nil && e.unloading() != wanted.GetModel() {
		if _, loaded := l.Adapters[wanted.GetAdapter()]; wanted.GetAdapter() != "" && !loaded {
			delay = max(delay, d.adapterDelay(e, now))
		}
		return delay + adapterLoadTime, true
	}
	if e.phase <= phaseKnown || e.order.Adapter != "" {
		return d.loadableIn(e, wanted.GetModel(), delay)
	}
	switch {
	case e.order.Load && e.order.Model == wanted.GetModel() && delay > 0:
		return delay + d.loadTime(e), true
	case e.order.Load && e.order.Model == wanted.GetModel():
		return remainingLoadTime(now.Sub(e.orderedAt), d.loadTime(e)), true
	case !e.order.Load && e.order.RoomFor == wanted.GetModel():
		return d.loadTimeOf(e, wanted.GetModel()) + completionGrace, true
	}
	return 0, false
}

// adapterDelay returns how long the order in progress keeps an engine from loading an adapter.
// A forecast without it is a few milliseconds while the engine loads another model for seconds,
// and requests wait until their deadline.
func (d *Driver) adapterDelay(e *engine, now time.Time) time.Duration {
	if e.phase <= phaseKnown || e.order.Adapter != "" || !e.order.Load {
		return 0
	}
	return remainingLoadTime(now.Sub(e.orderedAt), d.loadTime(e))
}

// remainingLoadTime returns the expected rest of a load. An overdue load is expected to take as
// long again: the weight store is slow by an unknown factor, and requests with a short forecast
// would wait until their deadline.
func remainingLoadTime(elapsed, total time.Duration) time.Duration {
	if elapsed > total {
		return elapsed
	}
	return max(total-elapsed, adapterLoadTime)
}

// loadableIn returns the time until an engine without an order can have a model of which it has
// a copy. With this forecast requests for a rare model wait during a change of leader if their
// deadline allows it, instead of being refused for want of a forecast.
func (d *Driver) loadableIn(e *engine, model string, delay time.Duration) (time.Duration, bool) {
	if !e.inMemory[model] && !e.onDisk[model] {
		return 0, false
	}
	return delay + d.loadTimeOf(e, model) + completionGrace, true
}
