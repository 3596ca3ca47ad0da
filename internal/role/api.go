// Package role assembles the parts of a host that joins a deployment through its seeds. The
// host is either an entry, which serves callers' requests, or a control host, which is a
// member of the control group and, while it leads, monitors the backend servers and sends
// them orders.
package role

import (
	"context"
	"time"
	"unicode/utf8"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/incarnation"
	"fennelyard/internal/ledger"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
	"fennelyard/internal/team"
)

const (
	// commitTimeout bounds how long a call to the control host waits for a commit. Callers
	// try another host after 1 s.
	commitTimeout = 900 * time.Millisecond
	// departureAckTimeout bounds how long a departing server waits for the entries to
	// acknowledge its departure. The departure takes effect with the response, and a leader
	// short of CPU time updates entries seconds late; the server then repeats the call.
	departureAckTimeout = 600 * time.Millisecond
	// configurationAckTimeout bounds how long an operator waits for the entries after a
	// change is durable. They receive a change within 0.1 s, also when there are 68 of
	// them; an entry counts as silent only after four times this timeout.
	configurationAckTimeout = 300 * time.Millisecond
)

var (
	// ErrUnavailable is returned when the control group is unavailable or the outcome of a
	// change is unknown. The caller should retry at any control host.
	ErrUnavailable = errors.New("the control group is unavailable")
	// ErrNoConfiguration is returned before the first configuration is committed.
	ErrNoConfiguration = errors.New("there is no configuration yet")
	// ErrUnknownPool is returned when the configuration in force lacks a server's pool.
	ErrUnknownPool = errors.New("the configuration knows no such pool")
	// ErrNoIncarnation is returned when an announcement names no incarnation of a server
	// whose known announcements name one.
	ErrNoIncarnation = errors.New("the server's start is not told")
	// ErrNotText is returned when a name is no valid UTF-8.
	ErrNotText = errors.New("a name is no valid UTF-8")
)

// NotLeaderError is returned when another host leads.
type NotLeaderError struct {
	// LeaderIP is the IP address of the leader.
	LeaderIP string
}

// Error implements error.
func (e *NotLeaderError) Error() string { return "the control host at " + e.LeaderIP + " leads" }

// checkLeader returns nil only on the leader.
func (c *Control) checkLeader() error {
	status := c.group.Status()
	switch {
	case status.CommittedInTerm:
		c.driver.RefreshLeadership()
		return nil
	case status.LeaderHost != "" && status.LeaderHost != c.self.GetPeerAddress():
		return &NotLeaderError{LeaderIP: ipOf(status.LeaderHost)}
	}
	return ErrUnavailable
}

// PutConfiguration puts a complete configuration in force. When it returns nil, this
// configuration, or one with a version at least as high, is durable at a quorum, and the
// entries that hold a lease have acknowledged it or have been behind for maxWithholdTime.
func (c *Control) PutConfiguration(ctx context.Context, q *schema.PutConfiguration) error {
	if err := c.checkLeader(); err != nil {
		return err
	}
	defer c.roster.RequestAcks()()
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	err := c.commit(ctx, &schema.Command{Body: &schema.Command_PutConfiguration{PutConfiguration: q}})
	behind := ""
	if err == nil {
		ackErr := c.awaitConfigurationAcks(ctx)
		behind = asynclog.ErrorText(ackErr)
		if c.ackGate.withhold(ackErr) {
			err = errors.Newf("await acknowledgements of entries: %v: %w", ackErr, ErrUnavailable)
		}
	}
	c.cfg.Log.Info("configuration put", "version", q.GetConfiguration().GetVersion(), "routes", len(q.GetRoutes()),
		"pools", len(q.GetPools()), "bytes", len(q.GetConfiguration().GetDocument()),
		"took-ms", time.Since(start).Milliseconds(), "behind", behind, "error", asynclog.ErrorText(err))
	return err
}

// KeySalt returns the salt for digests of API keys. It is the salt in use, if there is one,
// so that the records of teams whose keys stay remain valid.
func (c *Control) KeySalt() []byte {
	var salt []byte
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { salt = r.Configuration().GetKeySalt() })
	if len(salt) == 0 {
		return team.NewSalt()
	}
	return salt
}

// awaitConfigurationAcks waits until the entries have acknowledged the newest
// configuration. If a leader acknowledged a change and lost power before any entry received
// it, entries would serve callers by the previous configuration until they noticed and
// another host led: at least 1.2 s, and longer than a change may take if the election
// needed a second round. A failed wait loses nothing: what is acknowledged is durable, and
// the next leader updates the remaining entries.
func (c *Control) awaitConfigurationAcks(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, configurationAckTimeout)
	defer cancel()
	var revision uint64
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) {
		revision = r.Record(ledger.ConfigurationKey).GetRevision()
	})
	_, err := c.roster.AwaitAcked(ctx, roster.Progress{Revision: revision})
	return err
}

func (c *Control) commit(ctx context.Context, cmd *schema.Command) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if _, err := c.group.Commit(ctx, cmd); err != nil {
		return errors.Newf("commit: %v: %w", err, ErrUnavailable)
	}
	return nil
}

// Configuration returns the operator's document of the newest configuration, confirmed by a
// quorum.
func (c *Control) Configuration(ctx context.Context) ([]byte, error) {
	if err := c.checkLeader(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if _, err := c.group.ConfirmLeadership(ctx); err != nil {
		return nil, errors.Newf("confirm: %v: %w", err, ErrUnavailable)
	}
	var configuration *schema.Configuration
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { configuration = r.Configuration() })
	if configuration == nil {
		return nil, ErrNoConfiguration
	}
	return configuration.GetDocument(), nil
}

// Announce handles a backend server's announcement. When it returns nil, the leader knows
// the server or soon will, and every later leader knows a departure.
//
// A follower forwards announcements of servers that accept new work; a departure must reach
// the leader itself. A host that can't forward announcements doesn't redirect servers to
// the leader: announcements of the whole fleet would keep a new leader from reaching its
// hosts.
func (c *Control) Announce(ctx context.Context, a roster.Announcement) error {
	if !a.IsText() {
		return errors.Newf("announcement of %q: %w", a.ID, ErrNotText)
	}
	leading := c.group.Status().CommittedInTerm
	if !leading && a.Leaving {
		return c.checkLeader()
	}
	if !leading && !c.relaysAnnouncements() {
		return ErrUnavailable
	}
	if leading {
		c.driver.RefreshLeadership()
	}
	if leading && c.roster.LacksStartTime(a.ID) || !leading && c.mirror.LacksStartTime(a.ID) {
		return errors.Newf("%q: %w", a.ID, ErrNoIncarnation)
	}
	// A departure is valid for any pool: the server may be known under another one.
	if !a.Leaving && !c.acceptsPool(a.Pool) {
		return errors.Newf("%q: %w", a.Pool, ErrUnknownPool)
	}
	if a.Leaving {
		if err := c.depart(ctx, a.ID); err != nil {
			return err
		}
	}
	if leading {
		c.applyAnnouncement(a)
	} else if c.announcements.Add(a) {
		c.subscribers.RequestReport()
	}
	return nil
}

// applyAnnouncement applies an announcement to the leader's roster.
func (c *Control) applyAnnouncement(a roster.Announcement) {
	if c.roster.Announce(a) && !a.Leaving && c.roster.Ready(a.ID) {
		c.driver.HandleAnnouncement(a)
	}
}

// acceptsPool reports whether servers of a pool can be used. Without a configuration the
// pools are not known yet, and every pool is accepted.
func (c *Control) acceptsPool(name string) bool {
	accepts := false
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) {
		accepts = r.Configuration() == nil || r.Record(ledger.PoolKey(name)) != nil
	})
	return accepts
}

// Depart handles a backend server's report that it ends. The report names the server, not
// the incarnation.
func (c *Control) Depart(ctx context.Context, server string) error {
	if !utf8.ValidString(server) {
		return errors.Newf("departure of %q: %w", server, ErrNotText)
	}
	return c.depart(ctx, c.roster.EndingIncarnation(server))
}

// depart records that an incarnation ends. A server without a response repeats its call,
// and the first call may have been committed after its caller was gone. The entries are
// therefore updated whether or not the record is new: otherwise the repeated call would be
// acknowledged while requests were still sent to the server. When depart returns nil, each entry
// has acknowledged the departure or holds no lease any more.
func (c *Control) depart(ctx context.Context, id string) error {
	if err := c.checkLeader(); err != nil {
		return err
	}
	defer c.roster.RequestAcks()()
	start, committed := time.Now(), !c.departed(id)
	if committed {
		err := c.commit(context.WithoutCancel(ctx), &schema.Command{Body: &schema.Command_DepartServer{
			DepartServer: &schema.DepartServer{Server: id},
		}})
		c.cfg.Log.Info("server leaves", "server", id, "error", asynclog.ErrorText(err))
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, departureAckTimeout)
	defer cancel()
	acks, err := c.roster.AwaitAcked(ctx, roster.Progress{Change: c.roster.Depart(id)})
	if err != nil {
		c.cfg.Log.Info("departure not told", "server", id, "not-awaited", acks.NotAwaited, "term-age-ms", acks.TermAge.Milliseconds(), "error", asynclog.ErrorText(err))
		return errors.Newf("await acknowledgements of entries: %v: %w", err, ErrUnavailable)
	}
	if !committed {
		// Nothing in this call has proved that this host still leads.
		if _, err = c.group.ConfirmLeadership(ctx); err != nil {
			c.cfg.Log.Info("departure not confirmed", "server", id, "error", asynclog.ErrorText(err))
			return errors.Newf("confirm: %v: %w", err, ErrUnavailable)
		}
	}
	c.cfg.Log.Info("departure acknowledged", "server", id, "committed", committed, "took-ms", time.Since(start).Milliseconds(), "hosts", acks.Hosts,
		"entries", acks.Entries, "not-awaited", acks.NotAwaited, "term-age-ms", acks.TermAge.Milliseconds())
	return nil
}

// departed reports whether an incarnation is recorded as departing. A server that ended
// while the leader knew none of its incarnations is recorded by its name alone, and the
// record applies to the incarnations that started before it.
func (c *Control) departed(id string) bool {
	var named, unnamed *schema.Departure
	name := incarnation.Parse(id)
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) {
		named = r.Departure(id)
		unnamed = r.Departure(incarnation.Name{Server: name.Server}.String())
	})
	return named != nil || unnamed != nil && name.StartMs <= unnamed.GetAtMs()
}

// Ready reports whether this leader sends new work to a backend server.
func (c *Control) Ready(server string) bool { return c.roster.Ready(server) }
