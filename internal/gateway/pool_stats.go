package gateway

import (
	"math"
	"time"
)

const (
	// readRateAtFirst is how many prompt tokens an engine is taken to read in a
	// millisecond before any was timed: what accelerators of today do for models of
	// some ten GB, within a factor of three.
	readRateAtFirst = 40.0
	// readPrior is the weight of that guess, in requests.
	readPrior = 8.0
	// observedOver is over how many requests what is observed is averaged: an entry
	// sends as many within ten seconds or so.
	observedOver = 100.0
	// firstWaitMost bounds the time to a first event that is learned from: what takes
	// longer has waited for something else than reading.
	firstWaitMost = time.Second
	// longGapPart is the part of the shortest pause that a pool's streams are allowed,
	// one in so many, from which on reading a prompt counts as long: a few of them in
	// a row, between two events of another stream, make that one late. Where pauses of
	// 500 ms are allowed and 38 tokens are read in a millisecond, these are 3,800
	// tokens.
	longGapPart = 5
	// longShare is the part of all tokens to be read that long prompts must have for
	// engines to be set apart for them. Setting engines apart for one prompt in ten
	// presses all others onto a third of a model's engines.
	longShare = 0.5
)

// observed is what an entry has seen of a pool's engines and prompts. Decisions
// weigh tokens and requests in milliseconds of an engine's time by it, so that they
// hold for other engines and other prompts than those of today.
type observed struct {
	// The weighted sums of a least-squares line through the times from dispatch to
	// first event, in ms, over the tokens that were to be read until then.
	n, x, y, xx, xy float64
	// tokens and long are averages of the tokens that requests bring to be read, in
	// all and in long prompts.
	tokens, long float64
	// run is an average of how long engines have a request, in ms; 0: none has ended.
	run float64
	// gap is the shortest pause between events that a stream of the pool is allowed.
	gap time.Duration
}

func newObserved() *observed {
	o := &observed{}
	// Two guesses, at no tokens and at a thousand, make the first line.
	for _, tokens := range []float64{0, 1000} {
		o.add(tokens, tokens/readRateAtFirst, readPrior/2)
	}
	return o
}

func (o *observed) add(x, y, weight float64) {
	o.n += weight
	o.x += weight * x
	o.y += weight * y
	o.xx += weight * x * x
	o.xy += weight * x * y
}

// read notes how long the first event of a request took that had so many tokens to
// be read before it, its own among them.
func (o *observed) read(tokens int, took time.Duration) {
	if took > firstWaitMost {
		return
	}
	keep := 1 - 1/observedOver
	o.n, o.x, o.y, o.xx, o.xy = o.n*keep, o.x*keep, o.y*keep, o.xx*keep, o.xy*keep
	o.add(float64(tokens), float64(took.Microseconds())/1000, 1)
}

// readRate is how many prompt tokens an engine reads in a millisecond. It is kept
// within a factor of ten of the first guess: requests that waited for other things
// can tilt the line.
func (o *observed) readRate() float64 {
	spread := o.n*o.xx - o.x*o.x
	slope := o.n*o.xy - o.x*o.y
	if spread <= 0 {
		return readRateAtFirst
	}
	if slope <= 0 {
		return readRateAtFirst * 10
	}
	return min(max(spread/slope, readRateAtFirst/10), readRateAtFirst*10)
}

// readTime is how long an engine reads so many tokens.
func (o *observed) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / o.readRate() * float64(time.Millisecond))
}

// arrive notes a request's prompt.
func (o *observed) arrive(c *RequestInfo) {
	long := 0.0
	if o.isLong(c) {
		long = float64(c.PromptTokens)
	}
	o.tokens += (float64(c.PromptTokens) - o.tokens) / observedOver
	o.long += (long - o.long) / observedOver
}

// end notes for how long an engine had a request.
func (o *observed) end(took time.Duration) {
	ms := float64(took.Milliseconds())
	if o.run == 0 {
		o.run = ms
	}
	o.run += (ms - o.run) / observedOver
}

// slotCost is what a request costs that comes to an engine with so many requests, by
// its slots, in ms: once they are in use it waits until one of them ends. Of others'
// requests an entry has heard late, so that it keeps clear of the last few slots.
func (o *observed) slotCost(running, slots int) float64 {
	if slots == 0 {
		return 0
	}
	return o.run / float64(slots) * max(0, float64(running+1)-slotsUsed*float64(slots))
}

// slotsUsed is the part of an engine's slots up to which requests are taken not to
// wait.
const slotsUsed = 0.75

// arrivals is how often an entry sends requests for a model.
type arrivals struct {
	rate float64
	at   time.Time
}

// arrivalWindow is the time over which it is averaged: as long as demand takes to
// move from one model to another.
const arrivalWindow = 4 * time.Second

func (a *arrivals) note(now time.Time) {
	a.rate = a.rateAt(now) + 1/arrivalWindow.Seconds()
	a.at = now
}

func (a *arrivals) rateAt(now time.Time) float64 {
	return a.rate * math.Exp(-now.Sub(a.at).Seconds()/arrivalWindow.Seconds())
}

// isLong reports whether reading a prompt holds up the streams beside it for long.
func (o *observed) isLong(c *RequestInfo) bool {
	if o.gap <= 0 {
		return false
	}
	return float64(c.PromptTokens)/o.readRate() >= float64(o.gap.Milliseconds())/longGapPart
}

// apart reports whether long prompts are so much of the reading that engines are
// set apart for them.
func (o *observed) apart() bool { return o.long > longShare*o.tokens && o.tokens > 0 }

// shared is how long an engine reads what a call shares with others, in ms.
func (o *observed) shared(c *RequestInfo) float64 {
	tokens := 0
	for _, p := range c.PromptParts[:max(len(c.PromptParts)-1, 0)] {
		tokens += p.Tokens
	}
	return float64(tokens) / o.readRate()
}
