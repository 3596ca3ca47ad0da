package loading_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/loading"
)

// An engine has restarted, and loads that were ordered of the previous incarnation may still be
// executed. An engine that loads more than fits crashes with all its requests: late loads have
// reserved room, and models that they may load again are not unloaded for others.
func TestRoomIsReservedForLateLoads(t *testing.T) {
	withLate := func(e *loading.Engine, late ...loading.ModelRef) *loading.Engine {
		e.LateLoads = late
		return e
	}
	modelC, a9 := loading.ModelRef{Model: "c"}, loading.ModelRef{Model: "a", Adapter: "a9"}
	models := []*loading.Model{model("a", nil), model("b", waiting), model("c", nil)}
	full := func() *loading.Engine {
		e := engine("e1", "a")
		for i, name := range []string{"a1", "a2", "a3", "a4", "a5", "a6", "a7"} {
			e.Loaded[0].Adapters[name] = now.Add(time.Duration(i) * time.Second)
		}
		return e
	}
	withWaitingAdapter := func(e *loading.Engine) loading.Input {
		in := input([]*loading.Model{model("a", nil)}, e)
		in.WaitingAdapters = []loading.ModelRef{{Model: "a", Adapter: "a8"}}
		return in
	}
	for name, test := range map[string]struct {
		in    loading.Input
		loads bool
	}{
		"nothing is late":                       {input(models, engine("e1", "a")), true},
		"a late model takes the room":           {input(models, withLate(engine("e1", "a"), modelC)), false},
		"a late model that is loaded":           {input(models, withLate(engine("e1", "a"), loading.ModelRef{Model: "a"})), true},
		"the last slot is free":                 {withWaitingAdapter(full()), true},
		"a late adapter reserves the last slot": {withWaitingAdapter(withLate(full(), a9)), false},
	} {
		t.Run(name, func(t *testing.T) {
			actions, _ := loading.Decide(test.in)
			loads := false
			for _, a := range actions {
				loads = loads || a.Load
			}
			require.Equal(t, test.loads, loads, "%+v", actions)
		})
	}
	twice := withLate(engine("e1", "a", "c"), loading.ModelRef{Model: "a"}, modelC)
	actions, _ := loading.Decide(input(models, twice))
	require.Empty(t, actions)
}

// An order to an incarnation of an engine is delayed on its way to the order holder, and one to
// the next incarnation is sent meanwhile. The engine would receive its leader's orders in
// reverse.
func TestDelayedOrderToEarlierIncarnationIsNotSent(t *testing.T) {
	sent := 0
	s := loading.NewSender(loading.SenderConfig{
		CatchUp:  func(context.Context) (uint64, error) { return 2, nil },
		IsHolder: func(string) bool { return true },
		SendOrder: func(context.Context, string, loading.Order) (loading.Outcome, error) {
			sent++
			return loading.OutcomeTaken, nil
		},
		Now: time.Now, Log: logr.Discard(),
	})
	_, err := s.Send(context.Background(), 2, "a:1", loading.Order{Server: "e1@2000", Token: 16})
	require.NoError(t, err)
	_, err = s.Send(context.Background(), 2, "a:1", loading.Order{Server: "e1@1000", Token: 11})
	require.ErrorIs(t, err, loading.ErrNotSent)
	require.Equal(t, 1, sent)
}
