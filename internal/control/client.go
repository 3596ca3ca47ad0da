package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"

	"fennelyard/internal/ledger"
	"fennelyard/internal/peer"
	"fennelyard/internal/schema"
)

var (
	// ErrNoLeader says that no leader could be reached and that the command
	// was given to none.
	ErrNoLeader = errors.New("the control group has no leader that can be reached")
	// ErrOutcomeUnknown says that the command may or may not be committed.
	ErrOutcomeUnknown = errors.New("the control group did not answer; the outcome is not known")
	// ErrRefused says that the leader took nothing on; the message tells why.
	ErrRefused = errors.New("the control group refused")
)

const (
	tryWait    = 2 * time.Second
	retryPause = 50 * time.Millisecond
	// watchSilence is how long a watch may be silent before another member is
	// asked; members send something every watchBeat.
	watchSilence = 3 * watchBeat
)

// ClientConfig configures a Client. All fields are required.
type ClientConfig struct {
	Group uint64
	Self  *schema.HostSettings
	Hosts []*schema.HostSettings
	// Dialer is not closed by the client.
	Dialer  *peer.Dialer
	Replica *ledger.Replica
	Log     logr.Logger
}

// Client reaches the control group from any host and keeps the host's replica
// current. All methods are safe from any goroutine.
type Client struct {
	cfg     ClientConfig
	members []*schema.HostSettings
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once

	mu sync.Mutex
	// leader is the control host that led last, or ""; guarded by mu.
	leader string
	// heard is when a watch last brought something; guarded by mu.
	heard time.Time
}

// NewClient starts to follow the group's changes.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, stop: make(chan struct{}), done: make(chan struct{})}
	for _, h := range cfg.Hosts {
		if h.GetControl() {
			c.members = append(c.members, h)
		}
	}
	// A member on this host or in this data centre goes first.
	slices.SortStableFunc(c.members, func(a, b *schema.HostSettings) int {
		return c.distance(a) - c.distance(b)
	})
	go func() {
		defer close(c.done)
		c.follow()
	}()
	return c
}

func (c *Client) distance(h *schema.HostSettings) int {
	switch {
	case h.GetName() == c.cfg.Self.GetName():
		return 0
	case h.GetDataCentre() == c.cfg.Self.GetDataCentre():
		return 1
	}
	return 2
}

// Stop ends the client.
func (c *Client) Stop() {
	c.once.Do(func() { close(c.stop) })
	<-c.done
}

// Done is closed when the client has stopped.
func (c *Client) Done() <-chan struct{} { return c.done }

// Leader returns the host that is believed to lead, or "".
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// LastReceived returns when the group was last heard from.
func (c *Client) LastReceived() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard
}

func (c *Client) setLeader(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = host
}

// Propose commits a command with the leader and returns its result. It goes on
// until the context ends; a command must therefore be safe to give twice.
// ErrNoLeader and ErrRefused prove that nothing was committed.
func (c *Client) Propose(ctx context.Context, cmd *schema.Command) (*schema.Result, error) {
	var reply *schema.ProposeReply
	err := c.withLeader(ctx, func(ctx context.Context, p schema.PeerClient) (notLeader bool, hint string, err error) {
		reply, err = p.Propose(ctx, &schema.ProposeRequest{Group: c.cfg.Group, Command: cmd})
		return reply.GetNotLeader(), reply.GetLeaderHost(), err
	})
	if err != nil {
		return nil, err
	}
	return reply.GetResult(), nil
}

// Read returns a revision confirmed by a quorum after the call.
func (c *Client) Read(ctx context.Context) (uint64, error) {
	var reply *schema.ReadReply
	err := c.withLeader(ctx, func(ctx context.Context, p schema.PeerClient) (notLeader bool, hint string, err error) {
		reply, err = p.Read(ctx, &schema.ReadRequest{Group: c.cfg.Group})
		return reply.GetNotLeader(), reply.GetLeaderHost(), err
	})
	return reply.GetRevision(), err
}

// Fetch returns the leader's records under a prefix, confirmed by a quorum.
func (c *Client) Fetch(ctx context.Context, prefix string) (*schema.FetchReply, error) {
	var reply *schema.FetchReply
	err := c.withLeader(ctx, func(ctx context.Context, p schema.PeerClient) (notLeader bool, hint string, err error) {
		reply, err = p.Fetch(ctx, &schema.FetchRequest{Group: c.cfg.Group, Prefix: prefix})
		return reply.GetNotLeader(), reply.GetLeaderHost(), err
	})
	return reply, err
}

// Report gives the leader this entry's soft state.
func (c *Client) Report(ctx context.Context, r *schema.Report) (*schema.ReportReply, error) {
	r.Group = c.cfg.Group
	var reply *schema.ReportReply
	err := c.withLeader(ctx, func(ctx context.Context, p schema.PeerClient) (notLeader bool, hint string, err error) {
		reply, err = p.SendReport(ctx, r)
		return reply.GetNotLeader(), reply.GetLeaderHost(), err
	})
	return reply, err
}

type leaderCall func(ctx context.Context, p schema.PeerClient) (notLeader bool, hint string, err error)

// withLeader asks the members in turn, the believed leader first, until one
// answers as leader.
func (c *Client) withLeader(ctx context.Context, call leaderCall) error {
	uncertain := false
	next := 0
	host := c.Leader()
	for {
		target := c.host(host)
		if target == nil {
			target = c.members[next%len(c.members)]
			next++
		}
		notLeader, hint, err := c.try(ctx, target, call)
		switch {
		case err == nil && !notLeader:
			c.setLeader(target.GetName())
			return nil
		case err == nil:
			host = hint
		case status.Code(err) == codes.ResourceExhausted:
			return errors.Newf("%s: %w", status.Convert(err).Message(), ErrRefused)
		default:
			host = ""
			uncertain = uncertain || !provesUnsent(err)
		}
		if host == target.GetName() {
			host = ""
		}
		if err := c.pause(ctx, notLeader && host != ""); err != nil {
			if uncertain {
				return errors.Newf("%v: %w", err, ErrOutcomeUnknown)
			}
			return errors.Newf("%v: %w", err, ErrNoLeader)
		}
	}
}

func (c *Client) try(ctx context.Context, h *schema.HostSettings, call leaderCall) (bool, string, error) {
	p, err := c.cfg.Dialer.Client(h.GetPeerAddress())
	if err != nil {
		return false, "", errors.Newf("reach %s: %w", h.GetName(), err)
	}
	ctx, cancel := context.WithTimeout(ctx, tryWait)
	defer cancel()
	return call(ctx, p)
}

// provesUnsent reports whether an error shows that no member can have acted.
func provesUnsent(err error) bool {
	s := status.Convert(err)
	return s.Code() == codes.Unimplemented || s.Code() == codes.FailedPrecondition
}

// pause waits before the next try, but not when a leader was named.
func (c *Client) pause(ctx context.Context, named bool) error {
	wait := retryPause
	if named {
		wait = time.Millisecond
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.stop:
		return errors.New("the client has stopped")
	case <-time.After(wait):
		return nil
	}
}

func (c *Client) host(name string) *schema.HostSettings {
	for _, h := range c.members {
		if h.GetName() == name {
			return h
		}
	}
	return nil
}

// follow keeps one watch open, at the nearest member that answers.
func (c *Client) follow() {
	for i := 0; ; i++ {
		err := c.watch(c.members[i%len(c.members)])
		select {
		case <-c.stop:
			return
		case <-time.After(retryPause):
		}
		if err != nil {
			c.cfg.Log.V(1).Info("watch ended", "reason", err.Error())
		}
	}
}

func (c *Client) watch(h *schema.HostSettings) error {
	p, err := c.cfg.Dialer.Client(h.GetPeerAddress())
	if err != nil {
		return errors.Newf("reach %s: %w", h.GetName(), err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-c.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	// A member that was cut off goes on sending beats without a leader; a
	// connection may go silent for good. Both end the watch.
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	// Compressed, the whole state of 15,100 models and adapters is a twelfth of
	// its size: a restarted entry has it well within the byte budget.
	stream, err := p.Watch(ctx, &schema.WatchRequest{Group: c.cfg.Group, After: c.cfg.Replica.Revision()},
		grpc.UseCompressor(gzip.Name))
	if err != nil {
		return errors.Newf("watch %s: %w", h.GetName(), err)
	}
	for {
		changes, err := stream.Recv()
		if err != nil {
			return errors.Newf("watch %s: %w", h.GetName(), err)
		}
		c.cfg.Replica.Apply(changes)
		if changes.GetLeaderHost() == "" {
			continue
		}
		silence.Reset(watchSilence)
		c.mu.Lock()
		c.leader = changes.GetLeaderHost()
		c.heard = time.Now()
		c.mu.Unlock()
	}
}
