package loading

import (
	"maps"
	"slices"
	"time"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/schema"
)

// phase is how far the leader's knowledge of an engine goes.
type phase int

const (
	// phaseUnknown: a report must be had before any order.
	phaseUnknown phase = iota
	// phaseKnown: what is held and how many orders were taken is known.
	phaseKnown
	// phaseGiving: an order is on its way.
	phaseGiving
	// phaseUncertain: the order has no answer that proves anything. The same one
	// is given again under the same number of taken orders: if the first was
	// taken the second is refused, and if the second is taken the first can never
	// be.
	phaseUncertain
	// phaseWorking: a model's order was taken and its end is not seen.
	phaseWorking
)

// engine is what the leader knows of one engine's incarnation.
type engine struct {
	// id is the incarnation's key, server the server's id.
	id      string
	server  string
	pool    string
	address string
	// slots is how many requests the engine works on at once.
	slots int
	phase phase
	// taken is the number of orders that the engine has taken; valid from
	// phaseKnown on.
	taken uint64
	held  map[string]*LoadedModel
	// inMemory and onDisk are the models that the engine has copies of.
	inMemory map[string]bool
	onDisk   map[string]bool
	// order is the order under way in the phases after phaseKnown.
	order Action
	given time.Time
	due   time.Time
	// atOnce is how many loads the weight store had when it began this one, with it.
	atOnce int
	tries  int
	// touched is when an order last changed something here: older words of the
	// engine about what it holds are not believed.
	touched time.Time
	// cleared is the model that the last order made room for, until clearedKeep
	// after touched; "": none.
	cleared string
	// notBefore holds the next order or report back after a failure.
	notBefore time.Time
	// holder is who gives this engine its orders, the zero value before one is
	// recorded. ordersFrom is when it may begin to: after another holder's last.
	holder     Holder
	ordersFrom time.Time
	// missed counts orders in a row without an answer, since missedFrom. unheld is
	// set where the last one failed at the holder, not at the engine.
	missed     int
	missedFrom time.Time
	unheld     bool
	// unproved are loads that were ordered and had no answer that proves what became of
	// them, late those to earlier starts of the server; the oldest go first.
	unproved, late []sentLoad
	// unheard is until when orders that an earlier leader gave to an earlier start may
	// be carried out here.
	unheard time.Time
}

// newEngine returns an engine of which nothing is known but its incarnation.
func newEngine(id, pool string) *engine {
	return &engine{id: id, server: incarnation.ServerOf(id), pool: pool, held: map[string]*LoadedModel{}}
}

// heardHold keeps a model for a moment after a leader has first heard that an engine
// holds it: until entries have said what is asked for. Were it kept for as long as one
// that was loaded just now, no room could be made anywhere for two seconds after each
// change of leader, and callers of rare models waited out their aim.
const heardHold = 500 * time.Millisecond

// learn takes what the engine holds from its own word.
func (e *engine) learn(held []*schema.HeldModel, now time.Time) {
	next := map[string]*LoadedModel{}
	for _, h := range held {
		old := e.held[h.GetName()]
		if old == nil {
			old = &LoadedModel{Model: h.GetName(), Since: now.Add(heardHold - minHold), Adapters: map[string]time.Time{}}
		}
		fresh := map[string]time.Time{}
		for _, a := range h.GetAdapters() {
			fresh[a] = old.Adapters[a]
		}
		next[h.GetName()] = &LoadedModel{Model: old.Model, Since: old.Since, Adapters: fresh}
	}
	e.held = next
}

// holdsJust reports whether the engine is believed to hold what its word says and no more.
func (e *engine) holdsJust(said []*schema.HeldModel) bool {
	if len(said) != len(e.held) {
		return false
	}
	for _, m := range said {
		h := e.held[m.GetName()]
		if h == nil || len(m.GetAdapters()) != len(h.Adapters) {
			return false
		}
		for _, a := range m.GetAdapters() {
			if _, there := h.Adapters[a]; !there {
				return false
			}
		}
	}
	return true
}

// views returns what entries are told: models that may be sent to. A model that
// is about to be unloaded is left out before the order leaves.
func (e *engine) views() []*schema.HeldModel {
	var out []*schema.HeldModel
	for _, name := range slices.Sorted(maps.Keys(e.held)) {
		if e.unloading() == name {
			continue
		}
		v := &schema.HeldModel{Name: name}
		for _, a := range slices.Sorted(maps.Keys(e.held[name].Adapters)) {
			if e.phase > phaseKnown && !e.order.Load && e.order.Model == name && e.order.Adapter == a {
				continue
			}
			v.Adapters = append(v.Adapters, a)
		}
		out = append(out, v)
	}
	return out
}

// fromStore reports whether the weight store serves the order under way.
func (e *engine) fromStore() bool { return e.phase > phaseKnown && e.order.Load && e.order.FromStore }

// unloading names the model that the order under way drops, or "".
func (e *engine) unloading() string {
	if e.phase > phaseKnown && !e.order.Load && e.order.Adapter == "" {
		return e.order.Model
	}
	return ""
}

// clearedKeep is for how long the room that an order made is kept for its model: its
// load is due in the next round, which comes within a tenth of a second.
const clearedKeep = 500 * time.Millisecond

// clearedFor returns the model that room was made for a moment ago, or "".
func (e *engine) clearedFor(now time.Time) string {
	if now.Sub(e.touched) > clearedKeep {
		return ""
	}
	return e.cleared
}

// view is the engine as Decide sees it; runs tells whether a model has requests
// there.
func (e *engine) view(runs func(server, model string) bool) *Engine {
	v := &Engine{ID: e.id, InMemory: e.inMemory, OnDisk: e.onDisk, Busy: e.phase != phaseKnown, Unloading: e.unloading()}
	for _, name := range slices.Sorted(maps.Keys(e.held)) {
		h := *e.held[name]
		h.InUse = runs(e.id, name)
		h.AdapterInUse = map[string]bool{}
		for a := range h.Adapters {
			h.AdapterInUse[a] = h.InUse && runs(e.id, name+"/"+a)
		}
		v.Loaded = append(v.Loaded, h)
	}
	if e.phase > phaseKnown && e.order.Adapter == "" {
		if e.order.Load {
			v.Incoming, v.FromStore = e.order.Model, e.fromStore()
		} else {
			v.Incoming = e.order.RoomFor
		}
	}
	return v
}

// done applies the order under way to what is held.
func (e *engine) done(now time.Time) {
	o := e.order
	e.cleared = ""
	switch {
	case o.Load && o.Adapter == "":
		if e.held[o.Model] == nil {
			e.held[o.Model] = &LoadedModel{Model: o.Model, Since: now, Adapters: map[string]time.Time{}}
		}
		e.inMemory[o.Model], e.onDisk[o.Model] = true, true
	case o.Load:
		if h := e.held[o.Model]; h != nil {
			h.Adapters[o.Adapter] = now
		}
	case o.Adapter == "":
		delete(e.held, o.Model)
		e.cleared = o.RoomFor
	default:
		if h := e.held[o.Model]; h != nil {
			delete(h.Adapters, o.Adapter)
		}
	}
	e.phase, e.touched, e.tries = phaseKnown, now, 0
}
