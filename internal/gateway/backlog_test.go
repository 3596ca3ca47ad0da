package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
)

// overloadSimulation simulates engines that process prompts one after another, and callers with
// long prompts that arrive at a constant rate for a while, faster than the engines can process
// them, and disconnect after some time without a first event.
type overloadSimulation struct {
	engines *gateway.Engines
	// prefillRate is in tokens per millisecond and engine.
	prefillRate       float64
	arrivalIntervalMs int
	aim               time.Duration
	// refuses is set if requests are refused whose engine has too large a backlog.
	refuses bool

	queues                           map[string][]*queuedRequest
	inTime, late, abandoned, refused int
}

type queuedRequest struct {
	info          *gateway.RequestInfo
	arrivedMs     int
	pendingTokens float64
}

const (
	abandonAfterMs       = 4800
	arrivalsMs           = 20000
	overloadPromptTokens = 9000
)

func (o *overloadSimulation) run() {
	o.engines.SetMinGap(600 * time.Millisecond)
	o.engines.ObservePrefillRate(o.prefillRate)
	o.queues = map[string][]*queuedRequest{}
	for nowMs := range arrivalsMs + abandonAfterMs {
		if nowMs < arrivalsMs && nowMs%o.arrivalIntervalMs == 0 {
			o.arrive(nowMs)
		}
		for id := range o.queues {
			o.tick(id, nowMs)
		}
	}
}

func (o *overloadSimulation) arrive(nowMs int) {
	info := &gateway.RequestInfo{Model: "m", PromptTokens: int(overloadPromptTokens * o.prefillRate / 38)}
	if o.refuses && o.engines.ExceedsBacklog(info, o.aim) {
		o.refused++
		return
	}
	id := o.engines.Send(info)
	o.queues[id] = append(o.queues[id], &queuedRequest{info, nowMs, float64(info.PromptTokens)})
}

// tick simulates a millisecond at an engine: callers that have waited too long disconnect, and
// the engine continues with the first of the others.
func (o *overloadSimulation) tick(id string, nowMs int) {
	waiting := o.queues[id][:0]
	for _, request := range o.queues[id] {
		if nowMs-request.arrivedMs < abandonAfterMs {
			waiting = append(waiting, request)
			continue
		}
		o.abandoned++
		o.finish(id, request)
	}
	o.queues[id] = waiting
	if len(waiting) == 0 {
		return
	}
	request := waiting[0]
	if request.pendingTokens -= o.prefillRate; request.pendingTokens > 0 {
		return
	}
	o.queues[id] = waiting[1:]
	o.finish(id, request)
	if nowMs-request.arrivedMs <= int(o.aim.Milliseconds()) {
		o.inTime++
	} else {
		o.late++
	}
}

func (o *overloadSimulation) finish(id string, request *queuedRequest) {
	o.engines.PrefillDone(id, request.info.PromptTokens)
	o.engines.RequestEnded(id, request.info)
}

// The engines that have a model can process two thirds of the demand for it. Without
// refusals, requests wait for nearly as long as their callers stay, and hardly one is served
// in time. With requests refused at once where the engine's backlog is too large, as many are
// served, most of them in time and at any engine speed, and no caller disconnects without a
// response after a wait.
func TestBacklogRefusalUnderOverload(t *testing.T) {
	for _, speed := range []float64{1. / 3, 1, 3} {
		t.Run(fmt.Sprint(speed), func(t *testing.T) {
			simulate := func(refuses bool) *overloadSimulation {
				simulation := &overloadSimulation{engines: gateway.NewEngines(3), prefillRate: 38 * speed, arrivalIntervalMs: 53, aim: time.Second, refuses: refuses}
				simulation.run()
				return simulation
			}
			unlimited, limited := simulate(false), simulate(true)
			t.Logf("on time, late, abandoned, refused: %d %d %d %d without a limit, %d %d %d %d with it",
				unlimited.inTime, unlimited.late, unlimited.abandoned, unlimited.refused, limited.inTime, limited.late, limited.abandoned, limited.refused)
			served := unlimited.inTime + unlimited.late
			require.Less(t, unlimited.inTime, served/3)
			require.GreaterOrEqual(t, limited.inTime+limited.late, served*9/10)
			require.GreaterOrEqual(t, limited.inTime, served*2/3)
			require.Zero(t, limited.abandoned)
		})
	}
}

// Engines with a small backlog refuse no request, and a short prompt does not wait for long
// ones.
func TestBacklogAcceptsRequestsServedInTime(t *testing.T) {
	e := gateway.NewEngines(1)
	e.SetMinGap(600 * time.Millisecond)
	e.ObservePrefillRate(38)
	longInfo := &gateway.RequestInfo{Model: "m", PromptTokens: 18000}
	longestInfo := &gateway.RequestInfo{Model: "m", PromptTokens: 72000}
	require.False(t, e.ExceedsBacklog(longestInfo, time.Second))
	e.Send(longInfo)
	require.False(t, e.ExceedsBacklog(longInfo, time.Second))
	require.False(t, e.ExceedsBacklog(longestInfo, time.Second))
	e.Send(longInfo)
	require.True(t, e.ExceedsBacklog(longInfo, time.Second))
	require.False(t, e.ExceedsBacklog(longInfo, 2*time.Second))
	require.False(t, e.ExceedsBacklog(longInfo, 0))
	require.False(t, e.ExceedsBacklog(&gateway.RequestInfo{Model: "m", PromptTokens: 700}, 800*time.Millisecond))
}
