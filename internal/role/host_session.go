package role

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/ledger"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
	"fennelyard/internal/worktime"
)

const (
	// hostUpdateInterval is the longest time between two updates of the leader to a control
	// host, and between two reports of the host. It contributes to the age of the engine
	// loads that entries know; nine hosts exchange 180 messages a second, 1% of a core.
	hostUpdateInterval = 100 * time.Millisecond
	// hostBatchDelayPerEntry is how long, for each entry of the fleet, the leader batches
	// changes into one update to a control host that waits for none of them. With 290
	// entries this is 40 ms, and so at most 225 updates a second to nine hosts, 1% of a
	// core. Small fleets are updated at once: callers of a plain service expect that within
	// 100 ms.
	hostBatchDelayPerEntry = 140 * time.Microsecond
)

type hostStream = grpc.BidiStreamingServer[schema.HostNews, schema.LeaderNews]

// serveHost serves a control host that follows this leader. It returns when either side is
// gone or this host no longer leads.
func (c *Control) serveHost(stream hostStream) (err error) {
	status := c.group.Status()
	if !status.CommittedInTerm {
		if err = stream.Send(&schema.LeaderNews{NotLeader: true, LeaderAddress: status.LeaderHost}); err != nil {
			return errors.Newf("name the leader: %w", err)
		}
		return nil
	}
	c.driver.RefreshLeadership()
	c.restoreSuspects(status.Term)
	first, err := stream.Recv()
	if err != nil {
		return errors.Newf("hear host: %w", err)
	}
	h := newHostSession(c, stream, first.GetHost(), status.Term)
	c.roster.HostConnected(h.number, h.host)
	defer func() { c.roster.HostDisconnected(h.number, h.address(), asynclog.ErrorText(err)) }()
	defer c.driver.RemoveEntry(h.address())
	defer c.hostPermits.Remove(h.streamName())
	defer c.allocator.RemoveStream(h.streamName())
	defer c.quotaAllocator.RemoveStream(h.address(), h.streamName())
	h.handleReport(first)
	ctx, cancel := context.WithCancel(stream.Context())
	go func() {
		// The goroutine ends with the stream, which ends when serveHost returns.
		defer cancel()
		h.receiveReports()
	}()
	return h.sendUpdates(ctx)
}

// hostSession is the stream of one control host at the leader.
type hostSession struct {
	c      *Control
	stream hostStream
	number uint64
	host   *schema.ControlHost
	term   uint64
	pacer  updatePacer
	// echoUs is the host's clock when it sent its latest report, in microseconds.
	echoUs atomic.Uint64
	// announcements belongs to the goroutine that receives reports.
	announcements roster.AnnouncementReader

	// The fields below belong to sendUpdates. sentChange is how far roster changes have
	// been sent to the host.
	sentChange uint64
	sequence   uint64
	// suspects reads the suspect requests that are still to be sent.
	suspects *quarantine.Reader
}

func newHostSession(c *Control, stream hostStream, host *schema.ControlHost, term uint64) *hostSession {
	h := &hostSession{c: c, stream: stream, number: c.lastStream.Add(1), host: host, term: term, suspects: c.suspects.Reader(quarantine.PartAll)}
	h.pacer = updatePacer{
		interval: hostUpdateInterval, batchDelay: h.batchDelay, stop: c.stop,
		// Control hosts replicate the log themselves.
		nextLogChange: neverChanged, nextRosterChange: c.roster.Changed, nextSuspectChange: c.suspects.Changed, nextPermits: func() <-chan struct{} { return c.hostPermits.Added(h.streamName()) },
		nextForecasts: neverChanged, hasForecast: alwaysHasForecast,
		hasTarget: func(targets []*schema.ModelDemand) bool { return c.roster.HasTargetSince(h.sentChange, targets) },
		queries:   make(chan forecastQuery, 1),
	}
	return h
}

// batchDelay returns the shortest time between two updates to a host that waits for none of
// the changes.
func (h *hostSession) batchDelay() time.Duration {
	return max(minBatchDelay, time.Duration(h.c.roster.EntryCount())*hostBatchDelayPerEntry)
}

// neverChanged returns a channel that is never closed.
func neverChanged() <-chan struct{} { return nil }

// alwaysHasForecast returns true: the leader can forecast when any target is loaded.
func alwaysHasForecast(forecastQuery) bool { return true }

func (h *hostSession) address() string { return h.host.GetAddress() }

// streamName identifies the stream among those of all control hosts.
func (h *hostSession) streamName() string {
	return h.address() + "/" + strconv.FormatUint(h.number, 10)
}

func (h *hostSession) receiveReports() {
	for {
		report, err := h.stream.Recv()
		if err != nil {
			return
		}
		h.handleReport(report)
	}
}

func (h *hostSession) handleReport(report *schema.HostNews) {
	defer h.c.work.Start(worktime.KindHostReport)()
	h.echoUs.Store(report.GetSentUs())
	if u := report.GetTeamUses(); u != nil {
		h.c.quotas.Report(h.address(), u, time.Now())
	}
	if q := report.GetQuotas(); q != nil {
		h.c.quotaAllocator.Report(h.term, h.address(), h.streamName(), q)
		if len(q.GetDemands()) > 0 {
			h.c.issueQuotas()
		}
	}
	h.c.roster.ApplyHostReport(h.number, h.address(), h.term, report)
	h.c.driver.HandleDemand(h.address(), report.GetDemands())
	h.pacer.setQuery(report.GetDemands())
	h.c.mergeSuspects(report.GetSuspects(), quarantine.SourceEntry)
	h.c.roster.ApplyLimits(report.GetLimits())
	h.c.roster.ApplyDepartures(report.GetLeavingServers())
	h.c.rejectionLimits.Merge(report.GetRejectionLimits(), time.Now())
	if demands := report.GetPermitDemands(); len(demands) > 0 {
		h.c.allocator.SetDemands(h.term, h.streamName(), demands)
		h.c.issuePermits()
	}
	now := time.Now()
	for _, server := range report.GetServers() {
		if a, known := h.announcements.Read(server, now); known && !h.c.roster.LacksStartTime(a.ID) {
			h.c.applyAnnouncement(a)
		}
	}
}

// sendUpdates sends changes to the host. The first update contains everything.
func (h *hostSession) sendUpdates(ctx context.Context) error {
	h.pacer.start()
	defer h.pacer.ticker.Stop()
	for {
		status := h.c.group.Status()
		if !status.CommittedInTerm || status.Term != h.term || h.c.roster.HostSilent(h.number, h.address()) {
			return nil
		}
		h.pacer.watchChanges()
		if err := h.stream.Send(h.nextUpdate()); err != nil {
			return errors.Newf("tell host: %w", err)
		}
		if !h.pacer.awaitDue(ctx) || !h.pacer.batchUrgent(ctx) {
			return nil
		}
	}
}

func (h *hostSession) nextUpdate() *schema.LeaderNews {
	defer h.c.work.Start(worktime.KindHostUpdate)()
	h.sequence++
	echo, status := h.echoUs.Load(), h.c.group.Status()
	update := h.c.roster.UpdateSince(h.sentChange)
	h.sentChange = update.GetKnown().GetChange()
	update.Sequence, update.Known.Term = h.sequence, h.term
	// Not the time of this update: a leader that is cut off assumes that it leads for
	// another second, in which another host is elected.
	update.LeaderAgeMs = time.Since(status.ConfirmedAt).Milliseconds()
	if status.CommittedInTerm && !status.ConfirmedAt.IsZero() {
		update.EchoUs, update.ConfirmedAgeMs = echo, ageMs(status.ConfirmedAt)
	}
	// An earlier leader may have acknowledged log entries that are committed but not yet
	// applied here.
	update.Revision, update.Lagging = max(h.c.appliedIndex(), status.Commit), h.c.roster.HostLagging(h.number, h.address())
	if h.pacer.queryPending {
		update.Forecasts, h.pacer.queryPending = h.c.driver.Forecasts(h.pacer.query.targets), false
	}
	update.Suspects, update.Permits = h.c.nextSuspects(h.suspects), h.c.hostPermits.Take(h.streamName(), time.Now())
	if h.pacer.intervalElapsed {
		update.PermitQueues, update.RejectionLimits = h.c.allocator.Queues(), h.c.rejectionLimits.Messages(time.Now())
		update.Loads, update.TeamUses, h.pacer.intervalElapsed = h.c.roster.Loads(), h.c.teamUses(h.term), false
	}
	return update
}

// appliedIndex returns the index up to which this host has applied the log.
func (c *Control) appliedIndex() (index uint64) {
	c.group.Ledger().View(func(s ledger.Status, _ *ledger.Records) { index = s.Index })
	return index
}
