package quarantine_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
)

// One request was retried on five servers within eight milliseconds, and all five ended:
// each attempt was sent before the end of the first server was detected. Before a fourth
// attempt the request must wait for the first three probes, but not for the whole probe of
// an address that does not reply, whose host is lost with everything on it. A request with
// fewer failed attempts, or none, must not wait.
func TestRepeatsWaitForProbesOfTheirServers(t *testing.T) {
	const probeTime = 40 * time.Millisecond
	for name, tt := range map[string]struct {
		result relay.Presence
		failed int
		waits  time.Duration
		held   bool
	}{
		"two servers ended":         {relay.PresenceRefused, 2, 0, false},
		"three servers ended":       {relay.PresenceRefused, 3, probeTime, true},
		"three servers are running": {relay.PresenceListening, 3, 3*probeTime + 100*time.Millisecond, false},
		"three hosts are lost":      {relay.PresenceSilent, 3, 250 * time.Millisecond, false},
		"the fourth of four is due": {relay.PresenceRefused, 4, probeTime, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := quarantine.NewGuard(quarantine.GuardConfig{
					Entry:    "entry",
					MayProbe: always,
					Probe: func(context.Context, string) relay.Presence {
						if tt.result == relay.PresenceSilent {
							time.Sleep(500 * time.Millisecond)
						}
						time.Sleep(probeTime)
						return tt.result
					},
					OnChange: func() {}, Log: logr.Discard(),
				})
				defer g.Close()
				request := quarantine.NewKeyedRequest(quarantine.Request{Method: "PUT", Target: "/book", Body: []byte("harmful")})
				other := quarantine.NewKeyedRequest(quarantine.Request{Method: "PUT", Target: "/book", Body: []byte("ordinary")})
				for i := range tt.failed {
					g.AttemptFailed(request, quarantine.Server{ID: fmt.Sprint("app-", i), Address: fmt.Sprint("a:", i)})
				}
				start := time.Now()
				g.AwaitProbes(t.Context(), other)
				require.Zero(t, time.Since(start))
				g.AwaitProbes(t.Context(), request)
				require.Equal(t, tt.waits, time.Since(start))
				_, held := g.HeldBack(request)
				require.Equal(t, tt.held, held)
			})
		})
	}
}

// Attempts that break off while the end of their server is being reported must be reported
// as well.
func TestProberReportsAttemptsThatFailMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var prober *quarantine.ServerProber
		one, two := keyOf("/1"), keyOf("/2")
		var reported []quarantine.Key
		prober = quarantine.NewServerProber(quarantine.ServerProberConfig{
			MayProbe: always, Probe: func(context.Context, string) relay.Presence { return relay.PresenceRefused },
			OnEnded: func(_ string, _ time.Time, accused []quarantine.Accusation) {
				if reported = append(reported, keysOf(accused)...); len(reported) == 1 {
					prober.AttemptFailed("s", "a:1", quarantine.Accusation{Key: two})
				}
			},
			Log: logr.Discard(),
		})
		defer prober.Close()
		prober.AttemptFailed("s", "a:1", quarantine.Accusation{Key: one})
		synctest.Wait()
		require.Equal(t, []quarantine.Key{one, two}, reported)
		require.True(t, prober.Idle())
	})
}

// Other entries have accused a part that has completed here since. The entry must clear it as soon as
// it receives the record: held back everywhere, the part cannot complete again.
func TestReceivedSuspectIsClearedByItsCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		changes := 0
		g := quarantine.NewGuard(quarantine.GuardConfig{
			Entry: "entry", MayProbe: always, OnChange: func() { changes++ }, Log: logr.Discard(),
			Probe: func(context.Context, string) relay.Presence { return relay.PresenceRefused },
		})
		defer g.Close()
		part := quarantine.Carrier{Scope: quarantine.ScopePart, Name: "first"}
		other := newSuspectSet(&clock{time.Now()})
		for _, server := range []string{"a", "b", "c"} {
			other.Accuse(server, time.Now(), []quarantine.Accusation{{Key: part.Key(), Scope: part.Scope}})
		}
		time.Sleep(time.Second)
		g.AttemptCompleted(quarantine.NewKeyedRequest(quarantine.Request{Target: "/x"}, part), quarantine.AnyKind)
		list, _ := other.Since(0, quarantine.PartAll)
		for _, s := range list {
			s.AgeMs = 1000
			for _, e := range s.GetEnded() {
				e.AgeMs = 1000
			}
		}
		g.Merge(list, quarantine.SourceControl)
		require.Zero(t, g.Suspects().UnclearedCount(part.Key()))
		require.Equal(t, 1, changes, "other entries are to know")
	})
}

// BenchmarkShared measures what the parts, model and team of a request cost beside the request itself:
// the check before an attempt while 1000 others are suspected, and its completion.
func BenchmarkShared(b *testing.B) {
	g := quarantine.NewGuard(quarantine.GuardConfig{
		Entry: "entry", MayProbe: always, OnChange: func() {}, Log: logr.Discard(),
		Probe: func(context.Context, string) relay.Presence { return relay.PresenceRefused },
	})
	defer g.Close()
	for i := range 1000 {
		part := quarantine.Carrier{Scope: quarantine.ScopePart, Name: fmt.Sprint("part-", i)}
		g.Suspects().Accuse("s", time.Now(), []quarantine.Accusation{{Key: part.Key(), Scope: part.Scope}})
	}
	newRequest := func() *quarantine.KeyedRequest {
		return quarantine.NewKeyedRequest(
			quarantine.Request{Method: "POST", Target: "/chat/completions", Body: make([]byte, 1<<10)},
			quarantine.Carrier{Scope: quarantine.ScopeSession, Name: "e4402b7d"},
			quarantine.Carrier{Scope: quarantine.ScopePart, Name: "91bd3f06", Depth: 1},
			quarantine.Carrier{Scope: quarantine.ScopePartAtModel, Name: "91bd3f06", Within: "daka510000", Depth: 1},
			quarantine.Carrier{Scope: quarantine.ScopePart, Name: "5c1e07a2"},
			quarantine.Carrier{Scope: quarantine.ScopePartAtModel, Name: "5c1e07a2", Within: "daka510000"},
			quarantine.Carrier{Scope: quarantine.ScopeModel, Name: "daka510000"},
			quarantine.Carrier{Scope: quarantine.ScopeTeam, Name: "team"},
		)
	}
	r := newRequest()
	b.Run("held-back", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, held := g.HeldBack(r); held {
				b.Fatal("nothing of the request is suspected")
			}
		}
	})
	b.Run("completed", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			g.AttemptCompleted(r, quarantine.AnyKind)
		}
	})
}
