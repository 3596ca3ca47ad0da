package gateway

import (
	"net/http"
	"time"

	"fennelyard/internal/quota"
	"fennelyard/internal/schema"
)

// awaitGrant waits until the request is within its team's quota. It sends the response itself and returns false if it
// is not in time.
func (x *exchange) awaitGrant() bool {
	if !x.access.waits {
		return true
	}
	start := time.Now()
	timer := time.NewTimer(min(quota.MaxWait, time.Until(x.deadline)/2))
	defer timer.Stop()
	select {
	case <-x.access.admission.Granted():
	case <-timer.C:
	case <-x.r.Context().Done():
	case <-x.g.aborted.Done():
	}
	x.access.waits, x.access.waited = false, time.Since(start)
	switch {
	case x.g.quotas.Cancel(x.access.admission):
		return true
	case x.r.Context().Err() != nil:
		x.fail(OutcomeCallerGone, 0)
	case x.g.connected():
		x.refuse(http.StatusTooManyRequests, OutcomeOverQuota, quota.MaxWait)
	default:
		x.fail(OutcomeNoGrant, defaultRetryAfter)
	}
	return false
}

// refundQuota returns the cost of a request that did not run to the team's quota.
func (x *exchange) refundQuota() {
	if a := x.access.admission; a != nil && x.runs <= 0 {
		x.g.quotas.Cancel(a)
		x.g.quotas.Refund(a, time.Now())
	}
}

// addQuotas adds what the control host needs to know of the quotas to a report.
func (g *Gateway) addQuotas(report *schema.EntryNews, periodic bool) {
	now := time.Now()
	demands := g.quotas.Demands(now)
	if report.GetQuotas() == nil {
		if !periodic && len(demands) == 0 {
			return
		}
		report.Quotas = &schema.QuotaReport{}
	}
	report.Quotas.Demands, report.Quotas.Entries = demands, uint32(g.sharingEntries())
	report.Quotas.KnowsWindow = g.quotas.KnowsWindow(now)
}

// addQuotaGrants adds grants that the leader issued after a time, less the age of each grant.
func (g *Gateway) addQuotaGrants(grants []*schema.PermitGrant, after time.Time) {
	for _, grant := range grants {
		if grant.GetTeam() != "" {
			g.quotas.Grant(grant.GetTeam(), grant.GetAmount(), after.Add(-time.Duration(grant.GetAgeMs())*time.Millisecond), time.Now())
		}
	}
}

// quotaSource returns by what the request was admitted within its team's quota, for a log line.
func (x *exchange) quotaSource() string {
	if x.access.admission == nil {
		return ""
	}
	return x.g.quotas.Source(x.access.admission).String()
}

// rank returns the rank of this entry among all entries for a key, by rendezvous hashing, from 0.
func (g *Gateway) rank(key string) (rank int) {
	list := g.entries.Load()
	if list == nil {
		return 0
	}
	own := rendezvousHash(key, g.cfg.Self.GetHost())
	for _, e := range *list {
		if e.GetHost() != g.cfg.Self.GetHost() && rendezvousHash(key, e.GetHost()) > own {
			rank++
		}
	}
	return rank
}
