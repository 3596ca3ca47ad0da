package order

import (
	"time"

	"fennelyard/internal/ledger"
	"fennelyard/internal/placement"
	"fennelyard/internal/schema"
)

// Forecast estimates the cold start time and the idle hours per day of an intent's
// targets, for its plan.
func (d *Driver) Forecast(in *schema.Intent) []*schema.PlanLine {
	d.mu.Lock()
	defer d.mu.Unlock()
	speeds := d.speeds.Speeds()
	var out []*schema.PlanLine
	add := func(name string, mib uint64, pinned uint32) {
		cold := placement.LoadTime(speeds, d.bestTier(name), mib, 0)
		idle := float64(pinned) * hoursPerDay
		if pinned == 0 {
			idle = d.idleHours(name, cold)
		}
		out = append(out, &schema.PlanLine{Target: name, ColdStartMs: cold.Milliseconds(), IdleHoursPerDay: idle})
	}
	for _, m := range in.GetModels() {
		add(m.GetName(), m.GetMemoryMib(), m.GetMinReplicas())
	}
	for _, a := range in.GetAdapters() {
		add(a.GetName(), a.GetMemoryMib(), 0)
	}
	return out
}

const hoursPerDay = 24

// idleHours returns the expected idle hours per day by the arrival pattern of a
// target. A target without arrivals is not kept loaded, so it has no idle time.
func (d *Driver) idleHours(name string, cold time.Duration) float64 {
	return d.observed.patterns[name].IdleHoursPerDay(d.cfg.Now(), cold.Seconds()*d.cfg.Prices.ColdStartSecond, d.cfg.Prices.IdleAcceleratorHour)
}

// bestTier returns the fastest tier from which any server can load a target.
func (d *Driver) bestTier(target string) placement.Tier {
	best := placement.TierRemote
	for _, o := range d.observed.servers {
		best = max(best, o.cached[target])
	}
	return best
}

// UnconfirmedReservations returns the numbers of the reservations whose order has
// had no reply for unconfirmedAge.
func (d *Driver) UnconfirmedReservations() []uint64 {
	limit := d.cfg.Now().Add(-unconfirmedAge).UnixMilli()
	var out []uint64
	d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) {
		for _, res := range r.Reservations() {
			if res.GetState() != schema.ReservationState_RESERVATION_STATE_LOADED && res.GetChangedMs() < limit {
				out = append(out, res.GetNumber())
			}
		}
	})
	return out
}
