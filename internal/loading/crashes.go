package loading

import "time"

const (
	// crashThreshold is how many engines must end in a row under loads of a model, with no
	// completed load in between, before its loads are suspended. The engines of the pool that
	// end otherwise in that time are subtracted: where engines end whatever they do, three in a
	// row also end under loads of one model.
	crashThreshold = 3
	// independentEndGap is the time after which the end of another engine counts as independent.
	// The engines of a rack that loses power end together and count once.
	independentEndGap = time.Second
	// baseSuspension is how long loads of the model are suspended. Each further engine that ends
	// under a load of it doubles the time, up to maxSuspensionDoublings times.
	baseSuspension         = time.Minute
	maxSuspensionDoublings = 4
)

// loadCrashes counts the engines that ended under loads of one model since the last load of it
// that completed.
type loadCrashes struct {
	// count is the number of these engines; one whose load began before the previous one was
	// detected is left out.
	count int
	// lastAt is when the last of them was detected.
	lastAt time.Time
	// otherEnds is the number of engines of the pool that ended since the first of them without
	// a load of the model, and lastOtherAt when the last of those was detected.
	otherEnds   int
	lastOtherAt time.Time
}

// excess returns the number of crashes that are attributed to the model.
func (c *loadCrashes) excess() int { return c.count - c.otherEnds }

// suspendedUntil returns when the model may be loaded again; the zero time if it may be now.
func (c *loadCrashes) suspendedUntil() time.Time {
	if c == nil || c.excess() < crashThreshold {
		return time.Time{}
	}
	return c.lastAt.Add(baseSuspension << min(c.excess()-crashThreshold, maxSuspensionDoublings))
}

// recordEnd records that an engine has ended. Weights that crash the engines that load them
// would otherwise be loaded at one engine after another for as long as a request waits, and
// each would lose its models and all running requests.
func (d *Driver) recordEnd(e *engine, now time.Time) {
	if !d.cfg.Roster.Gone(e.id) {
		return
	}
	if e.phase != phaseExecuting || !e.order.Load || e.order.Adapter != "" {
		d.recordOtherEnd(target{pool: e.pool}, now)
		return
	}
	t := target{e.pool, e.order.Model, ""}
	c := d.crashes[t]
	if c == nil {
		c = &loadCrashes{}
		d.crashes[t] = c
		d.recordOtherEnd(t, now)
	}
	if e.orderedAt.Before(c.lastAt) {
		// A rack that loses power ends several engines, whatever they load.
		return
	}
	c.count++
	c.lastAt = now
	d.cfg.Log.Info("engine ended under a load", "server", e.id, "model", t.model, "in-a-row", c.count, "others", c.otherEnds,
		"not-loaded-for-ms", max(c.suspendedUntil().Sub(now).Milliseconds(), 0))
}

// recordOtherEnd counts the end of an engine, for all models of the pool but t, as one without a
// load of theirs. Of the engines that end under loads of one model only the first is counted for
// the others: two models that both crash their engines would clear each other.
func (d *Driver) recordOtherEnd(t target, now time.Time) {
	for other, c := range d.crashes {
		if other.pool == t.pool && other != t && now.Sub(c.lastOtherAt) > independentEndGap {
			c.otherEnds, c.lastOtherAt = c.otherEnds+1, now
		}
	}
}

// suspendedFor returns for how much longer loads of a model are suspended because of crashes.
func (d *Driver) suspendedFor(pool, model string, now time.Time) time.Duration {
	return max(d.crashes[target{pool, model, ""}].suspendedUntil().Sub(now), 0)
}
