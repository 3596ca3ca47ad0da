package cooldown_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAvailableIn measures the check that a choice among 240 servers makes for each of them, by
// the number of those with a cooldown.
func BenchmarkAvailableIn(b *testing.B) {
	for _, cooling := range []int{0, 1, 64} {
		b.Run(fmt.Sprint(cooling, " cooling"), func(b *testing.B) {
			table, keys := newTable(), make([]string, 240)
			for i := range keys {
				keys[i] = fmt.Sprint("i-", i, "@1784556072000")
			}
			for _, key := range keys[:cooling] {
				table.Observe(key, time.Hour, start, start)
			}
			for b.Loop() {
				for _, key := range keys {
					table.AvailableIn(key, start)
				}
			}
		})
	}
}
