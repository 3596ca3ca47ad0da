package consensus

import (
	"sort"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

// memoryLog is the in-memory log of the entries after the latest compaction.
type memoryLog struct {
	// entries[i].Index is offset+1+i.
	entries []*schema.LogEntry
	// offset is the index of the last compacted entry; offsetTerm is its term.
	offset     uint64
	offsetTerm uint64
	// commit never decreases and is at most last().
	commit uint64
	// applied is at most commit.
	applied uint64
	// unstable is the first index that is not yet stored.
	unstable uint64
	// memberships are sorted by index; the first one is that of the snapshot.
	memberships []indexedMembership
}

type indexedMembership struct {
	index      uint64
	membership *schema.Membership
}

func newMemoryLog(s Saved) *memoryLog {
	l := &memoryLog{
		entries:    s.Entries,
		offset:     s.Snapshot.GetIndex(),
		offsetTerm: s.Snapshot.GetTerm(),
		commit:     max(s.HardState.GetCommit(), s.Snapshot.GetIndex()),
		applied:    s.Snapshot.GetIndex(),
	}
	l.commit = min(l.commit, l.last())
	l.unstable = l.last() + 1
	l.memberships = []indexedMembership{{l.offset, s.Snapshot.GetMembership()}}
	for _, e := range l.entries {
		l.recordMembership(e)
	}
	return l
}

func (l *memoryLog) last() uint64 {
	return l.offset + uint64(len(l.entries))
}

func (l *memoryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of an entry, or false if the entry is compacted or beyond
// the end of the log.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].GetTerm(), true
}

// slice returns the entries from lo to hi, both included, limited to maxBytes but
// at least one entry.
func (l *memoryLog) slice(lo, hi uint64, maxBytes int) []*schema.LogEntry {
	if lo > hi || lo <= l.offset {
		return nil
	}
	hi = min(hi, l.last())
	var out []*schema.LogEntry
	size := 0
	for i := lo; i <= hi; i++ {
		e := l.entries[i-l.offset-1]
		size += len(e.GetData()) + entryOverheadBytes
		if len(out) > 0 && size > maxBytes {
			break
		}
		out = append(out, e)
	}
	return out
}

// add appends the leader's own entry.
func (l *memoryLog) add(e *schema.LogEntry) {
	l.entries = append(l.entries, e)
	l.recordMembership(e)
}

// merge adds entries received from the leader and drops conflicting ones. It
// returns the lowest index that was dropped or added, or 0.
func (l *memoryLog) merge(entries []*schema.LogEntry) uint64 {
	for i, e := range entries {
		t, ok := l.term(e.GetIndex())
		if ok && t == e.GetTerm() {
			continue
		}
		if ok {
			l.truncate(e.GetIndex())
		}
		for _, n := range entries[i:] {
			l.add(n)
		}
		return e.GetIndex()
	}
	return 0
}

// truncate drops the entries from index from on.
func (l *memoryLog) truncate(from uint64) {
	l.entries = l.entries[: from-l.offset-1 : from-l.offset-1]
	l.unstable = min(l.unstable, from)
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// compact removes the entries up to an applied index.
func (l *memoryLog) compact(index uint64) {
	t, ok := l.term(index)
	if !ok || index <= l.offset {
		return
	}
	m := l.membershipAt(index)
	remaining := make([]*schema.LogEntry, l.last()-index)
	copy(remaining, l.entries[index-l.offset:])
	l.entries = remaining
	l.offset, l.offsetTerm = index, t
	l.setFirstMembership(index, m)
}

// restore replaces the whole log with a snapshot.
func (l *memoryLog) restore(s *schema.SnapshotState) {
	l.entries = nil
	l.offset, l.offsetTerm = s.GetIndex(), s.GetTerm()
	l.commit, l.applied = l.offset, l.offset
	l.unstable = l.offset + 1
	l.memberships = []indexedMembership{{l.offset, s.GetMembership()}}
}

func (l *memoryLog) membership() *schema.Membership {
	return l.memberships[len(l.memberships)-1].membership
}

func (l *memoryLog) membershipIndex() uint64 {
	return l.memberships[len(l.memberships)-1].index
}

func (l *memoryLog) membershipAt(index uint64) *schema.Membership {
	i := sort.Search(len(l.memberships), func(i int) bool {
		return l.memberships[i].index > index
	})
	return l.memberships[max(i-1, 0)].membership
}

func (l *memoryLog) setFirstMembership(index uint64, m *schema.Membership) {
	remaining := []indexedMembership{{index, m}}
	for _, p := range l.memberships {
		if p.index > index {
			remaining = append(remaining, p)
		}
	}
	l.memberships = remaining
}

func (l *memoryLog) recordMembership(e *schema.LogEntry) {
	if e.GetKind() != schema.EntryKind_ENTRY_KIND_MEMBERSHIP {
		return
	}
	m := &schema.Membership{}
	// Damaged entries are not received, and checksums are verified when entries are read
	// from disk.
	if err := proto.Unmarshal(e.GetData(), m); err != nil {
		return
	}
	l.memberships = append(l.memberships, indexedMembership{e.GetIndex(), m})
}
