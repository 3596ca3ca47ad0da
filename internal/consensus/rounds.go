package consensus

import "time"

// maxRounds bounds the number of recorded heartbeat rounds. A leader whose quorum
// has acknowledged none of them has stepped down long before.
const maxRounds = 256

// rounds records the start times of a leader's heartbeat rounds. Once a quorum has
// acknowledged a round, the member was the leader at the start of that round. The
// member's own role is no proof: a leader that was frozen or partitioned still
// assumes that it leads.
type rounds struct {
	// started are rounds by ascending number: the last one that a quorum has
	// acknowledged, if known, and those after it.
	started []startedRound
}

// startedRound is a heartbeat round and its start time, or a slightly later time.
type startedRound struct {
	number uint64
	at     time.Time
}

// confirmed records the last started round, with the time now if it is new, and
// returns the start time of the last round that a quorum has acknowledged, or the
// zero time if none is known.
func (r *rounds) confirmed(now time.Time, started, acknowledged uint64) time.Time {
	if started == 0 {
		r.started = nil
		return time.Time{}
	}
	if n := len(r.started); n == 0 || r.started[n-1].number < started {
		r.started = append(r.started, startedRound{started, now})
	}
	if len(r.started) > maxRounds {
		r.started = r.started[1:]
	}
	// Rounds before the last acknowledged one are no longer needed. That one is
	// needed until a later round is acknowledged.
	for len(r.started) > 1 && r.started[1].number <= acknowledged {
		r.started = r.started[1:]
	}
	if r.started[0].number > acknowledged {
		return time.Time{}
	}
	return r.started[0].at
}
