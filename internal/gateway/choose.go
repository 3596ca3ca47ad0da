package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// runCost is what one more request costs those that run beside it: each takes
	// part in every step of the engine.
	runCost = 4.0 // ms
	// spreadAfter is after how many requests that share a prompt part an engine gives
	// some to the next in the part's order: a hot part spreads after a handful waits,
	// for the price of reading it once more.
	spreadAfter = 6.0
)

// choose returns the best server for a call, or nil when none can serve it.
// Servers in not are passed over; those that failed lately go last.
func (f *fleet) choose(pool string, c *RequestInfo, not []string, now time.Time, random func(int) int) *server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var able []*server
	for _, s := range f.servers {
		if s.view.GetPool() != pool || !s.ready() || slices.Contains(not, s.id) {
			continue
		}
		if c.Model != "" && !s.holds(c.Model, c.Adapter, now) {
			continue
		}
		able = append(able, s)
	}
	if in := slices.DeleteFunc(slices.Clone(able), func(s *server) bool { return now.Before(s.out) }); len(in) > 0 {
		able = in
	}
	if len(able) == 0 {
		return nil
	}
	if c.Model == "" {
		return leastBusy(able, random)
	}
	return f.cheapest(able, c, f.seen(pool), now, random)
}

// leastBusy picks at random among the servers with the fewest requests of this
// entry: entries that all took the first one would meet there.
func leastBusy(able []*server, random func(int) int) *server {
	slices.SortFunc(able, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.running, b.running), cmp.Compare(a.id, b.id))
	})
	n := 1
	for n < len(able) && able[n].running == able[0].running {
		n++
	}
	return able[random(n)]
}

const (
	// otherPartCost is what an engine costs that the other sort of prompt has for
	// itself: as long as a prompt that reads beside them may hold up a stream's events.
	otherPartCost = 500.0 // ms
	// shortPart is the part of a model's engines, one in so many, that short
	// prompts have: they bring few of the tokens to be read.
	shortPart = 3
)

// otherPart returns the engines that the other sort of prompt has for itself,
// alike at every entry: short prompts have the last third of a model's engines,
// long ones the rest, so that reading the long ones does not hold up the events
// of the short. A request of the other sort comes only when its own part is much
// busier.
func otherPart(able []*server, c *RequestInfo, o *observed) map[*server]bool {
	if len(able) < 2 || !o.apart() {
		return nil
	}
	order := slices.Clone(able)
	slices.SortFunc(order, func(a, b *server) int {
		return cmp.Or(cmp.Compare(weight(c.Model, b), weight(c.Model, a)), cmp.Compare(a.id, b.id))
	})
	forLong := len(order) - max(len(order)/shortPart, 1)
	long := o.isLong(c)
	other := map[*server]bool{}
	for i, s := range order {
		if (i < forLong) != long {
			other[s] = true
		}
	}
	return other
}

// cheapest weighs what is known of the engines. Of what the other entries have sent
// them since their last word nothing is known; it is taken for spread at random.
// Otherwise all entries send their requests to the engine that was least busy by that
// word: with 68 entries before engines of 12 slots the busiest had six times the mean.
func (f *fleet) cheapest(able []*server, c *RequestInfo, o *observed, now time.Time, random func(int) int) *server {
	key := affinity(c)
	other, long := otherPart(able, c, o), o.isLong(c)
	rate, rankCost := o.readRate(), o.shared(c)/spreadAfter
	unheard := f.unheard(c.Model, len(able), now)
	slices.SortFunc(able, func(a, b *server) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a.id, b.id))
	})
	var best *server
	var bestCost float64
	for rank, s := range able {
		slots, running := int(s.view.GetSlots()), s.running+s.others.running
		unknown := unheard * float64(random(randomSteps)) / randomSteps
		cost := float64(s.unread+s.others.unread+s.uncached(c))/rate + rankCost*float64(rank) +
			runCost*(float64(running)+unknown) + o.slotCost(running+int(math.Round(unknown)), slots)
		if o.gap > 0 && !long {
			cost += readingCost * s.reading / rate
		}
		if other[s] {
			cost += otherPartCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

const (
	// readingOver is over how many messages the reading at an engine is averaged.
	readingOver = 6.0
	// readingCost is what a short prompt, whose stream goes on for long, costs for each ms that
	// its engine has to read on average: prompts read between its events make these late.
	readingCost = 3.0
)

// randomSteps is how finely chance is drawn.
const randomSteps = 1024

// affinity names what a call shares with others: the part before its own.
func affinity(c *RequestInfo) string {
	switch n := len(c.PromptParts); n {
	case 0:
		return c.Model
	case 1:
		return c.Model + "/" + c.PromptParts[0].ID
	default:
		return c.Model + "/" + c.PromptParts[n-2].ID
	}
}

// weight orders servers for a key alike at every entry (rendezvous hashing), so
// that entries send what shares a prompt part to the same engine without a word
// to each other. A server keeps its place when it starts again.
func weight(key string, s *server) uint64 { return xxhash.Sum64String(key + "/" + s.server) }
