package role

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/ledger"
)

// encodedChanges holds what entries lack, encoded, for the present revision. A
// configuration of 1,500 routes is 200 KB: encoded for each of 68 entries it kept the
// leader busy for longer than an election takes, and callers were without a
// configuration for three seconds after the hosts had lost power. The zero value is
// ready for use.
type encodedChanges struct {
	mu sync.Mutex
	// revision is the ledger's, and after holds the words that lead to it, by the
	// revision from which they do; guarded by mu.
	revision uint64
	after    map[uint64][]byte
}

// since returns what an entry at a revision lacks, nil where nothing concerns it, and
// the revision that it has then.
func (e *encodedChanges) since(l *ledger.Ledger, after uint64) ([]byte, uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var present uint64
	l.View(func(h ledger.Status, _ *ledger.Records) { present = h.Index })
	if e.after == nil || present != e.revision {
		e.revision, e.after = present, map[uint64][]byte{}
	}
	if data, known := e.after[after]; known {
		return data, present
	}
	c := forEntries(l.Since(after))
	var data []byte
	if after == 0 || len(c.GetRecords()) > 0 || c.GetWhole() {
		// Marshal does not fail on a message that was decoded or built here.
		data, _ = proto.Marshal(c)
	}
	if c.GetRevision() == present {
		e.after[after] = data
	}
	return data, c.GetRevision()
}
