package consensus

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/schema"
)

var (
	// ErrLeaderLost is returned if the member lost leadership while a proposal
	// or read was pending. The proposal may or may not be committed.
	ErrLeaderLost = errors.New("leadership was lost; the outcome is not known")
	// ErrOverwritten is returned if another entry was committed at the proposal's
	// index. The proposal is not committed and never will be.
	ErrOverwritten = errors.New("the proposal was overwritten")
	// ErrStopped is returned if the member has stopped.
	ErrStopped = errors.New("the member has stopped")
)

const (
	defaultTick          = 100 * time.Millisecond
	defaultSnapshotAfter = 10000
	queueSize            = 1024
	// batchLimit bounds the messages and proposals that are processed per sync.
	batchLimit = 1024
	// After a snapshot, SnapshotAfter/retainedEntriesDivisor entries stay in
	// memory, so that a member that is slightly behind needs no snapshot.
	retainedEntriesDivisor = 2
	// diskCheckTicks is the interval between checks of the free disk space.
	diskCheckTicks = 20
)

// StateMachine is the state machine that committed commands are applied to. Its
// functions are called from one goroutine.
type StateMachine struct {
	// Apply applies a committed command. It must be deterministic: every member
	// must reach the same state and result.
	Apply func(index uint64, data []byte) any
	// Advance records the index of an entry without a command, so that the
	// index of the state reaches the indexes that reads return.
	Advance func(index uint64)
	// Snapshot returns the encoded state after the last Apply.
	Snapshot func() ([]byte, error)
	// Restore replaces the state; empty data means the initial state.
	Restore func(data []byte) error
}

// MemberConfig configures a Member. Storage, StateMachine, Send and Random are
// required.
type MemberConfig struct {
	Group        uint64
	Storage      *Storage
	StateMachine StateMachine
	// Send sends messages to one member. It must not block and may drop them.
	Send func(to *schema.Member, messages []*schema.ConsensusMessage)
	// Tick is the interval between heartbeats.
	Tick          time.Duration
	ElectionTicks int
	// SnapshotAfter is the number of entries applied between two snapshots.
	SnapshotAfter uint64
	// SilentTicks is the number of ticks without a reply after which a voter is
	// replaced by a joining member of any host; 0 means never.
	SilentTicks int
	Random      func(n int) int
	// LeaderChanged, if set, is called on each change of leader, role or term.
	// It must not block.
	LeaderChanged func(MemberStatus)
	// MembersChanged, if set, is called when the membership or the set of silent
	// voters changes. It must not block.
	MembersChanged func(MemberStatus)
	// MeasureWork, if set, is called before each piece of work of the member, and the
	// returned function after it.
	MeasureWork func() (ended func())
	// Damaged, if set, is called when the stored snapshot can't be read, for which from is
	// 0, or when another member sends something that must not change the state. It must not
	// block.
	Damaged func(from uint64, err error)
}

type proposal struct {
	data  []byte
	term  uint64
	reply chan outcome
}

type outcome struct {
	result any
	index  uint64
	err    error
}

type readRequest struct {
	reply chan outcome
}

// Member runs one member of a group. It is safe for concurrent use.
type Member struct {
	cfg          MemberConfig
	core         *Core
	inbox        chan *schema.ConsensusMessage
	proposals    chan proposal
	readRequests chan readRequest
	calls        chan func()
	stop         chan struct{}
	done         chan struct{}
	stopOnce     sync.Once

	// The fields below are used by the goroutine of run only.
	pending map[uint64]proposal
	reads   map[uint64]chan outcome
	// readyReads are confirmed and are served once applied reaches their index.
	readyReads        []ReadState
	nextRead          uint64
	applied           uint64
	lastSnapshotIndex uint64
	diskErr           error
	ticks             int
	// rounds are this leader's heartbeat rounds. lastStepAt is the time of the
	// last input to the core. A heartbeat round begins at that time: it waits for
	// the disk sync before it is sent.
	rounds       rounds
	lastStepAt   time.Time
	joinRequests map[string]*schema.Member

	mu sync.Mutex
	// status is guarded by mu.
	status MemberStatus
	// err is set before done is closed; guarded by mu.
	err error
}

// NewMember starts a member from its storage, which must be bootstrapped or empty,
// and restores the state machine from the stored snapshot.
func NewMember(cfg MemberConfig) (*Member, error) {
	if cfg.Tick == 0 {
		cfg.Tick = defaultTick
	}
	if cfg.MeasureWork == nil {
		cfg.MeasureWork = func() func() { return func() {} }
	}
	if cfg.SnapshotAfter == 0 {
		cfg.SnapshotAfter = defaultSnapshotAfter
	}
	saved, err := cfg.Storage.Load()
	if err != nil {
		return nil, errors.Newf("start member: %w", err)
	}
	snapshot, err := cfg.Storage.Snapshot()
	if err != nil {
		return nil, errors.Newf("start member: %w", err)
	}
	if err := cfg.StateMachine.Restore(snapshot.GetData()); err != nil {
		return nil, errors.Newf("restore state: %w", err)
	}
	m := &Member{
		cfg: cfg,
		core: NewCore(CoreConfig{
			ID: cfg.Storage.ID(), Saved: saved, ElectionTicks: cfg.ElectionTicks, Random: cfg.Random,
		}),
		inbox:             make(chan *schema.ConsensusMessage, queueSize),
		proposals:         make(chan proposal, queueSize),
		readRequests:      make(chan readRequest, queueSize),
		calls:             make(chan func(), 1),
		stop:              make(chan struct{}),
		done:              make(chan struct{}),
		pending:           map[uint64]proposal{},
		reads:             map[uint64]chan outcome{},
		joinRequests:      map[string]*schema.Member{},
		applied:           saved.Snapshot.GetIndex(),
		lastSnapshotIndex: saved.Snapshot.GetIndex(),
	}
	m.publish()
	ticker := time.NewTicker(cfg.Tick)
	go func() {
		defer close(m.done)
		defer ticker.Stop()
		err := m.run(ticker.C)
		m.failPending(ErrStopped)
		m.mu.Lock()
		m.err = err
		m.mu.Unlock()
	}()
	return m, nil
}

// Done returns a channel that is closed when the member has stopped. Err then
// returns the cause.
func (m *Member) Done() <-chan struct{} { return m.done }

// Err returns nil unless the member stopped because of an error. A disk error must
// end the process: it is no longer known which data is synced.
func (m *Member) Err() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.err
}

// Stop stops the member. It does not close the storage.
func (m *Member) Stop() {
	m.stopOnce.Do(func() { close(m.stop) })
	<-m.done
}

// Step queues a message from another member. It drops the message if the queue is
// full; the sender retransmits what is needed.
func (m *Member) Step(msg *schema.ConsensusMessage) {
	select {
	case m.inbox <- msg:
	default:
	}
}

// Propose commits a command and returns the result of Apply and the index.
// ErrNotLeader, ErrBusy, ErrDiskFull and ErrOverwritten prove that the command is
// not committed. After any other error it may or may not be committed.
func (m *Member) Propose(ctx context.Context, data []byte) (any, uint64, error) {
	p := proposal{data: data, reply: make(chan outcome, 1)}
	select {
	case m.proposals <- p:
	case <-m.done:
		return nil, 0, ErrStopped
	case <-ctx.Done():
		return nil, 0, errors.Newf("propose: %w", ctx.Err())
	}
	o, err := m.await(ctx, p.reply)
	return o.result, o.index, err
}

// Read returns an index, confirmed by a quorum, that covers everything acknowledged
// before the call and that this member has applied.
func (m *Member) Read(ctx context.Context) (uint64, error) {
	r := readRequest{reply: make(chan outcome, 1)}
	select {
	case m.readRequests <- r:
	case <-m.done:
		return 0, ErrStopped
	case <-ctx.Done():
		return 0, errors.Newf("read: %w", ctx.Err())
	}
	o, err := m.await(ctx, r.reply)
	return o.index, err
}

func (m *Member) await(ctx context.Context, reply chan outcome) (outcome, error) {
	select {
	case o := <-reply:
		return o, o.err
	case <-m.done:
		// The reply may have been sent just before the member stopped.
		select {
		case o := <-reply:
			return o, o.err
		default:
			return outcome{}, ErrStopped
		}
	case <-ctx.Done():
		return outcome{}, errors.Newf("wait for the group: %w", ctx.Err())
	}
}

// Unreachable reports that messages to a member were lost.
func (m *Member) Unreachable(id uint64) {
	m.runInLoop(func() { m.core.Unreachable(id) })
}

// TransferLeadership starts a leadership transfer to another voter, if there is one.
func (m *Member) TransferLeadership() {
	m.runInLoop(func() { m.core.TransferLeadership() })
}

// Join requests that the leader adds the member of a host's new disk: first as a
// learner, then as a voter in place of the host's old member.
func (m *Member) Join(member *schema.Member) {
	m.runInLoop(func() { m.joinRequests[member.GetHost()] = member })
}

func (m *Member) runInLoop(f func()) {
	select {
	case m.calls <- f:
	case <-m.done:
	}
}

func (m *Member) run(ticks <-chan time.Time) error {
	for {
		select {
		case <-m.stop:
			return nil
		case <-ticks:
			m.tick()
		case msg := <-m.inbox:
			m.step(msg)
		case p := <-m.proposals:
			m.propose(p)
		case r := <-m.readRequests:
			m.read(r)
		case f := <-m.calls:
			f()
		}
		ended := m.cfg.MeasureWork()
		m.lastStepAt = time.Now()
		m.stepQueued()
		err := m.process()
		ended()
		if err != nil {
			return err
		}
	}
}

// stepQueued processes further queued messages and proposals, so that one sync
// covers all of them.
func (m *Member) stepQueued() {
	for range batchLimit {
		select {
		case msg := <-m.inbox:
			m.step(msg)
		case p := <-m.proposals:
			m.propose(p)
		default:
			return
		}
	}
}

func (m *Member) tick() {
	m.core.Tick()
	m.ticks++
	if m.ticks%diskCheckTicks == 1 {
		m.diskErr = m.cfg.Storage.CheckFreeSpace()
	}
	if m.core.Role() == RoleLeader {
		m.reconcileMembership()
	}
}

func (m *Member) propose(p proposal) {
	if m.diskErr != nil {
		p.reply <- outcome{err: m.diskErr}
		return
	}
	index, term, err := m.core.Propose(p.data)
	if err != nil {
		p.reply <- outcome{err: err}
		return
	}
	p.term = term
	m.pending[index] = p
}

func (m *Member) read(r readRequest) {
	m.nextRead++
	if err := m.core.Read(m.nextRead); err != nil {
		r.reply <- outcome{err: err}
		return
	}
	m.reads[m.nextRead] = r.reply
}

// process performs all pending work of the core.
func (m *Member) process() error {
	for m.core.HasReady() {
		r := m.core.Ready()
		if err := m.sendAll(r.Appends); err != nil {
			return err
		}
		if err := m.cfg.Storage.Save(r); err != nil {
			return errors.Newf("the log could not be synced: %w", err)
		}
		if r.Snapshot != nil {
			if err := m.restore(r.Snapshot); err != nil {
				return err
			}
		}
		if err := m.sendAll(r.Messages); err != nil {
			return err
		}
		m.apply(r.Committed)
		m.readyReads = append(m.readyReads, r.Reads...)
		m.core.Advance(r)
		m.serveReads()
		if err := m.snapshot(); err != nil {
			return err
		}
	}
	if m.core.Role() != RoleLeader {
		m.failPending(ErrLeaderLost)
	}
	m.publish()
	return nil
}

func (m *Member) sendAll(messages []*schema.ConsensusMessage) error {
	byMember := map[uint64][]*schema.ConsensusMessage{}
	for _, msg := range messages {
		if msg.GetKind() == schema.MessageKind_MESSAGE_KIND_SNAPSHOT {
			s, err := m.readSnapshot()
			if err != nil {
				return err
			}
			msg.Snapshot = s
		}
		byMember[msg.GetTo()] = append(byMember[msg.GetTo()], msg)
	}
	for id, batch := range byMember {
		if to := m.memberByID(id); to != nil {
			m.cfg.Send(to, batch)
		}
	}
	return nil
}

func (m *Member) damaged(from uint64, err error) {
	if m.cfg.Damaged != nil {
		m.cfg.Damaged(from, err)
	}
}

// step passes a message of another member to the core.
func (m *Member) step(msg *schema.ConsensusMessage) {
	if err := m.core.Step(msg); err != nil {
		m.damaged(msg.GetFrom(), err)
	}
}

// memberByID returns the member with an id, or a member with the id only if the
// current membership does not contain it: the leader may have been added by an entry
// that this member does not have yet, and replies must reach it all the same.
func (m *Member) memberByID(id uint64) *schema.Member {
	for _, member := range m.core.Membership().GetMembers() {
		if member.GetId() == id {
			return member
		}
	}
	return &schema.Member{Id: id}
}

func (m *Member) apply(entries []*schema.LogEntry) {
	for _, e := range entries {
		var result any
		if e.GetKind() == schema.EntryKind_ENTRY_KIND_COMMAND {
			result = m.cfg.StateMachine.Apply(e.GetIndex(), e.GetData())
		} else {
			m.cfg.StateMachine.Advance(e.GetIndex())
		}
		m.applied = e.GetIndex()
		p, ok := m.pending[e.GetIndex()]
		if !ok {
			continue
		}
		delete(m.pending, e.GetIndex())
		if p.term != e.GetTerm() {
			p.reply <- outcome{err: ErrOverwritten}
			continue
		}
		p.reply <- outcome{result: result, index: e.GetIndex()}
	}
}

func (m *Member) serveReads() {
	remaining := m.readyReads[:0]
	for _, r := range m.readyReads {
		if r.Index > m.applied {
			remaining = append(remaining, r)
			continue
		}
		if reply, ok := m.reads[r.ID]; ok {
			reply <- outcome{index: r.Index}
			delete(m.reads, r.ID)
		}
	}
	m.readyReads = remaining
}

// failPending fails all pending proposals and reads with err.
func (m *Member) failPending(err error) {
	for index, p := range m.pending {
		p.reply <- outcome{err: err}
		delete(m.pending, index)
	}
	for id, reply := range m.reads {
		reply <- outcome{err: err}
		delete(m.reads, id)
	}
	m.readyReads = nil
}
