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
	"fennelyard/internal/worktime"
)

const (
	// leaderSilenceTimeout is how long the leader may be silent before a host stops
	// following it.
	leaderSilenceTimeout = 1200 * time.Millisecond
	// firstUpdateTimeout bounds the wait for a leader's first update: a host that has just
	// started to lead may be lost already, and the next leader is known by then.
	firstUpdateTimeout = 500 * time.Millisecond
	// followLogInterval is the shortest time between two log lines about a lost leader.
	followLogInterval = time.Second
	// leaderPollInterval is how often a host checks whether another host leads.
	leaderPollInterval = 25 * time.Millisecond
	// minReportInterval is the shortest time between two reports of a host to the leader;
	// the demand that entries report in between is sent in one report. Nine hosts send at
	// most 360 reports a second.
	minReportInterval = 25 * time.Millisecond
)

var (
	errNotLeader    = errors.New("the host does not lead")
	errOtherLeader  = errors.New("another host leads")
	errLeaderSilent = errors.New("the leader is silent")
	errStopping     = errors.New("the host is stopping")
)

// followLeaders follows whichever host leads, including this one, until the host stops.
func (c *Control) followLeaders() {
	var lastLogged time.Time
	for {
		if leader := c.group.Status().LeaderHost; leader != "" {
			err := c.followLeader(leader)
			if now := time.Now(); now.Sub(lastLogged) > followLogInterval {
				// A host that does not respond is tried many times a second.
				lastLogged = now
				c.cfg.Log.Info("leader not followed", "leader", leader, "error", asynclog.ErrorText(err))
			}
			if errors.Is(err, errLeaderSilent) {
				// A device between the hosts may have dropped its state of the connection.
				c.leaderDialer.Reset(leader)
			}
		}
		select {
		case <-c.stop:
			return
		case <-time.After(leaderPollInterval):
		}
	}
}

// followLeader follows one leader until it is lost.
func (c *Control) followLeader(leader string) error {
	client, err := c.leaderDialer.Client(leader)
	if err != nil {
		return errors.Newf("connect to leader: %w", err)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	silenceTimer := time.AfterFunc(firstUpdateTimeout, func() { cancel(errLeaderSilent) })
	defer silenceTimer.Stop()
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
	c.subscribers.ResetReported()
	c.quotaStock.LeaderLost()
	c.announcements.Reset(c.cfg.Settings.Get().GetAnnounceEvery().AsDuration())
	wg.Add(1)
	go func() {
		defer wg.Done()
		c.reportToLeader(ctx, stream)
	}()
	for first := true; ; first = false {
		update, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return errors.Newf("receive from leader: %w", err)
		}
		silenceTimer.Reset(leaderSilenceTimeout)
		if update.GetNotLeader() {
			return errNotLeader
		}
		if first {
			c.cfg.Log.Info("leader followed", "leader", leader, "term", update.GetKnown().GetTerm())
		}
		// Suspects are merged before the mirror is updated, which allows updates to
		// entries: an entry that has just started must not serve before it knows the
		// held-back requests.
		ended := c.work.Start(worktime.KindLeaderUpdate)
		c.mergeSuspects(update.GetSuspects(), quarantine.SourceControl)
		c.rejectionLimits.Merge(update.GetRejectionLimits(), time.Now())
		applied := c.mirror.Apply(update)
		ended()
		if !applied {
			return errors.Newf("term %d: %w", update.GetKnown().GetTerm(), errOtherLeader)
		}
		c.mirror.Confirm(c.leaderConfirmedAt(update), update.GetRevision())
		c.forwardPermits(update)
	}
}

// leaderConfirmedAt returns a time, on this host's clock, at which the leader was confirmed
// as leader. It counts from the report of this host that the update echoes; the zero time
// means that the update proves none.
func (c *Control) leaderConfirmedAt(update *schema.LeaderNews) time.Time {
	echo := update.GetEchoUs()
	if echo == 0 {
		return time.Time{}
	}
	return c.startedAt.Add(time.Duration(echo)*time.Microsecond - time.Duration(update.GetConfirmedAgeMs())*time.Millisecond)
}

// watchLeader cancels a stream when another host leads or this one stops.
func (c *Control) watchLeader(ctx context.Context, leader string, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(leaderPollInterval)
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
		if current := c.group.Status().LeaderHost; current != "" && current != leader {
			cancel(errOtherLeader)
			return
		}
	}
}

// reportToLeader sends the leader the combined reports of the entries subscribed to this
// host.
func (c *Control) reportToLeader(ctx context.Context, stream grpc.BidiStreamingClient[schema.HostNews, schema.LeaderNews]) {
	ticker := time.NewTicker(hostUpdateInterval)
	defer ticker.Stop()
	host := &schema.ControlHost{Address: c.self.GetPeerAddress(), DataCentre: c.self.GetDataCentre()}
	suspects := c.suspects.Reader(quarantine.PartOwn)
	for intervalElapsed := true; ; {
		ended := c.work.Start(worktime.KindLeaderReport)
		report := c.subscribers.NextReport(subscription.Progress{Known: c.mirror.Position(), Revision: c.appliedIndex()}, intervalElapsed)
		report.RejectionLimits = c.rejectionLimits.Messages(time.Now())
		report.Host, report.Lagging, report.Servers = host, c.logLags(), c.announcements.TakePending()
		report.Quotas = c.quotaStock.NextReport(c.group.Status().Term, time.Now())
		report.Limits = append(report.Limits, c.mirror.TakeNewerLimits()...)
		report.Suspects, report.SentUs = c.nextSuspects(suspects), uint64(time.Since(c.startedAt).Microseconds())
		ended()
		if err := stream.Send(report); err != nil {
			return
		}
		host, intervalElapsed = nil, false
		select {
		case <-ctx.Done():
			return
		case <-time.After(minReportInterval):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			intervalElapsed = true
		case <-c.subscribers.ReportRequested():
		}
	}
}
