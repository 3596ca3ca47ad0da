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

// A caller waits for a model under whose load each engine ends that begins it. It is loaded
// at one engine after the other, each of which loses what it held and all that it ran, for
// as long as anybody asks. After three engines in a row it must not be loaded for a while;
// its callers are told how long, and other models are loaded meanwhile.
func TestModelThatEndsItsEnginesIsNotLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const wait = time.Minute
		s := newSite(t, 1)
		s.restartAll()
		s.fatal = "m3"
		s.engines["e2"].disk["m3"] = true
		h := newHosts(s)
		beat := uint64(0)
		ask := func() {
			beat++
			h.announce(s, beat)
			h.drivers[0].HandleDemand("entry", []*schema.ModelDemand{
				{Pool: "llm", Model: "m3", Waiting: 1, Arrived: 1}, {Pool: "llm", Model: "m4", Waiting: 1, Arrived: 1},
			})
			time.Sleep(time.Second)
		}
		for range int(wait / time.Second) {
			ask()
		}
		require.LessOrEqual(t, s.endedEngines(), 3)
		require.Greater(t, forecast(h.drivers[0], "m3"), 5*time.Second)
		require.Positive(t, s.holders("m4"))
		// It may try again in the end: the weights may have been mended.
		s.mend()
		await(t, func() bool {
			ask()
			return s.holders("m3") > 0
		})
		h.stop()
	})
}

// Engines that end at one moment, as a rack does, while they load a model that is asked for
// much, say nothing about the model: it is loaded elsewhere at once.
func TestModelOfARackThatEndsIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		h := newHosts(s)
		beat := uint64(0)
		ask := func() {
			beat++
			h.announce(s, beat)
			h.drivers[0].HandleDemand("entry", []*schema.ModelDemand{{Pool: "llm", Model: "m3", Waiting: 30, Arrived: 30}})
			time.Sleep(time.Second)
		}
		for range 9 {
			ask()
		}
		for _, id := range []string{"e0", "e1", "e2", "e3"} {
			s.restart(id)
		}
		await(t, func() bool {
			ask()
			return s.holders("m3") > 0
		})
		require.Less(t, beat, uint64(30))
		h.stop()
	})
}

// endedEngines returns how many engines have ended under the fatal load.
func (s *site) endedEngines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// mend lets engines live through every load.
func (s *site) mend() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fatal = ""
}

// Two models end each engine that loads them. Neither speaks for the other: both are left
// after a few engines.
func TestTwoModelsThatEndTheirEnginesAreNotLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		s.restartAll()
		s.fatal, s.fatalToo = "m3", "m5"
		h := newHosts(s)
		for beat := range uint64(60) {
			h.announce(s, beat+1)
			h.drivers[0].HandleDemand("entry", []*schema.ModelDemand{
				{Pool: "llm", Model: "m3", Waiting: 1, Arrived: 1}, {Pool: "llm", Model: "m5", Waiting: 1, Arrived: 1},
			})
			time.Sleep(time.Second)
		}
		require.LessOrEqual(t, s.endedEngines(), 2*3+1)
		h.stop()
	})
}

// Engines end of themselves every second or two, whatever they do, and three in a row do so
// under loads of one model. It was not loaded for a minute then, at engines that ran well
// again, and every caller of it was refused. As many end under nothing and under other loads:
// the model is loaded as soon as an engine is there.
func TestModelWhoseEnginesEndOfThemselvesIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1)
		s.restartAll()
		h := newHosts(s)
		beat := uint64(0)
		ask := func() {
			beat++
			h.announce(s, beat)
			h.drivers[0].HandleDemand("entry", []*schema.ModelDemand{{Pool: "llm", Model: "m3", Waiting: 1, Arrived: 1}})
			time.Sleep(time.Second)
		}
		for range 3 {
			await(t, func() bool {
				ask()
				return len(s.atLoad("m3", true)) > 0
			})
			for _, id := range s.atLoad("m3", true) {
				s.restart(id)
			}
			ask()
			ask()
			s.restart(s.atLoad("m3", false)[0])
			ask()
		}
		calm := beat
		await(t, func() bool {
			ask()
			return s.holders("m3") > 0
		})
		require.Less(t, beat-calm, uint64(12))
		h.stop()
	})
}

// restartAll starts all engines again, so that their starts are told apart.
func (s *site) restartAll() {
	for id := range s.engines {
		s.restart(id)
	}
}

// holders counts the engines that hold a model.
func (s *site) holders(model string) int {
	n := 0
	for id := range s.engines {
		if s.holds(id, model) {
			n++
		}
	}
	return n
}

// atLoad returns the engines that are at work on a load of a model, or all others.
func (s *site) atLoad(model string, at bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, id := range slices.Sorted(maps.Keys(s.engines)) {
		e := s.engines[id]
		if at == (e.busy && e.last.Load && e.last.Model == model) {
			out = append(out, id)
		}
	}
	return out
}
