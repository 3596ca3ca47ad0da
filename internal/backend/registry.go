package backend

import (
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

// forgetAfter is how long an entry remembers a server that went elsewhere.
const forgetAfter = 30 * time.Second

type heardServer struct {
	announcement *schema.Announcement
	at           time.Time
	// fresh is set when the leader has not been told of the announcement, and
	// altered when more than its sequence changed since the leader was told.
	fresh   bool
	altered bool
}

// Registry holds the latest announcement of each server that announces itself to
// this entry. All methods are safe from any goroutine.
type Registry struct {
	mu      sync.Mutex
	servers map[string]*heardServer
	// kick holds one token while something waits that should not wait for the
	// next regular report.
	kick chan struct{}
}

// NewRegistry returns an empty Heard.
func NewRegistry() *Registry {
	return &Registry{servers: map[string]*heardServer{}, kick: make(chan struct{}, 1)}
}

// ReportDue returns a channel that holds a token when an arrival, a change or a
// leaving waits to be reported.
func (h *Registry) ReportDue() <-chan struct{} { return h.kick }

// Record remembers an announcement. It returns false for one that is older than
// what was heard: announcements can overtake each other.
func (h *Registry) Record(a *schema.Announcement, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := a.GetServer().GetName()
	old := h.servers[name]
	if old != nil && isOlder(a, old.announcement) {
		return false
	}
	altered := old == nil || old.altered || !sameContent(a, old.announcement)
	h.servers[name] = &heardServer{announcement: a, at: now, fresh: true, altered: altered}
	if altered {
		select {
		case h.kick <- struct{}{}:
		default:
		}
	}
	return true
}

func isOlder(a, b *schema.Announcement) bool {
	if a.GetServer().GetIncarnation() != b.GetServer().GetIncarnation() {
		return a.GetServer().GetIncarnation() < b.GetServer().GetIncarnation()
	}
	return a.GetSequence() < b.GetSequence()
}

func sameContent(a, b *schema.Announcement) bool {
	x := proto.Clone(a).(*schema.Announcement)
	x.Sequence, x.Outstanding = b.GetSequence(), b.GetOutstanding()
	x.AgeMs = b.GetAgeMs()
	return proto.Equal(x, b)
}

// Unreported returns what the leader should be told, oldest news last. A server
// that only gave a sign of life is sent without its content.
func (h *Registry) Unreported(now time.Time) []*schema.Announcement {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*schema.Announcement
	for _, name := range slices.Sorted(maps.Keys(h.servers)) {
		s := h.servers[name]
		if now.Sub(s.at) > forgetAfter {
			delete(h.servers, name)
			continue
		}
		if !s.fresh {
			continue
		}
		a := &schema.Announcement{
			Server:   &schema.Server{Name: name, Incarnation: s.announcement.GetServer().GetIncarnation()},
			Sequence: s.announcement.GetSequence(), Outstanding: s.announcement.GetOutstanding(),
		}
		if s.altered {
			a = proto.Clone(s.announcement).(*schema.Announcement)
		}
		a.AgeMs = now.Sub(s.at).Milliseconds()
		out = append(out, a)
	}
	return out
}

// MarkReported takes note that a leader knows what Unreported returned. A leader
// that is new to this entry must be told everything: see Forget.
func (h *Registry) MarkReported(sent []*schema.Announcement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range sent {
		s := h.servers[a.GetServer().GetName()]
		if s != nil && s.announcement.GetSequence() == a.GetSequence() &&
			s.announcement.GetServer().GetIncarnation() == a.GetServer().GetIncarnation() {
			s.fresh, s.altered = false, false
		}
	}
}

// MarkAllUnreported makes everything unreported, for a leader that knows nothing yet.
func (h *Registry) MarkAllUnreported() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		s.fresh, s.altered = true, true
	}
}

// Leaving reports whether the server said to this entry, under an incarnation,
// that it is leaving.
func (h *Registry) Leaving(server string, incarnation uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.servers[server]
	return s != nil && s.announcement.GetServer().GetIncarnation() == incarnation &&
		s.announcement.GetServer().GetLeaving()
}

// Len returns the number of servers heard of late.
func (h *Registry) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.servers)
}
