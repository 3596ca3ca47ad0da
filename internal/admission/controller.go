// Package admission decides which queued request of an entry runs next, and
// immediately refuses requests that cannot complete before their deadline.
package admission

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"fennelyard/internal/refusal"
)

const (
	// DefaultCustomerLimit bounds the requests of one customer that wait or run
	// in one entry.
	DefaultCustomerLimit = 256
	// minRetryAfter keeps refused callers from retrying immediately.
	minRetryAfter = 250 * time.Millisecond
	// smoothingFactor is the weight of a new service time in the exponential
	// moving average.
	smoothingFactor = 0.1
)

// Config configures a Controller. QueueLimit is required.
type Config struct {
	// QueueLimit bounds the requests that wait for one target.
	QueueLimit int
	// Now returns the time; nil: time.Now.
	Now func() time.Time
	// OnGrant, if set, is called with the forecast and the actual wait of each
	// granted request. It must not block.
	OnGrant func(forecast, actual time.Duration)
}

// Request holds the attributes of a request that admission depends on.
type Request struct {
	Customer string
	// CustomerLimit bounds the customer's requests in this entry; 0 means
	// DefaultCustomerLimit.
	CustomerLimit int
	Target        string
	Priority      int32
	Deadline      time.Time
}

// Capacity is the capacity available to a target.
type Capacity struct {
	// Slots is the number of requests that may run at once.
	Slots int
	// ReadyIn is the time until slots become available if there are none, or
	// negative if none will. It is valid only if Known is set: Known is false
	// until there is a forecast.
	ReadyIn time.Duration
	Known   bool
	// ExpectedSlots is the number of slots expected after ReadyIn.
	ExpectedSlots int
	// Reason is the message of a refusal if no slots will become available.
	Reason string
}

// Controller holds the queues of an entry. All methods are safe for concurrent
// use.
type Controller struct {
	cfg Config
	mu  sync.Mutex
	// queues, by target, and customers, the requests by customer, have entries
	// only for requests that wait or run.
	queues    map[string]*queue
	customers map[string]int
	// serviceTimes holds the mean service time by target.
	serviceTimes map[string]time.Duration
	// arrivals and expectedRetries count, by target, the requests and the
	// refusals with a retry time since the last call of TakeDemands.
	arrivals        map[string]int
	expectedRetries map[string]int
}

type queue struct {
	target   string
	capacity Capacity
	waiting  []*Ticket
	running  int
	// virtualTime is the virtual time of the latest grant; customerTimes holds the
	// virtual time of each customer with requests in this queue.
	virtualTime   float64
	customerTimes map[string]float64
	// requests counts the waiting and running requests by customer.
	requests map[string]int
}

// Ticket is an admitted request. Its holder must call Release exactly once.
type Ticket struct {
	controller *Controller
	queue      *queue
	request    Request
	// enqueued is the time of admission, grantedAt that of the last grant.
	enqueued  time.Time
	grantedAt time.Time
	// forecastWait is the first estimate of the wait.
	forecastWait time.Duration
	// decision receives nil for a grant, or a refusal, once per wait.
	decision chan *refusal.Refusal
	state    ticketState
	timer    *time.Timer
}

type ticketState int

const (
	ticketWaiting ticketState = iota
	ticketRunning
	ticketFinished
)

// NewController returns a Controller with empty queues.
func NewController(cfg Config) *Controller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Controller{
		cfg: cfg, queues: map[string]*queue{}, customers: map[string]int{},
		serviceTimes: map[string]time.Duration{}, arrivals: map[string]int{}, expectedRetries: map[string]int{},
	}
}

// Admit queues a request, or refuses it immediately. capacity is the current
// capacity of the request's target.
func (c *Controller) Admit(r Request, capacity Capacity) (*Ticket, *refusal.Refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	c.arrivals[r.Target]++
	if !now.Before(r.Deadline) {
		return nil, refusal.New(refusal.DeadlinePassed, "the deadline has passed on arrival")
	}
	limit := cmp.Or(r.CustomerLimit, DefaultCustomerLimit)
	if c.customers[r.Customer] >= limit {
		return nil, refusal.New(refusal.CustomerLimit, "customer %q has %d requests here already", r.Customer, limit).
			WithRetryAfter(c.retryAfter(c.queues[r.Target]))
	}
	q := c.queue(r.Target)
	if len(q.waiting) >= c.cfg.QueueLimit {
		return nil, refusal.New(refusal.QueueFull, "%d requests wait for %q", len(q.waiting), r.Target).
			WithRetryAfter(c.retryAfter(q))
	}
	t := &Ticket{controller: c, queue: q, request: r, enqueued: now, decision: make(chan *refusal.Refusal, 1)}
	c.customers[r.Customer]++
	q.requests[r.Customer]++
	if _, ok := q.customerTimes[r.Customer]; !ok {
		q.customerTimes[r.Customer] = q.virtualTime
	}
	q.waiting = append(q.waiting, t)
	q.capacity = capacity
	t.timer = time.AfterFunc(r.Deadline.Sub(now), t.expire)
	c.dispatch(q)
	return t, nil
}

func (c *Controller) queue(target string) *queue {
	q, ok := c.queues[target]
	if !ok {
		q = &queue{target: target, customerTimes: map[string]float64{}, requests: map[string]int{}}
		c.queues[target] = q
	}
	return q
}

// SetCapacity sets the capacity of a target, and grants or refuses the waiting
// requests that this decides.
func (c *Controller) SetCapacity(target string, capacity Capacity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q, ok := c.queues[target]
	if !ok {
		return
	}
	q.capacity = capacity
	c.dispatch(q)
}

// dispatch grants requests while there are free slots, and refuses those that
// can no longer complete before their deadline.
func (c *Controller) dispatch(q *queue) {
	now := c.cfg.Now()
	for q.running < q.capacity.Slots && len(q.waiting) > 0 {
		order := q.dispatchOrder()
		c.grant(q, order[0].ticket, now)
	}
	if len(q.waiting) == 0 || !q.capacity.Known && q.capacity.Slots == 0 {
		return
	}
	for position, queued := range q.dispatchOrder() {
		t := queued.ticket
		wait, possible := c.estimate(q, position)
		if t.forecastWait == 0 {
			t.forecastWait = wait
		}
		if !possible {
			c.refuse(q, t, refusal.New(refusal.NoCapacity, "%s", q.capacity.Reason).WithRetryAfter(c.retryAfter(q)))
			continue
		}
		if now.Add(wait + c.serviceTimes[q.target]).After(t.request.Deadline) {
			c.refuse(q, t, refusal.New(refusal.TooLate,
				"an answer is expected in %v, after the deadline", (wait+c.serviceTimes[q.target]).Round(time.Millisecond)).
				WithRetryAfter(wait))
		}
	}
}

// estimate returns the expected wait of the request at a position in the queue;
// possible is false if no capacity will become available.
func (c *Controller) estimate(q *queue, position int) (wait time.Duration, possible bool) {
	serviceTime := c.serviceTimes[q.target]
	if q.capacity.Slots > 0 {
		ahead := position + 1 + q.running - q.capacity.Slots
		return time.Duration(float64(serviceTime) * float64(max(ahead, 0)) / float64(q.capacity.Slots)), true
	}
	if q.capacity.ReadyIn < 0 {
		return 0, false
	}
	rounds := position / max(q.capacity.ExpectedSlots, 1)
	return q.capacity.ReadyIn + time.Duration(rounds)*serviceTime, true
}

// queuedTicket is a waiting ticket with its start tag, the virtual time at which
// fair queuing starts it.
type queuedTicket struct {
	ticket   *Ticket
	startTag float64
}

// dispatchOrder returns the waiting tickets in the order of fair queuing between
// customers, and by priority, then deadline, among the tickets of one customer.
// A burst of one customer delays only its own requests.
func (q *queue) dispatchOrder() []queuedTicket {
	byCustomer := map[string][]*Ticket{}
	for _, t := range q.waiting {
		byCustomer[t.request.Customer] = append(byCustomer[t.request.Customer], t)
	}
	out := make([]queuedTicket, 0, len(q.waiting))
	for customer, tickets := range byCustomer {
		slices.SortStableFunc(tickets, func(a, b *Ticket) int {
			return cmp.Or(cmp.Compare(b.request.Priority, a.request.Priority),
				a.request.Deadline.Compare(b.request.Deadline))
		})
		start := max(q.customerTimes[customer], q.virtualTime)
		for i, t := range tickets {
			out = append(out, queuedTicket{t, start + float64(i)})
		}
	}
	slices.SortStableFunc(out, func(a, b queuedTicket) int {
		return cmp.Or(cmp.Compare(a.startTag, b.startTag), a.ticket.request.Deadline.Compare(b.ticket.request.Deadline),
			a.ticket.enqueued.Compare(b.ticket.enqueued))
	})
	return out
}

func (c *Controller) grant(q *queue, t *Ticket, now time.Time) {
	q.remove(t)
	customer := t.request.Customer
	q.virtualTime = max(q.virtualTime, q.customerTimes[customer])
	q.customerTimes[customer] = q.virtualTime + 1
	q.running++
	t.state = ticketRunning
	t.grantedAt = now
	if c.cfg.OnGrant != nil {
		c.cfg.OnGrant(t.forecastWait, now.Sub(t.enqueued))
	}
	t.decision <- nil
}

func (c *Controller) refuse(q *queue, t *Ticket, r *refusal.Refusal) {
	q.remove(t)
	t.state = ticketFinished
	if r.RetryAfter() > 0 {
		c.expectedRetries[q.target]++
	}
	t.decision <- r
}

func (q *queue) remove(t *Ticket) {
	i := slices.Index(q.waiting, t)
	q.waiting = slices.Delete(q.waiting, i, i+1)
}

// expire refuses a request whose deadline passes while it waits.
func (t *Ticket) expire() {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	if t.state == ticketWaiting {
		t.controller.refuse(t.queue, t, refusal.New(refusal.DeadlinePassed, "the deadline passed in the queue").
			WithRetryAfter(t.controller.retryAfter(t.queue)))
	}
}

// Decision returns a channel that receives nil when the request may run, or a
// refusal.
func (t *Ticket) Decision() <-chan *refusal.Refusal { return t.decision }

// Requeue returns a running request to the queue in its previous position: its
// last attempt is proved not to have run.
func (t *Ticket) Requeue() {
	t.controller.mu.Lock()
	defer t.controller.mu.Unlock()
	if t.state != ticketRunning {
		return
	}
	q := t.queue
	q.running--
	t.state = ticketWaiting
	q.waiting = append(q.waiting, t)
	// The deadline timer may have fired while the request ran.
	if !t.controller.cfg.Now().Before(t.request.Deadline) {
		t.controller.refuse(q, t, refusal.New(refusal.DeadlinePassed, "the deadline passed before another attempt"))
		return
	}
	q.customerTimes[t.request.Customer] = max(q.customerTimes[t.request.Customer]-1, 0)
	t.controller.dispatch(q)
}

// Release removes the request. If served is true, the time since the grant is
// recorded as a service time.
func (t *Ticket) Release(served bool) {
	c := t.controller
	c.mu.Lock()
	defer c.mu.Unlock()
	t.timer.Stop()
	q := t.queue
	switch t.state {
	case ticketWaiting:
		q.remove(t)
	case ticketRunning:
		q.running--
		if served {
			c.recordServiceTime(q.target, c.cfg.Now().Sub(t.grantedAt))
		}
	case ticketFinished:
	}
	t.state = ticketFinished
	c.removeRequest(q, t.request.Customer)
	c.dispatch(q)
}

func (c *Controller) removeRequest(q *queue, customer string) {
	if c.customers[customer]--; c.customers[customer] == 0 {
		delete(c.customers, customer)
	}
	if q.requests[customer]--; q.requests[customer] == 0 {
		delete(q.requests, customer)
		// A customer ahead of the virtual time keeps its own time: otherwise a
		// customer that sends again soon would regain its fair share.
		if q.customerTimes[customer] <= q.virtualTime {
			delete(q.customerTimes, customer)
		}
	}
	if len(q.requests) == 0 {
		delete(c.queues, q.target)
	}
}

func (c *Controller) recordServiceTime(target string, serviceTime time.Duration) {
	old, ok := c.serviceTimes[target]
	if !ok {
		c.serviceTimes[target] = serviceTime
		return
	}
	c.serviceTimes[target] = old + time.Duration(smoothingFactor*float64(serviceTime-old))
}

func (c *Controller) retryAfter(q *queue) time.Duration {
	if q == nil {
		return minRetryAfter
	}
	wait, possible := c.estimate(q, len(q.waiting))
	if !possible {
		return max(minRetryAfter, noCapacityRetryAfter)
	}
	return max(minRetryAfter, wait)
}

// noCapacityRetryAfter is the retry time of requests for a target that currently
// cannot be loaded.
const noCapacityRetryAfter = 5 * time.Second

// Demand describes the queue of one target.
type Demand struct {
	Target           string
	Waiting          int
	Running          int
	Arrived          int
	EarliestDeadline time.Time
	Priority         int32
	// ExpectedRetries counts refused requests that were given a time to retry.
	ExpectedRetries int
}

// TakeDemands returns the queues in use, with the arrivals and expected retries
// since the last call, and resets these counts.
func (c *Controller) TakeDemands() []Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Demand
	for target, q := range c.queues {
		d := Demand{
			Target: target, Waiting: len(q.waiting), Running: q.running,
			Arrived: c.arrivals[target], ExpectedRetries: c.expectedRetries[target],
		}
		delete(c.arrivals, target)
		for _, t := range q.waiting {
			if d.EarliestDeadline.IsZero() || t.request.Deadline.Before(d.EarliestDeadline) {
				d.EarliestDeadline = t.request.Deadline
			}
			d.Priority = max(d.Priority, t.request.Priority)
		}
		out = append(out, d)
	}
	for target, n := range c.arrivals {
		out = append(out, Demand{Target: target, Arrived: n, ExpectedRetries: c.expectedRetries[target]})
		delete(c.arrivals, target)
	}
	clear(c.expectedRetries)
	slices.SortFunc(out, func(a, b Demand) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// MeanServiceTime returns the mean service time of a target, or 0 if none is
// known.
func (c *Controller) MeanServiceTime(target string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.serviceTimes[target]
}

// Queues returns the queues in use, without arrivals and expected retries.
func (c *Controller) Queues() []Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Demand, 0, len(c.queues))
	for target, q := range c.queues {
		out = append(out, Demand{Target: target, Waiting: len(q.waiting), Running: q.running})
	}
	slices.SortFunc(out, func(a, b Demand) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// InFlight returns the number of requests that wait or run.
func (c *Controller) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, count := range c.customers {
		n += count
	}
	return n
}
