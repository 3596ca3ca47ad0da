package gateway

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"fennelyard/internal/schema"
)

// avoidDuration is how long a control host that was silent or refused this entry is tried only
// after all others. A host that restarts is back within a second or two.
const avoidDuration = 2 * time.Second

// controlHosts is the set of control hosts that this entry can subscribe to. Entries spread
// over them without coordination: each has an order of its own, and a host that joins or leaves
// moves only the entries that prefer it. It is used by one goroutine.
type controlHosts struct {
	self *schema.RosterEntry
	// seeds returns some hosts, members are the hosts that another host listed last, and followers
	// those that follow the leader by its last update.
	seeds     func() []string
	members   []string
	followers []*schema.ControlHost
	// hint is a host that another host named in its refusal, empty for none.
	hint string
	// avoided holds by address until when a host is avoided.
	avoided map[string]time.Time
	// failures counts consecutive failed attempts over all hosts.
	failures int
}

func newControlHosts(self *schema.RosterEntry, seeds func() []string) *controlHosts {
	return &controlHosts{self: self, seeds: seeds, avoided: map[string]time.Time{}}
}

// preference is the position of a host in an entry's order; the lowest comes first.
type preference struct {
	// class is 0 for a host of the entry's data centre that follows the leader, 1 for one of
	// another data centre, 2 for hosts of unknown state.
	class int
	// hash spreads the entries over the hosts of a class.
	hash uint64
}

func (p preference) compare(q preference) int {
	return cmp.Or(cmp.Compare(p.class, q.class), cmp.Compare(p.hash, q.hash))
}

func (h *controlHosts) preferenceOf(address string) preference {
	p := preference{class: 2, hash: rendezvousHash(h.self.GetHost(), address)}
	for _, follower := range h.followers {
		if follower.GetAddress() != address {
			continue
		}
		p.class = 1
		if follower.GetDataCentre() == h.self.GetDataCentre() {
			p.class = 0
		}
	}
	return p
}

// rendezvousHash returns an evenly distributed hash of an entry and a host.
func rendezvousHash(entry, address string) uint64 {
	sum := fnv.New64a()
	// Writing to a hash does not fail.
	_, _ = sum.Write([]byte(entry + " " + address))
	// FNV mixes the last bytes of its input poorly into the high bits of the sum. The shifts and
	// the product correct this.
	x := sum.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// ranked returns all known hosts, the most preferred one first.
func (h *controlHosts) ranked() []string {
	all := slices.Concat(h.members, h.seeds())
	for _, follower := range h.followers {
		all = append(all, follower.GetAddress())
	}
	slices.Sort(all)
	all = slices.Compact(all)
	preferences := make(map[string]preference, len(all))
	for _, address := range all {
		preferences[address] = h.preferenceOf(address)
	}
	slices.SortFunc(all, func(a, b string) int { return preferences[a].compare(preferences[b]) })
	return all
}

// others returns all known hosts but one, the most preferred one first.
func (h *controlHosts) others(address string) []string {
	return slices.DeleteFunc(h.ranked(), func(a string) bool { return a == address })
}

// next returns the host to try next, empty if none is known: the hint if there is one, the most
// preferred host that is not avoided, or else the one whose failure is the longest ago.
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

// preferredTo returns a host that follows the leader and that this entry prefers to the current
// one, empty for none.
func (h *controlHosts) preferredTo(current string, now time.Time) string {
	bestPreference := h.preferenceOf(current)
	best := ""
	for _, follower := range h.followers {
		address := follower.GetAddress()
		if p := h.preferenceOf(address); address != current && !now.Before(h.avoided[address]) && p.compare(bestPreference) < 0 {
			best, bestPreference = address, p
		}
	}
	return best
}

// recordFailure records a failed attempt at a host.
func (h *controlHosts) recordFailure(address string, now time.Time) {
	h.failures++
	h.avoided[address] = now.Add(avoidDuration)
	for other, until := range h.avoided {
		if now.Sub(until) > avoidDuration {
			delete(h.avoided, other)
		}
	}
}

// recordSuccess records that a host sends the leader's updates.
func (h *controlHosts) recordSuccess(address string) {
	h.failures = 0
	delete(h.avoided, address)
}

// failedRounds returns the number of failed rounds over all hosts.
func (h *controlHosts) failedRounds() int { return h.failures / max(len(h.ranked()), 1) }

// retryInterval returns the time to wait before the next host is tried.
func (h *controlHosts) retryInterval() time.Duration {
	return min(minHostRetryInterval<<min(h.failedRounds(), maxRetryDoublings), maxHostRetryInterval)
}
