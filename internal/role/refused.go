package role

import (
	"sync"
	"time"
)

// refusedEvery is how often words that are refused for the same reason are logged: a
// program that writes nothing else would fill the log. All are counted.
const refusedEvery = time.Second

// refusals tell which refusals were logged lately. The zero value is ready for use.
type refusals struct {
	mu sync.Mutex
	// logged is when a refusal was last logged, by what and why; guarded by mu. Its
	// keys are the program's own, not the sender's.
	logged map[refusedFor]time.Time
}

type refusedFor struct{ what, reason string }

// due reports whether a refusal is to be logged now.
func (r *refusals) due(why refusedFor) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.logged == nil {
		r.logged = map[refusedFor]time.Time{}
	}
	now := time.Now()
	if last, seen := r.logged[why]; seen && now.Sub(last) < refusedEvery {
		return false
	}
	r.logged[why] = now
	return true
}

// RecordRefusal logs and counts what a caller of the control host sent and could not be
// taken. what and reason are few.
func (c *Control) RecordRefusal(what, reason string, err error) {
	c.cfg.Metrics.Refused(what, reason)
	if c.refusals.due(refusedFor{what, reason}) {
		c.cfg.Log.Info("refused", "what", what, "reason", reason, "error", err.Error())
	}
}

// RecordSkippedEntries logs and counts entries of a server's lists that could not be read; the others
// hold.
func (c *Control) RecordSkippedEntries(server string, entries int) {
	const what, reason = "announcement", "entries"
	c.cfg.Metrics.Refused(what, reason)
	if c.refusals.due(refusedFor{what, reason}) {
		c.cfg.Log.Info("entries left out", "server", server, "entries", entries)
	}
}
