package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/quota"
	"fennelyard/internal/schema"
)

const (
	// leaseTime is how long a lease of doorman lasts without a refresh, and leaseBytes the size of a refresh and
	// its reply.
	leaseTime  = 1500 * time.Millisecond
	leaseBytes = 60
)

// doorman divides a quota by leases, as Google's Doorman does: each entry regularly reports what it wants of a window's
// budget and receives a capacity, proportional to what it wants if all want too much; together no more than the budget.
// An entry without a lease keeps to an equal part.
type doorman struct {
	quota         *schema.Quota
	random        *rand.Rand
	now           time.Time
	entries       []*leaseholder
	admitted      []float64
	requests      int
	refusedBelow  int
	bytes         int
	serverCrashed bool
}

// leaseholder is an entry with a lease.
type leaseholder struct {
	used, wanted []float64
	capacity     float64
	expires      time.Time
	// wants is what the server last received.
	wants float64
}

func newDoorman(entries int, q *schema.Quota) *doorman {
	d := &doorman{quota: q, random: rand.New(rand.NewPCG(7, 1)), now: start}
	for range entries {
		d.entries = append(d.entries, &leaseholder{})
	}
	return d
}

// last returns the sum of the last amounts of some time.
func last(amounts []float64, time time.Duration) (sum float64) {
	for _, a := range amounts[max(len(amounts)-int(time/step), 0):] {
		sum += a
	}
	return sum
}

// run sends requests with a total cost of perSecond to the entries that pick returns.
func (d *doorman) run(length time.Duration, perSecond float64, pick func() int) {
	budget := quota.Budget(d.quota, window)
	for end := d.now.Add(length); d.now.Before(end); d.now = d.now.Add(step) {
		d.admitted = append(d.admitted, 0)
		for _, e := range d.entries {
			e.used, e.wanted = append(e.used, 0), append(e.wanted, 0)
		}
		for due := perSecond * step.Seconds(); due > 0; {
			cost := 2000 + 14000*d.random.Float64()
			if d.random.Float64() > due/cost {
				break
			}
			due -= cost
			d.request(d.entries[pick()], cost, budget)
		}
		for i, e := range d.entries {
			if elapsed := d.now.Sub(start) + time.Duration(i)*step; elapsed%entryReportInterval == 0 && !d.serverCrashed {
				d.refresh(e, budget)
			}
		}
	}
}

func (d *doorman) request(e *leaseholder, cost, budget float64) {
	d.requests++
	n := len(d.admitted) - 1
	e.wanted[n] += cost
	capacity := budget / float64(len(d.entries))
	if d.now.Before(e.expires) {
		capacity = e.capacity
	}
	if last(e.used, window)+cost <= capacity {
		e.used[n] += cost
		d.admitted[n] += cost
		return
	}
	if last(d.admitted, window)+cost <= budget {
		d.refusedBelow++
	}
}

// refresh renews an entry's lease.
func (d *doorman) refresh(e *leaseholder, budget float64) {
	d.bytes += leaseBytes
	e.wants = max(last(e.wanted, window), last(e.wanted, window/4)*4)
	wants, leased := 0.0, 0.0
	for _, other := range d.entries {
		wants += other.wants
		if other != e && d.now.Before(other.expires) {
			leased += other.capacity
		}
	}
	capacity := e.wants + (budget-wants)/float64(len(d.entries))
	if wants > budget {
		capacity = budget * e.wants / wants
	}
	e.capacity, e.expires = max(min(capacity, budget-leased), 0), d.now.Add(leaseTime)
}

// Prints what leases of Doorman and grants do under the same loads; -v. Grants must refuse less below a quota, and no
// window may hold more.
func TestGrantsRefuseLessThanLeases(t *testing.T) {
	for _, rate := range []float64{20_000, 600_000} {
		q := &schema.Quota{Tokens: true, RatePerSecond: rate, Burst: rate}
		budget := quota.Budget(q, window)
		for _, entries := range []int{8, 76, 300} {
			for name, times := range map[string][]float64{"steady 0.6": {0.6}, "steady 0.9": {0.9}, "jump 1.5": {0.5, 1.5}, "jump 4.4": {0.5, 4.4}, "jump 20": {0.5, 20}} {
				f, d := newFleet(7, entries, q), newDoorman(entries, q)
				f.bytes = 0
				for _, x := range times {
					f.run(16*time.Second, x*rate, func() int { return f.random.IntN(entries) })
					d.run(16*time.Second, x*rate, func() int { return d.random.IntN(entries) })
				}
				seconds := 16 * len(times)
				grants, leases := f.maxInWindow()/budget, (&fleet{admitted: d.admitted}).maxInWindow()/budget
				t.Log(fmt.Sprintf("rate %6.0f, %3d entries, %-10s: grants %.3f of the budget, %.3f refused below it, %d B/s; leases %.3f, %.3f, %d B/s; %.2f waited %s",
					rate, entries, name, grants, float64(f.refusedBelow)/float64(f.requests), f.bytes/entries/seconds,
					leases, float64(d.refusedBelow)/float64(d.requests), d.bytes/entries/seconds,
					float64(f.waited)/float64(f.requests), (f.waitSum / time.Duration(max(f.waited, 1))).Round(time.Millisecond)))
				require.LessOrEqual(t, grants, 1+maxOverage)
				if len(times) == 1 {
					require.LessOrEqual(t, float64(f.refusedBelow)/float64(f.requests), float64(d.refusedBelow)/float64(d.requests)+0.02)
				}
			}
		}
	}
}
