package gateway

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"fennelyard/internal/cooldown"
	"fennelyard/internal/incarnation"
	"fennelyard/internal/ratelimit"
	"fennelyard/internal/schema"
)

// fleet is the set of backend servers that this entry knows. It is safe for concurrent use.
type fleet struct {
	mu      sync.Mutex
	servers map[string]*server
	// incarnations counts the incarnations in servers by server id, and addresses holds their keys by
	// address.
	incarnations map[string]int
	addresses    map[string]map[string]bool
	changed      chan struct{}
	// entries is the number of entries, and sendRates the rate of this entry's requests by model.
	entries   int
	sendRates map[string]*arrivalRate
	// connected reports whether this entry receives the leader's updates, and sharingEntries returns
	// the number of entries that divide the limits for all of them together.
	connected func() bool
	// confirmedAt returns when this entry was last confirmed by the control group.
	confirmedAt func() time.Time
	// limited holds the servers that have stated a limit, by incarnation: of thousands of servers,
	// only these are looked at for each report.
	limited map[string]*server
	// self identifies this entry, and maxConnections is the number of connections that each server
	// of a pool takes from all entries together.
	self           string
	maxConnections map[string]float64
	sharingEntries func() int
	// rejectionLimits are those that the servers of pools state, cacheTokens the tokens that each engine
	// of a pool holds, and roomWaiting the number of this entry's requests that wait for room at a pool.
	rejectionLimits *ratelimit.RejectionLimits
	cacheTokens     map[string]float64
	roomWaiting     map[string]int
	// cooldowns are the times for which servers have asked this entry to send them nothing.
	cooldowns *cooldown.Table
	// departures are the statements of servers that they leave, by server id. They outlive the
	// servers in the fleet, as a new leader may send one again.
	departures map[string][]departure
	// endedUntil holds until when servers stay ejected that other entries have found to have ended, by
	// incarnation; also those that are not in servers yet.
	endedUntil map[string]time.Time
	// versions are the versions of the servers' software in use, by pool.
	versions map[string]map[string]*versionUse
	// onSecondVersion is called when a pool gets a second version; it must not block.
	onSecondVersion func(pool string)
	// stats holds the observed statistics of the engines and prompts of each pool.
	stats map[string]*poolStats
}

func newFleet() *fleet {
	f := &fleet{
		servers: map[string]*server{}, incarnations: map[string]int{}, addresses: map[string]map[string]bool{}, changed: make(chan struct{}), stats: map[string]*poolStats{},
		sendRates: map[string]*arrivalRate{}, connected: func() bool { return true }, confirmedAt: time.Now, sharingEntries: func() int { return 1 },
		maxConnections: map[string]float64{}, limited: map[string]*server{}, departures: map[string][]departure{}, endedUntil: map[string]time.Time{},
		rejectionLimits: ratelimit.NewRejectionLimits(), cacheTokens: map[string]float64{}, roomWaiting: map[string]int{},
		versions: map[string]map[string]*versionUse{}, onSecondVersion: func(string) {},
	}
	f.cooldowns = cooldown.NewTable(cooldown.Config{Hosts: func() int { return f.sharingEntries() }, Random: rand.Float64})
	return f
}

// poolStats returns the statistics of a pool; the caller holds mu.
func (f *fleet) poolStats(pool string) *poolStats {
	stats := f.stats[pool]
	if stats == nil {
		stats = newPoolStats()
		f.stats[pool] = stats
	}
	return stats
}

// setGaps sets the minGap of each pool by the configuration.
func (f *fleet) setGaps(t *routeTable) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range t.pools {
		f.poolStats(name).minGap = t.minGaps[name]
	}
}

// observeFirstEvent records the time to the first event of a request with this many tokens of
// pending prefill, its own included.
func (f *fleet) observeFirstEvent(pool string, tokens int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poolStats(pool).observeFirstEvent(tokens, took)
}

// prefillRate returns the estimated prefill rate of a pool's engines in tokens per millisecond,
// and whether some engines are reserved for long prompts.
func (f *fleet) prefillRate(pool string) (rate int, separated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stats := f.poolStats(pool)
	return int(stats.prefillRate()), stats.separatesLongPrompts()
}

// prefillTime returns the time that a pool's engines need for the prefill of this many tokens.
func (f *fleet) prefillTime(pool string, tokens int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.poolStats(pool).prefillTime(tokens)
}

// update applies the servers of a leader's update. With prune, known holds every server that
// the leader knows, and all others are removed. It returns the servers that take no new work any more.
func (f *fleet) update(views []*schema.RosterServer, prune bool, known map[string]bool) (departed []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range views {
		old := f.servers[v.GetId()]
		if old != nil && old.ready() && v.GetState() != schema.RosterState_ROSTER_STATE_READY {
			departed = append(departed, v.GetId())
		}
		switch {
		case v.GetState() == schema.RosterState_ROSTER_STATE_GONE:
			f.removeEnded(v.GetId())
		case old == nil:
			f.add(newServer(v))
		case !old.ready() && v.GetState() == schema.RosterState_ROSTER_STATE_READY:
			// A server that is leaving never becomes ready again; a new leader may not know that it is
			// leaving.
		default:
			old.update(v)
			f.trackLimit(old)
		}
	}
	if prune {
		for id := range f.servers {
			if !known[id] {
				f.remove(id)
			}
		}
	}
	now := time.Now()
	if prune || len(views) > 0 {
		f.noteVersions(now)
	}
	f.expireDepartures(now)
	maps.DeleteFunc(f.endedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	f.notifyChanged()
	return departed
}

// add adds a server and removes its earlier incarnations: their models and caches are gone, and
// a leader without a record of them does not report their end. The caller holds mu.
func (f *fleet) add(s *server) {
	if f.incarnations[s.server] > 0 {
		startMs := incarnation.Parse(s.id).StartMs
		for id, old := range f.servers {
			if old.server == s.server && incarnation.Parse(id).StartMs < startMs {
				f.inheritPresent(s, old, time.Now())
				f.remove(id)
			}
		}
	}
	f.servers[s.id] = s
	s.leaving = f.hasStatedDeparture(s.id)
	s.ejectedUntil = f.endedUntil[s.id]
	f.trackLimit(s)
	f.incarnations[s.server]++
	if f.addresses[s.address] == nil {
		f.addresses[s.address] = map[string]bool{}
	}
	f.addresses[s.address][s.id] = true
}

// remove removes an incarnation; the caller holds mu.
func (f *fleet) remove(id string) {
	s := f.servers[id]
	if s == nil {
		return
	}
	delete(f.servers, id)
	delete(f.limited, id)
	if f.incarnations[s.server]--; f.incarnations[s.server] == 0 {
		delete(f.incarnations, s.server)
	}
	if delete(f.addresses[s.address], id); len(f.addresses[s.address]) == 0 {
		delete(f.addresses, s.address)
	}
}

// removeEnded removes an incarnation, or all incarnations of a server if the key is a server id
// alone: a leader that knows none of its incarnations forwards that the server has ended. The
// caller holds mu.
func (f *fleet) removeEnded(key string) {
	f.remove(key)
	name := incarnation.Parse(key)
	if name.StartMs != 0 || f.incarnations[name.Server] == 0 {
		return
	}
	for id, s := range f.servers {
		if s.server == name.Server {
			f.remove(id)
		}
	}
}

// hasAddress reports whether a known server has an address.
func (f *fleet) hasAddress(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.addresses[address]) > 0
}

func (f *fleet) notifyChanged() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// changes returns a channel that is closed at the next change.
func (f *fleet) changes() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.servers)
}

// readyCount returns the number of servers that accept new work.
func (f *fleet) readyCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.servers {
		if s.ready() {
			n++
		}
	}
	return n
}

// reportLoads returns this entry's load at the engines for a report to the leader, and records
// it as reported.
func (f *fleet) reportLoads() []*schema.EngineLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*schema.EngineLoad
	now := time.Now()
	for id, s := range f.servers {
		s.reported = load{s.running, s.pendingPrefill}
		cooling := uint32(0)
		if f.cooldowns.Remaining(id, now) > 0 {
			cooling = 1
		}
		if len(s.models) > 0 && (s.running > 0 || cooling > 0) {
			out = append(out, &schema.EngineLoad{
				Server: id, Running: uint32(s.running), Unread: uint32(max(s.pendingPrefill, 0)),
				Models: slices.Sorted(maps.Keys(s.runs)), Cooling: cooling,
			})
		}
	}
	return out
}

// setLoads sets the load of all entries at the engines. The last reported load of this entry is
// subtracted, as its own current load is known.
func (f *fleet) setLoads(loads []*schema.EngineLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.others = load{}
	}
	for _, l := range loads {
		if s := f.servers[l.GetServer()]; s != nil {
			s.others = load{
				running:        max(int(l.GetRunning())-s.reported.running, 0),
				pendingPrefill: max(int(l.GetUnread())-s.reported.pendingPrefill, 0),
			}
		}
	}
	for _, s := range f.servers {
		s.meanPendingPrefill += (float64(max(s.pendingPrefill, 0)+s.others.pendingPrefill) - s.meanPendingPrefill) / averagedLoadUpdates
	}
}

// requestSent records that a request is about to be sent. It returns the number of the
// request's tokens that the server has to prefill, and the load before: this entry's requests,
// and the pending prefill of all entries.
func (f *fleet) requestSent(s *server, info *RequestInfo) (tokens, running, pendingPrefill int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	tokens, running, pendingPrefill = s.uncached(info), s.running, s.pendingPrefill+s.others.pendingPrefill
	s.reserved--
	s.running++
	if info.Model != "" {
		s.addRuns(info, 1)
		f.sendRate(info.Model).add(time.Now())
		f.poolStats(s.view.GetPool()).observeArrival(info)
	}
	s.pendingPrefill += tokens
	s.recordPromptParts(info)
	return tokens, running, pendingPrefill
}

// prefillDone records the end of a request's prefill.
func (f *fleet) prefillDone(s *server, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.pendingPrefill -= tokens
}

// sendRate returns the rate of this entry's requests for a model; the caller holds mu.
func (f *fleet) sendRate(model string) *arrivalRate {
	a := f.sendRates[model]
	if a == nil {
		a = &arrivalRate{}
		f.sendRates[model] = a
	}
	return a
}

// unreportedRequests estimates how many requests for a model the other entries sent to each of
// its engines since their last reports. Each entry is assumed to send as many as this one, as
// callers choose entries at random. The caller holds mu.
func (f *fleet) unreportedRequests(model string, engines int, now time.Time) float64 {
	return f.sendRate(model).rateAt(now) * float64(max(f.entries-1, 0)) * meanLoadAge.Seconds() / float64(engines)
}

// meanLoadAge is the mean age of the other entries' loads: entries report every 300 ms, the
// leader aggregates the reports every 100 ms and sends the sums every 300 ms.
const meanLoadAge = 400 * time.Millisecond

// setEntries sets the number of entries.
func (f *fleet) setEntries(entries int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = entries
}

// requestEnded records the end of a request at a server, and how long it ran there.
func (f *fleet) requestEnded(s *server, info *RequestInfo, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if info.Model != "" {
		f.poolStats(s.view.GetPool()).observeEnd(took)
	}
	s.running--
	s.addRuns(info, -1)
}

// requestResumed records that a stream continues at a server, until the returned function is called.
func (f *fleet) requestResumed(s *server) (ended func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.reserved--
	s.running++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		s.running--
	}
}

// requestServed records how long a server took for a request that it ran.
func (f *fleet) requestServed(pool string, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.poolStats(pool).observeServed(took)
}

// isReady reports whether a server is known to accept new work.
func (f *fleet) isReady(s *server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.ready()
}

// recordSuccess records that a server responded: it is no longer ejected.
func (f *fleet) recordSuccess(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.consecutiveFailures = 0
	s.ejectedUntil = time.Time{}
}

// recordFailure records that a server did not respond, and ejects it, for longer with each failure
// in a row.
func (f *fleet) recordFailure(s *server, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.ejectedUntil = now.Add(min(minEjection<<min(s.consecutiveFailures, 4), maxEjection))
	s.consecutiveFailures++
}

// recordEnded ejects servers that other entries have found to have ended, for longer than the leader needs
// to remove them: another process may listen at their addresses, and each attempt there costs a retry. It
// returns those that were not recorded yet.
func (f *fleet) recordEnded(suspects []*schema.Suspect, now time.Time) (ejected []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	until := now.Add(maxEjection)
	for _, suspect := range suspects {
		for _, e := range suspect.GetEnded() {
			if time.Duration(cmp.Or(e.GetAgeMs(), suspect.GetAgeMs()))*time.Millisecond > maxEndedAge {
				continue
			}
			id := e.GetServer()
			if _, known := f.endedUntil[id]; !known {
				ejected = append(ejected, id)
			}
			f.endedUntil[id] = until
			if s := f.servers[id]; s != nil {
				s.ejectedUntil = until
			}
		}
	}
	return ejected
}

// markAbsent records that a server refused a request because it does not have the model or
// adapter.
func (f *fleet) markAbsent(s *server, model, adapter string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.absentUntil[model+"/"+adapter] = now.Add(absentDuration)
}
