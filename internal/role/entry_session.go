package role

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/ledger"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
	"fennelyard/internal/subscription"
	"fennelyard/internal/worktime"
)

const (
	// entryUpdateInterval is the longest time between two updates from a control host to an
	// entry.
	entryUpdateInterval = 300 * time.Millisecond
	// minBatchDelay is the shortest time for which changes are batched into one update: an
	// order's end and its consequences arrive within a few milliseconds.
	minBatchDelay = 4 * time.Millisecond
	// batchDelayPerEntry is added to the batch delay for each entry subscribed to this
	// host, so that the cost of updates does not grow with their number. Without it each
	// change was sent to entries at once, 200 times a second.
	batchDelayPerEntry = 2500 * time.Microsecond
	// leaderWaitTimeout bounds how long an entry waits at a host that has not received
	// anything from a leader since it started. All hosts start at once; if 300 entries
	// tried them in turn many times a second, the hosts could not elect a leader.
	leaderWaitTimeout = time.Second
	// leaderWaitPollInterval is how often such a host checks whether it has received
	// something from a leader.
	leaderWaitPollInterval = 20 * time.Millisecond
)

// entryBatchDelay returns the shortest time between two updates to an entry that waits for
// none of the changes.
func entryBatchDelay(entries int) time.Duration {
	return max(minBatchDelay, time.Duration(entries)*batchDelayPerEntry)
}

type entryStream = grpc.BidiStreamingServer[schema.EntryNews, schema.LeaderNews]

// serveEntry serves the subscription of an entry. It returns when either side is gone or
// this host is no longer in sync with the leader.
func (c *Control) serveEntry(stream entryStream) (err error) {
	first, err := stream.Recv()
	if err != nil {
		return errors.Newf("hear entry: %w", err)
	}
	if synced, err := c.awaitLeader(stream, roster.PositionOf(first.GetKnown()).Term); !synced {
		return err
	}
	s := newEntrySession(c, stream, first)
	c.subscribers.Subscribe(s.number, s.entry, first.GetStream())
	defer func() { c.subscribers.Unsubscribe(s.number, s.entry.GetHost(), asynclog.ErrorText(err)) }()
	c.quotaStock.Subscribe(s.entry.GetHost(), first.GetStartedMs(), first.GetStream(), first.GetQuotas(), time.Now())
	defer func() { c.quotaStock.Unsubscribe(s.entry.GetHost(), first.GetStream(), time.Now()) }()
	s.handleReport(first)
	ctx, cancel := context.WithCancel(stream.Context())
	go func() {
		// The goroutine ends with the stream, which ends when serveEntry returns.
		defer cancel()
		s.receiveReports()
	}()
	return s.sendUpdates(ctx)
}

// awaitLeader delays an entry that subscribes before this host has received anything from a
// leader. A host that has lost its leader, whose log lags, or that only knows a leader of
// an earlier term than the entry redirects the entry at once: it may be cut off from a
// leader that other hosts can reach. awaitLeader reports whether the host can send updates
// to the entry.
func (c *Control) awaitLeader(stream entryStream, term uint64) (bool, error) {
	start, lastSent := time.Now(), time.Time{}
	for {
		if c.inSyncFrom(term) {
			return true, nil
		}
		if lastSeen, _ := c.mirror.LeaderLastSeen(); !lastSeen.IsZero() || time.Since(start) > leaderWaitTimeout {
			return false, c.redirectEntry(stream)
		}
		if time.Since(lastSent) > entryUpdateInterval {
			lastSent = time.Now()
			if err := c.delayEntry(stream); err != nil {
				return false, err
			}
		}
		select {
		case <-stream.Context().Done():
			return false, nil
		case <-c.stop:
			return false, nil
		case <-time.After(leaderWaitPollInterval):
		}
	}
}

// delayEntry keeps an entry waiting until this host is in sync.
func (c *Control) delayEntry(stream entryStream) error {
	if err := stream.Send(&schema.LeaderNews{Wait: true, LeaderAgeMs: c.leaderAge(), ControlAddresses: c.memberAddresses()}); err != nil {
		return errors.Newf("tell entry to wait: %w", err)
	}
	return nil
}

// redirectEntry redirects an entry to other control hosts.
func (c *Control) redirectEntry(stream entryStream) error {
	update := &schema.LeaderNews{NotLeader: true, ControlAddresses: c.memberAddresses(), LeaderAgeMs: c.leaderAge()}
	if err := stream.Send(update); err != nil {
		return errors.Newf("refuse entry: %w", err)
	}
	return nil
}

// leaderAge returns the time since the leader was last known to lead, in milliseconds, or
// -1 if it never was.
func (c *Control) leaderAge() int64 {
	lastSeen, _ := c.mirror.LeaderLastSeen()
	if lastSeen.IsZero() {
		return -1
	}
	return time.Since(lastSeen).Milliseconds()
}

// entrySession is the stream of one subscribed entry.
type entrySession struct {
	c      *Control
	stream entryStream
	number uint64
	entry  *schema.RosterEntry
	pacer  updatePacer
	// keepsStream is set if the entry stays while this host is not in sync.
	keepsStream bool
	// echoUs is the entry's clock when it sent its latest report, in microseconds.
	echoUs atomic.Uint64
	// mu guards unacked: the updates that the entry has not acknowledged, oldest first.
	mu      sync.Mutex
	unacked []sentUpdate

	// The fields below belong to sendUpdates. sent is how far updates have been sent to the
	// entry.
	sent subscription.Progress
	// suspects reads the suspect requests that are still to be sent.
	suspects    *quarantine.Reader
	sentMembers string
	sequence    uint64
}

func newEntrySession(c *Control, stream entryStream, first *schema.EntryNews) *entrySession {
	s := &entrySession{
		c: c, stream: stream, number: c.lastStream.Add(1), entry: first.GetEntry(), keepsStream: first.GetKeepsStream(),
		suspects: c.suspects.Reader(quarantine.PartHeld),
		sent:     subscription.Progress{Known: roster.PositionOf(first.GetKnown()), Revision: first.GetAfter()},
	}
	s.pacer = updatePacer{
		interval: entryUpdateInterval, batchDelay: func() time.Duration { return entryBatchDelay(c.subscribers.Count()) }, stop: c.stop,
		nextLogChange:    func() <-chan struct{} { return c.group.Ledger().Changed() },
		nextRosterChange: c.mirror.Changed, nextSuspectChange: c.suspects.Changed, nextPermits: func() <-chan struct{} { return c.entryPermits.Added(first.GetEntry().GetHost()) }, nextForecasts: c.mirror.ForecastsUpdated,
		hasForecast: func(q forecastQuery) bool { return len(s.forecasts(q)) > 0 },
		hasTarget:   func(targets []*schema.ModelDemand) bool { return c.mirror.HasTargetSince(s.sent.Known, targets) },
		queries:     make(chan forecastQuery, 1),
	}
	return s
}

func (s *entrySession) receiveReports() {
	for {
		report, err := s.stream.Recv()
		if err != nil {
			return
		}
		s.handleReport(report)
	}
}

// sentUpdate is the sequence number of an update and the entry's progress after receiving it.
type sentUpdate struct {
	sequence uint64
	progress subscription.Progress
}

// maxUnackedUpdates bounds unacked. An entry acknowledges updates with each of its reports,
// at least three a second, and the host sends at most a hundred updates a second.
const maxUnackedUpdates = 256

// recordSent records that an update was sent and is not acknowledged yet.
func (s *entrySession) recordSent(sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unacked) >= maxUnackedUpdates {
		// The acknowledgement of a later update covers the dropped one.
		s.unacked = s.unacked[1:]
	}
	s.unacked = append(s.unacked, sentUpdate{sequence, s.sent})
}

// acknowledge records how far the entry acknowledged updates. Writing an update to the
// stream proves nothing: a host that loses power a moment later never sent it, and a caller
// that relied on all entries having received it would be wrong.
func (s *entrySession) acknowledge(sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.unacked) > 0 && s.unacked[0].sequence <= sequence {
		s.c.subscribers.Acknowledge(s.number, s.entry.GetHost(), s.unacked[0].progress)
		s.unacked = s.unacked[1:]
	}
}

func (s *entrySession) handleReport(report *schema.EntryNews) {
	defer s.c.work.Start(worktime.KindEntryReport)()
	s.echoUs.Store(report.GetSentUs())
	s.acknowledge(report.GetTaken())
	if s.c.mergeSuspects(report.GetSuspects(), quarantine.SourceEntry) {
		s.c.subscribers.RequestReport()
	}
	if s.c.rejectionLimits.Merge(report.GetRejectionLimits(), time.Now()) {
		s.c.subscribers.RequestReport()
	}
	s.c.recordOrigins(report.GetOrigins())
	// The first report was applied with the subscription.
	if q := report.GetQuotas(); q != nil && report.GetEntry() == nil && s.c.quotaStock.Report(s.entry.GetHost(), q, time.Now()) {
		s.c.subscribers.RequestReport()
	}
	s.c.subscribers.HandleReport(s.number, s.entry.GetHost(), report)
	s.pacer.setQuery(report.GetDemands())
}

// sendUpdates sends changes to the entry. The first update contains everything that the
// entry is missing.
func (s *entrySession) sendUpdates(ctx context.Context) error {
	s.pacer.start()
	defer s.pacer.ticker.Stop()
	for {
		if !s.c.inSync() {
			if !s.keepsStream {
				return s.c.redirectEntry(s.stream)
			}
			if err := s.awaitSync(ctx); err != nil || ctx.Err() != nil {
				return err
			}
		}
		s.pacer.watchChanges()
		update := s.nextUpdate()
		s.recordSent(update.GetSequence())
		if update.GetConfirm() {
			s.c.subscribers.ExpectAck(s.sent)
		}
		if err := s.stream.Send(update); err != nil {
			return errors.Newf("tell entry: %w", err)
		}
		if !s.pacer.awaitDue(ctx) || !s.pacer.batchUrgent(ctx) {
			return nil
		}
	}
}

// awaitSync keeps the entry waiting until this host is in sync or the stream ends. The entry
// searches for another host meanwhile, and finds none while all of them have lost the leader.
func (s *entrySession) awaitSync(ctx context.Context) error {
	var lastSent time.Time
	for !s.c.inSync() {
		if time.Since(lastSent) > entryUpdateInterval {
			lastSent = time.Now()
			if err := s.c.delayEntry(s.stream); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.c.stop:
			return nil
		case <-time.After(leaderWaitPollInterval):
		}
	}
	return nil
}

func (s *entrySession) nextUpdate() *schema.LeaderNews {
	defer s.c.work.Start(worktime.KindEntryUpdate)()
	s.sequence++
	echo := s.echoUs.Load()
	confirmedAt, revision := s.c.mirror.Confirmed()
	update := s.c.mirror.Since(s.sent.Known)
	update.Sequence, update.LeaderAgeMs, update.Attending = s.sequence, s.c.leaderAge(), uint32(s.c.subscribers.Count())
	s.sent.Known = roster.PositionOf(update.GetKnown())
	// Changes that are not sent to entries count as sent; otherwise the order holders would
	// be scanned for every update.
	update.Changes, s.sent.Revision = s.c.changesCache.since(s.c.group.Ledger(), s.sent.Revision)
	if !confirmedAt.IsZero() && s.sent.Revision >= revision {
		update.EchoUs, update.ConfirmedAgeMs = echo, ageMs(confirmedAt)
	}
	if addresses := s.c.memberAddresses(); strings.Join(addresses, " ") != s.sentMembers {
		s.sentMembers = strings.Join(addresses, " ")
		update.ControlAddresses = addresses
	}
	if s.pacer.queryPending {
		update.Forecasts = s.forecasts(s.pacer.query)
		s.pacer.queryPending = len(update.GetForecasts()) == 0
	}
	update.Suspects, update.Permits = s.c.nextSuspects(s.suspects), s.c.entryPermits.Take(s.entry.GetHost(), time.Now())
	if s.pacer.intervalElapsed {
		update.PermitQueues, update.RejectionLimits = s.c.mirror.PermitQueues(), s.c.rejectionLimits.Messages(time.Now())
		update.Loads, update.TeamUses, s.pacer.intervalElapsed = s.c.mirror.Loads(), s.c.mirror.TeamUses(), false
	}
	// Updates that no pending change waits for are acknowledged with the entry's next
	// report.
	update.Confirm = update.GetConfirm() || len(update.GetChanges()) > 0 || anyNotReady(update.GetServers())
	return update
}

// ageMs returns the time since a moment in milliseconds, rounded up.
func ageMs(at time.Time) int64 { return time.Since(at).Milliseconds() + 1 }

// maxForecastAge is how much older than a query a forecast from the leader may be. The
// leader sends all forecasts again after each of this host's reports, ten times a second.
const maxForecastAge = 150 * time.Millisecond

// forecasts returns those of the leader's forecasts for a query that this host has
// received.
func (s *entrySession) forecasts(q forecastQuery) []*schema.LoadForecast {
	return s.c.mirror.Forecasts(q.targets, q.receivedAt.Add(-maxForecastAge))
}

// anyNotReady reports whether any of the servers accepts no new work.
func anyNotReady(servers []*schema.RosterServer) bool {
	for _, s := range servers {
		if s.GetState() != schema.RosterState_ROSTER_STATE_READY {
			return true
		}
	}
	return false
}

func (c *Control) memberAddresses() []string {
	var out []string
	for _, m := range c.group.Status().Membership.GetMembers() {
		out = append(out, m.GetAddress())
	}
	return out
}

// entryChanges returns the records that entries need: routes, pools, teams, versions in use, and
// the configuration without the operator's document.
func entryChanges(c *schema.Changes) *schema.Changes {
	out := &schema.Changes{Revision: c.GetRevision(), Whole: c.GetWhole()}
	for _, rec := range c.GetRecords() {
		switch {
		case rec.GetKey() == ledger.ConfigurationKey:
			out.Records = append(out.Records, withoutDocument(rec))
		case ledger.IsRoutingKey(rec.GetKey()), ledger.IsVersionKey(rec.GetKey()):
			out.Records = append(out.Records, rec)
		}
	}
	return out
}

func withoutDocument(rec *schema.Record) *schema.Record {
	c := rec.GetConfiguration()
	if c == nil {
		return rec
	}
	return &schema.Record{Key: rec.GetKey(), Revision: rec.GetRevision(), Value: &schema.Record_Configuration{
		Configuration: &schema.Configuration{Version: c.GetVersion(), Limits: c.GetLimits(), KeySalt: c.GetKeySalt()},
	}}
}
