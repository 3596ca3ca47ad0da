package consensus

import "time"

// roundsMost bounds the heartbeat rounds that are remembered: a quorum that has answered
// none of so many is lost, and the leader steps down long before.
const roundsMost = 256

// rounds tells when a leader's heartbeat rounds began. When a quorum has answered one, the
// leader was the leader at the moment at which it began: a leader that is frozen, or cut
// off, and that takes itself for one, can't tell by its own word.
type rounds struct {
	// began are rounds by ascending number: the last that a quorum has answered, where it is
	// known, and those after it.
	began []begunRound
}

// begunRound is a heartbeat round and when it began, or a moment later.
type begunRound struct {
	number uint64
	at     time.Time
}

// confirmed notes the last round that was begun, now where it is new, and returns when the
// last one began that a quorum has answered; the zero time: none is known.
func (r *rounds) confirmed(now time.Time, begun, answered uint64) time.Time {
	if begun == 0 {
		r.began = nil
		return time.Time{}
	}
	if n := len(r.began); n == 0 || r.began[n-1].number < begun {
		r.began = append(r.began, begunRound{begun, now})
	}
	if len(r.began) > roundsMost {
		r.began = r.began[1:]
	}
	// What was begun before the answered round is of no use any more; it is itself, until
	// a later one is answered.
	for len(r.began) > 1 && r.began[1].number <= answered {
		r.began = r.began[1:]
	}
	if r.began[0].number > answered {
		return time.Time{}
	}
	return r.began[0].at
}
