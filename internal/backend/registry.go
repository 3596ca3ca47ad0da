package backend

import (
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

// announcementTTL is the time after which an entry removes a server, or its departure, that no longer
// announces itself here.
const announcementTTL = 30 * time.Second

type announcedServer struct {
	announcement *schema.Announcement
	receivedAt   time.Time
	// unreported is set until the announcement is reported to the leader; changed is
	// set if more than its sequence and load changed since the last report.
	unreported bool
	changed    bool
}

// Registry holds the latest announcement of each server that announces itself to
// this entry. All methods are safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	servers map[string]*announcedServer
	// left are the latest incarnations that announced that they leave, by server name.
	left map[string]departedIncarnation
	// reportDue has a token while a change should be reported before the next
	// regular report.
	reportDue chan struct{}
}

// departedIncarnation is an incarnation of a server that announced that it leaves.
type departedIncarnation struct {
	incarnation uint64
	announcedAt time.Time
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{servers: map[string]*announcedServer{}, left: map[string]departedIncarnation{}, reportDue: make(chan struct{}, 1)}
}

// ReportDue returns a channel that has a token while a new, changed or leaving server
// should be reported immediately.
func (r *Registry) ReportDue() <-chan struct{} { return r.reportDue }

// Record records an announcement. It returns false for one that is older than the
// latest: announcements can arrive out of order.
func (r *Registry) Record(a *schema.Announcement, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := a.GetServer().GetName()
	old := r.servers[name]
	if old != nil && isOlder(a, old.announcement) {
		return false
	}
	switch incarnation := a.GetServer().GetIncarnation(); {
	case a.GetServer().GetLeaving():
		r.left[name] = departedIncarnation{incarnation, now}
	case r.left[name].incarnation == incarnation:
		// It stays after all.
		delete(r.left, name)
	}
	changed := old == nil || old.changed || !sameContent(a, old.announcement)
	r.servers[name] = &announcedServer{announcement: a, receivedAt: now, unreported: true, changed: changed}
	if changed {
		select {
		case r.reportDue <- struct{}{}:
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

// sameContent reports whether two announcements are equal except for their sequence,
// outstanding requests and age.
func sameContent(a, b *schema.Announcement) bool {
	c := proto.Clone(a).(*schema.Announcement)
	c.Sequence, c.Outstanding = b.GetSequence(), b.GetOutstanding()
	c.AgeMs = b.GetAgeMs()
	return proto.Equal(c, b)
}

// Unreported returns the announcements to report to the leader, sorted by server
// name. If only the sequence and load of a server changed, its announcement contains
// only these and identifies the server. Expired announcements are removed.
func (r *Registry) Unreported(now time.Time) []*schema.Announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.left, func(_ string, d departedIncarnation) bool { return now.Sub(d.announcedAt) > announcementTTL })
	var out []*schema.Announcement
	for _, name := range slices.Sorted(maps.Keys(r.servers)) {
		s := r.servers[name]
		if now.Sub(s.receivedAt) > announcementTTL {
			delete(r.servers, name)
			continue
		}
		if !s.unreported {
			continue
		}
		a := &schema.Announcement{
			Server:   &schema.Server{Name: name, Incarnation: s.announcement.GetServer().GetIncarnation()},
			Sequence: s.announcement.GetSequence(), Outstanding: s.announcement.GetOutstanding(),
		}
		if s.changed {
			a = proto.Clone(s.announcement).(*schema.Announcement)
		}
		a.AgeMs = now.Sub(s.receivedAt).Milliseconds()
		out = append(out, a)
	}
	return out
}

// MarkReported marks announcements that Unreported returned as reported to the leader.
// A new leader needs all of them: see MarkAllUnreported.
func (r *Registry) MarkReported(sent []*schema.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range sent {
		s := r.servers[a.GetServer().GetName()]
		if s != nil && s.announcement.GetSequence() == a.GetSequence() &&
			s.announcement.GetServer().GetIncarnation() == a.GetServer().GetIncarnation() {
			s.unreported, s.changed = false, false
		}
	}
}

// MarkAllUnreported marks all announcements as unreported and changed, for a new leader.
func (r *Registry) MarkAllUnreported() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.servers {
		s.unreported, s.changed = true, true
	}
}

// Leaving reports whether an incarnation of a server announced to this entry that it is leaving, also if a
// newer one has announced itself since.
func (r *Registry) Leaving(server string, incarnation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.left[server]
	return ok && d.incarnation == incarnation
}

// Len returns the number of servers in the registry.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.servers)
}
