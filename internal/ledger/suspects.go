package ledger

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

const suspectPrefix = "suspect/"

// SuspectKey returns the key of the record of a request that ends its servers.
func SuspectKey(key []byte) string { return suspectPrefix + hex.EncodeToString(key) }

// KnownSuspects returns the recorded requests that end their servers, in unspecified order.
func (r *Records) KnownSuspects() []*schema.KnownSuspect {
	return valuesOf(r, (*schema.Record).GetKnownSuspect)
}

// Suspects returns the recorded suspects with their ages as of now, for a host that has
// just loaded the records.
func (r *Records) Suspects(now time.Time) []*schema.Suspect {
	known := r.KnownSuspects()
	out := make([]*schema.Suspect, 0, len(known))
	for _, k := range known {
		s := proto.CloneOf(k.GetSuspect())
		// The clock of the host that recorded it may have been ahead.
		addAge(s, max(now.UnixMilli()-k.GetAtMs(), 0))
		out = append(out, s)
	}
	return out
}

// rememberSuspects records requests that end their servers. After a power loss of all hosts
// they would otherwise be unknown, and each would end as many servers again.
func (l *Ledger) rememberSuspects(q *schema.RememberSuspects) *schema.Result {
	for _, k := range q.GetSuspects() {
		key := SuspectKey(k.GetSuspect().GetKey())
		l.putIfChanged(&schema.Record{
			Key: key, Value: &schema.Record_KnownSuspect{KnownSuspect: mergeSuspects(l.records.Record(key).GetKnownSuspect(), k)},
		})
	}
	for _, key := range q.GetForgotten() {
		l.drop(SuspectKey(key))
	}
	l.evictSuspects()
	return accepted()
}

// mergeSuspects merges two hosts' records of one request: each may have seen servers end
// that the other has not. If k adds nothing, old is returned.
func mergeSuspects(old, k *schema.KnownSuspect) *schema.KnownSuspect {
	if old == nil {
		return k
	}
	ended := map[string]*schema.EndedServer{}
	aged := proto.CloneOf(old.GetSuspect())
	addAge(aged, max(k.GetAtMs()-old.GetAtMs(), 0))
	for _, e := range aged.GetEnded() {
		ended[e.GetServer()] = e
	}
	changed := false
	for _, e := range k.GetSuspect().GetEnded() {
		known := ended[e.GetServer()]
		if known == nil {
			ended[e.GetServer()], changed = e, true
			continue
		}
		cleared, weak := known.GetCleared() || e.GetCleared(), known.GetWeak() && e.GetWeak()
		changed = changed || cleared != known.GetCleared() || weak != known.GetWeak()
		known.Cleared, known.Weak = cleared, weak
	}
	if !changed {
		return old
	}
	s := k.GetSuspect()
	out := &schema.KnownSuspect{
		Suspect: &schema.Suspect{Key: s.GetKey(), AgeMs: s.GetAgeMs(), Scope: s.GetScope(), Depth: max(s.GetDepth(), aged.GetDepth())}, AtMs: k.GetAtMs(),
	}
	for _, server := range slices.Sorted(maps.Keys(ended)) {
		out.Suspect.Ended = append(out.Suspect.Ended, ended[server])
	}
	return out
}

// addAge adds a time in milliseconds to the ages of a suspect and its servers.
func addAge(s *schema.Suspect, ms int64) {
	s.AgeMs += ms
	for _, e := range s.GetEnded() {
		if e.GetAgeMs() > 0 {
			e.AgeMs += ms
		}
	}
}

// maxSuspects is the maximum number of records, about a MB.
const maxSuspects = 4096

// evictSuspects removes the suspects with the least evidence if there are too many: those
// under which the fewest servers ended, and of these the oldest. It removes an eighth at
// once.
func (l *Ledger) evictSuspects() {
	all := l.records.KnownSuspects()
	if len(all) <= maxSuspects {
		return
	}
	slices.SortFunc(all, func(a, b *schema.KnownSuspect) int {
		return cmp.Or(cmp.Compare(len(a.GetSuspect().GetEnded()), len(b.GetSuspect().GetEnded())),
			cmp.Compare(a.GetAtMs(), b.GetAtMs()), bytes.Compare(a.GetSuspect().GetKey(), b.GetSuspect().GetKey()))
	})
	for _, k := range all[:len(all)-maxSuspects*7/8] {
		l.drop(SuspectKey(k.GetSuspect().GetKey()))
	}
}
