// Package gossip exchanges evidence on harmful requests directly between entries, so that it reaches an
// entry that is cut off from all control hosts, and adds up while nobody leads.
//
// Three ways work together. What an entry finds at the end of a server it sends to the collectors of the
// suspects, a few entries chosen by rendezvous hashing: there the evidence of several entries adds up.
// Suspects that are held back, or would be after one more server, are flooded: an entry that learns
// something new about one sends it to several others drawn by lot (rumor mongering; Demers et al.,
// "Epidemic Algorithms for Replicated Database Maintenance", 1987). And each entry compares its likely
// suspects with those of another one from time to time (anti-entropy), which repairs what the flood
// missed and joins groups of entries that were cut off from each other.
package gossip

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/schema"
)

const (
	// extraFanout is how many entries more than the logarithm of their number an entry sends each change
	// of a likely suspect to: a flood then reaches all with a probability of 95% (exp(-exp(-3))), and the
	// next comparison reaches the rest.
	extraFanout = 3
	// collectors is the number of entries that collect the evidence on a suspect, and maxCollectorTries
	// the number that is tried if some of them do not respond, as half of all may be out of reach.
	collectors        = 2
	maxCollectorTries = 16
	// maxFloodTries is how many times as many entries are tried if some do not respond.
	maxFloodTries = 3
	// hedgeDelay is the time without a response after which another entry is tried as well.
	hedgeDelay = 75 * time.Millisecond
	// roundInterval is the least time between two rounds, in which changes are batched.
	roundInterval = 50 * time.Millisecond
	// behindInterval is the time after which records are sent that a round had no room for.
	behindInterval = 250 * time.Millisecond
	// floodRecordsPerSecond and floodBurst limit the records of floods, each of which is sent ten times by
	// the largest fleets: some 12 KB a second.
	floodRecordsPerSecond = 12.0
	floodBurst            = 64
	// maxFloodAge is how long ago a server may have ended under a suspect that is flooded. A newly
	// started entry receives older ones as well, which all others know.
	maxFloodAge = 30 * time.Second
	// minSyncInterval is the mean time between two comparisons that an entry begins within
	// floodRepairTime of the last flood. Later it is syncIntervalPerEntry for each entry: all entries
	// together begin 20 a second.
	minSyncInterval      = time.Second
	floodRepairTime      = 10 * time.Second
	syncIntervalPerEntry = 50 * time.Millisecond
	// maxSyncRecords bounds the records that are sent after a comparison.
	maxSyncRecords = 32
	// exchangeTimeout bounds an exchange with another entry.
	exchangeTimeout = 300 * time.Millisecond
	// maxExchanges is the number of deliveries and comparisons in progress at once.
	maxExchanges = 64
	// logInterval is the least time between two log lines on entries that did not respond.
	logInterval = time.Second
)

// Config configures a Gossip. All fields are required.
type Config struct {
	// Self is the address at which other entries reach this one.
	Self string
	// Entries returns the addresses of the other entries, also of those that have left the leader's list
	// a short time ago: they may only have lost their control host.
	Entries func() []string
	// Suspects are those that this entry knows, and Merge merges those of other entries into them.
	Suspects *quarantine.SuspectSet
	Merge    func([]*schema.Suspect)
	// Exchange sends a message to the entry at an address and returns its response.
	Exchange func(ctx context.Context, address string, m *schema.SuspectExchange) (*schema.SuspectExchange, error)
	// Random returns a random number from 0 to n-1.
	Random func(n int) int
	Log    logr.Logger
}

// Gossip exchanges suspects with other entries until it is closed. All methods are safe for concurrent
// use.
type Gossip struct {
	cfg Config
	// found, flood and lastFlood belong to the goroutine of run.
	found, flood *quarantine.Reader
	// lastFlood is when this entry last sent or received a change of a likely suspect.
	lastFlood time.Time
	// slots has a token for each delivery or comparison in progress.
	slots     chan struct{}
	exchanges sync.WaitGroup
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}

	mu sync.Mutex
	// failed counts the exchanges that failed since the last log line on them, at failedLogged; guarded
	// by mu.
	failed       int
	failedLogged time.Time
	// isolated is set if no other entry responded to the last records sent, and none has sent any since;
	// guarded by mu.
	isolated bool
}

// New starts a Gossip.
func New(cfg Config) *Gossip {
	g := &Gossip{
		cfg: cfg, found: cfg.Suspects.Reader(quarantine.PartFound), slots: make(chan struct{}, maxExchanges), done: make(chan struct{}),
		flood: cfg.Suspects.NewReader(quarantine.ReaderConfig{
			Part: quarantine.PartLikely, RecordsPerSecond: floodRecordsPerSecond, Burst: floodBurst, MaxAge: maxFloodAge,
		}),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(g.done)
		defer g.exchanges.Wait()
		g.run()
	}()
	return g
}

// Close ends all exchanges.
func (g *Gossip) Close() {
	g.cancel()
	<-g.done
}

// Done returns a channel that is closed when the Gossip has stopped.
func (g *Gossip) Done() <-chan struct{} { return g.done }

func (g *Gossip) run() {
	syncTimer := time.NewTimer(g.syncInterval())
	defer syncTimer.Stop()
	behind := time.NewTicker(behindInterval)
	defer behind.Stop()
	for {
		select {
		case <-g.ctx.Done():
			return
		case <-syncTimer.C:
			syncTimer.Reset(g.syncInterval())
			g.compare()
			continue
		case <-behind.C:
			if !g.found.Behind() && !g.flood.Behind() {
				continue
			}
		case <-g.cfg.Suspects.Recorded():
		}
		g.collect(g.found.Next())
		if list := g.flood.Next(); len(list) > 0 {
			g.spread(list)
			syncTimer.Reset(g.syncInterval())
		}
		select {
		case <-g.ctx.Done():
			return
		case <-time.After(roundInterval):
		}
	}
}

// syncInterval returns the time until this entry next compares its suspects with another one's.
func (g *Gossip) syncInterval() time.Duration {
	interval := minSyncInterval
	if time.Since(g.lastFlood) > floodRepairTime {
		interval = max(interval, time.Duration(len(g.cfg.Entries()))*syncIntervalPerEntry)
	}
	return interval/2 + time.Duration(g.cfg.Random(int(interval)))
}

// collect sends records to the collectors of their suspects.
func (g *Gossip) collect(list []*schema.Suspect) {
	if len(list) == 0 {
		return
	}
	entries := append(g.cfg.Entries(), g.cfg.Self)
	byShard := map[int][]*schema.Suspect{}
	for _, s := range list {
		shard := shardOf(s.GetKey())
		byShard[shard] = append(byShard[shard], s)
	}
	for shard, some := range byShard {
		ranked, wanted := ranking(shard, entries), collectors
		if i := slices.Index(ranked, g.cfg.Self); i >= 0 {
			ranked = slices.Delete(ranked, i, i+1)
			if i < collectors {
				// This entry is one of them.
				wanted--
			}
		}
		ranked = ranked[:min(len(ranked), maxCollectorTries)]
		g.start(func() {
			if g.deliver(ranked, wanted, some) < min(wanted, len(ranked)) {
				g.logFailure("too few collectors responded")
			}
		})
	}
}

// spread sends records to several entries drawn by lot.
func (g *Gossip) spread(list []*schema.Suspect) {
	entries := g.cfg.Entries()
	if len(entries) == 0 {
		return
	}
	g.lastFlood = time.Now()
	g.shuffle(entries)
	fanout := int(math.Ceil(math.Log(float64(len(entries))))) + extraFanout
	g.start(func() { g.deliver(entries[:min(len(entries), maxFloodTries*fanout)], fanout, list) })
}

// deliver sends records to some of the entries, in their order, until a number of them has responded. It
// tries the next one if one fails, and some more each time that hedgeDelay has passed, twice as many as the
// time before. It returns how many have responded.
func (g *Gossip) deliver(entries []string, wanted int, list []*schema.Suspect) (reached int) {
	responded := make(chan bool, len(entries))
	started, pending := 0, 0
	tryMore := func(n int) {
		for ; n > 0 && started < len(entries); n-- {
			address := entries[started]
			started, pending = started+1, pending+1
			g.exchanges.Go(func() {
				responded <- g.exchange(address, &schema.SuspectExchange{Suspects: list}) != nil
			})
		}
	}
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	more := wanted
	for tryMore(wanted); reached < wanted && pending > 0 && g.ctx.Err() == nil; {
		select {
		case ok := <-responded:
			if pending--; ok {
				reached++
			} else {
				tryMore(1)
			}
		case <-hedge.C:
			tryMore(more)
			more *= 2
		}
	}
	if reached == 0 && started > 0 && g.ctx.Err() == nil {
		g.setIsolated(true)
	}
	return reached
}

// Isolated reports whether this entry reaches no other one, as far as it knows.
func (g *Gossip) Isolated() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isolated
}

func (g *Gossip) setIsolated(isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isolated != isolated {
		g.isolated = isolated
		g.cfg.Log.Info("other entries reached", "reached", !isolated)
	}
}

// compare compares the likely suspects with those of an entry drawn by lot, and exchanges some if they
// differ.
func (g *Gossip) compare() {
	digest := g.cfg.Suspects.LikelyDigest()
	entries := g.cfg.Entries()
	if digest == 0 || len(entries) == 0 {
		return
	}
	address := entries[g.cfg.Random(len(entries))]
	g.start(func() {
		reply := g.exchange(address, &schema.SuspectExchange{Digest: digest})
		if reply == nil || reply.GetDigest() == g.cfg.Suspects.LikelyDigest() {
			return
		}
		g.cfg.Merge(reply.GetSuspects())
		if reply.GetDigest() != g.cfg.Suspects.LikelyDigest() {
			g.exchange(address, &schema.SuspectExchange{Suspects: g.cfg.Suspects.Sample(maxSyncRecords)})
		}
	})
}

// Receive handles a message of another entry and returns the response.
func (g *Gossip) Receive(m *schema.SuspectExchange) *schema.SuspectExchange {
	g.setIsolated(false)
	g.cfg.Merge(m.GetSuspects())
	reply := &schema.SuspectExchange{}
	if m.GetDigest() != 0 {
		if reply.Digest = g.cfg.Suspects.LikelyDigest(); reply.GetDigest() != m.GetDigest() {
			reply.Suspects = g.cfg.Suspects.Sample(maxSyncRecords)
		}
	}
	return reply
}

// start calls f in a goroutine that Close waits for, unless too many exchanges are in progress: the
// next comparison makes up for them.
func (g *Gossip) start(f func()) {
	select {
	case g.slots <- struct{}{}:
	default:
		g.logFailure("too many exchanges in progress")
		return
	}
	g.exchanges.Go(func() {
		defer func() { <-g.slots }()
		f()
	})
}

// exchange sends a message and returns the response, nil if there is none.
func (g *Gossip) exchange(address string, m *schema.SuspectExchange) *schema.SuspectExchange {
	ctx, cancel := context.WithTimeout(g.ctx, exchangeTimeout)
	defer cancel()
	reply, err := g.cfg.Exchange(ctx, address, m)
	if err != nil {
		g.logFailure(err.Error())
		return nil
	}
	g.setIsolated(false)
	return reply
}

// logFailure logs that exchanges failed, at most once every logInterval.
func (g *Gossip) logFailure(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failed++
	if now := time.Now(); now.Sub(g.failedLogged) > logInterval {
		g.cfg.Log.Info("suspects not exchanged", "count", g.failed, "last-reason", reason)
		g.failed, g.failedLogged = 0, now
	}
}

func (g *Gossip) shuffle(entries []string) {
	for i := len(entries) - 1; i > 0; i-- {
		j := g.cfg.Random(i + 1)
		entries[i], entries[j] = entries[j], entries[i]
	}
}
