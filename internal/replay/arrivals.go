package replay

import (
	"encoding/csv"
	"fmt"
	"io"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/placement"
)

// Arrival is one request.
type Arrival struct {
	At     time.Duration
	Target string
}

// Outage takes a server away for a time; it comes back empty.
type Outage struct {
	Server   string
	At, Back time.Duration
}

// Slowdown divides the weight store's rate for a time.
type Slowdown struct {
	From, To time.Duration
	By       float64
}

// Scenario is everything that a replay is given.
type Scenario struct {
	Name string
	// Length counts from the start; WarmUp of it teaches every policy and is
	// not measured.
	Length    time.Duration
	WarmUp    time.Duration
	Models    []placement.Model
	Servers   []placement.Server
	Arrivals  []Arrival
	Outages   []Outage
	Slowdowns []Slowdown
	Speeds    placement.LoadSpeeds
	Weights   placement.Prices
}

// Deployment is a customer whose weeks can be generated.
type Deployment struct {
	name     string
	models   int
	adapters int
	servers  int
	centres  []string
	loads    float64
	weights  placement.Prices
	// shares of the kinds of use; they add up to 1 with the rare ones.
	office, daily, weekend float64
	// quiet is the share of sessions that a quiet season leaves out.
	quiet float64
}

// The deployments of the examples, with the weights of their settings.
var (
	QuillenRidge = Deployment{
		name: "quillen-ridge", models: 55, adapters: 115, servers: 20, centres: []string{"hall-a", "hall-b", "hall-c"},
		loads: 3, weights: placement.Prices{ColdStartSecond: 3, IdleAcceleratorHour: 20, WaitingPerReplica: 16},
		office: 0.45, daily: 0.25, weekend: 0.05, quiet: 0.2,
	}
	Kapiti = Deployment{
		name: "kapiti", models: 45, adapters: 100, servers: 20, centres: []string{"porirua", "paraparaumu", "otaki"},
		loads: 4, weights: placement.Prices{ColdStartSecond: 1, IdleAcceleratorHour: 60, WaitingPerReplica: 16},
		office: 0.25, daily: 0.15, weekend: 0.35, quiet: 0.6,
	}
)

// Name returns the deployment's name.
func (d Deployment) Name() string { return d.name }

// Weights returns the prices of the deployment's settings.
func (d Deployment) Weights() placement.Prices { return d.weights }

const (
	acceleratorMiB = 81920
	day            = 24 * time.Hour
	// diskShare and memoryShare are the chances that a server holds a model's
	// checkpoint on its disk or in its memory at the start.
	diskShare   = 0.15
	memoryShare = 0.03
)

// Generate makes some days of a deployment from a seed. The same seed gives the
// same days.
func (d Deployment) Generate(seed int64, days int) Scenario {
	random := rand.New(rand.NewSource(seed))
	s := Scenario{
		Name: d.name, Length: time.Duration(days) * day, Weights: d.weights,
		Speeds: placement.LoadSpeeds{
			RemoteMiBPerSecond: 1024, DiskMiBPerSecond: 4096, MemoryMiBPerSecond: 16384, LoadsPerSecond: d.loads, FullSpeedLoads: 4,
		},
	}
	sizes := []uint64{8192, 16384, 16384, 24576, 40960}
	for i := range d.models {
		s.Models = append(s.Models, placement.Model{
			Name: fmt.Sprintf("model-%02d", i), Version: "1", MemoryMiB: sizes[random.Intn(len(sizes))], MaxReplicas: 3,
		})
	}
	for i := range d.adapters {
		s.Models = append(s.Models, placement.Model{
			Name: fmt.Sprintf("adapter-%03d", i), Version: "1", MemoryMiB: 512, MaxReplicas: 2,
			Base: fmt.Sprintf("model-%02d", random.Intn(d.models)),
		})
	}
	for i := range d.servers {
		s.Servers = append(s.Servers, d.server(random, i, s.Models))
	}
	for _, m := range s.Models {
		s.Arrivals = append(s.Arrivals, d.use(random, m.Name, days)...)
	}
	slices.SortFunc(s.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	for range days {
		at := time.Duration(random.Int63n(int64(s.Length)))
		s.Outages = append(s.Outages, Outage{s.Servers[random.Intn(d.servers)].Name, at, at + time.Hour})
	}
	for range max(days/3, 1) {
		from := time.Duration(random.Int63n(int64(s.Length)))
		s.Slowdowns = append(s.Slowdowns, Slowdown{from, from + 20*time.Minute, 4})
	}
	return s
}

func (d Deployment) server(random *rand.Rand, i int, models []placement.Model) placement.Server {
	cached := map[string]placement.Tier{}
	for _, m := range models {
		switch r := random.Float64(); {
		case r < memoryShare:
			cached[m.Name] = placement.TierMemory
		case r < memoryShare+diskShare:
			cached[m.Name] = placement.TierDisk
		}
	}
	return placement.Server{
		Name: fmt.Sprintf("engine-%02d", i), Incarnation: 1, DataCentre: d.centres[i%len(d.centres)],
		Accelerators: []uint64{acceleratorMiB}, Usable: true, Cached: cached,
	}
}

// use makes the sessions of one target over some days.
func (d Deployment) use(random *rand.Rand, target string, days int) []Arrival {
	kind := random.Float64()
	// Some targets are used ten times as much as others.
	rate := math.Exp(random.NormFloat64())
	at := time.Duration(7+random.Intn(12)) * time.Hour
	var out []Arrival
	for i := range days {
		begin := time.Duration(i) * day
		weekend := i%7 >= 5
		var starts []time.Duration
		switch {
		case kind < d.office:
			if !weekend {
				starts = poisson(random, begin+8*time.Hour, begin+18*time.Hour, 0.6*rate)
			}
		case kind < d.office+d.daily:
			starts = []time.Duration{begin + at + time.Duration(random.NormFloat64()*float64(6*time.Minute))}
		case kind < d.office+d.daily+d.weekend:
			if weekend {
				starts = poisson(random, begin+6*time.Hour, begin+16*time.Hour, 2*rate)
			}
		default:
			starts = poisson(random, begin, begin+day, 0.03*rate)
		}
		for _, start := range starts {
			if random.Float64() >= d.quiet {
				out = append(out, session(random, target, start)...)
			}
		}
	}
	return out
}

func poisson(random *rand.Rand, from, to time.Duration, perHour float64) []time.Duration {
	var out []time.Duration
	for t := from; ; {
		t += time.Duration(random.ExpFloat64() / perHour * float64(time.Hour))
		if t >= to {
			return out
		}
		out = append(out, t)
	}
}

// session is a burst at several entries at once with a tail behind it.
func session(random *rand.Rand, target string, start time.Duration) []Arrival {
	var out []Arrival
	for range 1 + random.Intn(6) {
		out = append(out, Arrival{start + time.Duration(random.Int63n(int64(2*time.Second))), target})
	}
	t := start
	for range random.Intn(15) {
		t += time.Duration(random.ExpFloat64() * float64(25*time.Second))
		out = append(out, Arrival{t, target})
	}
	return out
}

// ReadArrivals reads a recorded file: CSV with a header seconds,target and one
// line per request. The days that it spans replace the generated ones.
func ReadArrivals(r io.Reader) ([]Arrival, error) {
	rows, err := csv.NewReader(r).ReadAll()
	if err != nil {
		return nil, errors.Newf("read arrivals: %w", err)
	}
	var out []Arrival
	for i, row := range rows {
		if i == 0 && len(row) == 2 && row[0] == "seconds" {
			continue
		}
		if len(row) != 2 {
			return nil, errors.Newf("line %d: seconds,target are needed", i+1)
		}
		seconds, err := strconv.ParseFloat(row[0], 64)
		if err != nil || seconds < 0 {
			return nil, errors.Newf("line %d: %q is not a number of seconds", i+1, row[0])
		}
		out = append(out, Arrival{time.Duration(seconds * float64(time.Second)), row[1]})
	}
	slices.SortFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out, nil
}
