package admission_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fennelyard/internal/admission"
	"fennelyard/internal/refusal"
)

func newRequest(customer string, timeout time.Duration) admission.Request {
	return admission.Request{Customer: customer, Target: "m", Deadline: time.Now().Add(timeout)}
}

func admit(t *testing.T, c *admission.Controller, r admission.Request, capacity admission.Capacity) *admission.Ticket {
	t.Helper()
	ticket, refused := c.Admit(r, capacity)
	require.Nil(t, refused)
	return ticket
}

var (
	unknownCapacity = admission.Capacity{}
	oneSlot         = admission.Capacity{Slots: 1, Known: true}
)

// A request must be refused, with a retry time, as soon as a forecast shows that it
// cannot complete before its deadline, not when the deadline passes. A request that
// can still complete keeps waiting.
func TestRefusedOnForecast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := admission.NewController(admission.Config{QueueLimit: 10})
		short := admit(t, c, newRequest("a", time.Second), unknownCapacity)
		long := admit(t, c, newRequest("a", time.Minute), unknownCapacity)
		start := time.Now()
		c.SetCapacity("m", admission.Capacity{Known: true, ReadyIn: 10 * time.Second, ExpectedSlots: 4})
		r := <-short.Decision()
		require.NotNil(t, r)
		assert.Equal(t, refusal.TooLate, r.Code())
		assert.Equal(t, refusal.NotRun, r.Outcome())
		assert.Equal(t, 10*time.Second, r.RetryAfter())
		assert.Equal(t, start, time.Now())
		c.SetCapacity("m", oneSlot)
		assert.Nil(t, <-long.Decision())
		short.Release(false)
		long.Release(true)
		assert.Zero(t, c.InFlight())
	})
}

func TestDeadlinePassesInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := admission.NewController(admission.Config{QueueLimit: 10})
		ticket := admit(t, c, newRequest("a", 2*time.Second), unknownCapacity)
		start := time.Now()
		r := <-ticket.Decision()
		assert.Equal(t, refusal.DeadlinePassed, r.Code())
		assert.Equal(t, 2*time.Second, time.Since(start))
		ticket.Release(false)
	})
}

func TestRefusedWithoutExpectedCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := admission.NewController(admission.Config{QueueLimit: 10})
		ticket := admit(t, c, newRequest("a", time.Minute), admission.Capacity{Known: true, ReadyIn: -1, Reason: "no room"})
		r := <-ticket.Decision()
		assert.Equal(t, refusal.NoCapacity, r.Code())
		assert.Positive(t, r.RetryAfter())
		ticket.Release(false)
	})
}

// A burst of one customer must not starve another: with one slot and twenty queued
// requests of customer a, the first request of customer b is granted after at most
// one of them.
func TestBurstDoesNotStarveOtherCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := admission.NewController(admission.Config{QueueLimit: 100})
		running := admit(t, c, newRequest("a", time.Hour), oneSlot)
		require.Nil(t, <-running.Decision())
		var burst []*admission.Ticket
		for range 20 {
			burst = append(burst, admit(t, c, newRequest("a", time.Hour), oneSlot))
		}
		other := admit(t, c, newRequest("b", time.Hour), oneSlot)
		grantedBefore := 0
		running.Release(true)
		for served := false; !served; {
			select {
			case <-other.Decision():
				served = true
			default:
				for _, queued := range burst {
					select {
					case <-queued.Decision():
						grantedBefore++
						queued.Release(true)
					default:
					}
				}
			}
		}
		assert.LessOrEqual(t, grantedBefore, 1)
	})
}

func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := admission.NewController(admission.Config{QueueLimit: 2})
		r := newRequest("a", time.Minute)
		r.CustomerLimit = 1
		first := admit(t, c, r, unknownCapacity)
		_, refused := c.Admit(r, unknownCapacity)
		assert.Equal(t, refusal.CustomerLimit, refused.Code())
		second := admit(t, c, newRequest("b", time.Minute), unknownCapacity)
		_, refused = c.Admit(newRequest("c", time.Minute), unknownCapacity)
		assert.Equal(t, refusal.QueueFull, refused.Code())
		_, refused = c.Admit(newRequest("c", 0), unknownCapacity)
		assert.Equal(t, refusal.DeadlinePassed, refused.Code())
		first.Release(false)
		second.Release(false)
	})
}

// A request whose attempt is proved not to have run returns to the queue and is
// granted before requests that arrived later.
func TestRequeueKeepsPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := admission.NewController(admission.Config{QueueLimit: 10})
		first := admit(t, c, newRequest("a", time.Minute), oneSlot)
		require.Nil(t, <-first.Decision())
		second := admit(t, c, newRequest("a", time.Hour), oneSlot)
		first.Requeue()
		require.Nil(t, <-first.Decision())
		select {
		case <-second.Decision():
			assert.Fail(t, "the later request was granted first")
		default:
		}
		first.Release(true)
		require.Nil(t, <-second.Decision())
		second.Release(true)
	})
}

// At four times the load that one slot can serve, every request gets a response or a
// refusal, none is served after its deadline, and most of the slot's time is spent
// on requests whose callers still wait.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const serviceTime = 100 * time.Millisecond
		c := admission.NewController(admission.Config{QueueLimit: 50})
		served, late, refusals := 0, 0, 0
		const offered = 400
		results := make(chan string, offered)
		for range offered {
			go func() {
				deadline := time.Now().Add(time.Second)
				ticket, refused := c.Admit(admission.Request{Customer: "a", CustomerLimit: 1000, Target: "m", Deadline: deadline}, oneSlot)
				if refused != nil {
					results <- "refused"
					return
				}
				if r := <-ticket.Decision(); r != nil {
					ticket.Release(false)
					results <- "refused"
					return
				}
				time.Sleep(serviceTime)
				ticket.Release(true)
				if time.Now().After(deadline) {
					results <- "late"
					return
				}
				results <- "served"
			}()
			time.Sleep(serviceTime / 4)
		}
		for range offered {
			count(<-results, &served, &late, &refusals)
		}
		t.Logf("%d offered: %d served, %d late, %d refused", offered, served, late, refusals)
		assert.Zero(t, late)
		assert.Greater(t, served, offered/5)
		assert.Zero(t, c.InFlight())
	})
}

func count(r string, served, late, refused *int) {
	switch r {
	case "served":
		*served++
	case "late":
		*late++
	default:
		*refused++
	}
}
