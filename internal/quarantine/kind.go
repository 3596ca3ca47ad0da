package quarantine

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind identifies servers that run the same software: those of one pool and software version. What a
// request does to one of them it does to all, and proves nothing about others.
type Kind uint32

// AnyKind stands for servers of which nothing is known, and for all servers.
const AnyKind Kind = 0

// KindOf returns the kind of the servers of a pool with a software version.
func KindOf(pool, version string) Kind {
	var d xxhash.Digest
	d.Reset()
	// Writing to a hash does not fail.
	_, _ = d.WriteString(pool)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(version)
	if kind := Kind(d.Sum64()); kind != AnyKind {
		return kind
	}
	return 1
}

// String returns a text for a kind of which no server is known.
func (k Kind) String() string {
	if k == AnyKind {
		return "any"
	}
	return "kind-" + strconv.FormatUint(uint64(k), 10)
}

// NameOf returns the name of the servers of a pool with a software version.
func NameOf(pool, version string) string { return pool + "/" + version }

// includes reports whether what holds for servers of a kind holds for those of another one.
func (k Kind) includes(other Kind) bool { return k == AnyKind || other == AnyKind || k == other }

// Server is a backend server as the guard knows it.
type Server struct {
	// ID is the key of its incarnation.
	ID      string
	Address string
	Kind    Kind
}

// Hold is from which kinds of servers a request is held back, and for how long. The zero value holds it back
// from none.
type Hold struct {
	kinds map[Kind]time.Duration
}

// Empty reports whether the request is held back from no servers.
func (h Hold) Empty() bool { return len(h.kinds) == 0 }

// At returns how long the request is held back from servers of a kind, and whether it is.
func (h Hold) At(kind Kind) (time.Duration, bool) {
	var longest time.Duration
	held := false
	for k, left := range h.kinds {
		if k.includes(kind) {
			longest, held = max(longest, left), true
		}
	}
	return longest, held
}

// Longest returns the longest time for which the request is held back from any kind of servers.
func (h Hold) Longest() time.Duration {
	if h.Empty() {
		return 0
	}
	return slices.Max(slices.Collect(maps.Values(h.kinds)))
}

// add holds the request back from servers of some kinds for a time at least.
func (h *Hold) add(kinds []Kind, left time.Duration) {
	if h.kinds == nil {
		h.kinds = map[Kind]time.Duration{}
	}
	for _, kind := range kinds {
		h.kinds[kind] = max(h.kinds[kind], left)
	}
}
