// Package directory decides which entry addresses a caller is told.
package directory

import (
	"cmp"
	"slices"

	"fennelyard/internal/schema"
)

const (
	// loadStep is the difference in requests in flight that counts: smaller
	// ones are noise and would send all callers to the same entry.
	loadStep = 8
	// maxAddresses bounds an answer; a caller needs a few to fail over.
	maxAddresses = 8
)

// Entry is an entry as it is known here.
type Entry struct {
	Name       string
	DataCentre string
	Address    string
	State      schema.HostState
	Stopping   bool
	// Load is the number of requests in flight.
	Load int
}

// Select returns the addresses that a caller in a data centre should use, the
// best first: entries that are alive and not stopping, those nearby before
// others, the less loaded before the more loaded, and otherwise spread at
// random. Suspected entries come only where no other is left: a caller that
// finds nobody is worse off than one that tries. It is a pure function; random
// returns a number from 0 to below n.
func Select(hosts []Entry, dataCentre string, random func(n int) int) []string {
	open := filter(hosts, schema.HostState_HOST_STATE_ALIVE)
	if len(open) == 0 {
		open = filter(hosts, schema.HostState_HOST_STATE_SUSPECT)
	}
	type ranked struct {
		host Entry
		far  int
		turn int
	}
	list := make([]ranked, len(open))
	for i, h := range open {
		list[i] = ranked{host: h, turn: random(1 << 30)}
		if h.DataCentre != dataCentre {
			list[i].far = 1
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.far, b.far), cmp.Compare(a.host.Load/loadStep, b.host.Load/loadStep),
			cmp.Compare(a.turn, b.turn), cmp.Compare(a.host.Name, b.host.Name))
	})
	var out []string
	for _, r := range list[:min(len(list), maxAddresses)] {
		out = append(out, r.host.Address)
	}
	return out
}

func filter(hosts []Entry, state schema.HostState) []Entry {
	var out []Entry
	for _, h := range hosts {
		if h.State == state && !h.Stopping {
			out = append(out, h)
		}
	}
	return out
}
