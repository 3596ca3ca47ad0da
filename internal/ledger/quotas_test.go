package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/ledger"
	"fennelyard/internal/schema"
)

// What was granted of quotas must survive a snapshot, or a leader after a power loss of all hosts would grant it again.
func TestGrantedQuotasAreRecorded(t *testing.T) {
	l := ledger.New()
	index := uint64(0)
	remember := func(next bool, amounts ...*schema.QuotaAmount) {
		index++
		data, err := proto.Marshal(&schema.Command{Body: &schema.Command_RememberQuotaUse{
			RememberQuotaUse: &schema.RememberQuotaUse{Amounts: amounts, NextSlot: next, Keep: 2},
		}})
		require.NoError(t, err)
		l.Apply(index, data)
	}
	history := func(l *ledger.Ledger) (out []map[string]float64) {
		l.View(func(_ ledger.Status, r *ledger.Records) {
			for _, s := range r.QuotaHistory() {
				amounts := map[string]float64{}
				for _, a := range s.GetAmounts() {
					amounts[a.GetTeam()] = a.GetAmount()
				}
				out = append(out, amounts)
			}
		})
		return out
	}
	remember(true, &schema.QuotaAmount{Team: "a", Amount: 5})
	remember(false, &schema.QuotaAmount{Team: "b", Amount: 1}, &schema.QuotaAmount{Team: "a", Amount: 2})
	require.Equal(t, []map[string]float64{{"a": 7, "b": 1}}, history(l))
	remember(true, &schema.QuotaAmount{Team: "b", Amount: 3})
	snapshot, err := l.Snapshot()
	require.NoError(t, err)
	restored := ledger.New()
	require.NoError(t, restored.Restore(snapshot))
	require.Equal(t, []map[string]float64{{"b": 3}, {"a": 7, "b": 1}}, history(restored))
	remember(true)
	require.Equal(t, []map[string]float64{{}, {"b": 3}}, history(l))
	remember(true)
	require.Empty(t, history(l))
}
