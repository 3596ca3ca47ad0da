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
	routedServers  = 20
	routedRequests = 200000
	// utilization of the servers by the offered work.
	utilization = 0.75
	meanCost    = time.Second
)

// RoutingResult is how long requests waited under one way to choose a server.
type RoutingResult struct {
	Policy string  `json:"policy"`
	P50    float64 `json:"wait-p50"`
	P95    float64 `json:"wait-p95"`
	P99    float64 `json:"wait-p99"`
}

// view is what one entry knows of one server: its own requests there.
type view struct {
	outstanding int
	work        float64
}

type routed struct {
	size int
	cost float64
}

// similar estimates a request's cost as that of the known request with the most
// similar size: the idea of the paper RadarScanner@Cloud, whose load balancer
// sends to the server with the least sum of estimated costs.
type similar struct {
	// known holds the last cost seen in each class of sizes.
	known map[int]float64
}

func classOfSize(size int) int { return int(math.Log2(float64(size)) * 2) }

func (s *similar) estimate(size int) float64 {
	c := classOfSize(size)
	for distance := range 64 {
		for _, near := range []int{c - distance, c + distance} {
			if cost, ok := s.known[near]; ok {
				return cost
			}
		}
	}
	return meanCost.Seconds()
}

type departure struct {
	at     float64
	entry  int
	server int
	r      routed
	held   float64
}

type departures []departure

func (d departures) Len() int           { return len(d) }
func (d departures) Less(i, j int) bool { return d[i].at < d[j].at }
func (d departures) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *departures) Push(x any)        { *d = append(*d, x.(departure)) }
func (d *departures) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// Routing sends requests of very different cost to servers that work on one at
// a time and returns the waits under each way to choose. The size of a request,
// which an entry sees, explains its cost up to a factor of noise.
// Each entry sees only its own requests.
func Routing(seed int64, noise float64, entries int) []RoutingResult {
	var out []RoutingResult
	for _, p := range []routing.Policy{
		routing.PolicyRandom, routing.PolicyRoundRobin, routing.PolicyLeastOutstanding, routing.PolicyWeighted,
	} {
		out = append(out, route(p.String(), seed, noise, entries, func(c []view, turn uint64, random *rand.Rand) int {
			candidates := make([]routing.Candidate, len(c))
			for i := range c {
				candidates[i] = routing.Candidate{SameDataCentre: true, Outstanding: c[i].outstanding}
			}
			return routing.Choose(p, candidates, routedRequests, turn, random.Intn)
		}))
	}
	return append(out, route("SumOfEstimatedCosts", seed, noise, entries, leastWork))
}

// leastWork chooses the least sum of estimated costs, at random among equals.
func leastWork(c []view, _ uint64, random *rand.Rand) int {
	best := random.Intn(len(c))
	for i := range c {
		if c[i].work < c[best].work {
			best = i
		}
	}
	return best
}

func route(name string, seed int64, noise float64, entries int,
	choose func(c []view, turn uint64, random *rand.Rand) int,
) RoutingResult {
	random := rand.New(rand.NewSource(seed))
	waits := hdrhistogram.New(1, 3_600_000, 3)
	views := make([][]view, entries)
	for e := range views {
		views[e] = make([]view, routedServers)
	}
	free := make([]float64, routedServers)
	estimates := &similar{known: map[int]float64{}}
	var leaving departures
	now := 0.0
	for turn := range uint64(routedRequests) {
		now += random.ExpFloat64() * meanCost.Seconds() / (routedServers * utilization)
		for len(leaving) > 0 && leaving[0].at <= now {
			d := heap.Pop(&leaving).(departure)
			views[d.entry][d.server].outstanding--
			views[d.entry][d.server].work -= d.held
			estimates.known[classOfSize(d.r.size)] = d.r.cost
		}
		r := draw(random, noise)
		entry := random.Intn(entries)
		i := choose(views[entry], turn, random)
		start := max(now, free[i])
		_ = waits.RecordValue(int64((start - now) * 1000))
		free[i] = start + r.cost
		estimate := estimates.estimate(r.size)
		views[entry][i].outstanding++
		views[entry][i].work += estimate
		heap.Push(&leaving, departure{free[i], entry, i, r, estimate})
	}
	at := func(p float64) float64 { return float64(waits.ValueAtPercentile(p)) / 1000 }
	return RoutingResult{Policy: name, P50: at(50), P95: at(95), P99: at(99)}
}

// draw makes a request: sizes are log-normal, the cost follows the size.
func draw(random *rand.Rand, noise float64) routed {
	const spread = 1.0
	size := math.Exp(random.NormFloat64() * spread)
	cost := size / math.Exp(spread*spread/2) * math.Exp(random.NormFloat64()*noise-noise*noise/2)
	return routed{size: int(size*1000) + 1, cost: cost * meanCost.Seconds()}
}
