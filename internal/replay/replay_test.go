package replay_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/replay"
)

// shortScenario returns a scenario of two days that is replayed quickly.
func shortScenario() replay.Scenario {
	s := replay.QuillenRidge.Generate(7, 2)
	s.WarmUp = 24 * time.Hour
	// Arrivals for the other models are ignored.
	s.Models = s.Models[:20]
	s.Servers = s.Servers[:6]
	return s
}

func TestSameSeedGivesTheSameResult(t *testing.T) {
	a := replay.Run(shortScenario(), 7, replay.CostBased("ours", 1))
	b := replay.Run(shortScenario(), 7, replay.CostBased("ours", 1))
	assert.Equal(t, replay.Summarize([]replay.Result{a}), replay.Summarize([]replay.Result{b}))
	assert.Positive(t, a.Visits())
}

// The policy that never unloads has the most idle time and the one that unloads immediately
// the longest cold starts. The cost-based policy must lie between them.
func TestExtremesBoundThePolicy(t *testing.T) {
	s := shortScenario()
	neverUnload := replay.Run(s, 7, replay.FixedTimeout("never", 1000*time.Hour))
	unloadAtOnce := replay.Run(s, 7, replay.FixedTimeout("at once", 0))
	costBased := replay.Run(s, 7, replay.CostBased("ours", 1))
	assert.Less(t, costBased.IdleHours(), neverUnload.IdleHours())
	assert.Greater(t, costBased.IdleHours(), unloadAtOnce.IdleHours())
	assert.Less(t, costBased.MeanColdStart(), unloadAtOnce.MeanColdStart())
}

func TestRecordedArrivals(t *testing.T) {
	got, err := replay.ReadArrivals(strings.NewReader("seconds,target\n2.5,b\n1,a\n"))
	require.NoError(t, err)
	assert.Equal(t, []replay.Arrival{{At: time.Second, Target: "a"}, {At: 2500 * time.Millisecond, Target: "b"}}, got)
	_, err = replay.ReadArrivals(strings.NewReader("seconds,target\nsoon,b\n"))
	assert.ErrorContains(t, err, "line 2")
}

func BenchmarkReplayDay(b *testing.B) {
	s := replay.QuillenRidge.Generate(7, 1)
	for b.Loop() {
		replay.Run(s, 7, replay.CostBased("ours", 1))
	}
}
