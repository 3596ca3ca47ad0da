package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/schema"
)

var someTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// following returns control hosts, two in each of four data centres and one in a fifth.
func following() []*schema.ControlHost {
	var out []*schema.ControlHost
	for i := range 9 {
		out = append(out, &schema.ControlHost{Address: fmt.Sprintf("10.0.0.%d:7000", i+1), DataCentre: fmt.Sprint("dc-", i/2)})
	}
	return out
}

func entryIn(i int) *schema.RosterEntry {
	return &schema.RosterEntry{Host: fmt.Sprint("front-", i), DataCentre: fmt.Sprint("dc-", i%5)}
}

// 291 entries choose their control hosts without a word to each other. Each takes one of
// its own data centre, and the two of a data centre have about as many each.
func TestEntriesSpreadOverNearHosts(t *testing.T) {
	attended := map[string]int{}
	for i := range 291 {
		h := gateway.NewControlHosts(entryIn(i), nil)
		h.Name(following()...)
		at := h.Next(someTime)
		attended[at]++
		for _, x := range following() {
			require.Equal(t, x.GetAddress() == at && x.GetDataCentre() != entryIn(i).GetDataCentre(), false)
		}
	}
	require.Len(t, attended, 9)
	for at, n := range attended {
		if at != "10.0.0.9:7000" {
			// A fifth of the entries, over two hosts, and three standard deviations.
			require.InDelta(t, 29, n, 12, at)
		}
	}
}

// All entries start at once and know the three seeds alone: each asks a seed of its own
// order, so that none of them is asked by all.
func TestEntriesSpreadOverSeeds(t *testing.T) {
	seeds := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	attended := map[string]int{}
	for i := range 300 {
		attended[gateway.NewControlHosts(entryIn(i), seeds).Next(someTime)]++
	}
	for _, s := range seeds {
		require.InDelta(t, 100, attended[s], 30, s)
	}
}

// A control host restarts. Only its own entries move, over more than one of the others,
// and back to it once it is there again.
func TestOnlyTheEntriesOfALostHostMove(t *testing.T) {
	all := following()
	lost, rest := all[8], all[:8]
	taken := map[string]int{}
	for i := range 291 {
		h := gateway.NewControlHosts(entryIn(i), nil)
		h.Name(all...)
		before := h.Next(someTime)
		h.Name(rest...)
		if before != lost.GetAddress() {
			require.Empty(t, h.Better(before, someTime))
			continue
		}
		h.Fail(before, someTime)
		next := h.Next(someTime)
		require.NotEqual(t, before, next)
		taken[next]++
		h.Name(all...)
		require.Empty(t, h.Better(next, someTime))
		require.Equal(t, before, h.Better(next, someTime.Add(3*time.Second)))
	}
	require.Len(t, taken, 8)
}

// No host tells what the leader says, as while all of them restart. Each is asked in
// turn, and ever more seldom: asked twenty times a second by 300 entries, the hosts would
// have no time left to elect a leader.
func TestHostsAreAskedMoreSeldomWhileNoneLeads(t *testing.T) {
	seeds := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	h := gateway.NewControlHosts(entryIn(1), seeds)
	now, asked := someTime, map[string]int{}
	for range 12 {
		at := h.Next(now)
		asked[at]++
		h.Fail(at, now)
		now = now.Add(h.Pause())
	}
	for _, s := range seeds {
		require.Equal(t, 4, asked[s])
	}
	require.Equal(t, 400*time.Millisecond, h.Pause())
	h.Found(seeds[0])
	require.Equal(t, 50*time.Millisecond, h.Pause())
}
