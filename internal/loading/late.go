package loading

import (
	"slices"
	"time"

	"fennelyard/internal/incarnation"
)

// orderFlight is how long after an order left it may still be carried out: engines take
// up to 12 s over one whose answer is lost, and it has orderWait to leave.
const orderFlight = 12*time.Second + orderWait

// sentLoad is a load whose outcome is not known. An engine checks an order against the
// number of those that it has taken. That number begins anew with a start under the same
// id, so that an order to the start before that had no answer fits the next once it has
// taken as many. What it brings must have room then: an engine that is ordered to hold
// more than fits ends, with all its answers.
type sentLoad struct {
	model, adapter string
	at             time.Time
}

// recent drops what can no longer be carried out.
func recent(loads []sentLoad, now time.Time) []sentLoad {
	return slices.DeleteFunc(loads, func(l sentLoad) bool { return now.Sub(l.at) > orderFlight })
}

// doubt notes that the order under way may still be carried out, whatever comes of
// orders that follow it.
func (e *engine) doubt(now time.Time) {
	if e.order.Load {
		e.unproved = append(recent(e.unproved, now), sentLoad{e.order.Model, e.order.Adapter, now})
	}
}

// leave returns the loads that may be carried out by the server's next start.
func (e *engine) leave(now time.Time) []sentLoad {
	if e.phase == phaseGiving {
		e.doubt(now)
	}
	return slices.Concat(recent(e.late, now), recent(e.unproved, now))
}

// keepLate keeps what may be carried out by the next start of an engine that is gone.
func (d *Driver) keepLate(e *engine, now time.Time) {
	for server, loads := range d.late {
		if d.late[server] = recent(loads, now); len(d.late[server]) == 0 {
			delete(d.late, server)
		}
	}
	if loads := e.leave(now); len(loads) > 0 {
		d.late[e.server] = append(d.late[e.server], loads...)
	}
}

// add takes an engine in that is new.
func (d *Driver) add(e *engine, now time.Time) {
	d.succeed(e, now)
	d.engines[e.id] = e
	d.starts[e.server]++
}

// remove leaves an engine out.
func (d *Driver) remove(e *engine) {
	delete(d.engines, e.id)
	if d.starts[e.server]--; d.starts[e.server] <= 0 {
		delete(d.starts, e.server)
	}
}

// succeed takes over what may be carried out late at an engine that is new.
func (d *Driver) succeed(e *engine, now time.Time) {
	e.late = recent(d.late[e.server], now)
	delete(d.late, e.server)
	if d.starts[e.server] > 0 {
		for _, old := range d.engines {
			if old.server == e.server {
				e.late = append(e.late, old.leave(now)...)
			}
		}
	}
	if d.mayFollowStart(e, now) {
		e.unheard = d.since.Add(orderFlight)
	}
	if len(e.late) > 0 || !e.unheard.IsZero() {
		d.cfg.Log.Info("late orders possible", "server", e.id, "loads", len(e.late), "unheard", !e.unheard.IsZero())
	}
}

// clockSlack is how far a server's clock may be from this host's: clocks are seen to jump
// by two to three seconds.
const clockSlack = 5 * time.Second

// mayFollowStart reports whether an engine started so short a while ago that orders of
// an earlier leader to a start before may still come. What that leader gave is not known,
// and neither is whether there was such a start: it may be recorded no longer.
func (d *Driver) mayFollowStart(e *engine, now time.Time) bool {
	born := incarnation.Parse(e.id).StartMs
	if !d.leads || d.term == firstTerm || now.Sub(d.since) > orderFlight || born == 0 {
		return false
	}
	return now.Sub(time.UnixMilli(born)) < orderFlight+clockSlack
}

// lateLoads returns the models and adapters that may yet come to an engine by orders to
// earlier starts.
func (e *engine) lateLoads(now time.Time) []ModelRef {
	e.late = recent(e.late, now)
	var out []ModelRef
	for _, l := range e.late {
		if x := (ModelRef{Model: l.model, Adapter: l.adapter}); !slices.Contains(out, x) {
			out = append(out, x)
		}
	}
	return out
}
