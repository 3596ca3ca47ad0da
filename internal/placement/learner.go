package placement

import "time"

const (
	// learning is the weight of a new load in the learnt rate.
	learning = 0.3
	// A rate is never believed to be further than this from the settings.
	rateBound = 100.0
)

// SpeedEstimator follows the rates of loads, so that forecasts and choices hold when
// the weight store slows down. It is not safe for several goroutines.
type SpeedEstimator struct {
	first LoadSpeeds
	now   LoadSpeeds
}

// NewSpeedEstimator begins with the beliefs of the settings.
func NewSpeedEstimator(first LoadSpeeds) *SpeedEstimator {
	return &SpeedEstimator{first: first, now: first}
}

// Speeds returns the present beliefs.
func (l *SpeedEstimator) Speeds() LoadSpeeds { return l.now }

// Observe takes note of a finished load. Loads that are dominated by their
// overhead say nothing about a rate.
func (l *SpeedEstimator) Observe(t Tier, mib uint64, took time.Duration) {
	transfer := (took - loadOverhead).Seconds()
	if transfer <= 0 {
		return
	}
	rate := float64(mib) / transfer
	switch t {
	case TierRemote:
		l.now.RemoteMiBPerSecond = blend(l.first.RemoteMiBPerSecond, l.now.RemoteMiBPerSecond, rate)
	case TierDisk:
		l.now.DiskMiBPerSecond = blend(l.first.DiskMiBPerSecond, l.now.DiskMiBPerSecond, rate)
	case TierMemory:
		l.now.MemoryMiBPerSecond = blend(l.first.MemoryMiBPerSecond, l.now.MemoryMiBPerSecond, rate)
	}
}

func blend(first, old, sample float64) float64 {
	next := old + learning*(sample-old)
	return min(max(next, first/rateBound), first*rateBound)
}
