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

// KnownSuspects returns the requests that end their servers as a leader recorded them, in
// no order.
func (r *Records) KnownSuspects() []*schema.KnownSuspect {
	return valuesOf(r, (*schema.Record).GetKnownSuspect)
}

// Suspects returns the recorded suspects with their ages as of now, for whoever has just
// come to know the records.
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

// rememberSuspects records requests that end their servers. After all hosts lost power
// nobody else would know them, and each would end as many servers again.
func (l *Ledger) rememberSuspects(q *schema.RememberSuspects) *schema.Result {
	for _, k := range q.GetSuspects() {
		key := SuspectKey(k.GetSuspect().GetKey())
		l.putChanged(&schema.Record{
			Key: key, Value: &schema.Record_KnownSuspect{KnownSuspect: joined(l.records.Record(key).GetKnownSuspect(), k)},
		})
	}
	for _, key := range q.GetForgotten() {
		l.drop(SuspectKey(key))
	}
	l.dropSuspects()
	return accepted()
}

// joined is what two hosts know of one request together: each may have seen servers end
// that the other has not. Without news it is what was recorded.
func joined(old, k *schema.KnownSuspect) *schema.KnownSuspect {
	if old == nil {
		return k
	}
	ended := map[string]bool{}
	for _, e := range old.GetSuspect().GetEnded() {
		ended[e.GetServer()] = e.GetCleared()
	}
	news := false
	for _, e := range k.GetSuspect().GetEnded() {
		cleared, known := ended[e.GetServer()]
		news = news || !known || e.GetCleared() && !cleared
		ended[e.GetServer()] = cleared || e.GetCleared()
	}
	if !news {
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

// suspectsMost bounds the records: a MB of them.
const suspectsMost = 4096

// dropSuspects drops the suspects of least weight where there are too many: those under
// which the fewest servers ended, and of these the oldest. An eighth goes at once.
func (l *Ledger) dropSuspects() {
	all := l.records.KnownSuspects()
	if len(all) <= suspectsMost {
		return
	}
	slices.SortFunc(all, func(a, b *schema.KnownSuspect) int {
		return cmp.Or(cmp.Compare(len(a.GetSuspect().GetEnded()), len(b.GetSuspect().GetEnded())),
			cmp.Compare(a.GetAtMs(), b.GetAtMs()), bytes.Compare(a.GetSuspect().GetKey(), b.GetSuspect().GetKey()))
	})
	for _, k := range all[:len(all)-suspectsMost*7/8] {
		l.drop(SuspectKey(k.GetSuspect().GetKey()))
	}
}
