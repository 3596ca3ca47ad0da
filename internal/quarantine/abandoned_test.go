package quarantine_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
)

// abandonmentFixture is a prober before servers that end after some time.
type abandonmentFixture struct {
	prober *quarantine.ServerProber
	start  time.Time

	mu sync.Mutex
	// endsAfter is when the servers end, since start; probes counts the probes, and accused holds by server
	// what was accused. Guarded by mu.
	endsAfter time.Duration
	probes    int
	accused   map[string][]quarantine.Key
}

func newAbandonmentFixture(endsAfter time.Duration) *abandonmentFixture {
	f := &abandonmentFixture{start: time.Now(), endsAfter: endsAfter, accused: map[string][]quarantine.Key{}}
	f.prober = quarantine.NewServerProber(quarantine.ServerProberConfig{
		MayProbe: always, Log: logr.Discard(),
		Probe: func(context.Context, string) relay.Presence {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.probes++
			if time.Since(f.start) >= f.endsAfter {
				return relay.PresenceRefused
			}
			return relay.PresenceListening
		},
		OnEnded: func(server string, _ time.Time, accused []quarantine.Accusation) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.accused[server] = append(f.accused[server], keysOf(accused)...)
		},
	})
	return f
}

func (f *abandonmentFixture) accusedAt(server string) []quarantine.Key {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accused[server]
}

// An attempt ends before its server does: by its caller, or as its connection breaks. Whether the server ends
// under the request was not found out, as nobody looked later.
func TestServersOfAbandonedAttemptsAreLookedAt(t *testing.T) {
	for name, tt := range map[string]struct {
		endsAfter time.Duration
		accused   bool
	}{
		"ends at once":        {0, true},
		"ends a moment later": {100 * time.Millisecond, true},
		"ends a second later": {1200 * time.Millisecond, true},
		"ends much later":     {time.Minute, false},
	} {
		for attempt, report := range map[string]func(p *quarantine.ServerProber, key quarantine.Key){
			"abandoned": func(p *quarantine.ServerProber, key quarantine.Key) {
				p.AttemptAbandoned("s", "a:1", quarantine.Accusation{Key: key})
			},
			"broken off": func(p *quarantine.ServerProber, key quarantine.Key) {
				p.AttemptFailed("s", "a:1", quarantine.Accusation{Key: key})
			},
		} {
			t.Run(name+", "+attempt, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newAbandonmentFixture(tt.endsAfter)
					defer f.prober.Close()
					report(f.prober, keyOf("/1"))
					time.Sleep(5 * time.Second)
					if tt.accused {
						require.Equal(t, []quarantine.Key{keyOf("/1")}, f.accusedAt("s"))
					} else {
						require.Empty(t, f.accusedAt("s"))
					}
				})
			})
		}
	}
}

// The end of a server is blamed on what was abandoned there shortly before, whoever finds it out, but not on what
// was abandoned long before.
func TestEndFoundByOthersIsBlamedOnAbandonedAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAbandonmentFixture(time.Hour)
		defer f.prober.Close()
		f.prober.AttemptAbandoned("old", "a:1", quarantine.Accusation{Key: keyOf("/1")})
		time.Sleep(4 * time.Second)
		f.prober.AttemptAbandoned("s", "a:2", quarantine.Accusation{Key: keyOf("/2")})
		for _, server := range []string{"old", "s", "s", "unknown"} {
			f.prober.ServerEnded(server)
		}
		require.Empty(t, f.accusedAt("old"))
		require.Equal(t, []quarantine.Key{keyOf("/2")}, f.accusedAt("s"))
		// It has ended: what is abandoned there from now on is accused as well.
		f.prober.AttemptAbandoned("s", "a:2", quarantine.Accusation{Key: keyOf("/3")})
		require.Equal(t, []quarantine.Key{keyOf("/2"), keyOf("/3")}, f.accusedAt("s"))
	})
}

// Many callers leave early: each look costs a server a connection, so looks must be bounded, and what is
// remembered as well.
func TestLooksAtServersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAbandonmentFixture(time.Hour)
		defer f.prober.Close()
		for i := range 2000 {
			f.prober.AttemptAbandoned(fmt.Sprint("s-", i%200), "a:1", quarantine.Accusation{Key: keyOf(fmt.Sprint(i))})
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		require.LessOrEqual(t, f.probes, 10+2*15)
		require.Empty(t, f.accused)
	})
}

// Another entry has found a server ended at which this one had given an attempt up: its request must be accused.
func TestReceivedEndIsBlamedOnAbandonedAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := quarantine.NewGuard(quarantine.GuardConfig{
			Entry: "entry", MayProbe: always, OnChange: func() {}, Log: logr.Discard(),
			Probe: func(context.Context, string) relay.Presence { return relay.PresenceSilent },
		})
		defer g.Close()
		r := quarantine.NewKeyedRequest(quarantine.Request{Target: "/abandoned"})
		g.AttemptAbandoned(r, quarantine.Server{ID: "s", Address: "a:1"})
		other := newSuspectSet(&clock{time.Now()})
		other.Accuse("s", time.Now(), []quarantine.Accusation{{Key: keyOf("/other")}})
		list, _ := other.Since(0, quarantine.PartAll)
		g.Merge(list, quarantine.SourceEntry)
		require.Equal(t, 1, g.Suspects().UnclearedCount(r.Key()))
	})
}

// Attempts at one server are abandoned all the time, with and without looks to spare for it: what is remembered must
// not fill up with old ones, nor be forgotten with them.
func TestLatestAbandonedAttemptsAreRemembered(t *testing.T) {
	for name, others := range map[string]int{"looked at": 0, "not looked at": 20} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newAbandonmentFixture(time.Hour)
				defer f.prober.Close()
				for i := range 1049 {
					f.prober.AttemptAbandoned("s", "a:1", quarantine.Accusation{Key: keyOf(fmt.Sprint(i))})
					for k := 0; i%20 == 0 && k < others; k++ {
						f.prober.AttemptAbandoned(fmt.Sprint("other ", i, k), "a:2", quarantine.Accusation{Key: keyOf("/other")})
					}
					time.Sleep(10 * time.Millisecond)
				}
				f.prober.ServerEnded("s")
				require.Contains(t, f.accusedAt("s"), keyOf("1048"))
				require.Contains(t, f.accusedAt("s"), keyOf("850"))
				require.NotContains(t, f.accusedAt("s"), keyOf("500"))
			})
		})
	}
}
