// Package ledger is the replicated state: customers, models, adapters, plans,
// backend servers, reservations and claims. Ledger is the state machine of
// the replicated log. Replica is a copy that follows it by revision.
//
// A revision is a log index. A record has the revision of its last change.
package ledger
