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

// crashes is a series of crashes before a model's servers: ordinary requests come and run
// for a time, servers end of themselves, and a caller may repeat a harmful request. It
// belongs to one goroutine.
type crashes struct {
	random *rand.Rand
	clock  *clock
	book   *quarantine.SuspectSet
	// servers holds what runs at each in the order of its arrival, and starts counts its
	// incarnations.
	servers [][]*ordinary
	starts  []int
	// harmfulEnded is how many servers the harmful request has ended.
	harmfulEnded int
	requests     int
	// wronged are ordinary requests that were refused though they harm nobody.
	wronged int
}

// ordinary is a request that harms nobody. Its caller repeats it as long as it breaks off.
type ordinary struct {
	key  quarantine.Key
	left time.Duration
	runs int
}

const (
	seriesStep = 50 * time.Millisecond
	// repeatsMost is how often a caller repeats a request that breaks off.
	repeatsMost = 6
)

func (c *crashes) arrive(q *ordinary) {
	if held(c.book, q.key) {
		c.wronged++
		return
	}
	q.runs++
	q.left = time.Duration(50+c.random.Intn(1500)) * time.Millisecond
	server := c.random.Intn(len(c.servers))
	c.servers[server] = append(c.servers[server], q)
}

// end ends a server under what it runs; the callers of these repeat them.
func (c *crashes) end(server int, harmful *quarantine.Key) {
	id := strconv.Itoa(server) + "@" + strconv.Itoa(c.starts[server])
	c.starts[server]++
	if harmful != nil {
		c.book.RecordEnded(*harmful, id)
		c.harmfulEnded++
	}
	broken := c.servers[server]
	c.servers[server] = nil
	for _, q := range broken {
		c.book.RecordEnded(q.key, id)
	}
	for _, q := range broken {
		if q.runs <= repeatsMost {
			c.arrive(q)
		}
	}
}

func (c *crashes) step() {
	c.clock.at = c.clock.at.Add(seriesStep)
	for range c.random.Intn(3) {
		c.requests++
		c.arrive(&ordinary{key: keyOf(strconv.Itoa(c.requests))})
	}
	for i, running := range c.servers {
		c.servers[i] = slices.DeleteFunc(running, func(q *ordinary) bool {
			if q.left -= seriesStep; q.left <= 0 {
				c.book.Clear(q.key)
			}
			return q.left <= 0
		})
	}
}

// Servers end of themselves, one every two seconds on average, while ordinary requests run
// beside each other and are repeated as they break off; in every other series a caller also
// repeats a request under which each server ends. That one is held back after the third
// server. Of the ordinary ones fewer than one in a thousand is.
func TestSeriesOfCrashes(t *testing.T) {
	harmful := keyOf("harmful")
	requests, wronged, series := 0, 0, 0
	for i := range *crashSeries {
		random := rand.New(rand.NewSource(*crashFirstSeed + int64(i)))
		clock := &clock{time.Unix(1e9, 0)}
		c := &crashes{random: random, clock: clock, book: newBook(clock)}
		for range 2 + random.Intn(12) {
			c.servers = append(c.servers, nil)
			c.starts = append(c.starts, 0)
		}
		for range 600 {
			c.step()
			if random.Intn(40) == 0 {
				c.end(random.Intn(len(c.servers)), nil)
			}
			if i%2 == 0 && random.Intn(10) == 0 && !held(c.book, harmful) {
				c.end(random.Intn(len(c.servers)), &harmful)
			}
		}
		if i%2 == 0 {
			require.Equal(t, 3, c.harmfulEnded, "seed %d", *crashFirstSeed+int64(i))
		}
		requests, wronged = requests+c.requests, wronged+c.wronged
		if c.wronged > 0 {
			series++
		}
	}
	t.Logf("%d ordinary requests, %d refused, in %d of %d series", requests, wronged, series, *crashSeries)
	require.Less(t, float64(wronged), float64(requests)/1000)
}
