package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnprovenEnd reports a response whose end may be that of its server's process, of its work at the deadline, or of
// a host in between. It wraps ErrInterrupted.
var ErrUnprovenEnd = errors.Newf("nothing proves the end of the response: %w", ErrInterrupted)

// deadlineSlack is how long before the deadline that it was sent a server may stop working on a request: the time
// that is left is sent in whole milliseconds, and the clocks of the two hosts measure it apart.
const deadlineSlack = 20 * time.Millisecond

// StopTime returns from when on a server may have stopped working on a request with a deadline.
func StopTime(deadline time.Time) time.Time { return deadline.Add(-deadlineSlack) }

// Body is the body of a response. It wraps every error other than the regular end with
// ErrInterrupted. A body without a length or chunks ends when its connection is closed, which the kernel
// also does for a process that ends: the end counts only if the server's process still runs. It is for use by
// one goroutine.
type Body struct {
	r       io.Reader
	framing Framing
	// stopsAt is the zero time if the server stops at no time.
	stopsAt time.Time
	// verifyEnd may be nil.
	verifyEnd func() Presence
	// ended is set once the regular end was read.
	ended bool
	// err is the error after the last byte, nil before.
	err error
}

// NewBody returns the body of a response. stopsAt is Request.StopsAt. verifyEnd is called if the body ends with its
// connection, and returns PresenceConfirmed if the process that sent it still runs. Without verifyEnd no such end
// counts.
func NewBody(r *http.Response, stopsAt time.Time, verifyEnd func() Presence) *Body {
	return &Body{r: r.Body, framing: framingOf(r), stopsAt: stopsAt, verifyEnd: verifyEnd}
}

// Complete reports whether the body was read to its regular end.
func (b *Body) Complete() bool { return b.ended }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.r.Read(p)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		b.err = errors.Newf("read body: %v: %w", err, ErrInterrupted)
	case n > 0:
		// The next call reads the end again: bytes do not wait for its verification.
		return n, nil
	default:
		b.err = b.end()
	}
	return n, b.err
}

// end returns io.EOF at the regular end of the body.
func (b *Body) end() error {
	if b.framing != FramingLength && !b.stopsAt.IsZero() && !time.Now().Before(b.stopsAt) {
		return errors.Newf("read body: the server has stopped at the deadline: %w", ErrUnprovenEnd)
	}
	if b.framing == FramingClose {
		presence := PresenceNotProbed
		if b.verifyEnd != nil {
			presence = b.verifyEnd()
		}
		if presence != PresenceConfirmed {
			return errors.Newf("read body: the connection was closed, its server is %s: %w", presence, ErrUnprovenEnd)
		}
	}
	b.ended = true
	return io.EOF
}
