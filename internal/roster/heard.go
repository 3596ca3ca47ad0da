package roster

import (
	"slices"
	"sync"
	"time"

	"fennelyard/internal/schema"
)

// rememberFor is for how long a control host remembers a server that it no longer hears:
// longer than servers pause, so that who speaks on is told in a few bytes.
const rememberFor = time.Minute

// AnnouncementForwarder holds what backend servers that take new work have announced to a control host,
// until the leader is told. A server that says what it has said before is told as its key
// and a number. Were all announcements sent to the leader, 245 servers would be 200 calls
// a second to it, 0.04 of a core, while eight other hosts have next to nothing to do. All
// methods are safe from any goroutine.
type AnnouncementForwarder struct {
	now func() time.Time

	mu sync.Mutex
	// servers are by the incarnation's key; guarded by mu.
	servers map[string]*heardServer
}

type heardServer struct {
	last Announcement
	at   time.Time
	// due is set while the leader has not been told of the last announcement, and told
	// once it knows what it says.
	due, told bool
}

// NewAnnouncementForwarder returns a Heard that has heard nobody.
func NewAnnouncementForwarder(now func() time.Time) *AnnouncementForwarder {
	return &AnnouncementForwarder{now: now, servers: map[string]*heardServer{}}
}

// Add takes in the announcement of a server that takes new work. It reports whether
// it says something new.
func (h *AnnouncementForwarder) Add(a Announcement) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.servers[a.ID]
	if s != nil && a.Sequence <= s.last.Sequence {
		return false
	}
	if s == nil {
		s = &heardServer{}
		h.servers[a.ID] = s
	}
	s.told = s.told && a.saysAs(&s.last)
	s.last, s.at, s.due = a, h.now(), true
	return !s.told
}

// saysAs reports whether two announcements differ by their numbers at most.
func (a *Announcement) saysAs(b *Announcement) bool {
	return a.Pool == b.Pool && a.Address == b.Address && a.DataCentre == b.DataCentre && a.Slots == b.Slots &&
		sameModels(a.Loaded, b.Loaded) && slices.Equal(a.InMemory, b.InMemory) && slices.Equal(a.OnDisk, b.OnDisk)
}

// Reset has everything told anew that is not older than a server's time between two
// announcements: another leader knows nothing of it.
func (h *AnnouncementForwarder) Reset(every time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		s.told = false
		s.due = h.now().Sub(s.at) <= every
	}
}

// TakePending returns what the leader has not been told.
func (h *AnnouncementForwarder) TakePending() []*schema.HeardServer {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	var out []*schema.HeardServer
	for id, s := range h.servers {
		if !s.due {
			if now.Sub(s.at) > rememberFor {
				delete(h.servers, id)
			}
			continue
		}
		word := &schema.HeardServer{Id: id, Sequence: s.last.Sequence, AgeMs: now.Sub(s.at).Milliseconds()}
		if !s.told {
			word.Word = s.last.word()
		}
		s.due, s.told = false, true
		out = append(out, word)
	}
	return out
}

func (a *Announcement) word() *schema.ServerWord {
	return &schema.ServerWord{
		Pool: a.Pool, Address: a.Address, DataCentre: a.DataCentre, Slots: uint32(a.Slots),
		Held: a.Loaded, InMemory: a.InMemory, OnDisk: a.OnDisk,
	}
}

// AnnouncementReader is the other end of a Heard, at the leader: it makes whole announcements of
// what one control host tells on one stream. It belongs to one goroutine. The zero value
// is ready for use.
type AnnouncementReader struct {
	// last are the servers' announcements as they were told last, by incarnation.
	last map[string]Announcement
	// swept is when those were last forgotten that are told no more.
	swept time.Time
}

// Read returns the announcement that a word of the host stands for; false where it says
// only that a server speaks on which was never told of.
func (r *AnnouncementReader) Read(h *schema.HeardServer, now time.Time) (Announcement, bool) {
	r.sweep(now)
	a, known := r.last[h.GetId()]
	if w := h.GetWord(); w != nil {
		a = Announcement{
			ID: h.GetId(), Pool: w.GetPool(), Address: w.GetAddress(), DataCentre: w.GetDataCentre(), Slots: int(w.GetSlots()),
			Loaded: w.GetHeld(), InMemory: w.GetInMemory(), OnDisk: w.GetOnDisk(),
		}
	} else if !known {
		return Announcement{}, false
	}
	a.Sequence, a.Received = h.GetSequence(), now.Add(-time.Duration(h.GetAgeMs())*time.Millisecond)
	if r.last == nil {
		r.last = map[string]Announcement{}
	}
	r.last[a.ID] = a
	return a, true
}

// sweep forgets servers later than the host does, which then tells of them anew.
func (r *AnnouncementReader) sweep(now time.Time) {
	if now.Sub(r.swept) < rememberFor {
		return
	}
	r.swept = now
	for id, a := range r.last {
		if now.Sub(a.Received) > 2*rememberFor {
			delete(r.last, id)
		}
	}
}
