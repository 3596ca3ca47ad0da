package cooldown

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fennelyard/internal/incarnation"
)

const (
	// spreadShare is the share of a wait by which hosts extend it at random, so that they do not all
	// return to a server at the same time. returnInterval is the least mean time between the returns
	// of two hosts, and maxSpread the longest extension.
	spreadShare    = 1.0 / 8
	returnInterval = 10 * time.Millisecond
	maxSpread      = 5 * time.Second
	// trialInterval is the time between the requests to a server after a cooldown, until it has
	// responded to one of them without stating another cooldown. All requests that wait for the end
	// of the cooldown would otherwise be sent at once.
	trialInterval = 250 * time.Millisecond
	// trialPeriod is how long after a cooldown requests are sent one at a time if no response
	// arrives: other signs show by then whether the server works.
	trialPeriod = 10 * time.Second
)

// Config configures a Table. All fields are required.
type Config struct {
	// Hosts returns the number of hosts that send requests to the same servers.
	Hosts func() int
	// Random returns a number in [0, 1).
	Random func() float64
}

// Table holds the cooldowns that servers have asked this host for, by the servers' incarnations. A
// cooldown binds the host that received the response, and ends only by time: a later response that
// states a shorter one, or none, does not end it. It is kept apart from what the host knows of the
// servers otherwise, as a server may vanish from that and return. All methods are safe for
// concurrent use.
type Table struct {
	cfg Config
	// size is the number of servers, for a check without the lock: most of the time there is none.
	size atomic.Int64

	mu sync.Mutex
	// servers is keyed by the server's id, as an incarnation that the host does not know yet may have
	// sent a response; guarded by mu.
	servers map[string]*server
	// nextExpiry is when cooldowns that no longer bind are removed next; guarded by mu.
	nextExpiry time.Time
}

// server holds the cooldowns of the incarnations of one server.
type server struct {
	// cooldowns are those that are not over, or after which requests are sent one at a time.
	cooldowns []cooldown
	// nextTrial is when the next request may be sent after a cooldown.
	nextTrial time.Time
}

// cooldown is a time for which a server wants no requests.
type cooldown struct {
	// key is the incarnation to which the rejected request was sent, at sentAt.
	key    string
	sentAt time.Time
	until  time.Time
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table { return &Table{cfg: cfg, servers: map[string]*server{}} }

// Observe records that a response to a request that was sent to an incarnation at sentAt stated a
// wait. It returns when the cooldown ends; the zero time if the wait is 0.
func (t *Table) Observe(key string, wait time.Duration, sentAt, now time.Time) time.Time {
	if wait <= 0 {
		return time.Time{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	id := incarnation.ServerOf(key)
	s := t.servers[id]
	if s == nil {
		s = &server{}
		t.servers[id] = s
		t.size.Store(int64(len(t.servers)))
	}
	until := now.Add(Extend(wait, t.cfg.Hosts(), t.cfg.Random()))
	s.cooldowns = slices.DeleteFunc(s.cooldowns, func(c cooldown) bool {
		return c.key == key && !c.sentAt.After(sentAt) && !c.until.After(until)
	})
	s.cooldowns = append(s.cooldowns, cooldown{key, sentAt, until})
	return until
}

// Extend returns a wait extended by a random number in [0, 1), so that hosts which are asked for the
// same one do not return at the same time.
func Extend(wait time.Duration, hosts int, random float64) time.Duration {
	spread := max(time.Duration(spreadShare*float64(wait)), time.Duration(hosts)*returnInterval)
	return wait + time.Duration(random*float64(min(spread, wait, maxSpread)))
}

// binds reports whether a cooldown binds requests to an incarnation, which may have stated it.
func (c *cooldown) binds(key string) bool { return incarnation.MayHaveReceived(key, c.key, c.sentAt) }

// until returns when the last cooldown of an incarnation ends; the zero time if it has none.
func (s *server) until(key string) time.Time {
	var until time.Time
	for _, c := range s.cooldowns {
		if c.until.After(until) && c.binds(key) {
			until = c.until
		}
	}
	return until
}

// Remaining returns the rest of an incarnation's cooldown; 0: it has none.
func (t *Table) Remaining(key string, now time.Time) time.Duration {
	if t.size.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[incarnation.ServerOf(key)]; s != nil {
		return max(s.until(key).Sub(now), 0)
	}
	return 0
}

// AvailableIn returns how long the next request to an incarnation has to wait, for its cooldown or
// for the response to the first request after that; 0: it may be sent.
func (t *Table) AvailableIn(key string, now time.Time) time.Duration {
	if t.size.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !now.Before(t.nextExpiry) {
		// A server that has gone never responds, and each choice would go through its cooldown.
		t.expire(now)
	}
	return t.availableIn(t.servers[incarnation.ServerOf(key)], key, now)
}

func (t *Table) availableIn(s *server, key string, now time.Time) time.Duration {
	if s == nil {
		return 0
	}
	until := s.until(key)
	if until.IsZero() || now.Sub(until) > trialPeriod {
		return 0
	}
	return max(until.Sub(now), s.nextTrial.Sub(now), 0)
}

// Admit reports whether a request may be sent to an incarnation now, and takes its place.
func (t *Table) Admit(key string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[incarnation.ServerOf(key)]
	if s == nil {
		return true
	}
	if t.availableIn(s, key, now) > 0 {
		return false
	}
	s.nextTrial = now.Add(trialInterval)
	return true
}

// Responded records a response without a cooldown to a request that was sent to an incarnation at
// sentAt. After a cooldown it shows that the server takes requests again; Responded reports whether
// this is new.
func (t *Table) Responded(key string, sentAt time.Time) bool {
	if t.size.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	id := incarnation.ServerOf(key)
	s := t.servers[id]
	if s == nil {
		return false
	}
	before := len(s.cooldowns)
	s.cooldowns = slices.DeleteFunc(s.cooldowns, func(c cooldown) bool { return c.binds(key) && !c.until.After(sentAt) })
	changed := len(s.cooldowns) < before
	t.removeIfUnused(id)
	return changed
}

// Count returns the number of servers with a cooldown.
func (t *Table) Count(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.servers {
		if slices.ContainsFunc(s.cooldowns, func(c cooldown) bool { return c.until.After(now) }) {
			n++
		}
	}
	return n
}

// expire removes what no longer binds; the caller holds mu.
func (t *Table) expire(now time.Time) {
	t.nextExpiry = now.Add(trialPeriod)
	for id, s := range t.servers {
		s.cooldowns = slices.DeleteFunc(s.cooldowns, func(c cooldown) bool { return now.Sub(c.until) > trialPeriod })
		t.removeIfUnused(id)
	}
}

// removeIfUnused removes a server without cooldowns; the caller holds mu.
func (t *Table) removeIfUnused(id string) {
	if len(t.servers[id].cooldowns) == 0 {
		delete(t.servers, id)
	}
	t.size.Store(int64(len(t.servers)))
}
