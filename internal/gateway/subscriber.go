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
	"fennelyard/internal/quarantine"
	"fennelyard/internal/roster"
	"fennelyard/internal/schema"
)

const (
	// speakEvery is the time between two words of an entry to its control host. It is
	// a quarter of the silence after which the host leaves the entry out.
	speakEvery = 300 * time.Millisecond
	// speakPause is the least time between two words, for each entry that the host
	// hears and speakPauseLeast at least: demand that comes meanwhile goes in one word, and
	// what a host spends on words does not grow with its entries. A word after a longer
	// silence leaves at once.
	speakPause      = 1500 * time.Microsecond
	speakPauseLeast = 5 * time.Millisecond
	// soonPauses is how many such pauses after a word another one leaves that says only
	// that more requests wait for what is known to be waited for.
	soonPauses = 4
	// hostSilence is how long the host may say nothing; it speaks every
	// 300 ms, and the first word comes within a round trip.
	hostSilence = 1200 * time.Millisecond
	// firstSilence is how long the first word of a host is waited for when all
	// control hosts are asked the first time: a host without power does not answer
	// at all, and each of them would otherwise keep callers waiting for a second.
	// It doubles with each time around, as a slow host needs longer.
	firstSilence = 150 * time.Millisecond
	// nextPause is the time between two hosts that are asked the first time around. It
	// doubles with each time around, three times at most: while no host has a leader, 300
	// entries would otherwise ask them 6,000 times a second.
	nextPause      = 50 * time.Millisecond
	pauseDoublings = 3
	pauseMost      = 400 * time.Millisecond
	// refusedPause is the time until another host is asked after one has refused: it has
	// kept this entry waiting already.
	refusedPause = 10 * time.Millisecond
	// moveSpread is the time over which entries move to a host that they prefer, each at a
	// moment of its own: a host that comes back is not met by a ninth of them at once.
	moveSpread = 2 * time.Second
)

var (
	// errNotLeader says that the host asked does not tell what the leader says.
	errNotLeader = errors.New("the host does not hear the leader")
	// errMove says that the entry prefers another host.
	errMove = errors.New("a control host that this entry prefers is there")
	// errEarlierTerm says that a host's word is of a leader before the last one heard of.
	errEarlierTerm = errors.New("the word is of an earlier leader")
	errHostSilent  = errors.New("the host is silent")
	errStopping    = errors.New("stopping")
)

// attendant keeps the stream to a control host, which tells what the leader says.
type attendant struct {
	g *Gateway
	// The fields below belong to the goroutine of run.
	hosts *controlHosts
	// moveAt is when to move to a host that is preferred, the zero time: there is none.
	moveAt time.Time
	// started is the entry's start in Unix milliseconds. Streams are numbered from there,
	// so that a later one has the greater number also after a restart.
	started uint64
	// found is set while a host is attended; told is when it was last logged
	// that there is none.
	found bool
	told  time.Time
	// known is how far the leader's roster is known; named are the servers that were named
	// since it was told whole, and pruned is set once all others were dropped.
	known  roster.Position
	named  map[string]bool
	pruned bool

	// streams counts the streams to control hosts.
	streams atomic.Uint64
	// attending is how many entries attend the host, by its last word.
	attending atomic.Int64
	// taken is the sequence of the last word of the present stream that is in force
	// here.
	taken atomic.Uint64

	mu sync.Mutex
	// host is the address of the host that is attended, "": none; guarded by mu.
	host string
	// heard is when the leader was last known to lead; guarded by mu.
	heard time.Time
	// confirmed is a moment as of which this entry's configuration was the newest that was
	// acknowledged; guarded by mu.
	confirmed time.Time
}

func newAttendant(g *Gateway) *attendant {
	return &attendant{
		g: g, hosts: newControlHosts(g.cfg.Self, g.cfg.Seeds), named: map[string]bool{},
		started: uint64(time.Now().UnixMilli()),
	}
}

func (a *attendant) run() {
	for {
		pause := a.hosts.pause()
		if address := a.hosts.next(time.Now()); address != "" {
			err := a.attend(address)
			a.logEnd(address, err)
			a.setHost("")
			pause = a.ended(address, err)
		}
		if !a.pauseOr(pause) {
			return
		}
		select {
		case <-a.g.stop:
			return
		default:
		}
	}
}

// ended notes why a stream ended, and returns how long to wait before the next one.
func (a *attendant) ended(address string, err error) time.Duration {
	if errors.Is(err, errMove) {
		return 0
	}
	lost := a.found
	a.found = false
	a.hosts.fail(address, time.Now())
	switch {
	case errors.Is(err, errNotLeader), errors.Is(err, errEarlierTerm):
		return max(a.hosts.pause()-nextPause, refusedPause)
	case errors.Is(err, errHostSilent):
		a.g.cfg.Dialer.Reset(address)
	}
	if lost {
		return refusedPause
	}
	return a.hosts.pause()
}

// logEnd logs that a host was lost, and at most once a second that none is
// found: the control hosts are tried many times a second.
func (a *attendant) logEnd(address string, err error) {
	if a.found {
		a.g.cfg.Log.Info("control host left", "address", address, "error", asynclog.ErrorText(err))
		return
	}
	if time.Since(a.told) > time.Second {
		a.told = time.Now()
		a.g.cfg.Log.Info("no control host found", "asked", address, "error", asynclog.ErrorText(err))
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

func (a *attendant) setHost(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.host = address
}

// firstWordWait is how long a host's first word is waited for after all hosts
// were asked so many times in vain.
func firstWordWait(around int) time.Duration {
	for wait := firstSilence; ; wait *= 2 {
		if around--; around < 0 || wait >= hostSilence {
			return min(wait, hostSilence)
		}
	}
}

// attend attends one host until it is lost, or another is preferred.
func (a *attendant) attend(address string) error {
	client, err := a.g.cfg.Dialer.Client(address)
	if err != nil {
		return errors.Newf("reach control host: %w", err)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	over := make(chan struct{})
	defer close(over)
	go func() {
		// It ends with the stream or with the gateway.
		select {
		case <-a.g.stop:
			cancel(errStopping)
		case <-over:
		}
	}()
	silence := time.AfterFunc(firstWordWait(a.hosts.around()), func() { cancel(errHostSilent) })
	defer silence.Stop()
	stream, err := client.Attend(ctx)
	if err != nil {
		return errors.Newf("attend: %w", err)
	}
	a.taken.Store(0)
	a.moveAt = time.Time{}
	first := &schema.EntryNews{
		Entry: a.g.cfg.Self, After: a.g.cfg.Replica.Revision(), Known: a.known.Message(), Stream: a.started + a.streams.Add(1),
		StartedMs: a.started,
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		a.speak(ctx, stream, first)
	}()
	defer wg.Wait()
	defer cancel(nil)
	for told := false; ; {
		news, err := stream.Recv()
		if err != nil {
			if cause := context.Cause(ctx); cause != nil {
				err = cause
			}
			return errors.Newf("hear control host: %w", err)
		}
		silence.Reset(hostSilence)
		if news.GetNotLeader() {
			a.refused(news)
			return errNotLeader
		}
		if news.GetWait() {
			continue
		}
		if !told {
			told = true
			a.begin(address, news)
		}
		if err := a.take(news); err != nil {
			return errors.Newf("take word: %w", err)
		}
		if a.moves(address, time.Now()) {
			return errMove
		}
	}
}

// begin notes that a host tells what the leader says.
func (a *attendant) begin(address string, news *schema.LeaderNews) {
	a.found = true
	a.hosts.found(address)
	a.setHost(address)
	a.g.cfg.Log.Info("control host attended", "address", address, "term", news.GetKnown().GetTerm(),
		"leader-age-ms", news.GetLeaderAgeMs(), "whole", news.GetWhole())
}

// refused takes in what a host says that tells nothing.
func (a *attendant) refused(news *schema.LeaderNews) {
	if known := news.GetControlAddresses(); len(known) > 0 {
		a.hosts.members = known
	}
	a.hosts.hint = news.GetLeaderAddress()
}

// moves reports whether to go to a host that this entry prefers, now.
func (a *attendant) moves(from string, now time.Time) bool {
	switch to := a.hosts.better(from, now); {
	case to == "":
		a.moveAt = time.Time{}
	case a.moveAt.IsZero():
		a.moveAt = now.Add(rand.N(moveSpread))
	case now.After(a.moveAt):
		a.g.cfg.Log.Info("control host preferred", "from", from, "to", to)
		return true
	}
	return false
}

func (a *attendant) speak(ctx context.Context, stream grpc.BidiStreamingClient[schema.EntryNews, schema.LeaderNews], news *schema.EntryNews) {
	ticker := time.NewTicker(speakEvery)
	defer ticker.Stop()
	suspects := a.g.guard.Suspects().Reader(quarantine.PartNoted)
	for due := true; ; {
		news.Suspects = suspects.Next()
		news.Stopping = a.g.stopping.Load()
		news.Demands = a.g.asked.collect()
		news.Taken = a.taken.Load()
		if due {
			news.Loads, news.LoadsTold = a.g.fleet.loads(), true
			news.TeamUses = a.g.quotas.Report(time.Now())
		}
		news.SentUs = uint64(time.Since(a.g.began).Microseconds())
		if err := stream.Send(news); err != nil {
			return
		}
		news = &schema.EntryNews{}
		var ok bool
		if due, ok = a.rest(ctx, ticker); !ok {
			return
		}
	}
}

// rest waits until another word to the host is due. due is set where that is for its beat;
// ok is false when there is nobody to tell any more.
func (a *attendant) rest(ctx context.Context, ticker *time.Ticker) (due, ok bool) {
	pause := max(speakPauseLeast, time.Duration(a.attending.Load())*speakPause)
	select {
	case <-ctx.Done():
		return false, false
	case <-time.After(pause):
	}
	soon := time.NewTimer((soonPauses - 1) * pause)
	defer soon.Stop()
	for asked, over := false, false; !asked || !over; {
		select {
		case <-ctx.Done():
			return false, false
		case <-ticker.C:
			return true, true
		case <-a.g.asked.urgent:
			return false, true
		case <-a.g.asked.soon:
			asked = true
		case <-soon.C:
			over = true
		}
	}
	return false, true
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
	known := roster.PositionOf(news.GetKnown())
	if known.Term < a.known.Term {
		return errEarlierTerm
	}
	a.mu.Lock()
	a.heard = time.Now().Add(-time.Duration(news.GetLeaderAgeMs()) * time.Millisecond)
	a.mu.Unlock()
	a.attending.Store(int64(news.GetAttending()))
	if members := news.GetControlAddresses(); len(members) > 0 {
		a.hosts.members = members
	}
	if l := news.GetHosts(); l != nil {
		a.hosts.named = l.GetHosts()
	}
	// Before the configuration, with which an entry that has just started begins to serve.
	a.g.guard.Suspects().Merge(news.GetSuspects(), true)
	c, err := changesOf(news)
	if err != nil {
		// The host takes them for told; only a new stream brings them again.
		return err
	}
	if c != nil {
		a.g.configure(c)
	}
	a.confirm(news)
	a.takeServers(news)
	a.known = known
	if l := news.GetLoads(); l != nil {
		a.g.fleet.hear(l.GetLoads())
	}
	if u := news.GetTeamUses(); u != nil {
		a.g.quotas.SetTotals(u)
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

// confirm notes as of when this entry's configuration is confirmed. The time runs from the
// message that the host answers, on this entry's clock: an answer that was long under way,
// or that a frozen entry reads late, proves as little as it should.
func (a *attendant) confirm(news *schema.LeaderNews) {
	echo := news.GetEchoUs()
	if echo == 0 {
		return
	}
	at := a.g.began.Add(time.Duration(echo)*time.Microsecond - time.Duration(news.GetConfirmedAgeMs())*time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.After(a.confirmed) {
		a.confirmed = at
	}
}

// confirmedAt is the moment as of which this entry's configuration is known to be the newest
// that was acknowledged; the zero time: never.
func (a *attendant) confirmedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.confirmed
}

// takeServers takes the servers in that a word names.
func (a *attendant) takeServers(news *schema.LeaderNews) {
	if news.GetWhole() {
		a.named, a.pruned = map[string]bool{}, false
	}
	for _, s := range news.GetServers() {
		a.named[s.GetId()] = s.GetState() != schema.RosterState_ROSTER_STATE_GONE
	}
	prune := news.GetSettled() && !a.pruned
	if len(news.GetServers()) == 0 && !prune {
		return
	}
	a.g.fleet.update(news.GetServers(), prune, a.named)
	a.pruned = a.pruned || prune
	a.g.logServers(news)
}

// attended returns the host that is attended, "": none.
func (a *attendant) attended() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.host
}

// age returns how long ago the leader was known to lead.
func (a *attendant) age() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.heard.IsZero() {
		return -1
	}
	return time.Since(a.heard)
}
