package loading

import (
	"cmp"
	"math"
	"time"
)

const (
	// crowding is for how long the requests of a model must hold each other up, in a
	// second, that one more replica takes away. Each request is held up by those that
	// come to its engine while their prompts are read: with r requests a second on n
	// replicas another one takes r*r/(n*(n+1)) of such pairs away, of the time that an
	// engine reads each. Where that is 200 ms a busy model is given a replica for each
	// two requests a second by it, and one with less than 2.8 a second keeps its only
	// one; where it is 10 ms one engine is enough for 12 a second: there, room for
	// another model serves more callers.
	crowding = 800 * time.Millisecond
	// readAtFirst is how long an engine is taken to read a prompt before any was
	// timed: a long one, so that too many replicas come rather than too few.
	readAtFirst = 200 * time.Millisecond
)

// needed is how many replicas a model's demand calls for: as many as keep its
// requests from crowding, and from filling the engines' slots. A rare model is owed
// none while nobody waits for it: with all rare models wanted all the time the
// engines would do nothing but change them for one another.
func (p *plan) needed(m *Model) int {
	if m.Rate < rareRate {
		return 0
	}
	// The least n with r*r*read <= crowding*n*(n+1).
	n := math.Sqrt(m.Rate*m.Rate*cmp.Or(m.PrefillTime, readAtFirst).Seconds()/crowding.Seconds()+0.25) - 0.5
	return max(int(math.Ceil(max(n, p.enginesFull(m)/fill/p.roomEach(m)))), 1)
}

// weigh works out how much of each engine's slots is in use.
func (p *plan) weigh() {
	for _, e := range p.in.Engines {
		for _, h := range e.Loaded {
			p.load[e] += p.shareAt(h.Model)
		}
		if e.Incoming != "" && !holds(e, e.Incoming) {
			p.load[e] += p.shareAt(e.Incoming)
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
	sum, holders := 0.0, p.holders[m.Name]
	for _, e := range holders {
		sum += 1 - min(max(p.load[e]-p.shareAt(m.Name), 0), 1-roomLeast)
	}
	p.rooms[m.Name] = 1
	if n := len(holders); n > 0 {
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
	return m.Rate * m.RequestTime.Seconds() / float64(p.in.Slots)
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
