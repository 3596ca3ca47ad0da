package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/relay"
)

// brokeOff has the end of a server looked into at which an attempt broke off. What the
// caller's leaving, the time's end or this entry broke off says nothing about the server;
// one that leaves ends anyhow, whatever it runs; and a request that has just run to its end
// elsewhere has not ended this one.
func (x *exchange) brokeOff(s *server, err error) {
	if !errors.Is(err, relay.ErrBroken) || x.paid || x.ctx.Err() != nil || !x.g.fleet.takesWork(s) {
		return
	}
	if x.g.completed.Lately(x.asRepeated()) {
		return
	}
	x.g.inquest.BrokeOff(s.id, s.address, x.suspectKey())
}

// asRepeated is what stays the same when the caller repeats the request.
func (x *exchange) asRepeated() quarantine.Request {
	return quarantine.Request{
		Method: x.r.Method, Host: x.r.Host, Target: x.r.RequestURI, Caller: x.call.Caller, Body: x.body,
	}
}

// suspectKey returns the request's key.
func (x *exchange) suspectKey() quarantine.Key {
	if x.key == (quarantine.Key{}) {
		x.key = x.asRepeated().Key()
	}
	return x.key
}

// heldBack refuses a request at once that is known to end the servers that run it. Its
// caller would have the answer that it had before, or none, and whatever ran beside it
// would break off. It is looked at before each attempt: the word may come while it waits,
// or from its own last attempt.
func (x *exchange) heldBack() bool {
	left, held := x.quarantined()
	if held {
		x.giveUp(OutcomeHeldBack, left)
	}
	return held
}

// quarantined returns for how long the request is held back, and whether it is.
func (x *exchange) quarantined() (time.Duration, bool) {
	if !x.suspect() {
		return 0, false
	}
	left, held := x.g.book.Held(x.suspectKey())
	if held && x.g.completed.Lately(x.asRepeated()) {
		// Others have met servers that ended; here it has run to its end.
		x.clear()
		return 0, false
	}
	return left, held
}

// suspect reports whether the request may be under suspicion. For most it costs no digest
// of the body.
func (x *exchange) suspect() bool {
	return !x.g.book.Empty() && x.g.book.Suspects(x.asRepeated().Hint())
}

// ranWhole notes that a server lived through the request.
func (x *exchange) ranWhole() {
	x.g.completed.Note(x.asRepeated())
	if x.suspect() {
		x.clear()
	}
}

// clear notes, and tells, that the request does not end servers.
func (x *exchange) clear() {
	if x.g.book.Clear(x.suspectKey()) {
		x.g.speakSoon()
	}
}

// accuse notes that a server ended under requests, and tells the control host at once: the
// next repeat comes to any entry.
func (g *Gateway) accuse(server string, keys []quarantine.Key) {
	for _, key := range keys {
		g.book.Accuse(key, server)
	}
	g.speakSoon()
}
