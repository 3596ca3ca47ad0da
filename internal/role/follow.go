package role

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/schema"
	"fennelyard/internal/subscription"
)

const (
	// leaderSilence is how long the leader may say nothing to a control host.
	leaderSilence = 1200 * time.Millisecond
	// firstWordWait is how long its first word is waited for: a host that has just begun to
	// lead may be lost already, and the one that leads next is known by then.
	firstWordWait = 500 * time.Millisecond
	// lostEvery is how often it is logged that the leader is lost.
	lostEvery = time.Second
	// leaderCheck is how often a host looks whether another one leads.
	leaderCheck = 25 * time.Millisecond
	// followPause is the least time between two words of a host to the leader: what entries
	// ask for meanwhile goes in one word. Nine hosts are 360 words a second at most.
	followPause = 25 * time.Millisecond
)

var (
	errNotLeader   = errors.New("the host does not lead")
	errOtherLeader = errors.New("another host leads")
	errSilent      = errors.New("the leader is silent")
	errStopping    = errors.New("the host is stopping")
)

// follow keeps a stream to whichever host leads, this one among them, until the host
// stops.
func (c *Control) follow() {
	var logged time.Time
	for {
		if leader := c.group.Status().LeaderHost; leader != "" {
			err := c.followLeader(leader)
			if now := time.Now(); now.Sub(logged) > lostEvery {
				// A host that does not answer is tried many times a second.
				logged = now
				c.cfg.Log.Info("leader not followed", "leader", leader, "error", asynclog.ErrorText(err))
			}
			if errors.Is(err, errSilent) {
				// Something between the hosts may have lost track of the connection.
				c.news.Reset(leader)
			}
		}
		select {
		case <-c.stop:
			return
		case <-time.After(leaderCheck):
		}
	}
}

// followLeader follows one leader until it is lost.
func (c *Control) followLeader(leader string) error {
	client, err := c.news.Client(leader)
	if err != nil {
		return errors.Newf("reach leader: %w", err)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	silence := time.AfterFunc(firstWordWait, func() { cancel(errSilent) })
	defer silence.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel(nil)
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.watchLeader(ctx, leader, cancel)
	}()
	stream, err := client.Follow(ctx)
	if err != nil {
		return errors.Newf("follow: %w", err)
	}
	c.entries.ResetReported()
	c.heard.Reset(c.cfg.Settings.Get().GetAnnounceEvery().AsDuration())
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.tellLeader(ctx, stream)
	}()
	for first := true; ; first = false {
		news, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return errors.Newf("hear leader: %w", err)
		}
		silence.Reset(leaderSilence)
		if news.GetNotLeader() {
			return errNotLeader
		}
		if first {
			c.cfg.Log.Info("leader followed", "leader", leader, "term", news.GetKnown().GetTerm())
		}
		// Before the mirror, whose word lets entries be told: an entry that has just started
		// must not serve before it knows what is held back.
		c.book.Merge(news.GetSuspects(), true)
		if !c.mirror.Apply(news) {
			return errors.Newf("term %d: %w", news.GetKnown().GetTerm(), errOtherLeader)
		}
		c.mirror.Confirm(c.confirmedBy(news), news.GetRevision())
	}
}

// confirmedBy is a moment at which the leader was one, by its answer to a message of this
// host; the zero time: none is proved. It runs from that message, on this host's clock.
func (c *Control) confirmedBy(news *schema.LeaderNews) time.Time {
	echo := news.GetEchoUs()
	if echo == 0 {
		return time.Time{}
	}
	return c.began.Add(time.Duration(echo)*time.Microsecond - time.Duration(news.GetConfirmedAgeMs())*time.Millisecond)
}

// watchLeader ends a stream when another host leads or this one stops.
func (c *Control) watchLeader(ctx context.Context, leader string, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(leaderCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.stop:
			cancel(errStopping)
			return
		case <-ticker.C:
		}
		if now := c.group.Status().LeaderHost; now != "" && now != leader {
			cancel(errOtherLeader)
			return
		}
	}
}

// tellLeader tells the leader what the entries that attend here say together.
func (c *Control) tellLeader(ctx context.Context, stream grpc.BidiStreamingClient[schema.HostNews, schema.LeaderNews]) {
	ticker := time.NewTicker(hostBeat)
	defer ticker.Stop()
	host := &schema.ControlHost{Address: c.self.GetPeerAddress(), DataCentre: c.self.GetDataCentre()}
	suspects := c.book.Reader(quarantine.PartNoted)
	for due := true; ; {
		news := c.entries.NextReport(subscription.Progress{Known: c.mirror.Position(), Revision: c.applied()}, due)
		news.Host, news.Lagging, news.Servers = host, c.lags(), c.heard.TakePending()
		news.Suspects, news.SentUs = suspects.Next(), uint64(time.Since(c.began).Microseconds())
		if err := stream.Send(news); err != nil {
			return
		}
		host, due = nil, false
		select {
		case <-ctx.Done():
			return
		case <-time.After(followPause):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			due = true
		case <-c.entries.ReportRequested():
		}
	}
}
