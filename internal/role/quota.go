package role

import (
	"context"
	"time"

	"fennelyard/internal/asynclog"
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

// teamUses returns the use of quotas that entries need to know.
func (c *Control) teamUses(term uint64) *schema.TeamUses {
	uses := c.quotas.Sum(time.Now(), c.reportsUse)
	c.quotaAllocator.Decorate(term, uses)
	return uses
}

// issueQuotas grants what is available of the teams' quotas.
func (c *Control) issueQuotas() {
	if status := c.group.Status(); status.CommittedInTerm {
		c.quotaAllocator.Issue(status.Term, status.ConfirmedAt)
	}
}

// quotaHistory returns the recorded grants of teams' quotas.
func (c *Control) quotaHistory() (out []*schema.QuotaSlot) {
	c.group.Ledger().View(func(_ ledger.Status, r *ledger.Records) { out = r.QuotaHistory() })
	return out
}

// recordQuotas records what was granted of teams' quotas.
func (c *Control) recordQuotas() {
	term := c.group.Status().Term
	record := c.quotaAllocator.NextRecord(term)
	if record == nil {
		return
	}
	if err := c.commit(context.Background(), &schema.Command{Body: &schema.Command_RememberQuotaUse{RememberQuotaUse: record}}); err != nil {
		c.cfg.Log.Info("quota use not recorded", "teams", len(record.GetAmounts()), "error", asynclog.ErrorText(err))
		return
	}
	c.quotaAllocator.Recorded(term, record)
}

// grantHost sends a part of a team's quota to a control host's stream.
func (c *Control) grantHost(stream, team string, amount float64, now time.Time) {
	c.hostPermits.Add(stream, &schema.PermitGrant{Team: team, Amount: amount}, now)
}

// grantEntry sends a part of a team's quota to an entry that subscribes to this host.
func (c *Control) grantEntry(entry, team string, amount float64, issuedAt time.Time) {
	c.entryPermits.Add(entry, &schema.PermitGrant{Entry: entry, Team: team, Amount: amount}, issuedAt)
}

// hostCount returns the number of control hosts, and of those that vote.
func (c *Control) hostCount() (all, voters int) {
	for _, m := range c.group.Status().Membership.GetMembers() {
		all++
		if !m.GetLearner() {
			voters++
		}
	}
	return all, voters
}

// logQuotas logs the quota use of teams that have used much of theirs.
func (c *Control) logQuotas() {
	status := c.group.Status()
	uses, counted := c.teamUses(status.Term).GetUses(), c.quotaAllocator.Uses(status.Term)
	for _, u := range uses[:min(len(uses), maxLoggedQuotas)] {
		use := counted[u.GetTeam()]
		c.cfg.Log.Info("quota use", "team", u.GetTeam(), "admitted", int64(u.GetAdmitted()), "requested-lately", int64(u.GetRequested()),
			"budget", int64(quota.Budget(c.teamQuota(u.GetTeam()), c.quotaWindow())), "counted", int64(use.Used), "unknown", int64(use.Unknown),
			"available", int64(use.Available), "credit", int64(use.Credit))
	}
}
