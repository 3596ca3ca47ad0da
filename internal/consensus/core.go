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
	// ErrNoCommitInTerm says that the leader has committed nothing in its term.
	ErrNoCommitInTerm = errors.New("the leader has not committed in its term yet")
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
	elapsed int
	// ledTerm is the newest term whose leader was known here, and ledTicks counts the ticks
	// since it was first known; restless is set where the leader before it was first known
	// shortly before.
	ledTerm  uint64
	ledTicks int
	restless bool
	// met is set once a leader was heard, or elected here, since the start.
	met              bool
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

// HeartbeatRounds returns the number of the last heartbeat round that this leader began, and of the
// last that a quorum has answered; 0 on other members.
func (c *Core) HeartbeatRounds() (begun, answered uint64) {
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

// CommittedInTerm reports whether a leader has committed an entry of its own term, so
// that its commit index covers everything acknowledged before.
func (c *Core) CommittedInTerm() bool {
	t, ok := c.log.term(c.log.commit)
	return c.role == RoleLeader && ok && t == c.term
}

// Tick advances the member's clock by one tick.
func (c *Core) Tick() {
	c.elapsed++
	c.ledTicks++
	if c.role == RoleLeader {
		c.tickLeader()
		return
	}
	if c.elapsed >= c.timeout*c.patience() && c.isVoter(c.cfg.ID) {
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
	if c.elapsed >= c.cfg.ElectionTicks*c.patience() {
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
	if !c.CommittedInTerm() {
		return ErrNoCommitInTerm
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
	if !c.CommittedInTerm() {
		return ErrNoCommitInTerm
	}
	c.broadcastHeartbeat()
	c.reads = append(c.reads, pendingRead{id: id, index: c.log.commit, round: c.round})
	c.confirmReads()
	return nil
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
