package subscription

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

// limitKey identifies equal reports of a server's request limit.
type limitKey struct {
	server    string
	limited   bool
	perSecond float64
	revision  uint64
	observed  bool
}

// addLimits adds servers' request limits to the next report to the leader; mu is held. The first
// report of a limit is sent at once.
func (r *Registry) addLimits(limits []*schema.ServerLimit) {
	for _, l := range limits {
		key := limitKey{l.GetServer(), l.GetLimit().GetLimited(), l.GetLimit().GetPerSecond(), l.GetLimit().GetRevision(), l.GetObserved()}
		if r.limits[key] == nil {
			r.limits[key] = l
			r.RequestReport()
		}
	}
}

// takeLimits returns the limits that were reported since the last report to the leader; mu is
// held.
func (r *Registry) takeLimits() []*schema.ServerLimit {
	var out []*schema.ServerLimit
	for _, l := range r.limits {
		out = append(out, l)
	}
	clear(r.limits)
	return out
}

// setPermitDemands replaces an entry's demands for permits. Newly waiting requests are reported
// to the leader at once. mu is held.
func (r *Registry) setPermitDemands(s *subscription, demands []*schema.PermitDemand) {
	if slices.EqualFunc(s.permitDemands, demands, func(a, b *schema.PermitDemand) bool { return proto.Equal(a, b) }) {
		return
	}
	if totalWaiting(demands) > totalWaiting(s.permitDemands) {
		r.RequestReport()
	}
	s.permitDemands = demands
	r.changedPermitDemands[s.entry.GetHost()] = true
}

func totalWaiting(demands []*schema.PermitDemand) (n uint32) {
	for _, d := range demands {
		n += d.GetWaiting()
	}
	return n
}

// takePermitDemands returns the permit demands of the entries whose demands have changed since
// the last report to the leader; mu is held.
func (r *Registry) takePermitDemands() []*schema.EntryPermitDemands {
	var out []*schema.EntryPermitDemands
	for host := range r.changedPermitDemands {
		demands := &schema.EntryPermitDemands{Entry: host}
		if s := r.subscriptions[host]; s != nil {
			demands.Demands = s.permitDemands
		}
		out = append(out, demands)
	}
	clear(r.changedPermitDemands)
	return out
}
