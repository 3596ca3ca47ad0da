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

// Arrival is the arrival of a request for a target, at a time since the start.
type Arrival struct {
	At     time.Duration
	Target string
}

// Outage makes a server unavailable from Start to End, relative to the start of the
// scenario. Afterwards it has no loaded models.
type Outage struct {
	Server     string
	Start, End time.Duration
}

// Slowdown divides the rate of the weight store by Factor between two times.
type Slowdown struct {
	From, To time.Duration
	Factor   float64
}

// Scenario is the input of a replay.
type Scenario struct {
	Name string
	// Length is the duration of the whole scenario.
	Length time.Duration
	// WarmUp is the first part of Length, in which policies observe arrivals and nothing
	// is measured.
	WarmUp    time.Duration
	Models    []placement.Model
	Servers   []placement.Server
	Arrivals  []Arrival
	Outages   []Outage
	Slowdowns []Slowdown
	Speeds    placement.LoadSpeeds
	Prices    placement.Prices
}

// Deployment generates scenarios that resemble the use of a deployment by its customer.
type Deployment struct {
	name           string
	modelCount     int
	adapterCount   int
	serverCount    int
	dataCentres    []string
	loadsPerSecond float64
	prices         placement.Prices
	// The shares of targets that are used in office hours, once a day, and at weekends. All
	// other targets are used rarely.
	officeShare, dailyShare, weekendShare float64
	// skippedShare is the share of sessions that are left out, as in an off-season.
	skippedShare float64
}

// The deployments of the folder examples, with the prices of their settings.
var (
	QuillenRidge = Deployment{
		name: "quillen-ridge", modelCount: 55, adapterCount: 115, serverCount: 20, dataCentres: []string{"hall-a", "hall-b", "hall-c"},
		loadsPerSecond: 3, prices: placement.Prices{ColdStartSecond: 3, IdleAcceleratorHour: 20, WaitingPerReplica: 16},
		officeShare: 0.45, dailyShare: 0.25, weekendShare: 0.05, skippedShare: 0.2,
	}
	Kapiti = Deployment{
		name: "kapiti", modelCount: 45, adapterCount: 100, serverCount: 20, dataCentres: []string{"porirua", "paraparaumu", "otaki"},
		loadsPerSecond: 4, prices: placement.Prices{ColdStartSecond: 1, IdleAcceleratorHour: 60, WaitingPerReplica: 16},
		officeShare: 0.25, dailyShare: 0.15, weekendShare: 0.35, skippedShare: 0.6,
	}
)

// Name returns the deployment's name.
func (d Deployment) Name() string { return d.name }

// Prices returns the prices of the deployment's settings.
func (d Deployment) Prices() placement.Prices { return d.prices }

const (
	acceleratorMiB = 81920
	day            = 24 * time.Hour
	// diskCacheProbability and memoryCacheProbability are the probabilities that a server
	// has the checkpoint of a model on its disk or in its memory at the start.
	diskCacheProbability   = 0.15
	memoryCacheProbability = 0.03
)

// Generate returns a scenario of a number of days. The same seed generates the same
// scenario.
func (d Deployment) Generate(seed int64, days int) Scenario {
	random := rand.New(rand.NewSource(seed))
	s := Scenario{
		Name: d.name, Length: time.Duration(days) * day, Prices: d.prices,
		Speeds: placement.LoadSpeeds{
			RemoteMiBPerSecond: 1024, DiskMiBPerSecond: 4096, MemoryMiBPerSecond: 16384, LoadsPerSecond: d.loadsPerSecond, FullSpeedLoads: 4,
		},
	}
	sizes := []uint64{8192, 16384, 16384, 24576, 40960}
	for i := range d.modelCount {
		s.Models = append(s.Models, placement.Model{
			Name: fmt.Sprintf("model-%02d", i), Version: "1", MemoryMiB: sizes[random.Intn(len(sizes))], MaxReplicas: 3,
		})
	}
	for i := range d.adapterCount {
		s.Models = append(s.Models, placement.Model{
			Name: fmt.Sprintf("adapter-%03d", i), Version: "1", MemoryMiB: 512, MaxReplicas: 2,
			Base: fmt.Sprintf("model-%02d", random.Intn(d.modelCount)),
		})
	}
	for i := range d.serverCount {
		s.Servers = append(s.Servers, d.generateServer(random, i, s.Models))
	}
	for _, m := range s.Models {
		s.Arrivals = append(s.Arrivals, d.generateArrivals(random, m.Name, days)...)
	}
	slices.SortFunc(s.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	for range days {
		at := time.Duration(random.Int63n(int64(s.Length)))
		s.Outages = append(s.Outages, Outage{s.Servers[random.Intn(d.serverCount)].Name, at, at + time.Hour})
	}
	for range max(days/3, 1) {
		from := time.Duration(random.Int63n(int64(s.Length)))
		s.Slowdowns = append(s.Slowdowns, Slowdown{from, from + 20*time.Minute, 4})
	}
	return s
}

func (d Deployment) generateServer(random *rand.Rand, i int, models []placement.Model) placement.Server {
	cached := map[string]placement.Tier{}
	for _, m := range models {
		switch r := random.Float64(); {
		case r < memoryCacheProbability:
			cached[m.Name] = placement.TierMemory
		case r < memoryCacheProbability+diskCacheProbability:
			cached[m.Name] = placement.TierDisk
		}
	}
	return placement.Server{
		Name: fmt.Sprintf("engine-%02d", i), Incarnation: 1, DataCentre: d.dataCentres[i%len(d.dataCentres)],
		Accelerators: []uint64{acceleratorMiB}, Usable: true, Cached: cached,
	}
}

// generateArrivals returns the arrivals for one target over a number of days.
func (d Deployment) generateArrivals(random *rand.Rand, target string, days int) []Arrival {
	kind := random.Float64()
	// The rates of targets are log-normal: some are used ten times as much as others.
	rate := math.Exp(random.NormFloat64())
	at := time.Duration(7+random.Intn(12)) * time.Hour
	var out []Arrival
	for i := range days {
		dayStart := time.Duration(i) * day
		weekend := i%7 >= 5
		var starts []time.Duration
		switch {
		case kind < d.officeShare:
			if !weekend {
				starts = poissonArrivals(random, dayStart+8*time.Hour, dayStart+18*time.Hour, 0.6*rate)
			}
		case kind < d.officeShare+d.dailyShare:
			starts = []time.Duration{dayStart + at + time.Duration(random.NormFloat64()*float64(6*time.Minute))}
		case kind < d.officeShare+d.dailyShare+d.weekendShare:
			if weekend {
				starts = poissonArrivals(random, dayStart+6*time.Hour, dayStart+16*time.Hour, 2*rate)
			}
		default:
			starts = poissonArrivals(random, dayStart, dayStart+day, 0.03*rate)
		}
		for _, start := range starts {
			if random.Float64() >= d.skippedShare {
				out = append(out, generateSession(random, target, start)...)
			}
		}
	}
	return out
}

// poissonArrivals returns the times of a Poisson process between two times.
func poissonArrivals(random *rand.Rand, from, to time.Duration, perHour float64) []time.Duration {
	var out []time.Duration
	for t := from; ; {
		t += time.Duration(random.ExpFloat64() / perHour * float64(time.Hour))
		if t >= to {
			return out
		}
		out = append(out, t)
	}
}

// generateSession returns the arrivals of a session: a burst within two seconds, as if sent to
// several entries at once, followed by a tail of single requests.
func generateSession(random *rand.Rand, target string, start time.Duration) []Arrival {
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

// ReadArrivals reads recorded arrivals from a CSV file with the header seconds,target and
// one line per request. It returns them in order of time.
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
			return nil, errors.Newf("line %d: want two fields, seconds and target", i+1)
		}
		seconds, err := strconv.ParseFloat(row[0], 64)
		if err != nil || seconds < 0 {
			return nil, errors.Newf("line %d: %q is not a non-negative number of seconds", i+1, row[0])
		}
		out = append(out, Arrival{time.Duration(seconds * float64(time.Second)), row[1]})
	}
	slices.SortFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out, nil
}
