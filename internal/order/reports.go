package order

import (
	"context"
	"slices"
	"time"

	"fennelyard/internal/ledger"
	"fennelyard/internal/placement"
	"fennelyard/internal/schema"
)

// dropVanished orders an unload of replicas that an engine held and no longer
// reports, to have it proved that they are gone. Callers would otherwise be sent
// to a replica that is not there for as long as the engine lives.
func (d *Driver) dropVanished(now time.Time) {
	var gone []*schema.Reservation
	d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) {
		for _, res := range r.Reservations() {
			loaded := res.GetState() == schema.ReservationState_RESERVATION_STATE_LOADED
			if loaded && d.fleet.vanished(res, now) {
				gone = append(gone, res)
			}
		}
	})
	for _, res := range gone {
		d.act(placement.Decision{
			Kind: placement.KindUnload, Target: res.GetTarget(), Server: res.GetServer(), Replica: res.GetNumber(),
			Reason: "the engine no longer reports it",
		})
	}
}

// noteLost records servers that nobody has heard of; d.mu is held.
func (d *Driver) noteLost(now time.Time, r *ledger.Records) {
	for _, s := range r.Servers() {
		h := d.fleet.servers[s.GetName()]
		heardAt := d.since
		if h != nil && h.server.GetIncarnation() == s.GetIncarnation() {
			heardAt = later(heardAt, h.at)
		}
		if !s.GetLost() && now.Sub(heardAt) > lostAfter {
			lost := cloneServer(s)
			lost.Lost = true
			d.put(lost)
		}
	}
}

// put records a server's change; d.mu is held.
func (d *Driver) put(s *schema.Server) {
	if d.putting[s.GetName()] {
		return
	}
	d.putting[s.GetName()] = true
	d.spawn(func(ctx context.Context) {
		_, err := d.commit(ctx, &schema.Command{Body: &schema.Command_PutServer{PutServer: &schema.PutServer{Server: s}}})
		d.mu.Lock()
		defer d.mu.Unlock()
		if ctx.Err() != nil {
			return
		}
		delete(d.putting, s.GetName())
		if err == nil {
			d.cfg.Log.Info("server recorded", "server", s.GetName(), "incarnation", s.GetIncarnation(),
				"leaving", s.GetLeaving(), "lost", s.GetLost())
		}
		d.poke()
	})
}

// HandleReport takes in an entry's soft state and answers with forecasts.
func (d *Driver) HandleReport(q *schema.Report) *schema.ReportReply {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.follow() {
		return &schema.ReportReply{NotLeader: true}
	}
	now := d.cfg.Now()
	for _, a := range q.GetAnnouncements() {
		if s := d.fleet.hear(a, now); s != nil {
			d.compare(s)
		}
	}
	pressing := false
	for _, dm := range q.GetDemands() {
		d.fleet.want(q.GetEntry(), dm, d.baseOf(dm.GetTarget()), now)
		pressing = pressing || dm.GetWaiting() > 0
	}
	d.dirty = d.dirty || pressing
	if pressing && (now.Sub(d.lastRound) >= roundGap || d.unforeseen(q.GetDemands())) {
		d.round()
	}
	out := &schema.ReportReply{}
	for _, dm := range q.GetDemands() {
		if f, ok := d.forecasts[dm.GetTarget()]; ok && dm.GetWaiting() > 0 {
			out.Forecasts = append(out.Forecasts, forecastOf(dm.GetTarget(), f, now))
		}
	}
	return out
}

func (d *Driver) baseOf(target string) string {
	base := ""
	d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) { base = r.Model(target).GetBase() })
	return base
}

// unforeseen reports whether the last round did not look at one of the targets.
func (d *Driver) unforeseen(demands []*schema.Demand) bool {
	return slices.ContainsFunc(demands, func(x *schema.Demand) bool {
		_, seen := d.forecasts[x.GetTarget()]
		return x.GetWaiting() > 0 && !seen
	})
}

func forecastOf(target string, f placement.Forecast, now time.Time) *schema.Forecast {
	if !f.Possible {
		return &schema.Forecast{Target: target, ReadyInMs: -1, Reason: f.Reason}
	}
	return &schema.Forecast{Target: target, ReadyInMs: max(f.ReadyAt.Sub(now).Milliseconds(), 0)}
}

// compare records a server whose announcement differs from its record.
func (d *Driver) compare(s *schema.Server) {
	var old *schema.Server
	d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) { old = r.Server(s.GetName()) })
	if old == nil || !sameServer(old, s) && s.GetIncarnation() >= old.GetIncarnation() {
		d.put(s)
	}
}
