package role

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"fennelyard/internal/ledger"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

const (
	// beat is the longest time between two words of the leader to an entry.
	beat = 300 * time.Millisecond
	// gatherLeast is how long changes are gathered into one word at the least: an
	// order's end and what follows from it come within a few milliseconds.
	gatherLeast = 4 * time.Millisecond
	// gatherPerEntry is how much longer they are gathered for each entry that
	// attends. A word costs the leader 40 µs of a core (BenchmarkLeader), so that
	// words to all entries take 2.6% of one at most. Without it 68 entries were told
	// of each change at once, 200 times a second, by a leader of a quarter of a core
	// that then had no time left to say who leads.
	gatherPerEntry = 1500 * time.Microsecond
)

// gatherFor is the least time between two words to an entry that waits for none of
// the changes.
func gatherFor(entries int) time.Duration {
	return max(gatherLeast, time.Duration(entries)*gatherPerEntry)
}

type attendStream = grpc.BidiStreamingServer[schema.EntryNews, schema.LeaderNews]

// attend answers an entry that wants to know what the leader knows. It returns
// when either side is gone or this host leads no longer.
func (c *Control) attend(stream attendStream) error {
	s := c.group.Status()
	if !s.Current {
		news := &schema.LeaderNews{NotLeader: true, LeaderAddress: s.LeaderHost}
		if err := stream.Send(news); err != nil {
			return errors.Newf("name the leader: %w", err)
		}
		return nil
	}
	c.driver.Follow()
	first, err := stream.Recv()
	if err != nil {
		return errors.Newf("hear entry: %w", err)
	}
	a := &attending{
		c: c, stream: stream, number: c.streams.Add(1), entry: first.GetEntry(), revision: first.GetAfter(),
		waiting: make(chan []*schema.ModelDemand, 1),
	}
	c.roster.Attend(a.number, a.entry)
	defer c.roster.Leave(a.number, a.entry.GetHost())
	defer c.driver.Forget(a.entry.GetHost())
	a.hear(first)
	ctx, cancel := context.WithCancel(stream.Context())
	go func() {
		// It ends with the stream, which ends with this call.
		defer cancel()
		a.listen()
	}()
	return a.speak(ctx)
}

// attending is one entry's stream.
type attending struct {
	c      *Control
	stream attendStream
	number uint64
	entry  *schema.RosterEntry
	// mu guards sent: what each word tells that the entry has not said to have taken,
	// the oldest first.
	mu   sync.Mutex
	sent []sentWord

	// waiting holds the latest targets that requests wait for at the entry, until
	// speak takes them.
	waiting chan []*schema.ModelDemand

	// The fields below belong to speak.
	revision uint64
	roster   uint64
	settled  bool
	members  string
	sequence uint64
	// wants are the targets that requests wait for, by the entry's last word, and
	// asked is set until they are answered with forecasts.
	wants []*schema.ModelDemand
	asked bool
	// due is set when the entry is to be told the engines' loads.
	due bool
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
	far      roster.Told
}

// sentMost bounds the words that are remembered: an entry confirms with each of its own,
// three a second at the least, and the leader speaks a hundred times a second at the most.
const sentMost = 256

// note remembers how far a word tells the entry.
func (a *attending) note(sequence uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.sent) >= sentMost {
		// What is dropped is confirmed by a later word.
		a.sent = a.sent[1:]
	}
	a.sent = append(a.sent, sentWord{sequence, roster.Told{Change: a.roster, Revision: a.revision}})
}

// confirm notes how far the entry is by its own word. That a word was written to the
// stream says nothing: a leader that loses power a moment later never sent it, and
// whoever was told that all entries know would be wrong.
func (a *attending) confirm(taken uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.sent) > 0 && a.sent[0].sequence <= taken {
		a.c.roster.Told(a.number, a.entry.GetHost(), a.sent[0].far)
		a.sent = a.sent[1:]
	}
}

func (a *attending) hear(news *schema.EntryNews) {
	host := a.entry.GetHost()
	a.confirm(news.GetTaken())
	a.c.roster.Hear(a.number, host, news.GetStopping())
	if news.GetLoadsTold() {
		a.c.roster.Load(a.number, host, news.GetLoads())
	}
	a.c.driver.Demand(host, news.GetDemands())
	if len(news.GetDemands()) == 0 {
		return
	}
	var waiting []*schema.ModelDemand
	for _, d := range news.GetDemands() {
		if d.GetWaiting() > 0 {
			waiting = append(waiting, d)
		}
	}
	// The latest word replaces one that speak has not come to.
	select {
	case <-a.waiting:
	default:
	}
	a.waiting <- waiting
}

// speak tells the entry what changes. The first word holds everything.
func (a *attending) speak(ctx context.Context) error {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	a.due = true
	for {
		if !a.c.group.Status().Current {
			return nil
		}
		known, changed := a.c.group.Ledger().Changed(), a.c.roster.Changed()
		news := a.news()
		if a.asked {
			news.Forecasts, a.asked = a.c.driver.Forecasts(a.wants), false
		}
		if a.due {
			news.Loads, a.due = a.c.roster.Loads(), false
		}
		a.note(news.GetSequence())
		if err := a.stream.Send(news); err != nil {
			return errors.Newf("tell entry: %w", err)
		}
		if !a.rest(ctx, ticker, known, changed) {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(gatherLeast):
		}
	}
}

// rest waits until another word is due: at once where callers of the entry wait
// for what has changed or ask when it will be there, else when changes have been
// gathered. It returns false when there is no entry to tell any more.
func (a *attending) rest(ctx context.Context, ticker *time.Ticker, known, changed <-chan struct{}) bool {
	gather := time.NewTimer(gatherFor(a.c.roster.EntryCount()))
	defer gather.Stop()
	gathered, pending := false, false
	for !gathered || !pending {
		select {
		case <-ctx.Done():
			return false
		case <-a.c.stop:
			return false
		case a.wants = <-a.waiting:
			if a.asked = len(a.wants) > 0; a.asked {
				return true
			}
		case <-ticker.C:
			a.due = true
			return true
		case <-gather.C:
			gathered = true
		case <-known:
			known, pending = nil, true
		case <-changed:
			// A stream without waiting callers is not woken by each change.
			changed, pending = nil, true
			if len(a.wants) > 0 {
				changed = a.c.roster.Changed()
				if a.c.roster.Brings(a.roster, a.wants) {
					return true
				}
			}
		}
	}
	return true
}

func (a *attending) news() *schema.LeaderNews {
	a.sequence++
	news := &schema.LeaderNews{Sequence: a.sequence}
	news.Entries = a.c.roster.Entries(a.roster)
	news.Servers, a.roster = a.c.roster.Since(a.roster)
	// What entries are not told counts as told: the orders' holders would be looked
	// through for every word.
	news.Changes, a.revision = a.c.changes.since(a.c.group.Ledger(), a.revision)
	if !a.settled && a.c.roster.Settled() {
		news.Settled, a.settled = true, true
	}
	if addresses := a.c.addresses(); strings.Join(addresses, " ") != a.members {
		a.members = strings.Join(addresses, " ")
		news.ControlAddresses = addresses
	}
	// A word that nobody waits for is confirmed with the entry's next one: each that is
	// confirmed at once costs the leader another 60 µs for each entry.
	news.Confirm = a.c.roster.Awaited()
	return news
}

func (c *Control) addresses() []string {
	var out []string
	for _, m := range c.group.Status().Membership.GetMembers() {
		out = append(out, m.GetAddress())
	}
	return out
}

// forEntries keeps what entries need of the records: the routes, the pools and
// the configuration's head without the operator's text.
func forEntries(c *schema.Changes) *schema.Changes {
	out := &schema.Changes{Revision: c.GetRevision(), Whole: c.GetWhole()}
	for _, rec := range c.GetRecords() {
		switch {
		case rec.GetKey() == ledger.ConfigurationKey:
			out.Records = append(out.Records, withoutDocument(rec))
		case ledger.IsRouting(rec.GetKey()):
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
		Configuration: &schema.Configuration{Version: head.GetVersion(), Limits: head.GetLimits()},
	}}
}
