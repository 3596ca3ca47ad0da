package quarantine

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"fennelyard/internal/schema"
)

//go:generate go tool stringer -type=Part -linecomment

// Part selects the records that a receiver needs.
type Part int

// Parts of a set.
const (
	// PartAll is all records, for hosts that may become the leader.
	PartAll Part = iota // all
	// PartOwn is the records that did not come from the leader, which needs them.
	PartOwn // noted
	// PartFound is the records of what this host found itself.
	PartFound // found
	// PartHeld is the requests that are or were held back, for entries, and what requests
	// share that would be after one more server: entries know what has completed.
	PartHeld // held
	// PartLikely is the requests that are held back or would be after one more server, for
	// the log.
	PartLikely // likely
)

// changeNumber returns the change number of a record in a part, or 0 if it is not in the
// part.
func (p Part) changeNumber(r *record) uint64 {
	threshold := r.scope.threshold()
	switch {
	case p == PartOwn:
		return r.ownChange
	case p == PartFound:
		return r.foundChange
	case p == PartHeld && len(r.ended) < threshold && (!r.scope.shared() || len(r.ended) < threshold-1), p == PartLikely && len(r.ended) < threshold-1:
		return 0
	}
	return r.change
}

// likely reports whether a suspect is held back or would be after one more server.
func (r *record) likely() bool { return r.blame() >= r.scope.threshold()-1 }

// Since returns the records of a part that changed after a change number, 0 for all, and
// the number up to which they are complete. The number of records is bounded; further calls
// return the rest.
func (s *SuspectSet) Since(after uint64, part Part) ([]*schema.Suspect, uint64) {
	if s.Empty() {
		return nil, after
	}
	return s.since(after, part, maxReaderBurst, func(*record) bool { return true })
}

// since is Since for the records for which selects returns true, with a limit on their
// number.
func (s *SuspectSet) since(after uint64, part Part, limit int, selects func(*record) bool) ([]*schema.Suspect, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.cfg.Now()
	if now.Sub(s.lastExpiry) > expiryInterval {
		s.expire()
	}
	if after == s.change || limit == 0 {
		return nil, after
	}
	changes := &s.changes
	switch part {
	case PartOwn:
		changes = &s.ownChanges
	case PartFound:
		changes = &s.foundChanges
	case PartAll, PartHeld, PartLikely:
	}
	records, to, examined := changes.since(after, s.change, limit, func(r *record) bool { return part.changeNumber(r) != 0 && selects(r) })
	s.examined.Add(uint64(examined))
	out := make([]*schema.Suspect, 0, len(records))
	for _, r := range records {
		out = append(out, r.message(now))
	}
	return out, to
}

// Merge merges another host's records into the set. It reports whether any of them changed
// it.
func (s *SuspectSet) Merge(list []*schema.Suspect, source Source) bool {
	if len(list) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, rejected, lastReason := 0, 0, ""
	var likely []string
	var oldest time.Duration
	for _, suspect := range list {
		var key Key
		scope := Scope(suspect.GetScope())
		if reason := rejectionOf(suspect); reason != "" {
			rejected++
			lastReason = reason
			continue
		}
		copy(key[:], suspect.GetKey())
		r := s.getOrAdd(Accusation{Key: key, Scope: scope, Depth: int(suspect.GetDepth())})
		merged := s.update(key, r, source, func(r *record) bool { return s.mergeServers(r, suspect) })
		if source == SourceControl && r.isCoveredBy(suspect) {
			// Nothing is left to report.
			s.clearChange(&s.ownChanges, &r.ownChange)
		}
		if !merged {
			continue
		}
		changed++
		if r.likely() && len(likely) < maxSuspectsLogged {
			likely = append(likely, key.String())
			oldest = max(oldest, time.Duration(suspect.GetAgeMs())*time.Millisecond)
		}
	}
	s.evaluate()
	if rejected > 0 {
		s.cfg.Log.Info("suspicions not taken", "source", source.String(), "count", rejected, "last-reason", lastReason)
	}
	if len(likely) > 0 {
		s.cfg.Log.Info("suspects received", "source", source.String(), "count", len(list), "changed", changed, "likely", likely, "age-ms", oldest.Milliseconds())
	}
	return changed > 0
}

// rejectionOf returns why a record of another host is not merged, "" if it is.
func rejectionOf(suspect *schema.Suspect) string {
	scope := Scope(suspect.GetScope())
	switch {
	case len(suspect.GetKey()) != len(Key{}):
		return "its key has another length"
	case scope < ScopeRequest || scope > ScopeSession:
		return "its scope is unknown"
	}
	for _, e := range suspect.GetEnded() {
		age := time.Duration(cmp.Or(e.GetAgeMs(), suspect.GetAgeMs())) * time.Millisecond
		switch {
		case age < 0:
			return "its servers end in the future"
		case age > maxRecordAge:
			return "it is too old"
		case e.GetServer() == "" || len(e.GetServer()) > maxServerBytes:
			return "the name of a server is empty or too long"
		}
	}
	return ""
}

// mergeServers merges the servers of a suspect into its record, and reports whether that
// changed the record.
func (s *SuspectSet) mergeServers(r *record, suspect *schema.Suspect) bool {
	changed, now := false, s.cfg.Now()
	for _, e := range suspect.GetEnded() {
		age := time.Duration(cmp.Or(e.GetAgeMs(), suspect.GetAgeMs())) * time.Millisecond
		changed = r.add(e.GetServer(), endedServer{at: now.Add(-age), cleared: e.GetCleared(), weak: e.GetWeak(), kind: Kind(e.GetKind())}) || changed
	}
	return changed
}

// LikelyDigest returns a digest of PartLikely, 0 if it has no records. Sets with the same records have
// the same digest.
func (s *SuspectSet) LikelyDigest() uint64 {
	if s.Empty() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.digestChange == s.change {
		return s.digest
	}
	s.digest, s.digestChange = 0, s.change
	for key, r := range s.records {
		if PartLikely.changeNumber(r) > 0 {
			s.digest ^= r.digest(key)
		}
	}
	return s.digest
}

// digest returns a digest of a record that does not depend on the order of its servers.
func (r *record) digest(key Key) (sum uint64) {
	for server, e := range r.ended {
		var d xxhash.Digest
		d.Reset()
		// Writing to a hash does not fail.
		_, _ = d.Write(key[:])
		_, _ = d.WriteString(server)
		_, _ = d.WriteString(strconv.FormatBool(e.cleared) + strconv.FormatBool(e.weak))
		sum ^= d.Sum64()
	}
	return sum
}

// Sample returns up to n records of PartLikely, those first that count against their suspects, and of
// these the latest.
func (s *SuspectSet) Sample(n int) []*schema.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []Key
	for key, r := range s.records {
		if PartLikely.changeNumber(r) > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(k, l Key) int {
		r, other := s.records[k], s.records[l]
		return cmp.Or(cmp.Compare(other.blame(), r.blame()), other.lastEnded.Compare(r.lastEnded), slices.Compare(k[:], l[:]))
	})
	now := s.cfg.Now()
	var out []*schema.Suspect
	for _, key := range keys[:min(n, len(keys))] {
		out = append(out, s.records[key].message(now))
	}
	return out
}
