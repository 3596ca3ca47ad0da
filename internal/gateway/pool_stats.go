package gateway

import (
	"math"
	"time"
)

const (
	// initialPrefillRate is the assumed prefill rate of an engine in prompt tokens per millisecond
	// before any sample: within a factor of three of what current accelerators reach for models of
	// some ten GB.
	initialPrefillRate = 40.0
	// initialSampleWeight is the weight of the assumed rate, in requests.
	initialSampleWeight = 8.0
	// averagedRequests is the number of requests over which statistics are averaged: an entry
	// sends as many within about ten seconds.
	averagedRequests = 100.0
	// maxFirstEventWait is the longest time to a first event that is used as a sample: a longer
	// one has waited for something other than prefill.
	maxFirstEventWait = time.Second
	// longPromptGapDivisor divides the minGap of a pool; a prompt whose prefill takes at least the
	// result counts as long. A few such prefills in a row between two events of another stream
	// make the event late. With allowed pauses of 500 ms and 38 tokens per millisecond, prompts
	// from 3,800 tokens on are long.
	longPromptGapDivisor = 5
	// minLongPromptShare is the share of all prefill tokens that long prompts must have for
	// engines to be reserved for them. Reserving engines for one long prompt in ten would press
	// all other requests onto a third of a model's engines.
	minLongPromptShare = 0.5
)

// poolStats holds the statistics of a pool's engines and prompts as observed by an entry.
// Scheduling decisions convert tokens and requests into milliseconds of engine time by it, so
// that they adapt to the engines and prompts in use.
type poolStats struct {
	// Weighted sums of a least-squares line through the times from dispatch to first event, in ms,
	// over the tokens whose prefill was pending.
	n, x, y, xx, xy float64
	// meanTokens and meanLongTokens are moving averages of the prompt tokens per request: of all
	// prompts, and of long prompts only.
	meanTokens, meanLongTokens float64
	// meanRunMs is a moving average of the time that engines spend on a request, in ms; 0 if none
	// has ended.
	meanRunMs float64
	// servedMs is a moving average of the time that servers take for a request that they run, in ms; 0
	// if none has ended.
	servedMs float64
	// minGap is the least of the longest pauses between events that the routes allow the pool's
	// streams; 0 if no route limits them.
	minGap time.Duration
}

func newPoolStats() *poolStats {
	s := &poolStats{}
	// The line starts with two assumed samples, at 0 and at 1000 tokens.
	for _, tokens := range []float64{0, 1000} {
		s.addSample(tokens, tokens/initialPrefillRate, initialSampleWeight/2)
	}
	return s
}

func (s *poolStats) addSample(x, y, weight float64) {
	s.n += weight
	s.x += weight * x
	s.y += weight * y
	s.xx += weight * x * x
	s.xy += weight * x * y
}

// observeFirstEvent records the time to the first event of a request with this many tokens of
// pending prefill, its own included.
func (s *poolStats) observeFirstEvent(tokens int, took time.Duration) {
	if took > maxFirstEventWait {
		return
	}
	decay := 1 - 1/averagedRequests
	s.n, s.x, s.y, s.xx, s.xy = s.n*decay, s.x*decay, s.y*decay, s.xx*decay, s.xy*decay
	s.addSample(float64(tokens), float64(took.Microseconds())/1000, 1)
}

// prefillRate returns the estimated prefill rate of an engine in prompt tokens per millisecond.
// It stays within a factor of ten of initialPrefillRate, as requests that wait for other causes
// can tilt the line.
func (s *poolStats) prefillRate() float64 {
	spread := s.n*s.xx - s.x*s.x
	slope := s.n*s.xy - s.x*s.y
	if spread <= 0 {
		return initialPrefillRate
	}
	if slope <= 0 {
		return initialPrefillRate * 10
	}
	return min(max(spread/slope, initialPrefillRate/10), initialPrefillRate*10)
}

// prefillTime returns the time that an engine needs for the prefill of this many tokens.
func (s *poolStats) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / s.prefillRate() * float64(time.Millisecond))
}

// observeArrival records a request's prompt.
func (s *poolStats) observeArrival(info *RequestInfo) {
	longTokens := 0.0
	if s.isLong(info) {
		longTokens = float64(info.PromptTokens)
	}
	s.meanTokens += (float64(info.PromptTokens) - s.meanTokens) / averagedRequests
	s.meanLongTokens += (longTokens - s.meanLongTokens) / averagedRequests
}

// observeEnd records how long an engine ran a request.
func (s *poolStats) observeEnd(took time.Duration) {
	ms := float64(took.Milliseconds())
	if s.meanRunMs == 0 {
		s.meanRunMs = ms
	}
	s.meanRunMs += (ms - s.meanRunMs) / averagedRequests
}

// observeServed records how long a server took for a request that it ran.
func (s *poolStats) observeServed(took time.Duration) {
	ms := float64(took.Microseconds()) / 1000
	if s.servedMs == 0 {
		s.servedMs = ms
	}
	s.servedMs += (ms - s.servedMs) / averagedRequests
}

// slotCost returns the cost in ms of one more request at an engine with this many requests:
// once all slots are in use the request waits until one is free. The requests of other entries
// are known with a delay, so the slots beyond noWaitSlotShare already count as in use.
func (s *poolStats) slotCost(running, slots int) float64 {
	if slots == 0 {
		return 0
	}
	return s.meanRunMs / float64(slots) * max(0, float64(running+1)-noWaitSlotShare*float64(slots))
}

// noWaitSlotShare is the share of an engine's slots up to which requests are assumed not to
// wait.
const noWaitSlotShare = 0.75

// arrivalRate is the rate of an entry's requests for a model, in requests per second.
type arrivalRate struct {
	rate    float64
	updated time.Time
}

// arrivalWindow is the time constant of the moving average: as long as demand takes to move
// from one model to another.
const arrivalWindow = 4 * time.Second

func (r *arrivalRate) add(now time.Time) {
	r.rate = r.rateAt(now) + 1/arrivalWindow.Seconds()
	r.updated = now
}

func (r *arrivalRate) rateAt(now time.Time) float64 {
	return r.rate * math.Exp(-now.Sub(r.updated).Seconds()/arrivalWindow.Seconds())
}

// isLong reports whether the prefill of a prompt delays the streams beside it noticeably.
func (s *poolStats) isLong(info *RequestInfo) bool {
	if s.minGap <= 0 {
		return false
	}
	return float64(info.PromptTokens)/s.prefillRate() >= float64(s.minGap.Milliseconds())/longPromptGapDivisor
}

// separatesLongPrompts reports whether long prompts are such a large part of the prefill that
// engines are reserved for them.
func (s *poolStats) separatesLongPrompts() bool {
	return s.meanLongTokens > minLongPromptShare*s.meanTokens && s.meanTokens > 0
}

// sharedPrefillMs returns the prefill time in ms of the prompt parts that a request shares with
// others.
func (s *poolStats) sharedPrefillMs(info *RequestInfo) float64 {
	tokens := 0
	for _, p := range info.PromptParts[:max(len(info.PromptParts)-1, 0)] {
		tokens += p.Tokens
	}
	return float64(tokens) / s.prefillRate()
}
