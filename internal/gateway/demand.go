package gateway

import (
	"sync"
	"time"

	"fennelyard/internal/schema"
)

// target is a model, or an adapter of it, of a pool.
type target struct {
	pool    string
	model   string
	adapter string
}

// expectation is the leader's word on a target that requests wait for.
type expectation struct {
	at time.Time
	// ready is when it should be there; the zero time: nothing is on its way.
	ready time.Time
}

// tally is what happened for a target in a while.
type tally struct {
	arrived int
	// reading is for how long engines read what was sent, ran for how long they had
	// what ended.
	reading, ran time.Duration
}

// asked collects what callers ask for, for the leader. All methods are safe
// from any goroutine.
type asked struct {
	// urgent holds a token while the leader should be told at once, and soon while it should
	// be told before the next word is due.
	urgent, soon chan struct{}

	mu sync.Mutex
	// since is what has happened since the last word to the leader; guarded by mu, as
	// all below.
	since   map[target]tally
	waiting map[target]int
	// told holds the targets whose waiting requests the leader knows of.
	told     map[target]bool
	expected map[target]expectation
}

func newAsked() *asked {
	return &asked{
		urgent: make(chan struct{}, 1), soon: make(chan struct{}, 1), since: map[target]tally{}, waiting: map[target]int{},
		told: map[target]bool{}, expected: map[target]expectation{},
	}
}

func (a *asked) arrive(t target) { a.note(t, tally{arrived: 1}) }

// read notes for how long an engine will read a request's prompt.
func (a *asked) read(t target, d time.Duration) { a.note(t, tally{reading: d}) }

// end notes for how long an engine had a request.
func (a *asked) end(t target, d time.Duration) { a.note(t, tally{ran: d}) }

func (a *asked) note(t target, more tally) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := a.since[t]
	a.since[t] = tally{sum.arrived + more.arrived, sum.reading + more.reading, sum.ran + more.ran}
}

// wait notes that requests begin or end to wait for a target. The leader is told at once of
// one that it does not know to be waited for, and of more requests for it a moment later,
// the sooner the fewer entries its host has: told of each at once, on a day on which many
// waited, 291 entries said so 5,000 times a second to hosts that then had no time left to
// elect a leader.
func (a *asked) wait(t target, n int) {
	a.mu.Lock()
	a.waiting[t] += n
	if a.waiting[t] <= 0 {
		delete(a.waiting, t)
	}
	tell := a.urgent
	if a.told[t] {
		tell = a.soon
	}
	a.mu.Unlock()
	if n > 0 {
		select {
		case tell <- struct{}{}:
		default:
		}
	}
}

func (a *asked) waitingCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, w := range a.waiting {
		n += w
	}
	return n
}

// collect returns what the leader does not know yet. What waits is said each
// time, what no longer waits once.
func (a *asked) collect() []*schema.ModelDemand {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*schema.ModelDemand
	add := func(t target) {
		n := a.since[t]
		out = append(out, &schema.ModelDemand{
			Pool: t.pool, Model: t.model, Adapter: t.adapter, Arrived: uint32(n.arrived), Waiting: uint32(a.waiting[t]),
			ReadUs: uint64(n.reading.Microseconds()), RanUs: uint64(n.ran.Microseconds()),
		})
		delete(a.since, t)
	}
	for t := range a.waiting {
		add(t)
	}
	for t := range a.told {
		if a.waiting[t] == 0 {
			add(t)
			delete(a.told, t)
		}
	}
	for t := range a.since {
		add(t)
	}
	for t := range a.waiting {
		a.told[t] = true
	}
	return out
}

func (a *asked) forecast(list []*schema.LoadForecast, now time.Time) {
	if len(list) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, f := range list {
		e := expectation{at: now}
		if f.GetReadyInMs() >= 0 {
			e.ready = now.Add(time.Duration(f.GetReadyInMs()) * time.Millisecond)
		}
		a.expected[target{f.GetPool(), f.GetModel(), f.GetAdapter()}] = e
	}
}

// expect returns the leader's word on a target that came after a moment, or so shortly
// before that the next one is not due: the leader says anew what is waited for with each
// word of this entry.
func (a *asked) expect(t target, after time.Time) (expectation, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, ok := a.expected[t]
	return e, ok && e.at.After(after.Add(-speakEvery))
}
