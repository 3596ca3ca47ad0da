package order

import (
	"context"
	"slices"
	"time"

	"fennelyard/internal/ledger"
	"fennelyard/internal/placement"
	"fennelyard/internal/schema"
)

// unloadMissing orders the unload of replicas that an engine once reported and no
// longer reports; the engine's reply confirms that they are gone. Otherwise requests
// would be routed to a missing replica until the engine restarts.
func (d *Driver) unloadMissing(now time.Time) {
	var missing []*schema.Reservation
	d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) {
		for _, res := range r.Reservations() {
			loaded := res.GetState() == schema.ReservationState_RESERVATION_STATE_LOADED
			if loaded && d.observed.isMissing(res, now) {
				missing = append(missing, res)
			}
		}
	})
	for _, res := range missing {
		d.execute(placement.Decision{
			Kind: placement.KindUnload, Target: res.GetTarget(), Server: res.GetServer(), Replica: res.GetNumber(),
			Reason: "the engine no longer reports it",
		})
	}
}

// recordLost records servers as lost that have been silent for lostTimeout, counted
// at the earliest from the start of the term; d.mu is held.
func (d *Driver) recordLost(now time.Time, r *ledger.Records) {
	for _, s := range r.Servers() {
		o := d.observed.servers[s.GetName()]
		lastSeen := d.termStart
		if o != nil && o.server.GetIncarnation() == s.GetIncarnation() {
			lastSeen = later(lastSeen, o.lastSeen)
		}
		if !s.GetLost() && now.Sub(lastSeen) > lostTimeout {
			lost := cloneServer(s)
			lost.Lost = true
			d.recordServer(lost)
		}
	}
}

// recordServer commits a server's new record unless a commit for this server is
// pending; d.mu is held.
func (d *Driver) recordServer(s *schema.Server) {
	if d.recording[s.GetName()] {
		return
	}
	d.recording[s.GetName()] = true
	d.spawn(func(ctx context.Context) {
		_, err := d.commit(ctx, &schema.Command{Body: &schema.Command_PutServer{PutServer: &schema.PutServer{Server: s}}})
		d.mu.Lock()
		defer d.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		delete(d.recording, s.GetName())
		if err == nil {
			d.cfg.Log.Info("server recorded", "server", s.GetName(), "incarnation", s.GetIncarnation(),
				"leaving", s.GetLeaving(), "lost", s.GetLost())
		}
		d.requestRound()
	})
}

// HandleReport applies an entry's report and returns forecasts for the targets that
// have waiting requests.
func (d *Driver) HandleReport(report *schema.Report) *schema.ReportReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.refreshLeadership() {
		return &schema.ReportReply{NotLeader: true}
	}
	now := d.cfg.Now()
	for _, a := range report.GetAnnouncements() {
		if s := d.observed.handleAnnouncement(a, now); s != nil {
			d.recordIfChanged(s)
		}
	}
	waiting := false
	for _, dm := range report.GetDemands() {
		d.observed.handleDemand(report.GetEntry(), dm, d.baseModel(dm.GetTarget()), now)
		waiting = waiting || dm.GetWaiting() > 0
	}
	d.dirty = d.dirty || waiting
	if waiting && (now.Sub(d.lastRound) >= minRoundInterval || d.needsForecast(report.GetDemands())) {
		d.runRound()
	}
	out := &schema.ReportReply{Term: d.term}
	for _, dm := range report.GetDemands() {
		if f, ok := d.forecasts[dm.GetTarget()]; ok && dm.GetWaiting() > 0 {
			out.Forecasts = append(out.Forecasts, newForecast(dm.GetTarget(), f, now))
		}
	}
	return out
}

// baseModel returns the base model of an adapter, or "".
func (d *Driver) baseModel(target string) string {
	base := ""
	d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) { base = r.Model(target).GetBase() })
	return base
}

// needsForecast reports whether a target with waiting requests has no forecast of the
// last round.
func (d *Driver) needsForecast(demands []*schema.Demand) bool {
	return slices.ContainsFunc(demands, func(dm *schema.Demand) bool {
		_, ok := d.forecasts[dm.GetTarget()]
		return dm.GetWaiting() > 0 && !ok
	})
}

func newForecast(target string, f placement.Forecast, now time.Time) *schema.Forecast {
	if !f.Possible {
		return &schema.Forecast{Target: target, ReadyInMs: -1, Reason: f.Reason}
	}
	return &schema.Forecast{Target: target, ReadyInMs: max(f.ReadyAt.Sub(now).Milliseconds(), 0)}
}

// recordIfChanged records a server whose announcement differs from its record;
// d.mu is held.
func (d *Driver) recordIfChanged(s *schema.Server) {
	var old *schema.Server
	d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) { old = r.Server(s.GetName()) })
	if old == nil || !sameServer(old, s) && s.GetIncarnation() >= old.GetIncarnation() {
		d.recordServer(s)
	}
}
