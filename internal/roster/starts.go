package roster

import (
	"time"

	"fennelyard/internal/incarnation"
)

// lateEndWindow is how long after the first announcement of a server's new incarnation an
// end report without a start time is attributed to the previous one, if that was leaving.
// Such reports arrive seconds late, and are sent again where the reply was lost.
const lateEndWindow = 5 * time.Second

// currentIncarnation is the incarnation of a server that is assumed to be running.
type currentIncarnation struct {
	// id is the key of the incarnation.
	id string
	// predecessor is the leaving incarnation that this one replaced, "" for none, and
	// firstReceived is when this one was first announced.
	predecessor   string
	firstReceived time.Time
}

// acceptsIncarnation decides between two incarnations of one server. A later one proves
// that the earlier one has ended, and is accepted with its first announcement: the server
// has none of the earlier incarnation's models, and every request that relies on these is
// refused. An announcement of an earlier incarnation is late and has no effect as long as
// the later one announces itself; several may arrive at once when a partition heals. If the
// later one is silent, the server's clock was set back between the two, and the incarnation
// with the smaller start time is the later one.
func (r *Roster) acceptsIncarnation(a Announcement) bool {
	name := incarnation.Parse(a.ID)
	current := r.incarnations[name.Server]
	switch {
	case current == nil:
		r.incarnations[name.Server] = &currentIncarnation{id: a.ID, firstReceived: r.cfg.Now()}
		return true
	case current.id == a.ID:
		return true
	case name.StartMs == 0:
		// Not sent by the server itself: see LacksStartTime.
		return false
	case incarnation.Parse(current.id).StartMs > name.StartMs:
		if r.announcedRecently(current.id) {
			r.cfg.Log.Info("announcement of an earlier start", "server", a.ID, "present", current.id, "sequence", a.Sequence)
			return false
		}
		r.replaceIncarnation(current, a.ID, "an earlier start of the server announces itself, and no later one does")
		return true
	}
	r.replaceIncarnation(current, a.ID, "the server has started again")
	return true
}

// LacksStartTime reports whether a key has no start time although its server reports start
// times: the message with this key was not sent by that server.
func (r *Roster) LacksStartTime(id string) bool {
	name := incarnation.Parse(id)
	if name.StartMs != 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.incarnations[name.Server]
	return current != nil && incarnation.Parse(current.id).StartMs != 0
}

// replaceIncarnation sets the incarnation assumed to be running and marks the previous one
// as gone.
func (r *Roster) replaceIncarnation(current *currentIncarnation, id, reason string) {
	old := current.id
	*current = currentIncarnation{id: id, firstReceived: r.cfg.Now()}
	if r.cfg.Departed(old) {
		current.predecessor = old
	}
	if s := r.servers[old]; s != nil {
		r.markGone(s, reason)
	}
}

// EndingIncarnation returns the key of the incarnation that a server's end report without
// a start time refers to, as far as is known; the server's id if no incarnation is known.
func (r *Roster) EndingIncarnation(server string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.incarnations[server]
	switch {
	case current == nil:
		return incarnation.Name{Server: server}.String()
	case current.predecessor != "" && r.cfg.Now().Sub(current.firstReceived) < lateEndWindow:
		return current.predecessor
	}
	return current.id
}
