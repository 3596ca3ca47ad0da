package gateway

import (
	"slices"
	"time"

	"fennelyard/internal/incarnation"
)

const (
	// departureRetention is how long a stated departure is kept after its server has vanished from
	// the leader's updates: a new leader may send a server again that others know as ended.
	departureRetention = 2 * time.Minute
	// maxReportedDepartures bounds the departures in a report. The others follow once the leader
	// knows these.
	maxReportedDepartures = 64
)

// departure is the statement of a response that its server leaves.
type departure struct {
	// key is the incarnation to which the request was sent, at sentAt.
	key    string
	sentAt time.Time
	// knownAt is when the incarnation was last in the fleet.
	knownAt time.Time
}

// serverLeaves records the statement of the response to a request that was sent to a server at
// sentAt. The server gets no further requests of this entry, connected to the leader or not.
func (x *exchange) serverLeaves(s *server, sentAt time.Time) {
	if !x.g.fleet.recordDeparture(s, sentAt) {
		return
	}
	x.g.cfg.Log.Info("server states that it leaves", "server", s.id, "request", x.info.ID)
	x.g.reportNow()
}

// recordDeparture records a stated departure, and reports whether it is new.
func (f *fleet) recordDeparture(s *server, sentAt time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hasStatedDeparture(s.id) {
		return false
	}
	f.departures[s.server] = append(f.departures[s.server], departure{s.id, sentAt, time.Now()})
	s.leaving = true
	for id, other := range f.servers {
		if other.server == s.server {
			other.leaving = f.hasStatedDeparture(id)
		}
	}
	f.notifyChanged()
	return true
}

// hasStatedDeparture reports whether an incarnation may have stated that it leaves; the caller holds
// mu.
func (f *fleet) hasStatedDeparture(key string) bool {
	return slices.ContainsFunc(f.departures[incarnation.ServerOf(key)], func(d departure) bool {
		return incarnation.MayHaveReceived(key, d.key, d.sentAt)
	})
}

// expireDepartures removes the departures of servers that have vanished; the caller holds mu.
func (f *fleet) expireDepartures(now time.Time) {
	for server, departures := range f.departures {
		for i, d := range departures {
			if f.knowsReceiver(d) {
				departures[i].knownAt = now
			}
		}
		departures = slices.DeleteFunc(departures, func(d departure) bool { return now.Sub(d.knownAt) > departureRetention })
		if f.departures[server] = departures; len(departures) == 0 {
			delete(f.departures, server)
		}
	}
}

// knowsReceiver reports whether the fleet has an incarnation that may have stated a departure; the
// caller holds mu.
func (f *fleet) knowsReceiver(d departure) bool {
	if f.incarnations[incarnation.ServerOf(d.key)] == 0 {
		return false
	}
	for key := range f.servers {
		if incarnation.MayHaveReceived(key, d.key, d.sentAt) {
			return true
		}
	}
	return false
}

// departedCount returns the number of known servers that have stated that they leave.
func (f *fleet) departedCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.servers {
		if s.leaving {
			n++
		}
	}
	return n
}

// reportDepartures returns the servers that have stated that they leave and that the leader's
// updates show as ready.
func (f *fleet) reportDepartures() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, departures := range f.departures {
		for _, d := range departures {
			if s := f.servers[d.key]; s != nil && s.viewedReady() && len(out) < maxReportedDepartures {
				out = append(out, d.key)
			}
		}
	}
	return out
}
