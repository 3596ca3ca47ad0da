package control

import (
	"context"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/consensus"
	"fennelyard/internal/ledger"
	"fennelyard/internal/peer"
	"fennelyard/internal/schema"
)

const (
	// watchHeartbeat is the longest interval between two messages on a watch, so
	// that a watcher can detect a broken connection.
	watchHeartbeat = time.Second
	// watchBatchDelay is the delay after a change in which further changes are
	// collected into the same message.
	watchBatchDelay = 10 * time.Millisecond
	planPrefix      = "plan/"
)

// Config configures a Group. All fields are required unless stated otherwise.
type Config struct {
	Group uint64
	Self  *schema.HostSettings
	Hosts []*schema.HostSettings
	// Seeds, if set, replaces Hosts: it returns the peer addresses of a few
	// control hosts, from which the others are discovered. Hosts are then named by
	// their peer addresses.
	Seeds func() []string
	// Bootstrap must be set only while the whole deployment starts for the first
	// time. Without it, no host with an empty disk bootstraps a group; nor does a
	// host that is not a seed. Otherwise, if all control hosts lost their disks at
	// the same time, they would start with an empty state that contradicts earlier
	// replies to callers. It is used with Seeds only.
	Bootstrap bool
	Storage   *consensus.Storage
	Dialer    *peer.Dialer
	// QueryDialer is the dialer for queries to the leader; nil means Dialer. A
	// connection on which calls repeatedly time out is replaced. With many
	// concurrent queries to a busy leader this must not affect the connection on
	// which the leader reports its leadership.
	QueryDialer *peer.Dialer
	// HeartbeatInterval is the heartbeat interval of the group, ElectionTimeout the
	// shortest election timeout.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	SnapshotAfter     uint64
	// SilentTicks is passed to consensus.MemberConfig; 0 means that silent voters
	// are never replaced.
	SilentTicks int
	Random      func(n int) int
	// MeasureWork is consensus.MemberConfig.MeasureWork; it may be nil.
	MeasureWork func() (ended func())
	Log         logr.Logger
}

// Group runs this host's member of the control group. It is safe for concurrent use.
type Group struct {
	cfg          Config
	ledger       *ledger.Ledger
	transport    *transport
	confirmation leadershipConfirmation
	joinState    joinState
	stop         chan struct{}
	done         chan struct{}
	once         sync.Once

	mu sync.Mutex
	// member is nil until the group is formed.
	member *consensus.Member
	// err is set before done is closed.
	err error
	// report, forecast and unconfirmed are set by SetLeaderHandlers before the
	// first call of a peer.
	report      func(*schema.Report) *schema.ReportReply
	forecast    func(*schema.Intent) []*schema.PlanLine
	unconfirmed func() []uint64
}

// NewGroup starts the member: immediately if its storage belongs to a group,
// otherwise once the group is formed. Disk errors stop the member: see Done and Err.
func NewGroup(cfg Config) (*Group, error) {
	g := &Group{
		cfg: cfg, ledger: ledger.New(), stop: make(chan struct{}), done: make(chan struct{}),
	}
	g.transport = newTransport(cfg, g.unreachable)
	formed, err := hasState(cfg.Storage)
	if err != nil {
		return nil, err
	}
	if formed {
		if err := g.startMember(); err != nil {
			return nil, err
		}
	}
	go func() {
		defer close(g.done)
		g.run(formed)
		g.finish()
	}()
	return g, nil
}

// hasState reports whether the storage has any state of a group: a snapshot, a term
// or entries.
func hasState(s *consensus.Storage) (bool, error) {
	saved, err := s.Load()
	if err != nil {
		return false, errors.Newf("load group state: %w", err)
	}
	return saved.Snapshot.GetIndex() > 0 || saved.HardState.GetTerm() > 0 || len(saved.Entries) > 0, nil
}

func (g *Group) startMember() error {
	m, err := consensus.NewMember(consensus.MemberConfig{
		Group: g.cfg.Group, Storage: g.cfg.Storage, Send: g.transport.send,
		StateMachine: consensus.StateMachine{
			Apply: g.ledger.Apply, Advance: g.ledger.Advance, Snapshot: g.ledger.Snapshot, Restore: g.ledger.Restore,
		},
		Tick: g.cfg.HeartbeatInterval, ElectionTicks: int(g.cfg.ElectionTimeout / g.cfg.HeartbeatInterval),
		SnapshotAfter: g.cfg.SnapshotAfter, SilentTicks: g.cfg.SilentTicks, Random: g.cfg.Random, MeasureWork: g.cfg.MeasureWork,
		LeaderChanged: func(s consensus.MemberStatus) {
			g.cfg.Log.Info("control role", "role", s.Role.String(), "term", s.Term, "leader", s.LeaderHost)
		},
		MembersChanged: func(s consensus.MemberStatus) {
			voters, learners := hostsOf(s.Membership)
			g.cfg.Log.Info("control members", "voters", voters, "learners", learners, "silent", s.SilentVoters, "size", s.Membership.GetSize())
		},
		Damaged: func(from uint64, err error) {
			g.cfg.Log.Info("control state damaged", "from", from, "error", err.Error())
		},
	})
	if err != nil {
		return errors.Newf("start control member: %w", err)
	}
	g.mu.Lock()
	g.member = m
	g.mu.Unlock()
	return nil
}

func (g *Group) run(formed bool) {
	if !formed && !g.waitFormed() {
		return
	}
	m := g.currentMember()
	go g.rejoin(m)
	select {
	case <-g.stop:
		m.Stop()
	case <-m.Done():
	}
}

func (g *Group) finish() {
	m := g.currentMember()
	if m != nil {
		m.Stop()
	}
	g.transport.stop()
	g.mu.Lock()
	if m != nil && g.err == nil {
		g.err = m.Err()
	}
	g.mu.Unlock()
}

func (g *Group) currentMember() *consensus.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member
}

func (g *Group) unreachable(id uint64) {
	if m := g.currentMember(); m != nil {
		m.Unreachable(id)
	}
}

// Done returns a channel that is closed when the member has stopped.
func (g *Group) Done() <-chan struct{} { return g.done }

// Err returns the error that stopped the member; nil after Stop.
func (g *Group) Err() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

// Stop transfers leadership if this member leads, and stops the member.
func (g *Group) Stop() {
	g.once.Do(func() {
		g.transferLeadership()
		close(g.stop)
	})
	<-g.done
}

// transferLeadership transfers leadership and waits for another leader. Otherwise
// the group would have no leader for an election timeout after every planned stop.
func (g *Group) transferLeadership() {
	m := g.currentMember()
	if m == nil || m.Status().Role != consensus.RoleLeader {
		return
	}
	m.TransferLeadership()
	limit := time.After(g.cfg.ElectionTimeout)
	ticker := time.NewTicker(g.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for m.Status().Role == consensus.RoleLeader {
		select {
		case <-limit:
			return
		case <-m.Done():
			return
		case <-ticker.C:
		}
	}
}

// Ledger returns this member's replicated state.
func (g *Group) Ledger() *ledger.Ledger { return g.ledger }

// Status returns the member's status, or the zero value before the group is formed.
func (g *Group) Status() consensus.MemberStatus {
	if m := g.currentMember(); m != nil {
		return m.Status()
	}
	return consensus.MemberStatus{}
}

// SetLeaderHandlers sets the handlers for calls that only a leader's order driver can
// serve. It must be called before the first call of a peer.
func (g *Group) SetLeaderHandlers(report func(*schema.Report) *schema.ReportReply,
	forecast func(*schema.Intent) []*schema.PlanLine, unconfirmed func() []uint64,
) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report, g.forecast, g.unconfirmed = report, forecast, unconfirmed
}

// Commit proposes a command on this member. See consensus.Member.Propose for the
// meaning of its errors.
func (g *Group) Commit(ctx context.Context, cmd *schema.Command) (*schema.Result, error) {
	m := g.currentMember()
	if m == nil {
		return nil, consensus.ErrNotLeader
	}
	cmd.AtMs = time.Now().UnixMilli()
	data, err := proto.Marshal(cmd)
	if err != nil {
		return nil, errors.Newf("encode command: %w", err)
	}
	result, _, err := m.Propose(ctx, data)
	if err != nil {
		return nil, errors.Newf("commit: %w", err)
	}
	return result.(*schema.Result), nil
}

// ConfirmLeadership returns a nil error only if this member led at some time after the
// call. It returns the committed index.
func (g *Group) ConfirmLeadership(ctx context.Context) (uint64, error) {
	m := g.currentMember()
	if m == nil {
		return 0, consensus.ErrNotLeader
	}
	return m.Read(ctx)
}

// Handlers returns the handlers for calls of peers.
func (g *Group) Handlers() peer.Handlers {
	return peer.Handlers{
		Deliver: g.deliver, DeliverAll: g.deliverAll, Hello: g.hello, Propose: g.propose, Read: g.read,
		Watch: g.watch, SendReport: g.handleReport, Fetch: g.fetch,
	}
}

func (g *Group) deliver(_ context.Context, q *schema.Delivery) (*schema.DeliveryReply, error) {
	m := g.currentMember()
	if q.GetGroup() != g.cfg.Group || m == nil {
		return nil, status.Error(codes.FailedPrecondition, "the group is not formed here")
	}
	for _, msg := range q.GetMessages() {
		g.transport.recordAddress(msg.GetFrom(), q.GetHost(), q.GetAddress())
		m.Step(msg)
	}
	return &schema.DeliveryReply{}, nil
}

// deliverAll takes the messages of a stream until it ends.
func (g *Group) deliverAll(stream grpc.BidiStreamingServer[schema.Delivery, schema.DeliveryReply]) error {
	for {
		q, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Newf("receive delivery: %w", err)
		}
		reply, err := g.deliver(stream.Context(), q)
		if err != nil {
			return err
		}
		if err := stream.Send(reply); err != nil {
			return errors.Newf("reply to delivery: %w", err)
		}
	}
}

func (g *Group) propose(ctx context.Context, q *schema.ProposeRequest) (*schema.ProposeReply, error) {
	cmd := q.GetCommand()
	if a := cmd.GetApplyIntent(); a != nil {
		g.mu.Lock()
		forecast := g.forecast
		g.mu.Unlock()
		if forecast != nil {
			a.Forecasts = forecast(a.GetIntent())
		}
	}
	result, err := g.Commit(ctx, cmd)
	switch {
	case err == nil:
		return &schema.ProposeReply{Result: result}, nil
	case errors.Is(err, consensus.ErrNotLeader):
		return &schema.ProposeReply{NotLeader: true, LeaderHost: g.Status().LeaderHost}, nil
	case errors.Is(err, consensus.ErrBusy), errors.Is(err, consensus.ErrDiskFull), errors.Is(err, consensus.ErrOverwritten):
		return nil, status.Error(codes.ResourceExhausted, err.Error())
	default:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
}

func (g *Group) read(ctx context.Context, q *schema.ReadRequest) (*schema.ReadReply, error) {
	revision, term, err := g.confirmation.confirm(ctx, g, time.Duration(q.GetAgeMs())*time.Millisecond)
	if errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, consensus.ErrNoCommitInTerm) {
		return &schema.ReadReply{NotLeader: true, LeaderHost: g.Status().LeaderHost}, nil
	}
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &schema.ReadReply{Revision: revision, Term: term}, nil
}

// CatchUp returns the term of a leader that led at some time no earlier than age before
// the call. It returns once this member has applied everything committed by then.
func (g *Group) CatchUp(ctx context.Context, age time.Duration) (term uint64, err error) {
	s := g.Status()
	if s.CommittedInTerm {
		_, term, err = g.confirmation.confirm(ctx, g, age)
		return term, err
	}
	if s.LeaderHost == "" {
		return 0, consensus.ErrNotLeader
	}
	dialer := g.cfg.QueryDialer
	if dialer == nil {
		dialer = g.cfg.Dialer
	}
	client, err := dialer.Client(s.LeaderHost)
	if err != nil {
		return 0, errors.Newf("reach leader: %w", err)
	}
	reply, err := client.Read(ctx, &schema.ReadRequest{AgeMs: age.Milliseconds()})
	if err != nil {
		return 0, errors.Newf("ask leader: %w", err)
	}
	if reply.GetNotLeader() {
		return 0, consensus.ErrNotLeader
	}
	return reply.GetTerm(), g.waitApplied(ctx, reply.GetRevision())
}

// appliedPollInterval is the interval at which waitApplied checks the applied index.
// It polls because the ledger does not signal every command.
const appliedPollInterval = 3 * time.Millisecond

// waitApplied waits until this member has applied the log up to an index.
func (g *Group) waitApplied(ctx context.Context, index uint64) error {
	ticker := time.NewTicker(appliedPollInterval)
	defer ticker.Stop()
	for {
		var applied uint64
		g.ledger.View(func(state ledger.Status, _ *ledger.Records) { applied = state.Index })
		if applied >= index {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Newf("catch up with the leader: %w", ctx.Err())
		case <-ticker.C:
		}
	}
}

func (g *Group) fetch(ctx context.Context, q *schema.FetchRequest) (*schema.FetchReply, error) {
	if _, err := g.ConfirmLeadership(ctx); err != nil {
		if errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, consensus.ErrNoCommitInTerm) {
			return &schema.FetchReply{NotLeader: true, LeaderHost: g.Status().LeaderHost}, nil
		}
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	out := &schema.FetchReply{}
	g.ledger.View(func(state ledger.Status, r *ledger.Records) {
		out.Revision, out.ConfigRevision, out.OperatorRevision = state.Index, state.ConfigRevision, state.OperatorRevision
		out.LastOperator, out.LastCommand = state.LastOperator, state.LastCommand
		for _, rec := range r.All() {
			if strings.HasPrefix(rec.GetKey(), q.GetPrefix()) {
				out.Records = append(out.Records, rec)
			}
		}
	})
	s := g.Status()
	for _, m := range s.Membership.GetMembers() {
		out.Members = append(out.Members, &schema.MemberView{
			Host: m.GetHost(), Id: m.GetId(), Learner: m.GetLearner(), Leader: m.GetId() == s.Leader,
		})
	}
	g.mu.Lock()
	unconfirmed := g.unconfirmed
	g.mu.Unlock()
	if unconfirmed != nil {
		out.Unproved = unconfirmed()
	}
	return out, nil
}

func (g *Group) handleReport(_ context.Context, q *schema.Report) (*schema.ReportReply, error) {
	g.mu.Lock()
	report := g.report
	g.mu.Unlock()
	if s := g.Status(); !s.CommittedInTerm || report == nil {
		return &schema.ReportReply{NotLeader: true, LeaderHost: s.LeaderHost}, nil
	}
	return report(q), nil
}

// watch sends a watcher all changes after its revision, then each further change.
// Any member can serve it: a watcher never goes back to an older revision, and a
// member that knows no leader sends no leader host, after which the watcher switches
// to another member.
func (g *Group) watch(q *schema.WatchRequest, stream grpc.ServerStreamingServer[schema.Changes]) error {
	after := q.GetAfter()
	heartbeat := time.NewTicker(watchHeartbeat)
	defer heartbeat.Stop()
	for {
		changed := g.ledger.Changed()
		out := withoutPlans(g.ledger.Since(after))
		out.LeaderHost = g.Status().LeaderHost
		if out.GetRevision() >= after {
			if err := stream.Send(out); err != nil {
				return errors.Newf("watch: %w", err)
			}
			after = out.GetRevision()
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-g.stop:
			return status.Error(codes.Unavailable, "the host is stopping")
		case <-heartbeat.C:
			continue
		case <-changed:
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-time.After(watchBatchDelay):
		}
	}
}

// withoutPlans removes plans, which contain complete intents and are read by
// operators only.
func withoutPlans(c *schema.Changes) *schema.Changes {
	records := make([]*schema.Record, 0, len(c.GetRecords()))
	for _, rec := range c.GetRecords() {
		if !strings.HasPrefix(rec.GetKey(), planPrefix) {
			records = append(records, rec)
		}
	}
	return &schema.Changes{Revision: c.GetRevision(), Whole: c.GetWhole(), Records: records}
}
