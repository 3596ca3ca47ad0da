// Package asynclog writes log lines without ever making the caller wait. Lines go
// through a ring of fixed size to one writer; when the output stands still, lines
// are dropped and counted, those of requests before those about what a process
// believes.
package asynclog

import (
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const (
	// ringLines is the size of the ring: some seconds of an entry's lines, at
	// most a few MB.
	ringLines = 4096
	// kept is the part of the ring that only lines about beliefs may use, so that
	// requests do not push out why they failed.
	kept = ringLines / 4
	// gather is for how long lines are gathered that go out at once, and gatherBytes how many
	// bytes of them: where hundreds come in a second, a call of the system for each costs a
	// small host more than all that it says. A process that is killed loses as much.
	gather      = 10 * time.Millisecond
	gatherBytes = 64 << 10
	// flushWait bounds how long Close waits for the output.
	flushWait = 200 * time.Millisecond
)

// Writer takes lines. All methods are safe from any goroutine.
type Writer struct {
	out     io.Writer
	ring    chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// New starts a book that writes to out.
func New(out io.Writer) *Writer {
	b := &Writer{out: out, ring: make(chan []byte, ringLines), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		b.run()
	}()
	return b
}

func (b *Writer) run() {
	var told int64
	for {
		select {
		case line := <-b.ring:
			b.write(b.gathered(line))
		case <-b.stop:
			b.flush()
			return
		}
		if n := b.dropped.Load(); n > told && len(b.ring) == 0 {
			b.write(fmt.Appendf(nil, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n",
				time.Now().Format(time.RFC3339Nano), n-told))
			told = n
		}
	}
}

// gathered returns a line and those that come within a moment.
func (b *Writer) gathered(lines []byte) []byte {
	over := time.NewTimer(gather)
	defer over.Stop()
	select {
	case <-over.C:
	case <-b.stop:
	}
	for len(lines) < gatherBytes {
		select {
		case line := <-b.ring:
			lines = append(lines, line...)
		default:
			return lines
		}
	}
	return lines
}

// write passes over an error: there is no other place to report it to.
func (b *Writer) write(line []byte) { _, _ = b.out.Write(line) }

func (b *Writer) flush() {
	for {
		select {
		case line := <-b.ring:
			b.write(line)
		default:
			return
		}
	}
}

// Close writes what the ring holds, if the output takes it in time.
func (b *Writer) Close() {
	close(b.stop)
	select {
	case <-b.done:
	case <-time.After(flushWait):
	}
}

// Dropped returns the number of lines that were dropped.
func (b *Writer) Dropped() int64 { return b.dropped.Load() }

// writer is one class of lines.
type writer struct {
	b *Writer
	// free is how much of the ring must be free for a line of the class.
	free int
}

// Write implements io.Writer; it never fails and never waits.
func (w writer) Write(p []byte) (int, error) {
	if len(w.b.ring)+w.free >= ringLines {
		w.b.dropped.Add(1)
		return len(p), nil
	}
	select {
	case w.b.ring <- append([]byte(nil), p...):
	default:
		w.b.dropped.Add(1)
	}
	return len(p), nil
}

// StateChanges returns a logger for changes of what the process believes; lines
// above the verbosity are left out.
func (b *Writer) StateChanges(verbosity int) logr.Logger { return b.logger(0, verbosity) }

// Requests returns a logger for lines about requests.
func (b *Writer) Requests(verbosity int) logr.Logger { return b.logger(kept, verbosity) }

func (b *Writer) logger(free, verbosity int) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(writer{b, free}, &slog.HandlerOptions{Level: slog.Level(-verbosity)}))
}

// ErrorText returns an error's text for a log line, or "" without one.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
