package quarantine_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
)

func newUnsuspectingGuard() *quarantine.Guard {
	return quarantine.NewGuard(quarantine.GuardConfig{
		Entry: "entry", MayProbe: always, OnChange: func() {}, Log: logr.Discard(),
		Probe: func(context.Context, string) relay.Presence { return relay.PresenceRefused },
	})
}

// Copies of a request share servers only until one has completed, or the first has had the time to crash one:
// a popular request, and one whose responses last for minutes, would stay at three servers.
func TestRequestIsUnprovenForAWhile(t *testing.T) {
	const kind = quarantine.Kind(7)
	synctest.Test(t, func(t *testing.T) {
		g := newUnsuspectingGuard()
		defer g.Close()
		request := func(body string) *quarantine.KeyedRequest {
			return quarantine.NewKeyedRequest(quarantine.Request{Target: "/x", Body: []byte(body)})
		}
		require.True(t, g.Unproven(request("a")))
		require.True(t, g.Unproven(request("a")))
		g.AttemptCompleted(request("a"), kind)
		require.False(t, g.Unproven(request("a")))
		require.True(t, g.Unproven(request("b")))
		time.Sleep(4 * time.Second)
		require.False(t, g.Unproven(request("b")))
		time.Sleep(9 * time.Minute)
		require.False(t, g.Unproven(request("b")))
		time.Sleep(11 * time.Minute)
		require.True(t, g.Unproven(request("b")))
	})
}

func TestCopiesHaveOneHash(t *testing.T) {
	r := quarantine.Request{Method: "POST", Host: "h", Target: "/x", Caller: "c", Body: []byte("body")}
	require.Equal(t, r.CopyHash(), r.CopyHash())
	seen := map[uint64]bool{r.CopyHash(): true}
	for _, other := range []quarantine.Request{
		{Method: "PUT", Host: "h", Target: "/x", Caller: "c", Body: []byte("body")},
		{Method: "POST", Host: "h/", Target: "x", Caller: "c", Body: []byte("body")},
		{Method: "POST", Host: "h", Target: "/x", Caller: "d", Body: []byte("body")},
		{Method: "POST", Host: "h", Target: "/x", Caller: "c", Body: []byte("bodz")},
	} {
		require.False(t, seen[other.CopyHash()])
		seen[other.CopyHash()] = true
	}
}

// BenchmarkUnproven measures what each request to a plain service pays.
func BenchmarkUnproven(b *testing.B) {
	g := newUnsuspectingGuard()
	defer g.Close()
	for name, size := range map[string]int{"empty": 0, "1-kb": 1 << 10, "32-kb": 32 << 10} {
		r := quarantine.NewKeyedRequest(quarantine.Request{Method: "POST", Host: "h.example", Target: "/x", Body: make([]byte, size)})
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if g.Unproven(r) {
					r.CopyHash()
				}
			}
		})
	}
}
