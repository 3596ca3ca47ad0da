package roster

import (
	"time"

	"fennelyard/internal/incarnation"
)

// lateEnd is for how long after a server's new start was first heard a word that the
// server ends, which names no start, is taken for the start before, if that one was
// leaving: such words come seconds late, and are sent again where the answer was lost.
const lateEnd = 5 * time.Second

// start is the start of a server that is believed to live.
type start struct {
	// id is the incarnation's key.
	id string
	// before is the leaving start that this one came after, "": none, and since is when
	// this one was first heard.
	before string
	since  time.Time
}

// succeeds decides between two starts of one server. A later one has ended the earlier
// by being there, and counts from its first word: it holds nothing of what the earlier
// one held, and every request that counts on it is refused. A word of an earlier start
// is late and undoes nothing for as long as the later one speaks; several may come at
// once, as a partition heals. If the later one is silent the server's clock was set back
// between the two, and the start with the smaller time is the later.
func (r *Roster) succeeds(a Announcement) bool {
	name := incarnation.Parse(a.ID)
	h := r.starts[name.Server]
	switch {
	case h == nil:
		r.starts[name.Server] = &start{id: a.ID, since: r.cfg.Now()}
		return true
	case h.id == a.ID:
		return true
	case name.StartMs == 0:
		// Not the server's own: see LacksStart.
		return false
	case incarnation.Parse(h.id).StartMs > name.StartMs:
		if r.speaks(h.id) {
			r.cfg.Log.Info("announcement of an earlier start", "server", a.ID, "present", h.id, "sequence", a.Sequence)
			return false
		}
		r.endStart(h, a.ID, "an earlier start of the server is heard, and no later one")
		return true
	}
	r.endStart(h, a.ID, "the server has started again")
	return true
}

// LacksStartTime reports whether a key names no start of a server that tells its starts: the
// word that it came with is somebody else's.
func (r *Roster) LacksStartTime(id string) bool {
	name := incarnation.Parse(id)
	if name.StartMs != 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.starts[name.Server]
	return h != nil && incarnation.Parse(h.id).StartMs != 0
}

// endStart puts a start in the place of the one believed to live.
func (r *Roster) endStart(h *start, id, reason string) {
	old := h.id
	*h = start{id: id, since: r.cfg.Now()}
	if r.cfg.Departed(old) {
		h.before = old
	}
	if s := r.servers[old]; s != nil {
		r.gone(s, reason)
	}
}

// EndingIncarnation returns the key of the start that a server means that says that it ends, as
// far as is known: the server's id where none is.
func (r *Roster) EndingIncarnation(server string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.starts[server]
	switch {
	case h == nil:
		return incarnation.Name{Server: server}.String()
	case h.before != "" && r.cfg.Now().Sub(h.since) < lateEnd:
		return h.before
	}
	return h.id
}
