package ledger

import (
	"encoding/hex"

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

// rememberSuspects records requests that end their servers. After all hosts lost power
// nobody else would know them, and each would end as many servers again.
func (l *Ledger) rememberSuspects(q *schema.RememberSuspects) *schema.Result {
	for _, k := range q.GetSuspects() {
		l.putChanged(&schema.Record{
			Key: SuspectKey(k.GetSuspect().GetKey()), Value: &schema.Record_KnownSuspect{KnownSuspect: k},
		})
	}
	for _, key := range q.GetForgotten() {
		l.drop(SuspectKey(key))
	}
	return accepted()
}
