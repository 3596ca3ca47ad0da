package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"fennelyard/internal/schema"
)

const (
	// entryRetention is how long an entry that has left the leader's list is remembered: it may only
	// have lost its control host, and still serve callers.
	entryRetention = 10 * time.Minute
	// maxDepartedEntries bounds the entries that are remembered so.
	maxDepartedEntries = 256
)

// recentEntries are the addresses of the other entries, also of those that have left the leader's list
// a short time ago. It is safe for concurrent use.
type recentEntries struct {
	mu sync.Mutex
	// listed are those of the list, and departed holds by address when the others left it; guarded by
	// mu.
	listed   []string
	departed map[string]time.Time
}

// set applies a list of the leader.
func (r *recentEntries) set(list []*schema.RosterEntry, self string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.departed == nil {
		r.departed = map[string]time.Time{}
	}
	for _, address := range r.listed {
		r.departed[address] = now
	}
	r.listed = nil
	for _, e := range list {
		if address := e.GetTunnelAddress(); address != "" && e.GetHost() != self {
			r.listed = append(r.listed, address)
			delete(r.departed, address)
		}
	}
	maps.DeleteFunc(r.departed, func(_ string, left time.Time) bool { return now.Sub(left) > entryRetention })
	for len(r.departed) > maxDepartedEntries {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(r.departed)), func(a, b string) int { return r.departed[a].Compare(r.departed[b]) })
		delete(r.departed, oldest)
	}
}

// all returns the addresses, in a slice of the caller's own.
func (r *recentEntries) all(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Clone(r.listed)
	for address, left := range r.departed {
		if now.Sub(left) <= entryRetention {
			out = append(out, address)
		}
	}
	return out
}
