package quarantine

import (
	"time"

	"fennelyard/internal/schema"
)

const (
	// tellRate is how many requests a second one host tells another at most: 6 KB, what the
	// words about servers and loads leave of a host's 18 KB for control. Whoever repeats a
	// thousand different harmful requests a second is held back a little later.
	tellRate = 75.0
	// tellMost is how many are told at once, after as many seconds in which fewer were.
	tellMost = 256
)

// Reader reads a part of a book for one other host, each change once. It belongs to one
// goroutine.
type Reader struct {
	book *SuspectSet
	part Part
	// at is the change up to which the other host has been told.
	at uint64
	// allowed is how many requests may be told as of asked.
	allowed float64
	asked   time.Time
}

// Reader returns one that begins with all that is known.
func (b *SuspectSet) Reader(part Part) *Reader {
	return &Reader{book: b, part: part, allowed: tellMost, asked: b.cfg.Now()}
}

// Next returns what has changed since it was last called, as far as may be told now; the
// rest comes with later calls.
func (r *Reader) Next() []*schema.Suspect {
	if r.book.Empty() {
		return nil
	}
	now := r.book.cfg.Now()
	r.allowed = min(r.allowed+tellRate*now.Sub(r.asked).Seconds(), tellMost)
	r.asked = now
	list, to := r.book.since(r.at, r.part, int(r.allowed))
	r.at = to
	r.allowed -= float64(len(list))
	return list
}
