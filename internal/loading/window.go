package loading

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// windowMost is how many orders are under way at the most, and windowFirst how many a new
	// leader begins with: it has a fleet to hear in its first second.
	windowMost  = 64
	windowFirst = 16
	// windowLeast is left where none leaves: the first that does opens the window again.
	windowLeast = 4
	// windowOpens is by how much an order that left opens the window.
	windowOpens = 0.5
)

// window bounds how many orders are under way, by what became of the ones before. A leader
// that has no time to tell its holders that it leads has its orders come back unsent; given
// again as fast as they come, they take what time it has, and for seconds none leaves. It
// closes by half at most once while a holder waits for the leader's word, as all that wait for
// the same word fail together. The zero value lets nothing through.
type window struct {
	size  float64
	under int
	// closed is when it was last closed by half.
	closed time.Time
}

func (w *window) open() bool { return float64(w.under) < w.size }

// ended notes what became of an order that was under way.
func (w *window) ended(err error, now time.Time) {
	w.under--
	switch {
	case err == nil:
		w.size = min(w.size+windowOpens, windowMost)
	case errors.Is(err, ErrNotSent) && now.Sub(w.closed) >= confirmWait:
		w.size, w.closed = max(w.size/2, windowLeast), now
	}
}
