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
	// firstHold is how long a request is held back when it reaches the threshold. After
	// that it may try once, as a server may have been fixed; each further server that ends
	// doubles the time.
	firstHold        = 5 * time.Minute
	maxHoldDoublings = 6
	// The hold of each entry is extended by up to 1/holdJitterDivisor of its length, in
	// holdJitterSteps steps. With 640 entries the record of the first trial has a quarter
	// of a second to reach the next entry. A doubtful hold is short and is extended by
	// up to trialInterval for each entry: a record takes up to half a second to reach all.
	holdJitterDivisor = 2
	holdJitterSteps   = 1024
	trialInterval     = 500 * time.Millisecond
	// suspicionRetention is how long a record is kept after its hold. A caller that repeats
	// a request does so sooner.
	suspicionRetention = time.Hour
	// expiryInterval is the interval between checks for expired records.
	expiryInterval = time.Minute
	// maxRecords is the maximum number of records, about two MB. The end of a busy engine
	// adds several hundred.
	maxRecords = 4096
	// recordsAfterEviction is how many records remain after an eviction.
	recordsAfterEviction = maxRecords * 7 / 8
)

// SuspectSetConfig configures a SuspectSet. All fields but Entries, KindNames and
// OnChanged are required.
type SuspectSetConfig struct {
	// Entry identifies the entry that has the set; "" at control hosts.
	Entry string
	// Entries returns the number of entries; nil: one.
	Entries func() int
	Now     func() time.Time
	// KindNames returns the names of the known kinds of servers, for operators; nil: none is known.
	KindNames func() map[Kind]string
	// OnChanged is called for each change of a record with its source; nil: it is not. It must not block.
	OnChanged func(Source)
	Log       logr.Logger
}

// SuspectSet holds the requests that a host suspects because servers ended while they ran
// them, and what such requests share with others. Hosts exchange their records: merging is
// commutative and idempotent, so the evidence of several entries adds up, and the loss of a
// host loses none of it. All methods are safe for concurrent use.
type SuspectSet struct {
	cfg SuspectSetConfig
	// size is the number of records, for a check without the lock.
	size atomic.Int64
	// examined counts the records that were looked at to send or to judge them.
	examined atomic.Uint64

	mu sync.Mutex
	// change increases with each change of a record; guarded by mu, as all fields below.
	change  uint64
	records map[Key]*record
	// changes, ownChanges and foundChanges list the records by change, ownChange and foundChange.
	changes, ownChanges, foundChanges changeLog
	// hints counts the records by the hints of their keys.
	hints map[Hint]int
	// lastExpiry is when expired records were last removed.
	lastExpiry time.Time
	// holds are those of shared suspects.
	holds holds
	// holdsChanged is closed and replaced when the hold of a suspect changes.
	holdsChanged chan struct{}
	// digest is that of the likely records at change number digestChange.
	digest, digestChange uint64
	// recorded has a token while a change of a record has not been read by its receiver.
	recorded chan struct{}
}

// NewSuspectSet returns an empty set.
func NewSuspectSet(cfg SuspectSetConfig) *SuspectSet {
	return &SuspectSet{
		cfg: cfg, records: map[Key]*record{}, hints: map[Hint]int{}, holds: newHolds(),
		changes:      changeLog{number: func(r *record) uint64 { return r.change }},
		ownChanges:   changeLog{number: func(r *record) uint64 { return r.ownChange }},
		foundChanges: changeLog{number: func(r *record) uint64 { return r.foundChange }},
		holdsChanged: make(chan struct{}), recorded: make(chan struct{}, 1),
	}
}

// Empty reports whether no request is suspected.
func (s *SuspectSet) Empty() bool { return s.size.Load() == 0 }

// Examined returns how many records were looked at so far to send them to other hosts, and to decide
// which suspects are held back: each counts as often as it was looked at.
func (s *SuspectSet) Examined() uint64 { return s.examined.Load() + s.holds.examined.Load() }

// MayContain reports whether a request with a hint may be suspected.
func (s *SuspectSet) MayContain(h Hint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hints[h] > 0
}

// HeldBack reports whether enough servers ended under a suspect to hold it back, and for
// how long it still is; after that it may try again. The time differs for each entry: if it
// ended at all entries at once, a caller that repeats the request at each of them would end
// a server with each before the others received the first record.
func (s *SuspectSet) HeldBack(key Key) (time.Duration, bool) {
	left, _, held := s.HeldBackFrom(key)
	return left, held
}

// HeldBackFrom is HeldBack with the kinds of servers from which the suspect is held back: those that have
// ended under it.
func (s *SuspectSet) HeldBackFrom(key Key) (left time.Duration, kinds []Kind, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evaluate()
	r := s.records[key]
	current, held := s.hold(key, r)
	if !held {
		return 0, nil, false
	}
	spread := current.until.Sub(r.lastEnded) / holdJitterDivisor
	if current.doubtful && s.cfg.Entries != nil {
		spread = time.Duration(s.cfg.Entries()) * trialInterval
	}
	jitter := xxhash.Sum64String(key.String()+s.cfg.Entry) % holdJitterSteps
	jitter *= uint64(spread) / holdJitterSteps
	return max(current.until.Add(time.Duration(jitter)).Sub(s.cfg.Now()), 0), r.kinds(), true
}

// BlamedKinds returns the kinds of the servers that count against a suspect.
func (s *SuspectSet) BlamedKinds(key Key) []Kind {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[key]; r != nil {
		return r.kinds()
	}
	return nil
}

// hold returns whether a suspect is held back and how long; r may be nil. The caller holds mu.
func (s *SuspectSet) hold(key Key, r *record) (hold, bool) {
	switch {
	case r == nil:
		return hold{}, false
	case r.scope.shared():
		h, held := s.holds.held[key]
		return h, held
	case r.blame() < holdThreshold:
		return hold{}, false
	}
	return s.holds.ofRequest(r)
}

// UnclearedCount returns the number of servers that count against a suspect.
func (s *SuspectSet) UnclearedCount(key Key) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[key]; r != nil {
		return r.blame()
	}
	return 0
}

// HeldBackCount returns the number of suspects that are held back.
func (s *SuspectSet) HeldBackCount() int {
	if s.Empty() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evaluate()
	n, now := 0, s.cfg.Now()
	for key, r := range s.records {
		if current, held := s.hold(key, r); held && current.until.After(now) {
			n++
		}
	}
	return n
}

// List returns all suspects, the longest holds first.
func (s *SuspectSet) List() []*schema.SuspectView {
	var names map[Kind]string
	if s.cfg.KindNames != nil {
		names = s.cfg.KindNames()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evaluate()
	now := s.cfg.Now()
	out := make([]*schema.SuspectView, 0, len(s.records))
	for key, r := range s.records {
		v := r.view(key, now)
		if current, held := s.hold(key, r); held {
			v.HeldBackForMs = uint64(max(current.until.Sub(now).Milliseconds(), 0))
			for _, kind := range r.kinds() {
				v.HeldFrom = append(v.HeldFrom, cmp.Or(names[kind], kind.String()))
			}
			slices.Sort(v.HeldFrom)
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(v, w *schema.SuspectView) int {
		return cmp.Or(cmp.Compare(w.GetHeldBackForMs(), v.GetHeldBackForMs()),
			cmp.Compare(len(w.GetEndedServers()), len(v.GetEndedServers())), cmp.Compare(v.GetKey(), w.GetKey()))
	})
	return out
}

// Changed returns a channel that is closed when the hold of a request next changes.
func (s *SuspectSet) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdsChanged
}

// Recorded returns a channel with a token after a record has changed. It has one receiver.
func (s *SuspectSet) Recorded() <-chan struct{} { return s.recorded }

// RecordEnded records that a server ended under a request.
func (s *SuspectSet) RecordEnded(key Key, server string) {
	s.Accuse(server, s.cfg.Now(), []Accusation{{Key: key}})
}

// Accuse records that a server ended while it ran what is accused.
func (s *SuspectSet) Accuse(server string, at time.Time, accused []Accusation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range accused {
		s.update(a.Key, s.getOrAdd(a), SourceOwn, func(r *record) bool {
			return r.add(server, endedServer{at: at, weak: a.Weak, kind: a.Kind})
		})
	}
	s.evaluate()
}

// Clear records that a request has completed and so does not end servers by itself, or that
// one with something shared has. It reports whether this is new.
func (s *SuspectSet) Clear(key Key) bool { return s.ClearUntil(key, s.cfg.Now(), AnyKind) }

// ClearUntil is Clear for a request that completed at a time at a server of a kind: servers
// that ended later and those of other kinds still count.
func (s *SuspectSet) ClearUntil(key Key, at time.Time, kind Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[key]
	changed := r != nil && s.update(key, r, SourceOwn, func(r *record) bool { return r.clearUntil(at, kind) })
	s.evaluate()
	return changed
}

// update changes a record, numbers the change and adapts the holds. It reports whether the
// record changed; the caller holds mu and calls evaluate afterwards.
func (s *SuspectSet) update(key Key, r *record, source Source, change func(*record) bool) bool {
	before, wasHeld := s.hold(key, r)
	if !change(r) {
		return false
	}
	s.change++
	s.setChange(&s.changes, &r.change, r)
	if source != SourceControl {
		s.setChange(&s.ownChanges, &r.ownChange, r)
	}
	if source == SourceOwn {
		s.setChange(&s.foundChanges, &r.foundChange, r)
	}
	if s.cfg.OnChanged != nil {
		s.cfg.OnChanged(source)
	}
	select {
	case s.recorded <- struct{}{}:
	default:
	}
	s.holds.recordChanged(key, r)
	if current, held := s.hold(key, r); !r.scope.shared() && (held != wasHeld || !current.until.Equal(before.until)) {
		s.signalHold(key, r, current.until)
	}
	return true
}

// setChange sets a change number of a record to that of the current change and lists the record in
// the log of such numbers; the caller holds mu.
func (s *SuspectSet) setChange(l *changeLog, number *uint64, r *record) {
	before := *number
	*number = s.change
	l.append(r, before)
}

// clearChange sets a change number of a record to 0; the caller holds mu.
func (s *SuspectSet) clearChange(l *changeLog, number *uint64) {
	l.remove(*number)
	*number = 0
}

// evaluate decides which shared suspects are held back; the caller holds mu.
func (s *SuspectSet) evaluate() {
	for key, until := range s.holds.evaluate(s.cfg.Now()) {
		if r := s.records[key]; r != nil {
			s.signalHold(key, r, until)
		}
	}
}

// signalHold logs that a suspect is now held back until a time, the zero time for no
// longer, and closes holdsChanged; the caller holds mu.
func (s *SuspectSet) signalHold(key Key, r *record, until time.Time) {
	close(s.holdsChanged)
	s.holdsChanged = make(chan struct{})
	s.cfg.Log.Info("request held back", "key", key.String(), "scope", r.scope.String(), "depth", r.depth, "servers", slices.Sorted(maps.Keys(r.ended)),
		"blamed", r.blame(), "for-ms", max(until.Sub(s.cfg.Now()).Milliseconds(), 0))
}

// getOrAdd returns the record of a suspect and adds it if needed; the caller holds mu.
func (s *SuspectSet) getOrAdd(a Accusation) *record {
	r := s.records[a.Key]
	if r == nil {
		s.makeRoom()
		r = &record{key: a.Key, scope: a.Scope, ended: map[string]endedServer{}}
		s.records[a.Key] = r
		s.hints[a.Key.Hint()]++
		s.size.Store(int64(len(s.records)))
	}
	r.depth = max(r.depth, a.Depth)
	return r
}

// remove removes a record; the caller holds mu.
func (s *SuspectSet) remove(key Key) {
	r := s.records[key]
	s.clearChange(&s.changes, &r.change)
	s.clearChange(&s.ownChanges, &r.ownChange)
	s.clearChange(&s.foundChanges, &r.foundChange)
	delete(s.records, key)
	s.holds.recordRemoved(key)
	if s.hints[key.Hint()]--; s.hints[key.Hint()] == 0 {
		delete(s.hints, key.Hint())
	}
}

// expire removes expired records; the caller holds mu.
func (s *SuspectSet) expire() {
	now := s.cfg.Now()
	s.lastExpiry = now
	for key, r := range s.records {
		current, held := s.hold(key, r)
		if now.Sub(r.lastEnded) > suspicionRetention && (!held || now.Sub(current.until) > suspicionRetention) {
			s.remove(key)
		}
	}
	s.size.Store(int64(len(s.records)))
}

// makeRoom removes expired records if the set is full, and then those with the least
// evidence; the caller holds mu.
func (s *SuspectSet) makeRoom() {
	if len(s.records) < maxRecords {
		return
	}
	s.expire()
	if len(s.records) <= recordsAfterEviction {
		return
	}
	keys := slices.SortedFunc(maps.Keys(s.records), func(k, l Key) int {
		r, other := s.records[k], s.records[l]
		return cmp.Or(cmp.Compare(r.blame(), other.blame()), r.lastEnded.Compare(other.lastEnded))
	})
	for _, key := range keys[:len(keys)-recordsAfterEviction] {
		s.remove(key)
	}
	s.cfg.Log.Info("suspicions dropped", "count", len(keys)-recordsAfterEviction, "left", recordsAfterEviction)
}
