package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/ledger"
	"fennelyard/internal/schema"
)

// Recorded suspects must be available to the next leader, also after a snapshot, until they
// are removed. Entries receive them from the leader and not as records.
func TestSuspectsAreRecorded(t *testing.T) {
	l := ledger.New()
	apply := func(index uint64, q *schema.RememberSuspects) {
		data, err := proto.Marshal(&schema.Command{Body: &schema.Command_RememberSuspects{RememberSuspects: q}})
		require.NoError(t, err)
		r := l.Apply(index, data)
		require.Equal(t, schema.ResultCode_RESULT_CODE_OK, r.(*schema.Result).GetCode())
	}
	knownSuspect := func(key byte, servers ...string) *schema.KnownSuspect {
		s := &schema.Suspect{Key: []byte{key}}
		for _, id := range servers {
			s.Ended = append(s.Ended, &schema.EndedServer{Server: id})
		}
		return &schema.KnownSuspect{Suspect: s, AtMs: 5}
	}
	apply(1, &schema.RememberSuspects{Suspects: []*schema.KnownSuspect{knownSuspect(1, "a"), knownSuspect(2, "a", "b")}})
	apply(2, &schema.RememberSuspects{Suspects: []*schema.KnownSuspect{knownSuspect(2, "a", "b", "c")}, Forgotten: [][]byte{{1}, {9}}})
	data, err := l.Snapshot()
	require.NoError(t, err)
	restored := ledger.New()
	require.NoError(t, restored.Restore(data))
	restored.View(func(_ ledger.Status, r *ledger.Records) {
		require.Len(t, r.KnownSuspects(), 1)
		require.Len(t, r.KnownSuspects()[0].GetSuspect().GetEnded(), 3)
	})
	require.False(t, ledger.IsRoutingKey(ledger.SuspectKey([]byte{2})))
}
