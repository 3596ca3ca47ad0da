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
	"fennelyard/internal/schema"
)

// A caller repeats a harmful request that is held back, five times a second at each of twenty
// entries. It may try once more when the time is over for which it is held back. That time was
// over at all entries at once, and at each of them it was sent on until its end was known:
// a server at each entry, and more. Entries now let one try at a time, each after a time of its own, so
// that the word of the first is there before the second: hardly more than one server ends each
// time that the hold is over.
func TestOneTryAfterTheHold(t *testing.T) {
	const (
		entries = 20
		runs    = 100 * time.Millisecond
		word    = 300 * time.Millisecond
		every   = 200 * time.Millisecond
		lasts   = 40 * time.Minute
	)
	synctest.Test(t, func(t *testing.T) {
		var guards []*quarantine.Guard
		tell := func(from *quarantine.Guard) {
			list, _ := from.Suspects().Since(0, quarantine.PartAll)
			time.AfterFunc(word, func() {
				for _, g := range guards {
					g.Suspects().Merge(list, true)
				}
			})
		}
		for i := range entries {
			var g *quarantine.Guard
			g = quarantine.NewGuard(quarantine.GuardConfig{
				Entry:    fmt.Sprint("entry-", i),
				Probe:    func(context.Context, string) relay.Presence { return relay.PresenceRefused },
				OnChange: func() { tell(g) }, Log: logr.Discard(),
			})
			defer g.Close()
			guards = append(guards, g)
		}
		request := quarantine.Request{Method: "POST", Target: "/once", Body: []byte("harmful")}
		for _, g := range guards {
			g.Suspects().Merge(threeEnded(request), true)
		}
		ended := 0
		for began := time.Now(); time.Since(began) < lasts; time.Sleep(every) {
			for _, g := range guards {
				s := quarantine.NewKeyedRequest(request)
				if _, held := g.HeldBack(s); held {
					continue
				}
				ended++
				server := fmt.Sprint("server-", ended)
				time.AfterFunc(runs, func() { g.AttemptFailed(s, server, server) })
			}
		}
		// Five minutes doubled each time, or half as long again, are over two or three times.
		t.Logf("%d servers ended", ended)
		require.LessOrEqual(t, ended, 2*3)
		require.GreaterOrEqual(t, ended, 2)
	})
}

// threeEnded tells that three servers have just ended under a request.
func threeEnded(r quarantine.Request) []*schema.Suspect {
	key := r.Key()
	s := &schema.Suspect{Key: key[:]}
	for _, server := range []string{"a", "b", "c"} {
		s.Ended = append(s.Ended, &schema.EndedServer{Server: server})
	}
	return []*schema.Suspect{s}
}

// A try that comes to its end clears the request at once, and one that its caller leaves
// does not keep others from trying for long.
func TestTryThatEndsNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := quarantine.NewGuard(quarantine.GuardConfig{
			Entry: "entry", Probe: func(context.Context, string) relay.Presence { return relay.PresenceRefused },
			OnChange: func() {}, Log: logr.Discard(),
		})
		defer g.Close()
		request := quarantine.Request{Target: "/once"}
		g.Suspects().Merge(threeEnded(request), true)
		one, two := quarantine.NewKeyedRequest(request), quarantine.NewKeyedRequest(request)
		left, held := g.HeldBack(one)
		require.True(t, held)
		require.GreaterOrEqual(t, left, 5*time.Minute)
		require.LessOrEqual(t, left, 7*time.Minute+30*time.Second)
		time.Sleep(left - time.Millisecond)
		_, held = g.HeldBack(one)
		require.True(t, held, "the time that callers are told is true")
		time.Sleep(time.Millisecond)
		_, held = g.HeldBack(one)
		require.False(t, held)
		_, held = g.HeldBack(one)
		require.False(t, held, "the one that tries may try on")
		left, held = g.HeldBack(two)
		require.True(t, held, "another waits for what becomes of the first")
		time.Sleep(left)
		_, held = g.HeldBack(two)
		require.False(t, held, "the first came to no end")
		_, held = g.HeldBack(one)
		require.True(t, held)
		g.AttemptCompleted(two)
		_, held = g.HeldBack(one)
		require.False(t, held)
	})
}
