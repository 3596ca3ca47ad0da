// Package routing chooses a replica for a request and sends the request there.
package routing

import (
	"math"
	"time"
)

//go:generate go tool stringer -type=Policy -trimprefix=Policy

// Policy is a way to choose among replicas.
type Policy int

// The policies. PolicyWeighted is the one in use; the others are baselines.
const (
	PolicyWeighted Policy = iota
	PolicyRandom
	PolicyRoundRobin
	PolicyLeastOutstanding
)

const (
	// sampleSize is how many candidates are compared: beyond that the load
	// spreads almost as well as with all, and no scan is needed.
	sampleSize = 16
	// reportHalfLife is the age at which a report of others' work counts half.
	reportHalfLife = 2 * time.Second
	// nearPenalty is the price of another data centre, in outstanding requests.
	nearPenalty = 0.5
	// prefixBonus is the worth of a likely cached prefix, in outstanding requests.
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
	// Reported is the server's last word on all its requests, minus this
	// entry's share at that time; ReportAge is its age.
	Reported  int
	ReportAge time.Duration
	// PrefixMatch is true when the server answered a request with the same prefix.
	PrefixMatch bool
	// LatencyRatio is the server's first-byte time over that of its peers; 1 or 0
	// when unknown.
	LatencyRatio float64
}

// Choose returns the index of the chosen candidate among those with less than
// limit outstanding requests, or -1. It is a pure function of its arguments:
// random returns a number from 0 to below n, and turn counts the choices.
func Choose(p Policy, candidates []Candidate, limit int, turn uint64, random func(n int) int) int {
	open := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if c.Outstanding < limit {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return -1
	}
	switch p {
	case PolicyRandom:
		return open[random(len(open))]
	case PolicyRoundRobin:
		return open[turn%uint64(len(open))]
	case PolicyLeastOutstanding:
		return cheapest(candidates, open, func(c Candidate) float64 { return float64(c.Outstanding) })
	default:
		return cheapest(candidates, sample(candidates, open, random), cost)
	}
}

// sample picks the candidates to compare, in random order: entries that see the
// same picture, an idle one above all, would otherwise all choose the first of
// equals. A candidate with a cached prefix is always compared.
func sample(candidates []Candidate, open []int, random func(n int) int) []int {
	size := min(sampleSize, len(open))
	picked := make([]int, 0, size+1)
	for k := range size {
		j := k + random(len(open)-k)
		open[k], open[j] = open[j], open[k]
		picked = append(picked, open[k])
	}
	for _, i := range open[size:] {
		if candidates[i].PrefixMatch {
			return append(picked, i)
		}
	}
	return picked
}

func cheapest(candidates []Candidate, among []int, price func(Candidate) float64) int {
	best := among[0]
	for _, i := range among[1:] {
		if price(candidates[i]) < price(candidates[best]) {
			best = i
		}
	}
	return best
}

// cost is the expected work before a new request, in outstanding requests.
func cost(c Candidate) float64 {
	fresh := math.Exp2(-float64(c.ReportAge) / float64(reportHalfLife))
	work := float64(c.Outstanding) + float64(c.Reported)*fresh
	if c.LatencyRatio > 1 {
		work = (work + 1) * c.LatencyRatio
	}
	if !c.SameDataCentre {
		work += nearPenalty
	}
	if c.PrefixMatch {
		work -= prefixBonus
	}
	return work
}
