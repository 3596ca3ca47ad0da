package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/schema"
)

var testTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// testControlHosts returns control hosts, two in each of four data centres and one in a fifth.
func testControlHosts() []*schema.ControlHost {
	var out []*schema.ControlHost
	for i := range 9 {
		out = append(out, &schema.ControlHost{Address: fmt.Sprintf("10.0.0.%d:7000", i+1), DataCentre: fmt.Sprint("dc-", i/2)})
	}
	return out
}

func testEntry(i int) *schema.RosterEntry {
	return &schema.RosterEntry{Host: fmt.Sprint("front-", i), DataCentre: fmt.Sprint("dc-", i%5)}
}

// 291 entries choose their control hosts without coordination. Each takes one of its own data
// centre, and the two hosts of a data centre have about the same number of subscribers.
func TestEntriesSpreadOverLocalControlHosts(t *testing.T) {
	subscribed := map[string]int{}
	for i := range 291 {
		h := gateway.NewControlHosts(testEntry(i), nil)
		h.SetFollowers(testControlHosts()...)
		address := h.Next(testTime)
		subscribed[address]++
		for _, host := range testControlHosts() {
			require.Equal(t, host.GetAddress() == address && host.GetDataCentre() != testEntry(i).GetDataCentre(), false)
		}
	}
	require.Len(t, subscribed, 9)
	for address, n := range subscribed {
		if address != "10.0.0.9:7000" {
			// The mean is a fifth of the entries over two hosts; 12 is three standard deviations.
			require.InDelta(t, 29, n, 12, address)
		}
	}
}

// All entries start at once and know only the three seeds: each tries the first seed of its own
// order, so that no seed is queried by all of them.
func TestEntriesSpreadOverSeeds(t *testing.T) {
	seeds := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	subscribed := map[string]int{}
	for i := range 300 {
		subscribed[gateway.NewControlHosts(testEntry(i), seeds).Next(testTime)]++
	}
	for _, s := range seeds {
		require.InDelta(t, 100, subscribed[s], 30, s)
	}
}

// A control host restarts. Only its own subscribers move, to more than one of the other hosts,
// and return to it once it is back.
func TestOnlySubscribersOfLostHostMove(t *testing.T) {
	all := testControlHosts()
	lost, rest := all[8], all[:8]
	movedTo := map[string]int{}
	for i := range 291 {
		h := gateway.NewControlHosts(testEntry(i), nil)
		h.SetFollowers(all...)
		before := h.Next(testTime)
		h.SetFollowers(rest...)
		if before != lost.GetAddress() {
			require.Empty(t, h.PreferredTo(before, testTime))
			continue
		}
		h.RecordFailure(before, testTime)
		next := h.Next(testTime)
		require.NotEqual(t, before, next)
		movedTo[next]++
		h.SetFollowers(all...)
		require.Empty(t, h.PreferredTo(next, testTime))
		require.Equal(t, before, h.PreferredTo(next, testTime.Add(3*time.Second)))
	}
	require.Len(t, movedTo, 8)
}

// No host has leader updates, as while all of them restart. The hosts are tried in turn, at
// increasing intervals: queried twenty times a second by 300 entries, they would have no time
// left to elect a leader.
func TestControlHostRetryBackoff(t *testing.T) {
	seeds := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	h := gateway.NewControlHosts(testEntry(1), seeds)
	now, queried := testTime, map[string]int{}
	for range 12 {
		address := h.Next(now)
		queried[address]++
		h.RecordFailure(address, now)
		now = now.Add(h.RetryInterval())
	}
	for _, s := range seeds {
		require.Equal(t, 4, queried[s])
	}
	require.Equal(t, 400*time.Millisecond, h.RetryInterval())
	h.RecordSuccess(seeds[0])
	require.Equal(t, 50*time.Millisecond, h.RetryInterval())
}
