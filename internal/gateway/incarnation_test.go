package gateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
	"fennelyard/internal/schema"
)

func engineIncarnation(key string, state schema.RosterState, models ...string) *schema.RosterServer {
	v := &schema.RosterServer{Id: key, Pool: "p", State: state}
	for _, m := range models {
		v.Models = append(v.Models, &schema.HeldModel{Name: m, Adapters: []string{"a"}})
	}
	return v
}

// An engine ends and restarts with its id at another address and without models. The leader
// that reports it never knew the earlier incarnation and does not report its end. Requests for
// the earlier models must be sent to neither: the new incarnation refuses them, and each
// refusal costs the caller an attempt.
func TestRestartedEngineHasNoModels(t *testing.T) {
	const ready, gone = schema.RosterState_ROSTER_STATE_READY, schema.RosterState_ROSTER_STATE_GONE
	m, n := &gateway.RequestInfo{Model: "m"}, &gateway.RequestInfo{Model: "n"}

	e := gateway.NewEngines(0)
	e.ApplyServers(engineIncarnation("i-1@1000", ready, "m"))
	require.Equal(t, "i-1@1000", e.Choose(m))
	e.ApplyServers(engineIncarnation("i-1@2000", ready))
	require.False(t, e.HasEngine(m))
	e.ApplyServers(engineIncarnation("i-1@2000", ready, "n"))
	require.Equal(t, "i-1@2000", e.Choose(n))

	// A late update about the earlier incarnation does not affect the later one.
	e.ApplyServers(engineIncarnation("i-1@1000", gone))
	require.Equal(t, "i-1@2000", e.Choose(n))

	// A leader that knows no incarnation of the engine forwards that it has ended.
	e.ApplyServers(engineIncarnation("i-1", gone))
	require.False(t, e.HasEngine(n))
}

// What an entry stores about an engine belongs to one incarnation: its cached prompt parts are
// lost on a restart. If they still counted, the entry would not expect their prefill at the new
// incarnation, and the responses there would start late.
func TestPromptPartsBelongToOneIncarnation(t *testing.T) {
	const ready = schema.RosterState_ROSTER_STATE_READY
	info := &gateway.RequestInfo{Model: "m", PromptTokens: 9000, PromptParts: []gateway.PromptPart{{ID: "s", Tokens: 9000}}}
	e := gateway.NewEngines(0)
	e.ApplyServers(engineIncarnation("i-1@1000", ready, "m"))
	e.Send(info)
	require.Zero(t, e.UncachedTokens("i-1@1000", info))
	e.ApplyServers(engineIncarnation("i-1@2000", ready, "m"))
	require.Equal(t, 9000, e.UncachedTokens("i-1@2000", info))
}
