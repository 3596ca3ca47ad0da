package loading

import (
	"math"
	"time"

	"fennelyard/internal/schema"
)

const (
	// rateWindow is the time over which the rate of a model's requests is averaged:
	// demand moves between models within some seconds, and a shorter window would
	// take a pause of a rare model for its end.
	rateWindow = 8 * time.Second
	// riseWindow is the window of a second average, which follows demand that
	// rises: the difference of the two tells how fast.
	riseWindow = 2 * time.Second
	// riseLeast is how many requests within riseWindow a rise is believed from. A
	// rare model that is asked for once in ten seconds has three of them within two
	// seconds about once in an hour.
	riseLeast = 2.5
	// riseSure is by how many standard deviations of the average over riseWindow
	// the two averages must differ: without it the noise of even demand makes each
	// busy model seem to rise half of the time.
	riseSure = 2
	// riseAhead is for how long demand that rises is taken to rise on: about half
	// the time of a load from the weight store, as a rise ends at some point.
	riseAhead = 3 * time.Second
)

// target names a model, or an adapter of it.
type target struct {
	pool    string
	model   string
	adapter string
}

// demand is what all entries were asked for of one target.
type demand struct {
	// rate and recent are averages over rateWindow and riseWindow, as of asked.
	rate   float64
	recent float64
	asked  time.Time
	// reading is the part of an engine's time that reading its prompts takes, an
	// average as rate is.
	reading float64
	// running is how many requests are at engines at once, an average likewise.
	running float64
	// waiting holds the requests that wait now, by entry.
	waiting map[string]int
}

// arrive notes requests, for how long engines read what was sent, and for how long
// they had what ended.
func (d *demand) arrive(n int, reading, ran time.Duration, now time.Time) {
	d.running = d.average(d.running, rateWindow, now) + ran.Seconds()/rateWindow.Seconds()
	d.reading = d.average(d.reading, rateWindow, now) + reading.Seconds()/rateWindow.Seconds()
	d.rate = d.average(d.rate, rateWindow, now) + float64(n)/rateWindow.Seconds()
	d.recent = d.average(d.recent, riseWindow, now) + float64(n)/riseWindow.Seconds()
	d.asked = now
}

// average lets an average decay since the last arrival.
func (d *demand) average(of float64, window time.Duration, now time.Time) float64 {
	return of * math.Exp(-now.Sub(d.asked).Seconds()/window.Seconds())
}

// rateAt is the rate to be expected riseAhead from now. An average lags behind
// demand that grows evenly by its window, so that the two averages differ by the
// growth in the time between their windows. Without the forecast a model that
// becomes busy within six seconds gets its second replica ten seconds after its
// first callers, all of whom wait for one engine meanwhile.
func (d *demand) rateAt(now time.Time) float64 {
	rate, recent := d.average(d.rate, rateWindow, now), d.average(d.recent, riseWindow, now)
	deviation := math.Sqrt(rate / (2 * riseWindow.Seconds()))
	if recent < rate+riseSure*deviation || recent*riseWindow.Seconds() < riseLeast {
		return rate
	}
	growth := (recent - rate) / (rateWindow - riseWindow).Seconds()
	return recent + growth*(riseWindow+riseAhead).Seconds()
}

// times are how long an engine reads a prompt and how long it has a request, on
// average; 0: nothing was sent yet.
func (d *demand) times() (read, run time.Duration) {
	if d.rate <= 0 {
		return 0, 0
	}
	// All averages decay alike, so that their ratios stay.
	return time.Duration(d.reading / d.rate * float64(time.Second)), time.Duration(d.running / d.rate * float64(time.Second))
}

func (d *demand) sum() int {
	n := 0
	for _, w := range d.waiting {
		n += w
	}
	return n
}

// HandleDemand takes in what an entry was asked for since it last said so.
func (d *Driver) HandleDemand(entry string, demands []*schema.ModelDemand) {
	if len(demands) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	urgent := false
	for _, x := range demands {
		t := target{x.GetPool(), x.GetModel(), x.GetAdapter()}
		if d.note(entry, t, x, now) {
			urgent = true
		}
		if t.adapter != "" {
			d.noteAdapter(t, x, now)
			whole := &schema.ModelDemand{Arrived: x.GetArrived(), ReadUs: x.GetReadUs(), RanUs: x.GetRanUs()}
			d.note(entry, target{t.pool, t.model, ""}, whole, now)
		}
	}
	if urgent {
		d.wake()
	}
}

// note reports whether requests wait.
func (d *Driver) note(entry string, t target, x *schema.ModelDemand, now time.Time) bool {
	m := d.demands[t]
	if m == nil {
		m = &demand{waiting: map[string]int{}, asked: now}
		d.demands[t] = m
	}
	if x.GetArrived() > 0 || x.GetReadUs() > 0 || x.GetRanUs() > 0 {
		m.arrive(int(x.GetArrived()), time.Duration(x.GetReadUs())*time.Microsecond, time.Duration(x.GetRanUs())*time.Microsecond, now)
	}
	if x.GetModel() == "" {
		return false
	}
	if x.GetWaiting() == 0 {
		delete(m.waiting, entry)
		return false
	}
	m.waiting[entry] = int(x.GetWaiting())
	return true
}

// noteAdapter marks an adapter as used wherever it lies.
func (d *Driver) noteAdapter(t target, x *schema.ModelDemand, now time.Time) {
	if x.GetArrived() == 0 {
		return
	}
	for _, e := range d.engines {
		if h := e.held[t.model]; h != nil && e.pool == t.pool {
			if _, ok := h.Adapters[t.adapter]; ok {
				h.Adapters[t.adapter] = now
			}
		}
	}
}

// RemoveEntry drops what an entry said that is gone.
func (d *Driver) RemoveEntry(entry string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.demands {
		delete(m.waiting, entry)
	}
}

// forecastKeep is for how long a forecast is told again: entries look at theirs
// every 50 ms, and each takes a look at every engine.
const forecastKeep = 50 * time.Millisecond

// forecast is when a target was last expected to be ready.
type forecast struct {
	at    time.Time
	ready int64 // in ms from at; -1: nothing is on its way
}

// Forecasts tells when the targets of some demands should be ready.
func (d *Driver) Forecasts(waiting []*schema.ModelDemand) []*schema.LoadForecast {
	if len(waiting) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	var out []*schema.LoadForecast
	for _, x := range waiting {
		t := target{x.GetPool(), x.GetModel(), x.GetAdapter()}
		f, ok := d.forecasts[t]
		if !ok || now.Sub(f.at) > forecastKeep {
			f = forecast{at: now, ready: d.readyAt(x, now)}
			d.forecasts[t] = f
		}
		out = append(out, &schema.LoadForecast{Pool: t.pool, Model: t.model, Adapter: t.adapter, ReadyInMs: f.ready})
	}
	return out
}

// readyAt tells in how many ms a target should be ready; -1: nothing is on its way.
func (d *Driver) readyAt(x *schema.ModelDemand, now time.Time) int64 {
	ready := int64(-1)
	for _, e := range d.engines {
		// A new holder gives no orders for a while; loads under way go on.
		idle := max(e.ordersFrom.Sub(now), 0)
		if in, ok := d.readyIn(e, x, idle, now); ok && (ready < 0 || in.Milliseconds() < ready) {
			ready = in.Milliseconds()
		}
	}
	if barred := d.barredFor(x.GetPool(), x.GetModel(), now); barred > 0 && !d.holdsModel(x.GetPool(), x.GetModel()) {
		return barred.Milliseconds()
	}
	return ready
}

// holdsModel reports whether any engine of a pool holds a model.
func (d *Driver) holdsModel(pool, model string) bool {
	for _, e := range d.engines {
		if e.pool == pool && e.held[model] != nil {
			return true
		}
	}
	return false
}

// readyIn tells when an engine should hold a model that its order under way
// loads or makes room for.
func (d *Driver) readyIn(e *engine, x *schema.ModelDemand, idle time.Duration, now time.Time) (time.Duration, bool) {
	if e.pool != x.GetPool() {
		return 0, false
	}
	if h := e.held[x.GetModel()]; h != nil && e.unloading() != x.GetModel() {
		if _, held := h.Adapters[x.GetAdapter()]; x.GetAdapter() != "" && !held {
			idle = max(idle, d.busyFor(e, now))
		}
		return idle + adapterLoad, true
	}
	if e.phase <= phaseKnown || e.order.Adapter != "" {
		return d.couldIn(e, x.GetModel(), idle)
	}
	switch {
	case e.order.Load && e.order.Model == x.GetModel() && idle > 0:
		return idle + d.loadTime(e), true
	case e.order.Load && e.order.Model == x.GetModel():
		return remaining(now.Sub(e.given), d.loadTime(e)), true
	case !e.order.Load && e.order.RoomFor == x.GetModel():
		return d.loadTimeOf(e, x.GetModel()) + dueSlack, true
	}
	return 0, false
}

// busyFor tells for how long the order under way should keep an engine from taking one for
// an adapter. Without it callers of an adapter were told of milliseconds while the engine
// loaded another model for seconds, and waited in vain.
func (d *Driver) busyFor(e *engine, now time.Time) time.Duration {
	if e.phase <= phaseKnown || e.order.Adapter != "" || !e.order.Load {
		return 0
	}
	return remaining(now.Sub(e.given), d.loadTime(e))
}

// remaining tells how much longer a load should take. One that is overdue is
// expected to take as long again: the weight store is slow by an unknown factor,
// and callers who are told that it is nearly done wait until their time is over.
func remaining(gone, takes time.Duration) time.Duration {
	if gone > takes {
		return gone
	}
	return max(takes-gone, adapterLoad)
}

// couldIn tells when an engine without an order could hold a model of which it
// has a copy. Callers of a rare model are kept through a change of leader by it
// where their time allows, instead of being refused for want of a forecast.
func (d *Driver) couldIn(e *engine, model string, idle time.Duration) (time.Duration, bool) {
	if !e.inMemory[model] && !e.onDisk[model] {
		return 0, false
	}
	return idle + d.loadTimeOf(e, model) + dueSlack, true
}
