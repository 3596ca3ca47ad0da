package ledger

import (
	"cmp"
	"maps"
	"slices"

	"fennelyard/internal/schema"
)

// quotaHistoryKey is the key of the only record of granted quotas.
const quotaHistoryKey = "quota-history"

// QuotaHistory returns what leaders have granted of teams' quotas, in seconds, the newest first.
func (r *Records) QuotaHistory() []*schema.QuotaSlot {
	return r.byKey[quotaHistoryKey].GetQuotaHistory().GetSlots()
}

// rememberQuotaUse records what was granted of teams' quotas. After a power loss of all hosts nobody else knows, and the
// teams would get as much again within the same window.
func (l *Ledger) rememberQuotaUse(q *schema.RememberQuotaUse) *schema.Result {
	slots := l.records.QuotaHistory()
	newest := &schema.QuotaSlot{}
	if !q.GetNextSlot() && len(slots) > 0 {
		newest, slots = slots[0], slots[1:]
	}
	slots = append([]*schema.QuotaSlot{addAmounts(newest, q.GetAmounts())}, slots...)
	slots = slots[:min(len(slots), int(q.GetKeep()))]
	if !slices.ContainsFunc(slots, func(s *schema.QuotaSlot) bool { return len(s.GetAmounts()) > 0 }) {
		l.drop(quotaHistoryKey)
		return accepted()
	}
	l.put(&schema.Record{Key: quotaHistoryKey, Value: &schema.Record_QuotaHistory{QuotaHistory: &schema.QuotaHistory{Slots: slots}}})
	return accepted()
}

// addAmounts returns a slot with further amounts, ordered by team.
func addAmounts(s *schema.QuotaSlot, amounts []*schema.QuotaAmount) *schema.QuotaSlot {
	sums := map[string]float64{}
	for _, list := range [][]*schema.QuotaAmount{s.GetAmounts(), amounts} {
		for _, a := range list {
			sums[a.GetTeam()] += a.GetAmount()
		}
	}
	out := &schema.QuotaSlot{}
	for _, team := range slices.SortedFunc(maps.Keys(sums), cmp.Compare) {
		out.Amounts = append(out.Amounts, &schema.QuotaAmount{Team: team, Amount: sums[team]})
	}
	return out
}
