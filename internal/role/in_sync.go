package role

import (
	"context"
	"sync"
	"time"

	"fennelyard/internal/schema"
)

const (
	// leaderLossTolerance is how long a control host that has lost the leader continues to
	// send entries its last known state. An election is over by then, and entries stay
	// subscribed; a host that is cut off redirects them early enough for a change
	// acknowledged meanwhile to be in force everywhere within 2 s.
	leaderLossTolerance = 1800 * time.Millisecond
	// lagTolerance is how long a host may take to apply what the leader had applied at its
	// last update. On a slow disk it takes longer; its entries then subscribe to other
	// hosts, which have a changed configuration in time.
	lagTolerance = time.Second
)

// lagDetector detects that a control host's log lags. The zero value is ready to use.
type lagDetector struct {
	mu sync.Mutex
	// target is the log index that must be applied by targetSince plus lagTolerance, or 0
	// while the host does not lag. Both are guarded by mu.
	target      uint64
	targetSince time.Time
}

// exceeded reports whether a host has lagged for more than lagTolerance, given its applied
// index and the leader's applied index at the leader's last update.
func (l *lagDetector) exceeded(applied, leaderApplied uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if applied >= l.target {
		l.target = 0
	}
	if l.target == 0 && applied < leaderApplied {
		l.target, l.targetSince = leaderApplied, now
	}
	return l.target != 0 && now.Sub(l.targetSince) > lagTolerance
}

// logLags reports whether this host's log lags so much that it sends no updates to entries.
func (c *Control) logLags() bool {
	_, revision := c.mirror.LeaderLastSeen()
	return c.logLag.exceeded(c.appliedIndex(), revision, time.Now())
}

// announcementGrace is how much longer a host without updates from the leader accepts
// announcements for it, while its group member knows which host leads. It is shorter than
// the silence after which a server is considered gone.
const announcementGrace = 1200 * time.Millisecond

// relaysAnnouncements reports whether announcements accepted by this host reach the leader,
// or will once this host follows it.
func (c *Control) relaysAnnouncements() bool {
	if c.inSync() {
		return true
	}
	lastSeen, _ := c.mirror.LeaderLastSeen()
	if lastSeen.Before(c.startedAt) {
		lastSeen = c.startedAt
	}
	return c.group.Status().LeaderHost != "" && time.Since(lastSeen) < leaderLossTolerance+announcementGrace
}

// inSync reports whether entries may rely on updates from this host. After its log has
// lagged, the leader must have confirmed that it waits for this host's acknowledgements
// again: a change acknowledged without this host would be unknown to entries that subscribe
// here.
func (c *Control) inSync() bool {
	lastSeen, _ := c.mirror.LeaderLastSeen()
	return !lastSeen.IsZero() && time.Since(lastSeen) < leaderLossTolerance && !c.mirror.MarkedLagging() && !c.logLags()
}

// inSyncFrom reports whether an entry that knows a leader's term may rely on updates from this host.
func (c *Control) inSyncFrom(term uint64) bool {
	return c.inSync() && c.mirror.Position().Term >= term
}

// searchGrace is how long this host follows a new leader before entries move here that search for a
// host: those of all other hosts that are not cut off from the leader are in sync by then.
const searchGrace = 500 * time.Millisecond

// handleInSync replies to an entry that searches for a host.
func (c *Control) handleInSync(_ context.Context, q *schema.InSyncRequest) (*schema.InSyncReply, error) {
	return &schema.InSyncReply{InSync: c.inSyncFrom(q.GetTerm()) && time.Since(c.mirror.TermSince()) >= searchGrace}, nil
}
