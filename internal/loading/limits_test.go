package loading_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/loading"
)

// limited returns an engine that states a request limit.
func limited(perSecond float64, e *loading.Engine) *loading.Engine {
	e.Limited, e.Limit = true, perSecond
	return e
}

// rejecting returns an engine that rejects requests.
func rejecting(e *loading.Engine) *loading.Engine {
	e.Rejecting = true
	return e
}

// A model whose only engine takes fewer requests than callers send, or rejects them, is loaded at
// another one, and not at one that does so too.
func TestLimitedEnginesAreRelieved(t *testing.T) {
	for name, test := range map[string]struct {
		in   loading.Input
		want []loading.Action
	}{
		"within its limit": {
			input([]*loading.Model{model("m", busy(0.8))}, limited(1, engine("e1", "m")), engine("e2")), nil,
		},
		"beyond its limit": {
			input([]*loading.Model{model("m", busy(1.5))}, limited(1, engine("e1", "m")), engine("e2")),
			[]loading.Action{{Engine: "e2", Load: true, Model: "m", FromStore: true, Reason: loading.ReasonWaiting}},
		},
		"beyond its limit with two models": {
			input([]*loading.Model{model("m", busy(0.8)), model("n", busy(0.6))}, limited(1, engine("e1", "m", "n")), engine("e2")),
			[]loading.Action{{Engine: "e2", Load: true, Model: "m", FromStore: true, Reason: loading.ReasonWaiting}},
		},
		"another engine has room and states no limit": {
			input([]*loading.Model{model("m", busy(1.5))}, limited(1, engine("e1", "m")), limited(1, engine("e2")), engine("e3")),
			[]loading.Action{{Engine: "e3", Load: true, Model: "m", FromStore: true, Reason: loading.ReasonWaiting}},
		},
		"rejecting": {
			input([]*loading.Model{model("m", busy(0.8))}, rejecting(engine("e1", "m")), engine("e2")),
			[]loading.Action{{Engine: "e2", Load: true, Model: "m", FromStore: true, Reason: loading.ReasonWaiting}},
		},
		"rejecting, another engine serves": {
			input([]*loading.Model{model("m", busy(0.8))}, rejecting(engine("e1", "m")), engine("e2", "m")), nil,
		},
		"another engine has room and rejects as well": {
			input([]*loading.Model{model("m", busy(0.8))}, rejecting(engine("e1", "m")), rejecting(engine("e2")), engine("e3")),
			[]loading.Action{{Engine: "e3", Load: true, Model: "m", FromStore: true, Reason: loading.ReasonWaiting}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			actions, _ := loading.Decide(test.in)
			require.Equal(t, test.want, actions)
		})
	}
}
