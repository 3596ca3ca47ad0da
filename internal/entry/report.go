package entry

import (
	"context"
	"time"

	"fennelyard/internal/admission"
	"fennelyard/internal/schema"
)

const (
	// reportEvery is the time between regular reports, pressingEvery that while
	// requests wait for a load.
	reportEvery   = time.Second
	pressingEvery = 250 * time.Millisecond
	reportWait    = time.Second
	// reportGap bounds the reports that arrivals can cause.
	reportGap = 10 * time.Millisecond
)

// report keeps the leader told of what this entry hears and what waits here.
func (e *Entry) report() {
	told := ""
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-timer.C:
		case <-e.kick:
		case <-e.heard.ReportDue():
		}
		next := reportEvery
		if e.tell(&told) {
			next = pressingEvery
		}
		if !e.pause(reportGap) {
			return
		}
		timer.Reset(next)
	}
}

// tell sends one report and returns whether requests wait for a load.
func (e *Entry) tell(told *string) bool {
	// A leader that took over has heard nothing from this entry yet.
	if leader := e.cfg.Control.Leader(); leader != *told {
		e.heard.MarkAllUnreported()
		*told = leader
	}
	now := time.Now()
	queues := e.gate.TakeDemands()
	announcements := e.heard.Unreported(now)
	ctx, cancel := context.WithTimeout(context.Background(), reportWait)
	defer cancel()
	reply, err := e.cfg.Control.Report(ctx, &schema.Report{
		Entry: e.cfg.Self.GetName(), EntryIncarnation: e.cfg.Incarnation,
		Announcements: announcements, Demands: demandsOf(queues, now),
	})
	if err != nil {
		e.cfg.Log.V(1).Info("report not taken", "reason", err.Error())
		return true
	}
	if leader := e.cfg.Control.Leader(); leader != *told {
		e.heard.MarkAllUnreported()
		*told = leader
	} else {
		e.heard.MarkReported(announcements)
	}
	e.forecasts.set(time.Now(), reply.GetForecasts())
	e.refresh(queues)
	for _, q := range queues {
		if q.Waiting > 0 {
			return true
		}
	}
	return false
}

func demandsOf(queues []admission.Demand, now time.Time) []*schema.Demand {
	out := make([]*schema.Demand, 0, len(queues))
	for _, q := range queues {
		d := &schema.Demand{
			Target: q.Target, Waiting: uint32(q.Waiting), Running: uint32(q.Running),
			Arrived: uint32(q.Arrived), Priority: q.Priority, Returning: uint32(q.ExpectedRetries),
		}
		if !q.EarliestDeadline.IsZero() {
			d.FirstDeadlineMs = q.EarliestDeadline.Sub(now).Milliseconds()
		}
		out = append(out, d)
	}
	return out
}

// wake has the leader told at once that a request waits.
func (e *Entry) wake() {
	select {
	case e.kick <- struct{}{}:
	default:
	}
}
