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
	// waiting is the cost of its waiting requests, since waitingSince, and wanted that of requests it expects.
	waiting, wanted float64
	waitingSince    time.Time
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
	d.waiting, d.wanted = report.GetWaiting(), report.GetWanted()
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
func (d *demand) unmet(now time.Time) (waiting, wanted float64) {
	d.inFlight = slices.DeleteFunc(d.inFlight, func(g sentGrant) bool { return now.Sub(g.at) > GrantLifetime })
	inFlight := 0.0
	for _, g := range d.inFlight {
		inFlight += g.amount
	}
	return max(d.waiting-inFlight, 0), max(d.wanted-max(inFlight-d.waiting, 0), 0)
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

// unmet returns the sums of what the receivers need beyond the grants on their way.
func (q demands) unmet(now time.Time) (waiting, wanted float64) {
	for _, d := range q {
		w, v := d.unmet(now)
		waiting, wanted = waiting+w, wanted+v
	}
	return waiting, wanted
}

// divide divides an amount among the receivers, first for waiting requests, the longest waiting first. What is left
// beyond a reserve is divided for expected ones.
func (q demands) divide(available, reserve float64, now time.Time, give func(receiver string, amount float64)) {
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
	amounts, total := make([]float64, len(ordered)), 0.0
	for i, d := range ordered {
		waiting, wanted := d.unmet(now)
		amounts[i] = min(waiting, available)
		available -= amounts[i]
		total += wanted
	}
	part := 0.0
	if total > 0 {
		part = min(max(available-reserve, 0)/total, 1)
	}
	for i, d := range ordered {
		_, wanted := d.unmet(now)
		if amount := amounts[i] + wanted*part; amount > 0 {
			d.inFlight = append(d.inFlight, sentGrant{amount, now})
			give(d.receiver, amount)
		}
	}
}
