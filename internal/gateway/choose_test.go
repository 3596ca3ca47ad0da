package gateway_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/schema"
)

func long(part string) *gateway.Call {
	return &gateway.Call{Model: "m", PromptTokens: 9000, Parts: []gateway.Part{
		{ID: "all", Tokens: 2500}, {ID: part, Tokens: 3800}, {ID: "own" + part, Tokens: 2700},
	}}
}

func short(part string) *gateway.Call {
	return &gateway.Call{Model: "m", PromptTokens: 800, Parts: []gateway.Part{{ID: part, Tokens: 200}, {ID: "own" + part, Tokens: 600}}}
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
		c.Parts[2].ID = fmt.Sprint("own-", i)
		seen[e.Send(c)] = true
	}
	require.Greater(t, len(seen), 2)
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

// Long prompts hold up the events of other requests: the two sorts use different
// engines of a model while there are two.
func TestLongAndShortPromptsKeepApart(t *testing.T) {
	e := gateway.NewEngines(6)
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

func TestFailedEngineGoesLast(t *testing.T) {
	for _, c := range []*gateway.Call{long("p"), short("p")} {
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
