package consensus

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/schema"
)

var (
	// ErrLeaderLost says that leadership moved while a proposal was under way:
	// it may or may not be committed.
	ErrLeaderLost = errors.New("leadership was lost; the outcome is not known")
	// ErrOverwritten says that another entry took the proposal's place: it is
	// not committed and never will be.
	ErrOverwritten = errors.New("the proposal was overwritten")
	// ErrStopped says that the member has stopped.
	ErrStopped = errors.New("the member has stopped")
)

const (
	defaultTick          = 100 * time.Millisecond
	defaultSnapshotAfter = 10000
	inboxSize            = 1024
	// batchLimit bounds how much input one sync covers.
	batchLimit = 1024
	// keepEntries stay in memory behind a snapshot, so that a member that is a
	// little behind needs no snapshot.
	keepDivisor = 2
	// The disk's room is asked for once in this many ticks.
	roomTicks = 20
)

// StateMachine is the state machine that committed commands are applied to. The
// functions are called from one goroutine.
type StateMachine struct {
	// Apply must give the same result on every member.
	Apply func(index uint64, data []byte) any
	// Advance takes note of an entry that holds no command, so that the
	// state's index keeps up with the indexes that reads confirm.
	Advance func(index uint64)
	// Snapshot returns the state after the last Apply.
	Snapshot func() ([]byte, error)
	// Restore replaces the state; empty data means the first state.
	Restore func(data []byte) error
}

// MemberConfig configures a Member. Storage, Machine, Send and Random are
// required.
type MemberConfig struct {
	Group        uint64
	Storage      *Storage
	StateMachine StateMachine
	// Send hands messages for one member to the network. It must not block and
	// may lose them.
	Send func(to *schema.Member, messages []*schema.ConsensusMessage)
	// Tick is the time between heartbeats.
	Tick          time.Duration
	ElectionTicks int
	// SnapshotAfter is how many entries are applied between two snapshots.
	SnapshotAfter uint64
	// SilentTicks is after how many ticks without an answer a voter gives its
	// place to a newcomer from any host; 0: never.
	SilentTicks int
	Random      func(n int) int
	// LeaderChanged, where set, is called on each change of leader or role. It
	// must not block.
	LeaderChanged func(MemberStatus)
	// MembersChanged, where set, is called when the membership or the silent voters
	// are others. It must not block.
	MembersChanged func(MemberStatus)
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

// Member runs one member of a group. All methods are safe from any goroutine.
type Member struct {
	cfg       MemberConfig
	core      *Core
	inbox     chan *schema.ConsensusMessage
	proposals chan proposal
	readsIn   chan readRequest
	calls     chan func()
	stop      chan struct{}
	done      chan struct{}
	stopOnce  sync.Once

	// The fields below belong to the loop's goroutine.
	waiting map[uint64]proposal
	reads   map[uint64]chan outcome
	// ready reads are answered once applied reaches their index.
	readyReads []ReadState
	nextRead   uint64
	applied    uint64
	snapshotAt uint64
	roomErr    error
	ticks      int
	// rounds are this leader's heartbeat rounds. stepped is when the loop last took something
	// in: a round that it begins by that waits for the disk before it is sent.
	rounds  rounds
	stepped time.Time
	joins   map[string]*schema.Member

	mu sync.Mutex
	// status is guarded by mu.
	status MemberStatus
	// err is set before done is closed; guarded by mu.
	err error
}

// NewMember starts a member from its storage, which must be formed or empty,
// and restores the state machine from the stored snapshot.
func NewMember(cfg MemberConfig) (*Member, error) {
	if cfg.Tick == 0 {
		cfg.Tick = defaultTick
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
		inbox:      make(chan *schema.ConsensusMessage, inboxSize),
		proposals:  make(chan proposal, inboxSize),
		readsIn:    make(chan readRequest, inboxSize),
		calls:      make(chan func(), 1),
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
		waiting:    map[uint64]proposal{},
		reads:      map[uint64]chan outcome{},
		joins:      map[string]*schema.Member{},
		applied:    saved.Snapshot.GetIndex(),
		snapshotAt: saved.Snapshot.GetIndex(),
	}
	m.publish()
	ticker := time.NewTicker(cfg.Tick)
	go func() {
		defer close(m.done)
		defer ticker.Stop()
		err := m.run(ticker.C)
		m.abandon(ErrStopped)
		m.mu.Lock()
		m.err = err
		m.mu.Unlock()
	}()
	return m, nil
}

// Done is closed when the member has stopped; Err then tells why.
func (m *Member) Done() <-chan struct{} { return m.done }

// Err returns nil unless the member stopped because of an error. An error of
// the disk must end the process: what was synced is no longer known.
func (m *Member) Err() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.err
}

// Stop ends the member. It does not close the storage.
func (m *Member) Stop() {
	m.stopOnce.Do(func() { close(m.stop) })
	<-m.done
}

// Step takes in a message of another member. It drops the message when too
// many wait; senders repeat what matters.
func (m *Member) Step(msg *schema.ConsensusMessage) {
	select {
	case m.inbox <- msg:
	default:
	}
}

// Propose commits a command and returns what Apply made of it and the index.
// ErrNotLeader, ErrBusy, ErrDiskFull and ErrOverwritten prove that it is not
// committed. After any other error it may still be.
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

// Read returns an index that is applied here and that covers everything
// acknowledged before the call, confirmed by a quorum.
func (m *Member) Read(ctx context.Context) (uint64, error) {
	r := readRequest{reply: make(chan outcome, 1)}
	select {
	case m.readsIn <- r:
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
		// The reply may have come together with the end.
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

// Unreachable tells that messages to a member were lost.
func (m *Member) Unreachable(id uint64) {
	m.call(func() { m.core.Unreachable(id) })
}

// TransferLeadership hands leadership to another voter, if there is one.
func (m *Member) TransferLeadership() {
	m.call(func() { m.core.TransferLeadership() })
}

// Join asks the leader to take a host's new disk in: as a learner first, then
// in place of the host's old member.
func (m *Member) Join(member *schema.Member) {
	m.call(func() { m.joins[member.GetHost()] = member })
}

func (m *Member) call(f func()) {
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
			m.core.Step(msg)
		case p := <-m.proposals:
			m.propose(p)
		case r := <-m.readsIn:
			m.read(r)
		case f := <-m.calls:
			f()
		}
		m.stepped = time.Now()
		m.drain()
		if err := m.process(); err != nil {
			return err
		}
	}
}

// drain takes in what else is there, so that one sync serves all of it.
func (m *Member) drain() {
	for range batchLimit {
		select {
		case msg := <-m.inbox:
			m.core.Step(msg)
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
	if m.ticks%roomTicks == 1 {
		m.roomErr = m.cfg.Storage.CheckFreeSpace()
	}
	if m.core.Role() == RoleLeader {
		m.tendMembership()
	}
}

func (m *Member) propose(p proposal) {
	if m.roomErr != nil {
		p.reply <- outcome{err: m.roomErr}
		return
	}
	index, term, err := m.core.Propose(p.data)
	if err != nil {
		p.reply <- outcome{err: err}
		return
	}
	p.term = term
	m.waiting[index] = p
}

func (m *Member) read(r readRequest) {
	m.nextRead++
	if err := m.core.Read(m.nextRead); err != nil {
		r.reply <- outcome{err: err}
		return
	}
	m.reads[m.nextRead] = r.reply
}

// process does all work that the core has ready.
func (m *Member) process() error {
	for m.core.HasReady() {
		r := m.core.Ready()
		if err := m.cfg.Storage.Save(r); err != nil {
			return errors.Newf("the log could not be synced: %w", err)
		}
		if r.Snapshot != nil {
			if err := m.restore(r.Snapshot); err != nil {
				return err
			}
		}
		m.sendAll(r.Messages)
		m.apply(r.Committed)
		m.readyReads = append(m.readyReads, r.Reads...)
		m.core.Advance(r)
		m.answerReads()
		if err := m.snapshot(); err != nil {
			return err
		}
	}
	if m.core.Role() != RoleLeader {
		m.abandon(ErrLeaderLost)
	}
	m.publish()
	return nil
}

func (m *Member) restore(s *schema.SnapshotState) error {
	if err := m.cfg.StateMachine.Restore(s.GetData()); err != nil {
		return errors.Newf("restore snapshot %d: %w", s.GetIndex(), err)
	}
	m.applied = s.GetIndex()
	m.snapshotAt = s.GetIndex()
	return nil
}

func (m *Member) sendAll(messages []*schema.ConsensusMessage) {
	byMember := map[uint64][]*schema.ConsensusMessage{}
	for _, msg := range messages {
		if msg.GetKind() == schema.MessageKind_MESSAGE_KIND_SNAPSHOT {
			m.fillSnapshot(msg)
		}
		byMember[msg.GetTo()] = append(byMember[msg.GetTo()], msg)
	}
	for id, batch := range byMember {
		if to := m.find(id); to != nil {
			m.cfg.Send(to, batch)
		}
	}
}

func (m *Member) fillSnapshot(msg *schema.ConsensusMessage) {
	s, err := m.cfg.Storage.Snapshot()
	if err != nil {
		// The receiver ignores a snapshot of index 0; the next try reports.
		return
	}
	msg.Snapshot = s
}

// find also knows members whose addition is not in force here yet: their
// replies must reach the leader.
func (m *Member) find(id uint64) *schema.Member {
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
		p, ok := m.waiting[e.GetIndex()]
		if !ok {
			continue
		}
		delete(m.waiting, e.GetIndex())
		if p.term != e.GetTerm() {
			p.reply <- outcome{err: ErrOverwritten}
			continue
		}
		p.reply <- outcome{result: result, index: e.GetIndex()}
	}
}

func (m *Member) answerReads() {
	kept := m.readyReads[:0]
	for _, r := range m.readyReads {
		if r.Index > m.applied {
			kept = append(kept, r)
			continue
		}
		if reply, ok := m.reads[r.ID]; ok {
			reply <- outcome{index: r.Index}
			delete(m.reads, r.ID)
		}
	}
	m.readyReads = kept
}

// abandon answers what can no longer be confirmed here.
func (m *Member) abandon(err error) {
	for index, p := range m.waiting {
		p.reply <- outcome{err: err}
		delete(m.waiting, index)
	}
	for id, reply := range m.reads {
		reply <- outcome{err: err}
		delete(m.reads, id)
	}
	m.readyReads = nil
}

func (m *Member) snapshot() error {
	if m.applied < m.snapshotAt+m.cfg.SnapshotAfter {
		return nil
	}
	data, err := m.cfg.StateMachine.Snapshot()
	if err != nil {
		return errors.Newf("take snapshot: %w", err)
	}
	term, ok := m.core.log.term(m.applied)
	if !ok {
		return nil
	}
	s := &schema.SnapshotState{
		Index: m.applied, Term: term, Membership: m.core.MembershipAt(m.applied), Data: data,
	}
	if err := m.cfg.Storage.SaveSnapshot(s); err != nil {
		return errors.Newf("the snapshot could not be synced: %w", err)
	}
	m.snapshotAt = m.applied
	m.core.Compact(m.applied - min(m.applied, m.cfg.SnapshotAfter/keepDivisor))
	return nil
}
