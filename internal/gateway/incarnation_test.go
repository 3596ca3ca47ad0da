package gateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/schema"
)

func engineStart(key string, state schema.RosterState, models ...string) *schema.RosterServer {
	v := &schema.RosterServer{Id: key, Pool: "p", State: state}
	for _, m := range models {
		v.Models = append(v.Models, &schema.HeldModel{Name: m, Adapters: []string{"a"}})
	}
	return v
}

// An engine crashes, and starts again under its id at another address, empty. The leader
// that tells of it never knew the start before, so that it does not say that that one
// is gone. Requests for what it held must not be sent to either: the next start refuses
// them, and each refusal costs its caller an attempt.
func TestEngineThatStartsAgainHoldsNothing(t *testing.T) {
	const ready, gone = schema.RosterState_ROSTER_STATE_READY, schema.RosterState_ROSTER_STATE_GONE
	m, n := &gateway.RequestInfo{Model: "m"}, &gateway.RequestInfo{Model: "n"}

	e := gateway.NewEngines(0)
	e.Believe(engineStart("i-1@1000", ready, "m"))
	require.Equal(t, "i-1@1000", e.Peek(m))
	e.Believe(engineStart("i-1@2000", ready))
	require.False(t, e.Able(m))
	e.Believe(engineStart("i-1@2000", ready, "n"))
	require.Equal(t, "i-1@2000", e.Peek(n))

	// A late word about the earlier start takes nothing of the later away.
	e.Believe(engineStart("i-1@1000", gone))
	require.Equal(t, "i-1@2000", e.Peek(n))

	// A leader that knows no start of it passes on that it has ended.
	e.Believe(engineStart("i-1", gone))
	require.False(t, e.Able(n))
}

// What an entry remembers of an engine is of one start: the parts of prompts that it
// kept are gone with it, and counted on they would have the next one read them late.
func TestPromptPartsAreOfOneStart(t *testing.T) {
	const ready = schema.RosterState_ROSTER_STATE_READY
	call := &gateway.RequestInfo{Model: "m", PromptTokens: 9000, PromptParts: []gateway.PromptPart{{ID: "s", Tokens: 9000}}}
	e := gateway.NewEngines(0)
	e.Believe(engineStart("i-1@1000", ready, "m"))
	e.Send(call)
	require.Zero(t, e.ToRead("i-1@1000", call))
	e.Believe(engineStart("i-1@2000", ready, "m"))
	require.Equal(t, 9000, e.ToRead("i-1@2000", call))
}
