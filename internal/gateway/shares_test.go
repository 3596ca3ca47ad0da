package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/schema"
)

// entryListUpdate returns an update of the leader that lists n entries.
func entryListUpdate(n int) *schema.LeaderNews {
	list := &schema.EntryList{}
	for i := range n {
		list.Entries = append(list.Entries, &schema.RosterEntry{Host: fmt.Sprint("e", i)})
	}
	return &schema.LeaderNews{Entries: list}
}

// Half of the entries are cut off from the leader, which lists the others only. If these divided
// the retry budget among themselves, all entries together would exceed it.
func TestEntriesThatAreCutOffKeepTheirShares(t *testing.T) {
	budget := gateway.RetryBudgetConfig{Window: 10 * time.Second, Burst: 60}
	var entries []*gateway.Gateway
	for range 6 {
		g := newSubscribingGateway(t)
		defer g.Close()
		g.SetRetryBudget(budget)
		require.NoError(t, g.ApplyUpdate(entryListUpdate(6)))
		entries = append(entries, g)
	}
	for _, g := range entries[3:] {
		require.NoError(t, g.ApplyUpdate(entryListUpdate(3)))
	}
	// The budgets are full from the first window on.
	at := time.Now().Add(2 * budget.Window)
	for range 3 {
		retries := 0
		for end := at.Add(budget.Window); at.Before(end); at = at.Add(100 * time.Millisecond) {
			for _, g := range entries {
				for g.WithdrawRetry("p", at) {
					retries++
				}
			}
		}
		require.LessOrEqual(t, float64(retries), budget.Burst)
	}
}
