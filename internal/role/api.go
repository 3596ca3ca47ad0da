// Package role puts the parts of a host together that finds the others through
// seeds: an entry, which takes callers' requests, or a control host, which is a
// member of the control group and, while it leads, watches and orders the
// backend servers.
package role

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/incarnation"
	"fennelyard/internal/ledger"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
	"fennelyard/internal/team"
)

const (
	// commitWait is how long a caller of the control host waits for the group;
	// callers go to another host after a second.
	commitWait = 900 * time.Millisecond
	// tellWait is how long a server that leaves waits for the entries to be told.
	// Its word counts from the acknowledgement on, and a leader that is short of
	// processor time tells entries seconds later; the server then says it again.
	tellWait = 600 * time.Millisecond
	// configureWait is how long an operator whose change is durable waits for the
	// entries to be told of it. They are told within 0.1 s of a change, 68 of them too;
	// one that has fallen silent counts as such only after four times as long.
	configureWait = 300 * time.Millisecond
)

var (
	// ErrUnavailable says that the group cannot answer now, or that the outcome of a
	// change is not known: the caller should ask again, at any control host.
	ErrUnavailable = errors.New("the control group gives no answer now")
	// ErrNoConfiguration says that there is no configuration yet.
	ErrNoConfiguration = errors.New("there is no configuration yet")
	// ErrUnknownPool says that the configuration in force does not know a server's pool.
	ErrUnknownPool = errors.New("the configuration knows no such pool")
	// ErrNoIncarnation says that a word does not tell which start of a server it is of, while
	// the server does.
	ErrNoIncarnation = errors.New("the server's start is not told")
)

// NotLeaderError says that another host leads.
type NotLeaderError struct {
	// LeaderIP is the leader's.
	LeaderIP string
}

// Error implements error.
func (e *NotLeaderError) Error() string { return "the control host at " + e.LeaderIP + " leads" }

// elsewhere returns nil only on the leader.
func (c *Control) elsewhere() error {
	s := c.group.Status()
	switch {
	case s.CommittedInTerm:
		c.driver.RefreshLeadership()
		return nil
	case s.LeaderHost != "" && s.LeaderHost != c.self.GetPeerAddress():
		return &NotLeaderError{LeaderIP: ipOf(s.LeaderHost)}
	}
	return ErrUnavailable
}

// PutConfiguration puts a complete configuration in force. Without an error it
// is durable at a quorum, or one with a version at least as high is, and the entries
// that speak have said that they have it, or have been behind for withholdFor.
func (c *Control) PutConfiguration(ctx context.Context, q *schema.PutConfiguration) error {
	if err := c.elsewhere(); err != nil {
		return err
	}
	defer c.roster.RequestAcks()()
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, commitWait)
	defer cancel()
	err := c.commit(ctx, &schema.Command{Body: &schema.Command_PutConfiguration{PutConfiguration: q}})
	behind := ""
	if err == nil {
		untold := c.tellConfiguration(ctx)
		behind = asynclog.ErrorText(untold)
		if c.withheld.hold(untold) {
			err = errors.Newf("tell entries: %v: %w", untold, ErrUnavailable)
		}
	}
	c.cfg.Log.Info("configuration put", "version", q.GetConfiguration().GetVersion(), "routes", len(q.GetRoutes()),
		"pools", len(q.GetPools()), "bytes", len(q.GetConfiguration().GetDocument()),
		"took-ms", time.Since(began).Milliseconds(), "behind", behind, "error", asynclog.ErrorText(err))
	return err
}

// KeySalt returns the secret under which digests of API keys are made: the one in use, so
// that teams whose keys stay keep their records.
func (c *Control) KeySalt() []byte {
	var salt []byte
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { salt = r.Configuration().GetKeySalt() })
	if len(salt) == 0 {
		return team.NewSalt()
	}
	return salt
}

// tellConfiguration waits until the entries have the newest configuration. A leader
// that acknowledged first and then lost power left all of them with the configuration
// before: until they noticed and another host led, 1.2 s at the best, callers were served
// by it, and where an election needed a second round for longer than a change may take.
// It is no more than a wait: what is acknowledged is durable, and the next leader tells
// those that were not told.
func (c *Control) tellConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, configureWait)
	defer cancel()
	var revision uint64
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) {
		revision = r.Record(ledger.ConfigurationKey).GetRevision()
	})
	return c.roster.AwaitAcked(ctx, roster.Progress{Revision: revision})
}

func (c *Control) commit(ctx context.Context, cmd *schema.Command) error {
	ctx, cancel := context.WithTimeout(ctx, commitWait)
	defer cancel()
	if _, err := c.group.Commit(ctx, cmd); err != nil {
		return errors.Newf("commit: %v: %w", err, ErrUnavailable)
	}
	return nil
}

// Configuration returns the operator's text of the newest configuration, as a
// quorum confirms it.
func (c *Control) Configuration(ctx context.Context) ([]byte, error) {
	if err := c.elsewhere(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, commitWait)
	defer cancel()
	if _, err := c.group.ConfirmLeadership(ctx); err != nil {
		return nil, errors.Newf("confirm: %v: %w", err, ErrUnavailable)
	}
	var head *schema.Configuration
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { head = r.Configuration() })
	if head == nil {
		return nil, ErrNoConfiguration
	}
	return head.GetDocument(), nil
}

// Announce takes a backend server's announcement. Without an error the server is known to
// the leader or about to be, and a leaving one to every later leader as well. A host that
// follows takes the announcement of a server that takes new work for the leader; of one that
// leaves the leader itself must know. A host that can't pass announcements on does not send
// servers to the leader: where a new leader has yet to reach its hosts, the announcements
// of the whole fleet would keep it from that.
func (c *Control) Announce(ctx context.Context, a roster.Announcement) error {
	leads := c.group.Status().CommittedInTerm
	if !leads && a.Leaving {
		return c.elsewhere()
	}
	if !leads && !c.takesAnnouncements() {
		return ErrUnavailable
	}
	if leads {
		c.driver.RefreshLeadership()
	}
	if leads && c.roster.LacksStartTime(a.ID) || !leads && c.mirror.LacksStartTime(a.ID) {
		return errors.Newf("%q: %w", a.ID, ErrNoIncarnation)
	}
	// Who leaves is heard whatever its pool: it may have been known under another.
	if !a.Leaving && !c.knowsPool(a.Pool) {
		return errors.Newf("%q: %w", a.Pool, ErrUnknownPool)
	}
	if a.Leaving {
		if err := c.depart(ctx, a.ID); err != nil {
			return err
		}
	}
	if leads {
		c.take(a)
	} else if c.heard.Add(a) {
		c.entries.RequestReport()
	}
	return nil
}

// take takes an announcement in at the leader.
func (c *Control) take(a roster.Announcement) {
	if c.roster.Announce(a) && !a.Leaving && c.roster.Ready(a.ID) {
		c.driver.HandleAnnouncement(a)
	}
}

// knowsPool reports whether a server of a pool can be of use. Before there is a
// configuration nobody can tell.
func (c *Control) knowsPool(name string) bool {
	yes := false
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) {
		yes = r.Configuration() == nil || r.Record(ledger.PoolKey(name)) != nil
	})
	return yes
}

// Depart takes a backend server's word that it ends; it names the server, not the start
// that it means.
func (c *Control) Depart(ctx context.Context, server string) error {
	return c.depart(ctx, c.roster.EndingIncarnation(server))
}

// depart takes the word that an incarnation ends. A server that had no answer
// says it again, and the first word may have been recorded after its caller was
// gone: the entries are told whether or not the record is new, or the second word
// would be acknowledged and requests would still be sent there. Without an error
// all entries that speak have been told.
func (c *Control) depart(ctx context.Context, id string) error {
	if err := c.elsewhere(); err != nil {
		return err
	}
	defer c.roster.RequestAcks()()
	if !c.departed(id) {
		err := c.commit(context.WithoutCancel(ctx), &schema.Command{Body: &schema.Command_DepartServer{
			DepartServer: &schema.DepartServer{Server: id},
		}})
		c.cfg.Log.Info("server leaves", "server", id, "error", asynclog.ErrorText(err))
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, tellWait)
	defer cancel()
	if err := c.roster.AwaitAcked(ctx, roster.Progress{Change: c.roster.Depart(id)}); err != nil {
		c.cfg.Log.Info("departure not told", "server", id, "error", asynclog.ErrorText(err))
		return errors.Newf("tell entries: %v: %w", err, ErrUnavailable)
	}
	return nil
}

// departed reports whether an incarnation is recorded as leaving. A server that ended
// while the leader knew no start of it is recorded by its id alone, which counts for
// the starts until then.
func (c *Control) departed(id string) bool {
	var own, unnamed *schema.Departure
	name := incarnation.Parse(id)
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) {
		own = r.Departure(id)
		unnamed = r.Departure(incarnation.Name{Server: name.Server}.String())
	})
	return own != nil || unnamed != nil && name.StartMs <= unnamed.GetAtMs()
}

// Ready reports whether this leader sends new work to a backend server.
func (c *Control) Ready(server string) bool { return c.roster.Ready(server) }
