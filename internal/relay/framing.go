package relay

import "net/http"

//go:generate go tool stringer -type=Framing -linecomment

// Framing is how the end of a response's body is marked (RFC 9112, section 6).
type Framing int

// The framings.
const (
	// FramingNone means that no response was received.
	FramingNone Framing = iota // none
	// FramingLength means that the header states the length, which may be 0.
	FramingLength // length
	// FramingChunked means that the body ends with its last chunk.
	FramingChunked // chunked
	// FramingClose means that the body ends when the connection is closed. The end looks the
	// same if the server's process ends.
	FramingClose // close
)

// framingOf returns the framing of a response.
func framingOf(r *http.Response) Framing {
	switch {
	case len(r.TransferEncoding) > 0:
		return FramingChunked
	case r.ContentLength >= 0 || r.Body == http.NoBody:
		return FramingLength
	}
	return FramingClose
}
