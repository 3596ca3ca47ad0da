package gateway_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/schema"
)

// The leader takes an entry off its list that has lost its control host: the others must go on sending
// it their evidence, but not for ever.
func TestEntriesThatLeftTheListAreRemembered(t *testing.T) {
	entry := func(i int) *schema.RosterEntry {
		return &schema.RosterEntry{Host: fmt.Sprint("h", i), TunnelAddress: fmt.Sprint("a", i)}
	}
	now := time.Unix(1e9, 0)
	var r gateway.RecentEntries
	require.Empty(t, r.All(now))
	r.Set([]*schema.RosterEntry{entry(0), entry(1), entry(2)}, "h0", now)
	require.ElementsMatch(t, []string{"a1", "a2"}, r.All(now))
	r.Set([]*schema.RosterEntry{entry(0), entry(2)}, "h0", now)
	require.ElementsMatch(t, []string{"a1", "a2"}, r.All(now))
	require.ElementsMatch(t, []string{"a2"}, r.All(now.Add(gateway.EntryRetention+time.Second)))
	r.Set([]*schema.RosterEntry{entry(0), entry(1), entry(2)}, "h0", now)
	require.ElementsMatch(t, []string{"a1", "a2"}, r.All(now.Add(gateway.EntryRetention+time.Second)))
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		r.Set([]*schema.RosterEntry{entry(i)}, "h0", now)
	}
	require.LessOrEqual(t, len(r.All(now)), gateway.MaxDepartedEntries+1)
	require.True(t, slices.Contains(r.All(now), "a999"))
}
