package quarantine_test

import (
	"fmt"
	"math/rand"
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/schema"
)

// clock is a time that a test sets.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newBook(c *clock) *quarantine.SuspectSet {
	return quarantine.NewSuspectSet(quarantine.SuspectSetConfig{Now: c.now, Log: logr.Discard()})
}

func keyOf(target string) quarantine.Key { return quarantine.Request{Target: target}.Key() }

func held(b *quarantine.SuspectSet, key quarantine.Key) bool {
	left, yes := b.HeldBack(key)
	return yes && left > 0
}

// Three servers are enough, counted once each however many attempts broke off there; two
// are not, as what runs beside a harmful request meets them too.
func TestThreeServersAreEnough(t *testing.T) {
	for name, x := range map[string]struct {
		servers []string
		held    bool
	}{
		"none":                     {nil, false},
		"two":                      {[]string{"a", "b"}, false},
		"two, many attempts":       {[]string{"a", "a", "a", "b"}, false},
		"three":                    {[]string{"a", "b", "c"}, true},
		"two starts of one server": {[]string{"a@1", "a@2", "b"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBook(&clock{time.Unix(1e9, 0)})
			for _, s := range x.servers {
				b.RecordEnded(keyOf("/1"), s)
			}
			require.Equal(t, x.held, held(b, keyOf("/1")))
			require.False(t, held(b, keyOf("/2")))
		})
	}
}

// A request that runs to its end somewhere does not end servers: it only stood beside one
// that does. What it meets later counts anew.
func TestRunToItsEndClears(t *testing.T) {
	b := newBook(&clock{time.Unix(1e9, 0)})
	key := keyOf("/1")
	b.RecordEnded(key, "a")
	b.RecordEnded(key, "b")
	require.True(t, b.Clear(key))
	require.False(t, b.Clear(key))
	b.RecordEnded(key, "c")
	b.RecordEnded(key, "d")
	require.False(t, held(b, key))
	b.RecordEnded(key, "e")
	require.True(t, held(b, key))
	require.True(t, b.Clear(key))
	require.False(t, held(b, key))
}

// A request is held back for a time, which is what its caller is told. Then it may try
// once; where that ends one more server, it is held back for twice as long.
func TestHeldBackForABoundedTime(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	b, key := newBook(c), keyOf("/1")
	for i := range 3 {
		b.RecordEnded(key, strconv.Itoa(i))
	}
	first, yes := b.HeldBack(key)
	require.True(t, yes)
	c.at = c.at.Add(first - time.Millisecond)
	require.True(t, held(b, key))
	c.at = c.at.Add(2 * time.Millisecond)
	require.False(t, held(b, key))
	b.RecordEnded(key, "another")
	second, yes := b.HeldBack(key)
	require.True(t, yes)
	require.Equal(t, 2*first, second)
}

// Evidence of several hosts adds up, whoever is told first and however often: three entries
// that saw one server end each are as good as one that saw three.
func TestBooksComeTogether(t *testing.T) {
	for seed := range int64(300) {
		random := rand.New(rand.NewSource(seed))
		c := &clock{time.Unix(1e9, 0)}
		books := make([]*quarantine.SuspectSet, 4)
		for i := range books {
			books[i] = newBook(c)
		}
		servers := map[int]map[int]bool{}
		for range 30 {
			c.at = c.at.Add(time.Duration(random.Intn(1000)) * time.Millisecond)
			key, server := random.Intn(5), random.Intn(4)
			if servers[key] == nil {
				servers[key] = map[int]bool{}
			}
			servers[key][server] = true
			books[random.Intn(len(books))].RecordEnded(keyOf(fmt.Sprint(key)), fmt.Sprint(server))
			if random.Intn(3) == 0 {
				from, to := random.Intn(len(books)), random.Intn(len(books))
				words, _ := books[from].Since(0, quarantine.PartAll)
				books[to].Merge(words, random.Intn(2) == 0)
			}
		}
		for range 2 {
			for from := range books {
				words, _ := books[from].Since(0, quarantine.PartAll)
				for to := range books {
					books[to].Merge(words, true)
				}
			}
		}
		for i, b := range books {
			for key := range 5 {
				require.Equal(t, len(servers[key]) >= 3, held(b, keyOf(fmt.Sprint(key))), "seed %d, book %d, request %d", seed, i, key)
			}
		}
	}
}

// Told in a circle, nothing becomes news again and no suspicion becomes younger: words
// about an old one would else go round for ever, and hold it back without an end.
func TestWordsInACircleAreNoNews(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	one, two := newBook(c), newBook(c)
	for i := range 3 {
		one.RecordEnded(keyOf("/1"), strconv.Itoa(i))
	}
	before, _ := one.HeldBack(keyOf("/1"))
	words, _ := one.Since(0, quarantine.PartNoted)
	c.at = c.at.Add(time.Second)
	require.True(t, two.Merge(words, false))
	back, _ := two.Since(0, quarantine.PartAll)
	c.at = c.at.Add(time.Second)
	require.False(t, one.Merge(back, true))
	after, _ := one.HeldBack(keyOf("/1"))
	require.Equal(t, before-2*time.Second, after)
}

// Each part of a book goes to who needs it, once, and what is too much for a word comes
// with the next.
func TestPartsOfABook(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	b := newBook(c)
	for i := range 300 {
		b.RecordEnded(keyOf(strconv.Itoa(i)), "a")
	}
	for _, s := range []string{"b", "c"} {
		b.RecordEnded(keyOf("7"), s)
	}
	other := newBook(c)
	for i := range 3 {
		other.RecordEnded(keyOf("leader's"), strconv.Itoa(i))
	}
	words, _ := other.Since(0, quarantine.PartAll)
	require.True(t, b.Merge(words, true))

	total := 0
	at := uint64(0)
	for range 4 {
		var list []*schema.Suspect
		list, at = b.Since(at, quarantine.PartNoted)
		require.LessOrEqual(t, len(list), 256)
		total += len(list)
	}
	require.Equal(t, 300, total)
	list, at := b.Since(0, quarantine.PartHeld)
	require.Len(t, list, 2)
	list, _ = b.Since(at, quarantine.PartHeld)
	require.Empty(t, list)
	require.True(t, b.Clear(keyOf("7")))
	list, _ = b.Since(at, quarantine.PartHeld)
	require.Len(t, list, 1)
	key := keyOf("7")
	require.Equal(t, key[:], list[0].GetKey())
}

// A key of another length, as a later version might send it, is passed over.
func TestMalformedKeyIsPassedOver(t *testing.T) {
	b := newBook(&clock{time.Unix(1e9, 0)})
	word := &schema.Suspect{Key: []byte{1, 2}, Ended: []*schema.EndedServer{{Server: "a"}}}
	require.False(t, b.Merge([]*schema.Suspect{proto.Clone(word).(*schema.Suspect)}, true))
	require.True(t, b.Empty())
}

// Servers end under more requests than are remembered. Those that have ended most are kept:
// a flood of requests that met one server each pushes out none that is held back.
func TestFloodPushesOutNothingHeldBack(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	b := newBook(c)
	for i := range 3 {
		b.RecordEnded(keyOf("harmful"), strconv.Itoa(i))
	}
	for i := range 20_000 {
		c.at = c.at.Add(time.Millisecond)
		b.RecordEnded(keyOf(fmt.Sprint("flood ", i)), "a")
	}
	require.True(t, held(b, keyOf("harmful")))
	size := 0
	for at := uint64(0); ; {
		list, to := b.Since(at, quarantine.PartAll)
		if len(list) == 0 {
			break
		}
		size, at = size+len(list), to
	}
	require.LessOrEqual(t, size, 4096)
}
