package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/quarantine"
)

// A completed request is exempt for a while. A harmful request that differs from it in its
// body alone must not be exempt with it.
func TestCompleted(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	completed := quarantine.NewCompleted(c.now)
	ran, other := quarantine.Request{Target: "/a", Body: []byte("1")}, quarantine.Request{Target: "/a", Body: []byte("2")}
	require.False(t, completed.Recently(ran, quarantine.AnyKind))
	completed.Record(ran, quarantine.AnyKind)
	require.True(t, completed.Recently(ran, quarantine.AnyKind))
	require.False(t, completed.Recently(other, quarantine.AnyKind))
	c.current = c.current.Add(20 * time.Second)
	require.True(t, completed.Recently(ran, quarantine.AnyKind))
	c.current = c.current.Add(11 * time.Second)
	require.False(t, completed.Recently(ran, quarantine.AnyKind))
}

// BenchmarkCompleted measures the cost of a request that is not suspected: recording its
// completion.
func BenchmarkCompleted(b *testing.B) {
	completed := quarantine.NewCompleted(time.Now)
	for name, size := range map[string]int{"lookup": 0, "1-kb": 1 << 10, "32-kb": 32 << 10} {
		request := quarantine.Request{Method: "POST", Host: "h.example", Target: "/chat/completions", Body: make([]byte, size)}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				completed.Record(request, quarantine.AnyKind)
			}
		})
	}
}
