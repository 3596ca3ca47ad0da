package asynclog_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/asynclog"
)

// stalled takes nothing until it is opened.
type stalled struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Standard output stands still while requests come in by thousands. No request
// waits for its log line; lines about requests are dropped first, and the number
// dropped is told once the output moves.
func TestStalledOutputHoldsNothingUp(t *testing.T) {
	out := &stalled{open: make(chan struct{})}
	b := asynclog.New(out)
	requests, beliefs := b.Requests(0), b.StateChanges(0)
	for range 20000 {
		requests.Info("request")
	}
	for range 500 {
		beliefs.Info("belief")
	}
	require.Positive(t, b.Dropped())
	close(out.open)
	b.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	require.Equal(t, 500, strings.Count(out.buf.String(), `"msg":"belief"`))
}

// counted counts the calls and the lines that it gets.
type counted struct{ calls, lines int }

func (c *counted) Write(p []byte) (int, error) {
	c.calls++
	c.lines += bytes.Count(p, []byte("\n"))
	return len(p), nil
}

// Lines that come within a moment of each other go out in one call, all of them and in
// their order: a leader that wrote six hundred lines a second, each by itself, had no time
// left to say that it leads.
func TestLinesGoOutTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out counted
		b := asynclog.New(&out)
		log := b.StateChanges(0)
		for range 3 {
			for range 200 {
				log.Info("server heard", "server", "i-1")
			}
			time.Sleep(100 * time.Millisecond)
		}
		b.Close()
		require.Equal(t, 600, out.lines)
		require.LessOrEqual(t, out.calls, 3)
	})
}

// BenchmarkRequestLine: what one line adds to a request, output not counted.
func BenchmarkRequestLine(b *testing.B) {
	book := asynclog.New(io.Discard)
	defer book.Close()
	log := book.Requests(0)
	b.ReportAllocs()
	for range b.N {
		log.Info("request", "id", "9c41d07be2a35f68", "outcome", "served", "status", 200, "route", "r-1", "version", 7,
			"pool", "p", "model", "m", "server", "i-1", "attempts", 1, "first-ms", 60, "took-ms", 900, "cause", "")
	}
}
