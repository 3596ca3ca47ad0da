package quarantine_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/quarantine"
)

// What has run to its end here is known for a while, and nothing else is: a harmful request
// must not pass for an ordinary one that differs in its body alone.
func TestCompleted(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	done := quarantine.NewCompleted(c.now)
	ran, other := quarantine.Request{Target: "/a", Body: []byte("1")}, quarantine.Request{Target: "/a", Body: []byte("2")}
	require.False(t, done.Recently(ran))
	done.Record(ran)
	require.True(t, done.Recently(ran))
	require.False(t, done.Recently(other))
	c.at = c.at.Add(20 * time.Second)
	require.True(t, done.Recently(ran))
	c.at = c.at.Add(11 * time.Second)
	require.False(t, done.Recently(ran))
}

// What a request costs that nobody suspects: a note that it has run to its end.
func BenchmarkCompleted(b *testing.B) {
	done := quarantine.NewCompleted(time.Now)
	for name, size := range map[string]int{"lookup": 0, "1-kb": 1 << 10, "32-kb": 32 << 10} {
		q := quarantine.Request{Method: "POST", Host: "h.example", Target: "/chat/completions", Body: make([]byte, size)}
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				done.Record(q)
			}
		})
	}
}
