package loading_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/loading"
)

// play lets callers come by chance at a rate that changes, and returns the rates
// that are expected every tenth of a second.
func play(seed uint64, length time.Duration, rate func(at time.Duration) float64) []float64 {
	const step = time.Millisecond
	r := rand.New(rand.NewPCG(seed, 11))
	var d loading.Demand
	var out []float64
	for at := time.Duration(0); at < length; at += step {
		if r.Float64() < rate(at)*step.Seconds() {
			d.Arrive(now.Add(at))
		}
		if at%(100*time.Millisecond) == 0 {
			out = append(out, d.Rate(now.Add(at)))
		}
	}
	return out
}

func even(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// rise goes from nothing to 7 requests a second within 6 seconds.
func rise(at time.Duration) float64 { return min(7, 7*at.Seconds()/6) }

// A model becomes busy within six seconds. Its callers crowd at its one engine
// until the second has loaded it, which takes from half a second to six: what
// counts is when that load is ordered. With an average over eight seconds alone
// it is after 7.5 seconds, over 400 seeds.
func TestRiseIsForeseen(t *testing.T) {
	const second = 2.83 // requests a second that call for a second replica
	var sum time.Duration
	const seeds = 400
	for seed := range uint64(seeds) {
		for i, rate := range play(seed, 20*time.Second, rise) {
			if rate > second {
				sum += time.Duration(i) * 100 * time.Millisecond
				break
			}
		}
	}
	t.Logf("a second replica is called for after %v", sum/seeds)
	require.Less(t, sum/seeds, 3200*time.Millisecond)
}

// Even demand is no rise, however it falls by chance: each replica too many is a
// load, and takes the room of a model that somebody else asks for.
func TestEvenDemandIsNoRise(t *testing.T) {
	for name, x := range map[string]struct{ rate, most float64 }{
		"rare": {0.1, 0.2}, "seldom": {0.5, 0.8}, "busy": {3, 3.8}, "very busy": {12, 13.5},
	} {
		t.Run(name, func(t *testing.T) {
			var sum float64
			n := 0
			for seed := range uint64(100) {
				for _, rate := range play(seed, 60*time.Second, even(x.rate))[200:] {
					sum += rate
					n++
				}
			}
			require.Less(t, sum/float64(n), x.most)
			require.Greater(t, sum/float64(n), 0.8*x.rate)
		})
	}
}
