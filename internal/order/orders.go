package order

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/engine"
	"fennelyard/internal/ledger"
	"fennelyard/internal/placement"
	"fennelyard/internal/schema"
)

// adopt takes over the orders that nobody works on: those of former leaders,
// and those whose reserve command was committed without an answer. Each gets a
// new fencing number before it is given again, so that a late answer to a
// former order changes nothing. d.mu is held.
func (d *Driver) adopt(now time.Time, r *ledger.Records, age time.Duration) {
	for _, res := range r.Reservations() {
		loaded := res.GetState() == schema.ReservationState_RESERVATION_STATE_LOADED
		if loaded || d.busy[res.GetNumber()] || now.Sub(time.UnixMilli(res.GetChangedMs())) < age {
			continue
		}
		d.busy[res.GetNumber()] = true
		d.spawn(func(ctx context.Context) {
			defer d.free(ctx, res.GetNumber())
			if next := d.move(ctx, res, schema.ReservationMove_RESERVATION_MOVE_REORDERED); next != nil {
				d.run(ctx, next)
			}
		})
	}
}

func (d *Driver) load(ctx context.Context, key reserveKey, decision placement.Decision) {
	res := d.reserve(ctx, key, decision)
	if res == nil {
		return
	}
	defer d.free(ctx, res.GetNumber())
	d.run(ctx, res)
}

// reserve commits the reservation that must stand before the order leaves.
func (d *Driver) reserve(ctx context.Context, key reserveKey, decision placement.Decision) *schema.Reservation {
	result, err := d.commit(ctx, &schema.Command{Body: &schema.Command_Reserve{Reserve: &schema.Reserve{
		Target: decision.Target, Server: decision.Server, Incarnation: decision.Incarnation,
		Accelerator: uint32(decision.Accelerator), ReadyMs: decision.ReadyAt.UnixMilli(),
	}}})
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	delete(d.reserving, key)
	if err != nil {
		// It may be committed all the same. Its reservation then has no order;
		// adopt finds it.
		d.cfg.Log.Info("reservation not confirmed", "target", decision.Target, "reason", err.Error())
		return nil
	}
	if result.GetCode() != schema.ResultCode_RESULT_CODE_OK {
		d.cfg.Log.Info("reservation refused", "target", decision.Target, "reason", result.GetReason())
		return nil
	}
	res := result.GetReservation()
	d.busy[res.GetNumber()] = true
	d.cfg.Log.Info("load decided", "target", res.GetTarget(), "server", res.GetServer(),
		"reservation", res.GetNumber(), "reason", decision.Reason)
	return res
}

func (d *Driver) unload(ctx context.Context, decision placement.Decision) {
	defer d.free(ctx, decision.Replica)
	var res *schema.Reservation
	d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) { res = r.Reservation(decision.Replica) })
	if res == nil {
		return
	}
	next := d.move(ctx, res, schema.ReservationMove_RESERVATION_MOVE_UNLOADING)
	if next == nil {
		return
	}
	d.cfg.Log.Info("unload decided", "target", res.GetTarget(), "server", res.GetServer(),
		"reservation", res.GetNumber(), "reason", decision.Reason)
	d.run(ctx, next)
}

// run gives a reservation's order until the engine has answered it, the server
// has a new incarnation, or the leadership ends. Silence proves nothing and
// releases nothing.
func (d *Driver) run(ctx context.Context, res *schema.Reservation) {
	ctx, span := d.span(ctx, "order", res)
	defer span.End()
	began := d.cfg.Now()
	for ctx.Err() == nil && res != nil {
		server := d.serverOf(res)
		if server == nil {
			return
		}
		d.awaitFlights(ctx, server, res)
		reply, err := d.give(ctx, server, res)
		if err != nil {
			d.cfg.Log.V(1).Info("order without answer", "reservation", res.GetNumber(), "reason", err.Error())
			d.sleep(ctx, orderRetry)
			continue
		}
		res = d.settle(ctx, res, reply, began)
	}
}

// serverOf returns the server under the incarnation that the reservation is
// for, or nil when the reservation is gone.
func (d *Driver) serverOf(res *schema.Reservation) *schema.Server {
	var s *schema.Server
	d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) {
		now := r.Reservation(res.GetNumber())
		if now != nil && now.GetFencing() == res.GetFencing() {
			s = r.Server(res.GetServer())
		}
	})
	if s.GetIncarnation() != res.GetIncarnation() {
		return nil
	}
	return s
}

// give confirms the leadership right before the order is written. A leader that
// was frozen in between and wakes up deposed can still write it; it is reserved
// by then, so its successor counts it.
func (d *Driver) give(ctx context.Context, s *schema.Server, res *schema.Reservation) (*schema.OrderReply, error) {
	confirm, cancel := context.WithTimeout(ctx, commitWait)
	err := d.cfg.ConfirmLeadership(confirm)
	cancel()
	if err != nil {
		return nil, err
	}
	expected := time.UnixMilli(res.GetReadyMs()).Sub(d.cfg.Now())
	ctx, cancel = context.WithTimeout(ctx, max(minOrderWait, orderWaitTimes*expected))
	defer cancel()
	o := d.orderOf(res)
	// One span for each time the order is given: load or unload.
	ctx, span := d.span(ctx, o.GetKind(), res)
	defer span.End()
	reply, err := d.cfg.SendOrder(ctx, s.GetAddress(), o)
	if err == nil && reply.GetIncarnation() != res.GetIncarnation() {
		// The engine restarted before its announcement was recorded. What the
		// new process did says nothing about the one that was reserved for.
		err = errors.Newf("incarnation %d answered, not %d", reply.GetIncarnation(), res.GetIncarnation())
	}
	if err != nil && res.GetState() == schema.ReservationState_RESERVATION_STATE_LOADING {
		d.mu.Lock()
		d.inFlight[res.GetNumber()] = d.cfg.Now().Add(flightBound)
		d.mu.Unlock()
	}
	return reply, err
}

// mayArrive returns how long an order that got no answer may still arrive: one
// of this leader's, or one of a former leader's.
func (d *Driver) mayArrive(res *schema.Reservation) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := later(d.since.Add(flightBound), d.inFlight[res.GetNumber()])
	return until.Sub(d.cfg.Now())
}

// isOnlyOrder reports whether the order that an answer belongs to is the only
// one that ever left for the reservation.
func (d *Driver) isOnlyOrder(res *schema.Reservation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, unanswered := d.inFlight[res.GetNumber()]
	return res.GetFencing() == res.GetNumber() && !unanswered
}

func (d *Driver) orderOf(res *schema.Reservation) *schema.Order {
	kind := engine.KindLoad
	if res.GetState() == schema.ReservationState_RESERVATION_STATE_UNLOADING {
		kind = engine.KindUnload
	}
	base := ""
	d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) { base = r.Model(res.GetTarget()).GetBase() })
	return &schema.Order{
		Kind: kind, Target: res.GetTarget(), Base: base, Version: res.GetVersion(),
		Accelerator: res.GetAccelerator(), MemoryMib: res.GetMemoryMib(),
		Fencing: res.GetFencing(), Incarnation: res.GetIncarnation(),
	}
}

// settle records what an engine's answer proves. It returns the reservation to
// go on with, or nil when there is nothing left to do.
func (d *Driver) settle(ctx context.Context, res *schema.Reservation,
	reply *schema.OrderReply, began time.Time,
) *schema.Reservation {
	loading := res.GetState() == schema.ReservationState_RESERVATION_STATE_LOADING
	done := reply.GetOutcome() == engine.OutcomeDone
	switch {
	case reply.GetOutcome() == engine.OutcomeRefused:
		// A newer leader's number is known to the engine, or its incarnation
		// is another: the ledger will say which.
		d.cfg.Log.Info("order refused", "reservation", res.GetNumber(), "reason", reply.GetReason())
		d.sleep(ctx, orderRetry)
		return res
	case loading && done:
		d.learn(res, began, true)
		d.move(ctx, res, schema.ReservationMove_RESERVATION_MOVE_LOADED)
		return nil
	case loading:
		d.learn(res, began, false)
		d.cfg.Log.Info("load failed", "reservation", res.GetNumber(), "target", res.GetTarget(),
			"server", res.GetServer(), "reason", reply.GetReason())
		return d.afterFailedLoad(ctx, res)
	case done:
		d.drop(ctx, res)
		return nil
	}
	d.cfg.Log.Info("unload failed", "reservation", res.GetNumber(), "reason", reply.GetReason())
	d.sleep(ctx, orderRetry)
	return res
}

// afterFailedLoad releases at once only when the failed order was the only one
// that ever left for the reservation. Another copy of it may still arrive and
// succeed; an unload under a new number then makes sure.
func (d *Driver) afterFailedLoad(ctx context.Context, res *schema.Reservation) *schema.Reservation {
	if !d.isOnlyOrder(res) {
		return d.move(ctx, res, schema.ReservationMove_RESERVATION_MOVE_UNLOADING)
	}
	d.drop(ctx, res)
	return nil
}

// awaitFlights holds an unload back until no load order for the reservation can
// arrive any more. An engine that ignores fencing numbers would carry out a late
// one after the unload, and the memory would be reserved again while it is full.
func (d *Driver) awaitFlights(ctx context.Context, s *schema.Server, res *schema.Reservation) {
	if s.GetChecksFencing() || res.GetState() != schema.ReservationState_RESERVATION_STATE_UNLOADING {
		return
	}
	if wait := d.mayArrive(res); wait > 0 {
		d.sleep(ctx, wait)
	}
}

func (d *Driver) drop(ctx context.Context, res *schema.Reservation) {
	if ctx.Err() != nil {
		return
	}
	d.move(ctx, res, schema.ReservationMove_RESERVATION_MOVE_RELEASED)
	d.cfg.Log.Info("replica released", "reservation", res.GetNumber(), "target", res.GetTarget(), "server", res.GetServer())
}

// move commits a change of state and returns the changed reservation, or nil
// when the ledger refused it, released it, or the leadership ended. It repeats
// a command without an answer: the fencing number and the state make the
// repetition of a committed move void.
func (d *Driver) move(ctx context.Context, res *schema.Reservation, m schema.ReservationMove) *schema.Reservation {
	for ctx.Err() == nil {
		result, err := d.commit(ctx, &schema.Command{Body: &schema.Command_MoveReservation{MoveReservation: &schema.MoveReservation{
			Number: res.GetNumber(), Fencing: res.GetFencing(), Move: m,
		}}})
		if err != nil {
			d.sleep(ctx, roundEvery)
			continue
		}
		if result.GetCode() != schema.ResultCode_RESULT_CODE_OK {
			d.cfg.Log.V(1).Info("move refused", "reservation", res.GetNumber(), "reason", result.GetReason())
			return nil
		}
		d.mu.Lock()
		d.poke()
		d.mu.Unlock()
		return result.GetReservation()
	}
	return nil
}

func (d *Driver) learn(res *schema.Reservation, began time.Time, ok bool) {
	d.mu.Lock()
	tier := placement.TierRemote
	if h := d.fleet.servers[res.GetServer()]; h != nil {
		tier = h.cached[res.GetTarget()]
	}
	took := d.cfg.Now().Sub(began)
	if ok {
		d.speeds.Observe(tier, res.GetMemoryMib(), took)
	}
	d.mu.Unlock()
	if d.cfg.ObserveLoad != nil {
		d.cfg.ObserveLoad(tier, took, ok)
	}
}

func (d *Driver) sleep(ctx context.Context, t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// sameServer compares what a server says of itself; being lost is the leader's
// own word, and a server that is heard is not lost.
func sameServer(a, b *schema.Server) bool {
	return proto.Equal(a, b)
}

func cloneServer(s *schema.Server) *schema.Server {
	return proto.Clone(s).(*schema.Server)
}
