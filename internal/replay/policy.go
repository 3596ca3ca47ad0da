package replay

import (
	"math"
	"time"

	"fennelyard/internal/placement"
)

// unlimited is a timeout that is longer than any replay.
const unlimited = time.Duration(math.MaxInt64)

// Policy decides how long idle replicas stay loaded. Which models are loaded on which
// servers is decided by package placement under all policies.
type Policy struct {
	name string
	// idleTimeout returns the time after which an idle replica is unloaded; nil means that
	// package placement decides.
	idleTimeout func(s *simulation, r placement.Replica) time.Duration
	// adjustPrices returns the prices for package placement; nil means those of the scenario.
	adjustPrices func(prices placement.Prices) placement.Prices
}

// Name returns the policy's name.
func (p Policy) Name() string { return p.name }

// CostBased is the policy of package placement, with the price of an idle hour multiplied by
// a factor. With a factor of 1 it is the policy of the deployment.
func CostBased(name string, idlePriceFactor float64) Policy {
	return Policy{name: name, adjustPrices: func(prices placement.Prices) placement.Prices {
		prices.IdleAcceleratorHour *= idlePriceFactor
		return prices
	}}
}

// FixedTimeout unloads every replica after the same idle time.
func FixedTimeout(name string, timeout time.Duration) Policy {
	return Policy{name: name, idleTimeout: func(*simulation, placement.Replica) time.Duration { return timeout }}
}

// Clairvoyant knows the next arrival for each target. It keeps a replica if and only if the
// idle time until then costs less than a load. It does not preload.
func Clairvoyant() Policy {
	return Policy{name: "clairvoyant", idleTimeout: func(s *simulation, r placement.Replica) time.Duration {
		m := s.models[r.Target]
		next, ok := s.nextArrival(r.Target)
		gap := next.Sub(s.lastArrival(r.Target))
		share := float64(m.MemoryMiB) / acceleratorMiB
		loadCost := placement.LoadTime(s.scenario.Speeds, placement.TierDisk, m.MemoryMiB, 0).Seconds() * s.scenario.Prices.ColdStartSecond
		if !ok || gap.Hours()*share*s.scenario.Prices.IdleAcceleratorHour > loadCost {
			return 0
		}
		return unlimited
	}}
}

// Baselines returns the policies with fixed timeouts and the clairvoyant one. The policy that
// never unloads idle replicas still evicts the replica of least value to make room, the least
// recently used one among replicas of equal value.
func Baselines() []Policy {
	return []Policy{
		FixedTimeout("never-unload", unlimited),
		FixedTimeout("unload-at-once", 0),
		FixedTimeout("keep-1m", time.Minute),
		FixedTimeout("keep-10m", 10*time.Minute),
		FixedTimeout("keep-30m", 30*time.Minute),
		Clairvoyant(),
	}
}
