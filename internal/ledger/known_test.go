package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/ledger"
	"fennelyard/internal/schema"
)

// Recorded servers must be available to the next leader, also after a snapshot, until they
// are removed. They are not sent to entries.
func TestKnownServersAreRecorded(t *testing.T) {
	l := ledger.New()
	apply := func(index uint64, q *schema.RememberServers) {
		data, err := proto.Marshal(&schema.Command{Body: &schema.Command_RememberServers{RememberServers: q}})
		require.NoError(t, err)
		r := l.Apply(index, data)
		require.Equal(t, schema.ResultCode_RESULT_CODE_OK, r.(*schema.Result).GetCode())
	}
	apply(1, &schema.RememberServers{Servers: []*schema.KnownServer{{Id: "a", Address: "x:1"}, {Id: "b", Address: "y:1"}}})
	apply(2, &schema.RememberServers{Forgotten: []string{"a", "never"}})
	data, err := l.Snapshot()
	require.NoError(t, err)
	restored := ledger.New()
	require.NoError(t, restored.Restore(data))
	restored.View(func(_ ledger.Status, r *ledger.Records) {
		require.Len(t, r.KnownServers(), 1)
		require.Equal(t, "y:1", r.KnownServers()[0].GetAddress())
	})
	require.False(t, ledger.IsRoutingKey(ledger.KnownServerKey("b")))
}
