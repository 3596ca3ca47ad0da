package loading_test

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/schema"
)

// A request waits for a model that crashes each engine that begins to load it. It is loaded at
// one engine after the other, each of which loses its models and requests, for as long as
// requests arrive. After three engines in a row its loads must be suspended; the forecast
// includes the suspension, and other models are loaded meanwhile.
func TestModelThatCrashesEnginesIsSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration = time.Minute
		s := newCluster(t, 1)
		s.restartAll()
		s.crashingModel = "m3"
		s.engines["e2"].onDisk["m3"] = true
		h := newControlHosts(s)
		sequence := uint64(0)
		reportDemand := func() {
			sequence++
			h.announce(s, sequence)
			h.drivers[0].HandleDemand("entry", []*schema.ModelDemand{
				{Pool: "llm", Model: "m3", Waiting: 1, Arrived: 1}, {Pool: "llm", Model: "m4", Waiting: 1, Arrived: 1},
			})
			time.Sleep(time.Second)
		}
		for range int(duration / time.Second) {
			reportDemand()
		}
		require.LessOrEqual(t, s.crashCount(), 3)
		require.Greater(t, forecast(h.drivers[0], "m3"), 5*time.Second)
		require.Positive(t, s.replicaCount("m4"))
		// The load is tried again in the end, as the weights may have been repaired.
		s.repairModels()
		await(t, func() bool {
			reportDemand()
			return s.replicaCount("m3") > 0
		})
		h.stop()
	})
}

// Engines that end at the same moment, as those of a rack that loses power do, while they load a
// model in high demand, do not count against the model: it is loaded elsewhere at once.
func TestRackFailureDoesNotSuspendModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1)
		h := newControlHosts(s)
		sequence := uint64(0)
		reportDemand := func() {
			sequence++
			h.announce(s, sequence)
			h.drivers[0].HandleDemand("entry", []*schema.ModelDemand{{Pool: "llm", Model: "m3", Waiting: 30, Arrived: 30}})
			time.Sleep(time.Second)
		}
		for range 9 {
			reportDemand()
		}
		for _, id := range []string{"e0", "e1", "e2", "e3"} {
			s.restart(id)
		}
		await(t, func() bool {
			reportDemand()
			return s.replicaCount("m3") > 0
		})
		require.Less(t, sequence, uint64(30))
		h.stop()
	})
}

// crashCount returns how many engines have crashed under a crashing model.
func (s *cluster) crashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// repairModels lets every load succeed.
func (s *cluster) repairModels() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashingModel = ""
}

// Two models crash each engine that loads them. Neither may clear the other: both are suspended
// after a few crashes.
func TestTwoModelsThatCrashEnginesAreSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1)
		s.restartAll()
		s.crashingModel, s.otherCrashingModel = "m3", "m5"
		h := newControlHosts(s)
		for round := range uint64(60) {
			h.announce(s, round+1)
			h.drivers[0].HandleDemand("entry", []*schema.ModelDemand{
				{Pool: "llm", Model: "m3", Waiting: 1, Arrived: 1}, {Pool: "llm", Model: "m5", Waiting: 1, Arrived: 1},
			})
			time.Sleep(time.Second)
		}
		require.LessOrEqual(t, s.crashCount(), 2*3+1)
		h.stop()
	})
}

// Engines end every second or two, whatever they do, and three in a row end under loads of one
// model. Its loads were suspended for a minute, although the engines ran well again, and all
// requests for it were refused. As many engines end without a load and under other loads: the
// model must be loaded as soon as an engine is available.
func TestUnrelatedEngineEndsDoNotSuspendModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1)
		s.restartAll()
		h := newControlHosts(s)
		sequence := uint64(0)
		reportDemand := func() {
			sequence++
			h.announce(s, sequence)
			h.drivers[0].HandleDemand("entry", []*schema.ModelDemand{{Pool: "llm", Model: "m3", Waiting: 1, Arrived: 1}})
			time.Sleep(time.Second)
		}
		for range 3 {
			await(t, func() bool {
				reportDemand()
				return len(s.enginesLoading("m3", true)) > 0
			})
			for _, id := range s.enginesLoading("m3", true) {
				s.restart(id)
			}
			reportDemand()
			reportDemand()
			s.restart(s.enginesLoading("m3", false)[0])
			reportDemand()
		}
		start := sequence
		await(t, func() bool {
			reportDemand()
			return s.replicaCount("m3") > 0
		})
		require.Less(t, sequence-start, uint64(12))
		h.stop()
	})
}

// restartAll restarts all engines, so that their incarnations are distinct.
func (s *cluster) restartAll() {
	for id := range s.engines {
		s.restart(id)
	}
}

// replicaCount returns the number of engines that have a model loaded.
func (s *cluster) replicaCount(model string) int {
	n := 0
	for id := range s.engines {
		if s.isLoaded(id, model) {
			n++
		}
	}
	return n
}

// enginesLoading returns the engines that are loading a model, or all others.
func (s *cluster) enginesLoading(model string, isLoading bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, id := range slices.Sorted(maps.Keys(s.engines)) {
		e := s.engines[id]
		if isLoading == (e.busy && e.lastOrder.Load && e.lastOrder.Model == model) {
			out = append(out, id)
		}
	}
	return out
}
