package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"fennelyard/internal/ledger"
	"fennelyard/internal/operator"
	"fennelyard/internal/schema"
)

// statusTimeout bounds the query to the leader; after it the status shows only what
// this entry knows.
const statusTimeout = 2 * time.Second

func (e *Entry) status(c echo.Context) error {
	v := &schema.StatusView{
		Deployment: e.cfg.Settings.GetDeployment(), Host: e.cfg.Self.GetName(),
		Leader: e.cfg.Control.Leader(), EntryRevision: e.cfg.Replica.Revision(),
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), statusTimeout)
	defer cancel()
	// The prefix matches no records: only the revisions and members are needed, the
	// records are replicated here.
	reply, err := e.cfg.Control.Fetch(ctx, planPrefix+"-")
	if err != nil {
		v.Stale = "the control group has no leader that answers this entry"
	}
	v.Revision = reply.GetRevision()
	v.WaitingForProof = reply.GetUnproved()
	v.Hosts = e.hostViews(reply.GetMembers())
	e.cfg.Replica.View(func(r *ledger.Records) {
		v.Servers = serverViews(r)
		v.Models = modelViews(r)
	})
	for _, q := range e.admission.Queues() {
		v.Queues = append(v.Queues, &schema.QueueView{
			Target: q.Target, Waiting: uint32(q.Waiting), Running: uint32(q.Running),
		})
	}
	return operator.WriteProto(c, http.StatusOK, v)
}

func (e *Entry) hostViews(members []*schema.MemberView) []*schema.HostView {
	roles := map[string]string{}
	for _, m := range members {
		switch {
		case m.GetLeader():
			roles[m.GetHost()] = "leader"
		case m.GetLearner():
			roles[m.GetHost()] = "learner"
		default:
			roles[m.GetHost()] = "voter"
		}
	}
	var out []*schema.HostView
	for _, h := range e.hosts() {
		out = append(out, &schema.HostView{
			Name: h.Name, DataCentre: h.DataCentre, State: enumName(h.State.String(), "HOST_STATE_"),
			Control: roles[h.Name], Load: uint32(h.Load), Stopping: h.Stopping,
		})
	}
	return out
}

func serverViews(r *ledger.Records) []*schema.ServerView {
	var out []*schema.ServerView
	for _, s := range r.Servers() {
		v := &schema.ServerView{
			Name: s.GetName(), Kind: enumName(s.GetKind().String(), "SERVER_KIND_"), Incarnation: s.GetIncarnation(),
			DataCentre: s.GetDataCentre(), Address: s.GetAddress(), State: "serving",
		}
		switch {
		case s.GetLost():
			v.State = "lost"
		case s.GetLeaving():
			v.State = "leaving"
		}
		for i, mib := range s.GetAcceleratorMib() {
			v.TotalMib += mib
			v.ReservedMib += r.UsedMiB(s.GetName(), uint32(i))
		}
		out = append(out, v)
	}
	return out
}

// modelViews returns the models that have replicas or a lower bound: a list with
// thousands of idle adapters would hide them.
func modelViews(r *ledger.Records) []*schema.ModelView {
	var out []*schema.ModelView
	for _, m := range r.Models() {
		v := &schema.ModelView{
			Name: m.GetName(), Base: m.GetBase(), MinReplicas: m.GetMinReplicas(), MaxReplicas: m.GetMaxReplicas(),
		}
		reservations := r.ReservationsForTarget(m.GetName())
		for _, res := range reservations {
			switch res.GetState() {
			case schema.ReservationState_RESERVATION_STATE_LOADED:
				v.Loaded++
			case schema.ReservationState_RESERVATION_STATE_UNLOADING:
				v.Unloading++
			default:
				v.Loading++
			}
		}
		if len(reservations) > 0 || m.GetMinReplicas() > 0 {
			out = append(out, v)
		}
	}
	return out
}
