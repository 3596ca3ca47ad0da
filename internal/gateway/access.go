package gateway

import (
	"net/http"
	"time"

	"fennelyard/internal/quota"
	"fennelyard/internal/schema"
)

// maxConfirmationAge is the age of the last confirmation by the control group above which an
// entry counts as behind: it may lack a configuration that is in force elsewhere.
const maxConfirmationAge = 1500 * time.Millisecond

// access holds the permissions of a request by its API key.
type access struct {
	// team is nil if the request needs no key, as its route is anonymous or no teams are configured,
	// and carries no known one.
	team *schema.Team
	// cost is the amount counted against the team's quota, 0 for none, and admission what it is counted by.
	cost      float64
	admission *quota.Admission
	// waits is set while the request waits for a grant, and waited is how long it did.
	waits  bool
	waited time.Duration
}

// teamName returns the name of the caller's team, empty for none.
func (x *exchange) teamName() string { return x.access.team.GetName() }

// authorize finds the caller's team and counts the request against its quota. It sends the
// response itself and returns false if the request may not run.
func (x *exchange) authorize() bool {
	if !x.authenticate() {
		return false
	}
	team := x.access.team
	if team == nil || !quota.Limits(team.GetQuota()) {
		return true
	}
	now := time.Now()
	cost := quota.Cost(team.GetQuota(), float64(x.info.PromptTokens)+float64(x.info.OutputTokens), x.info.TokensDeclared)
	admission, verdict, retryAfter := x.g.quotas.Admit(team, cost, quota.Link{ConfirmedAt: x.g.subscriber.confirmedAt(), Entries: x.g.sharingEntries()}, now)
	switch verdict {
	case quota.VerdictOverQuota:
		x.refuse(http.StatusTooManyRequests, OutcomeOverQuota, retryAfter)
		return false
	case quota.VerdictNoGrant:
		x.fail(OutcomeNoGrant, defaultRetryAfter)
		return false
	}
	x.access.cost, x.access.admission, x.access.waits = cost, admission, verdict == quota.VerdictWaits
	return true
}

// authenticate finds the caller's team by its API key in the newest configuration. It sends the
// response itself and returns false if the key is not accepted.
func (x *exchange) authenticate() bool {
	// The age is taken before the configuration: otherwise a confirmation that arrives together
	// with the next configuration would count for the replaced one.
	age := x.g.subscriber.confirmationAge()
	teams := x.g.table.Load().teams
	if teams.Empty() {
		return true
	}
	x.access.team = teams.Find(x.info.APIKey)
	if x.route.GetAnonymous() {
		return true
	}
	if !x.g.acceptsConfirmationAge(age) {
		// The key may have been revoked since.
		x.fail(OutcomeUnconfirmed, defaultRetryAfter)
		return false
	}
	if x.access.team != nil {
		return true
	}
	if age > maxConfirmationAge {
		// The key may have been added since.
		x.fail(OutcomeUnconfirmed, defaultRetryAfter)
		return false
	}
	x.fail(OutcomeUnauthorized, 0)
	return false
}

// acceptsConfirmationAge reports whether keys of a configuration of this confirmation age are
// accepted.
func (g *Gateway) acceptsConfirmationAge(age time.Duration) bool {
	return g.cfg.KeyRevocation == 0 || age <= g.cfg.KeyRevocation
}

// AcceptsKey reports whether an API key belongs to a team by a configuration that is confirmed
// recently enough.
func (g *Gateway) AcceptsKey(key string) bool {
	// The age is taken before the configuration, as in authenticate.
	age := g.subscriber.confirmationAge()
	t := g.table.Load()
	return t != nil && g.acceptsConfirmationAge(age) && t.teams.Find(key) != nil
}

// keyAllowsResume reports whether the caller's key is still accepted for another attempt at a
// stream.
func (x *exchange) keyAllowsResume() bool {
	team := x.access.team
	return team == nil || x.route.GetAnonymous() || x.g.AcceptsKey(x.info.APIKey)
}

// priority returns the request's priority at its server: the one of its team, otherwise the one
// of its route.
func (x *exchange) priority() int {
	priority := x.route.GetPriority()
	if t := x.access.team; t != nil && t.Priority != nil {
		priority = t.GetPriority()
	}
	return int(min(priority, 9))
}
