package loading

import (
	"cmp"
	"math"
	"time"
)

const (
	// minDelaySaved is the queueing delay per second of wall time, summed over a model's
	// requests, that one more replica must save. Each request is delayed by those that arrive
	// at its engine while their prompts are read: with r requests per second on n replicas
	// another one saves r*r/(n*(n+1)) pairs of such requests, and one prefill time for each
	// pair. With a prefill time of 200 ms a busy model gets a replica for each two requests per
	// second, and one with less than 2.8 per second keeps its only one; with 10 ms one engine
	// is enough for 12 per second, as room for another model serves more requests then.
	minDelaySaved = 800 * time.Millisecond
	// defaultPrefillTime is assumed before any prefill was timed. It is long, so that there are
	// too many replicas rather than too few.
	defaultPrefillTime = 200 * time.Millisecond
)

// replicasNeeded returns how many replicas a model's demand requires to bound the queueing
// delay of its requests and the utilization of the engines' slots. A rare model needs none
// while no request waits: with all rare models needed all the time the engines would do nothing
// but swap them.
func (p *plan) replicasNeeded(m *Model) int {
	if m.Rate < rareRate {
		return 0
	}
	// The least n with r*r*prefill <= minDelaySaved*n*(n+1).
	n := math.Sqrt(m.Rate*m.Rate*cmp.Or(m.PrefillTime, defaultPrefillTime).Seconds()/minDelaySaved.Seconds()+0.25) - 0.5
	return max(int(math.Ceil(max(n, p.enginesFilled(m)/targetUtilization/p.meanSlotShare(m)))), 1)
}

// computeUtilization computes the slot utilization of each engine.
func (p *plan) computeUtilization() {
	for _, e := range p.in.Engines {
		for _, l := range e.Loaded {
			p.utilization[e] += p.replicaUtilization(l.Model)
		}
		if e.Incoming != "" && !hasModel(e, e.Incoming) {
			p.utilization[e] += p.replicaUtilization(e.Incoming)
		}
	}
}

// replicaUtilization returns the share of an engine's slots that the requests for one replica
// of a model fill.
func (p *plan) replicaUtilization(model string) float64 {
	m := p.in.Models[model]
	if m == nil || p.replicas[model] == 0 {
		return 0
	}
	return p.enginesFilled(m) / float64(p.replicas[model])
}

// meanSlotShare returns the mean share of slots that the engines with a model have for it; the
// rest is in use by the engines' other models. Without it two busy models on the same three
// engines of twelve had three replicas each, as many as either needs alone, and 250 requests
// for 144 slots.
func (p *plan) meanSlotShare(m *Model) float64 {
	if share, cached := p.slotShares[m.Name]; cached {
		return share
	}
	sum, engines := 0.0, p.replicaEngines[m.Name]
	for _, e := range engines {
		sum += 1 - min(max(p.utilization[e]-p.replicaUtilization(m.Name), 0), 1-minSlotShare)
	}
	p.slotShares[m.Name] = 1
	if n := len(engines); n > 0 {
		p.slotShares[m.Name] = sum / float64(n)
	}
	return p.slotShares[m.Name]
}

// minSlotShare is the least share of an engine's slots that a model gets beside others, however
// busy they are.
const minSlotShare = 0.2

// enginesFilled returns how many engines' slots the requests of a model fill.
func (p *plan) enginesFilled(m *Model) float64 {
	if p.in.Slots == 0 {
		return 0
	}
	return m.Rate * m.RequestTime.Seconds() / float64(p.in.Slots)
}

// targetUtilization is the share of an engine's slots up to which it gets requests of one
// model: an engine has several models, and requests come in bursts.
const targetUtilization = 0.5

// unservedRate returns the requests per second of a model that are not served in time for want
// of a replica: all if no engine has it, and those beyond its replicas' slots. Models are placed
// in descending order of it. Otherwise each rare model with a request or two went first, and a
// model that became busy while engines were swapping rare models was served by one engine of
// twelve for twenty seconds.
func (p *plan) unservedRate(m *Model) float64 {
	n := p.replicas[m.Name]
	if n == 0 {
		return m.Rate + float64(m.Waiting)
	}
	filled := p.enginesFilled(m) / p.meanSlotShare(m)
	return m.Rate * max(0, 1-float64(n)*queueingUtilization/max(filled, queueingUtilization))
}

// queueingUtilization is the slot utilization of a model's replicas from which some of its
// requests queue.
const queueingUtilization = 0.8

// rareRate is the request rate, in 1/s, below which a model is rare: the mean time to its next
// request is several times the second that a reload from an engine's disk takes.
const rareRate = 0.25
