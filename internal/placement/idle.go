package placement

import (
	"slices"
	"time"
)

// minResidency is how long a new replica stays whatever the prices, so that nothing is loaded
// and unloaded in turns.
const minResidency = 10 * time.Second

// evictable reports whether a replica may be unloaded to make room for another one.
func (p *planner) evictable(a *accelerator, r *Replica) bool {
	return p.isIdle(a, r) && p.in.Now.Sub(r.Since) >= minResidency && p.demandFor(r.Target) == 0
}

// isIdle reports whether a loaded replica is idle, above its lower bound and not the base of an
// adapter.
func (p *planner) isIdle(a *accelerator, r *Replica) bool {
	if r.State != StateLoaded || r.Running > 0 {
		return false
	}
	for _, other := range a.replicas {
		if m, ok := p.in.Model(other.Target); ok && m.Base == r.Target {
			return false
		}
	}
	m, ok := p.in.Model(r.Target)
	return !ok || r.Version != m.Version || p.servingReplicas(m) > m.MinReplicas
}

func (p *planner) demandFor(target string) int {
	d := p.in.Demands[target]
	return d.Waiting + d.ExpectedRetries
}

// evictionCost returns the cost, in seconds, of making room: the time of an unload and the value
// of the replicas to unload; 0 if there is room.
func (p *planner) evictionCost(a *accelerator, mib uint64) float64 {
	free := a.totalMiB - a.usedMiB
	if free >= mib {
		return 0
	}
	cost := unloadTime.Seconds()
	for _, r := range p.victims(a, mib-free) {
		cost += p.retentionValue(a, r)
	}
	return cost
}

// victims returns the replicas of the least value that together free an amount of memory.
func (p *planner) victims(a *accelerator, mib uint64) []*Replica {
	var idle []*Replica
	for _, r := range a.replicas {
		if p.evictable(a, r) {
			idle = append(idle, r)
		}
	}
	slices.SortStableFunc(idle, func(x, y *Replica) int {
		if d := p.retentionValue(a, x) - p.retentionValue(a, y); d < 0 {
			return -1
		} else if d > 0 {
			return 1
		}
		return x.LastUsed.Compare(y.LastUsed)
	})
	var out []*Replica
	var freed uint64
	for _, r := range idle {
		if freed >= mib {
			break
		}
		out = append(out, r)
		freed += r.MemoryMiB
	}
	return out
}

// retentionValue returns the expected wait, in seconds, that keeping a replica saves: the time
// to load it again, times the probability that it is requested within regretWindow.
func (p *planner) retentionValue(a *accelerator, r *Replica) float64 {
	m, ok := p.in.Model(r.Target)
	if !ok {
		return 0
	}
	reload := LoadTime(p.in.Speeds, max(p.tier(a, r.Target), TierDisk), m.MemoryMiB, p.remoteLoads).Seconds()
	return reload * p.pattern(r.Target).ArrivalProbability(p.in.Now, p.in.Now.Sub(r.LastUsed), regretWindow)
}

// regretWindow is the time within which a request makes an eviction a mistake.
const regretWindow = 10 * time.Minute

func (p *planner) pattern(target string) *ArrivalPattern {
	if p.in.Pattern == nil {
		return nil
	}
	return p.in.Pattern(target)
}

// evict unloads a replica to make room for a target. The target is loaded once the engine has
// confirmed the unload.
func (p *planner) evict(a *accelerator, mib uint64, target string) {
	a.unloading = true
	for _, r := range p.victims(a, mib) {
		p.unload(r, "room for "+target)
		// One order at a time on an accelerator.
		return
	}
}

func (p *planner) unload(r *Replica, reason string) {
	p.plan.Decisions = append(p.plan.Decisions, Decision{
		Kind: KindUnload, Target: r.Target, Server: r.Server, Accelerator: r.Accelerator,
		Replica: r.Number, Reason: reason,
	})
}

// unloadIdle unloads the replicas for which unloadReason returns a reason, at most one on each
// accelerator.
func (p *planner) unloadIdle() {
	for _, a := range p.accelerators {
		if a.busy || a.unloading {
			continue
		}
		for _, r := range a.replicas {
			if reason := p.unloadReason(a, r); reason != "" {
				p.unload(r, reason)
				a.unloading = true
				p.removeServing(r)
				break
			}
		}
	}
}

// removeServing removes a replica from the counts, so that two replicas are not unloaded for
// one above the bound.
func (p *planner) removeServing(r *Replica) {
	delete(p.serving, r.Target)
	p.byTarget[r.Target] = slices.DeleteFunc(slices.Clone(p.byTarget[r.Target]), func(x *Replica) bool { return x == r })
}

// unloadReason returns why a replica should be unloaded, or "".
func (p *planner) unloadReason(a *accelerator, r *Replica) string {
	if r.State != StateLoaded || r.Running > 0 {
		return ""
	}
	m, configured := p.in.Model(r.Target)
	switch {
	case a.server.Leaving:
		return "server is leaving"
	case !a.server.Usable:
		return ""
	case !p.isIdle(a, r) || p.demandFor(r.Target) > 0:
		return ""
	case !configured:
		return "no longer configured"
	case r.Version != m.Version:
		return "old version"
	case p.servingReplicas(m) > m.MaxReplicas:
		return "above the upper bound"
	}
	if idle := p.in.Now.Sub(later(r.LastUsed, r.Since)); !p.in.SkipIdle && idle >= minResidency && !p.isWorthHolding(a, r, m, idle) {
		return "idle"
	}
	return ""
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isWorthHolding reports whether an idle replica is worth its price. Of an accelerator that it
// shares with others, a replica holds only its share of the memory idle.
func (p *planner) isWorthHolding(a *accelerator, r *Replica, m Model, idle time.Duration) bool {
	if p.in.IdleTimeout != nil {
		return idle < p.in.IdleTimeout(*r)
	}
	coldPrice, idlePrice := p.prices(a, m)
	return p.pattern(r.Target).HoldGain(p.in.Now, idle, coldPrice, idlePrice, 0) > 0
}

// prices returns the price of a cold start of a model if it is loaded here again, and the price
// of holding it idle here for an hour.
func (p *planner) prices(a *accelerator, m Model) (coldPrice, idlePrice float64) {
	reload := LoadTime(p.in.Speeds, max(p.tier(a, m.Name), TierDisk), m.MemoryMiB, 0).Seconds()
	share := float64(m.MemoryMiB) / float64(a.totalMiB)
	return reload * p.in.Prices.ColdStartSecond, share * p.in.Prices.IdleAcceleratorHour
}

func (p *planner) idleAccelerators() float64 {
	idle := 0.0
	for _, a := range p.accelerators {
		for _, r := range a.replicas {
			if r.State == StateLoaded && r.Running == 0 && p.demandFor(r.Target) == 0 {
				idle += float64(r.MemoryMiB) / float64(a.totalMiB)
			}
		}
	}
	return idle
}
