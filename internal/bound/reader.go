package bound

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// lineBufferBytes is how much of a header is read ahead, and parseBufferBytes bounds what net/http
	// takes of one at a time, and the trailer of a body in chunks.
	lineBufferBytes  = 4 << 10
	parseBufferBytes = 8 << 10
	// maxQuotedBytes bounds what is quoted of a text that a peer may have sent.
	maxQuotedBytes = 256
)

// Reader reads the HTTP/1.1 responses on a connection that carries one request. It is for use by one
// goroutine.
type Reader struct {
	head *headReader
	// parsed holds no byte behind a head until the body is read.
	parsed  *bufio.Reader
	interim int
}

// NewReader returns a Reader of a connection.
func NewReader(conn io.Reader) *Reader {
	head := &headReader{in: bufio.NewReaderSize(conn, lineBufferBytes)}
	return &Reader{head: head, parsed: bufio.NewReaderSize(head, parseBufferBytes)}
}

// ReadResponse reads the next final response to a request and skips informational ones (1xx). The
// error wraps an *Error if a bound was met. The body is not bounded.
func (r *Reader) ReadResponse(request *http.Request) (*http.Response, error) {
	for {
		r.startHead()
		response, err := http.ReadResponse(r.parsed, request)
		switch {
		case r.head.err != nil:
			return nil, errors.Newf("read head of response: %w", r.head.err)
		case err != nil:
			return nil, errors.Newf("read response: %w", ShortError(err))
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
		if r.interim++; r.interim > InterimResponses {
			return nil, errors.Newf("skip informational responses: %w", &Error{KindInterim, InterimResponses})
		}
	}
}

// Discard reads the body of a response up to its end, behind which the next response begins. The error
// wraps an *Error if a bound was met.
func (r *Reader) Discard(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, DiscardedBytes+1))
	if err != nil {
		return errors.Newf("discard response: %w", ShortError(err))
	}
	if n > DiscardedBytes {
		return errors.Newf("discard response: %w", &Error{KindDiscarded, DiscardedBytes})
	}
	return nil
}

// Ahead returns a copy of the bytes that were read behind the last head. Its body must not have been
// read.
func (r *Reader) Ahead() []byte {
	// Peek of what is buffered does not fail.
	ahead, _ := r.head.in.Peek(r.head.in.Buffered())
	return bytes.Clone(ahead)
}

// startHead makes the next bytes count as those of a head.
func (r *Reader) startHead() {
	if n := r.parsed.Buffered(); n > 0 {
		// The body before was read together with the beginning of the head.
		ahead, _ := r.parsed.Peek(n)
		r.head.in = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(ahead)), r.head.in), lineBufferBytes)
		r.parsed.Reset(r.head)
	}
	r.head.within = true
}

// headReader returns the bytes of a head line by line, so that a malformed line is found as soon as it
// is there and nothing behind the head counts, and those of a body as they come.
type headReader struct {
	in *bufio.Reader
	// within is set in a head, and partial within a line of it.
	within, partial bool
	// line is the part of the current line that has not been returned yet; it is in the buffer of in.
	line []byte
	// bytes and lines count all heads.
	bytes, lines int
	// err is the bound that was met, nil for none.
	err error
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if len(h.line) == 0 && h.within {
		if err := h.readLine(); err != nil {
			return 0, err
		}
	}
	if len(h.line) > 0 {
		n := copy(p, h.line)
		h.line = h.line[n:]
		return n, nil
	}
	return h.in.Read(p)
}

// readLine reads a line of a head, or the part of a long one that the buffer holds.
func (h *headReader) readLine() error {
	line, err := h.in.ReadSlice('\n')
	if len(line) == 0 {
		return err
	}
	h.bytes += len(line)
	whole := line[len(line)-1] == '\n'
	if whole {
		h.lines++
	}
	switch {
	case h.bytes > HeadBytes:
		h.err = &Error{KindHead, HeadBytes}
	case h.lines > HeadFields:
		h.err = &Error{KindFields, HeadFields}
	}
	if h.err != nil {
		return h.err
	}
	if whole && !h.partial && len(bytes.TrimRight(line, "\r\n")) == 0 {
		h.within = false
	}
	h.line, h.partial = line, !whole
	return nil
}

// ShortText returns a text from a peer, cut to a length that a log line or a message may quote.
func ShortText(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}

// ShortError returns an error with a text of bounded length that wraps err, whose text may quote what a peer sent.
func ShortError(err error) error {
	if len(err.Error()) <= maxQuotedBytes {
		return err
	}
	return &quoted{err}
}

// quoted is an error whose text is cut.
type quoted struct{ err error }

func (q *quoted) Error() string { return ShortText(q.err.Error()) }

// Unwrap returns the whole error.
func (q *quoted) Unwrap() error { return q.err }
