package quarantine

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"fennelyard/internal/relay"
)

// awaitMost bounds how long a repeat waits for what becomes known of the servers before it. A
// process that has ended refuses connections at once; an address that stays silent is of a
// host that is lost with all that it ran, which says nothing about a request.
const awaitMost = 250 * time.Millisecond

// tryMost is how long others wait for what becomes of one that tries: it ends its server, runs
// to its end, or its caller leaves it.
const tryMost = 30 * time.Second

// GuardConfig configures a Guard. All fields are required.
type GuardConfig struct {
	// Entry tells this entry from all others.
	Entry string
	// Probe tells what becomes of a new connection to a server's address.
	Probe func(ctx context.Context, address string) relay.Presence
	// OnChange is called when this entry has found what others do not know: the next repeat
	// comes to any of them.
	OnChange func()
	Log      logr.Logger
}

// Guard decides for one entry which requests are held back from its servers, and which are
// accused when a server ends. All methods are safe from any goroutine.
type Guard struct {
	changed   func()
	book      *SuspectSet
	inquest   *ServerProber
	completed *Completed
	log       logr.Logger

	mu sync.Mutex
	// tries are of requests whose time is over for which they were held back; guarded by mu.
	tries map[Key]try
}

// try is the only one of a request's repeats that may reach a server.
type try struct {
	by *KeyedRequest
	// until is when the next may try, where nothing has become of this one.
	until time.Time
}

// NewGuard starts a guard that suspects no request.
func NewGuard(cfg GuardConfig) *Guard {
	log := cfg.Log.WithName("quarantine")
	g := &Guard{
		changed:   cfg.OnChange,
		book:      NewSuspectSet(SuspectSetConfig{Entry: cfg.Entry, Now: time.Now, Log: log}),
		completed: NewCompleted(time.Now),
		log:       log,
		tries:     map[Key]try{},
	}
	g.inquest = NewServerProber(ServerProberConfig{Probe: cfg.Probe, OnEnded: g.accuse, Log: cfg.Log.WithName("inquest")})
	return g
}

// Close ends the guard's inquest.
func (g *Guard) Close() { g.inquest.Close() }

// Suspects is what the entry knows.
func (g *Guard) Suspects() *SuspectSet { return g.book }

// HeldBack returns for how long a request is held back, and whether it is: servers ended
// that ran it. It is looked at before each attempt: the word may come while the request
// waits, or from its own last attempt. Once the time is over, one subject may try.
func (g *Guard) HeldBack(s *KeyedRequest) (time.Duration, bool) {
	if !g.suspects(s) {
		return 0, false
	}
	left, held := g.book.HeldBack(s.Key())
	switch {
	case !held:
		return 0, false
	case g.completed.Recently(s.Request):
		// Others have met servers that ended; here it has run to its end.
		g.Clear(s.Key())
		return 0, false
	case left > 0:
		return left, true
	}
	return g.tryOrWait(s)
}

// tryOrWait returns how long a subject has to wait for another that tries; where none does, it
// tries itself.
func (g *Guard) tryOrWait(s *KeyedRequest) (time.Duration, bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.tries, func(_ Key, t try) bool { return !now.Before(t.until) })
	t, trying := g.tries[s.Key()]
	if trying && t.by != s {
		return t.until.Sub(now), true
	}
	if !trying {
		g.tries[s.Key()] = try{s, now.Add(tryMost)}
		g.log.Info("request tries again", "key", s.Key().String())
	}
	return 0, false
}

// AwaitProbes waits, before an attempt, until it is known whether the servers have ended at which
// the request has broken off, where these are enough for it to be held back. Attempts
// otherwise follow each other faster than the first server's end is found out, and one request
// ends a server with each that it has left.
func (g *Guard) AwaitProbes(ctx context.Context, s *KeyedRequest) {
	if g.inquest.Idle() {
		return
	}
	timer := time.NewTimer(awaitMost)
	defer timer.Stop()
	for {
		open, concluded := g.inquest.Pending(s.Key())
		if open == 0 || open+g.book.UnclearedCount(s.Key()) < enough {
			return
		}
		select {
		case <-concluded:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// suspects reports whether a request may be under suspicion. For most it costs no digest of
// the body.
func (g *Guard) suspects(s *KeyedRequest) bool {
	return !g.book.Empty() && g.book.MayContain(s.Hint())
}

// AttemptFailed has the end of a server looked into at which an attempt broke off. A request that
// has just run to its end elsewhere has not ended this server.
func (g *Guard) AttemptFailed(s *KeyedRequest, server, address string) {
	if !g.completed.Recently(s.Request) {
		g.inquest.AttemptFailed(server, address, s.Key())
	}
}

// AttemptCompleted notes that a server lived through a request.
func (g *Guard) AttemptCompleted(s *KeyedRequest) {
	g.completed.Record(s.Request)
	if g.suspects(s) {
		g.Clear(s.Key())
	}
}

// Clear notes that a request does not end servers. It reports whether that is news.
func (g *Guard) Clear(key Key) bool {
	news := g.book.Clear(key)
	if news {
		g.changed()
	}
	return news
}

// accuse notes that a server ended under requests.
func (g *Guard) accuse(server string, keys []Key) {
	for _, key := range keys {
		g.book.RecordEnded(key, server)
	}
	g.changed()
}
