package gateway

import (
	"strings"
	"time"

	"fennelyard/internal/asynclog"
	"fennelyard/internal/schema"
)

// logRequest logs a finished request with the data behind its decisions, and counts it.
func (g *Gateway) logRequest(x *exchange) {
	duration := time.Since(x.startTime)
	if x.outcome == OutcomeServed && x.status != 0 {
		g.observeDuration(x.route, duration)
	}
	kind, route, version := "none", "", uint64(0)
	if x.table != nil {
		version = x.table.version
	}
	if x.route != nil {
		kind, route = routeKind(x.route), x.route.GetName()
	}
	rate, separated := 0, false
	if x.info.Model != "" {
		rate, separated = g.fleet.prefillRate(x.pool)
	}
	sentMs := int64(-1)
	if !x.sentAt.IsZero() {
		sentMs = x.sentAt.Sub(x.startTime).Milliseconds()
	}
	server, software := "", x.info.version
	if x.server != nil {
		server, software = x.server.id, g.fleet.versionOf(x.server)
	}
	if x.abandoned {
		// The key identifies the request under which its server may still crash.
		x.keyedRequest().Key()
	}
	heldBy, heldScope, heldName := x.keyed.HeldBy()
	g.cfg.RequestLog.Info("request", "id", x.info.ID, "key", x.keyed.ComputedKey(), "held-by", heldBy, "held-scope", heldScope, "held-name", heldName, "held-versions", g.fleet.heldVersions(x.pool, &x.info), "outcome", x.outcome.String(), "team", x.teamName(), "quota-cost", x.access.cost, "quota-by", x.quotaSource(), "quota-waited-ms", x.access.waited.Milliseconds(), "confirmed-age-ms", time.Since(g.subscriber.confirmedAt()).Milliseconds(), "status", x.status, "route", route,
		"version", version, "pool", x.pool, "model", x.info.Model, "adapter", x.info.Adapter, "server", server, "via", x.via, "sent-ms", sentMs, "roster-age-ms", x.rosterAge.Milliseconds(),
		"server-limit", x.statedLimit.String(), "server-cooldown-ms", x.statedCooldown.Milliseconds(), "attempts", x.attempts, "runs", x.runs, "tried", x.excluded, "framing", x.framing.String(), "last-event", x.lastEventID, "resumes", x.info.Resumes, "resumes-after", x.info.LastEventID, "bound", x.info.bound, "software", software, "unproven", x.info.copyKey != "", "parts", x.info.partIDs(), "waited-ms", x.waited.Milliseconds(),
		"first-ms", x.timeToFirstByte.Milliseconds(), "pause-ms", x.maxPause.Milliseconds(), "took-ms", duration.Milliseconds(), "wait-ms", x.info.Timeout.Milliseconds(), "prompt", x.info.PromptTokens,
		"at-once", x.inFlightBefore, "unread", x.pendingPrefillBefore, "read-rate", rate, "apart", separated,
		"leader-age-ms", g.subscriber.leaderAge().Milliseconds(), "cause", asynclog.ErrorText(x.cause))
	if g.cfg.OnRequestDone != nil {
		g.cfg.OnRequestDone(RequestStats{
			RouteKind: kind, Team: x.teamName(), Outcome: x.outcome, Status: x.status, Duration: duration, TimeToFirstByte: x.timeToFirstByte, Attempts: x.attempts,
		})
	}
}

// maxPartsLogged is the maximum number of prompt parts in a log line, and maxPartIDLogged the length to
// which their IDs are cut, in bytes.
const (
	maxPartsLogged  = 8
	maxPartIDLogged = 32
)

// partIDs returns the IDs of the first parts of the prompt, for a log line.
func (info *RequestInfo) partIDs() string {
	var ids []string
	for _, p := range info.PromptParts[:min(len(info.PromptParts), maxPartsLogged)] {
		ids = append(ids, p.ID[:min(len(p.ID), maxPartIDLogged)])
	}
	return strings.Join(ids, ",")
}

func routeKind(r *schema.Route) string {
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
