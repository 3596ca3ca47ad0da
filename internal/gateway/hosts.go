package gateway

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"fennelyard/internal/schema"
)

// avoidFor is for how long a control host that was silent or refused is asked only after
// all others. A host that restarts is back within a second or two.
const avoidFor = 2 * time.Second

// controlHosts are the control hosts that this entry can attend. Entries spread over them
// by themselves: each has an order of its own, and a host that comes or goes moves only the
// entries that prefer it. It belongs to one goroutine.
type controlHosts struct {
	self *schema.RosterEntry
	// seeds returns a few hosts; members are those that were met, and named those that
	// follow the leader, by its last word.
	seeds   func() []string
	members []string
	named   []*schema.ControlHost
	// hint is a host that another one named as it refused, "": none.
	hint string
	// avoided is until when hosts are avoided, by address.
	avoided map[string]time.Time
	// failed counts the hosts that were asked in vain in a row.
	failed int
}

func newControlHosts(self *schema.RosterEntry, seeds func() []string) *controlHosts {
	return &controlHosts{self: self, seeds: seeds, avoided: map[string]time.Time{}}
}

// preference is the place of a host in an entry's order; the least comes first.
type preference struct {
	// class is 0 for a host of the entry's data centre that follows the leader, 1 for
	// another one that does, 2 for those of which nothing is known.
	class int
	// hash spreads the entries over the hosts of a class.
	hash uint64
}

func (p preference) compare(q preference) int {
	return cmp.Or(cmp.Compare(p.class, q.class), cmp.Compare(p.hash, q.hash))
}

func (h *controlHosts) prefers(address string) preference {
	p := preference{class: 2, hash: rendezvous(h.self.GetHost(), address)}
	for _, x := range h.named {
		if x.GetAddress() != address {
			continue
		}
		p.class = 1
		if x.GetDataCentre() == h.self.GetDataCentre() {
			p.class = 0
		}
	}
	return p
}

// rendezvous is a number that is even over all pairs.
func rendezvous(entry, address string) uint64 {
	sum := fnv.New64a()
	// A hash takes every byte.
	_, _ = sum.Write([]byte(entry + " " + address))
	// The last bytes of the input change the high bits of such a sum little.
	x := sum.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// ranked returns all hosts that are known, the best first.
func (h *controlHosts) ranked() []string {
	all := slices.Concat(h.members, h.seeds())
	for _, x := range h.named {
		all = append(all, x.GetAddress())
	}
	slices.Sort(all)
	all = slices.Compact(all)
	places := make(map[string]preference, len(all))
	for _, address := range all {
		places[address] = h.prefers(address)
	}
	slices.SortFunc(all, func(a, b string) int { return places[a].compare(places[b]) })
	return all
}

// next returns the host to ask next, "" where none is known: the best that is not avoided,
// else the one that was asked in vain the longest ago.
func (h *controlHosts) next(now time.Time) string {
	if hint := h.hint; hint != "" {
		h.hint = ""
		return hint
	}
	all := h.ranked()
	if len(all) == 0 {
		return ""
	}
	for _, address := range all {
		if !now.Before(h.avoided[address]) {
			return address
		}
	}
	return slices.MinFunc(all, func(a, b string) int { return h.avoided[a].Compare(h.avoided[b]) })
}

// better returns a host that follows the leader and that this entry prefers to another,
// "" where there is none.
func (h *controlHosts) better(than string, now time.Time) string {
	place := h.prefers(than)
	best := ""
	for _, x := range h.named {
		address := x.GetAddress()
		if p := h.prefers(address); address != than && !now.Before(h.avoided[address]) && p.compare(place) < 0 {
			best, place = address, p
		}
	}
	return best
}

// fail notes that a host was asked in vain.
func (h *controlHosts) fail(address string, now time.Time) {
	h.failed++
	h.avoided[address] = now.Add(avoidFor)
	for other, until := range h.avoided {
		if now.Sub(until) > avoidFor {
			delete(h.avoided, other)
		}
	}
}

// found notes that a host tells what the leader says.
func (h *controlHosts) found(address string) {
	h.failed = 0
	delete(h.avoided, address)
}

// around counts the times that all hosts were asked in vain.
func (h *controlHosts) around() int { return h.failed / max(len(h.ranked()), 1) }

// pause is how long to wait before the next host is asked.
func (h *controlHosts) pause() time.Duration {
	return min(nextPause<<min(h.around(), pauseDoublings), pauseMost)
}
