// Package memory divides the memory that bodies of requests and responses may take among those that
// hold them.
package memory

import (
	"cmp"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// LargeEventsDivisor is the inverse of the part of the memory for bodies that large events of streams may take in
// addition.
const LargeEventsDivisor = 4

// FreeBytes is what each body may take beside the budget: the descriptors of a process limit their number, and
// short requests must not be refused for long ones.
const FreeBytes = 8 << 10

// DefaultBytes is the size of the budget of a process whose memory is not limited.
const DefaultBytes = 128 << 20

// Config configures a Budget.
type Config struct {
	// Bytes is the size of the budget; 0 means DefaultBytes.
	Bytes int64
}

// Budget is the memory for the bodies of all requests and responses of a process. It is safe for
// concurrent use.
type Budget struct {
	limit int64
	// used is at most limit; most is its greatest value.
	used, most atomic.Int64
	// denied counts the times that there was not enough.
	denied atomic.Int64
}

// NewBudget returns a Budget of which nothing is taken.
func NewBudget(cfg Config) *Budget { return &Budget{limit: cmp.Or(cfg.Bytes, DefaultBytes)} }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Most returns the most bytes that were taken at any time.
func (b *Budget) Most() int64 { return b.most.Load() }

// Denied returns how often there was not enough.
func (b *Budget) Denied() int64 { return b.denied.Load() }

// RegisterGauges registers the gauges of a budget with a function that takes a name, a help text and what to read.
func (b *Budget) RegisterGauges(register func(name, help string, read func() float64)) {
	register("buffer_bytes", "Memory that bodies of requests and responses take.", func() float64 { return float64(b.Used()) })
	register("buffer_bytes_most", "Most memory that bodies of requests and responses have taken at a time.", func() float64 { return float64(b.Most()) })
	register("buffer_bytes_limit", "Memory that bodies of requests and responses may take.", func() float64 { return float64(b.Limit()) })
	register("buffer_denied", "Times that a body found no memory.", func() float64 { return float64(b.Denied()) })
}

// take reserves n bytes, and returns false if there are fewer.
func (b *Budget) take(n int64) bool {
	for {
		used := b.used.Load()
		if used+n > b.limit {
			b.denied.Add(1)
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			b.recordMost(used + n)
			return true
		}
	}
}

func (b *Budget) recordMost(used int64) {
	for {
		most := b.most.Load()
		if used <= most || b.most.CompareAndSwap(most, used) {
			return
		}
	}
}

// NewShare returns a Share that has taken nothing.
func (b *Budget) NewShare() *Share { return &Share{budget: b} }

// Share is the part of a budget that one body takes. It is for use by one goroutine.
type Share struct {
	budget *Budget
	bytes  int64
}

// Release returns what was taken: the body must not be held any longer.
func (s *Share) Release() {
	s.budget.used.Add(-s.bytes)
	s.bytes = 0
}

// Resize takes or returns as much as makes what is taken n bytes, and returns false if there is not enough.
func (s *Share) Resize(n int64) bool {
	if n <= FreeBytes {
		s.Release()
		return true
	}
	s.shrink(n)
	return s.grow(n)
}

// grow takes as much as is missing to n bytes, and returns false if there is not enough.
func (s *Share) grow(n int64) bool {
	if n <= max(s.bytes, FreeBytes) {
		return true
	}
	if !s.budget.take(n - s.bytes) {
		return false
	}
	s.bytes = n
	return true
}

const (
	// minBufferBytes is the size of the first buffer of a body of unknown length, and maxFirstBufferBytes
	// bounds that of one of stated length: memory is taken for bytes that arrive.
	minBufferBytes      = 512
	maxFirstBufferBytes = FreeBytes
)

// Read reads a body until it ends, until it has limit bytes, or until the budget has no more: ended is
// set at its end alone. length is the stated length, negative if it is unknown.
func (s *Share) Read(in io.Reader, length, limit int64) (data []byte, ended bool, err error) {
	size := int64(minBufferBytes)
	if length >= 0 {
		// The end is read with one byte of room.
		limit = min(limit, length+1)
		size = maxFirstBufferBytes
	}
	size = min(size, limit)
	if !s.grow(size) {
		return nil, false, nil
	}
	data = make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			size = min(2*int64(cap(data)), limit)
			if size == int64(cap(data)) {
				return data, false, nil
			}
			// Both buffers are held while one is copied into the other.
			if size > FreeBytes && !s.grow(size+int64(cap(data))) {
				return data, false, nil
			}
			data = append(make([]byte, 0, size), data...)
			s.shrink(size)
		}
		n, err := in.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, true, nil
		case err != nil:
			return data, false, errors.Newf("read body: %w", err)
		}
	}
}

// shrink returns what was taken beyond n bytes.
func (s *Share) shrink(n int64) {
	if n < s.bytes {
		s.budget.used.Add(n - s.bytes)
		s.bytes = n
	}
}
