package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The measurement of a policy takes long, so it reports each replay that ends. Its result is
// deterministic: it does not depend on which replay ends first.
func TestMeasurePolicyReportsProgress(t *testing.T) {
	arrivals := filepath.Join(t.TempDir(), "arrivals.csv")
	require.NoError(t, os.WriteFile(arrivals, []byte("10,0\n70,1\n400,0\n"), 0o600))
	measure := func() (string, string) {
		code, out, errOut := runCommand("measure", "policy", "--days", "1", "--warm-up", "0", "--arrivals", arrivals)
		require.Equal(t, exitOK, code, errOut)
		return out, errOut
	}
	first, progress := measure()
	second, _ := measure()
	require.Equal(t, first, second)
	lines := strings.Split(strings.TrimSpace(progress), "\n")
	for i, line := range lines {
		require.Equal(t, fmt.Sprintf("replayed %d of %d", i+1, len(lines)), line)
	}
	require.NotEmpty(t, lines)
}
