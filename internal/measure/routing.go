package measure

import (
	"container/heap"
	"math"
	"math/rand"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fennelyard/internal/routing"
)

const (
	serverCount  = 20
	requestCount = 200000
	// utilization is the ratio of the offered work to the capacity of the servers.
	utilization = 0.75
	meanCost    = time.Second
)

// RoutingResult holds percentiles of the time in seconds that requests waited under a
// load-balancing policy.
type RoutingResult struct {
	Policy string  `json:"policy"`
	P50    float64 `json:"wait-p50"`
	P95    float64 `json:"wait-p95"`
	P99    float64 `json:"wait-p99"`
}

// serverView is the state of a server as observed by one entry: the entry's own requests
// there.
type serverView struct {
	outstanding   int
	estimatedWork float64
}

// simulatedRequest is a request of the simulation. Its cost is the time in seconds for which
// it occupies a server.
type simulatedRequest struct {
	size int
	cost float64
}

// costEstimator estimates the cost of a request as that of the completed request with the
// most similar size. The idea is from the paper RadarScanner@Cloud, whose load balancer
// selects the server with the least sum of estimated costs.
type costEstimator struct {
	// costBySizeClass is the last observed cost in each size class.
	costBySizeClass map[int]float64
}

func sizeClass(size int) int { return int(math.Log2(float64(size)) * 2) }

func (s *costEstimator) estimate(size int) float64 {
	c := sizeClass(size)
	for distance := range 64 {
		for _, class := range []int{c - distance, c + distance} {
			if cost, ok := s.costBySizeClass[class]; ok {
				return cost
			}
		}
	}
	return meanCost.Seconds()
}

// departure is the completion of a request at a server. departsAt is in seconds since the
// start of the simulation and estimatedCost is in seconds.
type departure struct {
	departsAt     float64
	entry         int
	server        int
	request       simulatedRequest
	estimatedCost float64
}

// departureHeap is a heap.Interface whose first element is the next departure.
type departureHeap []departure

func (d departureHeap) Len() int           { return len(d) }
func (d departureHeap) Less(i, j int) bool { return d[i].departsAt < d[j].departsAt }
func (d departureHeap) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *departureHeap) Push(x any)        { *d = append(*d, x.(departure)) }
func (d *departureHeap) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// Routing simulates requests of very different cost to servers that process one request at
// a time, and returns the waiting times under each load-balancing policy. The size of a
// request, which its entry observes, determines its cost up to a log-normal noise factor.
// Each entry observes only its own requests.
func Routing(seed int64, noise float64, entries int) []RoutingResult {
	var out []RoutingResult
	for _, p := range []routing.Policy{
		routing.PolicyRandom, routing.PolicyRoundRobin, routing.PolicyLeastOutstanding, routing.PolicyWeighted,
	} {
		out = append(out, simulateRouting(p.String(), seed, noise, entries, func(c []serverView, turn uint64, random *rand.Rand) int {
			candidates := make([]routing.Candidate, len(c))
			for i := range c {
				candidates[i] = routing.Candidate{SameDataCentre: true, Outstanding: c[i].outstanding}
			}
			// No server has requestCount outstanding requests, so the limit never applies.
			return routing.Choose(p, candidates, requestCount, turn, random.Intn)
		}))
	}
	return append(out, simulateRouting("SumOfEstimatedCosts", seed, noise, entries, leastEstimatedWork))
}

// leastEstimatedWork chooses the server with the least sum of estimated costs. The search
// starts at a random server, so that equal sums do not always yield the first one.
func leastEstimatedWork(c []serverView, _ uint64, random *rand.Rand) int {
	best := random.Intn(len(c))
	for i := range c {
		if c[i].estimatedWork < c[best].estimatedWork {
			best = i
		}
	}
	return best
}

// simulateRouting runs the simulation under one policy.
func simulateRouting(name string, seed int64, noise float64, entries int,
	choose func(c []serverView, turn uint64, random *rand.Rand) int,
) RoutingResult {
	random := rand.New(rand.NewSource(seed))
	waits := hdrhistogram.New(1, 3_600_000, 3)
	views := make([][]serverView, entries)
	for e := range views {
		views[e] = make([]serverView, serverCount)
	}
	freeAt := make([]float64, serverCount)
	estimator := &costEstimator{costBySizeClass: map[int]float64{}}
	var departures departureHeap
	now := 0.0
	for turn := range uint64(requestCount) {
		now += random.ExpFloat64() * meanCost.Seconds() / (serverCount * utilization)
		for len(departures) > 0 && departures[0].departsAt <= now {
			d := heap.Pop(&departures).(departure)
			views[d.entry][d.server].outstanding--
			views[d.entry][d.server].estimatedWork -= d.estimatedCost
			estimator.costBySizeClass[sizeClass(d.request.size)] = d.request.cost
		}
		r := randomRequest(random, noise)
		entry := random.Intn(entries)
		i := choose(views[entry], turn, random)
		start := max(now, freeAt[i])
		_ = waits.RecordValue(int64((start - now) * 1000))
		freeAt[i] = start + r.cost
		estimate := estimator.estimate(r.size)
		views[entry][i].outstanding++
		views[entry][i].estimatedWork += estimate
		heap.Push(&departures, departure{freeAt[i], entry, i, r, estimate})
	}
	percentile := func(p float64) float64 { return float64(waits.ValueAtPercentile(p)) / 1000 }
	return RoutingResult{Policy: name, P50: percentile(50), P95: percentile(95), P99: percentile(99)}
}

// randomRequest returns a request with a log-normal size and a cost that depends on it.
func randomRequest(random *rand.Rand, noise float64) simulatedRequest {
	const spread = 1.0
	size := math.Exp(random.NormFloat64() * spread)
	cost := size / math.Exp(spread*spread/2) * math.Exp(random.NormFloat64()*noise-noise*noise/2)
	return simulatedRequest{size: int(size*1000) + 1, cost: cost * meanCost.Seconds()}
}
