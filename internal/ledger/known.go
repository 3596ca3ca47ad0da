package ledger

import "fennelyard/internal/schema"

const knownPrefix = "known-server/"

// KnownServerKey returns the key of a backend server's incarnation.
func KnownServerKey(server string) string { return knownPrefix + server }

// KnownServers returns the backend servers that a leader recorded and none has
// forgotten, in no order.
func (r *Records) KnownServers() []*schema.KnownServer {
	return valuesOf(r, (*schema.Record).GetKnownServer)
}

// rememberServers records which backend servers there are. They announce themselves
// once in a second or so: after all hosts lost power, the next leader would hear of
// the last of them only then, and callers who waited would all go to the first.
func (l *Ledger) rememberServers(q *schema.RememberServers) *schema.Result {
	for _, k := range q.GetServers() {
		l.putChanged(&schema.Record{Key: KnownServerKey(k.GetId()), Value: &schema.Record_KnownServer{KnownServer: k}})
	}
	for _, id := range q.GetForgotten() {
		l.drop(KnownServerKey(id))
	}
	return accepted()
}
