package ratelimit

import (
	"sync"
	"time"

	"fennelyard/internal/schema"
)

const (
	// rejectionLimitRetention is how long a rejection limit is kept at least after a response last stated
	// it: a pool's servers state it in all responses, also those that have started since.
	rejectionLimitRetention = 5 * time.Second
	// silentRetention is how long it is kept if no response has arrived since that states none: a pool
	// whose servers have all crashed still has it when they return.
	silentRetention = time.Minute
)

// RejectionLimits holds, by pool, how many requests a second each of its servers can reject for lack of
// room, those of all entries together, without crashing. It is safe for concurrent use.
type RejectionLimits struct {
	mu sync.Mutex
	// pools is guarded by mu.
	pools map[string]*rejectionLimit
}

type rejectionLimit struct {
	// perSecond is the lowest number stated within rejectionLimitRetention, last at lowestAt. statedAt
	// is when any was last stated.
	perSecond          float64
	lowestAt, statedAt time.Time
	// unstatedAt is when a response to this host last stated no limit.
	unstatedAt time.Time
}

// kept reports whether the limit still holds.
func (l *rejectionLimit) kept(now time.Time) bool {
	age := now.Sub(l.statedAt)
	return age <= rejectionLimitRetention || age <= silentRetention && !l.unstatedAt.After(l.statedAt)
}

// NewRejectionLimits returns limits of no pool.
func NewRejectionLimits() *RejectionLimits {
	return &RejectionLimits{pools: map[string]*rejectionLimit{}}
}

// Observe applies a statement of a response, and reports whether the limit to keep has changed.
func (r *RejectionLimits) Observe(pool string, perSecond float64, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.apply(pool, rejectionLimit{perSecond: perSecond, lowestAt: now, statedAt: now}, now)
}

// ObserveNone applies a response that states no limit, and reports whether a limit has ended.
func (r *RejectionLimits) ObserveNone(pool string, now time.Time) (ended bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.pools[pool]
	if l == nil {
		return false
	}
	before := l.kept(now)
	l.unstatedAt = now
	return before && !l.kept(now)
}

// apply applies what is newer or lower; the caller holds mu.
func (r *RejectionLimits) apply(pool string, stated rejectionLimit, now time.Time) (changed bool) {
	l := r.pools[pool]
	if l != nil {
		stated.unstatedAt = l.unstatedAt
	}
	if !stated.kept(now) {
		return false
	}
	if l == nil || !l.kept(now) {
		r.pools[pool] = &stated
		return true
	}
	before := l.perSecond
	if stated.statedAt.After(l.statedAt) {
		l.statedAt = stated.statedAt
	}
	lowestIsOld := now.Sub(l.lowestAt) > rejectionLimitRetention
	switch {
	case now.Sub(stated.lowestAt) > rejectionLimitRetention:
	case stated.perSecond < l.perSecond || lowestIsOld:
		l.perSecond, l.lowestAt = stated.perSecond, stated.lowestAt
	case stated.perSecond == l.perSecond && stated.lowestAt.After(l.lowestAt):
		l.lowestAt = stated.lowestAt
	}
	return l.perSecond != before
}

// Limit returns the limit to keep at a pool's servers, and whether there is one.
func (r *RejectionLimits) Limit(pool string, now time.Time) (perSecond float64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.pools[pool]
	if l == nil || !l.kept(now) {
		return 0, false
	}
	return l.perSecond, true
}

// Messages returns the limits for another host.
func (r *RejectionLimits) Messages(now time.Time) []*schema.PoolRejectionLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*schema.PoolRejectionLimit
	for pool, l := range r.pools {
		if now.Sub(l.statedAt) > silentRetention {
			delete(r.pools, pool)
			continue
		}
		if !l.kept(now) {
			continue
		}
		out = append(out, &schema.PoolRejectionLimit{
			Pool: pool, PerSecond: l.perSecond, AgeMs: now.Sub(l.statedAt).Milliseconds(), LowestAgeMs: now.Sub(l.lowestAt).Milliseconds(),
		})
	}
	return out
}

// Merge applies the limits that another host knows, and reports whether any to keep has changed.
func (r *RejectionLimits) Merge(list []*schema.PoolRejectionLimit, now time.Time) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range list {
		ago := func(ms int64) time.Time { return now.Add(-time.Duration(max(ms, 0)) * time.Millisecond) }
		changed = r.apply(m.GetPool(), rejectionLimit{perSecond: m.GetPerSecond(), lowestAt: ago(m.GetLowestAgeMs()), statedAt: ago(m.GetAgeMs())}, now) || changed
	}
	return changed
}
