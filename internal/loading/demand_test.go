package loading_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/loading"
)

// expectedRates simulates random arrivals at a varying rate, and returns the expected rate
// every 100 ms.
func expectedRates(seed uint64, length time.Duration, rate func(at time.Duration) float64) []float64 {
	const step = time.Millisecond
	r := rand.New(rand.NewPCG(seed, 11))
	var d loading.Demand
	var out []float64
	for at := time.Duration(0); at < length; at += step {
		if r.Float64() < rate(at)*step.Seconds() {
			d.Record(now.Add(at))
		}
		if at%(100*time.Millisecond) == 0 {
			out = append(out, d.ExpectedRate(now.Add(at)))
		}
	}
	return out
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// risingRate rises from 0 to 7 requests per second within 6 seconds.
func risingRate(at time.Duration) float64 { return min(7, 7*at.Seconds()/6) }

// A model becomes busy within six seconds. Its requests queue at its only engine until another
// one has loaded it, which takes from half a second to six, so the load must be ordered early.
// With only an average over eight seconds it is ordered after 7.5 seconds, the mean of 400
// seeds.
func TestRisingRateIsExtrapolated(t *testing.T) {
	const secondReplicaRate = 2.83 // requests per second that require a second replica
	var sum time.Duration
	const seeds = 400
	for seed := range uint64(seeds) {
		for i, rate := range expectedRates(seed, 20*time.Second, risingRate) {
			if rate > secondReplicaRate {
				sum += time.Duration(i) * 100 * time.Millisecond
				break
			}
		}
	}
	t.Logf("a second replica is needed after %v", sum/seeds)
	require.Less(t, sum/seeds, 3200*time.Millisecond)
}

// Random fluctuations of a constant rate must not count as a rise: each surplus replica costs a
// load, and takes the room of another model that has requests.
func TestConstantRateIsNotARise(t *testing.T) {
	for name, test := range map[string]struct{ rate, limit float64 }{
		"rare": {0.1, 0.2}, "seldom": {0.5, 0.8}, "busy": {3, 3.8}, "very busy": {12, 13.5},
	} {
		t.Run(name, func(t *testing.T) {
			var sum float64
			n := 0
			for seed := range uint64(100) {
				for _, rate := range expectedRates(seed, 60*time.Second, constantRate(test.rate))[200:] {
					sum += rate
					n++
				}
			}
			require.Less(t, sum/float64(n), test.limit)
			require.Greater(t, sum/float64(n), 0.8*test.rate)
		})
	}
}
