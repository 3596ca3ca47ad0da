package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/schema"
)

func long(part string) *gateway.RequestInfo {
	return &gateway.RequestInfo{Model: "m", PromptTokens: 9000, PromptParts: []gateway.PromptPart{
		{ID: "all", Tokens: 2500}, {ID: part, Tokens: 3800}, {ID: "own" + part, Tokens: 2700},
	}}
}

func short(part string) *gateway.RequestInfo {
	return &gateway.RequestInfo{Model: "m", PromptTokens: 800, PromptParts: []gateway.PromptPart{{ID: part, Tokens: 200}, {ID: "own" + part, Tokens: 600}}}
}

// Entries that have not met send what shares a prompt part to the same engine,
// which then has read it, and different parts to different ones.
func TestSharedPartsMeetAtOneEngine(t *testing.T) {
	seen := map[string]bool{}
	for i := range 20 {
		part := fmt.Sprint("part-", i)
		a, b := gateway.NewEngines(9).Send(long(part)), gateway.NewEngines(9).Send(long(part))
		require.Equal(t, a, b)
		seen[a] = true
	}
	require.Greater(t, len(seen), 3)
}

// A part that everybody asks for at once must not queue at one engine while
// others are idle.
func TestHotPartSpreads(t *testing.T) {
	e := gateway.NewEngines(9)
	seen := map[string]bool{}
	for i := range 8 {
		c := long("hot")
		c.PromptParts[2].ID = fmt.Sprint("own-", i)
		seen[e.Send(c)] = true
	}
	require.Greater(t, len(seen), 2)
}

// Sixty entries have requests for one model and have heard the same of its engines a
// moment ago. They must not all send to the engine that was least busy then.
func TestEntriesDoNotMeetAtOneEngine(t *testing.T) {
	const entries, engines = 60, 6
	at := map[string]int{}
	for i := range entries {
		e := gateway.NewEngines(engines)
		e.Among(entries, uint64(i))
		for j := range 10 {
			c := short("p")
			c.PromptParts[1].ID = fmt.Sprint("own", j)
			if j < 9 {
				e.Serve(c)
				continue
			}
			at[e.Send(c)]++
		}
	}
	for id, n := range at {
		require.Less(t, n, 3*entries/engines, id)
	}
}

// An engine's slots are in use; a request waits there for one to end, and goes to an
// engine that has room though it has read the prompt's shared part before.
func TestEnginesWithoutASlotAreLeft(t *testing.T) {
	e := gateway.NewEngines(2)
	e.Slots(4)
	e.Ran(1500 * time.Millisecond)
	first := e.Peek(short("p"))
	e.Serve(short("p"))
	e.Hear(&schema.EngineLoad{Server: first, Running: 4})
	require.NotEqual(t, first, e.Peek(short("p")))
}

// This entry has sent nothing yet, but the others have filled the engine that it
// would take: it must know, or all entries would go on to fill it.
func TestOthersLoadIsSeen(t *testing.T) {
	e := gateway.NewEngines(9)
	first := e.Peek(long("p"))
	e.Hear(&schema.EngineLoad{Server: first, Running: 12, Unread: 40000})
	require.NotEqual(t, first, e.Peek(long("p")))
	e.Hear()
	require.Equal(t, first, e.Peek(long("p")))
}

// Streams of short prompts run beside prompts that are read between their events, and pause
// for too long: they go to engines that read little, also where nothing is to be read there
// at the moment.
func TestShortPromptsAvoidEnginesThatReadMuch(t *testing.T) {
	e := gateway.NewEngines(9)
	e.Allow(500 * time.Millisecond)
	first := e.Peek(short("p"))
	for range 4 {
		e.Hear(&schema.EngineLoad{Server: first, Unread: 12000})
		e.Hear()
	}
	require.NotEqual(t, first, e.Peek(short("p")))
	for range 40 {
		e.Hear()
	}
	require.Equal(t, first, e.Peek(short("p")))
}

// What the leader says includes what this entry told it; that must not count
// twice.
func TestOwnLoadCountsOnce(t *testing.T) {
	e := gateway.NewEngines(9)
	first := e.Send(long("p"))
	running, unread := e.Told(first)
	require.Equal(t, uint32(1), running)
	e.Hear(&schema.EngineLoad{Server: first, Running: running, Unread: unread})
	again := gateway.NewEngines(9)
	again.Send(long("p"))
	require.Equal(t, again.Peek(long("p")), e.Peek(long("p")))
}

// Long prompts hold up the events of other requests: where they are most of what
// there is to read, the two sorts use different engines of a model.
func TestLongAndShortPromptsKeepApart(t *testing.T) {
	e := gateway.NewEngines(6)
	e.Allow(500 * time.Millisecond)
	for i := range 200 {
		e.Serve(long(fmt.Sprint(i)))
		e.Serve(short(fmt.Sprint(i)))
	}
	longs, shorts := map[string]bool{}, map[string]bool{}
	for i := range 40 {
		longs[e.Peek(long(fmt.Sprint(i)))] = true
		shorts[e.Peek(short(fmt.Sprint(i)))] = true
	}
	require.Len(t, longs, 4)
	require.Len(t, shorts, 2)
	for id := range longs {
		require.False(t, shorts[id])
	}
}

// Another deployment's prompts are all short. Its callers must have all engines of
// a model: pressed onto a third of them, their streams paused and queued there while
// the others had nothing to do. The same holds while a long prompt comes now and
// then. Prompts as long as elsewhere are no long ones where engines read ten times as
// fast: they go where the part that all of them share was read.
func TestShortPromptsHaveAllEngines(t *testing.T) {
	for name, x := range map[string]struct {
		every int
		rate  float64
		bulk  func(string) *gateway.RequestInfo
		least int
	}{
		"no long prompt":       {every: 1 << 30, rate: 40, bulk: short, least: 6},
		"one long in twenty":   {every: 20, rate: 40, bulk: short, least: 6},
		"fast engines' prompt": {every: 1 << 30, rate: 400, bulk: long, least: 3},
	} {
		e := gateway.NewEngines(6)
		e.Allow(500 * time.Millisecond)
		e.Read(x.rate)
		for i := range 400 {
			if i%x.every == x.every-1 {
				e.Serve(long(fmt.Sprint(i)))
			}
			e.Serve(x.bulk(fmt.Sprint(i)))
		}
		seen := map[string]bool{}
		for i := range 60 {
			seen[e.Peek(x.bulk(fmt.Sprint(i)))] = true
		}
		require.GreaterOrEqual(t, len(seen), x.least, name)
	}
}

// The rate at which engines read is learned from times to first events, whatever
// else is in them.
func TestReadRateIsLearned(t *testing.T) {
	for _, rate := range []float64{13, 40, 120} {
		e := gateway.NewEngines(1)
		e.Read(rate)
		require.InEpsilon(t, rate, e.ReadRate(), 0.15)
	}
}

func TestFailedEngineGoesLast(t *testing.T) {
	for _, c := range []*gateway.RequestInfo{long("p"), short("p")} {
		e := gateway.NewEngines(2)
		first := e.Peek(c)
		e.Fail(first)
		second := e.Peek(c)
		require.NotEqual(t, first, second)
		// With both failed, one is still chosen.
		e.Fail(second)
		require.NotEmpty(t, e.Peek(c))
	}
}
