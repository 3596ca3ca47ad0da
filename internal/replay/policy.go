package replay

import (
	"math"
	"time"

	"fennelyard/internal/placement"
)

// forever is longer than any replay.
const forever = time.Duration(math.MaxInt64)

// Policy is a way to decide how long idle replicas stay. What is loaded where is
// decided by the same code for all of them.
type Policy struct {
	name string
	// keep returns the keep time; nil: the policy in use.
	keep func(s *sim, r placement.Replica) time.Duration
	// weights returns the prices for the policy in use.
	weights func(w placement.Prices) placement.Prices
}

// Name returns the policy's name.
func (p Policy) Name() string { return p.name }

// Ours is the policy in use, with the price of an idle hour multiplied; 1 is the
// deployment's own weight.
func Ours(name string, idlePrice float64) Policy {
	return Policy{name: name, weights: func(w placement.Prices) placement.Prices {
		w.IdleAcceleratorHour *= idlePrice
		return w
	}}
}

// Fixed keeps every idle replica for the same time.
func Fixed(name string, keep time.Duration) Policy {
	return Policy{name: name, keep: func(*sim, placement.Replica) time.Duration { return keep }}
}

// Clairvoyant knows when a target is asked for next and keeps a replica exactly
// when the idle time until then costs less than the load. It loads nothing ahead.
func Clairvoyant() Policy {
	return Policy{name: "clairvoyant", keep: func(s *sim, r placement.Replica) time.Duration {
		m := s.models[r.Target]
		next, ok := s.nextUse(r.Target)
		gap := next.Sub(s.lastUse(r.Target))
		share := float64(m.MemoryMiB) / acceleratorMiB
		cold := placement.LoadTime(s.in.Speeds, placement.TierDisk, m.MemoryMiB, 0).Seconds() * s.in.Weights.ColdStartSecond
		if !ok || gap.Hours()*share*s.in.Weights.IdleAcceleratorHour > cold {
			return 0
		}
		return forever
	}}
}

// Baselines are the fixed rules and the clairvoyant bound. Never unloading makes
// room by the least worth, which is the least recently used of equals.
func Baselines() []Policy {
	return []Policy{
		Fixed("never-unload", forever),
		Fixed("unload-at-once", 0),
		Fixed("keep-1m", time.Minute),
		Fixed("keep-10m", 10*time.Minute),
		Fixed("keep-30m", 30*time.Minute),
		Clairvoyant(),
	}
}
