package drain

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// discardTimeout bounds the time in which the rest of a body is read that is not awaited: a connection that is
// closed before could be reset before its caller has read the response.
const discardTimeout = 500 * time.Millisecond

// AbandonBody makes the response leave before the rest of the request's body has arrived, and the connection close
// after it. It must be called before the header is written.
func AbandonBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	w.Header().Set("Connection", "close")
	// This fails only if the connection is already closed.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
}

// maxDiscardBytes bounds the rest of a body that DiscardBody reads.
const maxDiscardBytes = 4 << 20

// DiscardBody sends the response of AbandonBody and reads the rest of the body, until the time is over that AbandonBody has
// set. The server itself reads nothing if the caller has asked for the connection to be closed: it would be reset, and the
// caller would perhaps not see the response.
func DiscardBody(w http.ResponseWriter, r *http.Request) {
	// Errors mean that the connection has ended, or the time.
	if http.NewResponseController(w).Flush() == nil {
		_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes)
	}
}

// BodyTimer bounds the time in which the body of a request is read; a later bound replaces an earlier one. Reading
// fails with os.ErrDeadlineExceeded at the bound. It is safe for concurrent use.
type BodyTimer struct {
	controller *http.ResponseController
	mu         sync.Mutex
	// ended is set once the body has been read, guarded by mu.
	ended bool
}

// NewBodyTimer returns a BodyTimer without a bound.
func NewBodyTimer(w http.ResponseWriter) *BodyTimer {
	return &BodyTimer{controller: http.NewResponseController(w)}
}

// Bound sets the time at which reading fails. It has no effect after End.
func (b *BodyTimer) Bound(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		// This fails only if the connection is already closed.
		_ = b.controller.SetReadDeadline(at)
	}
}

// End removes the bound: it would interrupt a long response.
func (b *BodyTimer) End() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	_ = b.controller.SetReadDeadline(time.Time{})
}
