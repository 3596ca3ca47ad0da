package quota

import (
	"cmp"
	"slices"
	"time"

	"fennelyard/internal/schema"
)

// demand is what one receiver of grants needs of a team's quota.
type demand struct {
	receiver string
	// waiting is the cost of its waiting requests, since waitingSince.
	waiting      float64
	waitingSince time.Time
	// received is the sum of the grants that it has reported as received, and inFlight those that are
	// not among them.
	received float64
	inFlight []sentGrant
}

// sentGrant is a grant that was sent at a time.
type sentGrant struct {
	amount float64
	at     time.Time
}

// update applies the receiver's report.
func (d *demand) update(report *schema.QuotaDemand, now time.Time) {
	if d.waiting == 0 {
		d.waitingSince = now
	}
	d.waiting = report.GetWaiting()
	arrived := report.GetReceived() - d.received
	d.received = report.GetReceived()
	for len(d.inFlight) > 0 && arrived > 0 {
		first := &d.inFlight[0]
		if first.amount > arrived {
			first.amount -= arrived
			break
		}
		arrived -= first.amount
		d.inFlight = d.inFlight[1:]
	}
}

// unmet returns what the receiver needs beyond the grants on their way.
func (d *demand) unmet(now time.Time) float64 {
	d.inFlight = slices.DeleteFunc(d.inFlight, func(g sentGrant) bool { return now.Sub(g.at) > GrantLifetime })
	out := d.waiting
	for _, g := range d.inFlight {
		out -= g.amount
	}
	return max(out, 0)
}

// demands are the demands of all receivers for one team, by receiver.
type demands map[string]*demand

// update applies a receiver's report.
func (q demands) update(receiver string, report *schema.QuotaDemand, now time.Time) {
	d := q[receiver]
	if d == nil {
		d = &demand{receiver: receiver}
		q[receiver] = d
	}
	d.update(report, now)
}

// unmet returns the sum of what the receivers need beyond the grants on their way.
func (q demands) unmet(now time.Time) (sum float64) {
	for _, d := range q {
		sum += d.unmet(now)
	}
	return sum
}

// divide divides an amount among the receivers, the longest waiting first.
func (q demands) divide(available float64, now time.Time, give func(receiver string, amount float64)) {
	if available <= 0 {
		return
	}
	ordered := make([]*demand, 0, len(q))
	for _, d := range q {
		ordered = append(ordered, d)
	}
	slices.SortFunc(ordered, func(a, b *demand) int {
		return cmp.Or(a.waitingSince.Compare(b.waitingSince), cmp.Compare(a.receiver, b.receiver))
	})
	for _, d := range ordered {
		if amount := min(d.unmet(now), available); amount > 0 {
			available -= amount
			d.inFlight = append(d.inFlight, sentGrant{amount, now})
			give(d.receiver, amount)
		}
	}
}
