package role

import (
	"time"

	"fennelyard/internal/ledger"
	"fennelyard/internal/quota"
	"fennelyard/internal/schema"
)

const (
	// reportedUseFraction is the fraction of a team's quota from which on its use is sent
	// to all entries; below it they admit every request.
	reportedUseFraction = 0.25
	// quotaLogInterval is how often the leader logs the use of quotas, for up to
	// maxLoggedQuotas teams.
	quotaLogInterval = time.Second
	maxLoggedQuotas  = 32
)

// reportsUse reports whether entries need to know a team's use.
func (c *Control) reportsUse(u *schema.TeamUse) bool {
	q := c.teamQuota(u.GetTeam())
	threshold := quota.Budget(q, c.quotaWindow()) * reportedUseFraction
	return quota.Limits(q) && (u.GetAdmitted() > threshold || u.GetRequested() > threshold/quota.DemandWindowDivisor)
}

func (c *Control) quotaWindow() time.Duration {
	return c.cfg.Settings.Get().GetQuotaWindow().AsDuration()
}

func (c *Control) teamQuota(team string) (q *schema.Quota) {
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { q = r.Team(team).GetQuota() })
	return q
}

// logQuotas logs the quota use of teams that have used much of theirs.
func (c *Control) logQuotas() {
	uses := c.quotas.Sum(time.Now(), c.reportsUse).GetUses()
	for _, u := range uses[:min(len(uses), maxLoggedQuotas)] {
		c.cfg.Log.Info("quota use", "team", u.GetTeam(), "admitted", int64(u.GetAdmitted()), "requested-lately", int64(u.GetRequested()),
			"budget", int64(quota.Budget(c.teamQuota(u.GetTeam()), c.quotaWindow())))
	}
}
