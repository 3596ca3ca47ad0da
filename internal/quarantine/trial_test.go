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

// A caller repeats a harmful request that is held back, five times a second at each of
// twenty entries. When the hold expired at all entries at once, each of them forwarded the
// request until it detected the end of its server, so that at least one server ended at
// each entry. Entries allow one trial at a time, each after a hold of its own length, so
// that the first trial's record arrives before the second trial: hardly more than one
// server ends each time that a hold expires.
func TestOneTrialAfterTheHold(t *testing.T) {
	const (
		entries        = 20
		runTime        = 100 * time.Millisecond
		recordDelay    = 300 * time.Millisecond
		repeatInterval = 200 * time.Millisecond
		duration       = 40 * time.Minute
	)
	synctest.Test(t, func(t *testing.T) {
		var guards []*quarantine.Guard
		sendRecords := func(from *quarantine.Guard) {
			list, _ := from.Suspects().Since(0, quarantine.PartAll)
			time.AfterFunc(recordDelay, func() {
				for _, g := range guards {
					g.Suspects().Merge(list, quarantine.SourceControl)
				}
			})
		}
		for i := range entries {
			var g *quarantine.Guard
			g = quarantine.NewGuard(quarantine.GuardConfig{
				Entry:    fmt.Sprint("entry-", i),
				MayProbe: always,
				Probe:    func(context.Context, string) relay.Presence { return relay.PresenceRefused },
				OnChange: func() { sendRecords(g) }, Log: logr.Discard(),
			})
			defer g.Close()
			guards = append(guards, g)
		}
		request := quarantine.Request{Method: "POST", Target: "/once", Body: []byte("harmful")}
		for _, g := range guards {
			g.Suspects().Merge(threeEnded(request), quarantine.SourceControl)
		}
		ended := 0
		for began := time.Now(); time.Since(began) < duration; time.Sleep(repeatInterval) {
			for _, g := range guards {
				r := quarantine.NewKeyedRequest(request)
				if _, held := g.HeldBack(r); held {
					continue
				}
				ended++
				server := fmt.Sprint("server-", ended)
				time.AfterFunc(runTime, func() { g.AttemptFailed(r, quarantine.Server{ID: server, Address: server}) })
			}
		}
		// A hold of five minutes, doubled each time or half as long again, expires two or
		// three times.
		t.Logf("%d servers ended", ended)
		require.LessOrEqual(t, ended, 2*3)
		require.GreaterOrEqual(t, ended, 2)
	})
}

// threeEnded returns a record that three servers have just ended under a request.
func threeEnded(r quarantine.Request) []*schema.Suspect {
	key := r.Key()
	s := &schema.Suspect{Key: key[:]}
	for _, server := range []string{"a", "b", "c"} {
		s.Ended = append(s.Ended, &schema.EndedServer{Server: server})
	}
	return []*schema.Suspect{s}
}

// A trial that completes must clear the request at once, and one that its caller cancels
// must not delay other trials for long.
func TestTrialThatEndsNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := quarantine.NewGuard(quarantine.GuardConfig{
			Entry: "entry", MayProbe: always, Probe: func(context.Context, string) relay.Presence { return relay.PresenceRefused },
			OnChange: func() {}, Log: logr.Discard(),
		})
		defer g.Close()
		request := quarantine.Request{Target: "/once"}
		g.Suspects().Merge(threeEnded(request), quarantine.SourceControl)
		one, two := quarantine.NewKeyedRequest(request), quarantine.NewKeyedRequest(request)
		remaining, held := g.HeldBack(one)
		require.True(t, held)
		require.GreaterOrEqual(t, remaining, 5*time.Minute)
		require.LessOrEqual(t, remaining, 7*time.Minute+30*time.Second)
		time.Sleep(remaining - time.Millisecond)
		_, held = g.HeldBack(one)
		require.True(t, held, "the hold lasts as long as callers are told")
		time.Sleep(time.Millisecond)
		_, held = g.HeldBack(one)
		require.False(t, held)
		_, held = g.HeldBack(one)
		require.False(t, held, "the request of the trial may try again")
		remaining, held = g.HeldBack(two)
		require.True(t, held, "another request waits for the result of the trial")
		time.Sleep(remaining)
		_, held = g.HeldBack(two)
		require.False(t, held, "the first trial had no result")
		_, held = g.HeldBack(one)
		require.True(t, held)
		g.AttemptCompleted(two, quarantine.AnyKind)
		_, held = g.HeldBack(one)
		require.False(t, held)
	})
}
