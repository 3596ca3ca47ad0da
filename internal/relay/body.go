package relay

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Body is the body of a response. It wraps every error other than the regular end with
// ErrInterrupted. A body without a length or chunks ends when its connection is closed, but
// not when it is reset, and not when its server's process has ended. It is for use by one
// goroutine.
type Body struct {
	r       io.Reader
	framing Framing
	// verifyEnd may be nil.
	verifyEnd func() Presence
	// ended is set once the regular end was read, and unverified if nothing proves that the
	// end of the connection was that of the body.
	ended, unverified bool
	// err is the error after the last byte, nil before.
	err error
}

// NewBody returns the body of a response. verifyEnd may be nil; it is called if the body
// ends with its connection, and returns PresenceRefused if the server's process has ended:
// its connections are closed like any others.
func NewBody(r *http.Response, verifyEnd func() Presence) *Body {
	return &Body{r: r.Body, framing: framingOf(r), verifyEnd: verifyEnd}
}

// Complete reports whether the body was read to an end that is proved to be its regular
// one.
func (b *Body) Complete() bool { return b.ended && !b.unverified }

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
	if b.framing == FramingClose {
		presence := PresenceNotProbed
		if b.verifyEnd != nil {
			presence = b.verifyEnd()
		}
		if presence == PresenceRefused {
			return errors.Newf("read body: the server's process has ended with the connection: %w", ErrInterrupted)
		}
		b.unverified = presence != PresenceListening
	}
	b.ended = true
	return io.EOF
}
