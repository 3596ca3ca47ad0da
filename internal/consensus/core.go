package consensus

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

//go:generate go tool stringer -type=Role -trimprefix=Role

// Role is a member's Raft role in its current term.
type Role int

// The roles of a member.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// Errors returned by proposals and reads.
var (
	// ErrNotLeader is returned by members that are not the leader; the caller
	// must send the request to another member.
	ErrNotLeader = errors.New("not the leader")
	// ErrBusy is returned when the size of uncommitted proposals exceeds its
	// limit. The command was not appended.
	ErrBusy = errors.New("too much is uncommitted")
	// ErrChangePending is returned while an earlier membership change is not
	// committed.
	ErrChangePending = errors.New("a membership change is pending")
	// ErrNoCommitInTerm is returned while the leader has not committed an entry of
	// its own term.
	ErrNoCommitInTerm = errors.New("the leader has not committed in its term yet")
)

const (
	// entryOverheadBytes is added to the data size of each entry for its other
	// fields.
	entryOverheadBytes      = 32
	defaultElectionTicks    = 10
	defaultHeartbeatTicks   = 1
	defaultAppendBytes      = 512 << 10
	defaultInflightAppends  = 64
	defaultUncommittedBytes = 16 << 20
	// snapshotTimeoutElections is the number of election timeouts without
	// progress after which a member that was sent a snapshot is probed again.
	// Otherwise a lost snapshot would stall the member forever.
	snapshotTimeoutElections = 10
)

// Saved is the state that a member loads from its disk when it starts.
type Saved struct {
	HardState *schema.HardState
	// Snapshot carries index, term and membership; Data may be empty.
	Snapshot *schema.SnapshotState
	// Entries are contiguous and begin directly after the snapshot.
	Entries []*schema.LogEntry
}

// CoreConfig configures a Core. ID and Random are required.
type CoreConfig struct {
	// ID is the member's own id, never 0.
	ID    uint64
	Saved Saved
	// ElectionTicks is the shortest election timeout in ticks.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeats in ticks. It must be
	// well below ElectionTicks.
	HeartbeatTicks int
	// Random returns a number in [0, n). It randomizes the election timeouts.
	Random func(n int) int
	// AppendBytes bounds the size of the entries of one message, Inflight the
	// number of unacknowledged append messages per member, and UncommittedBytes
	// the size of the proposals that are not committed.
	AppendBytes      int
	Inflight         int
	UncommittedBytes int
}

// ReadState is a read confirmed by a quorum.
type ReadState struct {
	// ID is the number that the caller passed to Read.
	ID uint64
	// Index is the commit index that must be applied before the read is served.
	Index uint64
}

// Ready is pending work for the caller, to be done in the order of the fields:
// send, store and sync, send, apply.
type Ready struct {
	// Appends are a leader's appends and heartbeats, which need not wait for its own disk: the
	// leader counts its own copy of an entry only once it is synced.
	Appends []*schema.ConsensusMessage
	// HardState is nil when term and vote are unchanged and no entry is stored.
	HardState *schema.HardState
	// Snapshot replaces the stored log and the state machine.
	Snapshot *schema.SnapshotState
	// Entries replace all stored entries from the index of the first one on.
	Entries []*schema.LogEntry
	// Messages must be sent only after the fields above are synced. A snapshot
	// message has no data; the caller fills in its latest stored snapshot.
	Messages []*schema.ConsensusMessage
	// Committed entries are applied in order.
	Committed []*schema.LogEntry
	// Reads are served once their index is applied.
	Reads []ReadState
}

type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// Core is the consensus state of one member. It is not safe for concurrent use.
type Core struct {
	cfg  CoreConfig
	role Role
	// term never decreases.
	term uint64
	// vote is the candidate that this member voted for in term, or 0.
	vote uint64
	// leader is the known leader of term, or 0.
	leader uint64
	log    *memoryLog
	// persisted is the highest index that is synced to this member's disk.
	persisted uint64
	savedTerm uint64
	savedVote uint64
	votes     map[uint64]bool
	// preVoted is the member that was granted a pre-vote since the last tick, or 0.
	preVoted uint64
	// progress has one item for each member of the current membership. It is
	// nil on members other than the leader.
	progress map[uint64]*progress
	// presentFor is the number of ticks for which all voters have been present; valid for
	// leaders. A new leader has had no reply yet.
	presentFor int
	round      uint64
	reads      []pendingRead
	// elapsed counts the ticks since the last message from the leader, or on a
	// leader since the last quorum check.
	elapsed int
	// lastLeaderTerm is the newest term whose leader was known to this member,
	// and lastLeaderTicks counts the ticks since that leader was first known.
	// leadershipUnstable is set if the previous leader was first known less than
	// unstableElections election timeouts before that leader.
	lastLeaderTerm     uint64
	lastLeaderTicks    int
	leadershipUnstable bool
	// leaderSeen is set once this member has received from a leader, or has been
	// elected itself, since it started.
	leaderSeen       bool
	heartbeatElapsed int
	timeout          int
	uncommittedBytes int
	transferee       uint64
	transferElapsed  int
	messages         []*schema.ConsensusMessage
	confirmedReads   []ReadState
	snapshot         *schema.SnapshotState
}

// NewCore returns a follower that continues from the saved state.
func NewCore(cfg CoreConfig) *Core {
	cfg.ElectionTicks = orDefault(cfg.ElectionTicks, defaultElectionTicks)
	cfg.HeartbeatTicks = orDefault(cfg.HeartbeatTicks, defaultHeartbeatTicks)
	cfg.AppendBytes = orDefault(cfg.AppendBytes, defaultAppendBytes)
	cfg.Inflight = orDefault(cfg.Inflight, defaultInflightAppends)
	cfg.UncommittedBytes = orDefault(cfg.UncommittedBytes, defaultUncommittedBytes)
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

// Role returns the member's current role.
func (c *Core) Role() Role { return c.role }

// Term returns the member's current term.
func (c *Core) Term() uint64 { return c.term }

// Leader returns the id of the known leader of the current term, or 0.
func (c *Core) Leader() uint64 { return c.leader }

// Commit returns the highest index known to be committed.
func (c *Core) Commit() uint64 { return c.log.commit }

// Last returns the index of the log's last entry.
func (c *Core) Last() uint64 { return c.log.last() }

// Membership returns the latest membership in the log, committed or not. It must
// not be modified.
func (c *Core) Membership() *schema.Membership { return c.log.membership() }

// MembershipAt returns the membership that applies at an index of the log.
func (c *Core) MembershipAt(index uint64) *schema.Membership {
	return c.log.membershipAt(index)
}

// Match returns the highest index that a member has acknowledged to this leader
// and the number of ticks since the member's last reply. It returns false if this
// member is not the leader or has no such member.
func (c *Core) Match(id uint64) (match uint64, silentTicks int, ok bool) {
	p, ok := c.progress[id]
	if !ok {
		return 0, 0, false
	}
	return p.match, p.silentTicks, true
}

// HeartbeatRounds returns the number of the last heartbeat round that this leader
// started, and of the last one that a quorum has acknowledged. Both are 0 on other
// members.
func (c *Core) HeartbeatRounds() (started, acknowledged uint64) {
	if c.role != RoleLeader {
		return 0, 0
	}
	var rounds []uint64
	for _, id := range c.voters() {
		if id == c.cfg.ID {
			rounds = append(rounds, c.round)
			continue
		}
		rounds = append(rounds, c.progress[id].round)
	}
	slices.Sort(rounds)
	return c.round, rounds[len(rounds)-c.quorum()]
}

// CommittedInTerm reports whether this member leads and has committed an entry of its
// own term, so that its commit index covers everything acknowledged before.
func (c *Core) CommittedInTerm() bool {
	t, ok := c.log.term(c.log.commit)
	return c.role == RoleLeader && ok && t == c.term
}

// Tick advances the member's clock by one tick.
func (c *Core) Tick() {
	c.elapsed++
	c.lastLeaderTicks++
	c.preVoted = 0
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.elapsed >= c.timeout+c.cfg.ElectionTicks*(c.timeoutFactor()-1) && c.isVoter(c.cfg.ID) {
		c.campaign(true, false)
	}
}

func (c *Core) tickLeader() {
	c.heartbeatElapsed++
	if c.transferee != 0 {
		c.transferElapsed++
	}
	// A transfer that does not complete within an election timeout is cancelled.
	// Otherwise proposals would be refused forever if the target fails.
	if c.transferElapsed >= c.cfg.ElectionTicks {
		c.transferee, c.transferElapsed = 0, 0
	}
	for _, p := range c.progress {
		p.silentTicks++
	}
	c.presentFor++
	if !c.allPresent() {
		c.presentFor = 0
	}
	if c.elapsed >= c.cfg.ElectionTicks*c.timeoutFactor() {
		c.elapsed = 0
		if !c.quorumActive() {
			// A leader that is partitioned from its quorum steps down. Otherwise
			// it would continue to serve callers while another leader is elected.
			c.becomeFollower(c.term, 0)
			return
		}
	}
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.broadcastHeartbeat()
	}
}

// Propose appends a command to the leader's log and returns its index and term.
// The command is committed only when an entry with the same index and term appears
// in Ready.Committed.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != RoleLeader || c.transferee != 0 {
		return 0, 0, ErrNotLeader
	}
	if c.uncommittedBytes > c.cfg.UncommittedBytes {
		return 0, 0, ErrBusy
	}
	index = c.appendEntry(schema.EntryKind_ENTRY_KIND_COMMAND, data)
	return index, c.term, nil
}

// ProposeMembership appends a new membership, which must differ from the current
// one by a single member.
func (c *Core) ProposeMembership(m *schema.Membership) error {
	if c.role != RoleLeader || c.transferee != 0 {
		return ErrNotLeader
	}
	// Two concurrent changes, or a change before this leader knows what is
	// committed, can lead to two disjoint quorums and so to two leaders.
	if c.log.membershipIndex() > c.log.commit {
		return ErrChangePending
	}
	if !c.CommittedInTerm() {
		return ErrNoCommitInTerm
	}
	data, err := proto.Marshal(m)
	if err != nil {
		return errors.Newf("encode membership: %w", err)
	}
	c.appendEntry(schema.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
	return nil
}

// Read starts a read that a quorum must confirm; its ReadState appears in a later
// Ready. The read is dropped without notice if the member loses leadership.
func (c *Core) Read(id uint64) error {
	if c.role != RoleLeader {
		return ErrNotLeader
	}
	// Before the first commit of its term, a new leader does not know which
	// entries of earlier terms were acknowledged.
	if !c.CommittedInTerm() {
		return ErrNoCommitInTerm
	}
	c.broadcastHeartbeat()
	c.reads = append(c.reads, pendingRead{id: id, index: c.log.commit, round: c.round})
	c.confirmReads()
	return nil
}

// Compact removes the entries up to index from memory. The entries must be
// applied and covered by a stored snapshot.
func (c *Core) Compact(index uint64) {
	c.log.compact(min(index, c.log.applied))
}

// Step processes a message from another member. It returns an error, and leaves the message
// unanswered, if that is damaged: a leader sends again what has no reply.
func (c *Core) Step(m *schema.ConsensusMessage) error {
	if m.GetTo() != c.cfg.ID {
		return nil
	}
	if err := damage(m); err != nil {
		return err
	}
	switch {
	case m.GetTerm() > c.term:
		if c.ignoresVoteRequest(m) {
			return nil
		}
		c.adoptTerm(m)
	case m.GetTerm() < c.term:
		c.rejectOldTerm(m)
		return nil
	}
	c.dispatch(m)
	return nil
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

func (c *Core) send(m *schema.ConsensusMessage) {
	m.From = c.cfg.ID
	c.messages = append(c.messages, m)
}

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	return c.term != c.savedTerm || c.vote != c.savedVote || c.snapshot != nil ||
		c.log.unstable <= c.log.last() || len(c.messages) > 0 ||
		c.log.applied < c.log.commit || len(c.confirmedReads) > 0
}

// Ready returns the pending work. The caller must call Advance once it is done.
func (c *Core) Ready() Ready {
	r := Ready{
		Snapshot:  c.snapshot,
		Entries:   c.log.slice(c.log.unstable, c.log.last(), int(^uint(0)>>1)),
		Committed: c.log.slice(c.log.applied+1, c.log.commit, int(^uint(0)>>1)),
		Reads:     c.confirmedReads,
	}
	for _, m := range c.messages {
		// Only a member whose vote for itself is synced leads its term.
		if m.GetKind() == schema.MessageKind_MESSAGE_KIND_APPEND && m.GetTerm() == c.savedTerm {
			r.Appends = append(r.Appends, m)
		} else {
			r.Messages = append(r.Messages, m)
		}
	}
	if c.term != c.savedTerm || c.vote != c.savedVote || len(r.Entries) > 0 || r.Snapshot != nil {
		r.HardState = &schema.HardState{Term: c.term, Vote: c.vote, Commit: c.log.commit}
	}
	return r
}

// Advance marks everything in r as stored, sent and applied.
func (c *Core) Advance(r Ready) {
	if r.HardState != nil {
		c.savedTerm, c.savedVote = r.HardState.GetTerm(), r.HardState.GetVote()
	}
	c.snapshot = nil
	c.messages = nil
	c.confirmedReads = nil
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
