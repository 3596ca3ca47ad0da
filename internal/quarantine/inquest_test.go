package quarantine_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
)

// Two attempts break off at a server. Whether it has ended is told by its address: nobody
// listens there any more. A server that lives on or can't be reached says nothing about the
// requests, or each cut would bring whatever was on its way into suspicion.
func TestInquest(t *testing.T) {
	for name, x := range map[string]struct {
		answers []relay.Presence
		ended   bool
	}{
		"ended":                         {[]relay.Presence{relay.PresenceRefused}, true},
		"ends a moment later":           {[]relay.Presence{relay.PresenceListening, relay.PresenceRefused}, true},
		"a packet was lost":             {[]relay.Presence{relay.PresenceSilent, relay.PresenceRefused}, true},
		"lives":                         {[]relay.Presence{relay.PresenceListening}, false},
		"can't be reached":              {[]relay.Presence{relay.PresenceSilent}, false},
		"listens and can't be reached":  {[]relay.Presence{relay.PresenceListening, relay.PresenceSilent}, false},
		"ended, and another comes soon": {[]relay.Presence{relay.PresenceRefused, relay.PresenceListening}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				var found []quarantine.Key
				asked := 0
				q := quarantine.NewServerProber(quarantine.ServerProberConfig{
					Probe: func(context.Context, string) relay.Presence {
						mu.Lock()
						defer mu.Unlock()
						asked++
						return x.answers[min(asked, len(x.answers))-1]
					},
					OnEnded: func(_ string, keys []quarantine.Key) {
						mu.Lock()
						defer mu.Unlock()
						found = append(found, keys...)
					},
					Log: logr.Discard(),
				})
				defer q.Close()
				one, two := keyOf("/1"), keyOf("/2")
				q.AttemptFailed("s", "a:1", one)
				q.AttemptFailed("s", "a:1", two)
				time.Sleep(time.Second)
				mu.Lock()
				defer mu.Unlock()
				if x.ended {
					require.ElementsMatch(t, []quarantine.Key{one, two}, found)
				} else {
					require.Empty(t, found)
				}
			})
		})
	}
}
