package gateway

import (
	"time"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/schema"
)

// report logs a finished request with what decided it, and counts it.
func (g *Gateway) report(x *exchange) {
	took := time.Since(x.began)
	kind, route, version := "none", "", uint64(0)
	if x.table != nil {
		version = x.table.version
	}
	if x.route != nil {
		kind, route = kindOf(x.route), x.route.GetName()
	}
	rate, apart := 0, false
	if x.call.Model != "" {
		rate, apart = g.fleet.reading(x.pool)
	}
	server := ""
	if x.server != nil {
		server = x.server.id
	}
	g.cfg.RequestLog.Info("request", "id", x.call.ID, "key", x.guarded.ComputedKey(), "outcome", x.outcome.String(), "team", x.teamName(), "quota-cost", x.access.cost, "confirmed-age-ms", time.Since(g.attend.confirmedAt()).Milliseconds(), "status", x.status, "route", route,
		"version", version, "pool", x.pool, "model", x.call.Model, "adapter", x.call.Adapter, "server", server,
		"attempts", x.attempts, "runs", x.runs, "tried", x.tried, "waited-ms", x.waited.Milliseconds(),
		"first-ms", x.first.Milliseconds(), "pause-ms", x.pause.Milliseconds(), "took-ms", took.Milliseconds(), "wait-ms", x.call.Timeout.Milliseconds(), "prompt", x.call.PromptTokens,
		"at-once", x.atOnce, "unread", x.unread, "read-rate", rate, "apart", apart,
		"leader-age-ms", g.attend.age().Milliseconds(), "cause", asynclog.ErrorText(x.cause))
	if g.cfg.OnRequestDone != nil {
		g.cfg.OnRequestDone(RequestStats{
			RouteKind: kind, Team: x.teamName(), Outcome: x.outcome, Status: x.status, Duration: took, TimeToFirstByte: x.first, Attempts: x.attempts,
		})
	}
}

func kindOf(r *schema.Route) string {
	switch {
	case r.GetStream() && r.GetRepeat() == schema.Repeat_REPEAT_RESUME:
		return "stream-resumable"
	case r.GetStream():
		return "stream"
	case r.GetRepeat() == schema.Repeat_REPEAT_WHOLE:
		return "idempotent"
	}
	return "once"
}
