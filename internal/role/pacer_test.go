package role_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/ledger"
	"fennelyard/internal/role"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// Sixty-eight entries subscribe, and engines load and unload models 300 times a second. If
// each change were sent to each entry at once, a leader with a quarter of a core would
// spend all of its CPU time on updates and send no heartbeats; orders, and with them the
// callers of every rare model, would wait.
func TestChangesAreBatchedForManyEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, seconds = 68, 10
		pacer, r := role.NewEntryPacer(entries)
		go toggleModel(r, seconds*time.Second)
		updates := 0
		for start := time.Now(); time.Since(start) < seconds*time.Second; updates++ {
			require.True(t, pacer.AwaitDue(context.Background()))
		}
		// Ten batched updates a second, and three of the update interval.
		require.LessOrEqual(t, updates, 14*seconds)
	})
}

// toggleModel repeatedly loads and unloads a model that no caller waits for.
func toggleModel(r *roster.Roster, during time.Duration) {
	for start := time.Now(); time.Since(start) < during; {
		r.SetModels("i-1", []*schema.HeldModel{{Name: "other"}})
		time.Sleep(3 * time.Millisecond)
		r.SetModels("i-1", nil)
		time.Sleep(3 * time.Millisecond)
	}
}

// Callers of one entry wait for a model while many other changes occur. The entry must be
// updated within milliseconds of the engine loading it, not with the next batch: each
// caller would wait a tenth of a second longer.
func TestEntryWithWaitingCallersIsUpdatedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pacer, r := role.NewEntryPacer(68)
		pacer.SetDemand(&schema.ModelDemand{Pool: "llm", Model: "rare", Waiting: 1})
		require.True(t, pacer.AwaitDue(context.Background())) // the forecast of the load
		start := time.Now()
		go func() {
			for range 3 {
				r.SetModels("i-1", []*schema.HeldModel{{Name: "other"}})
				time.Sleep(3 * time.Millisecond)
				r.SetModels("i-1", nil)
				time.Sleep(3 * time.Millisecond)
			}
			r.SetModels("i-1", []*schema.HeldModel{{Name: "rare"}})
		}()
		require.True(t, pacer.AwaitDue(context.Background()))
		require.Equal(t, 18*time.Millisecond, time.Since(start))
	})
}

// An entry subscribes to a leader whose log is still empty, as at the first start of a
// deployment. The leader's process crashed and was back a second later.
func TestChangesOfAnEmptyLedger(t *testing.T) {
	data, revision := role.EncodedChangesSince(ledger.New(), 0)
	require.Zero(t, revision)
	c := &schema.Changes{}
	require.NoError(t, proto.Unmarshal(data, c))
	require.Empty(t, c.GetRecords())
}
