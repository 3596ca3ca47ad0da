package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// examinationsPerSecond is how many records a host examines in a second to decide which
	// suspects are held back, about 2% of a core, and maxExaminationCredit how many at once after
	// a time with fewer. Decisions are made with each change while they stay within that, and
	// otherwise as soon as there is credit again: after dozens of servers have ended together
	// hundreds of entries report what thousands of requests had in common.
	examinationsPerSecond = 50_000.0
	maxExaminationCredit  = 100_000.0
	// maxDoubtfulServers is how many servers more than the threshold may end under a suspect
	// as long as others explain them, if they do not explain all of them: the wrong one of
	// two that ran side by side may have been chosen.
	maxDoubtfulServers = 2
	// doubtfulHold is how long a suspect that others explain in part is held back until it
	// may try again, doubled with each server that they do not explain: if it is wide and
	// harmless, nothing but a trial can clear it.
	doubtfulHold = 2 * time.Second
	// maxExplanations bounds the suspects that are looked at for each server.
	maxExplanations = 8
)

// holds decides which of the suspects whose blame reaches their thresholds are held back.
// The requests of a harmful suspect share other things as well, and others run beside them,
// so that each end of a server accuses many. The fewest requests are refused if of these
// only the narrowest are held back that explain what has happened.
type holds struct {
	// candidates are the suspects whose blame reaches their thresholds, and the parts that
	// lack one server.
	candidates map[Key]*record
	// held are the shared suspects that are held back.
	held map[Key]hold
	// servers are those under which shared suspects are held back, true if one of these is not doubtful.
	servers map[string]bool
	// requests are those whose blame reaches the threshold, by the servers that count against them.
	requests map[string][]*record
	// doubted are the requests that are held back and doubtful, for the log.
	doubted map[Key]bool
	// dirty is set if candidates have changed since they were evaluated.
	dirty bool
	// credit is the number of records that could be examined at creditedAt. An evaluation may overdraw it.
	credit     float64
	creditedAt time.Time
	// examined counts the records that evaluations looked at.
	examined *atomic.Uint64
}

// hold is how long a suspect is held back.
type hold struct {
	until time.Time
	// doubtful is set if other suspects explain a part of the evidence.
	doubtful bool
}

func newHolds() holds {
	return holds{candidates: map[Key]*record{}, held: map[Key]hold{}, servers: map[string]bool{}, requests: map[string][]*record{}, doubted: map[Key]bool{}, examined: &atomic.Uint64{}, credit: maxExaminationCredit}
}

// recordChanged takes note of a change of a record.
func (h *holds) recordChanged(key Key, r *record) {
	_, was := h.candidates[key]
	blame := r.blame()
	is := blame >= r.scope.threshold() || r.scope == ScopePart && blame == r.scope.threshold()-1
	switch {
	case is:
		h.candidates[key] = r
	case was:
		delete(h.candidates, key)
	}
	h.dirty = h.dirty || is || was
}

func (h *holds) recordRemoved(key Key) {
	if _, was := h.candidates[key]; was {
		delete(h.candidates, key)
		h.dirty = true
	}
}

// hasCredit reports whether an evaluation may begin.
func (h *holds) hasCredit(now time.Time) bool {
	h.credit = min(h.credit+examinationsPerSecond*max(now.Sub(h.creditedAt).Seconds(), 0), maxExaminationCredit)
	h.creditedAt = now
	return h.credit > 0
}

// evaluate decides anew if candidates have changed. It returns the suspects that are held
// back for another time than before; nil if there are none.
func (h *holds) evaluate(now time.Time) map[Key]time.Time {
	if !h.dirty || !h.hasCredit(now) {
		return nil
	}
	h.dirty = false
	examinedBefore := h.examined.Load()
	defer func() { h.credit -= float64(h.examined.Load() - examinedBefore) }()
	before := h.held
	h.examined.Add(uint64(len(h.candidates)))
	chosen := withoutExplained(h.choose())
	h.held, h.servers, h.requests = map[Key]hold{}, map[string]bool{}, map[string][]*record{}
	for _, r := range h.candidates {
		if r.scope.shared() {
			continue
		}
		for server, e := range r.ended {
			if !e.cleared {
				h.requests[server] = append(h.requests[server], r)
			}
		}
	}
	for _, key := range chosen.keys {
		r := h.candidates[key]
		if !r.scope.shared() {
			continue
		}
		h.held[key] = hold{until: r.heldUntil()}
		unexplained, doubtful := chosen.doubtful[key]
		if doubtful {
			h.held[key] = r.doubtfulHold(unexplained)
		}
		for server, e := range r.ended {
			if !e.cleared {
				h.servers[server] = h.servers[server] || !doubtful
			}
		}
	}
	changed := map[Key]time.Time{}
	for key, current := range h.held {
		if !current.until.Equal(before[key].until) {
			changed[key] = current.until
		}
	}
	for key := range before {
		if _, held := h.held[key]; !held {
			changed[key] = time.Time{}
		}
	}
	h.doubtRequests(changed)
	return changed
}

// doubtRequests adds the requests to changed that have become doubtful, or no longer are.
func (h *holds) doubtRequests(changed map[Key]time.Time) {
	before := h.doubted
	h.doubted = map[Key]bool{}
	for key, r := range h.candidates {
		if r.scope.shared() {
			continue
		}
		current, held := h.ofRequest(r)
		if held && current.doubtful {
			h.doubted[key] = true
		}
		if held && before[key] != current.doubtful {
			changed[key] = current.until
		}
	}
}

// ofRequest returns how long a request is held back whose blame reaches the threshold. One whose servers
// shared suspects explain is not. If those that are not doubtful explain some of them and other requests all the
// rest, it may have run beside them by chance, and nothing but a trial can clear it.
func (h *holds) ofRequest(r *record) (hold, bool) {
	if h.explains(r) {
		return hold{}, false
	}
	unexplained := r.blameWithout(func(server string) bool { return h.servers[server] })
	if unexplained < r.blame() && h.ranBesideOthers(r) {
		return r.doubtfulHold(unexplained), true
	}
	return hold{until: r.heldUntil()}, true
}

// ranBesideOthers reports whether shared suspects that are not doubtful or other requests explain each server that
// counts against a request.
func (h *holds) ranBesideOthers(r *record) bool {
	for server, e := range r.ended {
		others := slices.ContainsFunc(h.requests[server], func(other *record) bool { return other != r })
		if !e.cleared && !h.servers[server] && !others {
			return false
		}
	}
	return true
}

// choice is the suspects chosen to explain the ends of servers.
type choice struct {
	candidates map[Key]*record
	keys       []Key
	// doubtful are those of keys that others explain in part, or that lack one server, with
	// the number of servers that the others do not explain.
	doubtful map[Key]int
	// explanations are the chosen suspects by the servers that count against them.
	explanations map[string][]Key
	// examined counts the records that were looked at.
	examined *atomic.Uint64
}

// choose goes through the candidates from the narrowest to the widest. What a narrower one
// explains is no evidence against a wider one, unless all of the narrower one's servers
// count against the wider one as well: then the narrower one may be one of several that
// have only the wider one in common, and together they are one piece of evidence. Where
// parts that lack servers, or whose servers others explain in part, would explain a wider
// suspect, they are held back in its place.
func (h *holds) choose() *choice {
	c := &choice{candidates: h.candidates, doubtful: map[Key]int{}, explanations: map[string][]Key{}, examined: h.examined}
	var partial []Key
	for _, key := range slices.SortedFunc(maps.Keys(h.candidates), h.compare) {
		r := h.candidates[key]
		if !r.scope.shared() {
			// A request that is repeated is held back by itself.
			c.add(key, r)
			continue
		}
		if r.blame() < r.scope.threshold() {
			partial = append(partial, key)
			continue
		}
		unexplained, nested := c.unexplained(r)
		if unexplained+nested < r.scope.threshold() {
			switch {
			case unexplained == 0:
			case r.blame() >= r.scope.threshold()+maxDoubtfulServers:
				c.add(key, r)
				c.doubtful[key] = unexplained
			case r.scope == ScopePart:
				partial = append(partial, key)
			}
			continue
		}
		if with := c.withPartial(r, partial); with != nil {
			c = with
			continue
		}
		c.add(key, r)
		if nested > 1 {
			c.doubtful[key] = unexplained
		}
	}
	return c
}

// withPartial returns the choice with the partial suspects that explain servers of another
// suspect, if that is enough not to hold it back; otherwise nil.
func (c *choice) withPartial(r *record, partial []Key) *choice {
	with := &choice{candidates: c.candidates, keys: slices.Clone(c.keys), doubtful: maps.Clone(c.doubtful), explanations: map[string][]Key{}, examined: c.examined}
	for server, by := range c.explanations {
		c.examined.Add(uint64(len(by)))
		with.explanations[server] = slices.Clone(by)
	}
	added := false
	for _, key := range partial {
		p := c.candidates[key]
		if unexplained, _ := with.unexplained(p); unexplained > 0 && p.isWithin(r) {
			with.add(key, p)
			with.doubtful[key] = unexplained
			added = true
		}
	}
	if unexplained, nested := with.unexplained(r); !added || unexplained+nested >= r.scope.threshold() {
		return nil
	}
	return with
}

// unexplained returns the blame of a suspect without the servers that chosen suspects
// explain, and the number of these whose servers all count against it as well.
func (c *choice) unexplained(r *record) (blame, nested int) {
	c.examined.Add(1)
	within := map[Key]bool{}
	blame = r.blameWithout(func(server string) bool {
		for _, by := range c.explanations[server] {
			if _, seen := within[by]; !seen {
				c.examined.Add(1)
				within[by] = c.candidates[by].isWithin(r)
			}
		}
		return len(c.explanations[server]) > 0
	})
	for _, is := range within {
		if is {
			nested++
		}
	}
	return blame, nested
}

func (c *choice) add(key Key, r *record) {
	c.keys = append(c.keys, key)
	for server, e := range r.ended {
		if !e.cleared && len(c.explanations[server]) < maxExplanations {
			c.explanations[server] = append(c.explanations[server], key)
		}
	}
}

// compare orders two candidates: the narrower one first, then the one with more evidence.
func (h *holds) compare(a, b Key) int {
	h.examined.Add(1)
	r, other := h.candidates[a], h.candidates[b]
	return cmp.Or(-cmp.Compare(r.scope.narrowness(), other.scope.narrowness()), -cmp.Compare(r.depth, other.depth),
		-cmp.Compare(r.blame(), other.blame()), slices.Compare(a[:], b[:]))
}

// isWithin reports whether all servers that count against a suspect have ended under
// another one as well.
func (r *record) isWithin(other *record) bool {
	for server, e := range r.ended {
		if _, ok := other.ended[server]; !e.cleared && !ok {
			return false
		}
	}
	return true
}

// withoutExplained removes the chosen suspects whose servers others explain that have more
// evidence against them: a suspect that ran beside a harmful one a few times is held back
// only until the harmful one has ended more servers.
func withoutExplained(c *choice) *choice {
	out := &choice{candidates: c.candidates, doubtful: c.doubtful, explanations: map[string][]Key{}, examined: c.examined}
	for _, key := range c.keys {
		if !c.explained(key) {
			out.add(key, c.candidates[key])
		}
	}
	return out
}

// explained reports whether each server that counts against a chosen suspect also counts
// against another chosen one with more evidence.
func (c *choice) explained(key Key) bool {
	c.examined.Add(1)
	r := c.candidates[key]
	blame := r.blame()
	for server, e := range r.ended {
		if e.cleared {
			continue
		}
		if !slices.ContainsFunc(c.explanations[server], func(by Key) bool {
			_, doubtful := c.doubtful[by]
			return by != key && !doubtful && c.candidates[by].blame() > blame
		}) {
			return false
		}
	}
	return true
}

// explains reports whether suspects that are held back explain all servers that count
// against a request.
func (h *holds) explains(r *record) bool {
	if len(h.servers) == 0 {
		return false
	}
	for server, e := range r.ended {
		if _, held := h.servers[server]; !e.cleared && !held {
			return false
		}
	}
	return true
}
