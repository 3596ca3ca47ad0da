package ledger

import (
	"fennelyard/internal/schema"
)

func (l *Ledger) putServer(s *schema.Server) *schema.Result {
	old := l.records.Server(s.GetName())
	if old != nil && s.GetIncarnation() < old.GetIncarnation() {
		return refuse(schema.ResultCode_RESULT_CODE_STALE, "server %q has a newer incarnation", s.GetName())
	}
	// A new incarnation proves that the old process is gone, and what it held
	// with it.
	if old != nil && s.GetIncarnation() > old.GetIncarnation() {
		l.releaseAll(s.GetName(), s.GetIncarnation())
	}
	l.put(&schema.Record{Key: ServerKey(s.GetName()), Value: &schema.Record_Server{Server: s}})
	return accepted()
}

// forgetServer takes an operator's word as the proof that no message gives.
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
	l.releaseAll(f.GetName(), f.GetIncarnation()+1)
	l.drop(ServerKey(f.GetName()))
	l.acceptOperator(cmd)
	return accepted()
}

func (l *Ledger) releaseAll(server string, below uint64) {
	for _, r := range l.records.ReservationsOn(server) {
		if r.GetIncarnation() < below {
			l.drop(ReservationKey(r.GetNumber()))
		}
	}
}
