package quarantine_test

import (
	"flag"
	"math/rand"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/quarantine"
)

var (
	crashSeries    = flag.Int("crash-series", 300, "series of crashes to try")
	crashFirstSeed = flag.Int64("crash-first-seed", 1, "seed of the first series")
)

// crashSimulation simulates a series of crashes of a model's servers: ordinary requests
// arrive and run for some time, servers end by themselves, and a caller may repeat a
// harmful request. It is for use by one goroutine.
type crashSimulation struct {
	random   *rand.Rand
	clock    *clock
	suspects *quarantine.SuspectSet
	// servers holds the requests that run on each server in the order of arrival, and
	// starts counts the server's incarnations.
	servers [][]*harmlessRequest
	starts  []int
	// harmfulEnded is how many servers the harmful request has ended.
	harmfulEnded int
	requests     int
	// refused is the number of harmless requests that were refused.
	refused int
}

// harmlessRequest is a request that ends no servers. Its caller repeats it when it breaks
// off.
type harmlessRequest struct {
	key       quarantine.Key
	remaining time.Duration
	runs      int
}

const (
	simulationStep = 50 * time.Millisecond
	// maxRepeats is how often a caller repeats a request that breaks off.
	maxRepeats = 6
)

func (c *crashSimulation) start(r *harmlessRequest) {
	if isHeldBack(c.suspects, r.key) {
		c.refused++
		return
	}
	r.runs++
	r.remaining = time.Duration(50+c.random.Intn(1500)) * time.Millisecond
	server := c.random.Intn(len(c.servers))
	c.servers[server] = append(c.servers[server], r)
}

// endServer ends a server with the requests that it runs, and lets their callers repeat
// them.
func (c *crashSimulation) endServer(server int, harmful *quarantine.Key) {
	id := strconv.Itoa(server) + "@" + strconv.Itoa(c.starts[server])
	c.starts[server]++
	if harmful != nil {
		c.suspects.RecordEnded(*harmful, id)
		c.harmfulEnded++
	}
	broken := c.servers[server]
	c.servers[server] = nil
	for _, r := range broken {
		c.suspects.RecordEnded(r.key, id)
	}
	for _, r := range broken {
		if r.runs <= maxRepeats {
			c.start(r)
		}
	}
}

func (c *crashSimulation) step() {
	c.clock.current = c.clock.current.Add(simulationStep)
	for range c.random.Intn(3) {
		c.requests++
		c.start(&harmlessRequest{key: keyOf(strconv.Itoa(c.requests))})
	}
	for i, running := range c.servers {
		c.servers[i] = slices.DeleteFunc(running, func(r *harmlessRequest) bool {
			if r.remaining -= simulationStep; r.remaining <= 0 {
				c.suspects.Clear(r.key)
			}
			return r.remaining <= 0
		})
	}
}

// Servers end by themselves, one every two seconds on average, while ordinary requests run
// beside each other and are repeated when they break off. In every other series a caller
// also repeats a request that ends each server it runs on; it must be held back after the
// third server. Fewer than one in a thousand of the ordinary requests may be held back.
func TestSeriesOfCrashes(t *testing.T) {
	harmful := keyOf("harmful")
	requests, refused, series := 0, 0, 0
	for i := range *crashSeries {
		random := rand.New(rand.NewSource(*crashFirstSeed + int64(i)))
		clock := &clock{time.Unix(1e9, 0)}
		c := &crashSimulation{random: random, clock: clock, suspects: newSuspectSet(clock)}
		for range 2 + random.Intn(12) {
			c.servers = append(c.servers, nil)
			c.starts = append(c.starts, 0)
		}
		for range 600 {
			c.step()
			if random.Intn(40) == 0 {
				c.endServer(random.Intn(len(c.servers)), nil)
			}
			if i%2 == 0 && random.Intn(10) == 0 && !isHeldBack(c.suspects, harmful) {
				c.endServer(random.Intn(len(c.servers)), &harmful)
			}
		}
		if i%2 == 0 {
			require.Equal(t, 3, c.harmfulEnded, "seed %d", *crashFirstSeed+int64(i))
		}
		requests, refused = requests+c.requests, refused+c.refused
		if c.refused > 0 {
			series++
		}
	}
	t.Logf("%d ordinary requests, %d refused, in %d of %d series", requests, refused, series, *crashSeries)
	require.Less(t, float64(refused), float64(requests)/1000)
}
