package gateway

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"fennelyard/internal/origin"
	"fennelyard/internal/schema"
)

const (
	// originReplicas is the number of other entries that record where a stream began: callers
	// resume streams at other entries after the loss of their own, and of one more.
	originReplicas = 2
	// originTimeout bounds recording and finding an origin at other entries.
	originTimeout = 300 * time.Millisecond
	// maxOriginWait is how long the first event waits for an entry that has recorded the origin.
	// It is recorded while the server reads the prompt.
	maxOriginWait = 50 * time.Millisecond
	// maxOpenReplications is the number of open streams whose origins are sent to other entries at once
	// when a pool gets a second version.
	maxOpenReplications = 32
	// maxOriginQueries is the number of entries that are asked for an origin.
	maxOriginQueries = 64
	// mixedWindow is the time after the last server of a version for which new streams are recorded at other
	// entries as well. Later the control host's record is enough, which is one report behind at most.
	mixedWindow = 30 * time.Second
	// youngAge is the age up to which an entry asks the others although it knows of one version alone: the
	// record of a version comes up to some seconds after its first server.
	youngAge = 30 * time.Second
	// maxOriginReports is the number of origins that wait to be reported to the control host, and
	// maxOriginsPerReport bounds those of one report.
	maxOriginReports    = 4096
	maxOriginsPerReport = 512
	// newVersionDelay is how long no resumable stream begins at the servers of a version that is new to
	// a pool of another one, if there are others, counted up to the last confirmation by the control
	// group: by then all other entries know that there are two versions, or know that they have not been
	// confirmed for maxConfirmationAge.
	newVersionDelay = 2 * time.Second
)

// originReport is the origin of a stream that is to be reported.
type originReport struct {
	key    origin.Key
	origin origin.Origin
}

// originReports are origins that are to be reported to the control host, in the order of the streams' first events.
type originReports struct {
	mu sync.Mutex
	// waiting is guarded by mu.
	waiting []originReport
}

// add adds an origin. If too many wait, the oldest is dropped: its stream is refused if all entries are lost.
func (r *originReports) add(key origin.Key, o origin.Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiting) >= maxOriginReports {
		r.waiting = r.waiting[1:]
	}
	r.waiting = append(r.waiting, originReport{key, o})
}

// take removes and returns the next origins, those of a version together.
func (r *originReports) take() []*schema.StreamOrigin {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(r.waiting), maxOriginsPerReport)
	var out []*schema.StreamOrigin
	for _, report := range r.waiting[:n] {
		o := report.origin
		i := slices.IndexFunc(out, func(s *schema.StreamOrigin) bool { return s.GetPool() == o.Pool && s.GetSoftware() == o.Version })
		if i < 0 {
			i, out = len(out), append(out, &schema.StreamOrigin{Pool: o.Pool, Software: o.Version})
		}
		out[i].Key = append(out[i].Key, report.key[:]...)
	}
	r.waiting = r.waiting[n:]
	return out
}

// OriginExchange records and finds at other entries where streams began. All functions are required.
type OriginExchange struct {
	Put func(ctx context.Context, entry string, key origin.Key, o origin.Origin) error
	Get func(ctx context.Context, entry string, key origin.Key, pool string) (o origin.Origin, known bool, err error)
}

// Origins returns where streams began, as this entry knows.
func (g *Gateway) Origins() *origin.Table { return g.origins }

// versionUse is the use of a version of a pool's software.
type versionUse struct {
	// first is when the first server of the version was known, and gone when the last one was no longer;
	// gone is the zero time while there are any.
	first, gone time.Time
}

// versionsInUse returns the versions of a pool's software in use.
func (f *fleet) versionsInUse(pool string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.versions[pool]))
}

// noteVersions records the versions in use after a change of the servers; the caller holds mu.
func (f *fleet) noteVersions(now time.Time) {
	present := map[*versionUse]bool{}
	for _, s := range f.servers {
		pool := s.view.GetPool()
		if f.versions[pool] == nil {
			f.versions[pool] = map[string]*versionUse{}
		}
		use := f.versions[pool][s.view.GetSoftware()]
		if use == nil || !use.gone.IsZero() && now.Sub(use.gone) > mixedWindow {
			// One that comes back late is new as well: others may be about to forget it.
			use = &versionUse{first: now}
			f.versions[pool][s.view.GetSoftware()] = use
			if f.recentVersions(pool, now) == 2 {
				f.onSecondVersion(pool)
			}
		}
		use.gone, present[use] = time.Time{}, true
	}
	for _, uses := range f.versions {
		for _, use := range uses {
			if !present[use] && use.gone.IsZero() {
				use.gone = now
			}
		}
	}
}

// recentVersions returns the number of versions that a pool's servers are of, or were within mixedWindow; the
// caller holds mu.
func (f *fleet) recentVersions(pool string, now time.Time) int {
	n := 0
	for _, use := range f.versions[pool] {
		if use.gone.IsZero() || now.Sub(use.gone) <= mixedWindow {
			n++
		}
	}
	return n
}

// isMixed reports whether a pool's servers are of several versions, or were within mixedWindow.
func (f *fleet) isMixed(pool string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recentVersions(pool, now) > 1
}

// onlyVersion returns the version of a pool's servers, and whether all of them have been of this
// version for origin.VersionRetention, as far as this entry knows.
func (f *fleet) onlyVersion(pool string, now time.Time) (version string, only bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	uses := f.versions[pool]
	maps.DeleteFunc(uses, func(_ string, use *versionUse) bool {
		return !use.gone.IsZero() && now.Sub(use.gone) > origin.VersionRetention
	})
	for version = range uses {
		if len(uses) == 1 {
			return version, true
		}
	}
	return "", false
}

// versionOf returns the version of a server's software.
func (f *fleet) versionOf(s *server) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.view.GetSoftware()
}

// hasVersion reports whether a server of a version takes new work.
func (f *fleet) hasVersion(pool, version string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		if s.view.GetPool() == pool && s.ready() && s.view.GetSoftware() == version {
			return true
		}
	}
	return false
}

// ofVersion removes the candidates at which a request must not run for the version of their software;
// the caller holds mu.
func (f *fleet) ofVersion(candidates []*server, pool string, info *RequestInfo) []*server {
	if info.bound {
		return slices.DeleteFunc(candidates, func(s *server) bool { return s.view.GetSoftware() != info.version })
	}
	if !info.resumable || len(f.versions[pool]) < 2 {
		return candidates
	}
	confirmed := f.confirmedAt()
	settled := slices.DeleteFunc(slices.Clone(candidates), func(s *server) bool {
		use := f.versions[pool][s.view.GetSoftware()]
		return use == nil || confirmed.Sub(use.first) < newVersionDelay
	})
	if len(settled) == 0 {
		return candidates
	}
	return settled
}

// isResumable reports whether the route's streams may be resumed.
func (x *exchange) isResumable() bool {
	return x.route.GetStream() && x.route.GetRepeat() == schema.Repeat_REPEAT_RESUME
}

// bindToOrigin restricts a resumed stream to the servers of the version that began it. It sends the
// response itself and returns false if the version is not known, or has no servers.
func (x *exchange) bindToOrigin() bool {
	if !x.isResumable() {
		return true
	}
	x.info.resumable = true
	if x.info.LastEventID <= 0 {
		// Nothing is joined: the stream begins anew.
		return true
	}
	if x.info.ResumesInvalid {
		x.refuse(http.StatusBadRequest, OutcomeBadResumes, 0)
		return false
	}
	o, known, complete := x.findOrigin()
	if known && !x.routeHasPool(o.Pool) {
		// The caller names an attempt on another route.
		known, complete = false, true
	}
	switch {
	case !known && complete:
		// No other entry will know it later.
		x.fail(OutcomeVersionUnknown, 0)
		return false
	case !known:
		x.fail(OutcomeVersionUnknown, defaultRetryAfter)
		return false
	}
	x.pool, x.info.bound, x.info.version = o.Pool, true, o.Version
	return x.hasBoundServers()
}

// routeHasPool reports whether the route may send requests to a pool.
func (x *exchange) routeHasPool(pool string) bool {
	return slices.ContainsFunc(x.route.GetShares(), func(s *schema.Share) bool { return s.GetPool() == pool && s.GetWeight() > 0 })
}

// hasBoundServers reports whether the version that began the stream has servers. Otherwise it refuses
// the request: nobody knows whether there will be any.
func (x *exchange) hasBoundServers() bool {
	if x.info.bound && !x.g.fleet.hasVersion(x.pool, x.info.version) {
		x.fail(OutcomeVersionGone, 0)
		return false
	}
	return true
}

// findOrigin finds where the stream began that the request continues. complete is set if all entries
// were asked that may know it.
func (x *exchange) findOrigin() (o origin.Origin, known, complete bool) {
	var key origin.Key
	if x.info.Resumes != "" {
		key = origin.NewKey(x.info.APIKey, x.info.Resumes)
		if o, known = x.g.origins.Get(key); known {
			return o, true, true
		}
	}
	v := x.g.Versions(x.pool)
	if v.Only {
		return origin.Origin{Pool: x.pool, Version: v.Version}, true, true
	}
	if x.info.Resumes == "" && v.Several {
		return origin.Origin{}, false, true
	}
	entries := x.g.originEntries(key)
	first := min(2*originReplicas, len(entries))
	o, known, several, complete := x.askEntries(entries[:first], key)
	if known {
		return o, true, true
	}
	asked := false
	if x.info.Resumes != "" && (v.Several || several) {
		// Before all entries are asked, which are many.
		if o, known, asked = x.g.findAtControlHosts(x.ctx, key); known {
			return o, true, true
		}
	}
	o, known, differ, all := x.askEntries(entries[first:min(len(entries), maxOriginQueries)], key)
	if known {
		return o, true, true
	}
	several, complete = several || differ, complete && all && len(entries) <= maxOriginQueries
	// This entry may have started after the last server of another version ended: an older one knows, and the record
	// in the log. While there were two, the origins were recorded at other entries.
	if !v.Several && !several && complete && x.g.connected() {
		return origin.Origin{Pool: x.pool, Version: v.Version}, true, true
	}
	if x.info.Resumes == "" {
		return origin.Origin{}, false, complete
	}
	if !asked {
		o, known, asked = x.g.findAtControlHosts(x.ctx, key)
	}
	return o, known, known || complete && asked
}

// Versions returns what this entry knows of the versions of a pool's software, by the leader's updates and the recorded
// ones, which include those from before its start.
func (g *Gateway) Versions(pool string) origin.Versions {
	version, single := g.onlyVersion(pool)
	return origin.Versions{
		Pool: pool, Version: version, Several: !single && version != "" || len(g.fleet.versionsInUse(pool)) > 1,
		Only: single && time.Since(g.startTime) > youngAge && g.connected(),
	}
}

// onlyVersion returns a version of a pool's servers, and whether it is the only one that this entry or the control group
// knows to be in use.
func (g *Gateway) onlyVersion(pool string) (version string, only bool) {
	version, only = g.fleet.onlyVersion(pool, time.Now())
	t := g.table.Load()
	if !only || t == nil {
		return version, only
	}
	return version, !slices.ContainsFunc(t.versions[pool], func(recorded string) bool { return recorded != version })
}

// isMixed reports whether other entries record where a pool's streams begin.
func (g *Gateway) isMixed(pool string) bool {
	if g.fleet.isMixed(pool, time.Now()) {
		return true
	}
	// What happened before this entry's start it knows from the record alone.
	_, only := g.onlyVersion(pool)
	return !only && time.Since(g.startTime) <= mixedWindow
}

// findAtControlHosts finds where a stream began at the control hosts, which know it also after the loss of all entries.
// complete is set if all of them were asked.
func (g *Gateway) findAtControlHosts(ctx context.Context, key origin.Key) (o origin.Origin, known, complete bool) {
	host := g.subscriber.currentHost()
	if host == "" {
		return origin.Origin{}, false, false
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	client, err := g.cfg.Dialer.Client(host)
	if err == nil {
		var reply *schema.FindOriginsReply
		if reply, err = client.FindOrigins(ctx, &schema.FindOriginsRequest{Keys: [][]byte{key[:]}, Forward: true}); err == nil {
			for _, found := range reply.GetOrigins() {
				return origin.Origin{Pool: found.GetPool(), Version: found.GetSoftware()}, true, true
			}
			return origin.Origin{}, false, !reply.GetIncomplete()
		}
	}
	g.cfg.Log.Info("origin not asked for", "host", host, "stream", key.String(), "error", err.Error())
	return origin.Origin{}, false, false
}

// originEntries returns the addresses of the other entries, first those that record the origin of a
// stream.
func (g *Gateway) originEntries(key origin.Key) []string {
	list := g.entries.Load()
	if list == nil {
		return nil
	}
	text := key.String()
	var out []string
	for _, e := range *list {
		if e.GetHost() != g.cfg.Self.GetHost() && e.GetTunnelAddress() != "" {
			out = append(out, e.GetTunnelAddress())
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousHash(text, b), rendezvousHash(text, a)), cmp.Compare(a, b))
	})
	return out
}

// askEntries asks some entries at once for an origin. several is set if one of them has seen several versions in the
// pool, and complete if all of them responded.
func (x *exchange) askEntries(entries []string, key origin.Key) (o origin.Origin, known, several, complete bool) {
	type result struct {
		origin origin.Origin
		known  bool
		err    error
	}
	ctx, cancel := context.WithTimeout(x.ctx, originTimeout)
	defer cancel()
	results := make(chan result, len(entries))
	for _, entry := range entries {
		go func() {
			o, known, err := x.g.cfg.Origins.Get(ctx, entry, key, x.pool)
			results <- result{o, known, err}
		}()
	}
	complete = true
	for range entries {
		r := <-results
		if r.known {
			return r.origin, true, false, true
		}
		differ := errors.Is(r.err, origin.ErrSeveralVersions)
		complete, several = complete && (r.err == nil || differ), several || differ
	}
	return origin.Origin{}, false, several, complete
}

// recordOrigin records that the stream begins at a server. While the pool has several versions, other
// entries record it as well. If an earlier attempt was recorded with another version, each entry that may hold
// that must have replaced it before the request is sent: otherwise recordOrigin returns false, and the request
// must not be sent there.
func (x *exchange) recordOrigin(s *server) bool {
	if !x.info.resumable || x.started {
		return true
	}
	version := x.g.fleet.versionOf(s)
	if x.info.bound {
		// The caller may name this attempt as well.
		version = x.info.version
	}
	moved := x.origin.Attempt > 0
	if moved && x.origin.Version == version {
		return true
	}
	// Attempts that are not sent do not count, but their origins are recorded.
	x.origin = origin.Origin{Pool: x.pool, Version: version, Attempt: x.origin.Attempt + 1}
	key := origin.NewKey(x.info.APIKey, x.info.ID)
	x.g.origins.Put(key, x.origin)
	x.g.openStreams.Store(key, x.origin)
	x.originRecorded = nil
	if moved {
		return x.replaceOrigin(key)
	}
	if x.g.isMixed(x.pool) {
		x.originEntries = x.g.replicas(key)
		x.originRecorded = x.g.replicateOrigin(key, x.origin, x.originEntries)
	}
	return true
}

// replaceOrigin has all entries that may hold an earlier origin of the stream record the present one. It reports
// whether all of them have.
func (x *exchange) replaceOrigin(key origin.Key) bool {
	ctx, cancel := context.WithTimeout(x.ctx, originTimeout)
	defer cancel()
	for _, entry := range x.g.replicas(key) {
		if !slices.Contains(x.originEntries, entry) {
			x.originEntries = append(x.originEntries, entry)
		}
	}
	var missing atomic.Int64
	var puts sync.WaitGroup
	for _, entry := range x.originEntries {
		puts.Go(func() {
			if err := x.g.cfg.Origins.Put(ctx, entry, key, x.origin); err != nil {
				missing.Add(1)
				x.g.cfg.Log.Info("origin not replaced", "entry", entry, "stream", key.String(), "request", x.info.ID, "version", x.origin.Version, "error", err.Error())
			}
		})
	}
	puts.Wait()
	return missing.Load() == 0
}

// streamEnded removes the request from the open streams.
func (x *exchange) streamEnded() {
	if x.info.resumable {
		key := origin.NewKey(x.info.APIKey, x.info.ID)
		x.g.openStreams.Delete(key)
		x.g.begunStreams.Delete(key)
	}
}

// streamBegun records that the first event is forwarded: from now on the stream stays at its origin, which the control
// host is to know although there may be one version alone: a second one may appear after the loss of all entries.
func (x *exchange) streamBegun() {
	if !x.info.resumable || x.origin.Attempt == 0 {
		return
	}
	key := origin.NewKey(x.info.APIKey, x.info.ID)
	x.g.begunStreams.Store(key, x.origin)
	x.g.originReports.add(key, x.origin)
}

// replicas returns the addresses of the entries that record the origin of a stream beside this one.
func (g *Gateway) replicas(key origin.Key) []string {
	entries := g.originEntries(key)
	return entries[:min(len(entries), originReplicas)]
}

// replicateOrigin has other entries record where a stream began. The channel that it returns is closed
// once one of them has.
func (g *Gateway) replicateOrigin(key origin.Key, o origin.Origin, entries []string) chan struct{} {
	recorded := make(chan struct{})
	var once sync.Once
	for _, entry := range entries {
		g.goUnlessClosed(func() {
			ctx, cancel := context.WithTimeout(g.aborted, originTimeout)
			defer cancel()
			if err := g.cfg.Origins.Put(ctx, entry, key, o); err != nil {
				g.cfg.Log.Info("origin not recorded", "entry", entry, "stream", key.String(), "error", err.Error())
				return
			}
			once.Do(func() { close(recorded) })
		})
	}
	return recorded
}

// goUnlessClosed calls f in a goroutine that Close waits for.
func (g *Gateway) goUnlessClosed(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.aborted.Err() == nil {
		g.background.Go(f)
	}
}

// replicateOpenStreams has other entries record where the open streams of a pool began that has got
// a second version: until then any server could resume them.
func (g *Gateway) replicateOpenStreams(pool string) {
	n := 0
	g.openStreams.Range(func(key, value any) bool {
		if o, _ := value.(origin.Origin); o.Pool == pool && g.aborted.Err() == nil {
			n++
			recorded := g.replicateOrigin(key.(origin.Key), o, g.replicas(key.(origin.Key)))
			if n%maxOpenReplications == 0 {
				awaitRecorded(g.aborted, recorded)
			}
		}
		return true
	})
	g.begunStreams.Range(func(key, value any) bool {
		if o, _ := value.(origin.Origin); o.Pool == pool {
			g.originReports.add(key.(origin.Key), o)
		}
		return true
	})
	g.cfg.Log.Info("pool has several versions", "pool", pool, "versions", g.fleet.versionsInUse(pool), "open-streams", n)
}

// awaitOrigin waits, before the first event is forwarded, until another entry has recorded where the
// stream began.
func (x *exchange) awaitOrigin() {
	if x.originRecorded != nil {
		awaitRecorded(x.ctx, x.originRecorded)
	}
}

// awaitRecorded waits for maxOriginWait at most.
func awaitRecorded(ctx context.Context, recorded chan struct{}) {
	timer := time.NewTimer(maxOriginWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// bindTo restricts further attempts to servers of the version that began the response.
func (x *exchange) bindTo(s *server) {
	x.info.bound, x.info.version = true, x.g.fleet.versionOf(s)
}
