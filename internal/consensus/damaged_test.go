package consensus_test

import (
	"bytes"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"fennelyard/internal/consensus"
	"fennelyard/internal/schema"
)

// damageSnapshots overwrites a part of each snapshot on a member's disk, which it keeps open.
func damageSnapshots(t *testing.T, folder string) {
	t.Helper()
	path := databasePath(folder)
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	f, err := os.OpenFile(path, os.O_WRONLY, 0o600)
	require.NoError(t, err)
	defer func() { require.NoError(t, f.Close()) }()
	damaged := 0
	for at := 0; ; damaged++ {
		i := bytes.Index(data[at:], []byte(snapshotMarker))
		if i < 0 {
			break
		}
		_, err = f.WriteAt([]byte("damage"), int64(at+i))
		require.NoError(t, err)
		at += i + len(snapshotMarker)
	}
	require.NotZero(t, damaged)
}

// The leader can't read its stored snapshot while a member lags behind it. It sent one without data and membership,
// which the member took: everything acknowledged was gone there, and the member knew no voters.
func TestUnreadableSnapshotReplacesNoState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3, 50*time.Millisecond)
		defer g.close()
		leader := g.leader()
		for i := range 400 {
			require.NoError(t, g.propose(leader, fmt.Sprint("early ", i)))
		}
		stopped := leader%3 + 1
		folder := g.stop(stopped)
		for i := range 1000 {
			require.NoError(t, g.propose(leader, fmt.Sprint("change ", i)))
		}
		damageSnapshots(t, g.members[leader].folder)
		g.start(stopped, folder)
		for limit := time.Now().Add(time.Minute); g.members[stopped].appliedCount() != 1400; time.Sleep(10 * time.Millisecond) {
			require.True(t, time.Now().Before(limit), "%d commands", g.members[stopped].appliedCount())
		}
		require.Len(t, g.voters(stopped), 3)
		require.Equal(t, leader, g.leader())
		// Damage that is not read again must not stop the member later.
		require.NoError(t, g.propose(leader, "last"))
	})
}

// A snapshot without a membership is damaged, whoever sent it: a member that takes it knows no voters.
func TestSnapshotWithoutMembershipIsNotInstalled(t *testing.T) {
	c := newCore(2, entryAt(2, 1, "a"))
	for name, snapshot := range map[string]*schema.SnapshotState{
		"none":          nil,
		"no membership": {Index: 50, Term: 1},
		"no members":    {Index: 50, Term: 1, Membership: &schema.Membership{Size: 3}, Data: []byte("x")},
	} {
		require.Error(t, c.Step(&schema.ConsensusMessage{Kind: schema.MessageKind_MESSAGE_KIND_SNAPSHOT, From: 1, To: 2, Term: 2, Snapshot: snapshot}), name)
		for _, sent := range processReady(c) {
			require.NotEqual(t, schema.MessageKind_MESSAGE_KIND_APPEND_REPLY, sent.GetKind(), name)
		}
		require.EqualValues(t, consensus.FirstIndex, c.Commit(), name)
		require.Len(t, c.Membership().GetMembers(), 3, name)
	}
}

// A change of the membership arrives damaged. A member that drops the change alone, and keeps its entry, counts the
// wrong quorum from then on.
func TestDamagedMembershipIsNotAppended(t *testing.T) {
	c := newCore(2)
	damaged := &schema.LogEntry{Index: 2, Term: 2, Kind: schema.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: []byte{0xff}}
	for name, entries := range map[string][]*schema.LogEntry{
		"alone": {damaged}, "after others": {entryAt(2, 2, "a"), {Index: 3, Term: 2, Kind: damaged.GetKind(), Data: damaged.GetData()}},
	} {
		require.Error(t, c.Step(&schema.ConsensusMessage{
			Kind: schema.MessageKind_MESSAGE_KIND_APPEND, From: 1, To: 2, Term: 2, Index: consensus.FirstIndex, LogTerm: 1, Entries: entries,
		}), name)
		for _, sent := range processReady(c) {
			require.NotEqual(t, schema.MessageKind_MESSAGE_KIND_APPEND_REPLY, sent.GetKind(), name)
		}
		require.EqualValues(t, consensus.FirstIndex, c.Last(), name)
	}
}
