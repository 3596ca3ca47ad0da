package gateway_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
)

// Servers with fewer slots than there are entries crash one after the other: rejections come in groups, as all
// that arrives at a full server within the time until a slot is free is rejected, and entries that counted them as
// independent exceeded a limit of one every twenty seconds.
func TestUsableLoadKeepsTheRejectionLimit(t *testing.T) {
	const seconds = 40000
	for _, slots := range []int{1, 6, 12, 96} {
		for _, limit := range []float64{1, 1.5, 2, 5} {
			for _, runSeconds := range []float64{0.05, 0.25, 3} {
				if slots > 12 && runSeconds < 1 {
					// Tens of millions of requests.
					continue
				}
				t.Run(fmt.Sprintf("%d slots, limit %g, %g s", slots, limit, runSeconds), func(t *testing.T) {
					random := rand.New(rand.NewPCG(1, uint64(slots)))
					load := gateway.UsableLoad(float64(slots), limit, runSeconds)
					var ends, rejected []float64
					overloads := 0
					for now := 0.0; now < seconds; now += random.ExpFloat64() * runSeconds / load {
						ends = slices.DeleteFunc(ends, func(end float64) bool { return end <= now })
						if len(ends) < slots {
							ends = append(ends, now+random.ExpFloat64()*runSeconds)
							continue
						}
						rejected = append(slices.DeleteFunc(rejected, func(at float64) bool { return at <= now-1 }), now)
						if float64(len(rejected)) > limit {
							// The server crashes and starts again.
							overloads++
							ends, rejected = nil, nil
						}
					}
					t.Logf("load %.2f, %d overloads", load, overloads)
					require.LessOrEqual(t, float64(overloads), 1.2*gateway.ChanceOverloads*seconds)
				})
			}
		}
	}
}
