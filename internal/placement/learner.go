package placement

import "time"

const (
	// learning is the weight of a new load in the learnt rate.
	learning = 0.3
	// A rate is never believed to be further than this from the settings.
	rateBound = 100.0
)

// Learner follows the rates of loads, so that forecasts and choices hold when
// the weight store slows down. It is not safe for several goroutines.
type Learner struct {
	first Speeds
	now   Speeds
}

// NewLearner begins with the beliefs of the settings.
func NewLearner(first Speeds) *Learner { return &Learner{first: first, now: first} }

// Speeds returns the present beliefs.
func (l *Learner) Speeds() Speeds { return l.now }

// Learn takes note of a finished load. Loads that are dominated by their
// overhead say nothing about a rate.
func (l *Learner) Learn(t Tier, mib uint64, took time.Duration) {
	transfer := (took - loadOverhead).Seconds()
	if transfer <= 0 {
		return
	}
	rate := float64(mib) / transfer
	switch t {
	case TierRemote:
		l.now.RemoteMiB = blend(l.first.RemoteMiB, l.now.RemoteMiB, rate)
	case TierDisk:
		l.now.DiskMiB = blend(l.first.DiskMiB, l.now.DiskMiB, rate)
	case TierMemory:
		l.now.MemoryMiB = blend(l.first.MemoryMiB, l.now.MemoryMiB, rate)
	}
}

func blend(first, old, sample float64) float64 {
	next := old + learning*(sample-old)
	return min(max(next, first/rateBound), first*rateBound)
}
