package role

import (
	"time"

	"fennelyard/internal/schema"
)

// issuePermits grants the permits for servers with request limits that are due.
func (c *Control) issuePermits() {
	if status := c.group.Status(); status.CommittedInTerm {
		c.allocator.Issue(status.Term, status.ConfirmedAt, c.roster.LostEntryShare())
	}
}

// forwardPermits keeps the leader's permits for the entries that subscribe to this host. The
// leader granted them after it received the report that the update echoes, which bounds their
// age also if the update was delayed.
func (c *Control) forwardPermits(update *schema.LeaderNews) {
	echo := update.GetEchoUs()
	if echo == 0 {
		return
	}
	for _, grant := range update.GetPermits() {
		issuedAt := c.startedAt.Add(time.Duration(echo)*time.Microsecond - time.Duration(grant.GetAgeMs())*time.Millisecond)
		if grant.GetTeam() != "" {
			c.quotaStock.Grant(grant.GetTeam(), grant.GetAmount(), issuedAt, time.Now())
			continue
		}
		c.entryPermits.Add(grant.GetEntry(), grant, issuedAt)
	}
}
