package ledger

import (
	"sync"

	"fennelyard/internal/schema"
)

// Replica is an entry's copy of the records. All methods are safe for concurrent use.
type Replica struct {
	mu sync.RWMutex
	// revision never decreases.
	revision uint64
	records  *Records
	changed  chan struct{}
}

// NewReplica returns an empty copy at revision 0.
func NewReplica() *Replica {
	return &Replica{records: NewRecords(), changed: make(chan struct{})}
}

// Apply applies changes. It ignores changes up to an older revision than the copy's: a slow
// member of the control group must not revert an accepted configuration.
func (r *Replica) Apply(c *schema.Changes) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.GetRevision() < r.revision {
		return
	}
	if c.GetWhole() {
		r.records = NewRecords()
	}
	for _, rec := range c.GetRecords() {
		if old := r.records.Record(rec.GetKey()); old != nil && old.GetRevision() > rec.GetRevision() {
			continue
		}
		r.records.Put(rec)
	}
	r.revision = c.GetRevision()
	if len(c.GetRecords()) > 0 || c.GetWhole() {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// Revision returns the revision of the copy.
func (r *Replica) Revision() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}

// Changed returns a channel that is closed at the next change of a record.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// View calls f with the records under a read lock. f must neither retain their maps nor
// call the replica.
func (r *Replica) View(f func(*Records)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.records)
}
