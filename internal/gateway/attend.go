package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/logbook"
	"fennelyard/internal/schema"
)

const (
	// speakEvery is the time between two words of an entry to the leader. It is
	// a quarter of the silence after which the leader leaves the entry out.
	speakEvery = 300 * time.Millisecond
	// speakPause is the least time between two words, for each entry that the
	// leader hears and 5 ms at least: demand that comes meanwhile goes in one word.
	// A word and its answer cost the leader 60 µs of a core (BenchmarkLeader), and it
	// spends 4% on all of them at most. A word after a longer silence leaves at once.
	speakPause      = 1500 * time.Microsecond
	speakPauseLeast = 5 * time.Millisecond
	// leaderSilence is how long the leader may say nothing; it speaks every
	// 300 ms, and the first word comes within a round trip.
	leaderSilence = 1200 * time.Millisecond
	// firstSilence is how long the first word of a host is waited for when all
	// control hosts are asked the first time: a host without power does not answer
	// at all, and each of them would otherwise keep callers waiting for a second.
	// It doubles with each time around, as a slow host needs longer.
	firstSilence = 150 * time.Millisecond
	nextPause    = 50 * time.Millisecond
)

// errNotLeader says that the host asked does not lead.
var errNotLeader = errors.New("the host does not lead")

// attendant keeps the stream to the leader.
type attendant struct {
	g *Gateway
	// The fields below belong to the goroutine of run.
	leader string
	next   int
	// around counts the times that all hosts were asked in vain.
	around int
	named  map[string]bool
	// found is set while a leader is followed; told is when it was last logged
	// that there is none.
	found bool
	told  time.Time
	// pruned is set once servers unknown to a settled leader were dropped.
	pruned bool

	mu sync.Mutex
	// known are the peer addresses of control hosts that were met; guarded by mu.
	known []string
	// heard is when the leader last spoke; guarded by mu.
	heard time.Time
	// taken is the sequence of the last word of the present stream that is in force
	// here.
	taken atomic.Uint64
}

func (a *attendant) run() {
	for {
		address := a.pick()
		if address != "" {
			err := a.attend(address)
			a.logEnd(address, err)
			if errors.Is(err, errNotLeader) {
				a.pauseOr(nextPause / 5)
				continue
			}
			a.leader = ""
			a.g.cfg.Dialer.Renew(address)
		}
		if !a.pauseOr(nextPause) {
			return
		}
		select {
		case <-a.g.stop:
			return
		default:
		}
	}
}

// logEnd logs that a leader was lost, and at most once a second that none is
// found: the control hosts are tried many times a second.
func (a *attendant) logEnd(address string, err error) {
	if a.found {
		a.found = false
		a.g.cfg.Log.Info("leader lost", "address", address, "error", logbook.Text(err))
		return
	}
	if time.Since(a.told) > time.Second {
		a.told = time.Now()
		a.g.cfg.Log.Info("no leader found", "asked", address, "error", logbook.Text(err))
	}
}

func (a *attendant) pauseOr(d time.Duration) bool {
	select {
	case <-a.g.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// pick returns the leader that was named last, or else the next control host.
func (a *attendant) pick() string {
	if a.leader != "" {
		return a.leader
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	all := slices.Concat(a.known, a.g.cfg.Seeds())
	slices.Sort(all)
	all = slices.Compact(all)
	if len(all) == 0 {
		return ""
	}
	a.next++
	if a.next%len(all) == 0 {
		a.around++
	}
	return all[a.next%len(all)]
}

// firstWordWait is how long a host's first word is waited for after all hosts
// were asked so many times in vain.
func firstWordWait(around int) time.Duration {
	for wait := firstSilence; ; wait *= 2 {
		if around--; around < 0 || wait >= leaderSilence {
			return min(wait, leaderSilence)
		}
	}
}

// attend follows one leader until it is lost.
func (a *attendant) attend(address string) error {
	client, err := a.g.cfg.Dialer.Client(address)
	if err != nil {
		return errors.Newf("reach leader: %w", err)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	over := make(chan struct{})
	defer close(over)
	go func() {
		// It ends with the stream or with the gateway.
		select {
		case <-a.g.stop:
			cancel(errors.New("stopping"))
		case <-over:
		}
	}()
	silence := time.AfterFunc(firstWordWait(a.around), func() { cancel(errors.New("silent")) })
	defer silence.Stop()
	stream, err := client.Attend(ctx)
	if err != nil {
		return errors.Newf("attend: %w", err)
	}
	a.named, a.pruned = map[string]bool{}, false
	a.taken.Store(0)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		a.speak(ctx, stream)
	}()
	defer wg.Wait()
	defer cancel(nil)
	for first := true; ; first = false {
		news, err := stream.Recv()
		if err != nil {
			return errors.Newf("hear leader: %v: %w", context.Cause(ctx), err)
		}
		silence.Reset(leaderSilence)
		if news.GetNotLeader() {
			a.leader = news.GetLeaderAddress()
			return errNotLeader
		}
		if first {
			a.leader, a.found, a.around = address, true, 0
			a.g.cfg.Log.Info("leader found", "address", address)
		}
		if err := a.take(news); err != nil {
			return errors.Newf("take word: %w", err)
		}
	}
}

func (a *attendant) speak(ctx context.Context, stream grpc.BidiStreamingClient[schema.EntryNews, schema.LeaderNews]) {
	news := &schema.EntryNews{Entry: a.g.cfg.Self, After: a.g.cfg.Replica.Revision()}
	ticker := time.NewTicker(speakEvery)
	defer ticker.Stop()
	for due := true; ; {
		news.Stopping = a.g.stopping.Load()
		news.Demands = a.g.asked.collect()
		news.Taken = a.taken.Load()
		if due {
			news.Loads, news.LoadsTold = a.g.fleet.loads(), true
		}
		if err := stream.Send(news); err != nil {
			return
		}
		news, due = &schema.EntryNews{}, false
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(speakPauseLeast, time.Duration(a.g.entryCount())*speakPause)):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			due = true
		case <-a.g.asked.urgent:
		}
	}
}

// changesOf returns the changes that the leader tells, nil: none.
func changesOf(news *schema.LeaderNews) (*schema.Changes, error) {
	if len(news.GetChanges()) == 0 {
		return nil, nil
	}
	c := &schema.Changes{}
	if err := proto.Unmarshal(news.GetChanges(), c); err != nil {
		return nil, errors.Newf("decode changes: %w", err)
	}
	return c, nil
}

func (a *attendant) take(news *schema.LeaderNews) error {
	a.mu.Lock()
	a.heard = time.Now()
	if known := news.GetControlAddresses(); len(known) > 0 {
		a.known = known
	}
	a.mu.Unlock()
	c, err := changesOf(news)
	if err != nil {
		// The leader takes them for told; only a new stream brings them again.
		return err
	}
	if c != nil {
		a.g.configure(c)
	}
	for _, s := range news.GetServers() {
		a.named[s.GetId()] = s.GetState() != schema.RosterState_ROSTER_STATE_GONE
	}
	prune := news.GetSettled() && !a.pruned
	if len(news.GetServers()) > 0 || prune {
		a.g.fleet.update(news.GetServers(), prune, a.named)
		a.pruned = a.pruned || prune
		a.g.logServers(news)
	}
	if l := news.GetLoads(); l != nil {
		a.g.fleet.hear(l.GetLoads())
	}
	if l := news.GetEntries(); l != nil {
		a.g.setEntries(l.GetEntries())
	}
	a.g.asked.forecast(news.GetForecasts(), time.Now())
	a.taken.Store(news.GetSequence())
	if news.GetConfirm() {
		a.g.speakSoon()
	}
	return nil
}

// age returns how long ago the leader last spoke.
func (a *attendant) age() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.heard.IsZero() {
		return -1
	}
	return time.Since(a.heard)
}
