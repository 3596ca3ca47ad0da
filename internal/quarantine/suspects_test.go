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

// clock is a manually set clock.
type clock struct{ current time.Time }

func (c *clock) now() time.Time { return c.current }

func newSuspectSet(c *clock) *quarantine.SuspectSet {
	return quarantine.NewSuspectSet(quarantine.SuspectSetConfig{Now: c.now, Log: logr.Discard()})
}

func keyOf(target string) quarantine.Key { return quarantine.Request{Target: target}.Key() }

func isHeldBack(set *quarantine.SuspectSet, key quarantine.Key) bool {
	remaining, held := set.HeldBack(key)
	return held && remaining > 0
}

// Three servers are enough to hold a request back, each counted once however many attempts
// broke off on it. Two are not, because an ordinary request may run beside a harmful one on
// two as well.
func TestHeldBackAfterThreeServers(t *testing.T) {
	for name, tt := range map[string]struct {
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
			set := newSuspectSet(&clock{time.Unix(1e9, 0)})
			for _, s := range tt.servers {
				set.RecordEnded(keyOf("/1"), s)
			}
			require.Equal(t, tt.held, isHeldBack(set, keyOf("/1")))
			require.False(t, isHeldBack(set, keyOf("/2")))
		})
	}
}

// A request that completes somewhere does not end servers; it only ran beside one that
// does. Servers that end later count anew.
func TestCompletedRequestIsCleared(t *testing.T) {
	set := newSuspectSet(&clock{time.Unix(1e9, 0)})
	key := keyOf("/1")
	set.RecordEnded(key, "a")
	set.RecordEnded(key, "b")
	require.True(t, set.Clear(key))
	require.False(t, set.Clear(key))
	set.RecordEnded(key, "c")
	set.RecordEnded(key, "d")
	require.False(t, isHeldBack(set, key))
	set.RecordEnded(key, "e")
	require.True(t, isHeldBack(set, key))
	require.True(t, set.Clear(key))
	require.False(t, isHeldBack(set, key))
}

// A request is held back for a limited time, which its caller is sent. Then it may try
// once; if that ends another server, it is held back for twice as long.
func TestHeldBackForABoundedTime(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	set, key := newSuspectSet(c), keyOf("/1")
	for i := range 3 {
		set.RecordEnded(key, strconv.Itoa(i))
	}
	first, held := set.HeldBack(key)
	require.True(t, held)
	c.current = c.current.Add(first - time.Millisecond)
	require.True(t, isHeldBack(set, key))
	c.current = c.current.Add(2 * time.Millisecond)
	require.False(t, isHeldBack(set, key))
	set.RecordEnded(key, "another")
	second, held := set.HeldBack(key)
	require.True(t, held)
	require.Equal(t, 2*first, second)
}

// The evidence of several hosts adds up in any order and with any number of repetitions:
// three entries that saw one server end each count as much as one that saw three.
func TestSuspectSetsConverge(t *testing.T) {
	for seed := range int64(300) {
		random := rand.New(rand.NewSource(seed))
		c := &clock{time.Unix(1e9, 0)}
		sets := make([]*quarantine.SuspectSet, 4)
		for i := range sets {
			sets[i] = newSuspectSet(c)
		}
		servers := map[int]map[int]bool{}
		for range 30 {
			c.current = c.current.Add(time.Duration(random.Intn(1000)) * time.Millisecond)
			key, server := random.Intn(5), random.Intn(4)
			if servers[key] == nil {
				servers[key] = map[int]bool{}
			}
			servers[key][server] = true
			sets[random.Intn(len(sets))].RecordEnded(keyOf(fmt.Sprint(key)), fmt.Sprint(server))
			if random.Intn(3) == 0 {
				from, to := random.Intn(len(sets)), random.Intn(len(sets))
				records, _ := sets[from].Since(0, quarantine.PartAll)
				sets[to].Merge(records, []quarantine.Source{quarantine.SourceControl, quarantine.SourceEntry}[random.Intn(2)])
			}
		}
		for range 2 {
			for from := range sets {
				records, _ := sets[from].Since(0, quarantine.PartAll)
				for to := range sets {
					sets[to].Merge(records, quarantine.SourceControl)
				}
			}
		}
		for i, set := range sets {
			for key := range 5 {
				require.Equal(t, len(servers[key]) >= 3, isHeldBack(set, keyOf(fmt.Sprint(key))), "seed %d, set %d, request %d", seed, i, key)
			}
		}
	}
}

// Records sent in a circle must neither count as new nor become younger; otherwise an old
// one would circulate and hold its request back for ever.
func TestMergedRecordsAreNotNewAgain(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	one, two := newSuspectSet(c), newSuspectSet(c)
	for i := range 3 {
		one.RecordEnded(keyOf("/1"), strconv.Itoa(i))
	}
	before, _ := one.HeldBack(keyOf("/1"))
	records, _ := one.Since(0, quarantine.PartOwn)
	c.current = c.current.Add(time.Second)
	require.True(t, two.Merge(records, quarantine.SourceEntry))
	back, _ := two.Since(0, quarantine.PartAll)
	c.current = c.current.Add(time.Second)
	require.False(t, one.Merge(back, quarantine.SourceControl))
	after, _ := one.HeldBack(keyOf("/1"))
	require.Equal(t, before-2*time.Second, after)
}

// Each part of a set is sent once to those that need it. Records beyond the limit of a
// message follow in the next one.
func TestPartsOfASuspectSet(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	set := newSuspectSet(c)
	for i := range 300 {
		set.RecordEnded(keyOf(strconv.Itoa(i)), "a")
	}
	for _, s := range []string{"b", "c"} {
		set.RecordEnded(keyOf("7"), s)
	}
	other := newSuspectSet(c)
	for i := range 3 {
		other.RecordEnded(keyOf("leader's"), strconv.Itoa(i))
	}
	records, _ := other.Since(0, quarantine.PartAll)
	require.True(t, set.Merge(records, quarantine.SourceControl))

	total := 0
	change := uint64(0)
	for range 4 {
		var list []*schema.Suspect
		list, change = set.Since(change, quarantine.PartOwn)
		require.LessOrEqual(t, len(list), 256)
		total += len(list)
	}
	require.Equal(t, 300, total)
	list, change := set.Since(0, quarantine.PartHeld)
	require.Len(t, list, 2)
	list, _ = set.Since(change, quarantine.PartHeld)
	require.Empty(t, list)
	require.True(t, set.Clear(keyOf("7")))
	list, _ = set.Since(change, quarantine.PartHeld)
	require.Len(t, list, 1)
	key := keyOf("7")
	require.Equal(t, key[:], list[0].GetKey())
}

// A key of another length, as a later version might send it, is ignored.
func TestMalformedKeyIsIgnored(t *testing.T) {
	set := newSuspectSet(&clock{time.Unix(1e9, 0)})
	suspect := &schema.Suspect{Key: []byte{1, 2}, Ended: []*schema.EndedServer{{Server: "a"}}}
	require.False(t, set.Merge([]*schema.Suspect{proto.Clone(suspect).(*schema.Suspect)}, quarantine.SourceControl))
	require.True(t, set.Empty())
}

// Servers end under more requests than the set can hold. Those with the most ended servers
// must be kept: a flood of requests that met one server each must not evict one that is
// held back.
func TestFloodEvictsNothingHeldBack(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	set := newSuspectSet(c)
	for i := range 3 {
		set.RecordEnded(keyOf("harmful"), strconv.Itoa(i))
	}
	for i := range 20_000 {
		c.current = c.current.Add(time.Millisecond)
		set.RecordEnded(keyOf(fmt.Sprint("flood ", i)), "a")
	}
	require.True(t, isHeldBack(set, keyOf("harmful")))
	size := 0
	for change := uint64(0); ; {
		list, to := set.Since(change, quarantine.PartAll)
		if len(list) == 0 {
			break
		}
		size, change = size+len(list), to
	}
	require.LessOrEqual(t, size, 4096)
}
