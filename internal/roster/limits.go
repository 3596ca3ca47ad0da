package roster

import (
	"maps"
	"time"

	"fennelyard/internal/ratelimit"
	"fennelyard/internal/schema"
)

// ApplyLimits applies reports of servers' request limits. Reports of unknown servers are ignored.
func (r *Roster) ApplyLimits(reports []*schema.ServerLimit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range reports {
		s := r.servers[report.GetServer()]
		if s == nil || s.view.GetState() == schema.RosterState_ROSTER_STATE_GONE {
			continue
		}
		limit, changed := ratelimit.Apply(s.view.GetLimit(), report)
		if !changed {
			continue
		}
		r.cfg.Log.Info("server limit", "server", report.GetServer(), "limited", limit.GetLimited(), "per-second", limit.GetPerSecond(),
			"revision", limit.GetRevision(), "before", s.view.GetLimit().GetPerSecond(), "observed", report.GetObserved())
		view := withState(s.view, s.view.GetState())
		view.Limit = limit
		r.setView(s, view)
	}
}

// Limits returns the request limits of all servers that state one, by server. The caller must not
// modify it.
func (r *Roster) Limits() map[string]*schema.RequestLimit {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits
}

// setLimit keeps limits up to date with a server's view. The map is replaced, as callers of Limits
// have it. The caller holds mu.
func (r *Roster) setLimit(v *schema.RosterServer) {
	limit := v.GetLimit()
	if !limit.GetLimited() || v.GetState() == schema.RosterState_ROSTER_STATE_GONE {
		limit = nil
	}
	if r.limits[v.GetId()] == limit {
		return
	}
	limits := maps.Clone(r.limits)
	if delete(limits, v.GetId()); limit != nil {
		limits[v.GetId()] = limit
	}
	r.limits = limits
}

// mergeLimit returns a leader's view of a server with the newer of its limit and the one known
// from an earlier leader, which is then queued for the leader's next report. The caller holds mu.
func (m *Mirror) mergeLimit(old *mirroredServer, v *schema.RosterServer) *schema.RosterServer {
	if old == nil || !old.goneSince.IsZero() || v.GetState() == schema.RosterState_ROSTER_STATE_GONE {
		return v
	}
	limit := ratelimit.Newer(v.GetLimit(), old.view.GetLimit())
	if limit == v.GetLimit() {
		return v
	}
	m.newerLimits[v.GetId()] = &schema.ServerLimit{Server: v.GetId(), Limit: limit}
	merged := withState(v, v.GetState())
	merged.Limit = limit
	return merged
}

// TakeNewerLimits returns, once, the limits that the leader lacks and its predecessor had.
func (m *Mirror) TakeNewerLimits() []*schema.ServerLimit {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*schema.ServerLimit
	for _, l := range m.newerLimits {
		out = append(out, l)
	}
	clear(m.newerLimits)
	return out
}

// PermitQueues returns the queues for permits as the leader last sent them, less the time passed
// since.
func (m *Mirror) PermitQueues() *schema.PermitQueues {
	m.mu.Lock()
	defer m.mu.Unlock()
	passed := uint32(m.cfg.Now().Sub(m.permitQueuesAt).Milliseconds())
	out := &schema.PermitQueues{}
	for _, q := range m.permitQueues.GetQueues() {
		out.Queues = append(out.Queues, &schema.PermitQueue{Server: q.GetServer(), Waiting: q.GetWaiting(), NextInMs: q.GetNextInMs() - min(passed, q.GetNextInMs())})
	}
	return out
}

// lostEntryRetention is how long an entry that has vanished without notice counts as cut off: it
// may still send requests to servers with limits. Most such entries have ended or return sooner.
const lostEntryRetention = time.Minute

// trackLostEntries records which entries have vanished without a graceful stop; the caller holds
// mu.
func (r *Roster) trackLostEntries() {
	now, current := r.cfg.Now(), r.subscribedEntries()
	for host, e := range r.knownEntries {
		if current[host] == nil && !e.GetStopping() {
			r.lostEntries[host] = now
		}
	}
	for host, at := range r.lostEntries {
		if current[host] != nil || now.Sub(at) > lostEntryRetention {
			delete(r.lostEntries, host)
		}
	}
	r.knownEntries = current
}

// LostEntryShare returns the share of all entries that have vanished without a graceful stop.
func (r *Roster) LostEntryShare() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := float64(len(r.lostEntries))
	if lost == 0 {
		return 0
	}
	return lost / (lost + float64(len(r.knownEntries)))
}
