package control

import (
	"context"
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
	// watchBeat is the longest time between two messages on a watch, so that a
	// watcher can tell silence from quiet.
	watchBeat = time.Second
	// watchGap collects changes that come together.
	watchGap   = 10 * time.Millisecond
	planPrefix = "plan/"
)

// Config configures a Group. All fields are required unless they say otherwise.
type Config struct {
	Group uint64
	Self  *schema.HostSettings
	Hosts []*schema.HostSettings
	// Seeds, where set, takes the place of Hosts: it returns the peer addresses
	// of a few control hosts, through which the others are found. Hosts are then
	// named by their peer addresses.
	Seeds func() []string
	// Bootstrap is set only while the whole deployment starts for the first time.
	// Without it, and outside the seeds, no host with an empty disk ever founds
	// a group: all control hosts that lost their disks at once would otherwise
	// start over beside what callers were told. It is used with Seeds only.
	Bootstrap bool
	Storage   *consensus.Storage
	Dialer    *peer.Dialer
	// QueryDialer is the dialer of questions to the leader; nil: Dialer. A connection on which
	// calls keep timing out is replaced, and with many questions to a busy leader at a time
	// that must not be the one on which it says that it leads.
	QueryDialer *peer.Dialer
	// Heartbeat is the tick of the group, Election the shortest election
	// timeout.
	Heartbeat     time.Duration
	Election      time.Duration
	SnapshotAfter uint64
	// SilentTicks: see consensus.MemberConfig.
	SilentTicks int
	Random      func(n int) int
	Log         logr.Logger
}

// Group is one control member. All methods are safe from any goroutine.
type Group struct {
	cfg    Config
	ledger *ledger.Ledger
	links  *links
	lately lately
	asking asking
	stop   chan struct{}
	done   chan struct{}
	once   sync.Once

	mu sync.Mutex
	// member is nil until the group is formed.
	member *consensus.Member
	// err is set before done is closed.
	err error
	// report and forecast are set by Lead before the first call comes in.
	report   func(*schema.Report) *schema.ReportReply
	forecast func(*schema.Intent) []*schema.PlanLine
	unproved func() []uint64
}

// NewGroup starts the member: at once when its storage belongs to a group, else
// as soon as the group is formed. Errors of the disk end it: see Done and Err.
func NewGroup(cfg Config) (*Group, error) {
	g := &Group{
		cfg: cfg, ledger: ledger.New(), stop: make(chan struct{}), done: make(chan struct{}),
	}
	g.links = newLinks(cfg, g.unreachable)
	formed, err := hasPromises(cfg.Storage)
	if err != nil {
		return nil, err
	}
	if formed {
		if err := g.start(); err != nil {
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

// hasPromises reports whether the disk holds anything that the member promised
// to a group.
func hasPromises(s *consensus.Storage) (bool, error) {
	saved, err := s.Load()
	if err != nil {
		return false, errors.Newf("look for promises: %w", err)
	}
	return saved.Snapshot.GetIndex() > 0 || saved.HardState.GetTerm() > 0 || len(saved.Entries) > 0, nil
}

func (g *Group) start() error {
	m, err := consensus.NewMember(consensus.MemberConfig{
		Group: g.cfg.Group, Storage: g.cfg.Storage, Send: g.links.send,
		StateMachine: consensus.StateMachine{
			Apply: g.ledger.Apply, Advance: g.ledger.Advance, Snapshot: g.ledger.Snapshot, Restore: g.ledger.Restore,
		},
		Tick: g.cfg.Heartbeat, ElectionTicks: int(g.cfg.Election / g.cfg.Heartbeat),
		SnapshotAfter: g.cfg.SnapshotAfter, SilentTicks: g.cfg.SilentTicks, Random: g.cfg.Random,
		LeaderChanged: func(s consensus.MemberStatus) {
			g.cfg.Log.Info("control role", "role", s.Role.String(), "term", s.Term, "leader", s.LeaderHost)
		},
		MembersChanged: func(s consensus.MemberStatus) {
			voters, learners := hostsOf(s.Membership)
			g.cfg.Log.Info("control members", "voters", voters, "learners", learners, "silent", s.SilentVoters)
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
	if !formed && !g.form() {
		return
	}
	m := g.current()
	go g.rejoin(m)
	select {
	case <-g.stop:
		m.Stop()
	case <-m.Done():
	}
}

func (g *Group) finish() {
	m := g.current()
	if m != nil {
		m.Stop()
	}
	g.links.stop()
	g.mu.Lock()
	if m != nil && g.err == nil {
		g.err = m.Err()
	}
	g.mu.Unlock()
}

func (g *Group) current() *consensus.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.member
}

func (g *Group) unreachable(id uint64) {
	if m := g.current(); m != nil {
		m.Unreachable(id)
	}
}

// Done is closed when the member has stopped.
func (g *Group) Done() <-chan struct{} { return g.done }

// Err tells why the member stopped; nil after Stop.
func (g *Group) Err() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

// Stop hands leadership over, if this member leads, and ends it.
func (g *Group) Stop() {
	g.once.Do(func() {
		g.handOver()
		close(g.stop)
	})
	<-g.done
}

// handOver waits for another leader, or the group would be without one for an
// election timeout after every planned stop.
func (g *Group) handOver() {
	m := g.current()
	if m == nil || m.Status().Role != consensus.RoleLeader {
		return
	}
	m.TransferLeadership()
	limit := time.After(g.cfg.Election)
	ticker := time.NewTicker(g.cfg.Heartbeat)
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

// Status returns the member's status; the zero value before the group is formed.
func (g *Group) Status() consensus.MemberStatus {
	if m := g.current(); m != nil {
		return m.Status()
	}
	return consensus.MemberStatus{}
}

// SetLeaderHandlers gives the group what only a leader's order driver can answer. It must be
// called before calls of peers come in.
func (g *Group) SetLeaderHandlers(report func(*schema.Report) *schema.ReportReply,
	forecast func(*schema.Intent) []*schema.PlanLine, unproved func() []uint64,
) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report, g.forecast, g.unproved = report, forecast, unproved
}

// Commit proposes a command on this member. See consensus.Member.Propose for
// what its errors prove.
func (g *Group) Commit(ctx context.Context, cmd *schema.Command) (*schema.Result, error) {
	m := g.current()
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

// ConfirmLeadership returns nil only if this member led at some moment after the call.
func (g *Group) ConfirmLeadership(ctx context.Context) (uint64, error) {
	m := g.current()
	if m == nil {
		return 0, consensus.ErrNotLeader
	}
	return m.Read(ctx)
}

// Handlers returns the answers to the calls of peers.
func (g *Group) Handlers() peer.Handlers {
	return peer.Handlers{
		Deliver: g.deliver, Hello: g.hello, Propose: g.propose, Read: g.read,
		Watch: g.watch, SendReport: g.takeReport, Fetch: g.fetch,
	}
}

func (g *Group) deliver(_ context.Context, q *schema.Delivery) (*schema.DeliveryReply, error) {
	m := g.current()
	if q.GetGroup() != g.cfg.Group || m == nil {
		return nil, status.Error(codes.FailedPrecondition, "the group is not formed here")
	}
	for _, msg := range q.GetMessages() {
		g.links.learn(msg.GetFrom(), q.GetHost(), q.GetAddress())
		m.Step(msg)
	}
	return &schema.DeliveryReply{}, nil
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
	revision, term, err := g.lately.confirm(ctx, g, time.Duration(q.GetAgeMs())*time.Millisecond)
	if errors.Is(err, consensus.ErrNotLeader) || errors.Is(err, consensus.ErrNoCommitInTerm) {
		return &schema.ReadReply{NotLeader: true, LeaderHost: g.Status().LeaderHost}, nil
	}
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &schema.ReadReply{Revision: revision, Term: term}, nil
}

// CatchUp returns the term of a leader that led at some moment not longer than age
// before the call, once this member has applied all that was committed by then.
func (g *Group) CatchUp(ctx context.Context, age time.Duration) (term uint64, err error) {
	s := g.Status()
	if s.CommittedInTerm {
		_, term, err = g.lately.confirm(ctx, g, age)
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
	return reply.GetTerm(), g.applied(ctx, reply.GetRevision())
}

// appliedCheck is how often a member looks whether it has applied the log up to
// an index: not every command is announced.
const appliedCheck = 3 * time.Millisecond

// applied waits until this member has applied the log up to an index.
func (g *Group) applied(ctx context.Context, index uint64) error {
	ticker := time.NewTicker(appliedCheck)
	defer ticker.Stop()
	for {
		var at uint64
		g.ledger.View(func(h ledger.Status, _ *ledger.Records) { at = h.Index })
		if at >= index {
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
	g.ledger.View(func(h ledger.Status, r *ledger.Records) {
		out.Revision, out.ConfigRevision, out.OperatorRevision = h.Index, h.ConfigRevision, h.OperatorRevision
		out.LastOperator, out.LastCommand = h.LastOperator, h.LastCommand
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
	unproved := g.unproved
	g.mu.Unlock()
	if unproved != nil {
		out.Unproved = unproved()
	}
	return out, nil
}

func (g *Group) takeReport(_ context.Context, q *schema.Report) (*schema.ReportReply, error) {
	g.mu.Lock()
	report := g.report
	g.mu.Unlock()
	if s := g.Status(); !s.CommittedInTerm || report == nil {
		return &schema.ReportReply{NotLeader: true, LeaderHost: s.LeaderHost}, nil
	}
	return report(q), nil
}

// watch sends a follower everything after its revision, then each change. Any
// member may serve it: a follower never goes back, and a member that lags says
// by its silence about a leader that it should not be trusted for long.
func (g *Group) watch(q *schema.WatchRequest, stream grpc.ServerStreamingServer[schema.Changes]) error {
	after := q.GetAfter()
	beat := time.NewTicker(watchBeat)
	defer beat.Stop()
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
		case <-beat.C:
			continue
		case <-changed:
		}
		select {
		case <-stream.Context().Done():
			return nil
		case <-time.After(watchGap):
		}
	}
}

// withoutPlans spares entries the plans, which hold whole intents and which
// only operators read.
func withoutPlans(c *schema.Changes) *schema.Changes {
	kept := make([]*schema.Record, 0, len(c.GetRecords()))
	for _, rec := range c.GetRecords() {
		if !strings.HasPrefix(rec.GetKey(), planPrefix) {
			kept = append(kept, rec)
		}
	}
	return &schema.Changes{Revision: c.GetRevision(), Whole: c.GetWhole(), Records: kept}
}
