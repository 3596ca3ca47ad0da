package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
)

// While software is replaced, all streams that the old version began are resumed at its last servers. If new
// requests filled these like the others, resumed streams would wait there while new ones are served.
func TestLastServersOfAVersionKeepRoomForResumedStreams(t *testing.T) {
	const slots = 12
	for _, model := range []string{"m", ""} {
		for _, oldServers := range []int{1, 2, 3} {
			t.Run(fmt.Sprintf("model %q, %d servers", model, oldServers), func(t *testing.T) {
				e := gateway.NewEngines(10)
				e.SetEntries(1, 1)
				e.ObserveRunTime(1500 * time.Millisecond)
				var old, others []string
				for i := range 10 {
					id := fmt.Sprint("e", i)
					if i < oldServers {
						old = append(old, id)
					} else {
						others = append(others, id)
					}
				}
				e.SetVersion("v1", slots, old...)
				e.SetVersion("v2", slots, others...)
				sent := map[string]int{}
				for range 10 * slots {
					sent[e.Send(&gateway.RequestInfo{Model: model})]++
				}
				for _, id := range old {
					if oldServers > 2 {
						require.InDelta(t, slots, sent[id], 2, "%v", sent)
						continue
					}
					require.LessOrEqual(t, sent[id], slots*3/4+1, "%v", sent)
					require.Greater(t, sent[id], slots/2, "%v", sent)
				}
				for range oldServers {
					require.Contains(t, old, e.Send(gateway.ResumedAt("v1", model)))
				}
			})
		}
	}
}

// A release begins with one server. If that got no request until all others are busy, nobody would see whether the new
// version works.
func TestIdleServersOfANewVersionGetRequests(t *testing.T) {
	for _, model := range []string{"m", ""} {
		e := gateway.NewEngines(6)
		e.SetEntries(1, 1)
		e.SetVersion("v1", 8, "e0", "e1", "e2", "e3", "e4")
		e.SetVersion("v2", 8, "e5")
		chosen := map[string]int{}
		for i := range 600 {
			info := &gateway.RequestInfo{Model: model, PromptParts: []gateway.PromptPart{{ID: fmt.Sprint(i), Tokens: 10}}}
			chosen[e.Choose(info)]++
			e.Serve(info)
		}
		require.Greater(t, chosen["e5"], 50, "model %q: %v", model, chosen)
	}
}
