package quarantine

import (
	"slices"
	"sort"
)

// minOutdatedChanges is the number of outdated changes up to which a log isn't compacted.
const minOutdatedChanges = 256

// changeLog lists records in the order of their last changes, so that a reader looks only at what
// has changed since its last call.
type changeLog struct {
	// number returns the number of a record's last change of the kind that this log lists, 0 for none.
	number func(*record) uint64
	// changes are by ascending number. Those of a record but the last one are outdated.
	changes []loggedChange
	// live is the number of changes that are not outdated.
	live int
}

type loggedChange struct {
	number uint64
	record *record
}

// append adds the last change of a record, whose last change before had another number, 0 for none.
func (l *changeLog) append(r *record, before uint64) {
	if before == 0 {
		l.live++
	}
	l.changes = append(l.changes, loggedChange{l.number(r), r})
	if len(l.changes) > 2*l.live+minOutdatedChanges {
		l.changes = slices.DeleteFunc(l.changes, l.outdated)
	}
}

// remove records that a record no longer has a change.
func (l *changeLog) remove(before uint64) {
	if before != 0 {
		l.live--
	}
}

func (l *changeLog) outdated(c loggedChange) bool { return l.number(c.record) != c.number }

// since returns up to limit records with changes after a number for which selects returns true, in
// the order of their changes, the number up to which they are complete, and how many records it
// looked at. The number is last if nothing is left out.
func (l *changeLog) since(after, last uint64, limit int, selects func(*record) bool) (out []*record, to uint64, examined int) {
	first := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].number > after })
	for _, c := range l.changes[first:] {
		examined++
		if l.outdated(c) || !selects(c.record) {
			continue
		}
		if out = append(out, c.record); len(out) == limit {
			return out, c.number, examined
		}
	}
	return out, last, examined
}
