package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// runCostMs is the cost of one more request to the requests that run beside it: each takes
	// part in every step of the engine.
	runCostMs = 4.0
	// spreadAfterRequests is the number of requests with the same prompt part after which an
	// engine shares them with the next engine in the part's rendezvous order: a popular part
	// spreads once a handful of requests wait, at the price of one more prefill of it.
	spreadAfterRequests = 6.0
)

// choose returns the best server for a request, or nil if none can serve it now. Servers in
// excluded are skipped; ejected servers are used only if no other is left.
func (f *fleet) choose(pool string, info *RequestInfo, excluded []string, now time.Time, random func(int) int) *server {
	return f.chooseWithin(pool, info, excluded, now, random).server
}

// choice is the result of choosing a server for a request.
type choice struct {
	// server is the best server to which the request may be sent now, nil if there is none.
	server *server
	// limited is a better one, or the only one, for which this entry has no permit; nil for none.
	limited *server
	// cooldown is the time until the first of the servers that have asked for a cooldown takes a
	// request; 0 if none of those that could serve the request has.
	cooldown time.Duration
	// room is the time until this entry may send another request to one of the servers with a
	// rejection limit; 0 if it may now, or if there is none. roomPerSecond is the number of requests a
	// second that have room at these.
	room          time.Duration
	roomPerSecond float64
}

// awaitable reports whether a server will take the request without any other change.
func (c choice) awaitable() bool { return c.limited != nil || c.cooldown > 0 || c.room > 0 }

// availableIn returns the time until the first server takes a request after its cooldown, or for the room
// at it; 0 if none is waited for.
func (c choice) availableIn() time.Duration {
	if c.cooldown > 0 && c.room > 0 {
		return min(c.cooldown, c.room)
	}
	return max(c.cooldown, c.room)
}

// chooseWithin chooses a server within what servers have asked of the entries.
func (f *fleet) chooseWithin(pool string, info *RequestInfo, excluded []string, now time.Time, random func(int) int) choice {
	f.mu.Lock()
	defer f.mu.Unlock()
	candidates := slices.DeleteFunc(f.candidates(pool, info, excluded, now), f.connectionsFull)
	candidates, cooldown := f.withoutCooldown(candidates, now)
	candidates, room, perSecond := f.withRoom(candidates, pool, info, now)
	source := f.permitSource()
	permitted := slices.DeleteFunc(slices.Clone(candidates), func(s *server) bool { return !s.permits.Available(source, now) })
	c := choice{server: f.bestOf(permitted, pool, info, now, random), cooldown: cooldown, room: room, roomPerSecond: perSecond}
	if len(permitted) == len(candidates) {
		return c
	}
	if preferred := f.bestOf(candidates, pool, info, now, random); c.server == nil || !slices.Contains(permitted, preferred) {
		c.limited = preferred
	}
	return c
}

// withoutCooldown removes the servers that take no request now for their cooldown, and returns the
// time until the first of them does; the caller holds mu.
func (f *fleet) withoutCooldown(candidates []*server, now time.Time) (available []*server, first time.Duration) {
	available = slices.DeleteFunc(candidates, func(s *server) bool {
		wait := f.cooldowns.AvailableIn(s.id, now)
		if wait > 0 && (first == 0 || wait < first) {
			first = wait
		}
		return wait > 0
	})
	return available, first
}

// candidates returns the servers that have what a request needs and may run it; the caller holds mu.
func (f *fleet) candidates(pool string, info *RequestInfo, excluded []string, now time.Time) []*server {
	return f.ofVersion(withoutHeld(f.withNeeds(pool, info, excluded, now), info), pool, info)
}

// withoutHeld removes the servers from which a request is held back.
func withoutHeld(servers []*server, info *RequestInfo) []*server {
	if info.hold.Empty() {
		return servers
	}
	return slices.DeleteFunc(servers, func(s *server) bool {
		_, held := info.hold.At(s.kind)
		return held
	})
}

// withNeeds returns the servers that have what a request needs; the caller holds mu.
func (f *fleet) withNeeds(pool string, info *RequestInfo, excluded []string, now time.Time) []*server {
	var candidates []*server
	for _, s := range f.servers {
		if s.view.GetPool() != pool || !s.ready() || slices.Contains(excluded, s.id) {
			continue
		}
		if info.Model != "" && !s.hasModel(info.Model, info.Adapter, now) {
			continue
		}
		candidates = append(candidates, s)
	}
	return f.byHealth(candidates, now)
}

// bestOf returns the best one of some servers, nil for none; the caller holds mu.
func (f *fleet) bestOf(candidates []*server, pool string, info *RequestInfo, now time.Time, random func(int) int) *server {
	candidates = slices.Clone(candidates)
	if notEjected := slices.DeleteFunc(slices.Clone(candidates), func(s *server) bool { return now.Before(s.ejectedUntil) }); len(notEjected) > 0 {
		candidates = notEjected
	}
	if len(candidates) == 0 {
		return nil
	}
	last := f.lastOfVersion(candidates, pool, info)
	if info.Model == "" {
		best := leastBusy(candidates, last, random)
		if shared := leastBusy(copyServers(candidates, info.copyKey), last, random); shared != nil && shared.running <= best.running+f.copiesAhead() {
			return shared
		}
		return best
	}
	return f.cheapest(candidates, last, info, f.poolStats(pool), now, random)
}

const (
	// copySpread is the number of servers that share the copies of a request before one has completed: as many
	// as hold it back once they have ended under it.
	copySpread = 3
	// maxCopiesAhead is how many requests more than the least busy server a server may have for these copies, of
	// all entries together: a request that is popular and slow spreads beyond.
	maxCopiesAhead = 24
)

// copiesAhead returns this entry's share of maxCopiesAhead, at least 1; the caller holds mu.
func (f *fleet) copiesAhead() int { return max(maxCopiesAhead/max(f.entries, 1), 1) }

// copyServers returns the servers for the copies of a request that may crash each server that runs it, the same
// ones at all entries; none if the key is empty.
func copyServers(candidates []*server, key string) []*server {
	if key == "" {
		return nil
	}
	var out []*server
	var weights []uint64
	for _, s := range candidates {
		weight := rendezvousWeight(key, s)
		i := 0
		for i < len(out) && (weights[i] > weight || weights[i] == weight && out[i].id < s.id) {
			i++
		}
		if i < copySpread {
			out, weights = slices.Insert(out, i, s), slices.Insert(weights, i, weight)
			out, weights = out[:min(len(out), copySpread)], weights[:min(len(weights), copySpread)]
		}
	}
	return out
}

// leastBusy picks a random one of the servers with the fewest requests of this entry, nil of none: if all
// entries took the first one, they would overload it. Those in last count as busier.
func leastBusy(candidates []*server, last map[*server]bool, random func(int) int) *server {
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b *server) int {
		return cmp.Or(cmp.Compare(relativeLoad(a, last), relativeLoad(b, last)), cmp.Compare(a.id, b.id))
	})
	n := 1
	for n < len(candidates) && relativeLoad(candidates[n], last) == relativeLoad(candidates[0], last) {
		n++
	}
	return candidates[random(n)]
}

const (
	// otherPartitionCostMs is the cost of an engine that is reserved for the other kind of prompt:
	// as long as a prefill beside a stream may delay its events.
	otherPartitionCostMs = 500.0
	// shortPartitionDivisor is the inverse of the share of a model's engines that short prompts
	// get: they are a small part of the prefill.
	shortPartitionDivisor = 3
)

// otherPartition returns the engines that are reserved for the other kind of prompt. All
// entries compute the same partition: short prompts get the last third of a model's engines,
// long ones the rest, so that long prefills do not delay the events of short requests. A
// request crosses over only if its own partition is much busier. It returns nil if the engines
// are not partitioned.
func otherPartition(candidates []*server, info *RequestInfo, stats *poolStats) map[*server]bool {
	if len(candidates) < 2 || !stats.separatesLongPrompts() {
		return nil
	}
	order := slices.Clone(candidates)
	slices.SortFunc(order, func(a, b *server) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(info.Model, b), rendezvousWeight(info.Model, a)), cmp.Compare(a.id, b.id))
	})
	longEngines := len(order) - max(len(order)/shortPartitionDivisor, 1)
	long := stats.isLong(info)
	other := map[*server]bool{}
	for i, s := range order {
		if (i < longEngines) != long {
			other[s] = true
		}
	}
	return other
}

// cheapest returns the engine with the lowest estimated cost. The requests that other entries
// sent since their last reports are unknown and are assumed to be spread at random. Otherwise
// all entries would send their requests to the engine with the lowest reported load. Engines in
// last keep some of their slots from the request.
func (f *fleet) cheapest(candidates []*server, last map[*server]bool, info *RequestInfo, stats *poolStats, now time.Time, random func(int) int) *server {
	key := affinityKey(info)
	otherEngines, long := otherPartition(candidates, info, stats), stats.isLong(info)
	prefillRate, rankCost := stats.prefillRate(), stats.sharedPrefillMs(info)/spreadAfterRequests
	unreported := f.unreportedRequests(info.Model, len(candidates), now)
	slices.SortFunc(candidates, func(a, b *server) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(key, b), rendezvousWeight(key, a)), cmp.Compare(a.id, b.id))
	})
	var best *server
	var bestCost float64
	for rank, s := range candidates {
		slots, running := int(s.view.GetSlots()), s.running+s.others.running
		estimated := unreported * float64(random(randomSteps)) / randomSteps
		kept := 0
		if last[s] {
			kept = keptSlots(slots)
		}
		cost := float64(s.pendingPrefill+s.others.pendingPrefill+s.uncached(info))/prefillRate + rankCost*float64(rank) +
			runCostMs*(float64(running)+estimated) + stats.slotCost(running+kept+int(math.Round(estimated)), slots)
		if stats.minGap > 0 && !long {
			cost += pendingPrefillCostFactor * s.meanPendingPrefill / prefillRate
		}
		if otherEngines[s] {
			cost += otherPartitionCostMs
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

const (
	// averagedLoadUpdates is the number of updates over which an engine's pending prefill is
	// averaged.
	averagedLoadUpdates = 6.0
	// pendingPrefillCostFactor is the cost of a short prompt, whose stream lasts long, for each ms
	// of the engine's mean pending prefill: prompts processed between its events delay them.
	pendingPrefillCostFactor = 3.0
)

// randomSteps is the resolution of the random estimates.
const randomSteps = 1024

// affinityKey identifies what a request shares with others: the last prompt part before its own
// one.
func affinityKey(info *RequestInfo) string {
	switch n := len(info.PromptParts); n {
	case 0:
		return info.Model
	case 1:
		return info.Model + "/" + info.PromptParts[0].ID
	default:
		return info.Model + "/" + info.PromptParts[n-2].ID
	}
}

// rendezvousWeight orders servers for a key in the same way at every entry (rendezvous
// hashing), so that entries send requests with the same prompt part to the same engine without
// coordination. A server keeps its position when it restarts.
func rendezvousWeight(key string, s *server) uint64 { return xxhash.Sum64String(key + "/" + s.server) }
