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

func ask(customer string, in time.Duration) admission.Request {
	return admission.Request{Customer: customer, Target: "m", Deadline: time.Now().Add(in)}
}

func enter(t *testing.T, g *admission.Controller, r admission.Request, s admission.Capacity) *admission.Ticket {
	t.Helper()
	ticket, refused := g.Admit(r, s)
	require.Nil(t, refused)
	return ticket
}

var (
	nothing = admission.Capacity{}
	oneSlot = admission.Capacity{Slots: 1, Known: true}
)

// TestFinalAnswersComeAtOnce: as soon as a forecast says that a request cannot
// be met, it is refused, with the time to come back; one that can be met waits.
func TestFinalAnswersComeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := admission.NewController(admission.Config{QueueLimit: 10})
		short := enter(t, g, ask("a", time.Second), nothing)
		long := enter(t, g, ask("a", time.Minute), nothing)
		began := time.Now()
		g.SetCapacity("m", admission.Capacity{Known: true, ReadyIn: 10 * time.Second, ExpectedSlots: 4})
		r := <-short.Decision()
		require.NotNil(t, r)
		assert.Equal(t, refusal.TooLate, r.Code())
		assert.Equal(t, refusal.NotRun, r.Outcome())
		assert.Equal(t, 10*time.Second, r.RetryAfter())
		assert.Equal(t, began, time.Now())
		g.SetCapacity("m", oneSlot)
		assert.Nil(t, <-long.Decision())
		short.Release(false)
		long.Release(true)
		assert.Zero(t, g.InFlight())
	})
}

func TestDeadlineInTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := admission.NewController(admission.Config{QueueLimit: 10})
		ticket := enter(t, g, ask("a", 2*time.Second), nothing)
		began := time.Now()
		r := <-ticket.Decision()
		assert.Equal(t, refusal.DeadlinePassed, r.Code())
		assert.Equal(t, 2*time.Second, time.Since(began))
		ticket.Release(false)
	})
}

func TestNothingWillComeIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := admission.NewController(admission.Config{QueueLimit: 10})
		ticket := enter(t, g, ask("a", time.Minute), admission.Capacity{Known: true, ReadyIn: -1, Reason: "no room"})
		r := <-ticket.Decision()
		assert.Equal(t, refusal.NoCapacity, r.Code())
		assert.Positive(t, r.RetryAfter())
		ticket.Release(false)
	})
}

// TestOneCustomersBurstDoesNotStarveAnother: customer a has twenty requests in
// the queue when b's first one comes. With one slot, b is next but one.
func TestOneCustomersBurstDoesNotStarveAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := admission.NewController(admission.Config{QueueLimit: 100})
		running := enter(t, g, ask("a", time.Hour), oneSlot)
		require.Nil(t, <-running.Decision())
		var burst []*admission.Ticket
		for range 20 {
			burst = append(burst, enter(t, g, ask("a", time.Hour), oneSlot))
		}
		other := enter(t, g, ask("b", time.Hour), oneSlot)
		before := 0
		running.Release(true)
		for served := false; !served; {
			select {
			case <-other.Decision():
				served = true
			default:
				for _, x := range burst {
					select {
					case <-x.Decision():
						before++
						x.Release(true)
					default:
					}
				}
			}
		}
		assert.LessOrEqual(t, before, 1)
	})
}

func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := admission.NewController(admission.Config{QueueLimit: 2})
		r := ask("a", time.Minute)
		r.CustomerLimit = 1
		first := enter(t, g, r, nothing)
		_, refused := g.Admit(r, nothing)
		assert.Equal(t, refusal.CustomerLimit, refused.Code())
		second := enter(t, g, ask("b", time.Minute), nothing)
		_, refused = g.Admit(ask("c", time.Minute), nothing)
		assert.Equal(t, refusal.QueueFull, refused.Code())
		_, refused = g.Admit(ask("c", 0), nothing)
		assert.Equal(t, refusal.DeadlinePassed, refused.Code())
		first.Release(false)
		second.Release(false)
	})
}

// TestAnotherAttemptKeepsItsPlace: a request whose attempt proved that it did
// not run goes back into the queue and is granted before what came later.
func TestAnotherAttemptKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := admission.NewController(admission.Config{QueueLimit: 10})
		first := enter(t, g, ask("a", time.Minute), oneSlot)
		require.Nil(t, <-first.Decision())
		second := enter(t, g, ask("a", time.Hour), oneSlot)
		first.Requeue()
		require.Nil(t, <-first.Decision())
		select {
		case <-second.Decision():
			assert.Fail(t, "the later one went first")
		default:
		}
		first.Release(true)
		require.Nil(t, <-second.Decision())
		second.Release(true)
	})
}

// TestOverload offers four times what one slot can serve. Everyone gets a final
// answer, nobody is served after the deadline, and most of the slot's time goes
// into answers that were still wanted.
func TestOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const service = 100 * time.Millisecond
		g := admission.NewController(admission.Config{QueueLimit: 50})
		served, late, refusedAtOnce := 0, 0, 0
		const offered = 400
		results := make(chan string, offered)
		for range offered {
			go func() {
				deadline := time.Now().Add(time.Second)
				ticket, refused := g.Admit(admission.Request{Customer: "a", CustomerLimit: 1000, Target: "m", Deadline: deadline}, oneSlot)
				if refused != nil {
					results <- "refused"
					return
				}
				if r := <-ticket.Decision(); r != nil {
					ticket.Release(false)
					results <- "refused"
					return
				}
				time.Sleep(service)
				ticket.Release(true)
				if time.Now().After(deadline) {
					results <- "late"
					return
				}
				results <- "served"
			}()
			time.Sleep(service / 4)
		}
		for range offered {
			count(<-results, &served, &late, &refusedAtOnce)
		}
		t.Logf("%d offered: %d served, %d late, %d refused", offered, served, late, refusedAtOnce)
		assert.Zero(t, late)
		assert.Greater(t, served, offered/5)
		assert.Zero(t, g.InFlight())
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
