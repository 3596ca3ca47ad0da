package quota

import "time"

// ring sums amounts over a sliding window by slots of time. A slot counts until all of it has left the window.
type ring struct {
	start      time.Time
	slotLength time.Duration
	amounts    []float64
	// newest is the number of the newest slot.
	newest int64
}

// newRing returns a ring for a window, with slots of a length.
func newRing(start time.Time, window, slotLength time.Duration) *ring {
	slots := int64((window + slotLength - 1) / slotLength)
	return &ring{start: start, slotLength: slotLength, amounts: make([]float64, slots+1), newest: slots}
}

func (r *ring) slotAt(at time.Time) int64 {
	return int64(at.Sub(r.start)/r.slotLength) + int64(len(r.amounts)) - 1
}

// advance clears the slots that have left the window.
func (r *ring) advance(now time.Time) {
	slot := r.slotAt(now)
	if slot-r.newest >= int64(len(r.amounts)) {
		clear(r.amounts)
		r.newest = slot
		return
	}
	for r.newest < slot {
		r.newest++
		r.amounts[r.newest%int64(len(r.amounts))] = 0
	}
}

// add adds an amount of a time; one that has left the window is ignored.
func (r *ring) add(at, now time.Time, amount float64) {
	r.advance(now)
	slot := min(r.slotAt(at), r.newest)
	if slot < 0 || r.newest-slot >= int64(len(r.amounts)) {
		return
	}
	r.amounts[slot%int64(len(r.amounts))] += amount
}

// sum returns the sum of the newest n slots.
func (r *ring) sum(now time.Time, n int) float64 {
	r.advance(now)
	total := 0.0
	for i := range int64(min(n, len(r.amounts))) {
		if slot := r.newest - i; slot >= 0 {
			total += r.amounts[slot%int64(len(r.amounts))]
		}
	}
	return total
}

// total returns the sum of the whole window.
func (r *ring) total(now time.Time) float64 { return r.sum(now, len(r.amounts)) }

// ageParts is the number of parts in which the amounts of a window are reported by their age.
const ageParts = 16

// byAge returns the amounts in ageParts equal parts of the window, the newest first; nil if there are none.
func (r *ring) byAge(now time.Time) []float64 {
	r.advance(now)
	out, part, empty := make([]float64, ageParts), r.partSlots(), true
	for i := range int64(len(r.amounts)) {
		if slot := r.newest - i; slot >= 0 {
			amount := max(r.amounts[slot%int64(len(r.amounts))], 0)
			out[min(i/part, ageParts-1)] += amount
			empty = empty && amount == 0
		}
	}
	if empty {
		return nil
	}
	return out
}

// partSlots is the number of slots of a part of byAge.
func (r *ring) partSlots() int64 { return int64(len(r.amounts)) / ageParts }

// addByAge adds amounts by their age, as from byAge of a ring with the same window, each as of the end of its part.
func (r *ring) addByAge(amounts []float64, now time.Time) {
	for i, amount := range amounts {
		r.add(now.Add(-time.Duration(int64(i)*r.partSlots())*r.slotLength), now, amount)
	}
}
