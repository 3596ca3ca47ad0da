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

// One request was repeated at five servers within eight milliseconds, and five ended: each
// attempt went out before the end of the first server had been found out. Before a fourth
// attempt the inquiries into the first three are awaited. An ordinary request waits only there,
// and not for an address that stays silent: that one's host is lost, with all that it ran.
func TestRepeatsWaitForWhatBecomesKnownOfTheirServers(t *testing.T) {
	const asked = 40 * time.Millisecond
	for name, x := range map[string]struct {
		answer relay.Presence
		broken int
		waits  time.Duration
		held   bool
	}{
		"two servers ended":         {relay.PresenceRefused, 2, 0, false},
		"three servers ended":       {relay.PresenceRefused, 3, asked, true},
		"three servers live":        {relay.PresenceListening, 3, 3*asked + 100*time.Millisecond, false},
		"three hosts are lost":      {relay.PresenceSilent, 3, 250 * time.Millisecond, false},
		"the fourth of four is due": {relay.PresenceRefused, 4, asked, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := quarantine.NewGuard(quarantine.GuardConfig{
					Entry: "entry",
					Probe: func(context.Context, string) relay.Presence {
						if x.answer == relay.PresenceSilent {
							time.Sleep(500 * time.Millisecond)
						}
						time.Sleep(asked)
						return x.answer
					},
					OnChange: func() {}, Log: logr.Discard(),
				})
				defer g.Close()
				s := quarantine.NewKeyedRequest(quarantine.Request{Method: "PUT", Target: "/book", Body: []byte("harmful")})
				other := quarantine.NewKeyedRequest(quarantine.Request{Method: "PUT", Target: "/book", Body: []byte("ordinary")})
				for i := range x.broken {
					g.AttemptFailed(s, fmt.Sprint("app-", i), fmt.Sprint("a:", i))
				}
				began := time.Now()
				g.AwaitProbes(t.Context(), other)
				require.Zero(t, time.Since(began))
				g.AwaitProbes(t.Context(), s)
				require.Equal(t, x.waits, time.Since(began))
				_, held := g.HeldBack(s)
				require.Equal(t, x.held, held)
			})
		})
	}
}

// Attempts that break off while it is being told that their server has ended are accused as
// well.
func TestInquestAccusesWhatBreaksOffMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var q *quarantine.ServerProber
		one, two := keyOf("/1"), keyOf("/2")
		var found []quarantine.Key
		q = quarantine.NewServerProber(quarantine.ServerProberConfig{
			Probe: func(context.Context, string) relay.Presence { return relay.PresenceRefused },
			OnEnded: func(_ string, keys []quarantine.Key) {
				if found = append(found, keys...); len(found) == 1 {
					q.AttemptFailed("s", "a:1", two)
				}
			},
			Log: logr.Discard(),
		})
		defer q.Close()
		q.AttemptFailed("s", "a:1", one)
		synctest.Wait()
		require.Equal(t, []quarantine.Key{one, two}, found)
		require.True(t, q.Idle())
	})
}
