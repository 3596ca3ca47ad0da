package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/schema"
)

// crashWave returns the evidence that entries report when servers end together, in the order in
// which it arrives: for each request that such a server ran, what it shares with others.
func crashWave(random *rand.Rand, servers, requestsEach int) [][]*schema.Suspect {
	const models, adaptersEach = 120, 20
	var out [][]*schema.Suspect
	for server := range servers {
		name := fmt.Sprint("i-", server)
		suspect := func(scope quarantine.Scope, depth int, weak bool, id ...any) *schema.Suspect {
			key := keyOf(fmt.Sprint(scope, id))
			return &schema.Suspect{
				Key: key[:], Scope: schema.SuspectScope(scope), Depth: uint32(depth), AgeMs: 10,
				Ended: []*schema.EndedServer{{Server: name, AgeMs: 10, Weak: weak}},
			}
		}
		for request := range requestsEach {
			model, adapter := random.IntN(models), random.IntN(adaptersEach)
			wide, narrow := random.IntN(3), random.IntN(51)
			out = append(out, []*schema.Suspect{
				suspect(quarantine.ScopeRequest, 0, false, server, request),
				suspect(quarantine.ScopeModel, 0, true, model),
				suspect(quarantine.ScopeAdapter, 0, random.IntN(2) == 0, model, adapter),
				suspect(quarantine.ScopePart, 0, random.IntN(2) == 0, model, wide),
				suspect(quarantine.ScopePart, 1, random.IntN(4) == 0, model, narrow),
				suspect(quarantine.ScopePartAtModel, 0, random.IntN(2) == 0, model, wide),
				suspect(quarantine.ScopePartAtModel, 1, random.IntN(4) == 0, model, narrow),
				suspect(quarantine.ScopeSession, 2, false, server, request),
			})
		}
	}
	random.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// A control host with 33 entries falls behind after a quarter of 240 servers has ended, as each
// update to each of its entries and hosts looks through thousands of records.
func TestCrashWaveIsReadWithoutLookingThroughAllRecords(t *testing.T) {
	const (
		hosts, entries = 9, 33
		// A change is looked at by each reader once among the likely suspects and once among all
		// others; a record may change again before it is read.
		examinationsPerChange = 4 * (hosts + entries)
	)
	c := &clock{time.Unix(1e9, 0)}
	set := newSuspectSet(c)
	var readers []*quarantine.Reader
	for range hosts {
		readers = append(readers, set.Reader(quarantine.PartAll))
	}
	for range entries {
		readers = append(readers, set.Reader(quarantine.PartHeld))
	}
	changes, examined := 0, uint64(0)
	readAll := func() {
		before := set.Examined()
		for _, r := range readers {
			r.Next()
		}
		examined += set.Examined() - before
	}
	for i, report := range crashWave(rand.New(rand.NewPCG(1, 1)), 60, 25) {
		changes += len(report)
		set.Merge(report, quarantine.SourceEntry)
		c.current = c.current.Add(2 * time.Millisecond)
		if i%20 == 0 {
			readAll()
		}
	}
	for range 300 {
		c.current = c.current.Add(100 * time.Millisecond)
		readAll()
	}
	require.LessOrEqual(t, examined, uint64(changes*examinationsPerChange))
}

// A host that merges the evidence of hundreds of entries after a quarter of 240 servers has ended
// falls behind, as it judges all suspects anew with each message.
func TestCrashWaveIsJudgedWithinABudget(t *testing.T) {
	// At 100 ns each, 1% of a core.
	const examinationsPerSecond = 100e3
	c := &clock{time.Unix(1e9, 0)}
	set := newSuspectSet(c)
	start := c.current
	for _, report := range crashWave(rand.New(rand.NewPCG(1, 1)), 60, 25) {
		set.Merge(report, quarantine.SourceEntry)
		c.current = c.current.Add(2 * time.Millisecond)
	}
	// A burst of one second's budget is allowed beyond the rate.
	require.LessOrEqual(t, float64(set.Examined()), examinationsPerSecond*(c.current.Sub(start).Seconds()+1))
}

// More servers end under one prompt part than a record holds, and requests with it complete
// everywhere. Each host dropped other servers than its neighbours to make room, took those of the
// others for new ones, and all of them sent each other the record for as long as they ran.
func TestRecordsOfManyServersComeToRest(t *testing.T) {
	const (
		hosts, servers = 4, 60
		transit        = 20 * time.Millisecond
		rounds, quiet  = 400, 50
	)
	c := &clock{time.Unix(1e9, 0)}
	var sets []*quarantine.SuspectSet
	readers := map[[2]int]*quarantine.Reader{}
	for i := range hosts {
		sets = append(sets, newSuspectSet(c))
		for j := range hosts {
			if i != j {
				readers[[2]int{i, j}] = sets[i].Reader(quarantine.PartOwn)
			}
		}
	}
	part := quarantine.Accusation{Key: keyOf("part"), Scope: quarantine.ScopePart}
	lastChange := 0
	for round := range rounds {
		if round < servers {
			sets[round%hosts].Accuse(fmt.Sprint("i-", round), c.current, []quarantine.Accusation{part})
			sets[(round+1)%hosts].Clear(part.Key)
			lastChange = round
		}
		sent := map[int][][]*schema.Suspect{}
		for link, r := range readers {
			sent[link[1]] = append(sent[link[1]], r.Next())
		}
		c.current = c.current.Add(transit)
		for to, lists := range sent {
			for _, list := range lists {
				if sets[to].Merge(list, quarantine.SourceEntry) {
					lastChange = round
				}
			}
		}
	}
	require.Less(t, lastChange, rounds-quiet)
}

// A server that announces no start ends again under a part, long after a full record has dropped its
// first end: that is new evidence.
func TestServerThatWasDroppedCountsWhenItEndsAgain(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	set := newSuspectSet(c)
	part := quarantine.Accusation{Key: keyOf("part"), Scope: quarantine.ScopePart}
	for i := range 20 {
		set.Accuse(fmt.Sprint("i-", i), c.current, []quarantine.Accusation{part})
		c.current = c.current.Add(time.Second)
		set.Clear(part.Key)
	}
	c.current = c.current.Add(time.Minute)
	set.Accuse("i-0", c.current, []quarantine.Accusation{part})
	require.Equal(t, 1, set.UnclearedCount(part.Key))
}
