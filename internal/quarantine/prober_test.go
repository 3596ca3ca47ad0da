package quarantine_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
)

// Two attempts break off on a server. It has ended if its address refuses connections. A
// server that is running or unreachable is no evidence against the requests; otherwise every
// cut connection would put the requests on it under suspicion.
func TestServerProber(t *testing.T) {
	for name, tt := range map[string]struct {
		results []relay.Presence
		ended   bool
	}{
		"ended":                          {[]relay.Presence{relay.PresenceRefused}, true},
		"ends a moment later":            {[]relay.Presence{relay.PresenceListening, relay.PresenceRefused}, true},
		"a packet was lost":              {[]relay.Presence{relay.PresenceSilent, relay.PresenceRefused}, true},
		"is running":                     {[]relay.Presence{relay.PresenceListening}, false},
		"can't be reached":               {[]relay.Presence{relay.PresenceSilent}, false},
		"listens and can't be reached":   {[]relay.Presence{relay.PresenceListening, relay.PresenceSilent}, false},
		"ended, and another starts soon": {[]relay.Presence{relay.PresenceRefused, relay.PresenceListening}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var reported []quarantine.Key
				probes := 0
				prober := quarantine.NewServerProber(quarantine.ServerProberConfig{
					MayProbe: always,
					Probe: func(context.Context, string) relay.Presence {
						mu.Lock()
						defer mu.Unlock()
						probes++
						return tt.results[min(probes, len(tt.results))-1]
					},
					OnEnded: func(_ string, _ time.Time, accused []quarantine.Accusation) {
						mu.Lock()
						defer mu.Unlock()
						reported = append(reported, keysOf(accused)...)
					},
					Log: logr.Discard(),
				})
				defer prober.Close()
				one, two := keyOf("/1"), keyOf("/2")
				prober.AttemptFailed("s", "a:1", quarantine.Accusation{Key: one})
				prober.AttemptFailed("s", "a:1", quarantine.Accusation{Key: two})
				time.Sleep(time.Second)
				mu.Lock()
				defer mu.Unlock()
				if tt.ended {
					require.ElementsMatch(t, []quarantine.Key{one, two}, reported)
				} else {
					require.Empty(t, reported)
				}
			})
		})
	}
}

// keysOf returns the keys of what is accused.
func keysOf(accused []quarantine.Accusation) []quarantine.Key {
	var out []quarantine.Key
	for _, a := range accused {
		out = append(out, a.Key)
	}
	return out
}

// always lets a prober connect to all servers.
func always(string) bool { return true }

// A server has asked for a cooldown when attempts break off there. It must not be connected to, and
// its requests are not suspected.
func TestServersWithACooldownAreNotProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var probes, reported atomic.Int64
		prober := quarantine.NewServerProber(quarantine.ServerProberConfig{
			Probe: func(context.Context, string) relay.Presence {
				probes.Add(1)
				return relay.PresenceListening
			},
			MayProbe: func(string) bool { return probes.Load() == 0 },
			OnEnded:  func(string, time.Time, []quarantine.Accusation) { reported.Add(1) },
			Log:      logr.Discard(),
		})
		defer prober.Close()
		prober.AttemptFailed("s", "a:1", quarantine.Accusation{Key: keyOf("/1")})
		time.Sleep(time.Second)
		require.Equal(t, int64(1), probes.Load(), "none after the server has asked for a cooldown")
		prober.AttemptFailed("s", "a:1", quarantine.Accusation{Key: keyOf("/2")})
		time.Sleep(time.Second)
		require.Equal(t, int64(1), probes.Load())
		require.Zero(t, reported.Load())
		require.True(t, prober.Idle())
	})
}
