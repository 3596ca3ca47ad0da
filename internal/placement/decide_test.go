package placement_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/placement"
)

var now = time.Unix(1_790_000_000, 0)

func randomInput(random *rand.Rand) placement.Input {
	models := map[string]placement.Model{}
	for i := range 6 {
		base := ""
		mib := uint64(20 + random.Intn(50))
		if i >= 4 {
			base, mib = fmt.Sprint("m", random.Intn(4)), 5
		}
		m := placement.Model{Name: fmt.Sprint("m", i), Version: "1", Base: base, MemoryMiB: mib, MaxReplicas: 1 + random.Intn(3)}
		m.MinReplicas = random.Intn(2) * random.Intn(m.MaxReplicas+1)
		models[m.Name] = m
	}
	in := placement.Input{
		Now: now, Demands: map[string]placement.Demand{},
		Model: func(n string) (placement.Model, bool) {
			m, ok := models[n]
			return m, ok
		},
		Pattern: func(string) *placement.ArrivalPattern { return placement.NewArrivalPattern(now.Add(-time.Hour)) },
		Speeds:  placement.LoadSpeeds{RemoteMiBPerSecond: 10, DiskMiBPerSecond: 40, MemoryMiBPerSecond: 100, LoadsPerSecond: 3, FullSpeedLoads: 4},
		Prices:  placement.Prices{ColdStartSecond: 1, IdleAcceleratorHour: 20, WaitingPerReplica: 2},
	}
	number := uint64(0)
	for i := range 4 {
		s := placement.Server{
			Name: fmt.Sprint("e", i), Incarnation: 1, DataCentre: fmt.Sprint("d", i%2), Accelerators: []uint64{100, 80},
			Usable: random.Intn(4) > 0, Leaving: random.Intn(6) == 0,
		}
		s.Usable = s.Usable && !s.Leaving
		in.Servers = append(in.Servers, s)
		for a, total := range s.Accelerators {
			used := uint64(0)
			busy := false
			for name, m := range models {
				if random.Intn(5) > 0 || used+m.MemoryMiB > total || m.Base != "" {
					continue
				}
				number++
				used += m.MemoryMiB
				r := placement.Replica{
					Number: number, Target: name, Version: "1", Server: s.Name, Accelerator: a, MemoryMiB: m.MemoryMiB,
					State: placement.StateLoaded, Since: now.Add(-time.Minute), LastUsed: now.Add(-time.Duration(random.Intn(9000)) * time.Second),
					Running: random.Intn(3) / 2, ReadyAt: now.Add(time.Second),
				}
				if !busy && random.Intn(6) == 0 {
					r.State = placement.State(random.Intn(3))
					busy = r.State != placement.StateLoaded
				}
				in.Replicas = append(in.Replicas, r)
			}
		}
	}
	for name := range models {
		if random.Intn(2) == 0 {
			in.Demands[name] = placement.Demand{Waiting: random.Intn(6), EarliestDeadline: now.Add(time.Duration(random.Intn(30)) * time.Second)}
		}
		in.Pinned = append(in.Pinned, name)
	}
	return in
}

// TestDecisionsRespectBounds checks decisions on random inputs: replica bounds, memory, no load
// on an unusable server, no unload of a replica in use or below the lower bound, one order at a
// time on an accelerator, and the same decisions for the same input.
func TestDecisionsRespectBounds(t *testing.T) {
	loads, unloads := 0, 0
	for seed := range int64(3000) {
		in := randomInput(rand.New(rand.NewSource(seed)))
		plan := placement.Decide(in)
		require.Equal(t, plan, placement.Decide(in), "seed %d", seed)
		replicas, used, orders := map[string]int{}, map[string]uint64{}, map[string]int{}
		byNumber := map[uint64]placement.Replica{}
		usable := map[string]bool{}
		for _, s := range in.Servers {
			usable[s.Name] = s.Usable
		}
		place := func(server string, accelerator int) string { return fmt.Sprint(server, "/", accelerator) }
		for _, r := range in.Replicas {
			replicas[r.Target]++
			used[place(r.Server, r.Accelerator)] += r.MemoryMiB
			byNumber[r.Number] = r
			if r.State != placement.StateLoaded {
				orders[place(r.Server, r.Accelerator)]++
			}
		}
		for _, d := range plan.Decisions {
			m, _ := in.Model(d.Target)
			at := place(d.Server, d.Accelerator)
			orders[at]++
			require.LessOrEqual(t, orders[at], 1, "seed %d: %+v", seed, plan.Decisions)
			if d.Kind == placement.KindLoad {
				loads++
				replicas[d.Target]++
				used[at] += m.MemoryMiB
				require.True(t, usable[d.Server], "seed %d", seed)
				require.LessOrEqual(t, replicas[d.Target], m.MaxReplicas, "seed %d", seed)
				require.LessOrEqual(t, used[at], []uint64{100, 80}[d.Accelerator], "seed %d", seed)
				continue
			}
			unloads++
			r := byNumber[d.Replica]
			require.Zero(t, r.Running, "seed %d", seed)
			require.Equal(t, placement.StateLoaded, r.State)
		}
	}
	assert.Greater(t, loads, 1000)
	assert.Greater(t, unloads, 500)
}

func twoServers(models ...placement.Model) placement.Input {
	return placement.Input{
		Now: now, Demands: map[string]placement.Demand{}, Prices: placement.Prices{ColdStartSecond: 1, IdleAcceleratorHour: 20},
		Speeds: placement.LoadSpeeds{RemoteMiBPerSecond: 10, DiskMiBPerSecond: 40, MemoryMiBPerSecond: 100, LoadsPerSecond: 3, FullSpeedLoads: 4},
		Model: func(n string) (placement.Model, bool) {
			for _, m := range models {
				if m.Name == n {
					return m, true
				}
			}
			return placement.Model{}, false
		},
		Servers: []placement.Server{
			{Name: "a", Incarnation: 1, DataCentre: "d1", Accelerators: []uint64{100}, Usable: true},
			{Name: "b", Incarnation: 1, DataCentre: "d2", Accelerators: []uint64{100}, Usable: true},
		},
	}
}

func TestFasterTierIsChosen(t *testing.T) {
	in := twoServers(placement.Model{Name: "m", Version: "1", MemoryMiB: 80, MaxReplicas: 1})
	in.Servers[1].Cached = map[string]placement.Tier{"m": placement.TierDisk}
	in.Demands["m"] = placement.Demand{Waiting: 1, EarliestDeadline: now.Add(time.Minute)}
	plan := placement.Decide(in)
	require.Len(t, plan.Decisions, 1)
	assert.Equal(t, "b", plan.Decisions[0].Server)
	assert.Equal(t, now.Add(2300*time.Millisecond), plan.Forecasts["m"].ReadyAt)
}

func TestEarlierDeadlinesAreServedFirst(t *testing.T) {
	in := twoServers(
		placement.Model{Name: "late", Version: "1", MemoryMiB: 80, MaxReplicas: 1},
		placement.Model{Name: "soon", Version: "1", MemoryMiB: 80, MaxReplicas: 1},
	)
	in.Servers = in.Servers[:1]
	in.Demands["late"] = placement.Demand{Waiting: 5, EarliestDeadline: now.Add(time.Minute)}
	in.Demands["soon"] = placement.Demand{Waiting: 1, EarliestDeadline: now.Add(20 * time.Second)}
	plan := placement.Decide(in)
	require.Len(t, plan.Decisions, 1)
	assert.Equal(t, "soon", plan.Decisions[0].Target)
	assert.True(t, plan.Forecasts["late"].Possible, "it waits for room")
}

func TestAdapterDemandLoadsBase(t *testing.T) {
	in := twoServers(
		placement.Model{Name: "base", Version: "1", MemoryMiB: 50, MaxReplicas: 1},
		placement.Model{Name: "adapter", Base: "base", Version: "1", MemoryMiB: 5, MaxReplicas: 1},
	)
	in.Demands["adapter"] = placement.Demand{Waiting: 1, EarliestDeadline: now.Add(time.Minute)}
	plan := placement.Decide(in)
	require.Len(t, plan.Decisions, 1)
	assert.Equal(t, "base", plan.Decisions[0].Target)
	in.Replicas = []placement.Replica{{
		Number: 1, Target: "base", Version: "1", Server: "a", MemoryMiB: 50, State: placement.StateLoaded, Since: now, LastUsed: now,
	}}
	plan = placement.Decide(in)
	require.Len(t, plan.Decisions, 1)
	assert.Equal(t, "adapter", plan.Decisions[0].Target)
	assert.Equal(t, "a", plan.Decisions[0].Server)
}

// The only replica is on a lost server and no second one was confirmed. The reason states
// what the operator has to do.
func TestForecastNamesLostServer(t *testing.T) {
	in := twoServers(placement.Model{Name: "m", Version: "1", MemoryMiB: 50, MaxReplicas: 1})
	in.Servers[0].Usable, in.Servers[0].Lost = false, true
	in.Replicas = []placement.Replica{{
		Number: 1, Target: "m", Version: "1", Server: "a", MemoryMiB: 50, State: placement.StateLoaded, Since: now, LastUsed: now,
	}}
	in.Demands["m"] = placement.Demand{Waiting: 1, EarliestDeadline: now.Add(time.Minute)}
	plan := placement.Decide(in)
	assert.Empty(t, plan.Decisions)
	assert.False(t, plan.Forecasts["m"].Possible)
	assert.Contains(t, plan.Forecasts["m"].Reason, "forget the server")
}

// A model is requested every working day at the same hour. Before that hour it is loaded
// although no request waits.
func TestExpectedVisitsArePreloaded(t *testing.T) {
	in := twoServers(placement.Model{Name: "m", Version: "1", MemoryMiB: 50, MaxReplicas: 1})
	monday := time.Date(2026, 11, 2, 9, 0, 0, 0, time.UTC)
	p := placement.NewArrivalPattern(monday.Add(-9 * time.Hour))
	for i := range 19 {
		at := monday.AddDate(0, 0, i)
		if at.Weekday() != time.Saturday && at.Weekday() != time.Sunday {
			p.RecordArrival(at.Add(10 * time.Minute))
		}
	}
	in.Pattern = func(string) *placement.ArrivalPattern { return p }
	in.PreloadCandidates = []string{"m"}
	in.Prices.IdleAcceleratorHour = 0.5
	in.Now = monday.AddDate(0, 0, 21).Add(-time.Minute)
	plan := placement.Decide(in)
	require.Len(t, plan.Decisions, 1)
	assert.Equal(t, "expected soon", plan.Decisions[0].Reason)
	in.Now = in.Now.Add(12 * time.Hour)
	assert.Empty(t, placement.Decide(in).Decisions)
}
