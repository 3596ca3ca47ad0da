package role

import (
	"sync"
	"time"
)

const (
	// leaderlessFor is how long a control host that has lost the leader goes on telling
	// entries what it last knew. An election is over by then, and entries stay where they
	// are; a host that is cut off sends them to others soon enough for a change that is
	// acknowledged meanwhile to be in force everywhere in its two seconds.
	leaderlessFor = 1800 * time.Millisecond
	// lagFor is how long a host may take to apply what the leader's log had applied when it
	// last spoke. On a slow disk it takes longer; its entries then go to others, which have
	// a changed configuration in time.
	lagFor = time.Second
)

// lag tells whether a control host's log lags. The zero value is ready for use.
type lag struct {
	mu sync.Mutex
	// owed is what the log must have applied by owedSince plus lagFor; 0: nothing. Guarded
	// by mu.
	owed      uint64
	owedSince time.Time
}

// holds reports whether a host lags that has applied so much of the log, of which the
// leader had applied so much when it last spoke.
func (l *lag) holds(applied, leaders uint64, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if applied >= l.owed {
		l.owed = 0
	}
	if l.owed == 0 && applied < leaders {
		l.owed, l.owedSince = leaders, now
	}
	return l.owed != 0 && now.Sub(l.owedSince) > lagFor
}

// lags reports whether this host's log lags so much that it tells entries nothing.
func (c *Control) lags() bool {
	_, revision := c.mirror.LeaderLastSeen()
	return c.lag.holds(c.applied(), revision, time.Now())
}

// announceGrace is for how much longer a host without messages of the leader takes servers'
// announcements for it, while it knows from the group which host leads. It is less than the
// silence after which a server counts as gone.
const announceGrace = 1200 * time.Millisecond

// takesAnnouncements reports whether announcements that this host takes reach the leader, or
// will once this host follows it.
func (c *Control) takesAnnouncements() bool {
	if c.inTouch() {
		return true
	}
	heard, _ := c.mirror.LeaderLastSeen()
	if heard.Before(c.began) {
		heard = c.began
	}
	return c.group.Status().LeaderHost != "" && time.Since(heard) < leaderlessFor+announceGrace
}

// inTouch reports whether entries may rely on what this host tells them. After its log
// has lagged the leader must have said that it waits for this host again: a change that
// is acknowledged without it would be unknown to entries that come here.
func (c *Control) inTouch() bool {
	heard, _ := c.mirror.LeaderLastSeen()
	return !heard.IsZero() && time.Since(heard) < leaderlessFor && !c.mirror.MarkedLagging() && !c.lags()
}
