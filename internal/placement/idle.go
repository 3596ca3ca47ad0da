package placement

import (
	"slices"
	"time"
)

// minStay keeps a fresh replica for a while whatever the prices say, so that
// nothing is loaded and unloaded in turns.
const minStay = 10 * time.Second

// evictable reports whether a replica may make room for another one.
func (w *world) evictable(a *accelerator, r *Replica) bool {
	return w.mayGo(a, r) && w.in.Now.Sub(r.Since) >= minStay && w.demandFor(r.Target) == 0
}

// mayGo reports whether a loaded replica is idle, above its lower bound and
// under no adapter.
func (w *world) mayGo(a *accelerator, r *Replica) bool {
	if r.State != StateLoaded || r.Running > 0 {
		return false
	}
	for _, other := range a.replicas {
		if m, ok := w.in.Model(other.Target); ok && m.Base == r.Target {
			return false
		}
	}
	m, ok := w.in.Model(r.Target)
	return !ok || r.Version != m.Version || w.have(m) > m.MinReplicas
}

func (w *world) demandFor(target string) int {
	d := w.in.Demands[target]
	return d.Waiting + d.ExpectedRetries
}

// evictionCost is the worth in seconds of what must go to make room.
func (w *world) evictionCost(a *accelerator, need uint64) float64 {
	free := a.total - a.used
	if free >= need {
		return 0
	}
	cost := unloadTime.Seconds()
	for _, r := range w.victims(a, need-free) {
		cost += w.worth(a, r)
	}
	return cost
}

// victims lists the replicas of the least worth that free a size together.
func (w *world) victims(a *accelerator, need uint64) []*Replica {
	var idle []*Replica
	for _, r := range a.replicas {
		if w.evictable(a, r) {
			idle = append(idle, r)
		}
	}
	slices.SortStableFunc(idle, func(x, y *Replica) int {
		if d := w.worth(a, x) - w.worth(a, y); d < 0 {
			return -1
		} else if d > 0 {
			return 1
		}
		return x.LastUsed.Compare(y.LastUsed)
	})
	var out []*Replica
	var freed uint64
	for _, r := range idle {
		if freed >= need {
			break
		}
		out = append(out, r)
		freed += r.MemoryMiB
	}
	return out
}

// worth is the expected wait in seconds that keeping a replica spares: the time
// to load it again, by the chance that it is asked for soon.
func (w *world) worth(a *accelerator, r *Replica) float64 {
	m, ok := w.in.Model(r.Target)
	if !ok {
		return 0
	}
	again := LoadTime(w.in.Speeds, max(w.tier(a, r.Target), TierDisk), m.MemoryMiB, w.remote).Seconds()
	return again * w.pattern(r.Target).ArrivalProbability(w.in.Now, w.in.Now.Sub(r.LastUsed), soon)
}

// soon is the time in which an eviction would be regretted.
const soon = 10 * time.Minute

func (w *world) pattern(target string) *ArrivalPattern {
	if w.in.Pattern == nil {
		return nil
	}
	return w.in.Pattern(target)
}

// evict unloads what makes room for a target; the load follows when the
// engine has confirmed it.
func (w *world) evict(a *accelerator, need uint64, target string) {
	a.going = true
	for _, r := range w.victims(a, need) {
		w.unload(r, "room for "+target)
		// One order at a time on an accelerator.
		return
	}
}

func (w *world) unload(r *Replica, reason string) {
	w.plan.Decisions = append(w.plan.Decisions, Decision{
		Kind: KindUnload, Target: r.Target, Server: r.Server, Accelerator: r.Accelerator,
		Replica: r.Number, Reason: reason,
	})
}

// retire unloads what nobody is expected to ask for in time to pay for it.
func (w *world) retire() {
	for _, a := range w.accs {
		if a.busy || a.going {
			continue
		}
		for _, r := range a.replicas {
			if reason := w.retireReason(a, r); reason != "" {
				w.unload(r, reason)
				a.going = true
				w.dropFromHave(r)
				break
			}
		}
	}
}

// dropFromHave keeps two replicas from going for one place above the bound.
func (w *world) dropFromHave(r *Replica) {
	delete(w.held, r.Target)
	w.byTarget[r.Target] = slices.DeleteFunc(slices.Clone(w.byTarget[r.Target]), func(x *Replica) bool { return x == r })
}

func (w *world) retireReason(a *accelerator, r *Replica) string {
	if r.State != StateLoaded || r.Running > 0 {
		return ""
	}
	m, configured := w.in.Model(r.Target)
	switch {
	case a.server.Leaving:
		return "server is leaving"
	case !a.server.Usable:
		return ""
	case !w.mayGo(a, r) || w.demandFor(r.Target) > 0:
		return ""
	case !configured:
		return "no longer configured"
	case r.Version != m.Version:
		return "old version"
	case w.have(m) > m.MaxReplicas:
		return "above the upper bound"
	}
	if idle := w.in.Now.Sub(later(r.LastUsed, r.Since)); !w.in.SkipIdle && idle >= minStay && !w.pays(a, r, m, idle) {
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

// pays reports whether an idle replica is worth its price. A replica that shares
// its accelerator holds only its part of it idle.
func (w *world) pays(a *accelerator, r *Replica, m Model, idle time.Duration) bool {
	if w.in.IdleTimeout != nil {
		return idle < w.in.IdleTimeout(*r)
	}
	cold, held := w.prices(a, m)
	return w.pattern(r.Target).HoldGain(w.in.Now, idle, cold, held, 0) > 0
}

// prices returns the price of a cold start of a model, were it to be loaded here
// again, and the price of an hour that it is held idle here.
func (w *world) prices(a *accelerator, m Model) (cold, idleHour float64) {
	again := LoadTime(w.in.Speeds, max(w.tier(a, m.Name), TierDisk), m.MemoryMiB, 0).Seconds()
	share := float64(m.MemoryMiB) / float64(a.total)
	return again * w.in.Prices.ColdStartSecond, share * w.in.Prices.IdleAcceleratorHour
}

func (w *world) idleAccelerators() float64 {
	idle := 0.0
	for _, a := range w.accs {
		for _, r := range a.replicas {
			if r.State == StateLoaded && r.Running == 0 && w.demandFor(r.Target) == 0 {
				idle += float64(r.MemoryMiB) / float64(a.total)
			}
		}
	}
	return idle
}
