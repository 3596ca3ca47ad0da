package ledger

import (
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

// reserve is the only place where replicas and memory are counted. An order may be sent
// only after its reservation is committed, so that a successor already counts whatever a
// stalled or deposed leader still sends.
func (l *Ledger) reserve(q *schema.Reserve) *schema.Result {
	m := l.records.Model(q.GetTarget())
	if m == nil {
		return refuse(schema.ResultCode_RESULT_CODE_NOT_FOUND, "%q is not configured", q.GetTarget())
	}
	if r := l.checkServer(q); r != nil {
		return r
	}
	if r := l.checkBounds(q, m); r != nil {
		return r
	}
	number := l.nextNumber()
	res := &schema.Reservation{
		Number: number, Target: q.GetTarget(), Version: m.GetVersion(),
		Server: q.GetServer(), Incarnation: q.GetIncarnation(), Accelerator: q.GetAccelerator(),
		MemoryMib: m.GetMemoryMib(), State: schema.ReservationState_RESERVATION_STATE_LOADING,
		Fencing: number, ChangedMs: l.clockMs, ReadyMs: q.GetReadyMs(),
	}
	l.putReservation(res)
	out := accepted()
	out.Reservation = res
	return out
}

func (l *Ledger) checkServer(q *schema.Reserve) *schema.Result {
	s := l.records.Server(q.GetServer())
	switch {
	case s == nil || s.GetIncarnation() != q.GetIncarnation():
		return refuse(schema.ResultCode_RESULT_CODE_STALE, "server %q is not known under incarnation %d",
			q.GetServer(), q.GetIncarnation())
	case s.GetLeaving() || s.GetLost():
		return refuse(schema.ResultCode_RESULT_CODE_INVALID, "server %q takes no new work", q.GetServer())
	case int(q.GetAccelerator()) >= len(s.GetAcceleratorMib()):
		return refuse(schema.ResultCode_RESULT_CODE_INVALID, "server %q has no accelerator %d",
			q.GetServer(), q.GetAccelerator())
	}
	return nil
}

func (l *Ledger) checkBounds(q *schema.Reserve, m *schema.Model) *schema.Result {
	if replicas := len(l.records.byTarget[q.GetTarget()]); replicas >= int(m.GetMaxReplicas()) {
		return refuse(schema.ResultCode_RESULT_CODE_OVER_BOUND, "%q has %d of %d replicas",
			q.GetTarget(), replicas, m.GetMaxReplicas())
	}
	total := l.records.Server(q.GetServer()).GetAcceleratorMib()[q.GetAccelerator()]
	used := l.records.UsedMiB(q.GetServer(), q.GetAccelerator())
	if used+m.GetMemoryMib() > total {
		return refuse(schema.ResultCode_RESULT_CODE_OVER_BOUND, "%d of %d MiB are reserved on %q",
			used, total, q.GetServer())
	}
	base := false
	for _, r := range l.records.byServer[q.GetServer()] {
		if r.GetAccelerator() != q.GetAccelerator() {
			continue
		}
		if r.GetState() != schema.ReservationState_RESERVATION_STATE_LOADED {
			return refuse(schema.ResultCode_RESULT_CODE_INVALID, "an order is outstanding on %q", q.GetServer())
		}
		if r.GetTarget() == q.GetTarget() {
			return refuse(schema.ResultCode_RESULT_CODE_INVALID, "%q is already there", q.GetTarget())
		}
		base = base || r.GetTarget() == m.GetBase()
	}
	if m.GetBase() != "" && !base {
		return refuse(schema.ResultCode_RESULT_CODE_INVALID, "base %q is not loaded on %q", m.GetBase(), q.GetServer())
	}
	return nil
}

// moveReservation changes a reservation only under its latest fencing number: late replies
// to a deposed leader have an older one and change nothing.
func (l *Ledger) moveReservation(q *schema.MoveReservation) *schema.Result {
	r := l.records.Reservation(q.GetNumber())
	if r == nil {
		return refuse(schema.ResultCode_RESULT_CODE_NOT_FOUND, "reservation %d is gone", q.GetNumber())
	}
	if r.GetFencing() != q.GetFencing() {
		return refuse(schema.ResultCode_RESULT_CODE_STALE, "reservation %d is under order %d",
			q.GetNumber(), r.GetFencing())
	}
	next := proto.Clone(r).(*schema.Reservation)
	next.ChangedMs = l.clockMs
	loading := r.GetState() == schema.ReservationState_RESERVATION_STATE_LOADING
	loaded := r.GetState() == schema.ReservationState_RESERVATION_STATE_LOADED
	switch q.GetMove() {
	case schema.ReservationMove_RESERVATION_MOVE_LOADED:
		if !loading {
			return invalidMove(r, q)
		}
		next.State = schema.ReservationState_RESERVATION_STATE_LOADED
	case schema.ReservationMove_RESERVATION_MOVE_UNLOADING:
		if reason := l.unloadBlocker(r); reason != "" || !loaded && !loading {
			return refuse(schema.ResultCode_RESULT_CODE_INVALID, "reservation %d cannot be unloaded: %s", r.GetNumber(), reason)
		}
		next.State = schema.ReservationState_RESERVATION_STATE_UNLOADING
		next.Fencing = l.nextNumber()
	case schema.ReservationMove_RESERVATION_MOVE_REORDERED:
		if loaded {
			return invalidMove(r, q)
		}
		next.Fencing = l.nextNumber()
	case schema.ReservationMove_RESERVATION_MOVE_RELEASED:
		if loaded {
			return invalidMove(r, q)
		}
		l.drop(ReservationKey(r.GetNumber()))
		return accepted()
	default:
		return invalidMove(r, q)
	}
	l.putReservation(next)
	out := accepted()
	out.Reservation = next
	return out
}

// unloadBlocker returns why a reservation can't be unloaded, or "": a base model must stay
// loaded under its adapters, and an accelerator has one order at a time.
func (l *Ledger) unloadBlocker(r *schema.Reservation) string {
	for _, other := range l.records.byServer[r.GetServer()] {
		if other.GetAccelerator() != r.GetAccelerator() || other.GetNumber() == r.GetNumber() {
			continue
		}
		if other.GetState() != schema.ReservationState_RESERVATION_STATE_LOADED {
			return "an order is outstanding on its accelerator"
		}
		m := l.records.Model(other.GetTarget())
		if m != nil && m.GetBase() == r.GetTarget() {
			return "adapter " + other.GetTarget() + " is loaded on it"
		}
	}
	return ""
}

func invalidMove(r *schema.Reservation, q *schema.MoveReservation) *schema.Result {
	return refuse(schema.ResultCode_RESULT_CODE_INVALID, "reservation %d is %s: no move %s",
		r.GetNumber(), r.GetState(), q.GetMove())
}

func (l *Ledger) putReservation(r *schema.Reservation) {
	l.put(&schema.Record{
		Key: ReservationKey(r.GetNumber()), Value: &schema.Record_Reservation{Reservation: r},
	})
}
