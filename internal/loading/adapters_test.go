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

// Callers of a busy model's adapters are refused for twelve seconds although the one engine
// that holds the model has places for them: as soon as it has loaded the model it is given a
// load of six seconds, of another model that a caller waits for, and then the next one.
// Eighteen adapters of one model were never served so. An adapter takes milliseconds.
func TestAdaptersComeBeforeLoadsOfOtherModels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		maps.DeleteFunc(s.engines, func(id string, _ *standin) bool { return id != "e1" })
		h := newHosts(s)
		beat := uint64(0)
		wanted := func(holds func() bool) func() bool {
			return func() bool {
				if beat++; beat%10 == 1 {
					h.announce(s, beat)
					h.drivers[0].HandleDemand("entry", []*schema.ModelDemand{
						{Pool: "llm", Model: "m0", Adapter: "a1", Waiting: 5, Arrived: 2},
						{Pool: "llm", Model: "m0", Adapter: "a2", Waiting: 5, Arrived: 2},
						{Pool: "llm", Model: "m0", Adapter: "a3", Waiting: 5, Arrived: 2},
						{Pool: "llm", Model: "m2", Waiting: 1, Arrived: 1},
						{Pool: "llm", Model: "m4", Waiting: 1, Arrived: 1},
					})
				}
				return holds()
			}
		}
		await(t, wanted(func() bool { return s.holds("e1", "m0") }))
		took := await(t, wanted(func() bool { return s.holdsAdapters("e1", "m0") == places }))
		require.Less(t, took, time.Second)
		// The others' callers are not forgotten over it.
		took = await(t, wanted(func() bool { return s.holds("e1", "m2") || s.holds("e1", "m4") }))
		require.Less(t, took, s.storeTime+time.Second)
		h.stop()
	})
}

// An engine ends with all that it runs: it is ordered to load a ninth adapter where eight
// have room. A new leader has its report, with eight; then an announcement comes from before
// it had them all, which a cut had held up, and is believed over the report. The count of
// orders taken is the report's, so that the engine does not refuse the order.
func TestLateAnnouncementDoesNotUndoAReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		maps.DeleteFunc(s.engines, func(id string, _ *standin) bool { return id != "e1" })
		s.engines["e1"].held["m0"] = map[string]bool{"a1": true, "a2": true, "a3": true}
		s.engines["e1"].taken = 3
		h := newHosts(s)
		h.announce(s, 1)
		await(t, func() bool { return h.of("e1").Host != "" })
		time.Sleep(time.Second)
		late := roster.Announcement{
			ID: s.engines["e1"].key(), Pool: "llm", Address: "e1", Sequence: 2,
			Loaded: []*schema.HeldModel{{Name: "m0", Adapters: []string{"a1"}}},
		}
		require.True(t, h.rosters[0].Announce(late))
		h.drivers[0].HandleAnnouncement(late)
		h.drivers[0].HandleDemand("entry", []*schema.ModelDemand{{Pool: "llm", Model: "m0", Adapter: "a4", Waiting: 1, Arrived: 1}})
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, places, s.holdsAdapters("e1", "m0"))
		h.stop()
	})
}

// Callers of an adapter are told that it comes within milliseconds, as an engine holds its
// model, and wait until their time is over: the engine is loading another model for six
// seconds and takes no other order before. They must be told of that time, to go elsewhere
// or to come back.
func TestForecastOfAnAdapterBehindALoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		maps.DeleteFunc(s.engines, func(id string, _ *standin) bool { return id != "e1" })
		s.engines["e1"].held["m0"] = map[string]bool{}
		h := newHosts(s)
		adapter := func() time.Duration {
			list := h.drivers[0].Forecasts([]*schema.ModelDemand{{Pool: "llm", Model: "m0", Adapter: "a1", Waiting: 1}})
			return time.Duration(list[0].GetReadyInMs()) * time.Millisecond
		}
		h.announce(s, 1)
		await(t, func() bool { return h.of("e1").Host != "" })
		time.Sleep(3 * time.Second)
		require.Less(t, adapter(), 100*time.Millisecond)
		h.drivers[0].HandleDemand("entry", []*schema.ModelDemand{{Pool: "llm", Model: "m2", Waiting: 1, Arrived: 1}})
		await(t, func() bool { return s.busy("e1") })
		time.Sleep(time.Second)
		require.InDelta(t, s.storeTime-time.Second, adapter(), float64(500*time.Millisecond))
		h.stop()
	})
}

// holdsAdapters returns how many adapters of a model an engine holds.
func (s *site) holdsAdapters(engine, model string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.engines[engine].held[model])
}

// busy reports whether an engine carries an order out.
func (s *site) busy(engine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.engines[engine].busy
}
