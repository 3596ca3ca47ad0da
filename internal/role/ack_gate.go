package role

import (
	"sync"
	"time"
)

// maxWithholdTime bounds how long acknowledgements of configurations are withheld while
// entries that are not silent are missing them. An entry counts as silent after 1.2 s, and
// operators are guaranteed a response within 4 s.
const maxWithholdTime = 3 * time.Second

// ackGate withholds acknowledgements while entries are behind. Without it a leader
// acknowledged 1,480 new routes that none of 68 entries had, lost its leadership while it
// was sending the updates, and callers were refused on these routes 2.6 s later. The zero
// value is ready to use.
type ackGate struct {
	mu sync.Mutex
	// behindSince is when entries fell behind, or the zero time while none is; guarded by
	// mu.
	behindSince time.Time
}

// withhold records whether entries are behind, and reports whether to withhold the
// acknowledgement. An entry that reports but never applies a change must not block
// operators forever.
func (g *ackGate) withhold(ackErr error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ackErr == nil {
		g.behindSince = time.Time{}
		return false
	}
	if g.behindSince.IsZero() {
		g.behindSince = time.Now()
	}
	return time.Since(g.behindSince) < maxWithholdTime
}
