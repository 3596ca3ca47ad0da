package placement

import (
	"math"
	"time"
)

const (
	// Gaps between arrivals are counted in classes of powers of two seconds.
	gapClasses = 24
	// decay ages old gaps, so that a season's change is followed.
	decay = 0.98
	// priorWeight is how many gaps the prior belief counts for.
	priorWeight = 2.0
	secondsHour = 3600
)

// Pattern is what is learnt of one target's arrivals. The zero value knows
// nothing. It is not safe for several goroutines.
type Pattern struct {
	// gaps counts the gaps from 2^i to 2^(i+1) seconds, aged by decay.
	gaps [gapClasses]float32
	last time.Time
}

// Arrive takes note of an arrival. Several arrivals at one time count as one.
func (p *Pattern) Arrive(at time.Time) {
	if p.last.IsZero() || at.Before(p.last) {
		p.last = at
		return
	}
	gap := at.Sub(p.last)
	p.last = at
	if gap < time.Second {
		return
	}
	for i := range p.gaps {
		p.gaps[i] *= decay
	}
	p.gaps[classOf(gap)]++
}

// Last returns the time of the latest arrival.
func (p *Pattern) Last() time.Time { return p.last }

func classOf(gap time.Duration) int {
	c := int(math.Log2(max(gap.Seconds(), 1)))
	return min(max(c, 0), gapClasses-1)
}

// share returns the belief that a gap falls in a class: what was seen, joined
// with a prior that spreads over all classes.
func (p *Pattern) share(class int) float64 {
	const prior = priorWeight / gapClasses
	if p == nil {
		return 1.0 / gapClasses
	}
	total := 0.0
	for _, g := range p.gaps {
		total += float64(g)
	}
	return (float64(p.gaps[class]) + prior) / (total + priorWeight)
}

// KeepFor returns how long to keep an idle replica after its last use: the
// waiting time that makes the expected price of a gap least, given the price of
// a cold start and that of an idle hour. A nil Pattern knows only the prior.
func (p *Pattern) KeepFor(coldPrice, idlePrice float64) time.Duration {
	if idlePrice <= 0 {
		return time.Duration(math.MaxInt64)
	}
	perSecond := idlePrice / secondsHour
	best, bestCost := 0.0, math.Inf(1)
	for c := -1; c < gapClasses; c++ {
		keep := 0.0
		if c >= 0 {
			keep = math.Exp2(float64(c + 1))
		}
		if cost := p.gapPrice(keep, coldPrice, perSecond); cost < bestCost {
			best, bestCost = keep, cost
		}
	}
	return time.Duration(best * float64(time.Second))
}

func (p *Pattern) gapPrice(keep, coldPrice, perSecond float64) float64 {
	cost := 0.0
	for c := range gapClasses {
		gap := 1.5 * math.Exp2(float64(c))
		if gap <= keep {
			cost += p.share(c) * gap * perSecond
			continue
		}
		cost += p.share(c) * (keep*perSecond + coldPrice)
	}
	return cost
}

// ChanceWithin returns the chance of an arrival in the time ahead, for a target
// that has been idle for a time already.
func (p *Pattern) ChanceWithin(idle, ahead time.Duration) float64 {
	soon, later := 0.0, 0.0
	for c := range gapClasses {
		gap := 1.5 * math.Exp2(float64(c))
		switch {
		case gap <= idle.Seconds():
		case gap <= (idle + ahead).Seconds():
			soon += p.share(c)
		default:
			later += p.share(c)
		}
	}
	if soon+later == 0 {
		return 0
	}
	return soon / (soon + later)
}
