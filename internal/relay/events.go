package relay

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/bound"
)

// ErrPartialEvent reports a stream that ended inside an event. It wraps ErrInterrupted: the
// server broke the stream off.
var ErrPartialEvent = errors.Newf("the stream ended inside an event: %w", ErrInterrupted)

// minEventBufferBytes is the size of a buffer for events; typical events have at most some hundred
// bytes.
const minEventBufferBytes = 4 << 10

// EventReaderConfig configures an EventReader.
type EventReaderConfig struct {
	// In is the stream.
	In io.Reader
	// Reserve, if set, waits for the memory of an event that is larger than bound.SmallEventBytes, and
	// returns a function that gives it back. Nothing is read meanwhile.
	Reserve func() (release func(), err error)
}

// EventReader splits a stream into server-sent events, each with the blank line
// that ends it. It is for use by one goroutine.
type EventReader struct {
	cfg EventReaderConfig
	buf []byte
	// buf[start:end] holds the bytes read but not yet returned, of which buf[start:scanned] contains no
	// blank line.
	start, scanned, end int
	err                 error
	// release gives back the memory of a large event, nil without one.
	release func()
}

// NewEventReader returns an EventReader. Close must be called.
func NewEventReader(cfg EventReaderConfig) *EventReader {
	return &EventReader{cfg: cfg, buf: make([]byte, minEventBufferBytes)}
}

// Close gives back what the reader has reserved.
func (e *EventReader) Close() {
	if e.release != nil {
		e.release()
		e.release = nil
	}
}

// Next returns all complete events that are available, blocking until there is
// at least one. The bytes are valid until the next call. It returns io.EOF at the
// regular end of the stream, and ErrPartialEvent if the stream ends inside an
// event.
func (e *EventReader) Next() ([]byte, error) {
	for {
		if i := completeEventsLen(e.buf[e.start:e.end], e.scanned-e.start); i > 0 {
			out := e.buf[e.start : e.start+i]
			e.start += i
			e.scanned = e.start
			return out, nil
		}
		e.scanned = e.end
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
		e.moveToStart()
	}
	if e.end == len(e.buf) {
		if err := e.grow(); err != nil {
			return err
		}
	}
	n, err := e.cfg.In.Read(e.buf[e.end:])
	e.end += n
	e.err = err
	return nil
}

// moveToStart moves the bytes that were not returned to the start of the buffer, and to a small one after
// a large event.
func (e *EventReader) moveToStart() {
	rest := e.buf[e.start:e.end]
	if e.release != nil && len(rest) < bound.SmallEventBytes {
		e.buf = append(make([]byte, 0, bound.SmallEventBytes), rest...)[:bound.SmallEventBytes]
		e.Close()
	} else {
		copy(e.buf, rest)
	}
	e.end, e.scanned, e.start = len(rest), e.scanned-e.start, 0
}

// grow doubles the buffer.
func (e *EventReader) grow() error {
	if len(e.buf) >= bound.EventBytes {
		return interrupted(&bound.Error{Kind: bound.KindEvent, Limit: bound.EventBytes})
	}
	if len(e.buf) >= bound.SmallEventBytes && e.release == nil && e.cfg.Reserve != nil {
		release, err := e.cfg.Reserve()
		if err != nil {
			return errors.Newf("await memory for an event: %v: %w", err, ErrInterrupted)
		}
		e.release = release
	}
	e.buf = append(e.buf, make([]byte, len(e.buf))...)
	return nil
}

// blankLineBytes is the length of the longest blank line with the line feed before it.
const blankLineBytes = 3

// completeEventsLen returns the length of the complete events at the head of b: all up to and including the last
// blank line. The first scanned bytes are known to contain none.
func completeEventsLen(b []byte, scanned int) int {
	from := max(scanned-blankLineBytes+1, 0)
	n := 0
	if i := bytes.LastIndex(b[from:], []byte("\n\n")); i >= 0 {
		n = from + i + 2
	}
	if i := bytes.LastIndex(b[from:], []byte("\n\r\n")); i >= 0 {
		n = max(n, from+i+3)
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
