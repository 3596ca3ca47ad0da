package logbook_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/logbook"
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
	b := logbook.New(out)
	requests, beliefs := b.Requests(0), b.Beliefs(0)
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

// BenchmarkRequestLine: what one line adds to a request, output not counted.
func BenchmarkRequestLine(b *testing.B) {
	book := logbook.New(io.Discard)
	defer book.Close()
	log := book.Requests(0)
	b.ReportAllocs()
	for range b.N {
		log.Info("request", "id", "9c41d07be2a35f68", "outcome", "served", "status", 200, "route", "r-1", "version", 7,
			"pool", "p", "model", "m", "server", "i-1", "attempts", 1, "first-ms", 60, "took-ms", 900, "cause", "")
	}
}
