package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"fennelyard/internal/schema"
)

const (
	// enough is how many servers must have ended under a request before it is held back.
	// What runs beside a harmful request breaks off with it, and is repeated as well: at
	// two servers many requests have met one, at three hardly any.
	enough = 3
	// holdFirst is for how long a request is held back that has just ended enough servers.
	// Then it may try once: a server that was mended runs it, and each one more that ends
	// doubles the time.
	holdFirst     = 5 * time.Minute
	holdDoublings = 6
	// holdOwnPart is what part of that time, one in so many, the entries' own times differ by,
	// in so many steps: with 640 entries the first has had a quarter of a second for its word.
	holdOwnPart = 2
	holdSteps   = 1024
	// forgetAfter is how long a suspicion is remembered beyond the time of holding back: a
	// caller that repeats a request does so sooner.
	forgetAfter = time.Hour
	// expireEvery is how often it is looked for what can be forgotten.
	expireEvery = time.Minute
	// recordsMost bounds the requests that are remembered: a busy engine that ends brings
	// some hundred under suspicion. They take a MB.
	recordsMost = 4096
	// recordsKept is how many are left when there are too many.
	recordsKept = recordsMost * 7 / 8
	// serversMost bounds the servers that are remembered of a request.
	serversMost = 16
)

// SuspectSetConfig configures a Book. All fields are required.
type SuspectSetConfig struct {
	// Entry tells the entry whose book it is from all others; "" at control hosts.
	Entry string
	Now   func() time.Time
	Log   logr.Logger
}

// SuspectSet is what a host knows of requests under which servers ended. Books are brought
// together by telling each other: the same words in any order, once or more often, make the
// same book, so that evidence of several entries adds up and no host's loss takes it away.
// All methods are safe from any goroutine.
type SuspectSet struct {
	cfg SuspectSetConfig
	// size is the number of records, for those who need not look.
	size atomic.Int64

	mu sync.Mutex
	// change grows with each change of a record; guarded by mu, as all below.
	change  uint64
	records map[Key]*record
	// hints counts the records by the hints of their keys.
	hints map[Hint]int
	// expired is when it was last looked for what can be forgotten.
	expired time.Time
	// held is closed and replaced when a request is held back, or no longer.
	held chan struct{}
}

// record is what is known of one request.
type record struct {
	// ended are the servers that ended under it; true: the request has since run to its
	// end somewhere, which clears it of this one.
	ended map[string]bool
	// last is when the last of them ended.
	last time.Time
	// change is the number of the last change, and noted of the last that this host was
	// not told by the leader.
	change, noted uint64
}

// blamed is the number of servers that count against the request.
func (r *record) blamed() int {
	n := 0
	for _, cleared := range r.ended {
		if !cleared {
			n++
		}
	}
	return n
}

// until is when the request may be tried again; the zero time: it is not held back.
func (r *record) until() time.Time {
	n := r.blamed()
	if n < enough {
		return time.Time{}
	}
	return r.last.Add(holdFirst << min(n-enough, holdDoublings))
}

// NewSuspectSet returns an empty book.
func NewSuspectSet(cfg SuspectSetConfig) *SuspectSet {
	return &SuspectSet{cfg: cfg, records: map[Key]*record{}, hints: map[Hint]int{}, held: make(chan struct{})}
}

// Empty reports whether no request is under suspicion.
func (b *SuspectSet) Empty() bool { return b.size.Load() == 0 }

// MayContain reports whether a request may be under suspicion whose key has a hint.
func (b *SuspectSet) MayContain(h Hint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hints[h] > 0
}

// HeldBack reports whether enough servers ended under a request, and for how long it is held
// back then; once that is over, it may try again. Each entry has a time of its own: where it
// is over at all of them at once, a caller that repeats at each of them ends a server with
// each, before any of them has heard of the first.
func (b *SuspectSet) HeldBack(key Key) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[key]
	if r == nil || r.blamed() < enough {
		return 0, false
	}
	until := r.until()
	own := xxhash.Sum64String(key.String()+b.cfg.Entry) % holdSteps
	own *= uint64(until.Sub(r.last)) / holdOwnPart / holdSteps
	return max(until.Add(time.Duration(own)).Sub(b.cfg.Now()), 0), true
}

// UnclearedCount returns how many servers count against a request.
func (b *SuspectSet) UnclearedCount(key Key) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[key]; r != nil {
		return r.blamed()
	}
	return 0
}

// HeldBackCount returns how many requests are held back.
func (b *SuspectSet) HeldBackCount() int {
	if b.Empty() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	n, now := 0, b.cfg.Now()
	for _, r := range b.records {
		if r.until().After(now) {
			n++
		}
	}
	return n
}

// List returns all requests under suspicion, those that are held back for the longest first.
func (b *SuspectSet) List() []*schema.SuspectView {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Now()
	out := make([]*schema.SuspectView, 0, len(b.records))
	for key, r := range b.records {
		v := &schema.SuspectView{
			Key: key.String(), LastEndedAgoMs: uint64(now.Sub(r.last).Milliseconds()),
			HeldBackForMs: uint64(max(r.until().Sub(now).Milliseconds(), 0)),
		}
		for _, server := range slices.Sorted(maps.Keys(r.ended)) {
			v.EndedServers = append(v.EndedServers, server)
			if r.ended[server] {
				v.ClearedServers = append(v.ClearedServers, server)
			}
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(v, w *schema.SuspectView) int {
		return cmp.Or(cmp.Compare(w.GetHeldBackForMs(), v.GetHeldBackForMs()),
			cmp.Compare(len(w.GetEndedServers()), len(v.GetEndedServers())), cmp.Compare(v.GetKey(), w.GetKey()))
	})
	return out
}

// Changed returns a channel that is closed when the next request is held back, or no
// longer.
func (b *SuspectSet) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// RecordEnded notes that a server ended under a request.
func (b *SuspectSet) RecordEnded(key Key, server string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(key)
	if _, known := r.ended[server]; known || len(r.ended) >= serversMost {
		return
	}
	before := r.until()
	r.ended[server], r.last = false, b.cfg.Now()
	b.note(r, true)
	b.tell(key, r, before)
}

// Clear notes that a request has run to its end: it does not end servers by itself. It
// reports whether that is news.
func (b *SuspectSet) Clear(key Key) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[key]
	if r == nil || r.blamed() == 0 {
		return false
	}
	before := r.until()
	for server := range r.ended {
		r.ended[server] = true
	}
	b.note(r, true)
	b.tell(key, r, before)
	return true
}

// record returns what is known of a request; mu is held.
func (b *SuspectSet) record(key Key) *record {
	r := b.records[key]
	if r == nil {
		b.forget()
		r = &record{ended: map[string]bool{}}
		b.records[key] = r
		b.hints[key.Hint()]++
		b.size.Store(int64(len(b.records)))
	}
	return r
}

// note numbers a change; mu is held.
func (b *SuspectSet) note(r *record, own bool) {
	b.change++
	r.change = b.change
	if own {
		r.noted = b.change
	}
}

// tell logs where a request is held back from now on, for longer or no longer; mu is held.
func (b *SuspectSet) tell(key Key, r *record, before time.Time) {
	until := r.until()
	if until.Equal(before) {
		return
	}
	close(b.held)
	b.held = make(chan struct{})
	b.cfg.Log.Info("request held back", "key", key.String(), "servers", slices.Sorted(maps.Keys(r.ended)), "blamed", r.blamed(),
		"for-ms", max(until.Sub(b.cfg.Now()).Milliseconds(), 0))
}

// drop forgets one request; mu is held.
func (b *SuspectSet) drop(key Key) {
	delete(b.records, key)
	if b.hints[key.Hint()]--; b.hints[key.Hint()] == 0 {
		delete(b.hints, key.Hint())
	}
}

// expire drops what is over; mu is held.
func (b *SuspectSet) expire() {
	now := b.cfg.Now()
	b.expired = now
	for key, r := range b.records {
		if now.Sub(r.last) > forgetAfter && now.Sub(r.until()) > forgetAfter {
			b.drop(key)
		}
	}
	b.size.Store(int64(len(b.records)))
}

// forget drops what is over, and what weighs least where there is too much; mu is held.
func (b *SuspectSet) forget() {
	if len(b.records) < recordsMost {
		return
	}
	b.expire()
	if len(b.records) <= recordsKept {
		return
	}
	keys := slices.SortedFunc(maps.Keys(b.records), func(k, l Key) int {
		r, s := b.records[k], b.records[l]
		return cmp.Or(cmp.Compare(r.blamed(), s.blamed()), r.last.Compare(s.last))
	})
	for _, key := range keys[:len(keys)-recordsKept] {
		b.drop(key)
	}
	b.cfg.Log.Info("suspicions dropped", "count", len(keys)-recordsKept, "left", recordsKept)
}

//go:generate go tool stringer -type=Part -linecomment

// Part is the part of a book that somebody needs.
type Part int

// The parts.
const (
	// PartAll is for hosts that may lead next.
	PartAll Part = iota // all
	// PartNoted is what this host has not been told by the leader: the leader needs it.
	PartNoted // noted
	// PartHeld is for entries: requests that have been held back.
	PartHeld // held
	// PartLikely is for the log: requests that one more server would have held back, or that
	// are.
	PartLikely // likely
)

// number is the change by which somebody knows a record, 0: they don't need it.
func (p Part) number(r *record) uint64 {
	switch {
	case p == PartNoted:
		return r.noted
	case p == PartHeld && len(r.ended) < enough, p == PartLikely && len(r.ended) < enough-1:
		return 0
	}
	return r.change
}

// Since returns what has changed in a part since a change, 0 for all, and up to which
// change that is: a bounded number of records, the rest with the next call.
func (b *SuspectSet) Since(after uint64, part Part) ([]*schema.Suspect, uint64) {
	if b.Empty() {
		return nil, after
	}
	return b.since(after, part, tellMost)
}

// since is Since with at most so many records.
func (b *SuspectSet) since(after uint64, part Part, most int) ([]*schema.Suspect, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cfg.Now().Sub(b.expired) > expireEvery {
		b.expire()
	}
	if after == b.change || most == 0 {
		return nil, after
	}
	var keys []Key
	for key, r := range b.records {
		if part.number(r) > after {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(k, l Key) int { return cmp.Compare(part.number(b.records[k]), part.number(b.records[l])) })
	to := b.change
	if len(keys) > most {
		keys = keys[:most]
		to = part.number(b.records[keys[most-1]])
	}
	out := make([]*schema.Suspect, 0, len(keys))
	for _, key := range keys {
		out = append(out, b.message(key))
	}
	return out, to
}

// message needs mu.
func (b *SuspectSet) message(key Key) *schema.Suspect {
	r := b.records[key]
	s := &schema.Suspect{Key: key[:], AgeMs: b.cfg.Now().Sub(r.last).Milliseconds()}
	for _, server := range slices.Sorted(maps.Keys(r.ended)) {
		s.Ended = append(s.Ended, &schema.EndedServer{Server: server, Cleared: r.ended[server]})
	}
	return s
}

// Merge takes in what another host tells. It reports whether any of it is news.
func (b *SuspectSet) Merge(list []*schema.Suspect, fromLeader bool) bool {
	if len(list) == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	news := false
	for _, s := range list {
		var key Key
		if len(s.GetKey()) != len(key) {
			b.cfg.Log.Info("suspicion not taken", "reason", "its key has another length", "bytes", len(s.GetKey()))
			continue
		}
		copy(key[:], s.GetKey())
		news = b.merge(key, s, !fromLeader) || news
	}
	return news
}

// merge adds what is said of a request to what is known; mu is held.
func (b *SuspectSet) merge(key Key, s *schema.Suspect, own bool) bool {
	r := b.record(key)
	before, more, changed := r.until(), false, false
	for _, e := range s.GetEnded() {
		cleared, known := r.ended[e.GetServer()]
		switch {
		case !known && len(r.ended) < serversMost:
			r.ended[e.GetServer()], more, changed = e.GetCleared(), true, true
		case known && e.GetCleared() && !cleared:
			r.ended[e.GetServer()], changed = true, true
		}
	}
	if !changed {
		return false
	}
	// Only another server that ended makes a suspicion younger: told in a circle, it would
	// be each time by as long as the word was on its way.
	if at := b.cfg.Now().Add(-time.Duration(s.GetAgeMs()) * time.Millisecond); more && at.After(r.last) {
		r.last = at
	}
	b.note(r, own)
	b.tell(key, r, before)
	return true
}
