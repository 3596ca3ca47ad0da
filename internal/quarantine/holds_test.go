package quarantine_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/quarantine"
)

// accusationsOf parses what is accused, separated by spaces: a part is "ID/DEPTH", a part at a model
// "ID@MODEL/DEPTH", others are "model:NAME", "adapter:NAME" and "team:NAME", and "request:N"
// stands for a request itself; "?" marks weak evidence.
func accusationsOf(text string) []quarantine.Accusation {
	var out []quarantine.Accusation
	for _, field := range strings.Fields(text) {
		weak := strings.HasSuffix(field, "?")
		field = strings.TrimSuffix(field, "?")
		if name, ok := strings.CutPrefix(field, "request:"); ok {
			out = append(out, quarantine.Accusation{Key: keyOf(name)})
			continue
		}
		c := carrierOf(field)
		out = append(out, quarantine.Accusation{Key: c.Key(), Scope: c.Scope, Depth: c.Depth, Weak: weak})
	}
	return out
}

func carrierOf(text string) quarantine.Carrier {
	for prefix, scope := range map[string]quarantine.Scope{
		"model:": quarantine.ScopeModel, "adapter:": quarantine.ScopeAdapter, "team:": quarantine.ScopeTeam,
	} {
		if name, ok := strings.CutPrefix(text, prefix); ok {
			return quarantine.Carrier{Scope: scope, Name: name}
		}
	}
	name, depth, _ := strings.Cut(text, "/")
	c := quarantine.Carrier{Scope: quarantine.ScopePart, Name: name}
	_, _ = fmt.Sscan(depth, &c.Depth)
	if id, model, ok := strings.Cut(name, "@"); ok {
		c.Scope, c.Name, c.Within = quarantine.ScopePartAtModel, id, model
	}
	return c
}

// Servers end one after the other, each with what ran there. Only what is common to the
// harmful requests and not to others may be held back.
func TestSharedSuspectsAreNarrowedDown(t *testing.T) {
	for name, tt := range map[string]struct {
		// ended is what ran at each server that ended, one second after the other.
		ended []string
		// cleared has what completed after the last of them.
		cleared string
		held    string
	}{
		"two servers are not enough":   {[]string{"first/0 bad/1", "first/0 bad/1"}, "", ""},
		"the deeper part of two":       {[]string{"first/0 bad/1 x/2", "first/0 bad/1 y/2", "first/0 bad/1 z/2"}, "", "bad/1"},
		"the first part":               {[]string{"bad/0 a/1 x/2", "bad/0 b/1 y/2", "bad/0 c/1 z/2"}, "", "bad/0"},
		"other requests run beside it": {[]string{"first/0 bad/1 good/1 a/2", "first/0 bad/1 good/1 b/2", "first/0 bad/1 c/2", "first/0 bad/1 good/1 d/2"}, "", "bad/1"},
		"a part that ran beside it is released by one more server": {
			[]string{"bad/1 good/2", "bad/1 good/2", "bad/1 good/2", "bad/1", "bad/1"}, "", "bad/1",
		},
		"two harmful parts behind one first part": {
			[]string{"first/0 bad/1", "first/0 worse/1", "first/0 bad/1", "first/0 worse/1", "first/0 bad/1", "first/0 worse/1"}, "", "bad/1 worse/1",
		},
		"two harmful parts that end two servers each": {[]string{"first/0 bad/1", "first/0 worse/1", "first/0 bad/1", "first/0 worse/1"}, "", "bad/1 worse/1"},
		"two harmful parts that once ran on the same server": {
			[]string{"first/0 bad/1", "first/0 bad/1", "first/0 bad/1 worse/1", "first/0 bad/1", "first/0 worse/1", "first/0 worse/1"}, "", "bad/1 worse/1",
		},
		"four servers, and a part ended two of them": {[]string{"first/0 a/1", "first/0 a/1", "first/0 b/1", "first/0 c/1"}, "", "first/0"},
		"three harmful parts behind one first part": {
			[]string{"first/0 a/1", "first/0 a/1", "first/0 a/1", "first/0 b/1", "first/0 b/1", "first/0 b/1", "first/0 c/1", "first/0 c/1", "first/0 c/1"}, "", "first/0 a/1 b/1 c/1",
		},
		"three harmful parts, and the first part has completed since": {
			[]string{"first/0 a/1", "first/0 a/1", "first/0 a/1", "first/0 b/1", "first/0 b/1", "first/0 b/1", "first/0 c/1", "first/0 c/1", "first/0 c/1"}, "first/0", "a/1 b/1 c/1",
		},
		"harmful at one model, as far as is known": {
			[]string{"bad@m/1 bad/1 model:m", "bad@m/1 bad/1 model:m", "bad@m/1 bad/1 model:m"}, "", "bad/1",
		},
		"harmful at one model alone": {
			[]string{"bad@m/1 bad/1 model:m", "bad@m/1 bad/1 model:m", "bad@m/1 bad/1 model:m"}, "bad/1", "bad@m/1",
		},
		"harmful at each model": {
			[]string{"bad@m/1 bad/1 model:m", "bad@n/1 bad/1 model:n", "bad@o/1 bad/1 model:o"}, "", "bad/1",
		},
		"harmful at a third model after two": {
			[]string{
				"bad@m/1 bad/1", "bad@m/1 bad/1", "bad@m/1 bad/1", "bad@n/1 bad/1", "bad@n/1 bad/1", "bad@n/1 bad/1", "bad@o/1 bad/1",
			},
			"", "bad/1",
		},
		"one request that is repeated, then others with its part": {
			[]string{"request:1 bad/1", "request:1 bad/1", "request:1 bad/1", "request:2 bad/1", "request:3 bad/1"}, "", "bad/1",
		},
		"one request of a team that is repeated": {
			[]string{"request:1 team:t", "request:1 team:t", "request:1 team:t", "request:1 team:t", "request:1 team:t", "request:1 team:t"}, "", "",
		},
		"a model, whatever else":           {[]string{"model:m a/0", "model:m b/0", "model:m c/0", "model:m d/0", "model:m e/0"}, "", "model:m"},
		"a model that has completed since": {[]string{"model:m a/0", "model:m b/0", "model:m c/0", "model:m d/0", "model:m e/0"}, "model:m", ""},
		"an adapter":                       {[]string{"adapter:a model:m", "adapter:a model:m", "adapter:a model:m", "adapter:a model:m", "adapter:a model:m"}, "", "adapter:a"},
		"a team":                           {[]string{"team:t a/0", "team:t b/0", "team:t c/0", "team:t d/0", "team:t e/0"}, "", "team:t"},
		"popular parts, each time after completing": {[]string{"first/0? a/1", "first/0? b/1"}, "", ""},
		"a popular part that turns harmful":         {[]string{"bad/0? a/1", "bad/0? b/1", "bad/0? c/1"}, "", "bad/0"},
	} {
		t.Run(name, func(t *testing.T) {
			c := &clock{time.Unix(1e9, 0)}
			set := newSuspectSet(c)
			for i, accused := range tt.ended {
				c.current = c.current.Add(1500 * time.Millisecond)
				set.Accuse(fmt.Sprint("s-", i), c.current, accusationsOf(accused))
			}
			for _, a := range accusationsOf(tt.cleared) {
				require.True(t, set.Clear(a.Key))
			}
			var all, held []string
			for _, text := range append(tt.ended, tt.held) {
				all = append(all, strings.Fields(strings.ReplaceAll(text, "?", ""))...)
			}
			slices.Sort(all)
			for _, field := range slices.Compact(all) {
				if !strings.HasPrefix(field, "request:") && isHeldBack(set, carrierOf(field).Key()) {
					held = append(held, field)
				}
			}
			require.ElementsMatch(t, strings.Fields(tt.held), held)
		})
	}
}

// A rack of servers ends at once while they run popular requests. These have completed
// shortly before; together the servers are one piece of evidence.
func TestServersThatEndTogetherHoldNothingPopularBack(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	set := newSuspectSet(c)
	for i := range 8 {
		set.Accuse(fmt.Sprint("s-", i), c.current, accusationsOf("first/0? middle/1? model:m?"))
		c.current = c.current.Add(50 * time.Millisecond)
	}
	for _, field := range []string{"first/0", "middle/1", "model:m"} {
		require.False(t, isHeldBack(set, carrierOf(field).Key()), field)
	}
}

// Many servers end under a popular part that completes in between. Once it turns harmful,
// the servers cleared before must leave room for the new ones.
func TestFullRecordsTakeNewServers(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	set := newSuspectSet(c)
	key := carrierOf("first/0").Key()
	accuse := func(i int) {
		c.current = c.current.Add(2 * time.Second)
		set.Accuse(fmt.Sprint("s-", i), c.current, accusationsOf("first/0"))
	}
	for i := range 40 {
		accuse(i)
		require.True(t, set.Clear(key))
	}
	old, _ := set.Since(0, quarantine.PartAll)
	for i := range 3 {
		accuse(100 + i)
	}
	require.True(t, isHeldBack(set, key))
	set.Merge(old, quarantine.SourceEntry)
	require.Equal(t, 3, set.UnclearedCount(key), "a server that was dropped does not count again")
}

// The record of a harmful part must reach other hosts at once, although each end of a busy
// server records hundreds of others with it.
func TestLikelySuspectsAreSentFirst(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	set := newSuspectSet(c)
	reader := set.Reader(quarantine.PartAll)
	bad := carrierOf("bad/1").Key()
	sent := 0
	for i := range 10 {
		accused := accusationsOf("bad/1")
		for j := range 800 {
			accused = append(accused, accusationsOf(fmt.Sprintf("other-%d-%d/1", i, j))...)
		}
		set.Accuse(fmt.Sprint("s-", i), c.current, accused)
		c.current = c.current.Add(300 * time.Millisecond)
		for _, s := range reader.Next() {
			if string(s.GetKey()) == string(bad[:]) {
				sent = len(s.GetEnded())
			}
		}
		if i > 0 {
			require.Equal(t, i+1, sent)
		}
	}
}

// The evidence of hosts that know a suspect differently must be the same after they have
// exchanged it in any order.
func TestSharedEvidenceMergesInAnyOrder(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	one, two := newSuspectSet(c), newSuspectSet(c)
	one.Accuse("s-1", c.current, accusationsOf("first/0? bad/1 x/2"))
	two.Accuse("s-1", c.current, accusationsOf("first/0 bad/1"))
	two.Accuse("s-2", c.current, accusationsOf("first/0? bad/1"))
	c.current = c.current.Add(time.Second)
	one.Clear(carrierOf("first/0").Key())
	one.Accuse("s-3", c.current, accusationsOf("bad/1"))
	for range 2 {
		list, _ := one.Since(0, quarantine.PartAll)
		other, _ := two.Since(0, quarantine.PartAll)
		two.Merge(list, quarantine.SourceEntry)
		one.Merge(other, quarantine.SourceEntry)
	}
	require.Equal(t, one.List(), two.List())
	for _, set := range []*quarantine.SuspectSet{one, two} {
		require.True(t, isHeldBack(set, carrierOf("bad/1").Key()))
		require.False(t, isHeldBack(set, carrierOf("first/0").Key()))
	}
}

// A popular request ran at three servers that ended under a harmful request and a harmful part. It was held back
// for five minutes, in which nothing could clear it. Where these explain all its servers it may try again after
// eight seconds; so may the harmful one until the popular one has completed, and ends one more server with that.
func TestRequestBesideAHarmfulPartTriesAgainSoon(t *testing.T) {
	ended := []string{
		"request:popular bad/1", "request:popular request:harmful", "request:popular request:harmful",
		"request:harmful bad/1", "bad/1", "bad/1", "bad/1",
	}
	c := &clock{time.Unix(1e9, 0)}
	set := newSuspectSet(c)
	accuse := func(server int, accused string) {
		set.Accuse(fmt.Sprint("s-", server), c.current, accusationsOf(accused))
	}
	heldFor := func(name string) time.Duration {
		left, held := set.HeldBack(keyOf(name))
		require.True(t, held, name)
		return left
	}
	const firm, doubtful = 5 * time.Minute, 8 * time.Second
	for i, accused := range ended[:4] {
		accuse(i, accused)
	}
	require.GreaterOrEqual(t, heldFor("popular"), firm)
	for i, accused := range ended[4:] {
		accuse(4+i, accused)
	}
	require.True(t, isHeldBack(set, carrierOf("bad/1").Key()))
	// Nothing but this request explains two of its servers.
	accuse(10, "request:other bad/1")
	accuse(11, "request:other")
	accuse(12, "request:other")
	require.GreaterOrEqual(t, heldFor("other"), firm)
	require.Less(t, heldFor("popular"), 2*doubtful)
	require.Less(t, heldFor("harmful"), 2*doubtful)

	c.current = c.current.Add(2 * doubtful)
	require.Zero(t, heldFor("popular"))
	require.True(t, set.Clear(keyOf("popular")))
	accuse(9, "request:harmful")
	require.GreaterOrEqual(t, heldFor("harmful"), firm)
	_, held := set.HeldBack(keyOf("popular"))
	require.False(t, held)
}

// A part that requests explain but for two servers may be innocent: it must not let these requests try again.
func TestDoubtfulPartCastsNoDoubt(t *testing.T) {
	c := &clock{time.Unix(1e9, 0)}
	set := newSuspectSet(c)
	for i, accused := range []string{"request:harmful bad/1", "request:harmful bad/1", "request:harmful", "bad/1", "bad/1", "request:other bad/1", "request:other", "request:other"} {
		set.Accuse(fmt.Sprint("s-", i), c.current, accusationsOf(accused))
	}
	left, held := set.HeldBack(carrierOf("bad/1").Key())
	require.True(t, held)
	require.Less(t, left, time.Minute)
	for _, name := range []string{"harmful", "other"} {
		left, held = set.HeldBack(keyOf(name))
		require.True(t, held)
		require.GreaterOrEqual(t, left, 5*time.Minute, name)
	}
}
