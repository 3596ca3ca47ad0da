package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"fennelyard/internal/incarnation"
	"fennelyard/internal/schema"
)

// fleet is the set of backend servers that this entry knows. All methods are
// safe from any goroutine.
type fleet struct {
	mu      sync.Mutex
	servers map[string]*server
	// starts counts the incarnations among them by the server's id.
	starts  map[string]int
	changed chan struct{}
	// entries is how many entries there are, and sent how often this one sends requests
	// for each model.
	entries int
	sent    map[string]*arrivals
	// pools is what was observed of each pool's engines and prompts.
	pools map[string]*observed
}

func newFleet() *fleet {
	return &fleet{servers: map[string]*server{}, starts: map[string]int{}, changed: make(chan struct{}), pools: map[string]*observed{}, sent: map[string]*arrivals{}}
}

// seen returns what was observed of a pool; mu is held.
func (f *fleet) seen(pool string) *observed {
	o := f.pools[pool]
	if o == nil {
		o = newObserved()
		f.pools[pool] = o
	}
	return o
}

// gaps takes in the shortest pauses that the configuration allows each pool.
func (f *fleet) gaps(t *table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range t.pools {
		f.seen(name).gap = t.gaps[name]
	}
}

// firstRead notes how long the first event of a request took that had so many
// tokens to be read before it.
func (f *fleet) firstRead(pool string, tokens int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen(pool).read(tokens, took)
}

// reading returns how many tokens a pool's engines seem to read in a millisecond,
// and whether some of them are set apart for long prompts.
func (f *fleet) reading(pool string) (rate int, apart bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.seen(pool)
	return int(o.readRate()), o.apart()
}

// readTime is how long a pool's engines read so many tokens.
func (f *fleet) readTime(pool string, tokens int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen(pool).readTime(tokens)
}

// update takes the leader's word in. With settled, named holds every server that
// the leader knows, and all others are gone.
func (f *fleet) update(views []*schema.RosterServer, settled bool, named map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range views {
		old := f.servers[v.GetId()]
		switch {
		case v.GetState() == schema.RosterState_ROSTER_STATE_GONE:
			f.drop(v.GetId())
		case old == nil:
			f.add(newServer(v))
		case !old.ready() && v.GetState() == schema.RosterState_ROSTER_STATE_READY:
			// What was said to leave never comes back: a new leader may not know.
		default:
			old.update(v)
		}
	}
	if settled {
		for id := range f.servers {
			if !named[id] {
				f.remove(id)
			}
		}
	}
	f.announce()
}

// add takes a server in, in place of its earlier starts: what they held is gone, and a
// leader that never knew them does not say so. mu is held.
func (f *fleet) add(s *server) {
	if f.starts[s.server] > 0 {
		born := incarnation.Parse(s.id).StartMs
		for id, old := range f.servers {
			if old.server == s.server && incarnation.Parse(id).StartMs < born {
				f.remove(id)
			}
		}
	}
	f.servers[s.id] = s
	f.starts[s.server]++
}

// remove leaves out an incarnation; mu is held.
func (f *fleet) remove(id string) {
	s := f.servers[id]
	if s == nil {
		return
	}
	delete(f.servers, id)
	if f.starts[s.server]--; f.starts[s.server] == 0 {
		delete(f.starts, s.server)
	}
}

// drop leaves out an incarnation, or all of a server where its id stands alone: a leader
// that knows none of its starts passes on that it has ended. mu is held.
func (f *fleet) drop(key string) {
	f.remove(key)
	name := incarnation.Parse(key)
	if name.StartMs != 0 || f.starts[name.Server] == 0 {
		return
	}
	for id, s := range f.servers {
		if s.server == name.Server {
			f.remove(id)
		}
	}
}

func (f *fleet) announce() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// await returns a channel that is closed at the next change.
func (f *fleet) await() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fleet) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.servers)
}

// readyCount is the number of servers that take new work.
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

// loads returns what this entry has at the engines, for the leader.
func (f *fleet) loads() []*schema.EngineLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*schema.EngineLoad
	for id, s := range f.servers {
		s.told = load{s.running, s.unread}
		if len(s.models) > 0 && s.running > 0 {
			out = append(out, &schema.EngineLoad{
				Server: id, Running: uint32(s.running), Unread: uint32(max(s.unread, 0)),
				Models: slices.Sorted(maps.Keys(s.runs)),
			})
		}
	}
	return out
}

// hear takes in what all entries have at the engines. This entry's own part, as
// it told it last, is taken off: of its own it knows the present.
func (f *fleet) hear(loads []*schema.EngineLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.servers {
		s.others = load{}
	}
	for _, l := range loads {
		if s := f.servers[l.GetServer()]; s != nil {
			s.others = load{
				running: max(int(l.GetRunning())-s.told.running, 0),
				unread:  max(int(l.GetUnread())-s.told.unread, 0),
			}
		}
	}
	for _, s := range f.servers {
		s.reading += (float64(max(s.unread, 0)+s.others.unread) - s.reading) / readingOver
	}
}

// begin notes that a request is about to be sent. It returns how many of its
// tokens the server has to read, and what was there before: requests of
// this entry, and tokens of all entries that are not read.
func (f *fleet) begin(s *server, c *RequestInfo) (tokens, running, unread int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	tokens, running, unread = s.uncached(c), s.running, s.unread+s.others.unread
	s.running++
	if c.Model != "" {
		s.count(c, 1)
		f.sentFor(c.Model).note(time.Now())
		f.seen(s.view.GetPool()).arrive(c)
	}
	s.unread += tokens
	s.remember(c)
	return tokens, running, unread
}

// read notes that the prompt of a request was read.
func (f *fleet) read(s *server, unread int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.unread -= unread
}

// sentFor returns how often this entry sends requests for a model; mu is held.
func (f *fleet) sentFor(model string) *arrivals {
	a := f.sent[model]
	if a == nil {
		a = &arrivals{}
		f.sent[model] = a
	}
	return a
}

// unheard is how many requests for a model the other entries send to each of its
// engines, so many, between two words of the leader: as many as this one, as callers
// choose entries at random.
func (f *fleet) unheard(model string, engines int, now time.Time) float64 {
	return f.sentFor(model).rateAt(now) * float64(max(f.entries-1, 0)) * loadLag.Seconds() / float64(engines)
}

// loadLag is how old the others' loads are on average: entries tell theirs each 300 ms,
// the leader sums them up each 100 ms and tells the sum each 300 ms.
const loadLag = 400 * time.Millisecond

// among notes how many entries there are.
func (f *fleet) among(entries int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = entries
}

// end notes that a request is over there, and for how long it was.
func (f *fleet) end(s *server, c *RequestInfo, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Model != "" {
		f.seen(s.view.GetPool()).end(took)
	}
	s.running--
	s.count(c, -1)
}

// takesWork reports whether a server takes new work, as far as is known.
func (f *fleet) takesWork(s *server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.ready()
}

// good and bad note whether the server answered.
func (f *fleet) good(s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.strikes = 0
	s.out = time.Time{}
}

func (f *fleet) bad(s *server, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.out = now.Add(min(ejectFirst<<min(s.strikes, 4), ejectMost))
	s.strikes++
}

// lacks notes that a server refused a request for want of a model or adapter.
func (f *fleet) lacks(s *server, model, adapter string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.absent[model+"/"+adapter] = now.Add(absentFor)
}
