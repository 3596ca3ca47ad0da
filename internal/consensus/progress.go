package consensus

// progressState is how the leader feeds a member.
type progressState int

const (
	// progressProbe sends one append at a time until one is accepted.
	progressProbe progressState = iota
	// progressStream sends appends ahead of their replies.
	progressStream
	// progressSnapshot waits for a snapshot to be taken in.
	progressSnapshot
)

// progress is what the leader knows of one member.
type progress struct {
	state progressState
	// match is the highest index known to be on the member's disk.
	match uint64
	// next is the next index to send; it is above match.
	next uint64
	// inflight holds the last index of each unanswered append, ascending.
	inflight []uint64
	// paused is set in progressProbe from a send to the next reply or heartbeat.
	paused bool
	// active is set by any reply and cleared by each quorum check.
	active bool
	// round is the highest heartbeat round that the member confirmed.
	round uint64
	// stalled counts ticks without progress while something is unanswered.
	stalled int
	// heard counts ticks since the member's last reply.
	heard int
}

func (p *progress) acked(index uint64) bool {
	p.paused = false
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	p.stalled = 0
	return true
}

// probe goes back to sending one append at a time from above match.
func (p *progress) probe() {
	p.state = progressProbe
	p.next = p.match + 1
	p.inflight = nil
	p.paused = false
	p.stalled = 0
}

func (p *progress) blocked(maxInflight int) bool {
	switch p.state {
	case progressProbe:
		return p.paused
	case progressStream:
		return len(p.inflight) >= maxInflight
	case progressSnapshot:
		return true
	}
	return true
}
