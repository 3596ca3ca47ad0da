package relay

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds the size of one event; typical events have at most some
// hundred bytes.
const maxEventBytes = 1 << 20

// ErrPartialEvent reports a stream that ended inside an event. It wraps ErrInterrupted: the
// server broke the stream off.
var ErrPartialEvent = errors.Newf("the stream ended inside an event: %w", ErrInterrupted)

// EventReader splits a stream into server-sent events, each with the blank line
// that ends it.
type EventReader struct {
	in  io.Reader
	buf []byte
	// buf[start:end] holds the bytes read but not yet returned.
	start, end int
	err        error
}

// NewEventReader returns an EventReader that reads from in.
func NewEventReader(in io.Reader) *EventReader { return &EventReader{in: in, buf: make([]byte, 4<<10)} }

// Next returns all complete events that are available, blocking until there is
// at least one. The bytes are valid until the next call. It returns io.EOF at the
// regular end of the stream, and ErrPartialEvent if the stream ends inside an
// event.
func (e *EventReader) Next() ([]byte, error) {
	for {
		if i := completeEventsLen(e.buf[e.start:e.end]); i > 0 {
			out := e.buf[e.start : e.start+i]
			e.start += i
			return out, nil
		}
		if e.err != nil {
			if errors.Is(e.err, io.EOF) && e.start < e.end {
				return nil, ErrPartialEvent
			}
			return nil, e.err
		}
		if err := e.fill(); err != nil {
			return nil, err
		}
	}
}

func (e *EventReader) fill() error {
	if e.start > 0 {
		copy(e.buf, e.buf[e.start:e.end])
		e.end -= e.start
		e.start = 0
	}
	if e.end == len(e.buf) {
		if len(e.buf) >= maxEventBytes {
			return errors.Newf("an event of over %d bytes: %w", maxEventBytes, ErrInterrupted)
		}
		e.buf = append(e.buf, make([]byte, len(e.buf))...)
	}
	n, err := e.in.Read(e.buf[e.end:])
	e.end += n
	e.err = err
	return nil
}

// completeEventsLen returns the length of the complete events at the head of b:
// all up to and including the last blank line.
func completeEventsLen(b []byte) int {
	n := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		n = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		n = max(n, i+4)
	}
	return n
}

// EventIDs returns the first and the last id of complete events; ok is false if
// there is no id, or one that is not a number.
func EventIDs(events []byte) (first, last int64, ok bool) {
	first = -1
	for _, line := range bytes.Split(events, []byte("\n")) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return 0, 0, false
		}
		if first < 0 {
			first = id
		}
		last = id
	}
	return first, last, first >= 0
}
