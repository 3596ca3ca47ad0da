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

// adopt resumes the orders of at least the given age that no goroutine processes:
// those of former leaders, and those whose reserve command was committed without a
// reply. Each gets a new fencing token before it is sent again, so that a late reply
// to a former order has no effect. d.mu is held.
func (d *Driver) adopt(now time.Time, r *ledger.Records, age time.Duration) {
	for _, res := range r.Reservations() {
		loaded := res.GetState() == schema.ReservationState_RESERVATION_STATE_LOADED
		if loaded || d.busy[res.GetNumber()] || now.Sub(time.UnixMilli(res.GetChangedMs())) < age {
			continue
		}
		d.busy[res.GetNumber()] = true
		d.spawn(func(ctx context.Context) {
			defer d.finish(ctx, res.GetNumber())
			if next := d.moveReservation(ctx, res, schema.ReservationMove_RESERVATION_MOVE_REORDERED); next != nil {
				d.runOrder(ctx, next)
			}
		})
	}
}

func (d *Driver) load(ctx context.Context, key acceleratorKey, decision placement.Decision) {
	res := d.reserve(ctx, key, decision)
	if res == nil {
		return
	}
	defer d.finish(ctx, res.GetNumber())
	d.runOrder(ctx, res)
}

// reserve commits the reservation, which must be committed before the order is sent.
// It returns nil if the commit was not confirmed or was refused.
func (d *Driver) reserve(ctx context.Context, key acceleratorKey, decision placement.Decision) *schema.Reservation {
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
		// The command may be committed nevertheless. Its reservation then has no
		// order, and adopt resumes it.
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
	defer d.finish(ctx, decision.Replica)
	var res *schema.Reservation
	d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) { res = r.Reservation(decision.Replica) })
	if res == nil {
		return
	}
	next := d.moveReservation(ctx, res, schema.ReservationMove_RESERVATION_MOVE_UNLOADING)
	if next == nil {
		return
	}
	d.cfg.Log.Info("unload decided", "target", res.GetTarget(), "server", res.GetServer(),
		"reservation", res.GetNumber(), "reason", decision.Reason)
	d.runOrder(ctx, next)
}

// runOrder sends a reservation's order until the engine has replied, the server has a
// new incarnation, or the leadership ends. A missing reply proves nothing, so it
// releases nothing.
func (d *Driver) runOrder(ctx context.Context, res *schema.Reservation) {
	ctx, span := d.startSpan(ctx, "order", res)
	defer span.End()
	began := d.cfg.Now()
	for ctx.Err() == nil && res != nil {
		server := d.reservedServer(res)
		if server == nil {
			return
		}
		d.awaitInFlight(ctx, server, res)
		reply, err := d.sendOrder(ctx, server, res)
		if err != nil {
			d.cfg.Log.V(1).Info("order without answer", "reservation", res.GetNumber(), "reason", err.Error())
			d.sleep(ctx, orderRetryDelay)
			continue
		}
		res = d.handleReply(ctx, res, reply, began)
	}
}

// reservedServer returns the server that a reservation is for, or nil if the
// reservation has ended or has another fencing token, or the server has another
// incarnation.
func (d *Driver) reservedServer(res *schema.Reservation) *schema.Server {
	var s *schema.Server
	d.cfg.Ledger.View(func(_ ledger.Status, r *ledger.Records) {
		current := r.Reservation(res.GetNumber())
		if current != nil && current.GetFencing() == res.GetFencing() {
			s = r.Server(res.GetServer())
		}
	})
	if s.GetIncarnation() != res.GetIncarnation() {
		return nil
	}
	return s
}

// sendOrder confirms the leadership directly before it sends the order. A leader that
// is frozen in between and resumes after it was deposed can still send the order;
// the reservation is committed by then, so the next leader accounts for it.
func (d *Driver) sendOrder(ctx context.Context, s *schema.Server, res *schema.Reservation) (*schema.OrderReply, error) {
	confirm, cancel := context.WithTimeout(ctx, commitTimeout)
	err := d.cfg.ConfirmLeadership(confirm)
	cancel()
	if err != nil {
		return nil, err
	}
	expected := time.UnixMilli(res.GetReadyMs()).Sub(d.cfg.Now())
	ctx, cancel = context.WithTimeout(ctx, max(minOrderTimeout, orderTimeoutFactor*expected))
	defer cancel()
	o := d.newOrder(res)
	// Each attempt to send the order has its own span, named load or unload.
	ctx, span := d.startSpan(ctx, o.GetKind(), res)
	defer span.End()
	reply, err := d.cfg.SendOrder(ctx, s.GetAddress(), o)
	if err == nil && reply.GetIncarnation() != res.GetIncarnation() {
		// The engine restarted before its announcement was recorded. The reply of
		// the new process proves nothing about the reserved incarnation.
		err = errors.Newf("reply is from incarnation %d, want %d", reply.GetIncarnation(), res.GetIncarnation())
	}
	if err != nil && res.GetState() == schema.ReservationState_RESERVATION_STATE_LOADING {
		d.mu.Lock()
		d.inFlightUntil[res.GetNumber()] = d.cfg.Now().Add(maxFlightTime)
		d.mu.Unlock()
	}
	return reply, err
}

// remainingFlightTime returns how long an earlier order for the reservation may still
// arrive, whether this leader or a former one sent it.
func (d *Driver) remainingFlightTime(res *schema.Reservation) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	until := later(d.termStart.Add(maxFlightTime), d.inFlightUntil[res.GetNumber()])
	return until.Sub(d.cfg.Now())
}

// isOnlyOrder reports whether the order that the engine replied to is the only one that
// was ever sent for the reservation: reservations begin with their own number as the
// fencing token.
func (d *Driver) isOnlyOrder(res *schema.Reservation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, inFlight := d.inFlightUntil[res.GetNumber()]
	return res.GetFencing() == res.GetNumber() && !inFlight
}

func (d *Driver) newOrder(res *schema.Reservation) *schema.Order {
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

// handleReply records the result that an engine's reply proves. It returns the
// reservation to continue with, or nil if the order is finished.
func (d *Driver) handleReply(ctx context.Context, res *schema.Reservation,
	reply *schema.OrderReply, began time.Time,
) *schema.Reservation {
	loading := res.GetState() == schema.ReservationState_RESERVATION_STATE_LOADING
	done := reply.GetOutcome() == engine.OutcomeDone
	switch {
	case reply.GetOutcome() == engine.OutcomeRefused:
		// The engine knows a newer leader's fencing token, or it has another
		// incarnation. The next iteration finds out from the ledger.
		d.cfg.Log.Info("order refused", "reservation", res.GetNumber(), "reason", reply.GetReason())
		d.sleep(ctx, orderRetryDelay)
		return res
	case loading && done:
		d.recordLoad(res, began, true)
		d.moveReservation(ctx, res, schema.ReservationMove_RESERVATION_MOVE_LOADED)
		return nil
	case loading:
		d.recordLoad(res, began, false)
		d.cfg.Log.Info("load failed", "reservation", res.GetNumber(), "target", res.GetTarget(),
			"server", res.GetServer(), "reason", reply.GetReason())
		return d.handleFailedLoad(ctx, res)
	case done:
		d.release(ctx, res)
		return nil
	}
	d.cfg.Log.Info("unload failed", "reservation", res.GetNumber(), "reason", reply.GetReason())
	d.sleep(ctx, orderRetryDelay)
	return res
}

// handleFailedLoad releases the reservation at once only if the failed order was the
// only one that was ever sent for it. Otherwise another copy may still arrive and
// succeed, so an unload with a new fencing token must come first.
func (d *Driver) handleFailedLoad(ctx context.Context, res *schema.Reservation) *schema.Reservation {
	if !d.isOnlyOrder(res) {
		return d.moveReservation(ctx, res, schema.ReservationMove_RESERVATION_MOVE_UNLOADING)
	}
	d.release(ctx, res)
	return nil
}

// awaitInFlight delays an unload until no load order for the reservation can arrive
// any more. An engine that ignores fencing tokens would execute a late load after the
// unload, and the memory would be reserved again while it is in use.
func (d *Driver) awaitInFlight(ctx context.Context, s *schema.Server, res *schema.Reservation) {
	if s.GetChecksFencing() || res.GetState() != schema.ReservationState_RESERVATION_STATE_UNLOADING {
		return
	}
	if wait := d.remainingFlightTime(res); wait > 0 {
		d.sleep(ctx, wait)
	}
}

// release ends a reservation and frees its memory.
func (d *Driver) release(ctx context.Context, res *schema.Reservation) {
	if ctx.Err() != nil {
		return
	}
	d.moveReservation(ctx, res, schema.ReservationMove_RESERVATION_MOVE_RELEASED)
	d.cfg.Log.Info("replica released", "reservation", res.GetNumber(), "target", res.GetTarget(), "server", res.GetServer())
}

// moveReservation commits a state change and returns the changed reservation, or nil
// if the ledger refused the change or released the reservation, or the leadership
// ended. A command without a reply is retried: the fencing token and the state make
// the retry of a committed command a no-op.
func (d *Driver) moveReservation(ctx context.Context, res *schema.Reservation, m schema.ReservationMove) *schema.Reservation {
	for ctx.Err() == nil {
		result, err := d.commit(ctx, &schema.Command{Body: &schema.Command_MoveReservation{MoveReservation: &schema.MoveReservation{
			Number: res.GetNumber(), Fencing: res.GetFencing(), Move: m,
		}}})
		if err != nil {
			d.sleep(ctx, roundInterval)
			continue
		}
		if result.GetCode() != schema.ResultCode_RESULT_CODE_OK {
			d.cfg.Log.V(1).Info("move refused", "reservation", res.GetNumber(), "reason", result.GetReason())
			return nil
		}
		d.mu.Lock()
		d.requestRound()
		d.mu.Unlock()
		return result.GetReservation()
	}
	return nil
}

// recordLoad records the duration of a load, as a speed sample if it succeeded.
func (d *Driver) recordLoad(res *schema.Reservation, began time.Time, ok bool) {
	d.mu.Lock()
	tier := placement.TierRemote
	if s := d.observed.servers[res.GetServer()]; s != nil {
		tier = s.cached[res.GetTarget()]
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

// sleep waits for a duration and returns false if the context ends first.
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

// sameServer reports whether an announced server equals its record, the lost flag
// included: the leader sets it, and a server that announces itself is not lost.
func sameServer(a, b *schema.Server) bool {
	return proto.Equal(a, b)
}

func cloneServer(s *schema.Server) *schema.Server {
	return proto.Clone(s).(*schema.Server)
}
