package loading_test

import (
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

// Requests for a busy model's adapters are refused for twelve seconds although the only engine
// with the model has free slots for them: as soon as it has loaded the model it gets a load of
// six seconds, of another model that a request waits for, and then the next one. Eighteen
// adapters of one model were never loaded. An adapter takes milliseconds.
func TestAdapterLoadsPrecedeModelLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1)
		maps.DeleteFunc(s.engines, func(id string, _ *fakeEngine) bool { return id != "e1" })
		h := newControlHosts(s)
		sequence := uint64(0)
		withDemand := func(condition func() bool) func() bool {
			return func() bool {
				if sequence++; sequence%10 == 1 {
					h.announce(s, sequence)
					h.drivers[0].HandleDemand("entry", []*schema.ModelDemand{
						{Pool: "llm", Model: "m0", Adapter: "a1", Waiting: 5, Arrived: 2},
						{Pool: "llm", Model: "m0", Adapter: "a2", Waiting: 5, Arrived: 2},
						{Pool: "llm", Model: "m0", Adapter: "a3", Waiting: 5, Arrived: 2},
						{Pool: "llm", Model: "m2", Waiting: 1, Arrived: 1},
						{Pool: "llm", Model: "m4", Waiting: 1, Arrived: 1},
					})
				}
				return condition()
			}
		}
		await(t, withDemand(func() bool { return s.isLoaded("e1", "m0") }))
		took := await(t, withDemand(func() bool { return s.adapterCount("e1", "m0") == adapterSlots }))
		require.Less(t, took, time.Second)
		// Requests for the other models are still served.
		took = await(t, withDemand(func() bool { return s.isLoaded("e1", "m2") || s.isLoaded("e1", "m4") }))
		require.Less(t, took, s.storeLoadTime+time.Second)
		h.stop()
	})
}

// An engine crashes with all its requests because it is ordered to load a ninth adapter where
// eight fit. A new leader has its report, with eight; then an announcement from before it had
// them all, delayed by a partition, replaces the report. The number of orders taken is the
// report's, so the engine does not refuse the order.
func TestDelayedAnnouncementDoesNotReplaceReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1)
		maps.DeleteFunc(s.engines, func(id string, _ *fakeEngine) bool { return id != "e1" })
		s.engines["e1"].loaded["m0"] = map[string]bool{"a1": true, "a2": true, "a3": true}
		s.engines["e1"].ordersTaken = 3
		h := newControlHosts(s)
		h.announce(s, 1)
		await(t, func() bool { return h.holder("e1").Host != "" })
		time.Sleep(time.Second)
		delayed := roster.Announcement{
			ID: s.engines["e1"].key(), Pool: "llm", Address: "e1", Sequence: 2,
			Loaded: []*schema.HeldModel{{Name: "m0", Adapters: []string{"a1"}}},
		}
		require.True(t, h.rosters[0].Announce(delayed))
		h.drivers[0].HandleAnnouncement(delayed)
		h.drivers[0].HandleDemand("entry", []*schema.ModelDemand{{Pool: "llm", Model: "m0", Adapter: "a4", Waiting: 1, Arrived: 1}})
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, adapterSlots, s.adapterCount("e1", "m0"))
		h.stop()
	})
}

// Requests for an adapter get a forecast of milliseconds, as an engine has its model, and wait
// until their deadline: the engine is loading another model for six seconds and takes no other
// order before. The forecast must include that time, so that they go elsewhere or retry later.
func TestForecastOfAdapterDuringModelLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1)
		maps.DeleteFunc(s.engines, func(id string, _ *fakeEngine) bool { return id != "e1" })
		s.engines["e1"].loaded["m0"] = map[string]bool{}
		h := newControlHosts(s)
		adapter := func() time.Duration {
			list := h.drivers[0].Forecasts([]*schema.ModelDemand{{Pool: "llm", Model: "m0", Adapter: "a1", Waiting: 1}})
			return time.Duration(list[0].GetReadyInMs()) * time.Millisecond
		}
		h.announce(s, 1)
		await(t, func() bool { return h.holder("e1").Host != "" })
		time.Sleep(3 * time.Second)
		require.Less(t, adapter(), 100*time.Millisecond)
		h.drivers[0].HandleDemand("entry", []*schema.ModelDemand{{Pool: "llm", Model: "m2", Waiting: 1, Arrived: 1}})
		await(t, func() bool { return s.isBusy("e1") })
		time.Sleep(time.Second)
		require.InDelta(t, s.storeLoadTime-time.Second, adapter(), float64(500*time.Millisecond))
		h.stop()
	})
}

// adapterCount returns how many adapters of a model an engine has loaded.
func (s *cluster) adapterCount(engine, model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.engines[engine].loaded[model])
}

// isBusy reports whether an engine is executing an order.
func (s *cluster) isBusy(engine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[engine].busy
}
