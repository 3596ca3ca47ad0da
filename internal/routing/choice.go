// Package routing selects a replica for a request and sends the request to it.
package routing

import (
	"math"
	"time"
)

//go:generate go tool stringer -type=Policy -trimprefix=Policy

// Policy is a load balancing policy.
type Policy int

// The policies. PolicyWeighted is the one in use; the others are baselines.
const (
	PolicyWeighted Policy = iota
	PolicyRandom
	PolicyRoundRobin
	PolicyLeastOutstanding
)

const (
	// sampleSize is the number of candidates compared: with this many the load
	// spreads almost as well as with all, and no full scan is needed.
	sampleSize = 16
	// reportHalfLife is the age at which a server's reported requests of other
	// entries count half.
	reportHalfLife = 2 * time.Second
	// crossDataCentrePenalty is the cost of another data centre, in outstanding
	// requests.
	crossDataCentrePenalty = 0.5
	// prefixBonus is the benefit of a probably cached prefix, in outstanding
	// requests.
	prefixBonus = 2.0
)

// Candidate is a replica or an application server that may serve a request.
type Candidate struct {
	Server      string
	Incarnation uint64
	Address     string
	// SameDataCentre is true in the entry's own data centre.
	SameDataCentre bool
	// Outstanding counts this entry's own requests at the server.
	Outstanding int
	// Reported is the number of requests that the server last reported, minus
	// this entry's requests at that time; ReportAge is the age of the report.
	Reported  int
	ReportAge time.Duration
	// PrefixMatch is true if the server was the last to serve a request with the
	// same prefix.
	PrefixMatch bool
	// LatencyRatio is the server's time to first byte divided by that of its
	// peers; 1 or 0 if unknown.
	LatencyRatio float64
}

// Choose returns the index of the selected candidate among those with less than
// limit outstanding requests, or -1. It is a pure function of its arguments:
// random returns a number in [0, n), and turn counts the selections.
func Choose(p Policy, candidates []Candidate, limit int, turn uint64, random func(n int) int) int {
	available := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if c.Outstanding < limit {
			available = append(available, i)
		}
	}
	if len(available) == 0 {
		return -1
	}
	switch p {
	case PolicyRandom:
		return available[random(len(available))]
	case PolicyRoundRobin:
		return available[turn%uint64(len(available))]
	case PolicyLeastOutstanding:
		return lowestCost(candidates, available, func(c Candidate) float64 { return float64(c.Outstanding) })
	default:
		return lowestCost(candidates, sampleCandidates(candidates, available, random), cost)
	}
}

// sampleCandidates returns the indexes of the candidates to compare, in random
// order: entries with the same view of the servers, in particular idle entries,
// would otherwise all select the first of several equal candidates. A candidate
// with a prefix match is always included.
func sampleCandidates(candidates []Candidate, available []int, random func(n int) int) []int {
	size := min(sampleSize, len(available))
	sampled := make([]int, 0, size+1)
	for k := range size {
		j := k + random(len(available)-k)
		available[k], available[j] = available[j], available[k]
		sampled = append(sampled, available[k])
	}
	for _, i := range available[size:] {
		if candidates[i].PrefixMatch {
			return append(sampled, i)
		}
	}
	return sampled
}

func lowestCost(candidates []Candidate, indexes []int, costOf func(Candidate) float64) int {
	best := indexes[0]
	for _, i := range indexes[1:] {
		if costOf(candidates[i]) < costOf(candidates[best]) {
			best = i
		}
	}
	return best
}

// cost returns the expected work ahead of a new request, in outstanding requests.
func cost(c Candidate) float64 {
	reportWeight := math.Exp2(-float64(c.ReportAge) / float64(reportHalfLife))
	work := float64(c.Outstanding) + float64(c.Reported)*reportWeight
	if c.LatencyRatio > 1 {
		work = (work + 1) * c.LatencyRatio
	}
	if !c.SameDataCentre {
		work += crossDataCentrePenalty
	}
	if c.PrefixMatch {
		work -= prefixBonus
	}
	return work
}
