package relay

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEvent bounds one event of a stream in bytes; the largest seen are some
// hundred.
const maxEvent = 1 << 20

// ErrPartialEvent says that a stream ended inside an event.
var ErrPartialEvent = errors.New("the stream ended inside an event")

// EventReader splits a stream into events, with the blank line that ends each.
type EventReader struct {
	in  io.Reader
	buf []byte
	// from and to bound what is read and not returned yet in buf.
	from, to int
	err      error
}

// NewEventReader returns the events of a body.
func NewEventReader(in io.Reader) *EventReader { return &EventReader{in: in, buf: make([]byte, 4<<10)} }

// Next returns all complete events that are there, at least one, waiting for it
// if none is. The bytes are valid until the next call. At a regular end it
// returns io.EOF, inside an event ErrPartialEvent.
func (e *EventReader) Next() ([]byte, error) {
	for {
		if i := lastEnd(e.buf[e.from:e.to]); i > 0 {
			out := e.buf[e.from : e.from+i]
			e.from += i
			return out, nil
		}
		if e.err != nil {
			if errors.Is(e.err, io.EOF) && e.from < e.to {
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
	if e.from > 0 {
		copy(e.buf, e.buf[e.from:e.to])
		e.to -= e.from
		e.from = 0
	}
	if e.to == len(e.buf) {
		if len(e.buf) >= maxEvent {
			return errors.Newf("an event of over %d bytes: %w", maxEvent, ErrInterrupted)
		}
		e.buf = append(e.buf, make([]byte, len(e.buf))...)
	}
	n, err := e.in.Read(e.buf[e.to:])
	e.to += n
	e.err = err
	return nil
}

// lastEnd returns the length of the part that ends with the last blank line.
func lastEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// EventIDs returns the first and the last id among complete events; ok is false
// where an event has no id that is a number.
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
