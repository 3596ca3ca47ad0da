package gossip

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// shards is the number of groups of suspects that share their collectors: the end of a busy engine
// accuses a hundred suspects, whose records are sent in so many messages to each collector.
const shards = 8

// shardOf returns the shard of a suspect by its key.
func shardOf(key []byte) int { return int(xxhash.Sum64(key) % shards) }

// ranking returns the entries in the order in which they collect the evidence on a shard. It is the same
// at all entries that know the same ones, and the loss of one moves no others (rendezvous hashing).
func ranking(shard int, entries []string) []string {
	weights := make(map[string]uint64, len(entries))
	for _, address := range entries {
		weights[address] = xxhash.Sum64String(strconv.Itoa(shard) + "/" + address)
	}
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	return ranked
}
