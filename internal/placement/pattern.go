package placement

import (
	"math"
	"math/bits"
	"time"
)

const (
	// Gaps between arrivals are counted in classes of powers of two seconds.
	gapClasses = 24
	// gapDecay is the factor by which each new gap reduces the weight of the older ones, so that
	// the pattern follows seasonal changes.
	gapDecay = 0.98
	// priorWeight is the weight of the prior, in gaps.
	priorWeight = 2.0
	// visitGap separates two visits: closer arrivals belong to one burst.
	visitGap = time.Minute
	// shortIdle is the idle time up to which the gaps predict the next arrival; after it the
	// time of day does.
	shortIdle = 10 * time.Minute
	// binsPerDay is the number of times of day that are counted separately, for working days
	// and for weekends.
	binsPerDay = 48
	dayKinds   = 2
	binWidth   = 24 * time.Hour / binsPerDay
	// priorHours is the weight of the mean rate in the rate of one time of day, in hours of
	// observation.
	priorHours = 1.0
	// horizon is how far ahead the gain of holding a replica is computed.
	horizon = 24 * time.Hour
	// firstStep is the step at the beginning of the horizon; steps grow with it.
	firstStep       = 15 * time.Second
	workDaysPerWeek = 5.0
)

// ArrivalPattern is the arrival statistics of one target. It is not safe for concurrent use.
type ArrivalPattern struct {
	// gaps is the number of gaps from 2^i to 2^(i+1) seconds, weighted with gapDecay.
	gaps [gapClasses]float32
	// visits counts the visits by kind of day and time of day.
	visits        [dayKinds][binsPerDay]float32
	totalVisits   float32
	observedSince time.Time
	lastArrival   time.Time
}

// NewArrivalPattern returns the pattern of a target observed since a time.
func NewArrivalPattern(since time.Time) *ArrivalPattern { return &ArrivalPattern{observedSince: since} }

// RecordArrival records an arrival.
func (p *ArrivalPattern) RecordArrival(at time.Time) {
	if at.Before(p.lastArrival) {
		return
	}
	gap := at.Sub(p.lastArrival)
	if p.lastArrival.IsZero() || gap > visitGap {
		kind, bin := binOf(at)
		p.visits[kind][bin]++
		p.totalVisits++
	}
	first := p.lastArrival.IsZero()
	p.lastArrival = at
	if first || gap < time.Second {
		return
	}
	for i := range p.gaps {
		p.gaps[i] *= gapDecay
	}
	p.gaps[classOf(gap)]++
}

func classOf(gap time.Duration) int {
	seconds := uint64(max(gap, time.Second) / time.Second)
	return min(bits.Len64(seconds)-1, gapClasses-1)
}

const (
	secondsPerDay = 24 * 3600
	// The first of January 1970 was a Thursday, the fourth day after a Sunday.
	firstWeekday = 4
	daysPerWeek  = 7
)

// binOf returns the kind of day and the time of day as indices of visits. It computes them from
// Unix seconds rather than a calendar date, as it is called many times in a decision.
func binOf(at time.Time) (kind, bin int) {
	seconds := at.Unix()
	switch (seconds/secondsPerDay + firstWeekday) % daysPerWeek {
	case int64(time.Saturday), int64(time.Sunday):
		kind = 1
	}
	return kind, int(seconds % secondsPerDay * binsPerDay / secondsPerDay)
}

// rate returns the expected visits per hour at a time: those observed at that time of day,
// shrunk towards the mean over all times.
func (p *ArrivalPattern) rate(at, now time.Time) float64 {
	observedHours := max(now.Sub(p.observedSince).Hours(), 1)
	mean := float64(p.totalVisits) / observedHours
	kind, bin := binOf(at)
	days := workDaysPerWeek
	if kind == 1 {
		days = daysPerWeek - workDaysPerWeek
	}
	observed := observedHours / (daysPerWeek * 24) * days * binWidth.Hours()
	return (float64(p.visits[kind][bin]) + mean*priorHours) / (observed + priorHours)
}

// hazard returns the expected arrivals per hour at a time, for a target that has been idle for
// a duration by then.
func (p *ArrivalPattern) hazard(at, now time.Time, idle time.Duration) float64 {
	rate := p.rate(at, now)
	if idle >= shortIdle {
		return rate
	}
	const prior = priorWeight / gapClasses
	class := classOf(idle)
	laterGaps := prior * float64(gapClasses-class)
	for _, g := range p.gaps[class:] {
		laterGaps += float64(g)
	}
	width := float64(int64(1)<<class) / time.Hour.Seconds()
	return max(rate, (float64(p.gaps[class])+prior)/laterGaps/width)
}

// HoldGain returns the highest expected gain of holding a replica from now on for some time,
// for a target that has been idle for a duration: the price of the cold start that it saves,
// times its probability, less the price of the idle time until then, where idlePrice is the
// price of an hour. 0 means that unloading it now is best. The search ends as soon as the gain
// is above enough. A nil ArrivalPattern expects no arrivals.
func (p *ArrivalPattern) HoldGain(now time.Time, idle time.Duration, coldPrice, idlePrice, enough float64) float64 {
	if p == nil {
		return 0
	}
	best, gain, noArrival := 0.0, 0.0, 1.0
	step := firstStep
	for ahead := time.Duration(0); ahead < horizon && noArrival > 0.01 && best <= enough; ahead += step {
		step = min(max(firstStep, ahead/2), binWidth)
		expected := p.hazard(now.Add(ahead+step/2), now, idle+ahead+step/2) * step.Hours()
		arrival := 1 - math.Exp(-expected)
		// With an arrival in the step, half of it is idle on average.
		gain += noArrival * (arrival*coldPrice - (1-arrival/2)*step.Hours()*idlePrice)
		noArrival *= 1 - arrival
		best = max(best, gain)
	}
	return best
}

// ArrivalProbability returns the probability of an arrival within the duration ahead, for a
// target that has been idle for a duration.
func (p *ArrivalPattern) ArrivalProbability(now time.Time, idle, ahead time.Duration) float64 {
	if p == nil {
		return 0
	}
	return 1 - math.Exp(-p.hazard(now.Add(ahead/2), now, idle+ahead/2)*ahead.Hours())
}

// IdleHoursPerDay returns the expected hours per day that a replica is held idle, from the
// visits recorded so far and the gains at these prices, where idlePrice is the price of an hour.
func (p *ArrivalPattern) IdleHoursPerDay(now time.Time, coldPrice, idlePrice float64) float64 {
	if p == nil {
		return 0
	}
	total := time.Duration(0)
	for at := time.Duration(0); at < 24*time.Hour; at += binWidth {
		if p.HoldGain(now.Add(at), shortIdle, coldPrice, idlePrice, 0) > 0 {
			total += binWidth
		}
	}
	return total.Hours()
}
