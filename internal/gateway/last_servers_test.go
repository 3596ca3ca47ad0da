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
