package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// chanceRejections is the part of a rejection limit that entries may use by chance whose share of a
	// server's capacity is less than one request: they send at random times, and a limit of one is
	// exceeded by two within a second.
	chanceRejections = 0.1
	// usableLoadSteps halve the interval in which the usable load lies, and minUsableLoad is the least
	// one: entries that send nothing would never learn that a limit has ended.
	usableLoadSteps = 16
	minUsableLoad   = 0.05
	// defaultRunTime is the time of a request before any has ended.
	defaultRunTime = 100 * time.Millisecond
	// minRejectionPause is how long an entry sends nothing to a server with a rejection limit that has
	// rejected a request: the time over which servers count.
	minRejectionPause = time.Second
)

// rejectionLimitStated applies the rejection limit that a response states. It holds for all servers of
// the pool: the others state the same, and one that starts again has stated nothing yet.
func (x *exchange) rejectionLimitStated(s *server, responseInfo ResponseInfo) {
	stated := responseInfo.RejectionLimit
	switch {
	case stated.Unreadable:
		x.g.cfg.Log.Info("rejection limit not read", "server", s.id, "request", x.info.ID)
	case stated.Limited && x.g.fleet.rejectionLimits.Observe(x.pool, stated.PerSecond, time.Now()):
		x.g.reportNow()
		x.g.cfg.Log.Info("servers state a rejection limit", "pool", x.pool, "server", s.id, "per-second", stated.PerSecond, "request", x.info.ID)
	}
}

// rejectedForRoom records that a server has rejected a request. If it has a rejection limit, this entry
// sends it nothing for so long that all entries together keep the limit.
func (f *fleet) rejectedForRoom(s *server, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit, limited := f.rejectionLimits.Limit(s.view.GetPool(), now)
	if !limited {
		return
	}
	perEntry := max(limit, 1) / float64(max(f.sharingEntries(), 1))
	pause := max(minRejectionPause, time.Duration(float64(time.Second)/perEntry))
	s.rejectedUntil = now.Add(pause + time.Duration(rand.Float64()*float64(minRejectionPause)))
}

// roomIn returns how long this entry has to wait until it may send another request to a server; 0: it
// may send one now. It waits only at servers with a rejection limit: all entries together send them no
// more requests at a time than they run, so that none is rejected. The caller holds mu.
func (f *fleet) roomIn(s *server, info *RequestInfo, now time.Time) time.Duration {
	pool := s.view.GetPool()
	if _, limited := f.rejectionLimits.Limit(pool, now); !limited {
		return 0
	}
	if wait := s.rejectedUntil.Sub(now); wait > 0 {
		return wait
	}
	share, runTime := f.capacityShare(s, info), f.meanRunTime(pool)
	present := s.present(now)
	if whole := math.Floor(share); whole >= 1 {
		if float64(present) < whole {
			return 0
		}
		return time.Duration(float64(runTime) / whole)
	}
	if s.nextTurn.IsZero() {
		// All entries would send their first request to a server at the same time.
		s.nextTurn = now.Add(time.Duration(float64(f.turnInterval(s, info, now)) * rand.Float64()))
	}
	if present > 0 {
		return runTime
	}
	return max(s.nextTurn.Sub(now), 0)
}

// turnInterval returns the mean time between the requests of an entry whose share of a server's capacity
// is less than one request; the caller holds mu.
func (f *fleet) turnInterval(s *server, info *RequestInfo, now time.Time) time.Duration {
	pool := s.view.GetPool()
	limit, _ := f.rejectionLimits.Limit(pool, now)
	runTime, entries := f.meanRunTime(pool), float64(max(f.sharingEntries(), 1))
	running := usableLoad(f.capacityShare(s, info)*entries, chanceRejections*max(limit, 1)*runTime.Seconds())
	return time.Duration(float64(runTime) * entries / running)
}

// usableLoad returns the mean number of requests at a server with some capacity at which requests that
// arrive at random find it full at most rejections times in the time of a request.
func usableLoad(capacity, rejections float64) float64 {
	low, high := 0.0, max(capacity, 1)
	for range usableLoadSteps {
		if load := (low + high) / 2; load*blockingProbability(load, int(max(capacity, 1))) > rejections {
			high = load
		} else {
			low = load
		}
	}
	return max(low, minUsableLoad)
}

// blockingProbability returns the probability that a request which arrives at random finds all slots of
// a server taken that has load requests on average (Erlang's B formula).
func blockingProbability(load float64, slots int) float64 {
	p := 1.0
	for k := 1; k <= slots; k++ {
		p = load * p / (float64(k) + load*p)
	}
	return p
}

// present returns the number of this entry's requests that a server may have; the caller holds mu.
func (s *server) present(now time.Time) int {
	s.abandoned = slices.DeleteFunc(s.abandoned, func(until time.Time) bool { return !now.Before(until) })
	return s.running + s.reserved + len(s.abandoned)
}

// inheritPresent counts the requests that were sent to an earlier incarnation of a server: the present
// one may have received them, as it was not known yet. The caller holds mu.
func (f *fleet) inheritPresent(s, earlier *server, now time.Time) {
	pool := s.view.GetPool()
	if _, limited := f.rejectionLimits.Limit(pool, now); !limited {
		return
	}
	s.nextTurn, s.rejectedUntil = earlier.nextTurn, earlier.rejectedUntil
	for range earlier.present(now) {
		s.abandoned = append(s.abandoned, now.Add(f.meanRunTime(pool)))
	}
}

// requestAbandoned records that this entry no longer waits for a request that a server may still run:
// its place is taken until the server has noticed.
func (f *fleet) requestAbandoned(s *server, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pool := s.view.GetPool()
	if _, limited := f.rejectionLimits.Limit(pool, now); limited {
		s.abandoned = append(s.abandoned, now.Add(f.meanRunTime(pool)))
	}
}

// takeTurn records that a request is about to be sent to a server of whose capacity this entry's share
// may be less than one request; the caller holds mu.
func (f *fleet) takeTurn(s *server, info *RequestInfo, now time.Time) {
	pool := s.view.GetPool()
	if _, limited := f.rejectionLimits.Limit(pool, now); !limited {
		return
	}
	if share := f.capacityShare(s, info); share < 1 {
		s.nextTurn = now.Add(time.Duration(float64(f.turnInterval(s, info, now)) * (0.5 + rand.Float64())))
	}
}

// capacityShare returns this entry's equal share of the requests like one that a server runs at a time;
// the caller holds mu.
func (f *fleet) capacityShare(s *server, info *RequestInfo) float64 {
	capacity := float64(max(s.view.GetSlots(), 1))
	if cache := f.cacheTokens[s.view.GetPool()]; cache > 0 && info.Model != "" {
		tokens := max(f.poolStats(s.view.GetPool()).meanTokens, float64(info.PromptTokens)) + float64(info.OutputTokens)
		capacity = min(capacity, cache/max(tokens, 1))
	}
	return capacity / float64(max(f.sharingEntries(), 1))
}

// meanRunTime returns how long a pool's servers have a request; the caller holds mu.
func (f *fleet) meanRunTime(pool string) time.Duration {
	if ms := f.poolStats(pool).servedMs; ms > 0 {
		return time.Duration(ms * float64(time.Millisecond))
	}
	return defaultRunTime
}

// withRoom removes the servers to which this entry may send no request now, and returns the time until
// it may send one to any of them; 0: none was removed. The caller holds mu.
func (f *fleet) withRoom(candidates []*server, info *RequestInfo, now time.Time) (available []*server, first time.Duration) {
	for _, s := range candidates {
		wait := f.roomIn(s, info, now)
		if wait == 0 {
			available = append(available, s)
		} else if first == 0 || wait < first {
			first = wait
		}
	}
	return available, first
}

// addRoomWaiting adds n requests that wait for room at a pool's servers; n is negative when they stop
// waiting.
func (f *fleet) addRoomWaiting(pool string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.roomWaiting[pool] += n; f.roomWaiting[pool] <= 0 {
		delete(f.roomWaiting, pool)
	}
}

// roomWaitTime estimates how long a waiting request still waits for room, with all that wait at this
// entry, where first is the time until any server has room.
func (f *fleet) roomWaitTime(pool string, info *RequestInfo, first time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	perSecond, now := 0.0, time.Now()
	for _, s := range f.servers {
		if s.view.GetPool() != pool || !s.ready() || info.Model != "" && !s.hasModel(info.Model, info.Adapter, now) {
			continue
		}
		if share := f.capacityShare(s, info); share < 1 {
			perSecond += 1 / f.turnInterval(s, info, now).Seconds()
		} else {
			perSecond += math.Floor(share) / f.meanRunTime(pool).Seconds()
		}
	}
	if perSecond == 0 {
		return first
	}
	return first + time.Duration(float64(f.roomWaiting[pool])/perSecond*float64(time.Second))
}
