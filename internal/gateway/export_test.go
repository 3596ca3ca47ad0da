package gateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/schema"
)

// Configure takes changes in as from the leader.
func (g *Gateway) Configure(c *schema.Changes) { g.configure(c) }

// Take takes a leader's word in.
func (g *Gateway) Take(news *schema.LeaderNews) error {
	return newAttendant(g).take(news)
}

// Believe takes servers in as from the leader.
func (g *Gateway) Believe(settled bool, views ...*schema.RosterServer) {
	named := map[string]bool{}
	for _, v := range views {
		named[v.GetId()] = true
	}
	g.fleet.update(views, settled, named)
}

// Confirm notes that the configuration was confirmed so long ago.
func (g *Gateway) Confirm(ago time.Duration) {
	g.attend.mu.Lock()
	defer g.attend.mu.Unlock()
	g.attend.confirmed = time.Now().Add(-ago)
}

// Answer takes in a host's answer to the message that left so long after the gateway's start,
// and returns the age of the confirmation.
func (g *Gateway) Answer(sentAfter, confirmedAge time.Duration) time.Duration {
	g.attend.confirm(&schema.LeaderNews{EchoUs: uint64(sentAfter.Microseconds()), ConfirmedAgeMs: confirmedAge.Milliseconds()})
	return time.Since(g.attend.confirmedAt())
}

// Servers returns the number of servers known.
func (g *Gateway) Servers() int { return g.fleet.count() }

// Engines is a set of engines that hold a model m, for tests of the choice.
type Engines struct {
	f      *fleet
	random func(int) int
}

// NewEngines returns engines e0, e1 and so on.
func NewEngines(n int) *Engines {
	f := newFleet()
	var views []*schema.RosterServer
	for i := range n {
		views = append(views, &schema.RosterServer{
			Id: fmt.Sprint("e", i), Pool: "p", Models: []*schema.HeldModel{{Name: "m", Adapters: []string{"a"}}},
		})
	}
	f.update(views, false, nil)
	return &Engines{f, func(int) int { return 0 }}
}

// Believe takes engines in as from the leader.
func (e *Engines) Believe(views ...*schema.RosterServer) { e.f.update(views, false, nil) }

// Hear takes in what all entries have there.
func (e *Engines) Hear(loads ...*schema.EngineLoad) { e.f.hear(loads) }

// Send chooses an engine for a call and notes that it was sent there.
func (e *Engines) Send(c *RequestInfo) string {
	s := e.f.choose("p", c, nil, time.Now(), e.random)
	e.f.begin(s, c)
	return s.view.GetId()
}

// Able reports whether any engine can serve a call.
func (e *Engines) Able(c *RequestInfo) bool {
	return e.f.choose("p", c, nil, time.Now(), e.random) != nil
}

// ToRead returns how many of a call's tokens an engine has to read, by its start's key.
func (e *Engines) ToRead(key string, c *RequestInfo) int { return e.f.servers[key].uncached(c) }

// Peek chooses an engine for a call.
func (e *Engines) Peek(c *RequestInfo) string {
	return e.f.choose("p", c, nil, time.Now(), e.random).view.GetId()
}

// Among puts this entry among others, with luck of its own.
func (e *Engines) Among(entries int, seed uint64) {
	e.f.among(entries)
	e.random = rand.New(rand.NewPCG(seed, 1)).IntN
}

// Slots sets how many requests each engine works on at once.
func (e *Engines) Slots(n uint32) {
	for _, s := range e.f.servers {
		s.view.Slots = n
	}
}

// Ran notes how long an engine has a request.
func (e *Engines) Ran(d time.Duration) { e.f.seen("p").end(d) }

// Allow sets the longest pause of the pool's streams.
func (e *Engines) Allow(gap time.Duration) { e.f.seen("p").gap = gap }

// Serve sends a call and ends it.
func (e *Engines) Serve(c *RequestInfo) {
	s := e.f.choose("p", c, nil, time.Now(), e.random)
	tokens, _, _ := e.f.begin(s, c)
	e.f.read(s, tokens)
	e.f.end(s, c, 0)
}

// Read has first events come as from engines that read so many tokens in a
// millisecond and take 40 ms for all else.
func (e *Engines) Read(rate float64) {
	for i := range 400 {
		tokens := i * 37 % 2000
		e.f.firstRead("p", tokens, 40*time.Millisecond+time.Duration(float64(tokens)/rate*float64(time.Millisecond)))
	}
}

// ReadRate is what was learned of it.
func (e *Engines) ReadRate() float64 { return e.f.seen("p").readRate() }

// Fail notes a failure.
func (e *Engines) Fail(id string) { e.f.bad(e.f.servers[id], time.Now()) }

// Told returns what the leader is told of an engine.
func (e *Engines) Told(id string) (running, unread uint32) {
	for _, l := range e.f.loads() {
		if l.GetServer() == id {
			return l.GetRunning(), l.GetUnread()
		}
	}
	return 0, 0
}

// FirstWordWait returns how long a host's first word is waited for.
func FirstWordWait(around int) time.Duration { return firstWordWait(around) }

// Patience is the patience of one attempt.
type Patience struct{ p *patience }

// NewPatience starts the patience of an attempt that cancel ends.
func NewPatience(after time.Duration, cancel func(), repeat func() bool) *Patience {
	return &Patience{newPatience(after, cancel, repeat)}
}

// Begin notes that the answer has begun.
func (p *Patience) Begin() bool { return p.p.begin() }

// ControlHosts are the control hosts that an entry can attend.
type ControlHosts struct{ h *controlHosts }

// NewControlHosts returns what an entry knows that has only seeds.
func NewControlHosts(self *schema.RosterEntry, seeds []string) *ControlHosts {
	return &ControlHosts{newControlHosts(self, func() []string { return seeds })}
}

// Name takes in which hosts follow the leader.
func (c *ControlHosts) Name(hosts ...*schema.ControlHost) { c.h.named = hosts }

// Next returns the host to ask next.
func (c *ControlHosts) Next(now time.Time) string { return c.h.next(now) }

// Better returns a host that is preferred to another.
func (c *ControlHosts) Better(than string, now time.Time) string { return c.h.better(than, now) }

// Fail notes that a host was asked in vain, Found that one was not.
func (c *ControlHosts) Fail(address string, now time.Time) { c.h.fail(address, now) }

// Found notes that a host tells what the leader says.
func (c *ControlHosts) Found(address string) { c.h.found(address) }

// Pause is how long to wait before the next host is asked.
func (c *ControlHosts) Pause() time.Duration { return c.h.pause() }

// Asked is what an entry tells of the models that its callers ask for.
type Asked struct{ a *asked }

// NewAsked returns one that was asked for nothing.
func NewAsked() *Asked { return &Asked{newAsked()} }

// Wait has so many more requests wait for a model.
func (a *Asked) Wait(model string, n int) { a.a.wait(target{"p", model, ""}, n) }

// Tell returns how many requests the next word says that wait for each model.
func (a *Asked) Tell() map[string]int {
	out := map[string]int{}
	for _, d := range a.a.collect() {
		out[d.GetModel()] = int(d.GetWaiting())
	}
	return out
}

// Urgent reports whether a word is to leave at once.
func (a *Asked) Urgent() bool {
	select {
	case <-a.a.urgent:
		return true
	default:
		return false
	}
}

// Soon reports whether a word is to leave before the next one is due.
func (a *Asked) Soon() bool {
	select {
	case <-a.a.soon:
		return true
	default:
		return false
	}
}

// Hear takes in the leader's word on a model at a moment.
func (a *Asked) Hear(model string, readyMs int64, at time.Time) {
	a.a.forecast([]*schema.LoadForecast{{Pool: "p", Model: model, ReadyInMs: readyMs}}, at)
}

// Expects reports whether a request that began at a moment has the leader's word.
func (a *Asked) Expects(model string, began time.Time) bool {
	_, ok := a.a.expect(target{"p", model, ""}, began)
	return ok
}

// TooLong reports whether a call with an aim is refused, as the engine that it would be
// sent to has too much to read.
func (e *Engines) TooLong(c *RequestInfo, aim time.Duration) bool {
	return e.f.backlog(e.f.choose("p", c, nil, time.Now(), e.random), c).tooLong(aim)
}

// HasRead notes that an engine has read tokens that were sent to it, End that a call has
// ended there.
func (e *Engines) HasRead(id string, tokens int) { e.f.read(e.f.servers[id], tokens) }

// End notes that a call has ended at an engine.
func (e *Engines) End(id string, c *RequestInfo) { e.f.end(e.f.servers[id], c, 0) }

// Suspected returns how many servers have ended, as far as this entry has found, under the
// request under which most have.
func (g *Gateway) Suspected() int {
	most := 0
	list, _ := g.guard.Suspects().Since(0, quarantine.PartAll)
	for _, s := range list {
		most = max(most, len(s.GetEnded()))
	}
	return most
}
