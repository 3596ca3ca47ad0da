package consensus

import (
	"slices"

	"fennelyard/internal/schema"
)

// TransferLeadership asks the leader to hand over to the most advanced other voter. It
// returns false when there is none.
func (c *Core) TransferLeadership() bool {
	if c.role != RoleLeader {
		return false
	}
	var best uint64
	for _, m := range c.Membership().GetMembers() {
		p := c.progress[m.GetId()]
		if m.GetId() == c.cfg.ID || m.GetLearner() || p == nil || !p.active && p.heard > c.cfg.ElectionTicks {
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

// ignoresVote reports whether a live leader makes a vote request void: a member
// that was cut off, or removed, would otherwise depose it by its higher term.
func (c *Core) ignoresVote(m *schema.ConsensusMessage) bool {
	if m.GetTransfer() {
		return false
	}
	kind := m.GetKind()
	if kind != schema.MessageKind_MESSAGE_KIND_VOTE && kind != schema.MessageKind_MESSAGE_KIND_PRE_VOTE {
		return false
	}
	return c.role == RoleLeader || c.leader != 0 && c.elapsed < c.cfg.ElectionTicks*c.patience()
}

func (c *Core) followTerm(m *schema.ConsensusMessage) {
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

// answerOldTerm tells a sender of an older term about the present one. Without
// it a member whose term ran ahead would never accept the living leader, and
// the leader would never learn why.
func (c *Core) answerOldTerm(m *schema.ConsensusMessage) {
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
	c.noteLeader()
	c.progress = nil
	c.reads = nil
	c.votes = nil
	c.transferee, c.transferElapsed = 0, 0
	c.uncommittedBytes = 0
	c.resetTimeout()
}

// earlyPart is the part of the election timeout, one in so many, after which a
// member that has not met a leader since its start asks for pre-votes. After all
// members lost power nobody leads, and every tick more leaves callers unserved;
// where somebody leads, the pre-vote is ignored and changes nothing.
const earlyPart = 3

func (c *Core) resetTimeout() {
	c.elapsed = 0
	c.timeout = c.cfg.ElectionTicks + c.cfg.Random(c.cfg.ElectionTicks)
	if !c.met {
		c.timeout = max((c.cfg.ElectionTicks+c.cfg.Random(c.cfg.ElectionTicks))/earlyPart, 1)
	}
}

const (
	// restlessFor is for how many election timeouts after a change of leader the next one
	// shows that leaders come and go.
	restlessFor = 20
	// restlessTimes is how many times as long the leader may be silent then, and its quorum:
	// a new leader of a large group has the most to do in its first seconds. Deposed over
	// it, it leaves the same to the next, and none of them serves anybody.
	restlessTimes = 2
)

// noteLeader notes that the leader of the present term is known, if it is.
func (c *Core) noteLeader() {
	c.met = c.met || c.leader != 0
	if c.leader == 0 || c.term <= c.ledTerm {
		return
	}
	c.restless = c.ledTerm != 0 && c.ledTicks < restlessFor*c.cfg.ElectionTicks
	c.ledTerm, c.ledTicks = c.term, 0
}

// patience is how many times as long as otherwise the present leader may be silent. While
// none is known nothing is waited for.
func (c *Core) patience() int {
	if c.leader != 0 && c.restless && c.ledTicks < restlessFor*c.cfg.ElectionTicks {
		return restlessTimes
	}
	return 1
}

func (c *Core) campaign(pre, transfer bool) {
	c.resetTimeout()
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
	free := pre && m.GetTerm() > c.term || c.vote == m.GetFrom() || c.vote == 0 && c.leader == 0
	current := m.GetLogTerm() > c.log.lastTerm() ||
		m.GetLogTerm() == c.log.lastTerm() && m.GetIndex() >= c.log.last()
	if !free || !current || pre && c.goesFirst(m) {
		c.send(&schema.ConsensusMessage{Kind: kind, To: m.GetFrom(), Term: c.term, Reject: true})
		return
	}
	if !pre {
		c.vote = m.GetFrom()
		c.elapsed = 0
	}
	c.send(&schema.ConsensusMessage{Kind: kind, To: m.GetFrom(), Term: m.GetTerm()})
}

// goesFirst reports whether this member asked for pre-votes at the same moment as
// another whose log is no better, and has the lower id. Were the two to grant
// each other's, both would become candidates, vote for themselves and wait for
// another timeout. It holds within a tick only: a member whose own requests reach
// nobody must not keep the others from electing one.
func (c *Core) goesFirst(m *schema.ConsensusMessage) bool {
	same := m.GetLogTerm() == c.log.lastTerm() && m.GetIndex() == c.log.last()
	return c.role == RolePreCandidate && c.elapsed == 0 && same && c.cfg.ID < m.GetFrom()
}

func (c *Core) handleVoteReply(m *schema.ConsensusMessage, role Role) {
	if c.role != role {
		return
	}
	// Only an answer to the present campaign counts: a pre-vote of an earlier
	// term must not help a later one.
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
	c.noteLeader()
	c.votes = nil
	c.elapsed, c.heartbeatElapsed = 0, 0
	c.progress = map[uint64]*progress{}
	c.refreshProgress()
	// A round of its own: answers to the entry below are the first that confirm this leader.
	c.round++
	// The empty entry commits what predecessors left, which the leader may not
	// count as committed by itself.
	c.appendOwn(schema.EntryKind_ENTRY_KIND_EMPTY, nil)
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
