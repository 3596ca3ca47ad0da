package gossip_test

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/gossip"
	"fennelyard/internal/quarantine"
	"fennelyard/internal/schema"
)

// linkDelay is the one-way latency between entries.
const linkDelay = time.Millisecond

var errNoPath = errors.New("no path")

// entryGroup is a number of entries that exchange suspects over a simulated network.
type entryGroup struct {
	entries   []*groupEntry
	addresses map[string]*groupEntry
	// sent counts the bytes of all messages and replies.
	sent atomic.Int64

	mu sync.Mutex
	// cut reports whether two entries do not reach each other; guarded by mu.
	cut func(a, b *groupEntry) bool
}

type groupEntry struct {
	number  int
	address string
	set     *quarantine.SuspectSet
	gossip  *gossip.Gossip
}

// newEntryGroup starts entries that know each other.
func newEntryGroup(seed int64, n int) *entryGroup {
	g := &entryGroup{addresses: map[string]*groupEntry{}, cut: func(_, _ *groupEntry) bool { return false }}
	var all []string
	for i := range n {
		e := &groupEntry{number: i, address: fmt.Sprintf("10.0.0.%d:7000", i)}
		e.set = quarantine.NewSuspectSet(quarantine.SuspectSetConfig{Entry: e.address, Now: time.Now, Log: logr.Discard()})
		g.entries, g.addresses[e.address], all = append(g.entries, e), e, append(all, e.address)
	}
	for i, e := range g.entries {
		var mu sync.Mutex
		random := rand.New(rand.NewSource(seed + int64(i)))
		e.gossip = gossip.New(gossip.Config{
			Self: e.address, Suspects: e.set, Log: logr.Discard(),
			Entries: func() []string {
				return append(append([]string{}, all[:i]...), all[i+1:]...)
			},
			Merge: func(list []*schema.Suspect) { e.set.Merge(list, quarantine.SourceEntry) },
			Exchange: func(ctx context.Context, address string, m *schema.SuspectExchange) (*schema.SuspectExchange, error) {
				return g.exchange(ctx, e, address, m)
			},
			Random: func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return random.Intn(n)
			},
		})
	}
	return g
}

func (g *entryGroup) close() {
	for _, e := range g.entries {
		e.gossip.Close()
	}
}

func (g *entryGroup) setCut(cut func(a, b *groupEntry) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

func (g *entryGroup) reaches(a, b *groupEntry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.cut(a, b)
}

// exchange delivers a message; between entries that do not reach each other it hangs.
func (g *entryGroup) exchange(ctx context.Context, from *groupEntry, address string, m *schema.SuspectExchange) (*schema.SuspectExchange, error) {
	to := g.addresses[address]
	if !g.reaches(from, to) {
		<-ctx.Done()
		return nil, errNoPath
	}
	time.Sleep(linkDelay)
	g.sent.Add(int64(proto.Size(m)))
	reply := to.gossip.Receive(m)
	g.sent.Add(int64(proto.Size(reply)))
	time.Sleep(linkDelay)
	return reply, nil
}

// accuse records at an entry that a server ended under a request.
func (g *entryGroup) accuse(entry int, target, server string) {
	g.entries[entry].set.RecordEnded(keyOf(target), server)
}

func keyOf(target string) quarantine.Key { return quarantine.Request{Target: target}.Key() }

// holders returns how many of some entries hold a request back.
func (g *entryGroup) holders(target string, entries []*groupEntry) (n int) {
	for _, e := range entries {
		if _, held := e.set.HeldBack(keyOf(target)); held {
			n++
		}
	}
	return n
}

// awaitHolders waits until all of some entries hold a request back, and returns how long that took.
func (g *entryGroup) awaitHolders(t *testing.T, target string, entries []*groupEntry, limit time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for g.holders(target, entries) < len(entries) {
		require.Less(t, time.Since(start), limit, "%d of %d entries hold it back", g.holders(target, entries), len(entries))
		time.Sleep(time.Millisecond)
	}
	return time.Since(start)
}

// Three entries have one server each against a request, and no control host is there: the evidence does
// not add up, or does not reach all.
func TestEvidenceReachesAllEntriesWithoutControlHosts(t *testing.T) {
	for _, n := range []int{3, 24, 68, 291, 640} {
		t.Run(fmt.Sprint(n, " entries"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newEntryGroup(1, n)
				defer g.close()
				time.Sleep(5 * time.Second)
				require.Zero(t, g.sent.Load(), "messages without any suspects")
				for i := range 3 {
					g.accuse(i, "/harmful", fmt.Sprint("s-", i))
					for k := range 40 {
						g.accuse(i, fmt.Sprint("/ran beside ", i, "/", k), fmt.Sprint("s-", i))
					}
					time.Sleep(20 * time.Millisecond)
				}
				took := g.awaitHolders(t, "/harmful", g.entries, 2*time.Second)
				time.Sleep(5 * time.Second)
				t.Logf("%d entries: held back everywhere after %s, %d bytes an entry", n, took, g.sent.Load()/int64(n))
				for k := range 40 {
					require.Zero(t, g.holders(fmt.Sprint("/ran beside 0/", k), g.entries))
				}
			})
		})
	}
}

// Half of the entries do not reach the other half: evidence must add up within each, whichever entries
// collect it, and both must come together when they reach each other again.
func TestHalvesComeTogether(t *testing.T) {
	for seed := range int64(20) {
		synctest.Test(t, func(t *testing.T) {
			g := newEntryGroup(seed, 68)
			defer g.close()
			random := rand.New(rand.NewSource(seed))
			random.Shuffle(len(g.entries), func(i, j int) { g.entries[i], g.entries[j] = g.entries[j], g.entries[i] })
			half := map[*groupEntry]bool{}
			for _, e := range g.entries[:34] {
				half[e] = true
			}
			g.setCut(func(a, b *groupEntry) bool { return half[a] != half[b] })
			for i := range 3 {
				g.accuse(i, "/one", fmt.Sprint("s-", i))
				time.Sleep(300 * time.Millisecond)
			}
			g.awaitHolders(t, "/one", g.entries[:34], 2*time.Second)
			require.Zero(t, g.holders("/one", g.entries[34:]))
			g.setCut(func(_, _ *groupEntry) bool { return false })
			g.awaitHolders(t, "/one", g.entries, 6*time.Second)
			// An entry clears it: that must reach all as well.
			require.True(t, g.entries[50].set.Clear(keyOf("/one")))
			start := time.Now()
			for g.holders("/one", g.entries) > 0 {
				require.Less(t, time.Since(start), 6*time.Second)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

// A fifth of the entries have stopped, those that collect the evidence among them.
func TestEvidenceAddsUpWithoutSomeCollectors(t *testing.T) {
	for seed := range int64(20) {
		synctest.Test(t, func(t *testing.T) {
			g := newEntryGroup(seed, 30)
			defer g.close()
			random := rand.New(rand.NewSource(seed))
			stopped := map[*groupEntry]bool{}
			for len(stopped) < 6 {
				stopped[g.entries[3+random.Intn(27)]] = true
			}
			g.setCut(func(a, b *groupEntry) bool { return stopped[a] || stopped[b] })
			var running []*groupEntry
			for _, e := range g.entries {
				if !stopped[e] {
					running = append(running, e)
				}
			}
			for i := range 3 {
				g.accuse(i, "/harmful", fmt.Sprint("s-", i))
			}
			g.awaitHolders(t, "/harmful", running, 5*time.Second)
		})
	}
}

// A hundred requests are accused by each of a dozen servers that end within a second: entries must not
// send more than their share of a host's 18 KB a second for control, and the harmful one must not wait
// behind the others.
func TestFloodsStayWithinTheRate(t *testing.T) {
	const seconds = 20
	for _, n := range []int{24, 68} {
		t.Run(fmt.Sprint(n, " entries"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newEntryGroup(1, n)
				defer g.close()
				for server := range 12 {
					for k := range 100 {
						g.accuse((server+k)%n, fmt.Sprint("/popular ", k%10, "/", k/10*server), fmt.Sprint("s-", server))
					}
					if server < 3 {
						g.accuse(server, "/harmful", fmt.Sprint("s-", server))
					}
					time.Sleep(80 * time.Millisecond)
				}
				g.awaitHolders(t, "/harmful", g.entries, 3*time.Second)
				time.Sleep(seconds * time.Second)
				t.Logf("%d bytes a second an entry", g.sent.Load()/int64(n)/seconds)
				require.Less(t, g.sent.Load()/int64(n)/seconds, int64(12<<10))
			})
		})
	}
}

// Half of the entries hang, those among them that would collect the evidence: waiting for each of them in turn, the
// others would hold the request back seconds after its third server.
func TestEvidenceDoesNotWaitForSilentCollectors(t *testing.T) {
	for seed := range int64(20) {
		synctest.Test(t, func(t *testing.T) {
			g := newEntryGroup(seed, 40)
			defer g.close()
			random := rand.New(rand.NewSource(seed))
			silent := map[*groupEntry]bool{}
			for len(silent) < 20 {
				silent[g.entries[3+random.Intn(37)]] = true
			}
			g.setCut(func(a, b *groupEntry) bool { return silent[a] || silent[b] })
			var running []*groupEntry
			for _, e := range g.entries {
				if !silent[e] {
					running = append(running, e)
				}
			}
			for i := range 3 {
				g.accuse(i, "/harmful", fmt.Sprint("s-", i))
			}
			time.Sleep(300 * time.Millisecond)
			// A few are left to the next comparison.
			require.GreaterOrEqual(t, g.holders("/harmful", running), len(running)*3/4, "seed %d", seed)
		})
	}
}

// More records than a message holds, and nothing happens after: the rest must be sent all the same.
func TestRecordsWithoutRoomAreSentLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newEntryGroup(1, 3)
		defer g.close()
		const suspects = 400
		for k := range suspects {
			g.accuse(0, fmt.Sprint("/", k), "s-0")
		}
		time.Sleep(10 * time.Second)
		received := 0
		for k := range suspects {
			if g.entries[1].set.UnclearedCount(keyOf(fmt.Sprint("/", k))) > 0 || g.entries[2].set.UnclearedCount(keyOf(fmt.Sprint("/", k))) > 0 {
				received++
			}
		}
		require.Equal(t, suspects, received)
	})
}
