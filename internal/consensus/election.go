package consensus

import (
	"slices"

	"fennelyard/internal/schema"
)

// TransferLeadership starts a leadership transfer to the most up-to-date other
// voter. It returns false if this member is not the leader or no other voter is
// reachable.
func (c *Core) TransferLeadership() bool {
	if c.role != RoleLeader {
		return false
	}
	var best uint64
	for _, m := range c.Membership().GetMembers() {
		p := c.progress[m.GetId()]
		if m.GetId() == c.cfg.ID || m.GetLearner() || p == nil || !p.active && p.silentTicks > c.cfg.ElectionTicks {
			continue
		}
		if best == 0 || p.match > c.progress[best].match {
			best = m.GetId()
		}
	}
	if best == 0 {
		return false
	}
	c.transferee, c.transferElapsed = best, 0
	c.continueTransfer(best)
	return true
}

func (c *Core) continueTransfer(id uint64) {
	if c.transferee != id || c.progress[id].match != c.log.last() {
		return
	}
	c.send(&schema.ConsensusMessage{Kind: schema.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: id, Term: c.term})
}

// ignoresVoteRequest reports whether a vote request is ignored because there is an
// active leader. Otherwise a member that was partitioned or removed would depose
// the leader by its higher term.
func (c *Core) ignoresVoteRequest(m *schema.ConsensusMessage) bool {
	if m.GetTransfer() {
		return false
	}
	kind := m.GetKind()
	if kind != schema.MessageKind_MESSAGE_KIND_VOTE && kind != schema.MessageKind_MESSAGE_KIND_PRE_VOTE {
		return false
	}
	return c.role == RoleLeader || c.leader != 0 && c.elapsed < c.cfg.ElectionTicks*c.timeoutFactor()
}

func (c *Core) adoptTerm(m *schema.ConsensusMessage) {
	switch m.GetKind() {
	case schema.MessageKind_MESSAGE_KIND_PRE_VOTE:
		return
	case schema.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		if !m.GetReject() {
			return
		}
		c.becomeFollower(m.GetTerm(), 0)
	case schema.MessageKind_MESSAGE_KIND_APPEND, schema.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.becomeFollower(m.GetTerm(), m.GetFrom())
	default:
		c.becomeFollower(m.GetTerm(), 0)
	}
}

// rejectOldTerm replies to a message of an older term with the current term.
// Otherwise a member whose term is ahead would never accept the active leader,
// and the leader would never learn of the higher term.
func (c *Core) rejectOldTerm(m *schema.ConsensusMessage) {
	kind := schema.MessageKind_MESSAGE_KIND_UNSPECIFIED
	switch m.GetKind() {
	case schema.MessageKind_MESSAGE_KIND_APPEND, schema.MessageKind_MESSAGE_KIND_SNAPSHOT:
		kind = schema.MessageKind_MESSAGE_KIND_APPEND_REPLY
	case schema.MessageKind_MESSAGE_KIND_PRE_VOTE:
		kind = schema.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	case schema.MessageKind_MESSAGE_KIND_VOTE:
		kind = schema.MessageKind_MESSAGE_KIND_VOTE_REPLY
	default:
		return
	}
	c.send(&schema.ConsensusMessage{Kind: kind, To: m.GetFrom(), Term: c.term, Reject: true})
}

func (c *Core) becomeFollower(term, leader uint64) {
	c.role = RoleFollower
	if term != c.term {
		c.term = term
		c.vote = 0
	}
	c.leader = leader
	c.recordLeader()
	c.progress = nil
	c.reads = nil
	c.votes = nil
	c.transferee, c.transferElapsed = 0, 0
	c.uncommittedBytes = 0
	c.resetTimeout()
}

// preVoteTimeoutDivisor divides the election timeout of a member that has not seen a
// leader since it started, or that has requested pre-votes without effect. If all members
// lose power there is no leader, and callers are not served until one is elected; if a
// leader is lost, the first member that requests pre-votes is ignored by those that last
// received from it a little later. If there is a leader, the early pre-vote is ignored and
// has no effect.
const preVoteTimeoutDivisor = 3

func (c *Core) resetTimeout() {
	c.elapsed = 0
	c.timeout = c.cfg.ElectionTicks + c.cfg.Random(c.cfg.ElectionTicks)
	if !c.leaderSeen || c.role == RolePreCandidate {
		c.timeout = max(c.timeout/preVoteTimeoutDivisor, 1)
	}
}

const (
	// unstableElections is the number of election timeouts after a change of
	// leader within which another change marks leadership as unstable.
	unstableElections = 20
	// unstableTimeoutFactor multiplies the time for which a leader, and the leader's quorum,
	// may be silent while leadership is unstable. A new leader of a large group has the most
	// work in its first seconds. If it is deposed because of that load, the next leader faces
	// the same work, and no leader serves requests. The random part of a timeout stays: it
	// only separates the members.
	unstableTimeoutFactor = 2
)

// recordLeader updates the leadership history if the leader of the current term
// is known.
func (c *Core) recordLeader() {
	c.leaderSeen = c.leaderSeen || c.leader != 0
	if c.leader == 0 || c.term <= c.lastLeaderTerm {
		return
	}
	c.leadershipUnstable = c.lastLeaderTerm != 0 && c.lastLeaderTicks < unstableElections*c.cfg.ElectionTicks
	c.lastLeaderTerm, c.lastLeaderTicks = c.term, 0
}

// timeoutFactor returns the factor by which the timeouts for the current leader
// are extended. It is 1 while no leader is known.
func (c *Core) timeoutFactor() int {
	if c.leader != 0 && c.leadershipUnstable && c.lastLeaderTicks < unstableElections*c.cfg.ElectionTicks {
		return unstableTimeoutFactor
	}
	return 1
}

func (c *Core) campaign(pre, transfer bool) {
	c.leader = 0
	term := c.term + 1
	kind := schema.MessageKind_MESSAGE_KIND_PRE_VOTE
	c.role = RolePreCandidate
	if !pre {
		c.term = term
		c.vote = c.cfg.ID
		c.role = RoleCandidate
		kind = schema.MessageKind_MESSAGE_KIND_VOTE
	}
	c.resetTimeout()
	c.votes = map[uint64]bool{}
	for _, m := range c.Membership().GetMembers() {
		if m.GetLearner() || m.GetId() == c.cfg.ID {
			continue
		}
		c.send(&schema.ConsensusMessage{
			Kind: kind, To: m.GetId(), Term: term,
			Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: transfer,
		})
	}
	c.recordVote(c.cfg.ID, true)
}

func (c *Core) handleVote(m *schema.ConsensusMessage) {
	pre := m.GetKind() == schema.MessageKind_MESSAGE_KIND_PRE_VOTE
	kind := schema.MessageKind_MESSAGE_KIND_VOTE_REPLY
	if pre {
		kind = schema.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY
	}
	canVote := pre && m.GetTerm() > c.term || c.vote == m.GetFrom() || c.vote == 0 && c.leader == 0
	upToDate := m.GetLogTerm() > c.log.lastTerm() ||
		m.GetLogTerm() == c.log.lastTerm() && m.GetIndex() >= c.log.last()
	if !canVote || !upToDate || pre && (c.takesPrecedence(m) || c.preVotedOther(m.GetFrom())) {
		c.send(&schema.ConsensusMessage{Kind: kind, To: m.GetFrom(), Term: c.term, Reject: true})
		return
	}
	if pre {
		c.preVoted = m.GetFrom()
	} else {
		c.vote = m.GetFrom()
		c.elapsed = 0
	}
	c.send(&schema.ConsensusMessage{Kind: kind, To: m.GetFrom(), Term: m.GetTerm()})
}

// takesPrecedence reports whether this member requested pre-votes in the same tick
// as the sender, has an equal log and the lower id. If both granted each other's
// pre-vote, both would become candidates, vote for themselves and wait for another
// timeout. The precedence is limited to one tick: a member whose own requests are
// lost must not prevent the others from electing a leader.
func (c *Core) takesPrecedence(m *schema.ConsensusMessage) bool {
	same := m.GetLogTerm() == c.log.lastTerm() && m.GetIndex() == c.log.last()
	return c.role == RolePreCandidate && c.elapsed == 0 && same && c.cfg.ID < m.GetFrom()
}

// preVotedOther reports whether another member was granted a pre-vote in this tick. If two
// members that time out in the same tick both received the pre-votes of a quorum, both would
// become candidates and split the votes. The limit of one tick is that of takesPrecedence.
func (c *Core) preVotedOther(id uint64) bool { return c.preVoted != 0 && c.preVoted != id }

func (c *Core) handleVoteReply(m *schema.ConsensusMessage, role Role) {
	if c.role != role {
		return
	}
	// Only replies to the current campaign count: a pre-vote granted for an
	// earlier term must not count for a later one.
	if role == RolePreCandidate && !m.GetReject() && m.GetTerm() != c.term+1 {
		return
	}
	c.recordVote(m.GetFrom(), !m.GetReject())
}

func (c *Core) recordVote(id uint64, granted bool) {
	if _, seen := c.votes[id]; !seen {
		c.votes[id] = granted
	}
	yes, no := 0, 0
	for _, v := range c.voters() {
		granted, seen := c.votes[v]
		switch {
		case seen && granted:
			yes++
		case seen:
			no++
		}
	}
	quorum := c.quorum()
	switch {
	case yes >= quorum && c.role == RolePreCandidate:
		c.campaign(false, false)
	case yes >= quorum:
		c.becomeLeader()
	case no >= quorum:
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) becomeLeader() {
	c.role = RoleLeader
	c.leader = c.cfg.ID
	c.recordLeader()
	c.votes = nil
	c.elapsed, c.heartbeatElapsed = 0, 0
	c.progress = map[uint64]*progress{}
	c.refreshProgress()
	// The new round makes the replies to the entry below the first ones that
	// confirm this leader.
	c.round++
	// The empty entry commits the entries of earlier terms, which a leader must
	// not commit by counting replicas.
	c.appendEntry(schema.EntryKind_ENTRY_KIND_EMPTY, nil)
}

func (c *Core) quorumActive() bool {
	active := 0
	for _, id := range c.voters() {
		if id == c.cfg.ID || c.progress[id].active {
			active++
		}
	}
	for id, p := range c.progress {
		p.active = id == c.cfg.ID
	}
	return active >= c.quorum()
}

func (c *Core) voters() []uint64 {
	var ids []uint64
	for _, m := range c.Membership().GetMembers() {
		if !m.GetLearner() {
			ids = append(ids, m.GetId())
		}
	}
	return ids
}

func (c *Core) quorum() int { return len(c.voters())/2 + 1 }

func (c *Core) isVoter(id uint64) bool { return slices.Contains(c.voters(), id) }
