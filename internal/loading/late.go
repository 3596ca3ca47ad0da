package loading

import (
	"slices"
	"time"

	"fennelyard/internal/incarnation"
)

// maxOrderDelay is how long after an order was sent it may still be executed: engines take up
// to 12 s over one whose reply is lost, and sending may take orderTimeout.
const maxOrderDelay = 12*time.Second + orderTimeout

// sentLoad is a load with an unknown outcome. An engine checks an order against the number of
// orders that it has taken. That number restarts with each incarnation under the same id, so an
// order to an earlier incarnation that got no reply matches the next one once it has taken as
// many. Its load must have room then: an engine that is ordered to load more than fits crashes
// and aborts all its requests.
type sentLoad struct {
	model, adapter string
	at             time.Time
}

// dropExpired removes the loads that can no longer be executed.
func dropExpired(loads []sentLoad, now time.Time) []sentLoad {
	return slices.DeleteFunc(loads, func(l sentLoad) bool { return now.Sub(l.at) > maxOrderDelay })
}

// recordUnconfirmed records that the order in progress may still be executed, whatever becomes
// of later orders.
func (e *engine) recordUnconfirmed(now time.Time) {
	if e.order.Load {
		e.unconfirmed = append(dropExpired(e.unconfirmed, now), sentLoad{e.order.Model, e.order.Adapter, now})
	}
}

// outstandingLoads returns the loads that the server's next incarnation may execute.
func (e *engine) outstandingLoads(now time.Time) []sentLoad {
	if e.phase == phaseSending {
		e.recordUnconfirmed(now)
	}
	return slices.Concat(dropExpired(e.lateLoads, now), dropExpired(e.unconfirmed, now))
}

// retainLateLoads stores the loads that the next incarnation of an engine that is gone may
// execute.
func (d *Driver) retainLateLoads(e *engine, now time.Time) {
	for server, loads := range d.lateLoads {
		if d.lateLoads[server] = dropExpired(loads, now); len(d.lateLoads[server]) == 0 {
			delete(d.lateLoads, server)
		}
	}
	if loads := e.outstandingLoads(now); len(loads) > 0 {
		d.lateLoads[e.server] = append(d.lateLoads[e.server], loads...)
	}
}

// addEngine adds a new engine.
func (d *Driver) addEngine(e *engine, now time.Time) {
	d.inheritLateLoads(e, now)
	d.engines[e.id] = e
	d.incarnationCounts[e.server]++
}

// removeEngine removes an engine.
func (d *Driver) removeEngine(e *engine) {
	delete(d.engines, e.id)
	if d.incarnationCounts[e.server]--; d.incarnationCounts[e.server] <= 0 {
		delete(d.incarnationCounts, e.server)
	}
}

// inheritLateLoads takes over the loads that may be executed late at a new engine.
func (d *Driver) inheritLateLoads(e *engine, now time.Time) {
	e.lateLoads = dropExpired(d.lateLoads[e.server], now)
	delete(d.lateLoads, e.server)
	if d.incarnationCounts[e.server] > 0 {
		for _, old := range d.engines {
			if old.server == e.server {
				e.lateLoads = append(e.lateLoads, old.outstandingLoads(now)...)
			}
		}
	}
	if d.mayReceiveEarlierOrders(e, now) {
		e.earlierOrdersUntil = d.leaderSince.Add(maxOrderDelay)
	}
	if len(e.lateLoads) > 0 || !e.earlierOrdersUntil.IsZero() {
		d.cfg.Log.Info("late orders possible", "server", e.id, "loads", len(e.lateLoads), "unheard", !e.earlierOrdersUntil.IsZero())
	}
}

// maxClockSkew is the assumed maximal difference between a server's clock and this host's:
// clocks jump by two to three seconds.
const maxClockSkew = 5 * time.Second

// mayReceiveEarlierOrders reports whether an engine started so recently that orders of an
// earlier leader to an earlier incarnation may still arrive. The orders of that leader are not
// known, nor whether there was such an incarnation: its record may be gone.
func (d *Driver) mayReceiveEarlierOrders(e *engine, now time.Time) bool {
	startMs := incarnation.Parse(e.id).StartMs
	if !d.isLeader || d.term == firstTerm || now.Sub(d.leaderSince) > maxOrderDelay || startMs == 0 {
		return false
	}
	return now.Sub(time.UnixMilli(startMs)) < maxOrderDelay+maxClockSkew
}

// lateModels returns the models and adapters that orders to earlier incarnations may still load
// at an engine.
func (e *engine) lateModels(now time.Time) []ModelRef {
	e.lateLoads = dropExpired(e.lateLoads, now)
	var out []ModelRef
	for _, l := range e.lateLoads {
		if ref := (ModelRef{Model: l.model, Adapter: l.adapter}); !slices.Contains(out, ref) {
			out = append(out, ref)
		}
	}
	return out
}
