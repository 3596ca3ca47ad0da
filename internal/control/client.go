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
	// ErrNoLeader is returned if no leader was reachable and the command was sent
	// to none.
	ErrNoLeader = errors.New("the control group has no leader that can be reached")
	// ErrOutcomeUnknown is returned if the command may or may not be committed.
	ErrOutcomeUnknown = errors.New("the control group did not answer; the outcome is not known")
	// ErrRefused is returned if the leader refused the command; the message
	// contains the reason.
	ErrRefused = errors.New("the control group refused")
)

const (
	attemptTimeout = 2 * time.Second
	retryDelay     = 50 * time.Millisecond
	// watchTimeout is how long a watch may be silent before another member is
	// watched. Members send at least every watchHeartbeat.
	watchTimeout = 3 * watchHeartbeat
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

// Client sends commands and reads to the control group from any host and keeps the
// host's replica up to date. It is safe for concurrent use.
type Client struct {
	cfg     ClientConfig
	members []*schema.HostSettings
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once

	mu sync.Mutex
	// leader is the last known leader's host, or ""; guarded by mu.
	leader string
	// lastReceived is when a watch last received a message with a known leader;
	// guarded by mu.
	lastReceived time.Time
}

// NewClient returns a client that watches the group's changes.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, stop: make(chan struct{}), done: make(chan struct{})}
	for _, h := range cfg.Hosts {
		if h.GetControl() {
			c.members = append(c.members, h)
		}
	}
	// Members on this host come first, then those in this data centre.
	slices.SortStableFunc(c.members, func(a, b *schema.HostSettings) int {
		return c.distance(a) - c.distance(b)
	})
	go func() {
		defer close(c.done)
		c.runWatch()
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

// Stop stops the client.
func (c *Client) Stop() {
	c.once.Do(func() { close(c.stop) })
	<-c.done
}

// Done returns a channel that is closed when the client has stopped.
func (c *Client) Done() <-chan struct{} { return c.done }

// Leader returns the host of the last known leader, or "".
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// LastReceived returns when the last message with a known leader was received.
func (c *Client) LastReceived() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReceived
}

func (c *Client) setLeader(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = host
}

// Propose commits a command through the leader and returns its result. It retries
// until the context ends, so a command must be idempotent. ErrNoLeader and
// ErrRefused prove that nothing was committed.
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

// Report sends this entry's soft state to the leader.
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

// withLeader calls the members in turn, the last known leader first, until one
// replies as the leader.
func (c *Client) withLeader(ctx context.Context, call leaderCall) error {
	outcomeUnknown := false
	next := 0
	host := c.Leader()
	for {
		target := c.host(host)
		if target == nil {
			target = c.members[next%len(c.members)]
			next++
		}
		notLeader, hint, err := c.attempt(ctx, target, call)
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
			outcomeUnknown = outcomeUnknown || !provesNotExecuted(err)
		}
		if host == target.GetName() {
			host = ""
		}
		if err := c.waitRetry(ctx, notLeader && host != ""); err != nil {
			if outcomeUnknown {
				return errors.Newf("%v: %w", err, ErrOutcomeUnknown)
			}
			return errors.Newf("%v: %w", err, ErrNoLeader)
		}
	}
}

func (c *Client) attempt(ctx context.Context, h *schema.HostSettings, call leaderCall) (bool, string, error) {
	p, err := c.cfg.Dialer.Client(h.GetPeerAddress())
	if err != nil {
		return false, "", errors.Newf("reach %s: %w", h.GetName(), err)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return call(ctx, p)
}

// provesNotExecuted reports whether an error proves that the member did not execute
// the call.
func provesNotExecuted(err error) bool {
	s := status.Convert(err)
	return s.Code() == codes.Unimplemented || s.Code() == codes.FailedPrecondition
}

// waitRetry waits before the next attempt. The delay is a millisecond if a member
// has named the leader.
func (c *Client) waitRetry(ctx context.Context, leaderKnown bool) error {
	delay := retryDelay
	if leaderKnown {
		delay = time.Millisecond
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.stop:
		return errors.New("the client has stopped")
	case <-time.After(delay):
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

// runWatch keeps one watch open. It tries the members in the order of their
// distance.
func (c *Client) runWatch() {
	for i := 0; ; i++ {
		err := c.watch(c.members[i%len(c.members)])
		select {
		case <-c.stop:
			return
		case <-time.After(retryDelay):
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
	// A partitioned member continues to send heartbeats without a leader, and a
	// connection can become silent permanently. Both end the watch.
	timeout := time.AfterFunc(watchTimeout, cancel)
	defer timeout.Stop()
	// Compression reduces the complete state of 15,100 models and adapters to a
	// twelfth of its size, so that a restarted entry receives it well within the
	// byte budget.
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
		timeout.Reset(watchTimeout)
		c.mu.Lock()
		c.leader = changes.GetLeaderHost()
		c.lastReceived = time.Now()
		c.mu.Unlock()
	}
}
