package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// chanceOverloads is how often a second a server's rejection limit may be exceeded by chance by entries
	// whose share of its capacity is less than one request: they send at random times.
	chanceOverloads = 0.005
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
// the pool: the others state the same, and one that starts again has stated nothing yet. A misdirected
// request may have reached a server of another pool, which knows of no limit here.
func (x *exchange) rejectionLimitStated(s *server, responseInfo ResponseInfo) {
	stated := responseInfo.RejectionLimit
	switch {
	case stated.Unreadable:
		x.g.cfg.Log.Info("rejection limit not read", "server", s.id, "request", x.info.ID)
	case stated.Limited && x.g.fleet.rejectionLimits.Observe(x.pool, stated.PerSecond, time.Now()):
		x.g.reportNow()
		x.g.cfg.Log.Info("servers state a rejection limit", "pool", x.pool, "server", s.id, "per-second", stated.PerSecond, "request", x.info.ID)
	case !stated.Limited && responseInfo.Signed && !responseInfo.Misdirected && x.g.fleet.rejectionLimits.ObserveNone(x.pool, time.Now()):
		x.g.cfg.Log.Info("servers state no rejection limit", "pool", x.pool, "server", s.id, "request", x.info.ID)
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

// room is the part of a server's capacity that an entry has.
type room struct {
	// limited is set if the server has a rejection limit; all else holds only then. runTime is the time
	// of a request.
	limited bool
	runTime time.Duration
	// whole is the number of requests that the entry may have there at a time. If it is 0, it may have
	// one, and interval is the mean time between two of them.
	whole    int
	interval time.Duration
}

// perSecond returns the number of requests a second that have room.
func (r room) perSecond() float64 {
	if r.whole > 0 {
		return float64(r.whole) / r.runTime.Seconds()
	}
	return 1 / r.interval.Seconds()
}

// roomAt returns this entry's room at the servers of a pool with a number of slots, for requests like
// one. All entries together send a server with a rejection limit no more requests at a time than it
// runs, so that none is rejected. The caller holds mu.
func (f *fleet) roomAt(pool string, slots int, info *RequestInfo, now time.Time) room {
	limit, limited := f.rejectionLimits.Limit(pool, now)
	if !limited {
		return room{}
	}
	capacity, entries := f.capacity(pool, slots, info), float64(max(f.sharingEntries(), 1))
	r := room{limited: true, runTime: f.meanRunTime(pool), whole: int(capacity / entries)}
	if r.whole == 0 {
		running := usableLoad(capacity, max(limit, 1), r.runTime.Seconds())
		r.interval = time.Duration(float64(r.runTime) * entries / running)
	}
	return r
}

// roomIn returns how long this entry has to wait until it may send another request to a server where it
// has some room; 0: it may send one now. The caller holds mu.
func (s *server) roomIn(r room, now time.Time) time.Duration {
	if !r.limited {
		return 0
	}
	if wait := s.rejectedUntil.Sub(now); wait > 0 {
		return wait
	}
	present := s.present(now)
	if r.whole > 0 {
		if present < r.whole {
			return 0
		}
		return r.runTime / time.Duration(r.whole)
	}
	if s.nextTurn.IsZero() {
		// All entries would send their first request to a server at the same time.
		s.nextTurn = now.Add(time.Duration(float64(r.interval) * rand.Float64()))
	}
	if present > 0 {
		return r.runTime
	}
	return max(s.nextTurn.Sub(now), 0)
}

// takeTurn records that a request is about to be sent to a server; the caller holds mu.
func (s *server) takeTurn(r room, now time.Time) {
	if r.limited && r.whole == 0 {
		s.nextTurn = now.Add(time.Duration(float64(r.interval) * (0.5 + rand.Float64())))
	}
}

// usableLoad returns the highest mean number of requests at a server at which requests that arrive at
// random exceed its rejection limit chanceOverloads times a second. runSeconds is the time of a request.
func usableLoad(capacity, limit, runSeconds float64) float64 {
	low, high := 0.0, max(capacity, 1)
	for range usableLoadSteps {
		if load := (low + high) / 2; overloadsPerSecond(load, max(capacity, 1), limit, runSeconds) > chanceOverloads {
			high = load
		} else {
			low = load
		}
	}
	return max(low, minUsableLoad)
}

// overloadsPerSecond returns an upper bound of how often a second more than limit requests are rejected
// within one second. Rejections come together: until one of a full server's requests ends, whatever
// arrives is rejected as well.
func overloadsPerSecond(load, capacity, limit, runSeconds float64) float64 {
	rejections := load / runSeconds * blockingProbability(load, int(capacity))
	whileFull := load / capacity
	return rejections * math.Pow(min(rejections+whileFull, 1), math.Floor(limit))
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

// capacity returns the number of requests like one that a pool's server with some slots runs at a time;
// the caller holds mu.
func (f *fleet) capacity(pool string, slots int, info *RequestInfo) float64 {
	capacity := float64(max(slots, 1))
	if cache := f.cacheTokens[pool]; cache > 0 && info.Model != "" {
		tokens := max(f.poolStats(pool).meanTokens, float64(info.PromptTokens)) + float64(info.OutputTokens)
		capacity = min(capacity, cache/max(tokens, 1))
	}
	return capacity
}

// meanRunTime returns how long a pool's servers have a request; the caller holds mu.
func (f *fleet) meanRunTime(pool string) time.Duration {
	if ms := f.poolStats(pool).servedMs; ms > 0 {
		return time.Duration(ms * float64(time.Millisecond))
	}
	return defaultRunTime
}

// withRoom removes the servers of a pool to which this entry may send no request now, and returns the
// time until it may send one to any of them; 0: none was removed. perSecond is the number of requests
// that have room at all of them. The caller holds mu.
func (f *fleet) withRoom(candidates []*server, pool string, info *RequestInfo, now time.Time) (available []*server, first time.Duration, perSecond float64) {
	if _, limited := f.rejectionLimits.Limit(pool, now); !limited {
		return candidates, 0, 0
	}
	rooms := map[int]room{}
	for _, s := range candidates {
		slots := int(s.view.GetSlots())
		if !rooms[slots].limited {
			rooms[slots] = f.roomAt(pool, slots, info, now)
		}
		perSecond += rooms[slots].perSecond()
		wait := s.roomIn(rooms[slots], now)
		if wait == 0 {
			available = append(available, s)
		} else if first == 0 || wait < first {
			first = wait
		}
	}
	return available, first, perSecond
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
// entry.
func (f *fleet) roomWaitTime(pool string, c choice) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.roomPerSecond == 0 {
		return c.room
	}
	return c.room + time.Duration(float64(f.roomWaiting[pool])/c.roomPerSecond*float64(time.Second))
}
