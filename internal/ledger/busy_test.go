package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/ledger"
	"fennelyard/internal/schema"
)

// The record of a team that uses much of its quota must survive a snapshot, or a leader after a power loss would grant
// the team its quota again.
func TestBusyTeamsAreRecorded(t *testing.T) {
	l := ledger.New()
	apply := func(index uint64, q *schema.RememberBusyTeams) {
		data, err := proto.Marshal(&schema.Command{Body: &schema.Command_RememberBusyTeams{RememberBusyTeams: q}})
		require.NoError(t, err)
		l.Apply(index, data)
	}
	busy := func(l *ledger.Ledger) (out []string) {
		l.View(func(_ ledger.Status, r *ledger.Records) { out = r.BusyTeams() })
		return out
	}
	apply(1, &schema.RememberBusyTeams{Busy: []string{"a", "b"}})
	require.ElementsMatch(t, []string{"a", "b"}, busy(l))
	apply(2, &schema.RememberBusyTeams{Busy: []string{"b", "c"}, Quiet: []string{"a", "d"}})
	require.ElementsMatch(t, []string{"b", "c"}, busy(l))
	snapshot, err := l.Snapshot()
	require.NoError(t, err)
	restored := ledger.New()
	require.NoError(t, restored.Restore(snapshot))
	require.ElementsMatch(t, []string{"b", "c"}, busy(restored))
}
