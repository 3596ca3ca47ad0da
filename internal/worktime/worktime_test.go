package worktime_test

import (
	"runtime/metrics"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/worktime"
)

// A host whose goroutines wait for the processor logs what it spent the second on, and one whose
// goroutines do not wait logs nothing.
func TestWorkIsLoggedWhileGoroutinesWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var late, prompt atomic.Uint64
		lines := make(chan string, 8)
		m := worktime.New(worktime.Config{
			Delays: func() metrics.Float64Histogram {
				return metrics.Float64Histogram{Buckets: []float64{0, 0.001, 0.2, 0.4}, Counts: []uint64{prompt.Load(), 0, late.Load()}}
			},
			Log: funcr.New(func(_, args string) { lines <- args }, funcr.Options{}),
		})
		defer m.Stop()
		prompt.Store(1000)
		ended := m.Start(worktime.KindEvidence)
		time.Sleep(300 * time.Millisecond)
		ended()
		time.Sleep(time.Second)
		synctest.Wait()
		require.Empty(t, lines)
		require.Zero(t, m.Delay())
		prompt.Add(90)
		late.Store(10)
		ended = m.Start(worktime.KindDecision)
		time.Sleep(40 * time.Millisecond)
		ended()
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, 200*time.Millisecond, m.Delay())
		require.Contains(t, <-lines, `"delay-ms"=200 "decision"=1 "decision-ms"=40`)
		require.InDelta(t, 0.3, m.Seconds(worktime.KindEvidence), 1e-9)
	})
}
