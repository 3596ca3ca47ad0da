package gateway_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/gateway"
)

// overload plays engines that read prompts one after the other, and callers of long prompts
// who come evenly for a while, faster than the engines can read, and leave after some time
// without a first event.
type overload struct {
	engines *gateway.Engines
	// rate is how many tokens an engine reads in a millisecond, and every how many
	// milliseconds a caller comes.
	rate  float64
	every int
	aim   time.Duration
	// refuses is set where callers are refused whose engine has too much to read.
	refuses bool

	queues                        map[string][]*waitingCall
	inTime, late, left, turnedOff int
}

type waitingCall struct {
	call   *gateway.RequestInfo
	came   int
	unread float64
}

const (
	overloadLeave  = 4800 // ms
	overloadLength = 20000
	overloadPrompt = 9000
)

func (o *overload) run() {
	o.engines.Allow(600 * time.Millisecond)
	o.engines.Read(o.rate)
	o.queues = map[string][]*waitingCall{}
	for now := range overloadLength + overloadLeave {
		if now < overloadLength && now%o.every == 0 {
			o.come(now)
		}
		for id := range o.queues {
			o.read(id, now)
		}
	}
}

func (o *overload) come(now int) {
	c := &gateway.RequestInfo{Model: "m", PromptTokens: int(overloadPrompt * o.rate / 38)}
	if o.refuses && o.engines.TooLong(c, o.aim) {
		o.turnedOff++
		return
	}
	id := o.engines.Send(c)
	o.queues[id] = append(o.queues[id], &waitingCall{c, now, float64(c.PromptTokens)})
}

// read passes a millisecond at an engine: callers who have waited for too long leave, and
// it reads on at the first of the others.
func (o *overload) read(id string, now int) {
	kept := o.queues[id][:0]
	for _, w := range o.queues[id] {
		if now-w.came < overloadLeave {
			kept = append(kept, w)
			continue
		}
		o.left++
		o.over(id, w)
	}
	o.queues[id] = kept
	if len(kept) == 0 {
		return
	}
	w := kept[0]
	if w.unread -= o.rate; w.unread > 0 {
		return
	}
	o.queues[id] = kept[1:]
	o.over(id, w)
	if now-w.came <= int(o.aim.Milliseconds()) {
		o.inTime++
	} else {
		o.late++
	}
}

func (o *overload) over(id string, w *waitingCall) {
	o.engines.HasRead(id, w.call.PromptTokens)
	o.engines.End(id, w.call)
}

// A model has become busy, and the engines that have it can read two thirds of what is
// asked. Sent to them all the same, callers wait for nearly as long as they have patience,
// and hardly one is served in time. Refused at once where the engine has too much to read,
// as many are served, most of them in time, however fast the engines are; the others know
// at once, and none leaves unserved after he has waited.
func TestOverloadedEnginesServeInTimeWhatTheyCan(t *testing.T) {
	for _, speed := range []float64{1. / 3, 1, 3} {
		t.Run(fmt.Sprint(speed), func(t *testing.T) {
			play := func(refuses bool) *overload {
				o := &overload{engines: gateway.NewEngines(3), rate: 38 * speed, every: 53, aim: time.Second, refuses: refuses}
				o.run()
				return o
			}
			before, after := play(false), play(true)
			t.Logf("in time, late, left, refused: %d %d %d %d before, %d %d %d %d after",
				before.inTime, before.late, before.left, before.turnedOff, after.inTime, after.late, after.left, after.turnedOff)
			served := before.inTime + before.late
			require.Less(t, before.inTime, served/3)
			require.GreaterOrEqual(t, after.inTime+after.late, served*9/10)
			require.GreaterOrEqual(t, after.inTime, served*2/3)
			require.Zero(t, after.left)
		})
	}
}

// Engines that have little to read refuse nobody, and a short prompt waits for no long one.
func TestNobodyIsRefusedWhoWouldBeServedInTime(t *testing.T) {
	e := gateway.NewEngines(1)
	e.Allow(600 * time.Millisecond)
	e.Read(38)
	long := &gateway.RequestInfo{Model: "m", PromptTokens: 18000}
	longest := &gateway.RequestInfo{Model: "m", PromptTokens: 72000}
	require.False(t, e.TooLong(longest, time.Second))
	e.Send(long)
	require.False(t, e.TooLong(long, time.Second))
	require.False(t, e.TooLong(longest, time.Second))
	e.Send(long)
	require.True(t, e.TooLong(long, time.Second))
	require.False(t, e.TooLong(long, 2*time.Second))
	require.False(t, e.TooLong(long, 0))
	require.False(t, e.TooLong(&gateway.RequestInfo{Model: "m", PromptTokens: 700}, 800*time.Millisecond))
}
