package consensus

import (
	"slices"

	"fennelyard/internal/schema"
)

// Unreachable reports to the leader that messages to a member were lost.
func (c *Core) Unreachable(id uint64) {
	if p, ok := c.progress[id]; ok && id != c.cfg.ID {
		p.probe()
		p.paused = true
	}
}

func (c *Core) followLeader(m *schema.ConsensusMessage) {
	if c.role != RoleFollower || c.leader != m.GetFrom() {
		c.becomeFollower(m.GetTerm(), m.GetFrom())
	}
	c.elapsed = 0
}

// refreshProgress adds and removes progress to match the current membership.
func (c *Core) refreshProgress() {
	updated := map[uint64]*progress{}
	for _, m := range c.Membership().GetMembers() {
		p, ok := c.progress[m.GetId()]
		if !ok {
			p = &progress{next: c.log.last() + 1, active: true}
		}
		updated[m.GetId()] = p
	}
	if p, ok := updated[c.cfg.ID]; ok {
		p.match, p.next = c.persisted, c.log.last()+1
	}
	c.progress = updated
}

func (c *Core) appendEntry(kind schema.EntryKind, data []byte) uint64 {
	e := &schema.LogEntry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.log.add(e)
	c.uncommittedBytes += len(data) + entryOverheadBytes
	if kind == schema.EntryKind_ENTRY_KIND_MEMBERSHIP {
		c.refreshProgress()
	}
	c.broadcastAppend()
	return e.GetIndex()
}

func (c *Core) broadcastAppend() {
	for _, m := range c.Membership().GetMembers() {
		if m.GetId() != c.cfg.ID {
			c.sendAppend(m.GetId(), false)
		}
	}
}

// broadcastHeartbeat begins a heartbeat round. It also resumes replication to
// members whose last append was lost.
func (c *Core) broadcastHeartbeat() {
	c.round++
	for _, m := range c.Membership().GetMembers() {
		id := m.GetId()
		if id == c.cfg.ID {
			continue
		}
		p := c.progress[id]
		c.probeStalled(p)
		if p.state == progressProbe {
			c.sendProbe(id)
			continue
		}
		c.send(&schema.ConsensusMessage{
			Kind: schema.MessageKind_MESSAGE_KIND_APPEND, To: id, Term: c.term,
			Index: p.match, LogTerm: c.matchTerm(p), Commit: min(c.log.commit, p.match), Round: c.round,
		})
	}
}

// matchTerm returns the term of the entry at p.match. It is 0 for a compacted
// index: the member has committed that entry and replies without checking the term.
func (c *Core) matchTerm(p *progress) uint64 {
	t, _ := c.log.term(p.match)
	return t
}

// probeStalled probes a member again if it has made no progress for a timeout. Lost
// appends are detected in no other way.
func (c *Core) probeStalled(p *progress) {
	timeout := c.cfg.ElectionTicks
	if p.state == progressSnapshot {
		timeout *= snapshotTimeoutElections
	}
	if p.state == progressProbe || p.state == progressStream && len(p.inflight) == 0 {
		p.stalledTicks = 0
		return
	}
	p.stalledTicks += c.cfg.HeartbeatTicks
	if p.stalledTicks >= timeout {
		p.probe()
	}
}

// sendProbe sends a member in progressProbe an append without entries. Its reply resumes replication:
// the entries themselves, sent again with each heartbeat, would keep a slow member slow.
func (c *Core) sendProbe(id uint64) {
	p := c.progress[id]
	prevTerm, ok := c.log.term(p.next - 1)
	if !ok {
		c.sendSnapshot(id, p)
		return
	}
	c.send(&schema.ConsensusMessage{
		Kind: schema.MessageKind_MESSAGE_KIND_APPEND, To: id, Term: c.term,
		Index: p.next - 1, LogTerm: prevTerm, Commit: c.log.commit, Round: c.round,
	})
	p.paused = true
}

// sendAppend sends missing entries to a member within its flow control limits. With
// empty, it sends a message even if there are no new entries.
func (c *Core) sendAppend(id uint64, empty bool) {
	p := c.progress[id]
	if p.blocked(c.cfg.Inflight) {
		return
	}
	prevTerm, ok := c.log.term(p.next - 1)
	if !ok {
		c.sendSnapshot(id, p)
		return
	}
	entries := c.log.slice(p.next, c.log.last(), c.cfg.AppendBytes)
	if len(entries) == 0 && !empty {
		return
	}
	c.send(&schema.ConsensusMessage{
		Kind: schema.MessageKind_MESSAGE_KIND_APPEND, To: id, Term: c.term,
		Index: p.next - 1, LogTerm: prevTerm, Entries: entries, Commit: c.log.commit, Round: c.round,
	})
	if p.state == progressProbe {
		p.paused = true
		return
	}
	if len(entries) > 0 {
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
	}
}

func (c *Core) sendSnapshot(id uint64, p *progress) {
	p.state = progressSnapshot
	p.stalledTicks = 0
	c.send(&schema.ConsensusMessage{
		Kind: schema.MessageKind_MESSAGE_KIND_SNAPSHOT, To: id, Term: c.term, Round: c.round,
		Snapshot: &schema.SnapshotState{Index: c.log.offset, Term: c.log.offsetTerm},
	})
}

func (c *Core) handleAppend(m *schema.ConsensusMessage) {
	reply := &schema.ConsensusMessage{
		Kind: schema.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Term: c.term,
		Index: m.GetIndex(), Round: m.GetRound(),
	}
	if m.GetIndex() < c.log.commit {
		// Committed entries are part of every leader's log.
		reply.Index = c.log.commit
		c.send(reply)
		return
	}
	t, ok := c.log.term(m.GetIndex())
	if !ok || t != m.GetLogTerm() {
		reply.Reject = true
		reply.Hint = c.conflictHint(m)
		c.send(reply)
		return
	}
	if changed := c.log.merge(m.GetEntries()); changed != 0 {
		c.persisted = min(c.persisted, changed-1)
	}
	lastNew := m.GetIndex() + uint64(len(m.GetEntries()))
	c.log.commit = max(c.log.commit, min(m.GetCommit(), lastNew))
	reply.Index = lastNew
	c.send(reply)
}

// conflictHint returns the index at which the leader should probe next. It skips
// all entries with a term higher than that of the leader's entry at once.
func (c *Core) conflictHint(m *schema.ConsensusMessage) uint64 {
	hint := min(m.GetIndex()-1, c.log.last())
	for hint > c.log.commit {
		t, ok := c.log.term(hint)
		if !ok || t <= m.GetLogTerm() {
			break
		}
		hint--
	}
	return hint
}

func (c *Core) handleSnapshot(m *schema.ConsensusMessage) {
	s := m.GetSnapshot()
	reply := &schema.ConsensusMessage{
		Kind: schema.MessageKind_MESSAGE_KIND_APPEND_REPLY, To: m.GetFrom(), Term: c.term, Round: m.GetRound(),
	}
	if s.GetIndex() > c.log.commit {
		if t, ok := c.log.term(s.GetIndex()); ok && t == s.GetTerm() {
			c.log.commit = s.GetIndex()
		} else {
			c.log.restore(s)
			c.persisted = s.GetIndex()
			c.snapshot = s
		}
	}
	reply.Index = c.log.commit
	c.send(reply)
}

func (c *Core) handleAppendReply(m *schema.ConsensusMessage) {
	p, ok := c.progress[m.GetFrom()]
	if c.role != RoleLeader || !ok {
		return
	}
	p.active = true
	p.silentTicks = 0
	if m.GetRound() > p.round {
		p.round = m.GetRound()
		c.confirmReads()
	}
	if m.GetReject() {
		c.handleReject(m, p)
		return
	}
	if m.GetIndex() > c.log.last() {
		return
	}
	advanced := p.acknowledge(m.GetIndex())
	switch {
	case p.state == progressProbe, p.state == progressSnapshot && p.match >= c.log.offset:
		p.state = progressStream
		p.next = p.match + 1
		p.inflight = nil
	case p.state == progressSnapshot && advanced:
		// The log was compacted past the snapshot while it was in flight.
		p.probe()
	}
	if advanced {
		c.advanceCommit()
	}
	// The leader steps down once its own removal is committed.
	if c.role != RoleLeader {
		return
	}
	c.sendAppend(m.GetFrom(), false)
	c.continueTransfer(m.GetFrom())
}

func (c *Core) handleReject(m *schema.ConsensusMessage, p *progress) {
	// Ignore a delayed reject of an append that was accepted since.
	if m.GetIndex() <= p.match {
		return
	}
	if p.state == progressStream {
		p.probe()
	} else if m.GetIndex() != p.next-1 {
		return
	}
	p.paused = false
	p.next = max(p.match+1, min(m.GetIndex(), m.GetHint()+1))
	c.sendAppend(m.GetFrom(), true)
}

func (c *Core) advanceCommit() {
	matches := make([]uint64, 0, len(c.progress))
	for _, id := range c.voters() {
		matches = append(matches, c.progress[id].match)
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.quorum()]
	// An entry of an earlier term that is stored on a quorum can still be
	// overwritten. Only an entry of the current term commits it (figure 8 of the
	// Raft paper).
	if t, ok := c.log.term(index); index <= c.log.commit || !ok || t != c.term {
		return
	}
	c.log.commit = index
	c.uncommittedBytes = c.bytesAfter(index)
	for _, m := range c.Membership().GetMembers() {
		if m.GetId() != c.cfg.ID {
			c.sendAppend(m.GetId(), true)
		}
	}
	if !c.isVoter(c.cfg.ID) && c.log.membershipIndex() <= c.log.commit {
		c.becomeFollower(c.term, 0)
	}
}

func (c *Core) bytesAfter(index uint64) int {
	n := 0
	for i := index + 1; i <= c.log.last(); i++ {
		n += len(c.log.entries[i-c.log.offset-1].GetData()) + entryOverheadBytes
	}
	return n
}

func (c *Core) confirmReads() {
	for len(c.reads) > 0 {
		acks := 0
		for _, id := range c.voters() {
			if id == c.cfg.ID || c.progress[id].round >= c.reads[0].round {
				acks++
			}
		}
		if acks < c.quorum() {
			return
		}
		c.confirmedReads = append(c.confirmedReads, ReadState{ID: c.reads[0].id, Index: c.reads[0].index})
		c.reads = c.reads[1:]
	}
}
