package role

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"fennelyard/internal/ledger"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

const (
	// hostBeat is the longest time between two words of the leader and a control host to
	// each other. It is a part of how old the engines' loads are that entries know, and
	// nine hosts are 180 words a second, 1% of a core.
	hostBeat = 100 * time.Millisecond
	// hostGatherPerEntry is how long, for each entry of the fleet, the leader gathers changes
	// into one word to a control host that waits for none of them: with 290 entries 40 ms, and
	// so 225 words a second at most to nine hosts, 1% of a core. A small fleet is told at
	// once, where callers of a plain service count on 100 ms.
	hostGatherPerEntry = 140 * time.Microsecond
)

type followStream = grpc.BidiStreamingServer[schema.HostNews, schema.LeaderNews]

// lead answers a control host that wants to know what the leader knows. It returns when
// either side is gone or this host leads no longer.
func (c *Control) lead(stream followStream) error {
	s := c.group.Status()
	if !s.CommittedInTerm {
		if err := stream.Send(&schema.LeaderNews{NotLeader: true, LeaderAddress: s.LeaderHost}); err != nil {
			return errors.Newf("name the leader: %w", err)
		}
		return nil
	}
	c.driver.RefreshLeadership()
	c.recallSuspects(s.Term)
	first, err := stream.Recv()
	if err != nil {
		return errors.Newf("hear host: %w", err)
	}
	l := newLeading(c, stream, first.GetHost(), s.Term)
	c.roster.HostConnected(l.number, l.host)
	defer c.roster.HostDisconnected(l.number, l.address())
	defer c.driver.RemoveEntry(l.address())
	l.hear(first)
	ctx, cancel := context.WithCancel(stream.Context())
	go func() {
		// It ends with the stream, which ends with this call.
		defer cancel()
		l.listen()
	}()
	return l.speak(ctx)
}

// leading is one control host's stream at the leader.
type leading struct {
	c      *Control
	stream followStream
	number uint64
	host   *schema.ControlHost
	term   uint64
	pace   pace
	// echo is the host's clock as its latest message left.
	echo atomic.Uint64
	// heard belongs to whoever hears.
	heard roster.AnnouncementReader

	// The fields below belong to speak. change is how far the host is told.
	change   uint64
	sequence uint64
	// suspects reads what it is told of requests that end their servers.
	suspects *quarantine.Reader
}

func newLeading(c *Control, stream followStream, host *schema.ControlHost, term uint64) *leading {
	l := &leading{c: c, stream: stream, number: c.streams.Add(1), host: host, term: term, suspects: c.book.Reader(quarantine.PartAll)}
	l.pace = pace{
		beat: hostBeat, gather: l.gatherFor, ended: c.stop,
		// Control hosts have the log themselves.
		log: never, roster: c.roster.Changed, held: c.book.Changed, answered: never, answers: always,
		brings:  func(wants []*schema.ModelDemand) bool { return c.roster.HasTargetSince(l.change, wants) },
		waiting: make(chan question, 1),
	}
	return l
}

// gatherFor is the least time between two words to a host that waits for none of the
// changes.
func (l *leading) gatherFor() time.Duration {
	return max(gatherLeast, time.Duration(l.c.roster.EntryCount())*hostGatherPerEntry)
}

// never returns a channel that is not closed.
func never() <-chan struct{} { return nil }

// always: the leader can say when anything will be there.
func always(question) bool { return true }

func (l *leading) address() string { return l.host.GetAddress() }

func (l *leading) listen() {
	for {
		news, err := l.stream.Recv()
		if err != nil {
			return
		}
		l.hear(news)
	}
}

func (l *leading) hear(news *schema.HostNews) {
	l.echo.Store(news.GetSentUs())
	if u := news.GetTeamUses(); u != nil {
		l.c.quotas.Report(l.address(), u, time.Now())
	}
	l.c.roster.UpdateHost(l.number, l.address(), l.term, news)
	l.c.driver.HandleDemand(l.address(), news.GetDemands())
	l.pace.hear(news.GetDemands())
	l.c.book.Merge(news.GetSuspects(), false)
	now := time.Now()
	for _, h := range news.GetServers() {
		if a, known := l.heard.Read(h, now); known && !l.c.roster.LacksStartTime(a.ID) {
			l.c.take(a)
		}
	}
}

// speak tells the host what changes. The first word holds everything.
func (l *leading) speak(ctx context.Context) error {
	l.pace.start()
	defer l.pace.ticker.Stop()
	for {
		s := l.c.group.Status()
		if !s.CommittedInTerm || s.Term != l.term || l.c.roster.HostSilent(l.number, l.address()) {
			return nil
		}
		l.pace.watch()
		if err := l.stream.Send(l.news()); err != nil {
			return errors.Newf("tell host: %w", err)
		}
		if !l.pace.rest(ctx) || !l.pace.settle(ctx) {
			return nil
		}
	}
}

func (l *leading) news() *schema.LeaderNews {
	l.sequence++
	echo, status := l.echo.Load(), l.c.group.Status()
	news := l.c.roster.UpdateSince(l.change)
	l.change = news.GetKnown().GetChange()
	news.Sequence, news.Known.Term = l.sequence, l.term
	// Not when this host speaks: one that is cut off takes itself for the leader for a
	// second, in which another is elected.
	news.LeaderAgeMs = time.Since(status.ConfirmedAt).Milliseconds()
	if status.CommittedInTerm && !status.ConfirmedAt.IsZero() {
		news.EchoUs, news.ConfirmedAgeMs = echo, ageMs(status.ConfirmedAt)
	}
	// What is committed may have been acknowledged by an earlier leader.
	news.Revision, news.Lagging = max(l.c.applied(), status.Commit), l.c.roster.HostLagging(l.number, l.address())
	if l.pace.asked {
		news.Forecasts, l.pace.asked = l.c.driver.Forecasts(l.pace.question.wants), false
	}
	news.Suspects = l.suspects.Next()
	if l.pace.due {
		news.Loads, news.TeamUses, l.pace.due = l.c.roster.Loads(), l.c.quotas.Sum(time.Now(), l.c.usesMuch), false
	}
	return news
}

// applied is the index up to which this host has applied the log.
func (c *Control) applied() (index uint64) {
	c.group.Ledger().View(func(h ledger.Status, _ *ledger.Records) { index = h.Index })
	return index
}
