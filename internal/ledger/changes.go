package ledger

import (
	"sort"

	"fennelyard/internal/schema"
)

// maxChanges is how many changes are kept as deltas. A follower that missed more receives
// the whole state.
const maxChanges = 16384

type change struct {
	revision uint64
	key      string
}

// changeLog records which keys changed at which revision.
type changeLog struct {
	// changes is ordered by revision.
	changes []change
	// floor is the highest revision whose changes may be missing.
	floor uint64
}

func (c *changeLog) add(revision uint64, key string) {
	c.changes = append(c.changes, change{revision, key})
	if len(c.changes) < 2*maxChanges {
		return
	}
	c.floor = c.changes[len(c.changes)-maxChanges-1].revision
	c.changes = append([]change(nil), c.changes[len(c.changes)-maxChanges:]...)
}

// since returns the keys that changed after a revision, each once. It returns false if some
// of these changes have been dropped.
func (c *changeLog) since(after uint64) ([]string, bool) {
	if after < c.floor {
		return nil, false
	}
	from := sort.Search(len(c.changes), func(i int) bool { return c.changes[i].revision > after })
	seen := map[string]bool{}
	var keys []string
	for _, ch := range c.changes[from:] {
		if !seen[ch.key] {
			seen[ch.key] = true
			keys = append(keys, ch.key)
		}
	}
	return keys, true
}

// changesSince returns the changes that a follower at a revision lacks.
func changesSince(r *Records, changes *changeLog, revision, after uint64) *schema.Changes {
	out := &schema.Changes{Revision: revision}
	keys, ok := changes.since(after)
	if !ok {
		out.Whole = true
		out.Records = r.All()
		return out
	}
	for _, k := range keys {
		rec := r.Record(k)
		if rec == nil {
			rec = &schema.Record{Key: k, Revision: revision, Deleted: true}
		}
		out.Records = append(out.Records, rec)
	}
	return out
}
