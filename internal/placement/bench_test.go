package placement_test

import (
	"fmt"
	"testing"

	"fennelyard/internal/measure"
	"fennelyard/internal/placement"
)

// BenchmarkDecide measures a decision over one region.
func BenchmarkDecide(b *testing.B) {
	for _, servers := range []int{100, 400, 1200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			in := measure.Region(servers, 5)
			b.ReportAllocs()
			for b.Loop() {
				placement.Decide(in)
			}
		})
	}
}
