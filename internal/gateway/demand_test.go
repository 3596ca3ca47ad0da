package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
)

// Callers of an entry wait for a model, and more come for the same one. The leader is told
// at once of the first; of the others a moment later, as it loads the model already. Told
// of each at once, hosts before hundreds of entries have no time for more.
func TestLeaderIsToldAtOnceOfWhatItDoesNotKnow(t *testing.T) {
	a := gateway.NewAsked()
	a.Wait("m", 1)
	require.True(t, a.Urgent())
	require.Equal(t, map[string]int{"m": 1}, a.Tell())
	require.False(t, a.Soon())
	a.Wait("m", 1)
	require.False(t, a.Urgent())
	require.True(t, a.Soon())
	a.Wait("n", 1)
	require.True(t, a.Urgent())
	require.Equal(t, map[string]int{"m": 2, "n": 1}, a.Tell())
	a.Wait("m", -2)
	require.Equal(t, map[string]int{"m": 0, "n": 1}, a.Tell())
	a.Wait("m", 1)
	require.True(t, a.Urgent())
}

// A request that comes just after the leader's word on its model has it, and need not wait
// for the next; an older word may be long untrue.
func TestWordOnAModelHoldsForThoseThatComeJustAfter(t *testing.T) {
	a := gateway.NewAsked()
	a.Hear("m", 900, someTime)
	require.True(t, a.Expects("m", someTime.Add(-time.Second)))
	require.True(t, a.Expects("m", someTime.Add(200*time.Millisecond)))
	require.False(t, a.Expects("m", someTime.Add(400*time.Millisecond)))
	require.False(t, a.Expects("n", someTime))
}
