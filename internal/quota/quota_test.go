package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/quota"
	"fennelyard/internal/schema"
)

// Entries together could admit more than a team's quota. A team that jumps to several times
// its rate, spread evenly, at one entry or moving from entry to entry, must be limited, and
// still get nearly all of its quota.
func TestTeamOverItsQuotaIsBounded(t *testing.T) {
	q := &schema.Quota{Tokens: true, RatePerSecond: 600_000, Burst: 600_000}
	budget := quota.Budget(q, window)
	for _, entries := range []int{1, 8, 76, 300} {
		for name, pick := range map[string]func(f *fleet) int{
			"even":   func(f *fleet) int { return f.random.IntN(entries) },
			"one":    func(*fleet) int { return 0 },
			"moving": func(f *fleet) int { return int(f.now.Sub(start)/time.Second) % entries },
		} {
			for _, times := range []float64{1.3, 3, 6, 20, 40} {
				if !*allLoads && entries == 300 && times >= 20 && name != "even" {
					continue
				}
				t.Run(fmt.Sprint(entries, " ", name, " ", times), func(t *testing.T) {
					t.Parallel()
					f := newFleet(1, entries, q)
					pickEntry := func() int { return pick(f) }
					f.run(10*time.Second, 0.4*q.GetRatePerSecond(), pickEntry)
					f.run(20*time.Second, times*q.GetRatePerSecond(), pickEntry)
					t.Logf("most in a window %.3f of the budget, refused %d of %d", f.maxInWindow()/budget, f.refused, f.requests)
					require.LessOrEqual(t, f.maxInWindow(), budget*(1+maxOverage))
					require.GreaterOrEqual(t, f.maxInWindow(), 0.85*budget)
				})
			}
		}
	}
}

// Requests could be refused although their team stays within its quota. No entry may lack
// what another has left: no more may be refused than by one token bucket for all entries.
func TestNothingIsRefusedBelowTheQuota(t *testing.T) {
	for _, rate := range []float64{20_000, 600_000} {
		q := &schema.Quota{Tokens: true, RatePerSecond: rate, Burst: rate}
		for _, entries := range []int{1, 8, 76, 300} {
			f := newFleet(2, entries, q)
			f.run(40*time.Second, 0.6*rate, func() int { return f.random.IntN(entries) })
			t.Logf("%d entries, rate %g: refused %d (bucket %d) of %d, %d waited %s on average; %d bytes a second and entry", entries, rate, f.refused, f.bucketRefused, f.requests, f.waited,
				f.waitSum/time.Duration(max(f.waited, 1)), f.bytes/entries/50)
			require.LessOrEqual(t, f.refused, f.bucketRefused, "%d entries, rate %g: of %d", entries, rate, f.requests)
		}
	}
}

func TestCost(t *testing.T) {
	tokens, requests := &schema.Quota{Tokens: true, PlainTokens: 200}, &schema.Quota{PlainTokens: 200}
	for name, tt := range map[string]struct {
		q        *schema.Quota
		tokens   float64
		declared bool
		want     float64
	}{
		"declared":              {tokens, 1540, true, 1540},
		"not declared":          {tokens, 0, false, 200},
		"requests":              {requests, 1540, true, 1},
		"requests, undeclared":  {requests, 0, false, 1},
		"as large as it can be": {tokens, 2 * float64(1<<63-1), true, 2 * float64(1<<63-1)},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, quota.Cost(tt.q, tt.tokens, tt.declared)) })
	}
}

func BenchmarkQuota(b *testing.B) {
	team := &schema.Team{Name: "t", Quota: &schema.Quota{Tokens: true, RatePerSecond: 1e15, Burst: 1e15}}
	m := quota.NewMeter(quota.MeterConfig{Window: window, Random: rand.Float64, Rank: func(string) int { return 0 }}, start)
	m.SetTotals(1, &schema.TeamUses{Uses: []*schema.TeamUse{{Team: "t", Admitted: 1, Requested: 1}}})
	m.Grant("t", 1e15, start, start)
	b.ReportAllocs()
	for b.Loop() {
		m.Admit(team, 1000, quota.Link{ConfirmedAt: start, Entries: 76}, start)
	}
}
