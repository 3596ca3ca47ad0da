package asynclog_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/asynclog"
)

// stalledWriter blocks writes until open is closed.
type stalledWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// TestStalledOutputDoesNotBlock tests that logging does not block while the output is
// blocked and thousands of requests arrive. Lines about requests are dropped first, so
// that no line about a state change is lost.
func TestStalledOutputDoesNotBlock(t *testing.T) {
	out := &stalledWriter{open: make(chan struct{})}
	w := asynclog.New(out)
	requests, changes := w.Requests(0), w.StateChanges(0)
	for range 20000 {
		requests.Info("request")
	}
	for range 500 {
		changes.Info("state change")
	}
	require.Positive(t, w.Dropped())
	close(out.open)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	require.Equal(t, 500, strings.Count(out.buf.String(), `"msg":"state change"`))
}

// Lines that quote what others sent are long: while the output is blocked, they must not fill the memory, nor must the
// buffer lose its room once they are gone.
func TestLongLinesAreBounded(t *testing.T) {
	const lineBytes, maxBytes = 64 << 10, 9 << 20
	out := &stalledWriter{open: make(chan struct{})}
	w := asynclog.New(out)
	long := strings.Repeat("x", lineBytes)
	for range 1000 {
		w.Requests(0).Info(long)
		w.StateChanges(0).Info(long)
	}
	require.Greater(t, w.Dropped(), int64(2000-maxBytes/lineBytes))
	require.Less(t, w.Dropped(), int64(2000))
	close(out.open)
	require.Eventually(t, func() bool {
		before := w.Dropped()
		w.Requests(0).Info(long)
		return w.Dropped() == before
	}, 5*time.Second, time.Millisecond)
	w.Close()
}

// A process ends while its output is behind: the last lines must say that others are missing. It is closed by whoever
// stops it and by a deferred call.
func TestCloseReportsDroppedLines(t *testing.T) {
	for range 5 {
		synctest.Test(t, func(t *testing.T) {
			out := &stalledWriter{open: make(chan struct{})}
			w := asynclog.New(out)
			log := w.Requests(0)
			for range 6000 {
				log.Info("request")
			}
			dropped := w.Dropped()
			require.Positive(t, dropped)
			close(out.open)
			w.Close()
			w.Close()
			require.Equal(t, 6000-int(dropped), strings.Count(out.buf.String(), `"msg":"request"`))
			require.Contains(t, out.buf.String(), fmt.Sprintf(`"msg":"log lines dropped","count":%d}`, dropped))
		})
	}
}

// countingWriter counts the write calls and the lines.
type countingWriter struct{ calls, lines int }

func (c *countingWriter) Write(p []byte) (int, error) {
	c.calls++
	c.lines += bytes.Count(p, []byte("\n"))
	return len(p), nil
}

// TestLinesAreBatched tests that lines logged within batchDelay are written in one call
// and none is lost. A leader that wrote six hundred lines a second, with a call for each,
// had no time left to announce its leadership.
func TestLinesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out countingWriter
		w := asynclog.New(&out)
		log := w.StateChanges(0)
		for range 3 {
			for range 200 {
				log.Info("server heard", "server", "i-1")
			}
			time.Sleep(100 * time.Millisecond)
		}
		w.Close()
		require.Equal(t, 600, out.lines)
		require.LessOrEqual(t, out.calls, 3)
	})
}

// BenchmarkRequestLine measures the time that logging a line adds to a request, without
// the output.
func BenchmarkRequestLine(b *testing.B) {
	w := asynclog.New(io.Discard)
	defer w.Close()
	log := w.Requests(0)
	b.ReportAllocs()
	for range b.N {
		log.Info("request", "id", "9c41d07be2a35f68", "outcome", "served", "status", 200, "route", "r-1", "version", 7,
			"pool", "p", "model", "m", "server", "i-1", "attempts", 1, "first-ms", 60, "took-ms", 900, "cause", "")
	}
}
