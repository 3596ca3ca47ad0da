package loading

import "time"

const (
	// endsEnough is how many engines must have ended one after the other under loads of a
	// model, none of which came to its end, before it is not loaded for a while. Engines
	// also end of themselves, but hardly three in a row under loads of one model.
	endsEnough = 3
	// endsHold is for how long the model is not loaded then. Each engine more that ends under
	// it doubles the time, endsDoublings times at the most.
	endsHold      = time.Minute
	endsDoublings = 4
)

// endings are the engines that ended under loads of one model since the last load that came
// to its end.
type endings struct {
	// engines counts those whose load began after the one before had ended.
	engines int
	// last is when the last of these was found to have ended.
	last time.Time
}

// until is when the model may be loaded again; the zero time: it may be.
func (x *endings) until() time.Time {
	if x == nil || x.engines < endsEnough {
		return time.Time{}
	}
	return x.last.Add(endsHold << min(x.engines-endsEnough, endsDoublings))
}

// ended notes that an engine is gone. Weights that end the engines that load them would be
// loaded at one engine after the other for as long as a caller waits, and each would lose
// what it held and all that it ran.
func (d *Driver) ended(e *engine, now time.Time) {
	if e.phase != phaseWorking || !e.order.Load || e.order.Adapter != "" || !d.cfg.Roster.Gone(e.id) {
		return
	}
	t := target{e.pool, e.order.Model, ""}
	x := d.endings[t]
	if x == nil {
		x = &endings{}
		d.endings[t] = x
	}
	if e.given.Before(x.last) {
		// A rack that loses its power ends several engines, whatever they load.
		return
	}
	x.engines++
	x.last = now
	d.cfg.Log.Info("engine ended under a load", "server", e.id, "model", t.model, "in-a-row", x.engines,
		"not-loaded-for-ms", max(x.until().Sub(now).Milliseconds(), 0))
}

// barredFor tells for how long a model is not loaded, as engines ended under it.
func (d *Driver) barredFor(pool, model string, now time.Time) time.Duration {
	return max(d.endings[target{pool, model, ""}].until().Sub(now), 0)
}
