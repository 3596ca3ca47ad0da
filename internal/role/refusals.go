package role

import (
	"sync"
	"time"
)

// refusalLogInterval is the shortest time between two log lines about refusals for the same
// reason: a faulty sender would otherwise fill the log. All refusals are counted.
const refusalLogInterval = time.Second

// refusalLogLimiter limits the log lines of refusals. The zero value is ready to use.
type refusalLogLimiter struct {
	mu sync.Mutex
	// lastLogged is when a refusal was last logged, by kind and reason; guarded by mu. The
	// keys come from this program, not from the sender, so their number is bounded.
	lastLogged map[refusalKey]time.Time
}

type refusalKey struct{ kind, reason string }

// allow reports whether a refusal is to be logged now.
func (r *refusalLogLimiter) allow(key refusalKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastLogged == nil {
		r.lastLogged = map[refusalKey]time.Time{}
	}
	now := time.Now()
	if last, seen := r.lastLogged[key]; seen && now.Sub(last) < refusalLogInterval {
		return false
	}
	r.lastLogged[key] = now
	return true
}

// RecordRefusal logs and counts a message to the control host that was refused. The kind of
// message and the reason must be from small fixed sets.
func (c *Control) RecordRefusal(kind, reason string, err error) {
	c.cfg.Metrics.RefusedMessage(kind, reason)
	if c.refusalLog.allow(refusalKey{kind, reason}) {
		c.cfg.Log.Info("refused", "what", kind, "reason", reason, "error", err.Error())
	}
}

// RecordSkippedItems logs and counts the items of a server's lists that could not be
// parsed; the other items are used.
func (c *Control) RecordSkippedItems(server string, items int) {
	const kind, reason = "announcement", "entries"
	c.cfg.Metrics.RefusedMessage(kind, reason)
	if c.refusalLog.allow(refusalKey{kind, reason}) {
		c.cfg.Log.Info("entries left out", "server", server, "entries", items)
	}
}
