// Package admission decides which request of an entry goes next, and refuses at
// once those that cannot be met in time.
package admission

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fennelyard/internal/refusal"
)

const (
	// DefaultCustomerLimit bounds a customer's requests in one entry.
	DefaultCustomerLimit = 256
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 250 * time.Millisecond
	// smoothing is the weight of a new service time in the running mean.
	smoothing = 0.1
)

// Config configures a Gate. QueueLimit is required.
type Config struct {
	// QueueLimit bounds the requests that wait for one target.
	QueueLimit int
	// Now returns the time; nil: time.Now.
	Now func() time.Time
	// OnGrant, where set, is told the forecast wait of each request that was
	// granted and the wait that it had. It must not block.
	OnGrant func(forecast, actual time.Duration)
}

// Request is what the gate needs to know of a request.
type Request struct {
	Customer string
	// CustomerLimit bounds the customer's requests in this entry; 0: the default.
	CustomerLimit int
	Target        string
	Priority      int32
	Deadline      time.Time
}

// Capacity is what stands ready for a target.
type Capacity struct {
	// Slots is the number of requests that may run at once.
	Slots int
	// ReadyIn is, without slots, the time until there are some; below 0 when
	// there will be none; Known is false while nobody has said.
	ReadyIn time.Duration
	Known   bool
	// ExpectedSlots is the number of slots that are then expected.
	ExpectedSlots int
	Reason        string
}

// Controller holds the queues of an entry. All methods are safe from any goroutine.
type Controller struct {
	cfg Config
	mu  sync.Mutex
	// queues and customers hold only what is in use.
	queues    map[string]*queue
	customers map[string]int
	service   map[string]time.Duration
	arrivals  map[string]int
	// returning counts refusals that told the caller when to come back, since
	// the last call of Demands.
	returning map[string]int
}

type queue struct {
	target  string
	supply  Capacity
	waiting []*Ticket
	running int
	// clock is the virtual time of the latest grant; shares holds the virtual
	// time of each customer that waits or runs here.
	clock  float64
	shares map[string]float64
	held   map[string]int
}

// Ticket is a request's place. Its holder calls Leave exactly once.
type Ticket struct {
	gate    *Controller
	queue   *queue
	request Request
	// entered is when the ticket came; granted when its last grant was.
	entered  time.Time
	granted  time.Time
	forecast time.Duration
	// verdict receives nil for a grant or a refusal, once per wait.
	verdict chan *refusal.Refusal
	state   ticketState
	timer   *time.Timer
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketOver
)

// NewController returns a gate with empty queues.
func NewController(cfg Config) *Controller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Controller{
		cfg: cfg, queues: map[string]*queue{}, customers: map[string]int{},
		service: map[string]time.Duration{}, arrivals: map[string]int{}, returning: map[string]int{},
	}
}

// Admit takes a request in, or refuses it at once. The supply is what the
// caller sees of the target now.
func (g *Controller) Admit(r Request, s Capacity) (*Ticket, *refusal.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	g.arrivals[r.Target]++
	if !now.Before(r.Deadline) {
		return nil, refusal.New(refusal.DeadlinePassed, "the deadline has passed on arrival")
	}
	limit := cmp.Or(r.CustomerLimit, DefaultCustomerLimit)
	if g.customers[r.Customer] >= limit {
		return nil, refusal.New(refusal.CustomerLimit, "customer %q has %d requests here already", r.Customer, limit).
			WithRetryAfter(g.retryAfter(g.queues[r.Target]))
	}
	q := g.queue(r.Target)
	if len(q.waiting) >= g.cfg.QueueLimit {
		return nil, refusal.New(refusal.QueueFull, "%d requests wait for %q", len(q.waiting), r.Target).
			WithRetryAfter(g.retryAfter(q))
	}
	t := &Ticket{gate: g, queue: q, request: r, entered: now, verdict: make(chan *refusal.Refusal, 1)}
	g.customers[r.Customer]++
	q.held[r.Customer]++
	if _, ok := q.shares[r.Customer]; !ok {
		q.shares[r.Customer] = q.clock
	}
	q.waiting = append(q.waiting, t)
	q.supply = s
	t.timer = time.AfterFunc(r.Deadline.Sub(now), t.expire)
	g.settle(q)
	return t, nil
}

func (g *Controller) queue(target string) *queue {
	q, ok := g.queues[target]
	if !ok {
		q = &queue{target: target, shares: map[string]float64{}, held: map[string]int{}}
		g.queues[target] = q
	}
	return q
}

// SetCapacity tells what stands ready for a target, and answers every waiting
// request that this decides.
func (g *Controller) SetCapacity(target string, s Capacity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	q, ok := g.queues[target]
	if !ok {
		return
	}
	q.supply = s
	g.settle(q)
}

// settle grants what can run and refuses what cannot be met in time any more.
func (g *Controller) settle(q *queue) {
	now := g.cfg.Now()
	for q.running < q.supply.Slots && len(q.waiting) > 0 {
		order := q.inOrder()
		g.grant(q, order[0].ticket, now)
	}
	if len(q.waiting) == 0 || !q.supply.Known && q.supply.Slots == 0 {
		return
	}
	for place, o := range q.inOrder() {
		t := o.ticket
		wait, possible := g.estimate(q, place)
		if t.forecast == 0 {
			t.forecast = wait
		}
		if !possible {
			g.refuse(q, t, refusal.New(refusal.NoCapacity, "%s", q.supply.Reason).WithRetryAfter(g.retryAfter(q)))
			continue
		}
		if now.Add(wait + g.service[q.target]).After(t.request.Deadline) {
			g.refuse(q, t, refusal.New(refusal.TooLate,
				"an answer is expected in %v, after the deadline", (wait+g.service[q.target]).Round(time.Millisecond)).
				WithRetryAfter(wait))
		}
	}
}

// estimate is the expected wait of the request at a place in the queue.
func (g *Controller) estimate(q *queue, place int) (wait time.Duration, possible bool) {
	service := g.service[q.target]
	if q.supply.Slots > 0 {
		ahead := place + 1 + q.running - q.supply.Slots
		return time.Duration(float64(service) * float64(max(ahead, 0)) / float64(q.supply.Slots)), true
	}
	if q.supply.ReadyIn < 0 {
		return 0, false
	}
	rounds := place / max(q.supply.ExpectedSlots, 1)
	return q.supply.ReadyIn + time.Duration(rounds)*service, true
}

type place struct {
	ticket *Ticket
	tag    float64
}

// inOrder sorts the waiting by fair share between customers; one customer's
// own go by priority, then deadline. A burst of one customer moves only its own
// requests back.
func (q *queue) inOrder() []place {
	own := map[string][]*Ticket{}
	for _, t := range q.waiting {
		own[t.request.Customer] = append(own[t.request.Customer], t)
	}
	out := make([]place, 0, len(q.waiting))
	for customer, tickets := range own {
		slices.SortStableFunc(tickets, func(a, b *Ticket) int {
			return cmp.Or(cmp.Compare(b.request.Priority, a.request.Priority),
				a.request.Deadline.Compare(b.request.Deadline))
		})
		start := max(q.shares[customer], q.clock)
		for i, t := range tickets {
			out = append(out, place{t, start + float64(i)})
		}
	}
	slices.SortStableFunc(out, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.tag, b.tag), a.ticket.request.Deadline.Compare(b.ticket.request.Deadline),
			a.ticket.entered.Compare(b.ticket.entered))
	})
	return out
}

func (g *Controller) grant(q *queue, t *Ticket, now time.Time) {
	q.remove(t)
	customer := t.request.Customer
	q.clock = max(q.clock, q.shares[customer])
	q.shares[customer] = q.clock + 1
	q.running++
	t.state = ticketRunning
	t.granted = now
	if g.cfg.OnGrant != nil {
		g.cfg.OnGrant(t.forecast, now.Sub(t.entered))
	}
	t.verdict <- nil
}

func (g *Controller) refuse(q *queue, t *Ticket, r *refusal.Refusal) {
	q.remove(t)
	t.state = ticketOver
	if r.RetryAfter() > 0 {
		g.returning[q.target]++
	}
	t.verdict <- r
}

func (q *queue) remove(t *Ticket) {
	i := slices.Index(q.waiting, t)
	q.waiting = slices.Delete(q.waiting, i, i+1)
}

// expire answers a request whose deadline passed while it waited.
func (t *Ticket) expire() {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.state == ticketWaiting {
		t.gate.refuse(t.queue, t, refusal.New(refusal.DeadlinePassed, "the deadline passed in the queue").
			WithRetryAfter(t.gate.retryAfter(t.queue)))
	}
}

// Decision returns a channel that receives nil when the request may run, or the
// refusal.
func (t *Ticket) Decision() <-chan *refusal.Refusal { return t.verdict }

// Requeue puts a running request back into the queue, at its old place by time:
// its last attempt proved that it did not run.
func (t *Ticket) Requeue() {
	t.gate.mu.Lock()
	defer t.gate.mu.Unlock()
	if t.state != ticketRunning {
		return
	}
	q := t.queue
	q.running--
	t.state = ticketWaiting
	q.waiting = append(q.waiting, t)
	// The deadline's timer may have fired while the request ran.
	if !t.gate.cfg.Now().Before(t.request.Deadline) {
		t.gate.refuse(q, t, refusal.New(refusal.DeadlinePassed, "the deadline passed before another attempt"))
		return
	}
	q.shares[t.request.Customer] = max(q.shares[t.request.Customer]-1, 0)
	t.gate.settle(q)
}

// Release frees the request's place. With served, the time since the grant counts
// as a service time.
func (t *Ticket) Release(served bool) {
	g := t.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	t.timer.Stop()
	q := t.queue
	switch t.state {
	case ticketWaiting:
		q.remove(t)
	case ticketRunning:
		q.running--
		if served {
			g.learn(q.target, g.cfg.Now().Sub(t.granted))
		}
	case ticketOver:
	}
	t.state = ticketOver
	g.release(q, t.request.Customer)
	g.settle(q)
}

func (g *Controller) release(q *queue, customer string) {
	if g.customers[customer]--; g.customers[customer] == 0 {
		delete(g.customers, customer)
	}
	if q.held[customer]--; q.held[customer] == 0 {
		delete(q.held, customer)
		// A customer that comes back soon must not find its share renewed.
		if q.shares[customer] <= q.clock {
			delete(q.shares, customer)
		}
	}
	if len(q.held) == 0 {
		delete(g.queues, q.target)
	}
}

func (g *Controller) learn(target string, took time.Duration) {
	old, ok := g.service[target]
	if !ok {
		g.service[target] = took
		return
	}
	g.service[target] = old + time.Duration(smoothing*float64(took-old))
}

func (g *Controller) retryAfter(q *queue) time.Duration {
	if q == nil {
		return minRetryAfter
	}
	wait, possible := g.estimate(q, len(q.waiting))
	if !possible {
		return max(minRetryAfter, noCapacityRetry)
	}
	return max(minRetryAfter, wait)
}

// noCapacityRetry is when to ask again for a target that nothing can be loaded
// for at present.
const noCapacityRetry = 5 * time.Second

// Demand is what one target's queue looks like.
type Demand struct {
	Target           string
	Waiting          int
	Running          int
	Arrived          int
	EarliestDeadline time.Time
	Priority         int32
	// ExpectedRetries counts requests that were refused and told to come back.
	ExpectedRetries int
}

// TakeDemands returns the queues in use and counts arrivals since the last call.
func (g *Controller) TakeDemands() []Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Demand
	for target, q := range g.queues {
		d := Demand{
			Target: target, Waiting: len(q.waiting), Running: q.running,
			Arrived: g.arrivals[target], ExpectedRetries: g.returning[target],
		}
		delete(g.arrivals, target)
		for _, t := range q.waiting {
			if d.EarliestDeadline.IsZero() || t.request.Deadline.Before(d.EarliestDeadline) {
				d.EarliestDeadline = t.request.Deadline
			}
			d.Priority = max(d.Priority, t.request.Priority)
		}
		out = append(out, d)
	}
	for target, n := range g.arrivals {
		out = append(out, Demand{Target: target, Arrived: n, ExpectedRetries: g.returning[target]})
		delete(g.arrivals, target)
	}
	clear(g.returning)
	slices.SortFunc(out, func(a, b Demand) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// MeanServiceTime returns the mean service time of a target, or 0.
func (g *Controller) MeanServiceTime(target string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.service[target]
}

// Queues returns the queues in use, without counting arrivals.
func (g *Controller) Queues() []Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]Demand, 0, len(g.queues))
	for target, q := range g.queues {
		out = append(out, Demand{Target: target, Waiting: len(q.waiting), Running: q.running})
	}
	slices.SortFunc(out, func(a, b Demand) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// InFlight returns the number of requests that wait or run.
func (g *Controller) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, c := range g.customers {
		n += c
	}
	return n
}
