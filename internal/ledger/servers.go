package ledger

import (
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

func (l *Ledger) putServer(s *schema.Server) *schema.Result {
	old := l.records.Server(s.GetName())
	if old != nil && s.GetIncarnation() < old.GetIncarnation() {
		return refuse(schema.ResultCode_RESULT_CODE_STALE, "server %q has a newer incarnation", s.GetName())
	}
	if old != nil && s.GetIncarnation() > old.GetIncarnation() {
		l.transferReservations(s)
	}
	l.put(&schema.Record{Key: ServerKey(s.GetName()), Value: &schema.Record_Server{Server: s}})
	return accepted()
}

// forgetServer accepts an operator's command as proof that a lost server has ended; no
// message can prove this.
func (l *Ledger) forgetServer(cmd *schema.Command, f *schema.ForgetServer) *schema.Result {
	s := l.records.Server(f.GetName())
	if s == nil || s.GetIncarnation() != f.GetIncarnation() {
		return refuse(schema.ResultCode_RESULT_CODE_NOT_FOUND, "server %q is not known under incarnation %d",
			f.GetName(), f.GetIncarnation())
	}
	if !s.GetLost() {
		return refuse(schema.ResultCode_RESULT_CODE_INVALID,
			"server %q is still announcing itself; only a lost server can be forgotten", f.GetName())
	}
	l.dropReservations(f.GetName())
	l.drop(ServerKey(f.GetName()))
	l.acceptOperator(cmd)
	return accepted()
}

// transferReservations updates the reservations of a server's earlier incarnations. A new
// incarnation proves that the old process and all it had loaded are gone. It does not prove
// where an order without a reply went: resent while the server restarted, the order may
// have reached the new process before that was recorded. Such a reservation stays, to be
// unloaded from the new incarnation.
func (l *Ledger) transferReservations(s *schema.Server) {
	for _, r := range l.records.ReservationsOnServer(s.GetName()) {
		if r.GetState() == schema.ReservationState_RESERVATION_STATE_LOADED || int(r.GetAccelerator()) >= len(s.GetAcceleratorMib()) {
			l.drop(ReservationKey(r.GetNumber()))
			continue
		}
		next := proto.Clone(r).(*schema.Reservation)
		next.Incarnation = s.GetIncarnation()
		next.State = schema.ReservationState_RESERVATION_STATE_UNLOADING
		next.Fencing = l.nextNumber()
		next.ChangedMs = l.clockMs
		l.putReservation(next)
	}
}

func (l *Ledger) dropReservations(server string) {
	for _, r := range l.records.ReservationsOnServer(server) {
		l.drop(ReservationKey(r.GetNumber()))
	}
}
