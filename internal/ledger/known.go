package ledger

import "fennelyard/internal/schema"

const knownServerPrefix = "known-server/"

// KnownServerKey returns the key of the record of a backend server's incarnation.
func KnownServerKey(server string) string { return knownServerPrefix + server }

// KnownServers returns the recorded backend servers in unspecified order.
func (r *Records) KnownServers() []*schema.KnownServer {
	return valuesOf(r, (*schema.Record).GetKnownServer)
}

// rememberServers records the running backend servers, which announce themselves about once
// a second. Without the records, the first leader after a power loss of all hosts would have
// to wait that long for the last of them, and all waiting callers would be sent to the first
// server.
func (l *Ledger) rememberServers(q *schema.RememberServers) *schema.Result {
	for _, k := range q.GetServers() {
		l.putIfChanged(&schema.Record{Key: KnownServerKey(k.GetId()), Value: &schema.Record_KnownServer{KnownServer: k}})
	}
	for _, id := range q.GetForgotten() {
		l.drop(KnownServerKey(id))
	}
	return accepted()
}
