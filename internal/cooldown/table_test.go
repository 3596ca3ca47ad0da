package cooldown_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/cooldown"
)

var start = time.UnixMilli(1_000_000)

// newTable returns the table of one of some hosts without a random extension of waits.
func newTable() *cooldown.Table {
	return cooldown.NewTable(cooldown.Config{Hosts: func() int { return 6 }, Random: func() float64 { return 0 }})
}

func TestCooldownEndsByTimeAlone(t *testing.T) {
	table, at := newTable(), func(seconds float64) time.Time {
		return start.Add(time.Duration(seconds * float64(time.Second)))
	}
	require.Zero(t, table.AvailableIn("a", start))
	require.Zero(t, table.Observe("a", 0, start, start), "no wait")
	table.Observe("a", 10*time.Second, start, at(0.1))
	table.Observe("a", time.Second, at(0.05), at(0.2))
	require.Equal(t, 10*time.Second, table.AvailableIn("a", at(0.1)), "a shorter time after a longer one")
	table.Responded("a", at(0.08))
	require.Equal(t, 9*time.Second, table.AvailableIn("a", at(1.1)), "a late response to an earlier request")
	require.False(t, table.Admit("a", at(10)))
	require.Zero(t, table.AvailableIn("b", at(1)), "another server")
	require.Equal(t, 1, table.Count(at(1)))
	require.True(t, table.Admit("a", at(10.1)))
	require.Zero(t, table.Count(at(10.1)))
	table.Observe("a", 2*time.Second, at(10.1), at(10.2))
	require.Equal(t, 2*time.Second, table.AvailableIn("a", at(10.2)), "another cooldown")
}

// All requests that wait for the end of a cooldown would otherwise be sent at once.
func TestRequestsAfterACooldownAreSentOneAtATime(t *testing.T) {
	table := newTable()
	table.Observe("a", time.Second, start, start)
	now := start.Add(time.Second)
	require.True(t, table.Admit("a", now))
	require.False(t, table.Admit("a", now))
	now = now.Add(table.AvailableIn("a", now))
	require.True(t, table.Admit("a", now), "without a response")
	require.False(t, table.Admit("a", now))
	require.True(t, table.Responded("a", now))
	require.False(t, table.Responded("a", now), "known")
	for range 5 {
		require.True(t, table.Admit("a", now))
	}
	table.Observe("a", time.Second, now, now)
	now = now.Add(time.Minute)
	for range 5 {
		require.True(t, table.Admit("a", now), "long after the cooldown")
	}
}

// A server starts again under its id. The start that asked for a cooldown, known or not, is the
// only one that must not get requests.
func TestCooldownsOfAServerThatStartsAgain(t *testing.T) {
	old, current := "a@999000", "a@1005000"
	startedAt := time.UnixMilli(1_005_000)
	for name, test := range map[string]struct {
		key           string
		sentAt        time.Time
		cools, coolsB bool
	}{
		"stated by the start before":               {key: old, sentAt: start, cools: true},
		"stated by a start that is not known yet":  {key: old, sentAt: startedAt.Add(time.Second), cools: true, coolsB: true},
		"stated by the present start":              {key: current, sentAt: startedAt.Add(time.Second), coolsB: true},
		"stated by the present start, clock moved": {key: current, sentAt: start.Add(-time.Hour), coolsB: true},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable()
			now := startedAt.Add(2 * time.Second)
			table.Observe(test.key, time.Minute, test.sentAt, now)
			require.Equal(t, test.cools, table.AvailableIn(old, now) > 0)
			require.Equal(t, test.coolsB, table.AvailableIn(current, now) > 0)
			table.Responded(old, now.Add(time.Second))
			require.Equal(t, test.coolsB, table.AvailableIn(current, now) > 0, "a response of the start before")
		})
	}
}

// A server states a cooldown to all hosts at once. If they all returned when it ends, the server
// would be overloaded again.
func TestHostsReturnAfterACooldownAtDifferentTimes(t *testing.T) {
	for _, test := range []struct {
		hosts int
		wait  time.Duration
		// latest is when the last host must be back.
		latest time.Duration
	}{
		{6, 3 * time.Second, 3400 * time.Millisecond},
		{291, 3 * time.Second, 6 * time.Second},
		{291, 100 * time.Millisecond, 200 * time.Millisecond},
		{291, time.Hour, time.Hour + 5*time.Second},
	} {
		t.Run(fmt.Sprint(test.hosts, " ", test.wait), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			returns := map[time.Duration]int{}
			last := time.Duration(0)
			for range test.hosts {
				table := cooldown.NewTable(cooldown.Config{Hosts: func() int { return test.hosts }, Random: random.Float64})
				table.Observe("a", test.wait, start, start)
				after := table.AvailableIn("a", start)
				require.GreaterOrEqual(t, after, test.wait)
				returns[after.Truncate(10*time.Millisecond)]++
				last = max(last, after)
			}
			require.LessOrEqual(t, last, test.latest)
			require.Greater(t, len(returns), min(test.hosts/2, 9))
		})
	}
}

// What servers have stated must not be kept for good: thousands of servers come and go.
func TestCooldownsAreRemoved(t *testing.T) {
	table := newTable()
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Minute)
		table.Observe(fmt.Sprint("server-", i), time.Second, now, now)
	}
	require.Equal(t, 1, table.Len())
}

// A server asks for a cooldown and is gone: without another cooldown its own stayed for good, and each choice among
// all servers went through the table.
func TestCooldownsOfServersThatAreGoneAreRemoved(t *testing.T) {
	table, now := newTable(), time.Unix(1000, 0)
	for _, server := range []string{"a@1", "b@1", "c@1"} {
		table.Observe(server, time.Second, now, now)
	}
	require.Equal(t, 3, table.Len())
	now = now.Add(20 * time.Second)
	require.Zero(t, table.AvailableIn("other@1", now))
	require.Zero(t, table.Len())
}
