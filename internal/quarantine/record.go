package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fennelyard/internal/schema"
)

const (
	// maxServersPerRecord is the maximum number of servers in a record.
	maxServersPerRecord = 16
	// maxDroppedServers is the maximum number of servers that a record remembers as dropped.
	maxDroppedServers = 256
	// maxEndShift bounds how much later than it was the end of a server may seem to a host, as each
	// host that passes it on adds the time of the transfer.
	maxEndShift = 10 * time.Second
	// maxServerBytes is the maximum length of a server's name in a record of another host.
	maxServerBytes = 512
	// maxRecordAge is how long ago a server ended at most in a record that another host may still have.
	maxRecordAge = firstHold<<maxHoldDoublings + 2*suspicionRetention
	// weakGroupWindow is the time within which servers end together, as those of a rack that
	// loses power do: they are one piece of weak evidence.
	weakGroupWindow = time.Second
)

// record is the evidence against one suspect.
type record struct {
	key   Key
	scope Scope
	depth int
	// ended are the servers that ended under the suspect, by incarnation.
	ended map[string]endedServer
	// knownBlame is blame plus one, or 0 after a change of ended.
	knownBlame int
	// lastEnded is when the last of these servers ended.
	lastEnded time.Time
	// dropped are the servers that were removed from ended to make room, the latest last, and
	// droppedUntil is when the last of those ended that are no longer in it. These ends are not
	// added again: each host drops others, and the hosts would send them to each other for ever.
	dropped      []droppedServer
	droppedUntil time.Time
	// change is the number of the last change, ownChange of the last one that control hosts
	// may not know, and foundChange of the last one that this host found itself.
	change, ownChange, foundChange uint64
}

// droppedServer is the hash of a server's name and when the server ended.
type droppedServer struct {
	hash uint64
	at   time.Time
}

// endedServer is a server that ended under a suspect.
type endedServer struct {
	at time.Time
	// cleared is set if such a request has completed somewhere since, which clears it of
	// this server.
	cleared bool
	// weak is set if such a request had completed shortly before at each entry that reported
	// the server.
	weak bool
	kind Kind
}

// kinds returns the kinds of the servers that count against the suspect.
func (r *record) kinds() (out []Kind) {
	for _, e := range r.ended {
		if !e.cleared && !slices.Contains(out, e.kind) {
			out = append(out, e.kind)
		}
	}
	return out
}

// blame returns the number of servers that count against the suspect. Those that are weak
// evidence count once for each group that ended together.
func (r *record) blame() int {
	if r.knownBlame == 0 {
		r.knownBlame = r.blameWithout(func(string) bool { return false }) + 1
	}
	return r.knownBlame - 1
}

// blameWithout is blame without the servers for which explained returns true.
func (r *record) blameWithout(explained func(server string) bool) int {
	n := 0
	var weak []time.Time
	for server, e := range r.ended {
		switch {
		case e.cleared || explained(server):
		case e.weak:
			weak = append(weak, e.at)
		default:
			n++
		}
	}
	slices.SortFunc(weak, time.Time.Compare)
	var group time.Time
	for i, at := range weak {
		if i == 0 || at.Sub(group) > weakGroupWindow {
			n, group = n+1, at
		}
	}
	return n
}

// heldUntil returns until when the suspect is held back if its blame reaches the threshold.
func (r *record) heldUntil() time.Time {
	return r.lastEnded.Add(firstHold << min(max(r.blame()-r.scope.threshold(), 0), maxHoldDoublings))
}

// doubtfulHold is the hold of a suspect of whose servers others explain all but some.
func (r *record) doubtfulHold(unexplained int) hold {
	return hold{r.lastEnded.Add(doubtfulHold << min(unexplained, maxHoldDoublings)), true}
}

// add adds a server, and reports whether that changed the record.
func (r *record) add(server string, e endedServer) bool {
	known, ok := r.ended[server]
	if ok {
		merged := endedServer{at: known.at, cleared: known.cleared || e.cleared, weak: known.weak && e.weak, kind: known.kind}
		r.ended[server], r.knownBlame = merged, 0
		return merged != known
	}
	if !e.at.After(r.droppedUntil) || r.hasDropped(server, e.at) || !r.makeRoom() {
		return false
	}
	r.ended[server], r.knownBlame = e, 0
	if e.at.After(r.lastEnded) {
		r.lastEnded = e.at
	}
	return true
}

// isCoveredBy reports whether a message has all that the record has.
func (r *record) isCoveredBy(suspect *schema.Suspect) bool {
	covered := 0
	for _, e := range suspect.GetEnded() {
		if known, ok := r.ended[e.GetServer()]; ok && known.cleared == e.GetCleared() && known.weak == e.GetWeak() {
			covered++
		}
	}
	return covered == len(r.ended)
}

// makeRoom removes the oldest cleared server of a full record. It returns false if all
// servers count against the suspect: one more would prove nothing new.
func (r *record) makeRoom() bool {
	if len(r.ended) < maxServersPerRecord {
		return true
	}
	oldest := ""
	for server, e := range r.ended {
		if e.cleared && (oldest == "" || e.at.Before(r.ended[oldest].at)) {
			oldest = server
		}
	}
	if oldest == "" {
		return false
	}
	if r.dropped = append(r.dropped, droppedServer{xxhash.Sum64String(oldest), r.ended[oldest].at}); len(r.dropped) > maxDroppedServers {
		// The one that is forgotten ended before this one, as the oldest is dropped first.
		r.dropped, r.droppedUntil = r.dropped[1:], r.ended[oldest].at
	}
	delete(r.ended, oldest)
	r.knownBlame = 0
	return true
}

// hasDropped reports whether an end of a server was removed to make room.
func (r *record) hasDropped(server string, at time.Time) bool {
	if len(r.dropped) == 0 {
		return false
	}
	hash := xxhash.Sum64String(server)
	return slices.ContainsFunc(r.dropped, func(d droppedServer) bool { return d.hash == hash && at.Sub(d.at) <= maxEndShift })
}

// clearUntil clears the suspect of the servers of a kind that ended up to a time, and reports
// whether that changed the record.
func (r *record) clearUntil(at time.Time, kind Kind) bool {
	changed := false
	for server, e := range r.ended {
		if !e.cleared && !e.at.After(at) && kind.includes(e.kind) {
			e.cleared = true
			r.ended[server], r.knownBlame, changed = e, 0, true
		}
	}
	return changed
}

// message returns the record as a message.
func (r *record) message(now time.Time) *schema.Suspect {
	out := &schema.Suspect{
		Key: r.key[:], AgeMs: now.Sub(r.lastEnded).Milliseconds(), Scope: schema.SuspectScope(r.scope), Depth: uint32(r.depth),
	}
	for _, server := range slices.Sorted(maps.Keys(r.ended)) {
		e := r.ended[server]
		out.Ended = append(out.Ended, &schema.EndedServer{
			Server: server, Cleared: e.cleared, Weak: e.weak, AgeMs: now.Sub(e.at).Milliseconds(), Kind: uint32(e.kind),
		})
	}
	return out
}

// view returns the record for operators.
func (r *record) view(key Key, now time.Time) *schema.SuspectView {
	v := &schema.SuspectView{Key: key.String(), Scope: r.scope.String(), LastEndedAgoMs: uint64(max(now.Sub(r.lastEnded).Milliseconds(), 0))}
	for _, server := range slices.Sorted(maps.Keys(r.ended)) {
		v.EndedServers = append(v.EndedServers, server)
		if r.ended[server].cleared {
			v.ClearedServers = append(v.ClearedServers, server)
		}
	}
	return v
}
