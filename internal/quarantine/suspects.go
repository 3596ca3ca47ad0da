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
	// holdThreshold is how many servers must have ended under a request before it is held
	// back. Requests that run beside a harmful one break off with it and are repeated as
	// well: many of them run beside it on two servers, hardly any on three.
	holdThreshold = 3
	// firstHold is how long a request is held back when it reaches the threshold. After
	// that it may try once, as a server may have been fixed; each further server that ends
	// doubles the time.
	firstHold        = 5 * time.Minute
	maxHoldDoublings = 6
	// The hold of each entry is extended by up to 1/holdJitterDivisor of its length, in
	// holdJitterSteps steps. With 640 entries the record of the first trial has a quarter
	// of a second to reach the next entry.
	holdJitterDivisor = 2
	holdJitterSteps   = 1024
	// suspicionRetention is how long a record is kept after its hold. A caller that repeats
	// a request does so sooner.
	suspicionRetention = time.Hour
	// expiryInterval is the interval between checks for expired records.
	expiryInterval = time.Minute
	// maxRecords is the maximum number of records, about a MB. The end of a busy engine
	// adds some hundred.
	maxRecords = 4096
	// recordsAfterEviction is how many records remain after an eviction.
	recordsAfterEviction = maxRecords * 7 / 8
	// maxServersPerRecord is the maximum number of servers in a record.
	maxServersPerRecord = 16
)

// SuspectSetConfig configures a SuspectSet. All fields are required.
type SuspectSetConfig struct {
	// Entry identifies the entry that has the set; "" at control hosts.
	Entry string
	Now   func() time.Time
	Log   logr.Logger
}

// SuspectSet holds the requests that a host suspects because servers ended while they ran
// them. Hosts exchange their records: merging is commutative and idempotent, so the
// evidence of several entries adds up, and the loss of a host loses none of it. All methods
// are safe for concurrent use.
type SuspectSet struct {
	cfg SuspectSetConfig
	// size is the number of records, for a check without the lock.
	size atomic.Int64

	mu sync.Mutex
	// change increases with each change of a record; guarded by mu, as all fields below.
	change  uint64
	records map[Key]*record
	// hints counts the records by the hints of their keys.
	hints map[Hint]int
	// lastExpiry is when expired records were last removed.
	lastExpiry time.Time
	// holdsChanged is closed and replaced when the hold of a request changes.
	holdsChanged chan struct{}
}

// record is the evidence against one request.
type record struct {
	// ended are the servers that ended under the request. The value is true if the request
	// has completed somewhere since, which clears it of this server.
	ended map[string]bool
	// lastEnded is when the last of these servers ended.
	lastEnded time.Time
	// change is the number of the last change, and ownChange of the last one that did not
	// come from the leader.
	change, ownChange uint64
}

// unclearedCount returns the number of servers that count against the request.
func (r *record) unclearedCount() int {
	n := 0
	for _, cleared := range r.ended {
		if !cleared {
			n++
		}
	}
	return n
}

// heldUntil returns when the request may try again, or the zero time if it is not held
// back.
func (r *record) heldUntil() time.Time {
	n := r.unclearedCount()
	if n < holdThreshold {
		return time.Time{}
	}
	return r.lastEnded.Add(firstHold << min(n-holdThreshold, maxHoldDoublings))
}

// NewSuspectSet returns an empty set.
func NewSuspectSet(cfg SuspectSetConfig) *SuspectSet {
	return &SuspectSet{cfg: cfg, records: map[Key]*record{}, hints: map[Hint]int{}, holdsChanged: make(chan struct{})}
}

// Empty reports whether no request is suspected.
func (s *SuspectSet) Empty() bool { return s.size.Load() == 0 }

// MayContain reports whether a request with a hint may be suspected.
func (s *SuspectSet) MayContain(h Hint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hints[h] > 0
}

// HeldBack reports whether enough servers ended under a request to hold it back, and for
// how long it still is; after that it may try again. The time differs for each entry: if it
// ended at all entries at once, a caller that repeats the request at each of them would end
// a server with each before the others received the first record.
func (s *SuspectSet) HeldBack(key Key) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[key]
	if r == nil || r.unclearedCount() < holdThreshold {
		return 0, false
	}
	until := r.heldUntil()
	jitter := xxhash.Sum64String(key.String()+s.cfg.Entry) % holdJitterSteps
	jitter *= uint64(until.Sub(r.lastEnded)) / holdJitterDivisor / holdJitterSteps
	return max(until.Add(time.Duration(jitter)).Sub(s.cfg.Now()), 0), true
}

// UnclearedCount returns the number of servers that count against a request.
func (s *SuspectSet) UnclearedCount(key Key) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[key]; r != nil {
		return r.unclearedCount()
	}
	return 0
}

// HeldBackCount returns the number of requests that are held back.
func (s *SuspectSet) HeldBackCount() int {
	if s.Empty() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n, now := 0, s.cfg.Now()
	for _, r := range s.records {
		if r.heldUntil().After(now) {
			n++
		}
	}
	return n
}

// List returns all suspected requests, the longest holds first.
func (s *SuspectSet) List() []*schema.SuspectView {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	out := make([]*schema.SuspectView, 0, len(s.records))
	for key, r := range s.records {
		v := &schema.SuspectView{
			Key: key.String(), LastEndedAgoMs: uint64(now.Sub(r.lastEnded).Milliseconds()),
			HeldBackForMs: uint64(max(r.heldUntil().Sub(now).Milliseconds(), 0)),
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

// Changed returns a channel that is closed when the hold of a request next changes.
func (s *SuspectSet) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdsChanged
}

// RecordEnded records that a server ended under a request.
func (s *SuspectSet) RecordEnded(key Key, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.getOrAdd(key)
	if _, known := r.ended[server]; known || len(r.ended) >= maxServersPerRecord {
		return
	}
	before := r.heldUntil()
	r.ended[server], r.lastEnded = false, s.cfg.Now()
	s.recordChange(r, true)
	s.signalHoldChange(key, r, before)
}

// Clear records that a request has completed and so does not end servers by itself. It
// reports whether this is new.
func (s *SuspectSet) Clear(key Key) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[key]
	if r == nil || r.unclearedCount() == 0 {
		return false
	}
	before := r.heldUntil()
	for server := range r.ended {
		r.ended[server] = true
	}
	s.recordChange(r, true)
	s.signalHoldChange(key, r, before)
	return true
}

// getOrAdd returns the record of a request and adds it if needed; the caller holds mu.
func (s *SuspectSet) getOrAdd(key Key) *record {
	r := s.records[key]
	if r == nil {
		s.makeRoom()
		r = &record{ended: map[string]bool{}}
		s.records[key] = r
		s.hints[key.Hint()]++
		s.size.Store(int64(len(s.records)))
	}
	return r
}

// recordChange numbers a change of a record; the caller holds mu.
func (s *SuspectSet) recordChange(r *record, own bool) {
	s.change++
	r.change = s.change
	if own {
		r.ownChange = s.change
	}
}

// signalHoldChange logs the hold of a request and closes holdsChanged, unless heldUntil
// still returns before. The caller holds mu.
func (s *SuspectSet) signalHoldChange(key Key, r *record, before time.Time) {
	until := r.heldUntil()
	if until.Equal(before) {
		return
	}
	close(s.holdsChanged)
	s.holdsChanged = make(chan struct{})
	s.cfg.Log.Info("request held back", "key", key.String(), "servers", slices.Sorted(maps.Keys(r.ended)), "blamed", r.unclearedCount(),
		"for-ms", max(until.Sub(s.cfg.Now()).Milliseconds(), 0))
}

// remove removes a record; the caller holds mu.
func (s *SuspectSet) remove(key Key) {
	delete(s.records, key)
	if s.hints[key.Hint()]--; s.hints[key.Hint()] == 0 {
		delete(s.hints, key.Hint())
	}
}

// expire removes expired records; the caller holds mu.
func (s *SuspectSet) expire() {
	now := s.cfg.Now()
	s.lastExpiry = now
	for key, r := range s.records {
		if now.Sub(r.lastEnded) > suspicionRetention && now.Sub(r.heldUntil()) > suspicionRetention {
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
		return cmp.Or(cmp.Compare(r.unclearedCount(), other.unclearedCount()), r.lastEnded.Compare(other.lastEnded))
	})
	for _, key := range keys[:len(keys)-recordsAfterEviction] {
		s.remove(key)
	}
	s.cfg.Log.Info("suspicions dropped", "count", len(keys)-recordsAfterEviction, "left", recordsAfterEviction)
}

//go:generate go tool stringer -type=Part -linecomment

// Part selects the records that a receiver needs.
type Part int

// Parts of a set.
const (
	// PartAll is all records, for hosts that may become the leader.
	PartAll Part = iota // all
	// PartOwn is the records that did not come from the leader, which needs them.
	PartOwn // noted
	// PartHeld is the requests that are or were held back, for entries.
	PartHeld // held
	// PartLikely is the requests that are held back or would be after one more server, for
	// the log.
	PartLikely // likely
)

// changeNumber returns the change number of a record in a part, or 0 if it is not in the
// part.
func (p Part) changeNumber(r *record) uint64 {
	switch {
	case p == PartOwn:
		return r.ownChange
	case p == PartHeld && len(r.ended) < holdThreshold, p == PartLikely && len(r.ended) < holdThreshold-1:
		return 0
	}
	return r.change
}

// Since returns the records of a part that changed after a change number, 0 for all, and
// the number up to which they are complete. The number of records is bounded; further calls
// return the rest.
func (s *SuspectSet) Since(after uint64, part Part) ([]*schema.Suspect, uint64) {
	if s.Empty() {
		return nil, after
	}
	return s.since(after, part, maxReaderBurst)
}

// since is Since with a limit on the number of records.
func (s *SuspectSet) since(after uint64, part Part, limit int) ([]*schema.Suspect, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Now().Sub(s.lastExpiry) > expiryInterval {
		s.expire()
	}
	if after == s.change || limit == 0 {
		return nil, after
	}
	var keys []Key
	for key, r := range s.records {
		if part.changeNumber(r) > after {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(k, l Key) int {
		return cmp.Compare(part.changeNumber(s.records[k]), part.changeNumber(s.records[l]))
	})
	to := s.change
	if len(keys) > limit {
		keys = keys[:limit]
		to = part.changeNumber(s.records[keys[limit-1]])
	}
	out := make([]*schema.Suspect, 0, len(keys))
	for _, key := range keys {
		out = append(out, s.message(key))
	}
	return out, to
}

// message returns a record as a message; the caller holds mu.
func (s *SuspectSet) message(key Key) *schema.Suspect {
	r := s.records[key]
	out := &schema.Suspect{Key: key[:], AgeMs: s.cfg.Now().Sub(r.lastEnded).Milliseconds()}
	for _, server := range slices.Sorted(maps.Keys(r.ended)) {
		out.Ended = append(out.Ended, &schema.EndedServer{Server: server, Cleared: r.ended[server]})
	}
	return out
}

// Merge merges another host's records into the set. It reports whether any of them changed
// it.
func (s *SuspectSet) Merge(list []*schema.Suspect, fromLeader bool) bool {
	if len(list) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, suspect := range list {
		var key Key
		if len(suspect.GetKey()) != len(key) {
			s.cfg.Log.Info("suspicion not taken", "reason", "its key has another length", "bytes", len(suspect.GetKey()))
			continue
		}
		copy(key[:], suspect.GetKey())
		changed = s.mergeOne(key, suspect, !fromLeader) || changed
	}
	return changed
}

// mergeOne merges one record and reports whether it changed the set; the caller holds mu.
func (s *SuspectSet) mergeOne(key Key, suspect *schema.Suspect, own bool) bool {
	r := s.getOrAdd(key)
	before, newServer, changed := r.heldUntil(), false, false
	for _, e := range suspect.GetEnded() {
		cleared, known := r.ended[e.GetServer()]
		switch {
		case !known && len(r.ended) < maxServersPerRecord:
			r.ended[e.GetServer()], newServer, changed = e.GetCleared(), true, true
		case known && e.GetCleared() && !cleared:
			r.ended[e.GetServer()], changed = true, true
		}
	}
	if !changed {
		return false
	}
	// Only another ended server makes a record younger. Otherwise a record sent in a circle
	// would become younger each time, by the time that its messages took.
	if at := s.cfg.Now().Add(-time.Duration(suspect.GetAgeMs()) * time.Millisecond); newServer && at.After(r.lastEnded) {
		r.lastEnded = at
	}
	s.recordChange(r, own)
	s.signalHoldChange(key, r, before)
	return true
}
