package consensus

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

//go:generate go tool stringer -type=Role -trimprefix=Role

// Role is what a member does in its term.
type Role int

// The roles of a member.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Errors that a proposal or a read can meet.
var (
	// ErrNotLeader says that another member must be asked.
	ErrNotLeader = errors.New("not the leader")
	// ErrBusy says that too much is uncommitted; nothing was appended.
	ErrBusy = errors.New("too much is uncommitted")
	// ErrChangePending says that a membership change is not committed yet.
	ErrChangePending = errors.New("a membership change is pending")
	// ErrNotCurrent says that the leader has committed nothing in its term.
	ErrNotCurrent = errors.New("the leader has not committed in its term yet")
)

const (
	entryOverhead         = 32
	defaultElectionTicks  = 10
	defaultHeartbeatTicks = 1
	defaultAppendBytes    = 512 << 10
	defaultInflight       = 64
	defaultUncommitted    = 16 << 20
	// A member that does not answer for this many election timeouts while a
	// snapshot is on its way is probed anew, or a lost snapshot would leave it
	// behind for ever.
	snapshotPatience = 10
)

// Saved is what a member's disk held when it started.
type Saved struct {
	HardState *schema.HardState
	// Snapshot carries index, term and membership; Data may be empty.
	Snapshot *schema.SnapshotState
	// Entries follow the snapshot without a gap.
	Entries []*schema.LogEntry
}

// CoreConfig configures a Core. ID and Random are required.
type CoreConfig struct {
	// ID is the member's own id, never 0.
	ID    uint64
	Saved Saved
	// ElectionTicks is the shortest time without a leader before an election.
	ElectionTicks int
	// HeartbeatTicks is the time between heartbeats, well below ElectionTicks.
	HeartbeatTicks int
	// Random returns a number from 0 to below n; it spreads the elections.
	Random func(n int) int
	// AppendBytes bounds the entries of one message, Inflight the unanswered
	// messages per member, UncommittedBytes the proposals that wait.
	AppendBytes      int
	Inflight         int
	UncommittedBytes int
}

// ReadState is a read confirmed by a quorum.
type ReadState struct {
	// ID is the caller's number for the read.
	ID uint64
	// Index is the commit index that the read must see applied.
	Index uint64
}

// Ready is work for the caller, to be done in the order of the fields: store
// and sync, send, apply.
type Ready struct {
	// HardState is nil when term and vote are unchanged and no entry is stored.
	HardState *schema.HardState
	// Snapshot replaces the stored log and the state machine.
	Snapshot *schema.SnapshotState
	// Entries are stored after everything from the first one's index on is
	// dropped.
	Entries []*schema.LogEntry
	// Messages leave only after the fields above are synced. A snapshot message
	// has no data yet; the caller fills in its latest stored snapshot.
	Messages []*schema.ConsensusMessage
	// Committed are applied in order.
	Committed []*schema.LogEntry
	// Reads are answered once their index is applied.
	Reads []ReadState
}

type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// Core is one member's consensus state. It is not safe for several goroutines.
type Core struct {
	cfg  CoreConfig
	role Role
	// term never decreases.
	term uint64
	// vote is the candidate that got this member's vote in term, or 0.
	vote uint64
	// leader is the leader of term as far as known, or 0.
	leader uint64
	log    *memoryLog
	// persisted is the highest index on this member's own disk.
	persisted uint64
	savedTerm uint64
	savedVote uint64
	votes     map[uint64]bool
	// progress has one item per member of the membership in force, on a leader.
	progress map[uint64]*progress
	round    uint64
	reads    []pendingRead
	// elapsed counts ticks since word of a leader, or on a leader since the
	// last quorum check.
	elapsed          int
	heartbeatElapsed int
	timeout          int
	uncommittedBytes int
	transferee       uint64
	transferElapsed  int
	messages         []*schema.ConsensusMessage
	confirmed        []ReadState
	snapshot         *schema.SnapshotState
}

// NewCore returns a follower that continues from what was saved.
func NewCore(cfg CoreConfig) *Core {
	cfg.ElectionTicks = orDefault(cfg.ElectionTicks, defaultElectionTicks)
	cfg.HeartbeatTicks = orDefault(cfg.HeartbeatTicks, defaultHeartbeatTicks)
	cfg.AppendBytes = orDefault(cfg.AppendBytes, defaultAppendBytes)
	cfg.Inflight = orDefault(cfg.Inflight, defaultInflight)
	cfg.UncommittedBytes = orDefault(cfg.UncommittedBytes, defaultUncommitted)
	c := &Core{
		cfg:       cfg,
		term:      cfg.Saved.HardState.GetTerm(),
		vote:      cfg.Saved.HardState.GetVote(),
		log:       newMemoryLog(cfg.Saved),
		savedTerm: cfg.Saved.HardState.GetTerm(),
		savedVote: cfg.Saved.HardState.GetVote(),
	}
	c.persisted = c.log.last()
	c.resetTimeout()
	return c
}

func orDefault(v, d int) int {
	if v == 0 {
		return d
	}
	return v
}

// Role returns the member's present role.
func (c *Core) Role() Role { return c.role }

// Term returns the member's present term.
func (c *Core) Term() uint64 { return c.term }

// Leader returns the id of the leader as far as known, or 0.
func (c *Core) Leader() uint64 { return c.leader }

// Commit returns the highest index known to be committed.
func (c *Core) Commit() uint64 { return c.log.commit }

// Last returns the index of the log's last entry.
func (c *Core) Last() uint64 { return c.log.last() }

// Membership returns the membership in force. It must not be changed.
func (c *Core) Membership() *schema.Membership { return c.log.membership() }

// MembershipAt returns the membership in force at an index of the log.
func (c *Core) MembershipAt(index uint64) *schema.Membership {
	return c.log.membershipAt(index)
}

// Match returns how far the leader knows a member's disk to be, and for how
// many ticks it has not answered; false on other members.
func (c *Core) Match(id uint64) (match uint64, silent int, ok bool) {
	p, ok := c.progress[id]
	if !ok {
		return 0, 0, false
	}
	return p.match, p.heard, true
}

// Current reports whether a leader has committed an entry of its own term, so
// that its commit index covers everything acknowledged before.
func (c *Core) Current() bool {
	t, ok := c.log.term(c.log.commit)
	return c.role == RoleLeader && ok && t == c.term
}

// Tick advances the member's clock by one tick.
func (c *Core) Tick() {
	c.elapsed++
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.elapsed >= c.timeout && c.isVoter(c.cfg.ID) {
		c.campaign(true, false)
	}
}

func (c *Core) tickLeader() {
	c.heartbeatElapsed++
	if c.transferee != 0 {
		c.transferElapsed++
	}
	// A transfer that has not happened within an election timeout is given up,
	// or its target's death would keep proposals refused for ever.
	if c.transferElapsed >= c.cfg.ElectionTicks {
		c.transferee, c.transferElapsed = 0, 0
	}
	for _, p := range c.progress {
		p.heard++
	}
	if c.elapsed >= c.cfg.ElectionTicks {
		c.elapsed = 0
		if !c.quorumActive() {
			// A leader cut off from its quorum would go on answering callers
			// while another leader is elected; it steps down instead.
			c.becomeFollower(c.term, 0)
			return
		}
	}
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.broadcastHeartbeat()
	}
}

// Propose appends a command on the leader and returns its index and term. The
// command is committed only when an entry with both appears in Ready.Committed.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != RoleLeader || c.transferee != 0 {
		return 0, 0, ErrNotLeader
	}
	if c.uncommittedBytes > c.cfg.UncommittedBytes {
		return 0, 0, ErrBusy
	}
	index = c.appendOwn(schema.EntryKind_ENTRY_KIND_COMMAND, data)
	return index, c.term, nil
}

// ProposeMembership appends a new membership that differs from the present one
// by one member.
func (c *Core) ProposeMembership(m *schema.Membership) error {
	if c.role != RoleLeader || c.transferee != 0 {
		return ErrNotLeader
	}
	// Two changes at once, or a change before this leader knows what is
	// committed, can give two quorums without a common member: two leaders.
	if c.log.membershipIndex() > c.log.commit {
		return ErrChangePending
	}
	if !c.Current() {
		return ErrNotCurrent
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return errors.Newf("encode membership: %w", err)
	}
	c.appendOwn(schema.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
	return nil
}

// Read asks for a confirmed read; its ReadState appears in a later Ready. It is
// dropped without a word when the member stops leading.
func (c *Core) Read(id uint64) error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	// Before the first commit of its term a new leader does not know which
	// entries of its predecessors were acknowledged.
	if !c.Current() {
		return ErrNotCurrent
	}
	c.round++
	c.reads = append(c.reads, pendingRead{id: id, index: c.log.commit, round: c.round})
	c.broadcastHeartbeat()
	c.confirmReads()
	return nil
}

// Transfer asks the leader to hand over to the most advanced other voter. It
// returns false when there is none.
func (c *Core) Transfer() bool {
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

// Unreachable tells the leader that messages to a member were lost.
func (c *Core) Unreachable(id uint64) {
	if p, ok := c.progress[id]; ok && id != c.cfg.ID {
		p.probe()
		p.paused = true
	}
}

// Compact forgets entries up to an applied index that a stored snapshot covers.
func (c *Core) Compact(index uint64) {
	c.log.compact(min(index, c.log.applied))
}

// Step takes in a message from another member.
func (c *Core) Step(m *schema.ConsensusMessage) {
	if m.GetTo() != c.cfg.ID {
		return
	}
	switch {
	case m.GetTerm() > c.term:
		if c.ignoresVote(m) {
			return
		}
		c.followTerm(m)
	case m.GetTerm() < c.term:
		c.answerOldTerm(m)
		return
	}
	c.dispatch(m)
}

func (c *Core) dispatch(m *schema.ConsensusMessage) {
	switch m.GetKind() {
	case schema.MessageKind_MESSAGE_KIND_PRE_VOTE, schema.MessageKind_MESSAGE_KIND_VOTE:
		c.handleVote(m)
	case schema.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY:
		c.handleVoteReply(m, RolePreCandidate)
	case schema.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		c.handleVoteReply(m, RoleCandidate)
	case schema.MessageKind_MESSAGE_KIND_APPEND:
		c.followLeader(m)
		c.handleAppend(m)
	case schema.MessageKind_MESSAGE_KIND_SNAPSHOT:
		c.followLeader(m)
		c.handleSnapshot(m)
	case schema.MessageKind_MESSAGE_KIND_APPEND_REPLY:
		c.handleAppendReply(m)
	case schema.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		if c.isVoter(c.cfg.ID) && c.role == RoleFollower {
			c.campaign(false, true)
		}
	case schema.MessageKind_MESSAGE_KIND_UNSPECIFIED:
	}
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
	return c.role == RoleLeader || c.leader != 0 && c.elapsed < c.cfg.ElectionTicks
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

func (c *Core) followLeader(m *schema.ConsensusMessage) {
	if c.role != RoleFollower || c.leader != m.GetFrom() {
		c.becomeFollower(m.GetTerm(), m.GetFrom())
	}
	c.elapsed = 0
}

func (c *Core) becomeFollower(term, leader uint64) {
	c.role = RoleFollower
	if term != c.term {
		c.term = term
		c.vote = 0
	}
	c.leader = leader
	c.progress = nil
	c.reads = nil
	c.votes = nil
	c.transferee, c.transferElapsed = 0, 0
	c.uncommittedBytes = 0
	c.resetTimeout()
}

func (c *Core) resetTimeout() {
	c.elapsed = 0
	c.timeout = c.cfg.ElectionTicks + c.cfg.Random(c.cfg.ElectionTicks)
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
	if !free || !current {
		c.send(&schema.ConsensusMessage{Kind: kind, To: m.GetFrom(), Term: c.term, Reject: true})
		return
	}
	if !pre {
		c.vote = m.GetFrom()
		c.elapsed = 0
	}
	c.send(&schema.ConsensusMessage{Kind: kind, To: m.GetFrom(), Term: m.GetTerm()})
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
	c.votes = nil
	c.elapsed, c.heartbeatElapsed = 0, 0
	c.progress = map[uint64]*progress{}
	c.refreshProgress()
	// The empty entry commits what predecessors left, which the leader may not
	// count as committed by itself.
	c.appendOwn(schema.EntryKind_ENTRY_KIND_EMPTY, nil)
}

// refreshProgress brings the progress in line with the membership in force.
func (c *Core) refreshProgress() {
	kept := map[uint64]*progress{}
	for _, m := range c.Membership().GetMembers() {
		p, ok := c.progress[m.GetId()]
		if !ok {
			p = &progress{next: c.log.last() + 1, active: true}
		}
		kept[m.GetId()] = p
	}
	if p, ok := kept[c.cfg.ID]; ok {
		p.match, p.next = c.persisted, c.log.last()+1
	}
	c.progress = kept
}

func (c *Core) appendOwn(kind schema.EntryKind, data []byte) uint64 {
	e := &schema.LogEntry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.log.add(e)
	c.uncommittedBytes += len(data) + entryOverhead
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

// broadcastHeartbeat also frees members whose last append was lost.
func (c *Core) broadcastHeartbeat() {
	for _, m := range c.Membership().GetMembers() {
		id := m.GetId()
		if id == c.cfg.ID {
			continue
		}
		p := c.progress[id]
		c.unstick(p)
		if p.state == progressProbe {
			p.paused = false
			c.sendAppend(id, true)
			continue
		}
		c.send(&schema.ConsensusMessage{
			Kind: schema.MessageKind_MESSAGE_KIND_APPEND, To: id, Term: c.term,
			Index: p.match, LogTerm: c.matchTerm(p), Commit: min(c.log.commit, p.match), Round: c.round,
		})
	}
}

// matchTerm may be 0 for a compacted index: the member has it committed then,
// and answers without looking at the term.
func (c *Core) matchTerm(p *progress) uint64 {
	t, _ := c.log.term(p.match)
	return t
}

// unstick sends again what got no answer: lost appends leave no other trace.
func (c *Core) unstick(p *progress) {
	patience := c.cfg.ElectionTicks
	if p.state == progressSnapshot {
		patience *= snapshotPatience
	}
	if p.state == progressProbe || p.state == progressStream && len(p.inflight) == 0 {
		p.stalled = 0
		return
	}
	p.stalled += c.cfg.HeartbeatTicks
	if p.stalled >= patience {
		p.probe()
	}
}

// sendAppend sends what a member lacks, as far as flow control lets it. With
// empty, a message leaves even when there is nothing new.
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
	p.stalled = 0
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
		// What is committed here agrees with any leader's log.
		reply.Index = c.log.commit
		c.send(reply)
		return
	}
	t, ok := c.log.term(m.GetIndex())
	if !ok || t != m.GetLogTerm() {
		reply.Reject = true
		reply.Hint = c.agreementHint(m)
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

// agreementHint passes over all entries of terms above the leader's at once.
func (c *Core) agreementHint(m *schema.ConsensusMessage) uint64 {
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
	p.heard = 0
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
	advanced := p.acked(m.GetIndex())
	switch {
	case p.state == progressProbe, p.state == progressSnapshot && p.match >= c.log.offset:
		p.state = progressStream
		p.next = p.match + 1
		p.inflight = nil
	case p.state == progressSnapshot && advanced:
		// The log was compacted past the snapshot while it was on its way.
		p.probe()
	}
	if advanced {
		c.advanceCommit()
	}
	// Committing the removal of this very leader ends its term.
	if c.role != RoleLeader {
		return
	}
	c.sendAppend(m.GetFrom(), false)
	c.continueTransfer(m.GetFrom())
}

func (c *Core) handleReject(m *schema.ConsensusMessage, p *progress) {
	// A late reject of something that was accepted since says nothing.
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
	// An entry of an earlier term on a quorum can still be overwritten; only
	// one of this term commits it for good (the paper's figure 8).
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
		n += len(c.log.entries[i-c.log.offset-1].GetData()) + entryOverhead
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
		c.confirmed = append(c.confirmed, ReadState{ID: c.reads[0].id, Index: c.reads[0].index})
		c.reads = c.reads[1:]
	}
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

func (c *Core) send(m *schema.ConsensusMessage) {
	m.From = c.cfg.ID
	c.messages = append(c.messages, m)
}

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	return c.term != c.savedTerm || c.vote != c.savedVote || c.snapshot != nil ||
		c.log.unstable <= c.log.last() || len(c.messages) > 0 ||
		c.log.applied < c.log.commit || len(c.confirmed) > 0
}

// Ready returns the work at hand. Advance must follow once it is done.
func (c *Core) Ready() Ready {
	r := Ready{
		Snapshot:  c.snapshot,
		Entries:   c.log.slice(c.log.unstable, c.log.last(), int(^uint(0)>>1)),
		Messages:  c.messages,
		Committed: c.log.slice(c.log.applied+1, c.log.commit, int(^uint(0)>>1)),
		Reads:     c.confirmed,
	}
	if c.term != c.savedTerm || c.vote != c.savedVote || len(r.Entries) > 0 || r.Snapshot != nil {
		r.HardState = &schema.HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
	}
	return r
}

// Advance takes note that everything in r is stored, sent and applied.
func (c *Core) Advance(r Ready) {
	if r.HardState != nil {
		c.savedTerm, c.savedVote = r.HardState.GetTerm(), r.HardState.GetVote()
	}
	c.snapshot = nil
	c.messages = nil
	c.confirmed = nil
	c.log.unstable = c.log.last() + 1
	c.persisted = c.log.last()
	if n := len(r.Committed); n > 0 {
		c.log.applied = r.Committed[n-1].GetIndex()
	}
	if p, ok := c.progress[c.cfg.ID]; ok && c.role == RoleLeader {
		p.match, p.next = c.persisted, c.persisted+1
		c.advanceCommit()
	}
}
