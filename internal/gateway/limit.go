package gateway

import (
	"math/rand/v2"
	"time"

	"fennelyard/internal/ratelimit"
	"fennelyard/internal/schema"
)

// limitStated applies the limit that a response states, where stamp is what was known when the
// request was sent. Only a response of the service itself may end a limit: another one may come
// from something in between that knows of none.
func (x *exchange) limitStated(s *server, responseInfo ResponseInfo, stamp ratelimit.Stamp) {
	stated := responseInfo.Limit
	x.statedLimit = stated
	if stated.Unreadable {
		x.g.cfg.Log.Info("server limit not read", "server", s.id, "request", x.info.ID)
		return
	}
	mayEnd := responseInfo.Signed && !responseInfo.NotRun && !responseInfo.Misdirected
	if !x.g.fleet.observeLimit(s, stamp, stated, mayEnd) {
		return
	}
	x.g.cfg.Log.Info("server states a limit", "server", s.id, "per-second", stated.String(), "request", x.info.ID)
	x.g.reportNow()
}

// permitSource describes where permits come from; the caller holds mu.
func (f *fleet) permitSource() ratelimit.Source {
	return ratelimit.Source{Connected: f.connected(), Entries: f.sharingEntries(), Random: rand.Float64}
}

// observeLimit applies the limit that a server stated, and reports whether the limit to keep has
// changed.
func (f *fleet) observeLimit(s *server, stamp ratelimit.Stamp, stated LimitStatement, mayEnd bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := s.permits.Observe(stamp, stated.Limited, stated.PerSecond, mayEnd, time.Now())
	if changed {
		f.trackLimit(s)
		f.notifyChanged()
	}
	return changed
}

// trackLimit keeps the set of servers that have stated a limit; the caller holds mu. A server that
// was removed while a request ran there is not added again.
func (f *fleet) trackLimit(s *server) {
	if s.permits.Stated() && f.servers[s.id] == s {
		f.limited[s.id] = s
	}
}

// admit takes what a request that is about to be sent to a server needs: room, a permit, and its place
// after a cooldown. It returns what is known of the server's limit, and false if the request may not be
// sent there now. After true, requestSent or requestResumed must follow.
func (f *fleet) admit(s *server, info *RequestInfo) (ratelimit.Stamp, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	r := f.roomAt(s.view.GetPool(), int(s.view.GetSlots()), info, now)
	ok := f.takesRequests(s) && s.roomIn(r, now) == 0 && f.cooldowns.AvailableIn(s.id, now) == 0 &&
		s.permits.Take(f.permitSource(), now) && f.cooldowns.Admit(s.id, now)
	if ok {
		s.reserved++
		s.takeTurn(r, now)
	}
	return s.permits.Stamp(), ok
}

// permitMissed records that a request would have been sent to a server with a permit.
func (f *fleet) permitMissed(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.permits.Missed(time.Now())
}

// addPermits adds permits that the leader granted after a time, less the age of each grant.
func (f *fleet) addPermits(grants []*schema.PermitGrant, after time.Time) {
	if len(grants) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, grant := range grants {
		if s := f.servers[grant.GetServer()]; s != nil {
			s.permits.Grant(int(grant.GetCount()), after.Add(-time.Duration(grant.GetAgeMs())*time.Millisecond), time.Now())
		}
	}
	f.notifyChanged()
}

// reportLimits returns what the leader may not know of the servers' limits, and the demand for
// permits.
func (f *fleet) reportLimits(now time.Time) (limits []*schema.ServerLimit, demands []*schema.PermitDemand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, s := range f.limited {
		if l := s.permits.Report(id, now); l != nil {
			limits = append(limits, l)
		}
		if d := s.permits.Demand(id, now); d != nil {
			demands = append(demands, d)
		}
	}
	return limits, demands
}

// limitCounts returns the number of servers with a limit, and of requests that wait for permits.
func (f *fleet) limitCounts() (limited, waiting int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, s := range f.limited {
		if s.permits.Limit(now) != nil {
			limited++
		}
		waiting += s.permits.Waiting()
	}
	return limited, waiting
}

// addPermitWaiting adds n requests that wait for a permit, and returns how many wait then; n is
// negative when they stop waiting.
func (f *fleet) addPermitWaiting(s *server, n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.permits.AddWaiting(n)
	return s.permits.Waiting()
}

// permitWaitTime estimates how long a waiting request still waits for a permit.
func (f *fleet) permitWaitTime(s *server, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.permits.WaitTime(f.permitSource(), now)
}

// setPermitQueues sets the queues for permits over all entries; servers that are not listed have
// permits left.
func (f *fleet) setPermitQueues(queues []*schema.PermitQueue) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, s := range f.limited {
		s.permits.SetQueue(nil, now)
	}
	for _, q := range queues {
		if s := f.limited[q.GetServer()]; s != nil {
			s.permits.SetQueue(q, now)
		}
	}
}

// requestPermit adds a request that waits for a permit. As for models, only the first one is
// reported without delay.
func (x *exchange) requestPermit(s *server) {
	if x.g.fleet.addPermitWaiting(s, 1) == 1 {
		x.g.reportNow()
	} else {
		x.g.demand.reportSoon()
	}
}
