package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/elapsed"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

const (
	// reportInterval is the time between two reports of an entry to its control host. It is a
	// quarter of the silence timeout, after which callers are no longer sent to the entry.
	reportInterval = 300 * time.Millisecond
	// reportIntervalPerSubscriber, multiplied by the number of entries that subscribe to the
	// host, is the least time between two reports of an entry; it is at least
	// minReportInterval. Demand that arrives in between is batched into one report, and the
	// load of a host does not grow with its number of subscribers. A report after a longer
	// silence leaves at once.
	reportIntervalPerSubscriber = 1500 * time.Microsecond
	minReportInterval           = 5 * time.Millisecond
	// maxServersLogged is the maximum number of servers in a log line.
	maxServersLogged = 16
	// deferredReportIntervals is the number of such intervals after which a report leaves that
	// adds only waiting requests for targets that already have reported ones.
	deferredReportIntervals = 4
	// hostSilenceTimeout is how long the host may stay silent. It sends an update every 300 ms,
	// and the first one arrives within a round trip.
	hostSilenceTimeout = 1200 * time.Millisecond
	// firstUpdateTimeout is the timeout for a host's first update in the first round over all
	// control hosts: a host without power does not respond at all, and each such host would
	// otherwise delay callers by a second. It doubles with each round, as a slow host needs
	// longer.
	firstUpdateTimeout = 150 * time.Millisecond
	// minHostRetryInterval is the time between connecting to two hosts in the first round. It
	// doubles with each round, at most maxRetryDoublings times and up to maxHostRetryInterval:
	// while no host has a leader, 300 entries would otherwise send them 6,000 queries a second.
	minHostRetryInterval = 50 * time.Millisecond
	maxRetryDoublings    = 3
	maxHostRetryInterval = 400 * time.Millisecond
	// refusedRetryInterval is the time before the next host is tried after a refusal, which has
	// already delayed this entry by a round trip.
	refusedRetryInterval = 10 * time.Millisecond
	// maxMoveDelay is the interval over which entries that prefer another host spread their moves,
	// each after a random delay: otherwise a ninth of all entries would subscribe at once to a
	// host that returns.
	maxMoveDelay = 2 * time.Second
)

var (
	// errNoLeaderUpdates is returned if the host does not receive the leader's updates.
	errNoLeaderUpdates = errors.New("the control host does not receive the leader's updates")
	// errEarlierTerm is returned if a host's update belongs to an earlier leader than the last one
	// received.
	errEarlierTerm = errors.New("the update belongs to an earlier leader")
	errHostSilent  = errors.New("no message from the control host within the timeout")
	errStopping    = errors.New("stopping")
)

// subscriber keeps a subscription to one control host, which forwards the leader's updates.
type subscriber struct {
	g *Gateway
	// The fields below belong to the goroutine of run.
	hosts *controlHosts
	// moveAt is when to move to a preferred host; the zero time if there is none.
	moveAt time.Time
	// startMs is the start of the entry in Unix milliseconds. Streams are numbered from it, so
	// that a later stream has the greater number even after a restart.
	startMs uint64
	// subscribed is set while a host sends updates. lastLogged is when the lack of a host was last
	// logged.
	subscribed bool
	lastLogged time.Time
	// position is the position up to which the leader's roster is known. namedServers are the
	// servers in the updates since the last whole roster, and pruned is set once all others were
	// removed.
	position     roster.Position
	namedServers map[string]bool
	pruned       bool

	// subscriptions counts the streams to control hosts.
	subscriptions atomic.Uint64
	// hostSubscribers is the number of entries that subscribe to the host, by its last update.
	hostSubscribers atomic.Int64
	// appliedSequence is the sequence number of the last applied update of the current stream.
	appliedSequence atomic.Uint64

	mu sync.Mutex
	// host is the address of the current host, empty for none; guarded by mu.
	host string
	// leaderSeen is when the leader was last known to lead; guarded by mu.
	leaderSeen time.Time
	// confirmed is the latest time as of which this entry's configuration is known to have been
	// the newest acknowledged one; guarded by mu.
	confirmed time.Time
}

func newSubscriber(g *Gateway) *subscriber {
	return &subscriber{
		g: g, hosts: newControlHosts(g.cfg.Self, g.cfg.Seeds), namedServers: map[string]bool{},
		startMs: uint64(time.Now().UnixMilli()),
	}
}

func (s *subscriber) run() {
	for {
		pause := s.hosts.retryInterval()
		if address := s.hosts.next(time.Now()); address != "" {
			err := s.subscribe(address)
			s.logStreamEnd(address, err)
			s.setHost("")
			pause = s.streamEnded(address, err)
		}
		if !s.sleep(pause) {
			return
		}
		select {
		case <-s.g.stop:
			return
		default:
		}
	}
}

// streamEnded records why a stream ended and returns how long to wait before the next one.
func (s *subscriber) streamEnded(address string, err error) time.Duration {
	var found *foundHostError
	if errors.As(err, &found) {
		s.hosts.hint = found.address
		return 0
	}
	wasSubscribed := s.subscribed
	s.subscribed = false
	s.hosts.recordFailure(address, time.Now())
	switch {
	case errors.Is(err, errNoLeaderUpdates), errors.Is(err, errEarlierTerm):
		return max(s.hosts.retryInterval()-minHostRetryInterval, refusedRetryInterval)
	case errors.Is(err, errHostSilent):
		s.g.cfg.Dialer.Reset(address)
	}
	if wasSubscribed {
		return refusedRetryInterval
	}
	return s.hosts.retryInterval()
}

// logStreamEnd logs the loss of a host. That no host is found is logged at most once a second,
// as control hosts are tried many times a second.
func (s *subscriber) logStreamEnd(address string, err error) {
	if s.subscribed {
		s.g.cfg.Log.Info("control host left", "address", address, "error", asynclog.ErrorText(err))
		return
	}
	if time.Since(s.lastLogged) > time.Second {
		s.lastLogged = time.Now()
		s.g.cfg.Log.Info("no control host found", "asked", address, "error", asynclog.ErrorText(err))
	}
}

func (s *subscriber) sleep(d time.Duration) bool {
	select {
	case <-s.g.stop:
		return false
	case <-time.After(d):
		return true
	}
}

func (s *subscriber) setHost(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.host = address
}

// firstUpdateWait returns the timeout for a host's first update after a number of failed rounds
// over all hosts.
func firstUpdateWait(failedRounds int) time.Duration {
	for wait := firstUpdateTimeout; ; wait *= 2 {
		if failedRounds--; failedRounds < 0 || wait >= hostSilenceTimeout {
			return min(wait, hostSilenceTimeout)
		}
	}
}

// subscribe subscribes to one host until the host is lost or another one is preferred.
func (s *subscriber) subscribe(address string) error {
	client, err := s.g.cfg.Dialer.Client(address)
	if err != nil {
		return errors.Newf("dial control host: %w", err)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		// This goroutine ends with the stream or with the gateway.
		select {
		case <-s.g.stop:
			cancel(errStopping)
		case <-done:
		}
	}()
	silenceTimer := time.AfterFunc(firstUpdateWait(s.hosts.failedRounds()), func() { cancel(errHostSilent) })
	defer silenceTimer.Stop()
	stream, err := client.Attend(ctx)
	if err != nil {
		return errors.Newf("subscribe: %w", err)
	}
	s.appliedSequence.Store(0)
	s.moveAt = time.Time{}
	report := &schema.EntryNews{
		Quotas: &schema.QuotaReport{Uses: s.g.quotas.StreamStarted(time.Now())},
		Entry:  s.g.cfg.Self, After: s.g.cfg.Replica.Revision(), Known: s.position.Message(), Stream: s.startMs + s.subscriptions.Add(1),
		StartedMs: s.startMs, KeepsStream: true,
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		s.sendReports(ctx, stream, report)
	}()
	defer wg.Wait()
	defer cancel(nil)
	// search looks for another host: for one that is in sync while this one is not, or, if
	// preferred is set, for the one that the entry prefers.
	var search *hostSearch
	preferred := false
	defer func() { search.stop() }()
	found := func(address string) { cancel(&foundHostError{address}) }
	for started := false; ; {
		update, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return errors.Newf("receive from control host: %w", err)
		}
		silenceTimer.Reset(hostSilenceTimeout)
		if update.GetNotLeader() {
			s.applyRefusal(update)
			return errNoLeaderUpdates
		}
		if update.GetWait() {
			if started && (preferred || search == nil) {
				search.stop()
				s.hostLostSync(address, update)
				search, preferred = s.startSearch(ctx, s.position.Term, s.hosts.others(address), true, found), false
			}
			continue
		}
		if !preferred {
			search.stop()
			search = nil
		}
		if !started {
			started = true
			s.streamStarted(address, update)
		}
		if err := s.applyUpdate(update); err != nil {
			return errors.Newf("apply update: %w", err)
		}
		if search.running() {
			continue
		}
		search = nil
		if to := s.hostToMoveTo(address, time.Now()); to != "" {
			search, preferred = s.startSearch(ctx, s.position.Term, []string{to}, false, found), true
		}
	}
}

// streamStarted records that a host sends the leader's updates.
func (s *subscriber) streamStarted(address string, update *schema.LeaderNews) {
	s.subscribed = true
	s.hosts.recordSuccess(address)
	s.setHost(address)
	s.g.cfg.Log.Info("control host attended", "address", address, "term", update.GetKnown().GetTerm(),
		"leader-age-ms", update.GetLeaderAgeMs(), "whole", update.GetWhole())
}

// applyRefusal applies the addresses in the refusal of a host without leader updates.
func (s *subscriber) applyRefusal(update *schema.LeaderNews) {
	if members := update.GetControlAddresses(); len(members) > 0 {
		s.hosts.members = members
	}
	s.hosts.hint = update.GetLeaderAddress()
}

// hostLostSync records that the host of the current stream has lost the leader or its log lags.
func (s *subscriber) hostLostSync(address string, update *schema.LeaderNews) {
	s.g.cfg.Log.Info("control host out of sync", "address", address, "leader-age-ms", update.GetLeaderAgeMs())
	if members := update.GetControlAddresses(); len(members) > 0 {
		s.hosts.members = members
	}
}

// hostToMoveTo returns the host that this entry prefers if it is time to move there, empty for none.
func (s *subscriber) hostToMoveTo(current string, now time.Time) string {
	switch preferred := s.hosts.preferredTo(current, now); {
	case preferred == "":
		s.moveAt = time.Time{}
	case s.moveAt.IsZero():
		s.moveAt = now.Add(rand.N(maxMoveDelay))
	case now.After(s.moveAt):
		s.moveAt = time.Time{}
		s.g.cfg.Log.Info("control host preferred", "from", current, "to", preferred)
		return preferred
	}
	return ""
}

func (s *subscriber) sendReports(ctx context.Context, stream grpc.BidiStreamingClient[schema.EntryNews, schema.LeaderNews], report *schema.EntryNews) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	suspects := s.g.guard.Suspects().Reader(quarantine.PartOwn)
	for periodic := true; ; {
		report.Suspects = suspects.Next()
		report.Stopping, report.PathLost = s.g.isDraining(), s.g.cfg.PathLost()
		report.Demands = s.g.demand.collect()
		report.Taken = s.appliedSequence.Load()
		if periodic {
			report.Loads, report.LoadsTold = s.g.fleet.reportLoads(), true
			report.TeamUses = s.g.quotas.Report(time.Now())
		}
		s.g.addQuotas(report, periodic)
		report.Origins = s.g.originReports.take()
		report.Limits, report.PermitDemands = s.g.fleet.reportLimits(time.Now())
		report.LeavingServers = s.g.fleet.reportDepartures()
		report.RejectionLimits = s.g.fleet.rejectionLimits.Messages(time.Now())
		report.SentUs = uint64(time.Since(s.g.startTime).Microseconds())
		if err := stream.Send(report); err != nil {
			return
		}
		report = &schema.EntryNews{}
		var ok bool
		if periodic, ok = s.awaitReport(ctx, ticker); !ok {
			return
		}
	}
}

// awaitReport waits until the next report to the host is due. periodic is set if the report
// interval has elapsed; ok is false if the stream has ended.
func (s *subscriber) awaitReport(ctx context.Context, ticker *time.Ticker) (periodic, ok bool) {
	interval := max(minReportInterval, time.Duration(s.hostSubscribers.Load())*reportIntervalPerSubscriber)
	select {
	case <-ctx.Done():
		return false, false
	case <-time.After(interval):
	}
	deferral := time.NewTimer((deferredReportIntervals - 1) * interval)
	defer deferral.Stop()
	for pending, elapsed := false, false; !pending || !elapsed; {
		select {
		case <-ctx.Done():
			return false, false
		case <-ticker.C:
			return true, true
		case <-s.g.demand.urgent:
			return false, true
		case <-s.g.demand.deferred:
			pending = true
		case <-deferral.C:
			elapsed = true
		}
	}
	return false, true
}

// decodeChanges returns the configuration changes of an update, nil for none.
func decodeChanges(update *schema.LeaderNews) (*schema.Changes, error) {
	if len(update.GetChanges()) == 0 {
		return nil, nil
	}
	c := &schema.Changes{}
	if err := proto.Unmarshal(update.GetChanges(), c); err != nil {
		return nil, errors.Newf("decode changes: %w", err)
	}
	return c, nil
}

func (s *subscriber) applyUpdate(update *schema.LeaderNews) error {
	position := roster.PositionOf(update.GetKnown())
	if position.Term < s.position.Term {
		return errEarlierTerm
	}
	s.mu.Lock()
	s.leaderSeen = time.Now().Add(-time.Duration(update.GetLeaderAgeMs()) * time.Millisecond)
	s.mu.Unlock()
	s.hostSubscribers.Store(int64(update.GetAttending()))
	if members := update.GetControlAddresses(); len(members) > 0 {
		s.hosts.members = members
	}
	if l := update.GetHosts(); l != nil {
		s.hosts.followers = l.GetHosts()
	}
	// Suspects, rejection limits and the entries that share them are applied before the configuration,
	// as a newly started entry begins to serve once it has a configuration.
	s.g.mergeSuspects(update.GetSuspects(), quarantine.SourceControl)
	if s.g.fleet.rejectionLimits.Merge(update.GetRejectionLimits(), time.Now()) {
		s.g.cfg.Log.Info("rejection limits believed", "pools", len(update.GetRejectionLimits()), "sequence", update.GetSequence())
	}
	if l := update.GetEntries(); l != nil {
		s.g.setEntries(l.GetEntries())
	}
	c, err := decodeChanges(update)
	if err != nil {
		// The host considers these changes sent; only a new stream sends them again.
		return err
	}
	if c != nil {
		s.g.configure(c)
	}
	// What the update says was not known to this entry as of its last confirmation.
	knownSince := time.Since(s.confirmedAt())
	s.recordConfirmation(update)
	if departed := s.applyServers(update); len(departed) > 0 {
		s.g.cfg.Log.Info("servers take no new work", "servers", departed[:min(len(departed), maxServersLogged)], "count", len(departed),
			"host", s.currentHost(), "term", position.Term, "change", position.Change, "age-ms-at-most", knownSince.Milliseconds())
	}
	s.position = position
	if l := update.GetLoads(); l != nil {
		s.g.fleet.setLoads(l.GetLoads())
	}
	if q := update.GetPermitQueues(); q != nil {
		s.g.fleet.setPermitQueues(q.GetQueues())
	}
	if echo := update.GetEchoUs(); echo != 0 {
		after := s.g.startTime.Add(time.Duration(echo) * time.Microsecond)
		s.g.fleet.addPermits(update.GetPermits(), after)
		s.g.addQuotaGrants(update.GetPermits(), after)
	}
	if u := update.GetTeamUses(); u != nil {
		s.g.quotas.SetTotals(position.Term, u)
	}
	s.g.demand.setForecasts(update.GetForecasts(), time.Now())
	s.appliedSequence.Store(update.GetSequence())
	if update.GetConfirm() {
		s.g.reportNow()
	}
	return nil
}

// recordConfirmation records as of when this entry's configuration is confirmed. The time
// counts from when the report that the host acknowledges was sent, by this entry's clock: an
// update that was delayed in the network, or that a frozen entry reads late, does not confirm a
// later time.
func (s *subscriber) recordConfirmation(update *schema.LeaderNews) {
	echo := update.GetEchoUs()
	if echo == 0 {
		return
	}
	at := s.g.startTime.Add(time.Duration(echo)*time.Microsecond - time.Duration(update.GetConfirmedAgeMs())*time.Millisecond)
	// By the present time of day, which may have been set since the start.
	at = time.Now().Add(-time.Since(at))
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// confirmedAt returns the time as of which this entry's configuration is known to have been the
// newest acknowledged one; the zero time: never.
func (s *subscriber) confirmedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed
}

// applyServers applies the servers of an update, and returns those that take no new work any more.
func (s *subscriber) applyServers(update *schema.LeaderNews) []string {
	if update.GetWhole() {
		s.namedServers, s.pruned = map[string]bool{}, false
	}
	for _, server := range update.GetServers() {
		s.namedServers[server.GetId()] = server.GetState() != schema.RosterState_ROSTER_STATE_GONE
	}
	prune := update.GetSettled() && !s.pruned
	if len(update.GetServers()) == 0 && !prune {
		return nil
	}
	departed := s.g.fleet.update(update.GetServers(), prune, s.namedServers)
	s.pruned = s.pruned || prune
	s.g.logServers(update)
	return departed
}

// confirmationAge returns the time since confirmedAt, in which the host may have been suspended.
func (s *subscriber) confirmationAge() time.Duration { return elapsed.Since(s.confirmedAt()) }

// currentHost returns the host that the entry subscribes to, empty for none.
func (s *subscriber) currentHost() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host
}

// leaderAge returns the time since the leader was last known to lead; negative: never.
func (s *subscriber) leaderAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaderSeen.IsZero() {
		return -1
	}
	return time.Since(s.leaderSeen)
}
