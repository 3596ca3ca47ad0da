package elapsed_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/elapsed"
)

// A host is suspended: its steady clock counts nothing, and what has expired would count as fresh.
func TestTimeOfSuspensionCounts(t *testing.T) {
	// A time without a reading of the steady clock stands for one before a suspension.
	require.GreaterOrEqual(t, elapsed.Since(time.Now().Round(0).Add(-time.Hour)), time.Hour)
	require.Less(t, elapsed.Since(time.Now()), time.Minute)
}
