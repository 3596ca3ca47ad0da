package loading_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/loading"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// A new leader has 240 engines, known from the log and by their first announcements. It must
// query them for their reports a few at a time: a host that queries all at once does not get to
// send its heartbeats, loses its leadership, and the next leader does the same.
func TestNewLeaderLimitsConcurrentQueries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const engines, replyTime = 240, 20 * time.Millisecond
		var mu sync.Mutex
		queried, concurrent, maxConcurrent := map[string]int{}, 0, 0
		r := roster.New(roster.Config{
			AnnounceEvery: time.Second, Departed: func(string) bool { return false }, Now: time.Now, Log: logr.Discard(),
		})
		d := loading.NewDriver(loading.Config{
			Leadership: func() loading.Leadership { return loading.Leadership{IsLeader: true, Term: 2} },
			Holders: loading.Holders{
				Get: func(string) loading.Holder { return loading.Holder{} }, Servers: func() []string { return nil },
				Hosts:  func() []string { return nil },
				Record: func(context.Context, map[string]loading.HolderChange, []string) error { return nil },
			},
			FetchReport: func(_ context.Context, _, server string) (loading.Report, error) {
				mu.Lock()
				queried[server]++
				concurrent++
				maxConcurrent = max(maxConcurrent, concurrent)
				mu.Unlock()
				time.Sleep(replyTime)
				mu.Lock()
				defer mu.Unlock()
				concurrent--
				return loading.Report{}, nil
			},
			Roster: r,
			KnownServers: func() []*schema.KnownServer {
				var out []*schema.KnownServer
				for i := range engines / 2 {
					out = append(out, &schema.KnownServer{Id: fmt.Sprint("e", i), Pool: "llm", Address: fmt.Sprint("a:", i)})
				}
				return out
			},
			Pools:      func() []*schema.Pool { return []*schema.Pool{{Name: "llm", Engine: &schema.EngineSpec{MemoryMb: 1}}} },
			OrderLease: orderLease, LoadWindow: 5 * time.Second, Now: time.Now, Log: logr.Discard(),
		})
		defer d.Stop()
		d.RefreshLeadership()
		for i := range engines {
			a := roster.Announcement{ID: fmt.Sprint("e", i), Pool: "llm", Address: fmt.Sprint("a:", i), Sequence: 1}
			if i >= engines/2 && r.Announce(a) {
				d.HandleAnnouncement(a)
			}
		}
		took := await(t, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return len(queried) == engines
		})
		require.Less(t, took, 4*time.Second)
		require.Greater(t, took, 2*time.Second)
		require.LessOrEqual(t, maxConcurrent, 24)
		require.GreaterOrEqual(t, maxConcurrent, 12)
	})
}
