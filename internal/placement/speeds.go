package placement

import "time"

const (
	// smoothing is the weight of a new load in the estimated rate.
	smoothing = 0.3
	// maxRateFactor bounds the ratio between the estimate and the settings.
	maxRateFactor = 100.0
)

// SpeedEstimator estimates the rates of loads, so that forecasts and decisions stay correct
// when the weight store slows down. It is not safe for concurrent use.
type SpeedEstimator struct {
	initial LoadSpeeds
	current LoadSpeeds
}

// NewSpeedEstimator returns an estimator that starts with the speeds of the settings.
func NewSpeedEstimator(initial LoadSpeeds) *SpeedEstimator {
	return &SpeedEstimator{initial: initial, current: initial}
}

// Speeds returns the current estimates.
func (e *SpeedEstimator) Speeds() LoadSpeeds { return e.current }

// Observe records a completed load. Loads that are dominated by their overhead are ignored, as
// they do not show a rate.
func (e *SpeedEstimator) Observe(t Tier, mib uint64, took time.Duration) {
	transfer := (took - loadOverhead).Seconds()
	if transfer <= 0 {
		return
	}
	rate := float64(mib) / transfer
	switch t {
	case TierRemote:
		e.current.RemoteMiBPerSecond = smooth(e.initial.RemoteMiBPerSecond, e.current.RemoteMiBPerSecond, rate)
	case TierDisk:
		e.current.DiskMiBPerSecond = smooth(e.initial.DiskMiBPerSecond, e.current.DiskMiBPerSecond, rate)
	case TierMemory:
		e.current.MemoryMiBPerSecond = smooth(e.initial.MemoryMiBPerSecond, e.current.MemoryMiBPerSecond, rate)
	}
}

func smooth(initial, current, sample float64) float64 {
	next := current + smoothing*(sample-current)
	return min(max(next, initial/maxRateFactor), initial*maxRateFactor)
}
