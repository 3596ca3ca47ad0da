// Package asynclog writes log lines without blocking the caller. Lines go through a
// buffer of fixed size to one goroutine that writes them. While the output is
// blocked, lines are dropped and counted, lines about requests before lines about
// changes of observed state. The count is logged once the buffer is empty again.
package asynclog

import (
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

const (
	// bufferLines and bufferBytes are the size of the buffer: some seconds of an entry's lines. The bytes bound lines
	// that quote what others sent.
	bufferLines = 4096
	bufferBytes = 8 << 20
	// stateChangeReserve is the part of the buffer that is reserved for state changes, so that lines about requests
	// do not displace those that explain why the requests failed.
	stateChangeReserve = 0.25
	// Lines are collected for batchDelay, or up to about maxBatchBytes, and written with
	// one system call: at hundreds of lines per second, a system call for each line
	// would cost a small host more than all other logging work. A process that is killed
	// loses the lines of up to batchDelay.
	batchDelay    = 10 * time.Millisecond
	maxBatchBytes = 64 << 10
	// flushTimeout bounds how long Close waits for the output.
	flushTimeout = 200 * time.Millisecond
)

// Writer is an asynchronous writer of log lines. All methods are safe for concurrent
// use.
type Writer struct {
	out    io.Writer
	buffer chan []byte
	// bytes are those of the lines in the buffer, or more while a line is added.
	bytes   atomic.Int64
	dropped atomic.Int64
	// reported is the number of dropped lines that have been reported; used by run only.
	reported int64
	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{}
}

// New starts a Writer that writes to out. Close must be called to stop it.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, buffer: make(chan []byte, bufferLines), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run()
	}()
	return w
}

func (w *Writer) run() {
	for {
		select {
		case line := <-w.buffer:
			w.write(w.batch(w.taken(line)))
		case <-w.stop:
			w.flush()
			w.reportDropped()
			return
		}
		if len(w.buffer) == 0 {
			w.reportDropped()
		}
	}
}

// reportDropped writes how many lines have been dropped since the last report, if any.
func (w *Writer) reportDropped() {
	if n := w.dropped.Load(); n > w.reported {
		w.write(fmt.Appendf(nil, "{\"time\":%q,\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n",
			time.Now().Format(time.RFC3339Nano), n-w.reported))
		w.reported = n
	}
}

// batch waits for batchDelay, or until the Writer is closed, and returns the given line
// together with those received until then, up to about maxBatchBytes.
func (w *Writer) batch(lines []byte) []byte {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.stop:
	}
	for len(lines) < maxBatchBytes {
		select {
		case line := <-w.buffer:
			lines = append(lines, w.taken(line)...)
		default:
			return lines
		}
	}
	return lines
}

// taken returns a line that has been taken from the buffer.
func (w *Writer) taken(line []byte) []byte {
	w.bytes.Add(-int64(len(line)))
	return line
}

// write ignores an error, as there is no other output to report it to.
func (w *Writer) write(line []byte) { _, _ = w.out.Write(line) }

// flush writes the lines that are left in the buffer.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.buffer:
			w.write(w.taken(line))
		default:
			return
		}
	}
}

// Close writes the buffered lines and stops the Writer. It waits for the output for at
// most flushTimeout. Further calls do nothing but wait.
func (w *Writer) Close() {
	w.stopOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// classWriter writes the lines of one class, requests or state changes.
type classWriter struct {
	w *Writer
	// part is the part of the buffer that the class may fill.
	part float64
}

// Write implements io.Writer. It never fails and never blocks; a line that finds no
// space is dropped.
func (c classWriter) Write(p []byte) (int, error) {
	bytes := c.w.bytes.Add(int64(len(p)))
	if float64(len(c.w.buffer)) >= c.part*bufferLines || float64(bytes) > c.part*bufferBytes {
		c.drop(p)
		return len(p), nil
	}
	select {
	case c.w.buffer <- append([]byte(nil), p...):
	default:
		c.drop(p)
	}
	return len(p), nil
}

func (c classWriter) drop(p []byte) {
	c.w.bytes.Add(-int64(len(p)))
	c.w.dropped.Add(1)
}

// StateChanges returns a logger for changes of observed state. Lines above the verbosity
// are omitted.
func (w *Writer) StateChanges(verbosity int) logr.Logger { return w.logger(1, verbosity) }

// Requests returns a logger for lines about requests. Lines above the verbosity are
// omitted.
func (w *Writer) Requests(verbosity int) logr.Logger {
	return w.logger(1-stateChangeReserve, verbosity)
}

func (w *Writer) logger(part float64, verbosity int) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(classWriter{w, part}, &slog.HandlerOptions{Level: slog.Level(-verbosity)}))
}

// ErrorText returns an error's text for a log line, or "" if err is nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
