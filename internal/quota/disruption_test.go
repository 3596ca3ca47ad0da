package quota_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/quota"
	"fennelyard/internal/schema"
)

// allLoads plays all loads also with many entries, which takes minutes under the race detector.
var allLoads = flag.Bool("quota-all", false, "play all loads with 76 and 300 entries")

// disruptions are the ways in which all entries together could admit more than a quota. Each begins as a team jumps to
// several times its rate.
var disruptions = map[string]func(f *fleet, load func(d time.Duration)){
	"none": func(*fleet, func(time.Duration)) {},
	"a leader without reports": func(f *fleet, load func(time.Duration)) {
		load(300 * time.Millisecond)
		f.loseLeader()
		load(time.Second)
		f.elect()
	},
	"leaders lost in series": func(f *fleet, load func(time.Duration)) {
		for range 4 {
			load(500 * time.Millisecond)
			f.loseLeader()
			load(700 * time.Millisecond)
			f.elect()
		}
	},
	"all control hosts lost": func(f *fleet, load func(time.Duration)) {
		load(300 * time.Millisecond)
		f.loseLeader()
		for i := range f.hosts {
			f.loseHost(i)
		}
		load(1500 * time.Millisecond)
		for i := range f.hosts {
			f.startHost(i)
		}
		f.elect()
	},
	"all control hosts lost for long": func(f *fleet, load func(time.Duration)) {
		load(300 * time.Millisecond)
		f.loseLeader()
		for i := range f.hosts {
			f.loseHost(i)
		}
		load(25 * time.Second)
		for i := range f.hosts {
			f.startHost(i)
		}
		f.elect()
	},
	"control hosts lost one after the other": func(f *fleet, load func(time.Duration)) {
		for i := range f.hosts {
			f.loseHost(i)
			if i%3 == 0 {
				f.loseLeader()
			}
			load(400 * time.Millisecond)
			f.startHost(i)
			if i%3 == 0 {
				f.elect()
			}
		}
	},
	"everything loses power": func(f *fleet, load func(time.Duration)) {
		load(1200 * time.Millisecond)
		f.loseLeader()
		for i := range f.hosts {
			f.loseHost(i)
		}
		for i := range f.entries {
			f.loseEntry(i)
		}
		load(time.Second)
		for i := range f.hosts {
			f.startHost(i)
		}
		for i := range f.entries {
			f.startEntry(i)
		}
		f.elect()
	},
	"restarted entries whose reports are empty": func(f *fleet, load func(time.Duration)) {
		for range 3 {
			load(800 * time.Millisecond)
			for i := range f.entries {
				f.startEntry(i)
			}
		}
	},
	"half of the entries end": func(f *fleet, load func(time.Duration)) {
		load(800 * time.Millisecond)
		for i := range len(f.entries) / 2 {
			f.loseEntry(i)
		}
	},
	"half of the entries restart as the leader is lost": func(f *fleet, load func(time.Duration)) {
		load(1200 * time.Millisecond)
		f.loseLeader()
		for i := range len(f.entries) / 2 {
			f.startEntry(i)
		}
		load(800 * time.Millisecond)
		f.elect()
	},
	"half of the entries cut off": func(f *fleet, load func(time.Duration)) {
		for range 2 {
			load(500 * time.Millisecond)
			for i := range len(f.entries) / 2 {
				f.entries[i].cutOff = true
			}
			load(4 * time.Second)
			for i := range len(f.entries) / 2 {
				f.entries[i].cutOff = false
			}
		}
	},
	"half of the entries cut off for long": func(f *fleet, load func(time.Duration)) {
		load(500 * time.Millisecond)
		for i := range len(f.entries) / 2 {
			f.entries[i].cutOff = true
		}
		load(30 * time.Second)
		for i := range len(f.entries) / 2 {
			f.entries[i].cutOff = false
		}
	},
	"all entries cut off, one after the other": func(f *fleet, load func(time.Duration)) {
		for i := range f.entries {
			f.entries[i].cutOff = true
			load(8 * time.Second / time.Duration(len(f.entries)))
		}
		load(15 * time.Second)
		for i := range f.entries {
			f.entries[i].cutOff = false
		}
	},
	"entries move between control hosts": func(f *fleet, load func(time.Duration)) {
		for range 6 {
			for _, e := range f.entries {
				if e.host != nil && f.random.IntN(2) == 0 {
					f.unsubscribe(e)
				}
			}
			load(700 * time.Millisecond)
		}
	},
}

func (f *fleet) loseLeader() { f.leader = nil }

// All entries together could admit more than a quota while hosts are lost, restart or are cut off. Whatever
// happens, no window may hold more than the budget and the overage, at every rate of a jump, number of entries and
// spread of the requests.
func TestQuotaIsBoundedUnderDisruptions(t *testing.T) {
	for name, disrupt := range disruptions {
		for _, entries := range []int{1, 8, 76, 300} {
			for spread, pick := range map[string]func(f *fleet) int{
				"even": func(f *fleet) int { return f.random.IntN(entries) },
				"one":  func(*fleet) int { return 0 },
			} {
				for _, times := range []float64{4.4, 20} {
					for _, rate := range []float64{60_000, 600_000} {
						if !*allLoads && entries >= 76 && (times < 20 || spread == "one" && rate < 600_000) {
							continue
						}
						t.Run(fmt.Sprint(name, " ", entries, " ", spread, " ", times, " ", rate), func(t *testing.T) {
							t.Parallel()
							q := &schema.Quota{Tokens: true, RatePerSecond: rate, Burst: rate}
							budget := quota.Budget(q, window)
							f := newFleet(4, entries, q)
							pickEntry := func() int { return pick(f) }
							f.run(10*time.Second, 0.5*rate, pickEntry)
							disrupt(f, func(d time.Duration) { f.run(d, times*rate, pickEntry) })
							f.run(14*time.Second, times*rate, pickEntry)
							t.Logf("%s %d %s x%g rate %g: most in a window %.3f of the budget", name, entries, spread, times, rate, f.maxInWindow()/budget)
							require.LessOrEqual(t, f.maxInWindow(), budget*(1+maxOverage))
						})
					}
				}
			}
		}
	}
}
