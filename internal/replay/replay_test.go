package replay_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/replay"
)

// twoDays is a short replay for tests.
func twoDays() replay.Scenario {
	s := replay.QuillenRidge.Generate(7, 2)
	s.WarmUp = 24 * time.Hour
	// Some of the models are enough here; arrivals of others are passed over.
	s.Models = s.Models[:20]
	s.Servers = s.Servers[:6]
	return s
}

func TestSameSeedGivesTheSameResult(t *testing.T) {
	a := replay.Run(twoDays(), 7, replay.Ours("ours", 1))
	b := replay.Run(twoDays(), 7, replay.Ours("ours", 1))
	assert.Equal(t, replay.Summarize([]replay.Result{a}), replay.Summarize([]replay.Result{b}))
	assert.Positive(t, a.Visits())
}

// TestExtremesBoundThePolicy: keeping everything idles most and waits least,
// keeping nothing the other way round.
func TestExtremesBoundThePolicy(t *testing.T) {
	s := twoDays()
	never := replay.Run(s, 7, replay.Fixed("never", 1000*time.Hour))
	once := replay.Run(s, 7, replay.Fixed("at once", 0))
	ours := replay.Run(s, 7, replay.Ours("ours", 1))
	assert.Less(t, ours.IdleHours(), never.IdleHours())
	assert.Greater(t, ours.IdleHours(), once.IdleHours())
	assert.Less(t, ours.MeanColdStart(), once.MeanColdStart())
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
		replay.Run(s, 7, replay.Ours("ours", 1))
	}
}
