package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/origin"
	"fennelyard/internal/relay"
	"fennelyard/internal/schema"
)

// otherEntry is an entry that records origins, until it is lost.
type otherEntry struct {
	mu sync.Mutex
	// table is what it has recorded, and puts are all origins sent to it, also while it was lost.
	table *origin.Table
	puts  []origin.Origin
	// losesVersion is the version whose records are lost on the way; empty: none.
	losesVersion string
}

// recordDelay is how long the other entry takes to record an origin.
const recordDelay = 100 * time.Millisecond

func (e *otherEntry) put(_ context.Context, _ string, key origin.Key, o origin.Origin) error {
	time.Sleep(recordDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.puts = append(e.puts, o)
	if o.Version == e.losesVersion {
		return errors.New("lost")
	}
	e.table.Put(key, o)
	return nil
}

// The first server does not take the connection, so that the attempt does not count, and the stream begins at one
// of another version. What another entry has recorded of it must be that version, or the stream must not begin.
func TestOriginOfAnAttemptThatWasNotSentIsReplaced(t *testing.T) {
	for name, losesVersion := range map[string]string{"recorded": "", "record lost": "v2"} {
		t.Run(name, func(t *testing.T) {
			other := &otherEntry{table: origin.NewTable(origin.MaxEntryRecords, time.Now), losesVersion: losesVersion}
			gone, good := newBackend(t, respondOK), newBackend(t, streamEvents(1, 2, true))
			require.NoError(t, gone.l.Close())
			tg := startConfiguredGateway(t, func(cfg *gateway.Config) {
				cfg.RetryBudget, cfg.Log, cfg.Sender = gateway.RetryBudgetConfig{Ratio: 0.2, Window: 10 * time.Millisecond, Burst: 100}, logr.Discard(), relay.NewSender(relay.Config{})
				cfg.Origins = gateway.OriginExchange{
					Put: other.put,
					Get: func(context.Context, string, origin.Key, string) (origin.Origin, bool, error) {
						return origin.Origin{}, false, nil
					},
				}
			})
			tg.g.SetEntries([]*schema.RosterEntry{{Host: "other", TunnelAddress: "127.0.0.1:2"}})
			tg.g.ApplyServers(true,
				&schema.RosterServer{Id: "gone", Pool: "p", Address: gone.l.Addr().String(), Slots: 6, Software: "v1"},
				&schema.RosterServer{Id: "good", Pool: "p", Address: good.l.Addr().String(), Slots: 6, Software: "v2"})
			// Servers that others have found ended are chosen last.
			tg.g.MergeSuspects([]*schema.Suspect{{Ended: []*schema.EndedServer{{Server: "good"}}}})
			got := tg.call(t, "/resume/x", "body", "")
			if losesVersion != "" {
				require.Equal(t, http.StatusServiceUnavailable, got.status)
				require.Zero(t, good.requests.Load())
				return
			}
			require.Equal(t, http.StatusOK, got.status)
			left, err := strconv.Atoi(good.header("X-Left"))
			require.NoError(t, err)
			require.LessOrEqual(t, time.Duration(left)*time.Millisecond, 2*time.Second-recordDelay, "the server gets the time that is left")
			recorded, known := other.table.Get(origin.NewKey("", "42"))
			require.True(t, known)
			require.Equal(t, "v2", recorded.Version)
			// The first record, which the second does not wait for, may still be on its way.
			require.Eventually(t, func() bool {
				other.mu.Lock()
				defer other.mu.Unlock()
				return len(other.puts) >= 2
			}, 10*time.Second, time.Millisecond)
			other.mu.Lock()
			defer other.mu.Unlock()
			require.Len(t, other.puts, 2)
			number := map[string]int{}
			for _, o := range other.puts {
				number[o.Version] = o.Attempt
			}
			require.Greater(t, number["v2"], number["v1"], "the later record holds, in whichever order they arrive")
		})
	}
}
