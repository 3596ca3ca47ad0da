// Package directory selects the entries that a caller should send its requests to.
package directory

import (
	"cmp"
	"slices"

	"fennelyard/internal/schema"
)

const (
	// loadStep is the smallest difference in requests in flight that counts: smaller ones are
	// noise and would send all callers to the same entry.
	loadStep = 8
	// maxAddresses bounds the number of selected addresses; a caller needs a few for failover.
	maxAddresses = 8
)

// Entry is an entry and its known state.
type Entry struct {
	Name       string
	DataCentre string
	Address    string
	State      schema.HostState
	Stopping   bool
	// Load is the number of requests in flight.
	Load int
}

// Select returns the addresses of the entries that a caller in a data centre should use, the
// best first. It includes alive entries that are not stopping, orders local entries before
// remote ones and less loaded before more loaded ones, and otherwise spreads callers at random.
// Suspect entries are included only if there is no alive one, as a caller without any address
// is worse off than one that tries a suspect entry. Select is a pure function; random returns a
// number from 0 to below n.
func Select(entries []Entry, dataCentre string, random func(n int) int) []string {
	candidates := withState(entries, schema.HostState_HOST_STATE_ALIVE)
	if len(candidates) == 0 {
		candidates = withState(entries, schema.HostState_HOST_STATE_SUSPECT)
	}
	type ranked struct {
		entry    Entry
		remote   int
		tieBreak int
	}
	list := make([]ranked, len(candidates))
	for i, e := range candidates {
		list[i] = ranked{entry: e, tieBreak: random(1 << 30)}
		if e.DataCentre != dataCentre {
			list[i].remote = 1
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.remote, b.remote), cmp.Compare(a.entry.Load/loadStep, b.entry.Load/loadStep),
			cmp.Compare(a.tieBreak, b.tieBreak), cmp.Compare(a.entry.Name, b.entry.Name))
	})
	var out []string
	for _, r := range list[:min(len(list), maxAddresses)] {
		out = append(out, r.entry.Address)
	}
	return out
}

func withState(entries []Entry, state schema.HostState) []Entry {
	var out []Entry
	for _, e := range entries {
		if e.State == state && !e.Stopping {
			out = append(out, e)
		}
	}
	return out
}
