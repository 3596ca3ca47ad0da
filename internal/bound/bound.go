// Package bound bounds what is read from peers: any of them may send bytes without end, in any
// part of a message.
package bound

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

//go:generate go tool stringer -type=Kind -linecomment

// Kind is what a bound limits.
type Kind int

// The kinds of bounds.
const (
	KindHead      Kind = iota // head-bytes
	KindFields                // head-fields
	KindInterim               // interim-responses
	KindDiscarded             // discarded-bytes
	KindEvent                 // event-bytes
	KindReply                 // reply-bytes
)

// The bounds.
const (
	// HeadBytes bounds the status lines and header fields of all responses that are read for one
	// request.
	HeadBytes = 64 << 10
	// HeadFields bounds the lines of these. A field takes some twenty times its bytes once it is
	// parsed.
	HeadFields = 256
	// InterimResponses bounds the informational responses (1xx) before a final one.
	InterimResponses = 16
	// ReplyHeadBytes bounds the head of a message between hosts, and of a reply to a call of a host, an operator or a
	// metrics collector.
	ReplyHeadBytes = 16 << 10
	// DiscardedBytes bounds the body of a response to another request, behind which the response
	// is read.
	DiscardedBytes = 1 << 20
	// EventBytes bounds one event of a stream.
	EventBytes = 1 << 20
	// SmallEventBytes is the size of an event from which on it takes a place among the large ones,
	// whose number the memory for bodies limits.
	SmallEventBytes = 16 << 10
	// HeldResponseBytes is how much of a response an entry holds until it is complete, so that the
	// request can be tried again; a longer one is forwarded as it comes.
	HeldResponseBytes = 256 << 10
	// ReportBytes bounds the reply of a model server to an order or a query.
	ReportBytes = 256 << 10
	// OrderReplyBytes bounds the reply of an engine to an order, on listed hosts.
	OrderReplyBytes = 64 << 10
	// BodyTimeout is the time in which a caller's body must have arrived whose deadline is not known yet.
	BodyTimeout = 30 * time.Second
)

// Error reports that a peer sent more than a bound allows.
type Error struct {
	Kind  Kind
	Limit int64
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("over the bound of %d %v", e.Limit, e.Kind) }

// transportHeadError is in the text of the error of an http.Transport whose peer sends too long
// a head; it has no type.
const transportHeadError = "server response headers exceeded"

// Of returns the bound that was met, or nil if an error has another cause.
func Of(err error) *Error {
	var met *Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &met):
		return met
	}
	if _, stated, found := strings.Cut(err.Error(), transportHeadError); found {
		limit := int64(0)
		// Without a number the kind alone is known.
		_, _ = fmt.Sscan(stated, &limit)
		return &Error{KindHead, limit}
	}
	return nil
}

// ReadAll reads a reply of at most limit bytes. A longer one is an *Error: its beginning must not be
// taken for the whole.
func ReadAll(in io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(in, limit+1))
	if err != nil {
		return nil, errors.Newf("read reply: %w", err)
	}
	if int64(len(data)) > limit {
		return nil, &Error{KindReply, limit}
	}
	return data, nil
}

// ErrNoEnd reports a reply without a length or chunks: it ends with its connection, which the kernel also closes for
// a process that ends.
var ErrNoEnd = errors.New("the reply has neither a length nor chunks")

// ReadReply reads the body of a reply of another host, which always states where it ends, like ReadAll.
func ReadReply(r *http.Response, limit int64) ([]byte, error) {
	if endsWithConnection(r) {
		return nil, ErrNoEnd
	}
	return ReadAll(r.Body, limit)
}

// endsWithConnection reports whether nothing but the end of the connection marks the end of a reply. A compressed
// body states where it ends.
func endsWithConnection(r *http.Response) bool {
	withoutBody := r.Body == http.NoBody || r.Request != nil && r.Request.Method == http.MethodHead
	return r.ProtoMajor == 1 && r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed && !withoutBody
}

// HasUnstatedBody reports whether a request may have a body whose end it does not state, of which net/http returns no
// byte: by HTTP/1.0 a body needs a length (RFC 1945, section 7.2.2).
func HasUnstatedBody(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return false
	}
	return !r.ProtoAtLeast(1, 1) && r.Header.Get("Content-Length") == ""
}
