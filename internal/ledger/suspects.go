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
		s.AgeMs += max(now.UnixMilli()-k.GetAtMs(), 0)
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
	ended := map[string]bool{}
	for _, e := range old.GetSuspect().GetEnded() {
		ended[e.GetServer()] = e.GetCleared()
	}
	changed := false
	for _, e := range k.GetSuspect().GetEnded() {
		cleared, known := ended[e.GetServer()]
		changed = changed || !known || e.GetCleared() && !cleared
		ended[e.GetServer()] = cleared || e.GetCleared()
	}
	if !changed {
		return old
	}
	out := &schema.KnownSuspect{
		Suspect: &schema.Suspect{Key: k.GetSuspect().GetKey(), AgeMs: k.GetSuspect().GetAgeMs()}, AtMs: k.GetAtMs(),
	}
	for _, server := range slices.Sorted(maps.Keys(ended)) {
		out.Suspect.Ended = append(out.Suspect.Ended, &schema.EndedServer{Server: server, Cleared: ended[server]})
	}
	return out
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
