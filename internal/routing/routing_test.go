package routing_test

import (
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/routing"
)

var start = time.Unix(1_790_000_000, 0)

func candidatesNamed(names ...string) []routing.Candidate {
	var out []routing.Candidate
	for _, n := range names {
		out = append(out, routing.Candidate{Server: n, Incarnation: 1, SameDataCentre: true})
	}
	return out
}

func TestChoose(t *testing.T) {
	random := rand.New(rand.NewSource(1)).Intn
	for _, c := range []struct {
		name       string
		candidates []routing.Candidate
		limit      int
		want       int
	}{
		{"none", nil, 4, -1},
		{"all full", []routing.Candidate{{Outstanding: 4}, {Outstanding: 5}}, 4, -1},
		{"less outstanding", []routing.Candidate{{Outstanding: 3, SameDataCentre: true}, {Outstanding: 1, SameDataCentre: true}}, 4, 1},
		{"same data centre first", []routing.Candidate{{}, {SameDataCentre: true}}, 4, 1},
		{"cached prefix", []routing.Candidate{{SameDataCentre: true}, {SameDataCentre: true, Outstanding: 1, PrefixMatch: true}}, 4, 1},
		{"fresh report counts", []routing.Candidate{{SameDataCentre: true, Reported: 9}, {SameDataCentre: true, Outstanding: 2}}, 4, 1},
		{"old report does not count", []routing.Candidate{{SameDataCentre: true, Reported: 9, ReportAge: time.Minute}, {SameDataCentre: true, Outstanding: 2}}, 4, 0},
		{"high latency ratio", []routing.Candidate{{SameDataCentre: true, LatencyRatio: 5}, {SameDataCentre: true, Outstanding: 2}}, 4, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, routing.Choose(routing.PolicyWeighted, c.candidates, c.limit, 0, random))
		})
	}
}

// A server that fails three times in a row is ejected: it receives no request until
// the ejection ends. Then one request probes it, and its success ends the ejection.
func TestFailingServerIsEjectedAndReadmitted(t *testing.T) {
	table := routing.NewTable(routing.PolicyWeighted, rand.New(rand.NewSource(1)).Intn, func() int { return 1 })
	candidates := candidatesNamed("a", "b", "c")
	now := start
	record := func(name string, ok bool) {
		c, picked := table.Pick(now, "m", nil, candidates, 100, excludeOthers(name))
		require.True(t, picked)
		require.Equal(t, name, c.Server)
		table.RecordResult(now, c, "m", nil, routing.Result{OK: ok, Reported: -1})
	}
	for range 3 {
		record("a", false)
	}
	for range 50 {
		c, picked := table.Pick(now, "m", nil, candidates, 100, nil)
		require.True(t, picked)
		require.NotEqual(t, "a", c.Server)
		table.RecordResult(now, c, "m", nil, routing.Result{OK: true, Reported: -1})
	}
	assert.Equal(t, 1, table.Ejected(now))
	now = now.Add(2 * time.Second)
	record("a", true)
	assert.Zero(t, table.Ejected(now))
}

// excludeOthers excludes all servers but one.
func excludeOthers(name string) map[string]bool {
	out := map[string]bool{"a": true, "b": true, "c": true}
	delete(out, name)
	return out
}

// When every server fails, not all may be ejected: that would refuse requests that
// some of them could still serve.
func TestNotAllAreEjected(t *testing.T) {
	table := routing.NewTable(routing.PolicyWeighted, rand.New(rand.NewSource(1)).Intn, func() int { return 1 })
	candidates := candidatesNamed("a", "b", "c")
	for range 60 {
		c, picked := table.Pick(start, "m", nil, candidates, 100, nil)
		require.True(t, picked)
		table.RecordResult(start, c, "m", nil, routing.Result{Reported: -1})
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := routing.NewRetryBudget()
	retries := 0
	for b.TryWithdraw() {
		retries++
	}
	assert.Equal(t, 20, retries)
	for range 100 {
		b.Deposit()
	}
	for b.TryWithdraw() {
		retries++
	}
	assert.InDelta(t, 30, retries, 1)
}

// BenchmarkPick measures the cost of a selection among 50 replicas by policy.
func BenchmarkPick(b *testing.B) {
	for _, p := range []routing.Policy{routing.PolicyWeighted, routing.PolicyRandom, routing.PolicyRoundRobin, routing.PolicyLeastOutstanding} {
		b.Run(p.String(), func(b *testing.B) {
			table := routing.NewTable(p, rand.New(rand.NewSource(1)).Intn, func() int { return 1 })
			names := make([]string, 50)
			for i := range names {
				names[i] = string(rune('a' + i))
			}
			candidates := candidatesNamed(names...)
			b.ReportAllocs()
			for b.Loop() {
				c, _ := table.Pick(start, "m", nil, candidates, 100, nil)
				table.RecordResult(start, c, "m", nil, routing.Result{OK: true, Reported: -1})
			}
		})
	}
}
