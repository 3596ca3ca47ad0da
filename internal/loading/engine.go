package loading

import (
	"maps"
	"slices"
	"time"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/schema"
)

// phase describes which facts the leader has about an engine and its order.
type phase int

const (
	// phaseUnknown: a report is required before the next order.
	phaseUnknown phase = iota
	// phaseKnown: the loaded models and the number of orders taken are known.
	phaseKnown
	// phaseSending: an order is being sent.
	phaseSending
	// phaseUnconfirmed: the order got no conclusive reply. The same order is sent again with
	// the same number of orders taken: if the first was taken the second is refused, and if the
	// second is taken the first never can be.
	phaseUnconfirmed
	// phaseExecuting: an order for a model was taken and its completion is not observed yet.
	phaseExecuting
)

// engine is the leader's state of one incarnation of an engine.
type engine struct {
	// id is the incarnation's key, server the server's id.
	id      string
	server  string
	pool    string
	address string
	// slots is how many requests the engine runs concurrently.
	slots int
	phase phase
	// ordersTaken is the number of orders that the engine has taken; valid from phaseKnown on.
	ordersTaken uint64
	loaded      map[string]*LoadedModel
	// inMemory and onDisk are the models of which the engine has copies.
	inMemory map[string]bool
	onDisk   map[string]bool
	// order is the order in progress in the phases after phaseKnown.
	order     Action
	orderedAt time.Time
	// dueAt is when the order in progress should be completed, in phaseExecuting.
	dueAt time.Time
	// storeConcurrency is the number of loads that the weight store served when it began this
	// one, including it.
	storeConcurrency int
	attempts         int
	// changedAt is when an order last changed the loaded models; older reports of them are
	// ignored.
	changedAt time.Time
	// roomMadeFor is the model that the last order made room for, valid until roomTimeout after
	// changedAt; "": none.
	roomMadeFor string
	// notBefore delays the next order or report after a failure, or for a cooldown of the engine.
	notBefore time.Time
	// rejecting is set while the engine rejects the requests of several entries, as of the last round.
	rejecting bool
	// holder is the order holder of this engine, the zero value until one is recorded.
	// ordersAllowedFrom is when it may send its first order, after the lease of the previous
	// holder.
	holder            Holder
	ordersAllowedFrom time.Time
	// missedReplies is the number of consecutive orders without a reply, since
	// missedRepliesSince.
	// failedAtHolder is set if the last one failed at the order holder, not at the engine.
	missedReplies      int
	missedRepliesSince time.Time
	failedAtHolder     bool
	// unconfirmed are loads that were ordered without a conclusive reply, and lateLoads those
	// that were ordered of earlier incarnations of the server; oldest first.
	unconfirmed, lateLoads []sentLoad
	// earlierOrdersUntil is until when orders that an earlier leader sent to an earlier
	// incarnation may still be executed here.
	earlierOrdersUntil time.Time
}

// newEngine returns an engine of which only the incarnation is known.
func newEngine(id, pool string) *engine {
	return &engine{id: id, server: incarnation.ServerOf(id), pool: pool, loaded: map[string]*LoadedModel{}}
}

// observedMinResidency is how long a model stays after a leader first learned that an engine
// has it, until entries have reported their demand. With the minResidency of a new load, no
// room could be made at any engine for two seconds after each change of leader, and requests
// for rare models missed their target.
const observedMinResidency = 500 * time.Millisecond

// setLoaded sets the loaded models from the engine's report or announcement.
func (e *engine) setLoaded(reported []*schema.HeldModel, now time.Time) {
	next := map[string]*LoadedModel{}
	for _, m := range reported {
		old := e.loaded[m.GetName()]
		if old == nil {
			old = &LoadedModel{Model: m.GetName(), Since: now.Add(observedMinResidency - minResidency), Adapters: map[string]time.Time{}}
		}
		adapters := map[string]time.Time{}
		for _, a := range m.GetAdapters() {
			adapters[a] = old.Adapters[a]
		}
		next[m.GetName()] = &LoadedModel{Model: old.Model, Since: old.Since, Adapters: adapters}
	}
	e.loaded = next
}

// loadedMatches reports whether the known loaded models are exactly those reported.
func (e *engine) loadedMatches(reported []*schema.HeldModel) bool {
	if len(reported) != len(e.loaded) {
		return false
	}
	for _, m := range reported {
		l := e.loaded[m.GetName()]
		if l == nil || len(m.GetAdapters()) != len(l.Adapters) {
			return false
		}
		for _, a := range m.GetAdapters() {
			if _, present := l.Adapters[a]; !present {
				return false
			}
		}
	}
	return true
}

// routableModels returns the models and adapters that entries may route requests to. A model is
// removed from it before the order to unload it is sent.
func (e *engine) routableModels() []*schema.HeldModel {
	var out []*schema.HeldModel
	for _, name := range slices.Sorted(maps.Keys(e.loaded)) {
		if e.unloading() == name {
			continue
		}
		v := &schema.HeldModel{Name: name}
		for _, a := range slices.Sorted(maps.Keys(e.loaded[name].Adapters)) {
			if e.phase > phaseKnown && !e.order.Load && e.order.Model == name && e.order.Adapter == a {
				continue
			}
			v.Adapters = append(v.Adapters, a)
		}
		out = append(out, v)
	}
	return out
}

// loadsFromStore reports whether the order in progress loads from the weight store.
func (e *engine) loadsFromStore() bool {
	return e.phase > phaseKnown && e.order.Load && e.order.FromStore
}

// unloading returns the model that the order in progress unloads, or "".
func (e *engine) unloading() string {
	if e.phase > phaseKnown && !e.order.Load && e.order.Adapter == "" {
		return e.order.Model
	}
	return ""
}

// roomTimeout is how long the room that an unload made is reserved for its model: the load is
// due in the next round, which starts within a tenth of a second.
const roomTimeout = 500 * time.Millisecond

// recentRoomFor returns the model for which the last order made room within roomTimeout, or "".
func (e *engine) recentRoomFor(now time.Time) string {
	if now.Sub(e.changedAt) > roomTimeout {
		return ""
	}
	return e.roomMadeFor
}

// view returns the engine as the input of Decide. hasRequests reports whether a model or
// adapter has requests at a server.
func (e *engine) view(hasRequests func(server, model string) bool) *Engine {
	v := &Engine{ID: e.id, InMemory: e.inMemory, OnDisk: e.onDisk, Busy: e.phase != phaseKnown, Unloading: e.unloading()}
	for _, name := range slices.Sorted(maps.Keys(e.loaded)) {
		l := *e.loaded[name]
		l.InUse = hasRequests(e.id, name)
		l.AdapterInUse = map[string]bool{}
		for a := range l.Adapters {
			l.AdapterInUse[a] = l.InUse && hasRequests(e.id, name+"/"+a)
		}
		v.Loaded = append(v.Loaded, l)
	}
	if e.phase > phaseKnown && e.order.Adapter == "" {
		if e.order.Load {
			v.Incoming, v.FromStore = e.order.Model, e.loadsFromStore()
		} else {
			v.Incoming = e.order.RoomFor
		}
	}
	return v
}

// applyOrder applies the completed order to the known state.
func (e *engine) applyOrder(now time.Time) {
	o := e.order
	e.roomMadeFor = ""
	switch {
	case o.Load && o.Adapter == "":
		if e.loaded[o.Model] == nil {
			e.loaded[o.Model] = &LoadedModel{Model: o.Model, Since: now, Adapters: map[string]time.Time{}}
		}
		e.inMemory[o.Model], e.onDisk[o.Model] = true, true
	case o.Load:
		if l := e.loaded[o.Model]; l != nil {
			l.Adapters[o.Adapter] = now
		}
	case o.Adapter == "":
		delete(e.loaded, o.Model)
		e.roomMadeFor = o.RoomFor
	default:
		if l := e.loaded[o.Model]; l != nil {
			delete(l.Adapters, o.Adapter)
		}
	}
	e.phase, e.changedAt, e.attempts = phaseKnown, now, 0
}
