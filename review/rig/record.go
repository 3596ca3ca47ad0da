package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record is the log of a case, with the time since its start. All methods are safe for
// concurrent use.
type record struct {
	start time.Time

	mu sync.Mutex
	// out is guarded by mu.
	out io.WriteCloser
}

func newRecord(file string) (*record, error) {
	out, err := os.Create(file)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &record{start: time.Now(), out: out}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Close()
}
