package role

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"fennelyard/internal/ledger"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
	"fennelyard/internal/subscription"
)

const (
	// beat is the longest time between two words of a control host to an entry.
	beat = 300 * time.Millisecond
	// gatherLeast is how long changes are gathered into one word at the least: an
	// order's end and what follows from it come within a few milliseconds.
	gatherLeast = 4 * time.Millisecond
	// gatherPerEntry is how much longer they are gathered for each entry that attends this
	// host: what the host spends on words does not grow with them. Without it entries were
	// told of each change at once, 200 times a second.
	gatherPerEntry = 2500 * time.Microsecond
	// parkFor is how long an entry waits at a host that has not heard a leader since it
	// started: all hosts start at once, and asked in turn by 300 entries, each many times a
	// second, they would be kept from electing one.
	parkFor = time.Second
	// parkCheck is how often such a host looks whether it has heard one.
	parkCheck = 20 * time.Millisecond
)

// gatherFor is the least time between two words to an entry that waits for none of
// the changes.
func gatherFor(entries int) time.Duration {
	return max(gatherLeast, time.Duration(entries)*gatherPerEntry)
}

type attendStream = grpc.BidiStreamingServer[schema.EntryNews, schema.LeaderNews]

// attend answers an entry that wants to know what the leader knows. It returns
// when either side is gone or this host is out of touch with the leader.
func (c *Control) attend(stream attendStream) error {
	first, err := stream.Recv()
	if err != nil {
		return errors.Newf("hear entry: %w", err)
	}
	if in, err := c.park(stream, roster.PositionOf(first.GetKnown()).Term); !in {
		return err
	}
	a := newAttending(c, stream, first)
	c.entries.Subscribe(a.number, a.entry, first.GetStream())
	defer c.entries.Unsubscribe(a.number, a.entry.GetHost())
	a.hear(first)
	ctx, cancel := context.WithCancel(stream.Context())
	go func() {
		// It ends with the stream, which ends with this call.
		defer cancel()
		a.listen()
	}()
	return a.speak(ctx)
}

// park keeps an entry that comes while this host has not heard a leader since it started.
// One that has lost its leader, or whose log lags, or that knows only a leader of an
// earlier term than the entry, sends it on at once: it may be cut off from a leader that
// others hear. park returns whether the entry can be told what the leader says.
func (c *Control) park(stream attendStream, term uint64) (bool, error) {
	began, said := time.Now(), time.Time{}
	for {
		if c.inTouch() && c.mirror.Position().Term >= term {
			return true, nil
		}
		if heard, _ := c.mirror.LeaderLastSeen(); !heard.IsZero() || time.Since(began) > parkFor {
			return false, c.refuse(stream)
		}
		if time.Since(said) > beat {
			said = time.Now()
			if err := stream.Send(&schema.LeaderNews{Wait: true, LeaderAgeMs: c.leaderAge()}); err != nil {
				return false, errors.Newf("tell entry to wait: %w", err)
			}
		}
		select {
		case <-stream.Context().Done():
			return false, nil
		case <-c.stop:
			return false, nil
		case <-time.After(parkCheck):
		}
	}
}

// refuse sends an entry to another host.
func (c *Control) refuse(stream attendStream) error {
	news := &schema.LeaderNews{NotLeader: true, ControlAddresses: c.addresses(), LeaderAgeMs: c.leaderAge()}
	if err := stream.Send(news); err != nil {
		return errors.Newf("refuse entry: %w", err)
	}
	return nil
}

// leaderAge is how long ago the leader spoke, in ms; -1: it was never heard.
func (c *Control) leaderAge() int64 {
	heard, _ := c.mirror.LeaderLastSeen()
	if heard.IsZero() {
		return -1
	}
	return time.Since(heard).Milliseconds()
}

// attending is one entry's stream.
type attending struct {
	c      *Control
	stream attendStream
	number uint64
	entry  *schema.RosterEntry
	pace   pace
	// echo is the entry's clock as its latest message left.
	echo atomic.Uint64
	// mu guards sent: what each word tells that the entry has not said to have taken,
	// the oldest first.
	mu   sync.Mutex
	sent []sentWord

	// The fields below belong to speak. far is how far the entry is told.
	far subscription.Progress
	// suspects reads what it is told of requests that end their servers.
	suspects *quarantine.Reader
	members  string
	sequence uint64
}

func newAttending(c *Control, stream attendStream, first *schema.EntryNews) *attending {
	a := &attending{
		c: c, stream: stream, number: c.streams.Add(1), entry: first.GetEntry(),
		suspects: c.book.Reader(quarantine.PartHeld), far: subscription.Progress{Known: roster.PositionOf(first.GetKnown()), Revision: first.GetAfter()},
	}
	a.pace = pace{
		beat: beat, gather: func() time.Duration { return gatherFor(c.entries.Count()) }, ended: c.stop,
		log:    func() <-chan struct{} { return c.group.Ledger().Changed() },
		roster: c.mirror.Changed, held: c.book.Changed, answered: c.mirror.ForecastsUpdated,
		answers: func(q question) bool { return len(a.forecasts(q)) > 0 },
		brings:  func(wants []*schema.ModelDemand) bool { return c.mirror.HasTargetSince(a.far.Known, wants) },
		waiting: make(chan question, 1),
	}
	return a
}

func (a *attending) listen() {
	for {
		news, err := a.stream.Recv()
		if err != nil {
			return
		}
		a.hear(news)
	}
}

// sentWord is how far the entry is told by a word.
type sentWord struct {
	sequence uint64
	far      subscription.Progress
}

// sentMost bounds the words that are remembered: an entry confirms with each of its own,
// three a second at the least, and the host speaks a hundred times a second at the most.
const sentMost = 256

// note remembers how far a word tells the entry.
func (a *attending) note(sequence uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.sent) >= sentMost {
		// What is dropped is confirmed by a later word.
		a.sent = a.sent[1:]
	}
	a.sent = append(a.sent, sentWord{sequence, a.far})
}

// confirm notes how far the entry is by its own word. That a word was written to the
// stream says nothing: a host that loses power a moment later never sent it, and
// whoever was told that all entries know would be wrong.
func (a *attending) confirm(taken uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.sent) > 0 && a.sent[0].sequence <= taken {
		a.c.entries.Acknowledge(a.number, a.entry.GetHost(), a.sent[0].far)
		a.sent = a.sent[1:]
	}
}

func (a *attending) hear(news *schema.EntryNews) {
	a.echo.Store(news.GetSentUs())
	a.confirm(news.GetTaken())
	if a.c.book.Merge(news.GetSuspects(), false) {
		a.c.entries.RequestReport()
	}
	a.c.entries.HandleReport(a.number, a.entry.GetHost(), news)
	a.pace.hear(news.GetDemands())
}

// speak tells the entry what changes. The first word holds everything that it lacks.
func (a *attending) speak(ctx context.Context) error {
	a.pace.start()
	defer a.pace.ticker.Stop()
	for {
		if !a.c.inTouch() {
			return a.c.refuse(a.stream)
		}
		a.pace.watch()
		news := a.news()
		a.note(news.GetSequence())
		if news.GetConfirm() {
			a.c.entries.ExpectAck(a.far)
		}
		if err := a.stream.Send(news); err != nil {
			return errors.Newf("tell entry: %w", err)
		}
		if !a.pace.rest(ctx) || !a.pace.settle(ctx) {
			return nil
		}
	}
}

func (a *attending) news() *schema.LeaderNews {
	a.sequence++
	echo := a.echo.Load()
	confirmed, revision := a.c.mirror.Confirmed()
	news := a.c.mirror.Since(a.far.Known)
	news.Sequence, news.LeaderAgeMs, news.Attending = a.sequence, a.c.leaderAge(), uint32(a.c.entries.Count())
	a.far.Known = roster.PositionOf(news.GetKnown())
	// What entries are not told counts as told: the orders' holders would be looked
	// through for every word.
	news.Changes, a.far.Revision = a.c.changes.since(a.c.group.Ledger(), a.far.Revision)
	if !confirmed.IsZero() && a.far.Revision >= revision {
		news.EchoUs, news.ConfirmedAgeMs = echo, ageMs(confirmed)
	}
	if addresses := a.c.addresses(); strings.Join(addresses, " ") != a.members {
		a.members = strings.Join(addresses, " ")
		news.ControlAddresses = addresses
	}
	if a.pace.asked {
		news.Forecasts = a.forecasts(a.pace.question)
		a.pace.asked = len(news.GetForecasts()) == 0
	}
	news.Suspects = a.suspects.Next()
	if a.pace.due {
		news.Loads, news.TeamUses, a.pace.due = a.c.mirror.Loads(), a.c.mirror.TeamUses(), false
	}
	// A word that nobody waits for is confirmed with the entry's next one.
	news.Confirm = news.GetConfirm() || len(news.GetChanges()) > 0 || departs(news.GetServers())
	return news
}

// ageMs is how long ago a moment was, in ms, rounded up.
func ageMs(at time.Time) int64 { return time.Since(at).Milliseconds() + 1 }

// forecastFresh is how old the leader's word on a load may be with which a question is
// answered: it says all of them anew with each of this host's words, ten times a second.
const forecastFresh = 150 * time.Millisecond

// forecasts is the leader's answer to a question, as far as this host has it.
func (a *attending) forecasts(q question) []*schema.LoadForecast {
	return a.c.mirror.Forecasts(q.wants, q.at.Add(-forecastFresh))
}

// departs reports whether one of some servers takes no new work.
func departs(servers []*schema.RosterServer) bool {
	for _, s := range servers {
		if s.GetState() != schema.RosterState_ROSTER_STATE_READY {
			return true
		}
	}
	return false
}

func (c *Control) addresses() []string {
	var out []string
	for _, m := range c.group.Status().Membership.GetMembers() {
		out = append(out, m.GetAddress())
	}
	return out
}

// forEntries keeps what entries need of the records: the routes, the pools, the teams and
// the configuration's head without the operator's text.
func forEntries(c *schema.Changes) *schema.Changes {
	out := &schema.Changes{Revision: c.GetRevision(), Whole: c.GetWhole()}
	for _, rec := range c.GetRecords() {
		switch {
		case rec.GetKey() == ledger.ConfigurationKey:
			out.Records = append(out.Records, withoutDocument(rec))
		case ledger.IsRoutingKey(rec.GetKey()):
			out.Records = append(out.Records, rec)
		}
	}
	return out
}

func withoutDocument(rec *schema.Record) *schema.Record {
	head := rec.GetConfiguration()
	if head == nil {
		return rec
	}
	return &schema.Record{Key: rec.GetKey(), Revision: rec.GetRevision(), Value: &schema.Record_Configuration{
		Configuration: &schema.Configuration{Version: head.GetVersion(), Limits: head.GetLimits(), KeySalt: head.GetKeySalt()},
	}}
}
