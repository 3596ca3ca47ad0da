package loading

import "time"

const (
	// endsEnough is how many engines must have ended one after the other under loads of a
	// model, none of which came to its end, before it is not loaded for a while, more than have
	// ended of themselves in that time: where engines end whatever they do, three in a row
	// do so under loads of one model as well.
	endsEnough = 3
	// endsApart is how far apart engines end of themselves: those of a rack that loses its
	// power do so at once, which says no more than one.
	endsApart = time.Second
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
	// others counts the engines of the pool that ended under none of the model's loads since,
	// and other is when the last of these was found.
	others int
	other  time.Time
}

// against is how many engines count against the model.
func (x *endings) against() int { return x.engines - x.others }

// until is when the model may be loaded again; the zero time: it may be.
func (x *endings) until() time.Time {
	if x == nil || x.against() < endsEnough {
		return time.Time{}
	}
	return x.last.Add(endsHold << min(x.against()-endsEnough, endsDoublings))
}

// ended notes that an engine is gone. Weights that end the engines that load them would be
// loaded at one engine after the other for as long as a caller waits, and each would lose
// what it held and all that it ran.
func (d *Driver) ended(e *engine, now time.Time) {
	if !d.cfg.Roster.Gone(e.id) {
		return
	}
	if e.phase != phaseWorking || !e.order.Load || e.order.Adapter != "" {
		d.endedOtherwise(target{pool: e.pool}, now)
		return
	}
	t := target{e.pool, e.order.Model, ""}
	x := d.endings[t]
	if x == nil {
		x = &endings{}
		d.endings[t] = x
		d.endedOtherwise(t, now)
	}
	if e.given.Before(x.last) {
		// A rack that loses its power ends several engines, whatever they load.
		return
	}
	x.engines++
	x.last = now
	d.cfg.Log.Info("engine ended under a load", "server", e.id, "model", t.model, "in-a-row", x.engines, "others", x.others,
		"not-loaded-for-ms", max(x.until().Sub(now).Milliseconds(), 0))
}

// endedOtherwise notes, for all models but one, that an engine ended under none of their
// loads. Under a load of another model it counts once for that model: two models that both
// end their engines would speak for each other.
func (d *Driver) endedOtherwise(t target, now time.Time) {
	for other, x := range d.endings {
		if other.pool == t.pool && other != t && now.Sub(x.other) > endsApart {
			x.others, x.other = x.others+1, now
		}
	}
}

// barredFor tells for how long a model is not loaded, as engines ended under it.
func (d *Driver) barredFor(pool, model string, now time.Time) time.Duration {
	return max(d.endings[target{pool, model, ""}].until().Sub(now), 0)
}
