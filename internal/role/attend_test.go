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

// Sixty-eight entries attend, and engines load and drop models 300 times a second.
// Were each change told to each entry at once, a leader of a quarter of a core
// would spend all of it on words and not say any more who leads; orders, and with
// them the callers of every rare model, would wait for that.
func TestChangesAreGatheredForManyEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, seconds = 68, 10
		a, r := role.NewAttending(entries)
		go changeOften(r, seconds*time.Second)
		words := 0
		for began := time.Now(); time.Since(began) < seconds*time.Second; words++ {
			require.True(t, a.Rest(context.Background()))
		}
		// Ten gathered words a second, and three beats.
		require.LessOrEqual(t, words, 14*seconds)
	})
}

// changeOften loads and drops a model at an engine, which no caller waits for.
func changeOften(r *roster.Roster, during time.Duration) {
	for began := time.Now(); time.Since(began) < during; {
		r.SetModels("i-1", []*schema.HeldModel{{Name: "other"}})
		time.Sleep(3 * time.Millisecond)
		r.SetModels("i-1", nil)
		time.Sleep(3 * time.Millisecond)
	}
}

// Callers of one entry wait for a model while many other changes go on. The entry
// is told of the engine that brings it within milliseconds, not with the next
// gathered word: each of these callers would wait a tenth of a second longer.
func TestEntryWhoseCallersWaitIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, r := role.NewAttending(68)
		a.Wait(&schema.ModelDemand{Pool: "llm", Model: "rare", Waiting: 1})
		require.True(t, a.Rest(context.Background())) // the answer: when it will be there
		began := time.Now()
		go func() {
			for range 3 {
				r.SetModels("i-1", []*schema.HeldModel{{Name: "other"}})
				time.Sleep(3 * time.Millisecond)
				r.SetModels("i-1", nil)
				time.Sleep(3 * time.Millisecond)
			}
			r.SetModels("i-1", []*schema.HeldModel{{Name: "rare"}})
		}()
		require.True(t, a.Rest(context.Background()))
		require.Equal(t, 18*time.Millisecond, time.Since(began))
	})
}

// An entry attends a leader whose log is still empty, as when a deployment starts for
// the first time. The leader's process ended there, and was back a second later.
func TestChangesOfAnEmptyLedger(t *testing.T) {
	data, revision := role.ChangesSince(ledger.New(), 0)
	require.Zero(t, revision)
	c := &schema.Changes{}
	require.NoError(t, proto.Unmarshal(data, c))
	require.Empty(t, c.GetRecords())
}
