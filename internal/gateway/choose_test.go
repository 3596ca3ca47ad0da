package gateway_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/schema"
)

func longRequest(part string) *gateway.RequestInfo {
	return &gateway.RequestInfo{Model: "m", PromptTokens: 9000, PromptParts: []gateway.PromptPart{
		{ID: "all", Tokens: 2500}, {ID: part, Tokens: 3800}, {ID: "own" + part, Tokens: 2700},
	}}
}

func shortRequest(part string) *gateway.RequestInfo {
	return &gateway.RequestInfo{Model: "m", PromptTokens: 800, PromptParts: []gateway.PromptPart{{ID: part, Tokens: 200}, {ID: "own" + part, Tokens: 600}}}
}

// Without coordination, all entries send requests with the same prompt part to the same engine,
// which then has it cached, and different parts to different engines.
func TestSharedPromptPartsUseOneEngine(t *testing.T) {
	seen := map[string]bool{}
	for i := range 20 {
		part := fmt.Sprint("part-", i)
		a, b := gateway.NewEngines(9).Send(longRequest(part)), gateway.NewEngines(9).Send(longRequest(part))
		require.Equal(t, a, b)
		seen[a] = true
	}
	require.Greater(t, len(seen), 3)
}

// A prompt part with many simultaneous requests must not queue at one engine while others are
// idle.
func TestPopularPromptPartSpreads(t *testing.T) {
	e := gateway.NewEngines(9)
	seen := map[string]bool{}
	for i := range 8 {
		info := longRequest("hot")
		info.PromptParts[2].ID = fmt.Sprint("own-", i)
		seen[e.Send(info)] = true
	}
	require.Greater(t, len(seen), 2)
}

// Sixty entries have requests for one model and the same slightly outdated loads of its
// engines. They must not all send to the engine with the lowest reported load.
func TestEntriesSpreadOverEngines(t *testing.T) {
	const entries, engines = 60, 6
	requests := map[string]int{}
	for i := range entries {
		e := gateway.NewEngines(engines)
		e.SetEntries(entries, uint64(i))
		for j := range 10 {
			info := shortRequest("p")
			info.PromptParts[1].ID = fmt.Sprint("own", j)
			if j < 9 {
				e.Serve(info)
				continue
			}
			requests[e.Send(info)]++
		}
	}
	for id, n := range requests {
		require.Less(t, n, 3*entries/engines, id)
	}
}

// All slots of an engine are in use, so that a request would wait there. It goes to an engine
// with a free slot although the full one has its shared prompt part cached.
func TestFullEngineIsAvoided(t *testing.T) {
	e := gateway.NewEngines(2)
	e.SetSlots(4)
	e.ObserveRunTime(1500 * time.Millisecond)
	first := e.Choose(shortRequest("p"))
	e.Serve(shortRequest("p"))
	e.SetLoads(&schema.EngineLoad{Server: first, Running: 4})
	require.NotEqual(t, first, e.Choose(shortRequest("p")))
}

// This entry has sent nothing yet, but other entries have filled the engine that it would
// choose. It must take their load into account, or all entries would overload the engine.
func TestLoadOfOtherEntriesCounts(t *testing.T) {
	e := gateway.NewEngines(9)
	first := e.Choose(longRequest("p"))
	e.SetLoads(&schema.EngineLoad{Server: first, Running: 12, Unread: 40000})
	require.NotEqual(t, first, e.Choose(longRequest("p")))
	e.SetLoads()
	require.Equal(t, first, e.Choose(longRequest("p")))
}

// The streams of short prompts pause too long at engines that process long prompts between
// their events. They go to engines with little prefill on average, even if none is pending at
// the busier engine at the moment.
func TestShortPromptsAvoidEnginesWithLongPrefill(t *testing.T) {
	e := gateway.NewEngines(9)
	e.SetMinGap(500 * time.Millisecond)
	first := e.Choose(shortRequest("p"))
	for range 4 {
		e.SetLoads(&schema.EngineLoad{Server: first, Unread: 12000})
		e.SetLoads()
	}
	require.NotEqual(t, first, e.Choose(shortRequest("p")))
	for range 40 {
		e.SetLoads()
	}
	require.Equal(t, first, e.Choose(shortRequest("p")))
}

// The load in the leader's updates includes what this entry reported; that must not count
// twice.
func TestOwnLoadCountsOnce(t *testing.T) {
	e := gateway.NewEngines(9)
	first := e.Send(longRequest("p"))
	running, pendingPrefill := e.ReportedLoad(first)
	require.Equal(t, uint32(1), running)
	e.SetLoads(&schema.EngineLoad{Server: first, Running: running, Unread: pendingPrefill})
	other := gateway.NewEngines(9)
	other.Send(longRequest("p"))
	require.Equal(t, other.Choose(longRequest("p")), e.Choose(longRequest("p")))
}

// Long prompts delay the events of other requests: if they are most of the prefill, long and
// short prompts use different engines of a model.
func TestLongAndShortPromptsUseSeparateEngines(t *testing.T) {
	e := gateway.NewEngines(6)
	e.SetMinGap(500 * time.Millisecond)
	for i := range 200 {
		e.Serve(longRequest(fmt.Sprint(i)))
		e.Serve(shortRequest(fmt.Sprint(i)))
	}
	longs, shorts := map[string]bool{}, map[string]bool{}
	for i := range 40 {
		longs[e.Choose(longRequest(fmt.Sprint(i)))] = true
		shorts[e.Choose(shortRequest(fmt.Sprint(i)))] = true
	}
	require.Len(t, longs, 4)
	require.Len(t, shorts, 2)
	for id := range longs {
		require.False(t, shorts[id])
	}
}

// Where all prompts are short, requests must use all engines of a model: if restricted to a
// third of them, their streams pause and queue there while the other engines are idle. The same
// holds with an occasional long prompt. With engines that are ten times as fast, a prompt of
// the same length is not long: it goes where the part that all prompts share is cached.
func TestShortPromptsUseAllEngines(t *testing.T) {
	for name, test := range map[string]struct {
		longEvery  int
		rate       float64
		request    func(string) *gateway.RequestInfo
		minEngines int
	}{
		"no long prompts":           {longEvery: 1 << 30, rate: 40, request: shortRequest, minEngines: 6},
		"one long prompt in twenty": {longEvery: 20, rate: 40, request: shortRequest, minEngines: 6},
		"fast engines":              {longEvery: 1 << 30, rate: 400, request: longRequest, minEngines: 3},
	} {
		e := gateway.NewEngines(6)
		e.SetMinGap(500 * time.Millisecond)
		e.ObservePrefillRate(test.rate)
		for i := range 400 {
			if i%test.longEvery == test.longEvery-1 {
				e.Serve(longRequest(fmt.Sprint(i)))
			}
			e.Serve(test.request(fmt.Sprint(i)))
		}
		seen := map[string]bool{}
		for i := range 60 {
			seen[e.Choose(test.request(fmt.Sprint(i)))] = true
		}
		require.GreaterOrEqual(t, len(seen), test.minEngines, name)
	}
}

// The prefill rate is estimated from the times to first events, whatever else these times
// contain.
func TestPrefillRateEstimate(t *testing.T) {
	for _, rate := range []float64{13, 40, 120} {
		e := gateway.NewEngines(1)
		e.ObservePrefillRate(rate)
		require.InEpsilon(t, rate, e.PrefillRate(), 0.15)
	}
}

func TestFailedEngineIsChosenLast(t *testing.T) {
	for _, info := range []*gateway.RequestInfo{longRequest("p"), shortRequest("p")} {
		e := gateway.NewEngines(2)
		first := e.Choose(info)
		e.RecordFailure(first)
		second := e.Choose(info)
		require.NotEqual(t, first, second)
		// With both ejected, one is still chosen.
		e.RecordFailure(second)
		require.NotEmpty(t, e.Choose(info))
	}
}

// Another entry has found that a server has ended, before the leader removes it: each request sent there
// costs a retry, and an entry that has just started has none.
func TestServersThatEndedElsewhereAreTriedLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := gateway.NewEngines(2)
		view := &schema.RosterServer{Id: "ended", Pool: "p", Models: []*schema.HeldModel{{Name: "m"}}}
		e.RecordEnded("ended", 5*time.Second)
		e.RecordEnded("e0", 0)
		e.RecordEnded("e1", 5*time.Minute)
		e.ApplyServers(view)
		for i := range 20 {
			require.Equal(t, "e1", e.Send(shortRequest(fmt.Sprint(i))))
		}
		e.ApplyServers(&schema.RosterServer{Id: "e1", State: schema.RosterState_ROSTER_STATE_GONE})
		require.Contains(t, []string{"ended", "e0"}, e.Choose(shortRequest("p")))
		e.ApplyServers(&schema.RosterServer{Id: "e1", Pool: "p", Models: view.GetModels()})
		time.Sleep(5 * time.Second)
		seen := map[string]bool{}
		for i := range 20 {
			seen[e.Send(shortRequest(fmt.Sprint(i)))] = true
		}
		require.Len(t, seen, 3, "the record was wrong")
	})
}
