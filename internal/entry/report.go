package entry

import (
	"context"
	"time"

	"fennelyard/internal/admission"
	"fennelyard/internal/schema"
)

const (
	// reportInterval is the time between regular reports, waitingReportInterval
	// that while requests wait or after a failed report.
	reportInterval        = time.Second
	waitingReportInterval = 250 * time.Millisecond
	reportTimeout         = time.Second
	// minReportInterval limits the rate of reports that arriving requests cause.
	minReportInterval = 10 * time.Millisecond
)

// reportLoop reports the announcements that this entry receives and the requests
// that wait here to the leader.
func (e *Entry) reportLoop() {
	var reported reportedTo
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-timer.C:
		case <-e.reportDue:
		case <-e.backends.ReportDue():
		}
		next := reportInterval
		if e.sendReport(&reported) {
			next = waitingReportInterval
		}
		if !e.sleep(minReportInterval) {
			return
		}
		timer.Reset(next)
	}
}

// reportedTo is the leader that received the last report, and its term. A leader knows nothing of earlier
// reports in a new term.
type reportedTo struct {
	leader string
	term   uint64
}

// sendReport sends one report and returns whether requests wait, or true if the
// report failed.
func (e *Entry) sendReport(reported *reportedTo) bool {
	if leader := e.cfg.Control.Leader(); leader != reported.leader {
		e.backends.MarkAllUnreported()
		reported.leader = leader
	}
	now := time.Now()
	queues := e.admission.TakeDemands()
	announcements := e.backends.Unreported(now)
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	reply, err := e.cfg.Control.Report(ctx, &schema.Report{
		Entry: e.cfg.Self.GetName(), EntryIncarnation: e.cfg.Incarnation,
		Announcements: announcements, Demands: demandMessages(queues, now),
	})
	if err != nil {
		e.cfg.Log.V(1).Info("report not taken", "reason", err.Error())
		return true
	}
	if current := (reportedTo{e.cfg.Control.Leader(), reply.GetTerm()}); current != *reported {
		e.backends.MarkAllUnreported()
		*reported = current
	} else {
		e.backends.MarkReported(announcements)
	}
	e.forecasts.set(time.Now(), reply.GetForecasts())
	e.refreshCapacity(queues)
	for _, q := range queues {
		if q.Waiting > 0 {
			return true
		}
	}
	return false
}

func demandMessages(queues []admission.Demand, now time.Time) []*schema.Demand {
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

// requestReport triggers an immediate report to the leader.
func (e *Entry) requestReport() {
	select {
	case e.reportDue <- struct{}{}:
	default:
	}
}
