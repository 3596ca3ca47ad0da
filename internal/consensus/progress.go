package consensus

// progressState is the mode in which the leader replicates to a member.
type progressState int

const (
	// progressProbe sends one append at a time until one is accepted.
	progressProbe progressState = iota
	// progressStream sends appends ahead of their replies.
	progressStream
	// progressSnapshot sends nothing until the member has installed a snapshot.
	progressSnapshot
)

// progress is the leader's replication state for one member.
type progress struct {
	state progressState
	// match is the highest index known to be on the member's disk.
	match uint64
	// next is the next index to send; it is above match.
	next uint64
	// inflight contains the last index of each unacknowledged append, ascending.
	inflight []uint64
	// paused is set in progressProbe from a send to the next reply or heartbeat.
	paused bool
	// active is set by any reply and cleared by each quorum check.
	active bool
	// round is the highest heartbeat round that the member acknowledged.
	round uint64
	// stalledTicks counts ticks without progress while a message is unacknowledged.
	stalledTicks int
	// silentTicks counts ticks since the member's last reply.
	silentTicks int
}

func (p *progress) acknowledge(index uint64) bool {
	p.paused = false
	for len(p.inflight) > 0 && p.inflight[0] <= index {
		p.inflight = p.inflight[1:]
	}
	if index <= p.match {
		return false
	}
	p.match = index
	p.next = max(p.next, index+1)
	p.stalledTicks = 0
	return true
}

// probe returns to progressProbe, starting directly after match.
func (p *progress) probe() {
	p.state = progressProbe
	p.next = p.match + 1
	p.inflight = nil
	p.paused = false
	p.stalledTicks = 0
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
