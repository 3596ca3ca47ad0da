package placement

import (
	"math"
	"math/bits"
	"time"
)

const (
	// Gaps between arrivals are counted in classes of powers of two seconds.
	gapClasses = 24
	// decay ages old gaps, so that a season's change is followed.
	decay = 0.98
	// priorWeight is how many gaps the prior belief counts for.
	priorWeight = 2.0
	// visitGap parts two visits: arrivals closer than this belong to one burst.
	visitGap = time.Minute
	// shortAge is the idle time up to which the gaps tell when the next arrival
	// comes; after it the time of day does.
	shortAge = 10 * time.Minute
	// binsPerDay is the number of times of day that are told apart, for working
	// days and for weekends.
	binsPerDay = 48
	dayKinds   = 2
	binWidth   = 24 * time.Hour / binsPerDay
	// priorHours is how many hours of observation the mean rate counts for in
	// the rate of one time of day.
	priorHours = 1.0
	// horizon is how far ahead the worth of a replica is looked at.
	horizon = 24 * time.Hour
	// firstStep is the step at the beginning of the horizon; it grows with it.
	firstStep = 15 * time.Second
	workDays  = 5.0
)

// ArrivalPattern is what is learnt of one target's arrivals. It is not safe for
// several goroutines.
type ArrivalPattern struct {
	// gaps counts the gaps from 2^i to 2^(i+1) seconds, aged by decay.
	gaps [gapClasses]float32
	// visits counts the visits by kind of day and time of day.
	visits [dayKinds][binsPerDay]float32
	total  float32
	began  time.Time
	last   time.Time
}

// NewArrivalPattern returns a pattern that has been watched since a time.
func NewArrivalPattern(began time.Time) *ArrivalPattern { return &ArrivalPattern{began: began} }

// RecordArrival takes note of an arrival.
func (p *ArrivalPattern) RecordArrival(at time.Time) {
	if at.Before(p.last) {
		return
	}
	gap := at.Sub(p.last)
	if p.last.IsZero() || gap > visitGap {
		kind, bin := binOf(at)
		p.visits[kind][bin]++
		p.total++
	}
	first := p.last.IsZero()
	p.last = at
	if first || gap < time.Second {
		return
	}
	for i := range p.gaps {
		p.gaps[i] *= decay
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

// binOf counts from the clock's seconds: it is asked for many times a decision.
func binOf(at time.Time) (kind, bin int) {
	seconds := at.Unix()
	switch (seconds/secondsPerDay + firstWeekday) % daysPerWeek {
	case int64(time.Saturday), int64(time.Sunday):
		kind = 1
	}
	return kind, int(seconds % secondsPerDay * binsPerDay / secondsPerDay)
}

// rate returns the expected visits per hour at a time: what was seen at that
// time of day, drawn towards the mean over all times.
func (p *ArrivalPattern) rate(at, now time.Time) float64 {
	watched := max(now.Sub(p.began).Hours(), 1)
	mean := float64(p.total) / watched
	kind, bin := binOf(at)
	days := workDays
	if kind == 1 {
		days = daysPerWeek - workDays
	}
	seen := watched / (daysPerWeek * 24) * days * binWidth.Hours()
	return (float64(p.visits[kind][bin]) + mean*priorHours) / (seen + priorHours)
}

// hazard returns the expected arrivals per hour at a time, for a target that
// has been idle for a time by then.
func (p *ArrivalPattern) hazard(at, now time.Time, idle time.Duration) float64 {
	rate := p.rate(at, now)
	if idle >= shortAge {
		return rate
	}
	const prior = priorWeight / gapClasses
	class := classOf(idle)
	later := prior * float64(gapClasses-class)
	for _, g := range p.gaps[class:] {
		later += float64(g)
	}
	width := float64(int64(1)<<class) / time.Hour.Seconds()
	return max(rate, (float64(p.gaps[class])+prior)/later/width)
}

// HoldGain returns the highest expected gain of holding a replica from now on for
// some time, for a target that has been idle for a time: the price of the cold
// start that is spared, by its chance, less the price of the idle time until
// then. 0 means that letting it go now is best. The search ends as soon as the
// gain is above enough. A nil Pattern expects nothing.
func (p *ArrivalPattern) HoldGain(now time.Time, idle time.Duration, coldPrice, idlePrice, enough float64) float64 {
	if p == nil {
		return 0
	}
	best, gain, absent := 0.0, 0.0, 1.0
	step := firstStep
	for ahead := time.Duration(0); ahead < horizon && absent > 0.01 && best <= enough; ahead += step {
		step = min(max(firstStep, ahead/2), binWidth)
		expected := p.hazard(now.Add(ahead+step/2), now, idle+ahead+step/2) * step.Hours()
		arrives := 1 - math.Exp(-expected)
		// With an arrival in the step, half of it is idle on average.
		gain += absent * (arrives*coldPrice - (1-arrives/2)*step.Hours()*idlePrice)
		absent *= 1 - arrives
		best = max(best, gain)
	}
	return best
}

// ArrivalProbability returns the chance of an arrival in the time ahead, for a target
// that has been idle for a time already.
func (p *ArrivalPattern) ArrivalProbability(now time.Time, idle, ahead time.Duration) float64 {
	if p == nil {
		return 0
	}
	return 1 - math.Exp(-p.hazard(now.Add(ahead/2), now, idle+ahead/2)*ahead.Hours())
}

// IdleHoursPerDay returns the expected hours per day that a replica is held idle, by
// the visits seen so far and the gains at these prices.
func (p *ArrivalPattern) IdleHoursPerDay(now time.Time, coldPrice, idlePrice float64) float64 {
	if p == nil {
		return 0
	}
	held := time.Duration(0)
	for at := time.Duration(0); at < 24*time.Hour; at += binWidth {
		if p.HoldGain(now.Add(at), shortAge, coldPrice, idlePrice, 0) > 0 {
			held += binWidth
		}
	}
	return held.Hours()
}
