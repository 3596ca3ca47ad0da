package loading

import "time"

const (
	// crashThreshold is how many more engines must crash in a row under loads of a model than
	// crash otherwise in that time before its loads are suspended. Where engines crash whatever
	// they do, three in a row also crash under loads of one model.
	crashThreshold = 3
	// independentCrashGap is the time after which another crash counts as independent. The
	// engines of a rack that loses power crash together and count once.
	independentCrashGap = time.Second
	// baseSuspension is how long loads of the model are suspended. Each further crash doubles
	// the time, up to maxSuspensionDoublings times.
	baseSuspension         = time.Minute
	maxSuspensionDoublings = 4
)

// loadCrashes counts the engines that crashed under loads of one model since the last load of
// it that completed.
type loadCrashes struct {
	// count is the number of engines whose load began after the previous crash.
	count int
	// lastAt is when the last of these crashes was detected.
	lastAt time.Time
	// otherCrashes is the number of crashes in the pool since then that were not under a load
	// of the model, and lastOtherAt when the last of them was detected.
	otherCrashes int
	lastOtherAt  time.Time
}

// excess returns the number of crashes that are attributed to the model.
func (x *loadCrashes) excess() int { return x.count - x.otherCrashes }

// suspendedUntil returns when the model may be loaded again; the zero time if it may be now.
func (x *loadCrashes) suspendedUntil() time.Time {
	if x == nil || x.excess() < crashThreshold {
		return time.Time{}
	}
	return x.lastAt.Add(baseSuspension << min(x.excess()-crashThreshold, maxSuspensionDoublings))
}

// recordCrash records that an engine is gone. Weights that crash the engines that load them
// would otherwise be loaded at one engine after another for as long as a request waits, and
// each would lose its models and all running requests.
func (d *Driver) recordCrash(e *engine, now time.Time) {
	if !d.cfg.Roster.Gone(e.id) {
		return
	}
	if e.phase != phaseExecuting || !e.order.Load || e.order.Adapter != "" {
		d.recordOtherCrash(target{pool: e.pool}, now)
		return
	}
	t := target{e.pool, e.order.Model, ""}
	x := d.crashes[t]
	if x == nil {
		x = &loadCrashes{}
		d.crashes[t] = x
		d.recordOtherCrash(t, now)
	}
	if e.orderedAt.Before(x.lastAt) {
		// A rack that loses power takes down several engines, whatever they load.
		return
	}
	x.count++
	x.lastAt = now
	d.cfg.Log.Info("engine ended under a load", "server", e.id, "model", t.model, "in-a-row", x.count, "others", x.otherCrashes,
		"not-loaded-for-ms", max(x.suspendedUntil().Sub(now).Milliseconds(), 0))
}

// recordOtherCrash counts, for all models of the pool but t, a crash that was not under a load
// of theirs. Of the crashes under loads of one model only the first is counted for the others:
// two models that both crash their engines would clear each other.
func (d *Driver) recordOtherCrash(t target, now time.Time) {
	for other, x := range d.crashes {
		if other.pool == t.pool && other != t && now.Sub(x.lastOtherAt) > independentCrashGap {
			x.otherCrashes, x.lastOtherAt = x.otherCrashes+1, now
		}
	}
}

// suspendedFor returns for how long loads of a model are suspended because of crashes.
func (d *Driver) suspendedFor(pool, model string, now time.Time) time.Duration {
	return max(d.crashes[target{pool, model, ""}].suspendedUntil().Sub(now), 0)
}
