package gateway

import (
	"net/http"
	"time"

	"fennelyard/internal/quota"
	"fennelyard/internal/schema"
)

// unconfirmedAfter is the age of the last confirmation from the control group from which on
// an entry counts as behind: it may lack a configuration that is in force elsewhere.
const unconfirmedAfter = 1500 * time.Millisecond

// access is what a request may do by its API key.
type access struct {
	// team is nil where the request needs no key and brings none that is known.
	team *schema.Team
	// cost is what the request was counted against its team's quota, 0: nothing.
	cost float64
}

// teamName is "" for requests of no team.
func (x *exchange) teamName() string { return x.access.team.GetName() }

// authorize finds the caller's team and counts the request against its quota. It answers
// by itself where the request may not run.
func (x *exchange) authorize() bool {
	if !x.authenticate() {
		return false
	}
	t := x.access.team
	if t == nil || !quota.Limits(t.GetQuota()) {
		return true
	}
	now := time.Now()
	cost := quota.Cost(t.GetQuota(), float64(x.call.PromptTokens)+float64(x.call.OutputTokens), x.call.TokensDeclared)
	fresh := now.Sub(x.g.attend.confirmedAt()) < unconfirmedAfter
	after, ok := x.g.quotas.Admit(t, cost, fresh, x.g.entryCount(), now)
	if !ok {
		x.refuse(http.StatusTooManyRequests, OutcomeOverQuota, after)
		return false
	}
	x.access.cost = cost
	return true
}

// authenticate finds the caller's team by its API key, in the newest configuration.
func (x *exchange) authenticate() bool {
	// Before the configuration, or a confirmation that came with the next one would count
	// for the one that it replaced.
	age := time.Since(x.g.attend.confirmedAt())
	teams := x.g.table.Load().teams
	if teams.Empty() {
		return true
	}
	x.access.team = teams.Find(x.call.APIKey)
	if x.route.GetAnonymous() {
		return true
	}
	if !x.g.accepts(age) {
		// The key may have been revoked since.
		x.giveUp(OutcomeUnconfirmed, refuseAfter)
		return false
	}
	if x.access.team != nil {
		return true
	}
	if age > unconfirmedAfter {
		// The key may have been added since.
		x.giveUp(OutcomeUnconfirmed, refuseAfter)
		return false
	}
	x.giveUp(OutcomeUnauthorized, 0)
	return false
}

// accepts reports whether keys are accepted by a configuration that was last confirmed so
// long ago.
func (g *Gateway) accepts(age time.Duration) bool {
	return g.cfg.KeyRevocation == 0 || age <= g.cfg.KeyRevocation
}

// AcceptsKey reports whether an API key is a team's, by a configuration that is confirmed
// recently enough.
func (g *Gateway) AcceptsKey(key string) bool {
	// See authenticate for the order.
	age := time.Since(g.attend.confirmedAt())
	t := g.table.Load()
	return t != nil && g.accepts(age) && t.teams.Find(key) != nil
}

// mayResume reports whether the caller's key still holds for another run of a stream.
func (x *exchange) mayResume() bool {
	team := x.access.team
	return team == nil || x.route.GetAnonymous() || x.g.AcceptsKey(x.call.APIKey)
}

// release gives back what a request was counted that did not run.
func (x *exchange) release() {
	if x.access.cost > 0 && x.runs <= 0 {
		x.g.quotas.Refund(x.teamName(), x.access.cost, time.Now())
	}
}

// urgency is the rank of a request at its server: its team's, or else its route's.
func (x *exchange) urgency() int {
	rank := x.route.GetPriority()
	if t := x.access.team; t != nil && t.Priority != nil {
		rank = t.GetPriority()
	}
	return int(min(rank, 9))
}
