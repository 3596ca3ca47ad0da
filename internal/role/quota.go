package role

import (
	"time"

	"fennelyard/internal/ledger"
	"fennelyard/internal/quota"
	"fennelyard/internal/schema"
)

const (
	// reportedUse is the part of a team's quota from which on its use is sent to all entries:
	// below it they admit all that is asked for.
	reportedUse = 0.25
	// quotasLogged is how often the leader logs the use of quotas, and quotasMost for how many
	// teams.
	quotasLogged = time.Second
	quotasMost   = 32
)

// usesMuch reports whether entries need to know a team's use.
func (c *Control) usesMuch(u *schema.TeamUse) bool {
	q := c.quotaOf(u.GetTeam())
	part := quota.Budget(q, c.quotaWindow()) * reportedUse
	return quota.Limits(q) && (u.GetAdmitted() > part || u.GetRequested() > part/quota.DemandWindowDivisor)
}

func (c *Control) quotaWindow() time.Duration {
	return c.cfg.Settings.Get().GetQuotaWindow().AsDuration()
}

func (c *Control) quotaOf(team string) (q *schema.Quota) {
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { q = r.Team(team).GetQuota() })
	return q
}

// logQuotas logs how far the quotas of teams are used that use much of theirs.
func (c *Control) logQuotas() {
	uses := c.quotas.Sum(time.Now(), c.usesMuch).GetUses()
	for _, u := range uses[:min(len(uses), quotasMost)] {
		c.cfg.Log.Info("quota use", "team", u.GetTeam(), "admitted", int64(u.GetAdmitted()), "requested-lately", int64(u.GetRequested()),
			"budget", int64(quota.Budget(c.quotaOf(u.GetTeam()), c.quotaWindow())))
	}
}
