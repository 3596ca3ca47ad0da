// Package loading decides which models and adapters the engines load, and gives
// the orders. Decide is a pure function; Driver is the leader's hand.
package loading

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// crowding is for how long the requests of a model must hold each other up, in a
	// second, that one more replica takes away. Each request is held up by those that
	// come to its engine while their prompts are read: with r requests a second on n
	// replicas another one takes r*r/(n*(n+1)) of such pairs away, of the time that an
	// engine reads each. Where that is 50 ms a busy model is given a replica for each
	// two requests a second by it, and where it is 10 ms one for each four or five; a
	// model with less keeps its only one: there, room for another model serves more
	// callers.
	crowding = 200 * time.Millisecond
	// readAtFirst is how long an engine is taken to read a prompt before any was
	// timed.
	readAtFirst = 50 * time.Millisecond
	// minHold keeps a model for a moment after its load: demand for two models
	// could otherwise push them out of one engine in turns, and neither is served.
	minHold = 2 * time.Second
	// askedGuard keeps a model that was asked for a moment ago: a request that its
	// entry has not reported yet may be on its way to the engine.
	askedGuard = 400 * time.Millisecond
	// backgroundLoads is how many loads for stock may be under way at once; the
	// rest of the store's full speed is left to models that callers wait for.
	backgroundLoads = 3
	// busyPart is the part of the engines, one in so many, that may have orders
	// while more are given for stock.
	busyPart = 4
)

// Model is a model of a pool with what is known of its demand.
type Model struct {
	Name      string
	MemoryMB  float64
	AdapterMB float64
	// Load times by where the engine finds the weights.
	FromStore  time.Duration
	FromDisk   time.Duration
	FromMemory time.Duration
	// Rate is the number of requests a second that is expected in the seconds to
	// come.
	Rate float64
	// Read is how long an engine reads one of its prompts; 0: not known.
	Read time.Duration
	// Run is how long an engine has one of its requests; 0: not known.
	Run time.Duration
	// Asked is when a request last came.
	Asked time.Time
	// Waiting is the number of requests that wait for a replica.
	Waiting int
	// Adapters are the names of its adapters, and AdapterRate the requests a second of
	// those that are asked for.
	Adapters    []string
	AdapterRate map[string]float64
}

// Held is a model in an engine's memory.
type Held struct {
	Model string
	Since time.Time
	// Runs is set while requests for it are at the engine.
	Runs bool
	// Adapters tells when each adapter was last asked for, and AdapterRuns which of
	// them have requests at the engine.
	Adapters    map[string]time.Time
	AdapterRuns map[string]bool
}

// Engine is an engine that takes new work.
type Engine struct {
	ID       string
	Held     []Held
	InMemory map[string]bool
	OnDisk   map[string]bool
	// Busy is set while a model's order is under way or its outcome is not known.
	Busy bool
	// Coming is the model that the order under way loads or makes room for.
	Coming string
	// Leaving is the model that the order under way unloads.
	Leaving string
	// FromStore is set while the load under way is from the weight store.
	FromStore bool
	// Cleared is the model that room was made for a moment ago; "": none.
	Cleared string
}

// AdapterDemand is an adapter that requests wait for.
type AdapterDemand struct {
	Model   string
	Adapter string
}

// Input is what Decide decides from; it is not changed.
type Input struct {
	Now time.Time
	// MemoryMB and Places are each engine's memory and places for adapters, and Slots
	// how many requests it works on at once; 0: not known.
	MemoryMB float64
	Places   int
	Slots    int
	Models   map[string]*Model
	Engines  []*Engine
	Adapters []AdapterDemand
	// StoreLoads is how many loads from the weight store may begin now.
	StoreLoads int
	// StoreRunning is how many are under way.
	StoreRunning int
}

//go:generate go tool stringer -type=Reason -linecomment

// Reason is why an order is given.
type Reason int

// The reasons of orders.
const (
	// ReasonWaiting: callers wait for a model that no engine has.
	ReasonWaiting Reason = iota // waiting
	// ReasonBusy: the replicas of a model have too many requests.
	ReasonBusy // busy
	// ReasonStock: there are too few copies of a model, or an adapter is loaded
	// ahead.
	ReasonStock // stock
)

// Action is one order to give.
type Action struct {
	Reason  Reason
	Engine  string
	Load    bool
	Model   string
	Adapter string
	// For is the model that an unload makes room for.
	For string
	// FromStore is set for a load that the weight store will serve.
	FromStore bool
}

// Blocked is a model that lacks a replica and can't be given one now, with the
// number of engines that are ruled out for each reason.
type Blocked struct {
	Model string
	Rate  float64
	// Busy engines have another order under way, Holding ones have none and hold the
	// model, at Full ones nothing may go for it, and Store ones would load it from the
	// weight store, whose pace is used up.
	Busy, Holding, Full, Store int
}

// plan is the state of one decision.
type plan struct {
	in       Input
	replicas map[string]int
	copies   map[string]int
	taken    map[string]bool
	// copiesOnly holds, for each engine that was looked at, the requests a second
	// for models that no engine holds and that it has a copy of.
	copiesOnly map[string]float64
	// load is how much of each engine's slots the requests for its models fill.
	load map[*Engine]float64
	// rooms holds what roomEach has worked out, by model.
	rooms map[string]float64
	// free are the engines that take an order; order takes them off.
	free []*Engine
	// reserved is the memory that is kept free at each engine.
	reserved float64
	out      []Action
	blocked  []Blocked
}

// Decide returns the orders that are due, at most one for each engine, and the
// models that are wanted and can't be loaded.
func Decide(in Input) ([]Action, []Blocked) {
	p := &plan{in: in, replicas: map[string]int{}, copies: map[string]int{}, taken: map[string]bool{}, copiesOnly: map[string]float64{}, load: map[*Engine]float64{}, rooms: map[string]float64{}}
	p.count()
	p.weigh()
	p.reserved = p.reserve()
	p.useCleared()
	for _, m := range p.wanted() {
		reason := ReasonWaiting
		if p.replicas[m.Name] > 0 {
			reason = ReasonBusy
		}
		if why, ok := p.place(m, reason); !ok {
			p.blocked = append(p.blocked, why)
		}
	}
	p.stock()
	for _, a := range in.Adapters {
		p.adapter(a)
	}
	p.stockAdapters()
	return p.out, p.blocked
}

// useCleared loads what room was made for. Were it left to the round that follows,
// the model that had to go, which somebody asks for by then, would often be loaded
// back in its place: both wait for two orders, and the one that room was made for
// waits on. On heavy days every third model that was dropped came back at once.
func (p *plan) useCleared() {
	for _, e := range slices.Clone(p.free) {
		m := p.in.Models[e.Cleared]
		if m == nil || holds(e, m.Name) || !p.lacks(m) || p.in.MemoryMB-p.reserved-p.used(e) < m.MemoryMB {
			continue
		}
		if p.fromStore(e, m) && p.in.StoreLoads <= 0 {
			continue
		}
		reason := ReasonWaiting
		if p.replicas[m.Name] > 0 {
			reason = ReasonBusy
		}
		p.order(e, m, "", reason)
	}
}

// lacks reports whether a model is to be given one more replica.
func (p *plan) lacks(m *Model) bool {
	return m.Waiting > 0 && p.replicas[m.Name] == 0 || p.replicas[m.Name] < p.needed(m)
}

func (p *plan) count() {
	for _, e := range p.in.Engines {
		if e.Busy {
			p.taken[e.ID] = true
		} else {
			p.free = append(p.free, e)
		}
		if e.Coming != "" {
			p.replicas[e.Coming]++
			p.copies[e.Coming]++
		}
		for _, h := range e.Held {
			if h.Model != e.Leaving {
				p.replicas[h.Model]++
			}
		}
		for name, there := range e.OnDisk {
			if there {
				p.copies[name]++
			}
		}
	}
}

// needed is how many replicas a model's demand calls for: as many as keep its
// requests from crowding, and from filling the engines' slots. A rare model is owed
// none while nobody waits for it: with all rare models wanted all the time the
// engines would do nothing but change them for one another.
func (p *plan) needed(m *Model) int {
	if m.Rate < rareRate {
		return 0
	}
	// The least n with r*r*read <= crowding*n*(n+1).
	n := math.Sqrt(m.Rate*m.Rate*cmp.Or(m.Read, readAtFirst).Seconds()/crowding.Seconds()+0.25) - 0.5
	return max(int(math.Ceil(max(n, p.enginesFull(m)/fill/p.roomEach(m)))), 1)
}

// weigh works out how much of each engine's slots is in use.
func (p *plan) weigh() {
	for _, e := range p.in.Engines {
		for _, h := range e.Held {
			p.load[e] += p.shareAt(h.Model)
		}
		if e.Coming != "" && !holds(e, e.Coming) {
			p.load[e] += p.shareAt(e.Coming)
		}
	}
}

// shareAt is how much of an engine's slots the requests for one replica of a model
// fill.
func (p *plan) shareAt(model string) float64 {
	m := p.in.Models[model]
	if m == nil || p.replicas[model] == 0 {
		return 0
	}
	return p.enginesFull(m) / float64(p.replicas[model])
}

// roomEach is the part of its slots that an engine that holds a model has for it, on
// average: the rest have requests for the engine's other models. Two busy models on
// the same three engines of twelve had three replicas each, as many as either needs
// alone, and 250 requests for 144 slots.
func (p *plan) roomEach(m *Model) float64 {
	if room, known := p.rooms[m.Name]; known {
		return room
	}
	sum, n := 0.0, 0
	for _, e := range p.in.Engines {
		if holds(e, m.Name) && e.Leaving != m.Name {
			sum += 1 - min(max(p.load[e]-p.shareAt(m.Name), 0), 1-roomLeast)
			n++
		}
	}
	p.rooms[m.Name] = 1
	if n > 0 {
		p.rooms[m.Name] = sum / float64(n)
	}
	return p.rooms[m.Name]
}

// roomLeast is the part of an engine's slots that a model gets beside others however
// busy they are.
const roomLeast = 0.2

// enginesFull is how many engines' slots the requests of a model fill.
func (p *plan) enginesFull(m *Model) float64 {
	if p.in.Slots == 0 {
		return 0
	}
	return m.Rate * m.Run.Seconds() / float64(p.in.Slots)
}

// fill is the part of its slots up to which an engine is given requests of one model:
// an engine holds several, and requests come in bursts.
const fill = 0.5

// hurt is how many callers a second a model has that are not served in time for want
// of a replica: all of them where no engine has it, and those beyond its replicas'
// slots. A model that has become busy while its engines were changed for rare ones was
// served by one engine of twelve for twenty seconds: each rare model, with a caller or
// two, went first.
func (p *plan) hurt(m *Model) float64 {
	n := p.replicas[m.Name]
	if n == 0 {
		return m.Rate + float64(m.Waiting)
	}
	full := p.enginesFull(m) / p.roomEach(m)
	return m.Rate * max(0, 1-float64(n)*hurtFrom/max(full, hurtFrom))
}

// hurtFrom is the part of its replicas' slots that a model's requests fill from which
// on some of them queue.
const hurtFrom = 0.8

// rareRate is below how many requests a second a model counts as rare: on
// average it is asked for again only after several times the second that it
// takes to bring back from an engine's disk.
const rareRate = 0.25

// wanted returns the models that lack a replica, the most urgent first: those with
// the most callers that are not served in time, then those whose replicas have the
// most requests each.
func (p *plan) wanted() []*Model {
	var out []*Model
	for _, m := range p.in.Models {
		if p.lacks(m) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *Model) int {
		return cmp.Or(
			cmp.Compare(p.hurt(b), p.hurt(a)),
			cmp.Compare(b.Rate/float64(p.replicas[b.Name]+1), a.Rate/float64(p.replicas[a.Name]+1)),
			cmp.Compare(b.Waiting, a.Waiting),
			cmp.Compare(a.Name, b.Name),
		)
	})
	return out
}

// place finds the engine that has the model soonest at the least loss. Only engines
// that take an order are looked at: under load most have one, and models that are
// wanted and blocked would be tried at every engine in every round.
func (p *plan) place(m *Model, reason Reason) (why Blocked, ok bool) {
	var best *Engine
	bestCost := math.Inf(1)
	var bestVictim string
	why = Blocked{Model: m.Name, Rate: m.Rate, Busy: len(p.in.Engines) - len(p.free)}
	for _, e := range p.free {
		victims, loss, ok := p.possible(e, m, &why)
		if !ok {
			continue
		}
		cost := p.loadTime(e, m).Seconds() + loss + blockedWeight*p.blockedBy(e, m, victims) + fullWeight*p.load[e]
		if cost < bestCost {
			best, bestCost, bestVictim = e, cost, ""
			if len(victims) > 0 {
				bestVictim = victims[0]
			}
		}
	}
	if best == nil {
		return why, false
	}
	p.order(best, m, bestVictim, reason)
	return why, true
}

// fullWeight is how many seconds of load time an engine counts for all of whose slots
// are in use: as long as its requests wait for a slot there, which is about as long as
// one runs, for each of the few seconds until the next replica is there.
const fullWeight = 4.0

// possible tells whether an engine can load a model now, or begin to make room.
func (p *plan) possible(e *Engine, m *Model, why *Blocked) (victims []string, loss float64, ok bool) {
	switch {
	case holds(e, m.Name):
		why.Holding++
		return nil, 0, false
	case p.fromStore(e, m) && p.in.StoreLoads <= 0:
		why.Store++
		return nil, 0, false
	}
	if victims, loss, ok = p.room(e, m); !ok {
		why.Full++
	}
	return victims, loss, ok
}

// take rules an engine out for the rest of the round.
func (p *plan) take(e *Engine) {
	p.taken[e.ID] = true
	p.free = slices.DeleteFunc(p.free, func(f *Engine) bool { return f == e })
}

func (p *plan) order(e *Engine, m *Model, victim string, reason Reason) {
	p.take(e)
	p.replicas[m.Name]++
	if victim != "" {
		p.replicas[victim]--
		p.out = append(p.out, Action{Reason: reason, Engine: e.ID, Model: victim, For: m.Name})
		return
	}
	store := p.fromStore(e, m)
	if store {
		p.in.StoreLoads--
		p.in.StoreRunning++
	}
	p.out = append(p.out, Action{Reason: reason, Engine: e.ID, Load: true, Model: m.Name, FromStore: store})
}

func (p *plan) fromStore(e *Engine, m *Model) bool {
	return !e.InMemory[m.Name] && !e.OnDisk[m.Name]
}

// blockedBy is how many requests will wait because an engine takes no other order
// while it loads: models of which it has a copy can't be brought back there
// meanwhile, those that go for the load among them.
func (p *plan) blockedBy(e *Engine, m *Model, victims []string) float64 {
	sum, known := p.copiesOnly[e.ID]
	if !known {
		for name, there := range e.OnDisk {
			if there && p.replicas[name] == 0 {
				sum += p.unserved(name)
			}
		}
		p.copiesOnly[e.ID] = sum
	}
	if e.OnDisk[m.Name] && p.replicas[m.Name] == 0 {
		sum -= p.unserved(m.Name)
	}
	for _, name := range victims {
		if e.OnDisk[name] && p.replicas[name] == 1 {
			sum += p.unserved(name)
		}
	}
	return max(sum, 0) * p.loadTime(e, m).Seconds()
}

// unserved is how many requests a second wait where one copy of a model can't be
// loaded. How likely the engines with the other copies are free grows with their
// number, and with its square by a rule of thumb.
func (p *plan) unserved(name string) float64 {
	m := p.in.Models[name]
	if m == nil {
		return 0
	}
	return max(m.Rate, leastRate) / float64(max(p.copies[name]*p.copies[name], 1))
}

// leastRate is the rate that a model counts with that nobody has asked for.
const leastRate = 0.02

// blockedWeight is how many seconds of load time one request that will wait
// counts for.
const blockedWeight = 4.0

func (p *plan) loadTime(e *Engine, m *Model) time.Duration {
	switch {
	case e.InMemory[m.Name]:
		return m.FromMemory
	case e.OnDisk[m.Name]:
		return m.FromDisk
	}
	return m.FromStore
}

// copiesOf is on how many engines' disks a model should lie. One with adapters
// serves many customers and becomes busy sooner or later; the replicas that it
// then needs come from copies in half a second, and from the store in many.
func copiesOf(m *Model) int {
	if len(m.Adapters) > 0 {
		return sharedCopies
	}
	return 1
}

// sharedCopies is for models with adapters. Mean worth over the standard days of
// two deployments, two plays each: 0.639 and 0.660 with 2, 0.632 and 0.642 with
// 1, 0.626 and 0.663 with 3, whose loads push out what is asked for.
const sharedCopies = 2

func holds(e *Engine, model string) bool {
	return slices.ContainsFunc(e.Held, func(h Held) bool { return h.Model == model })
}

// used returns the memory that an engine's models take.
func (p *plan) used(e *Engine) float64 {
	var sum float64
	for _, h := range e.Held {
		sum += p.sizeOf(h.Model)
	}
	return sum
}

// reserve is the memory for a full set of the largest adapters. It is kept free
// at each engine: an adapter must never be what does not fit.
func (p *plan) reserve() float64 {
	var largest float64
	for _, m := range p.in.Models {
		largest = max(largest, m.AdapterMB)
	}
	return largest * float64(p.in.Places)
}

// room tells which models would have to go, in their order, and what that loses.
func (p *plan) room(e *Engine, m *Model) (victims []string, loss float64, ok bool) {
	free := p.in.MemoryMB - p.reserved - p.used(e)
	if free >= m.MemoryMB {
		return nil, 0, true
	}
	var order []Held
	for _, h := range e.Held {
		if p.evictable(h, m) {
			order = append(order, h)
		}
	}
	slices.SortFunc(order, func(a, b Held) int {
		return cmp.Or(cmp.Compare(p.value(a.Model), p.value(b.Model)), cmp.Compare(a.Model, b.Model))
	})
	for _, h := range order {
		loss += p.value(h.Model)
		free += p.sizeOf(h.Model)
		victims = append(victims, h.Model)
		if free >= m.MemoryMB {
			return victims, loss, true
		}
	}
	return nil, 0, false
}

// sizeOf takes a model that the configuration no longer names for as large as
// an engine: its size is not known, so nothing is loaded beside it.
func (p *plan) sizeOf(model string) float64 {
	if m := p.in.Models[model]; m != nil {
		return m.MemoryMB
	}
	return p.in.MemoryMB
}

func (p *plan) evictable(h Held, m *Model) bool {
	old := p.in.Models[h.Model]
	if old == nil {
		return true
	}
	if p.in.Now.Sub(h.Since) < minHold || old.Waiting > 0 || h.Runs {
		// An unload waits for the model's runs to end, and the engine takes no other
		// order meanwhile: for up to three seconds, by the logs of heavy days.
		return false
	}
	if p.replicas[h.Model] > max(p.needed(old), 1) {
		return true
	}
	return p.in.Now.Sub(old.Asked) > askedGuard && (m.Waiting > 0 || old.Rate < m.Rate)
}

// value is what the loss of one replica costs, in seconds of load time weighed
// with how likely the model is asked for: a surplus replica is worth little.
func (p *plan) value(model string) float64 {
	m := p.in.Models[model]
	if m == nil {
		return 0
	}
	idle := p.in.Now.Sub(m.Asked).Seconds()
	likely := m.Rate + 1/(1+max(idle, 0))
	if n := p.replicas[model]; n > max(p.needed(m), 1) {
		return likely / (10 * float64(n))
	}
	return likely
}

// stock loads models of which the engines have too few copies while the store is
// idle. Their first caller would wait for the store, which takes seconds; from an
// engine's disk it takes half a second. One that is not asked for costs a load.
func (p *plan) stock() {
	var missing []*Model
	for _, m := range p.in.Models {
		if p.copies[m.Name] < copiesOf(m) {
			missing = append(missing, m)
		}
	}
	slices.SortFunc(missing, func(a, b *Model) int {
		return cmp.Or(cmp.Compare(p.copies[a.Name], p.copies[b.Name]), b.Asked.Compare(a.Asked), cmp.Compare(a.Name, b.Name))
	})
	for _, m := range missing {
		if p.in.StoreRunning >= backgroundLoads || p.in.StoreLoads <= 0 || !p.quiet() {
			return
		}
		p.place(&Model{
			Name: m.Name, MemoryMB: m.MemoryMB, AdapterMB: m.AdapterMB, FromStore: m.FromStore,
			FromDisk: m.FromDisk, FromMemory: m.FromMemory, Rate: math.Inf(1),
		}, ReasonStock)
	}
}

// quiet reports whether no caller would miss an engine that loads for stock.
func (p *plan) quiet() bool {
	return len(p.blocked) == 0 && busyPart*len(p.taken) <= len(p.in.Engines)
}
