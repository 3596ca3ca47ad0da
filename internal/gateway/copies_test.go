package gateway_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
)

// Copies of a request that may crash servers go to the same three at all entries, so that entries that have
// exchanged nothing yet do not each crash servers of their own.
func TestCopiesOfARequestShareServers(t *testing.T) {
	const entries, servers = 24, 40
	used := map[string]bool{}
	for entry := range entries {
		e := gateway.NewEngines(servers)
		e.SetEntries(entries, uint64(entry))
		for range 3 {
			used[e.Send(gateway.CopyOf("k"))] = true
		}
	}
	require.Len(t, used, 3)
	spread := map[string]bool{}
	e := gateway.NewEngines(servers)
	e.SetEntries(entries, 1)
	for i := range servers {
		spread[e.Send(gateway.CopyOf(fmt.Sprint("other ", i)))] = true
	}
	require.Greater(t, len(spread), servers/2)
}

// A popular request that is slow, or of which no copy has completed yet, would wait at three servers while all
// others are idle.
func TestPopularCopiesSpread(t *testing.T) {
	const servers = 40
	for entries, most := range map[int]int{1: 25, 24: 2, 291: 2} {
		e := gateway.NewEngines(servers)
		e.SetEntries(entries, 1)
		sent := map[string]int{}
		for range 2 * servers {
			sent[e.Send(gateway.CopyOf("k"))]++
		}
		highest := 0
		for _, n := range sent {
			highest = max(highest, n)
		}
		require.LessOrEqual(t, highest, most+1, "%d entries", entries)
	}
}
