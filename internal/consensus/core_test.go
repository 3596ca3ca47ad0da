package consensus_test

import (
	"encoding/binary"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"

	"fennelyard/internal/consensus"
	"fennelyard/internal/schema"
)

func newCore(id uint64, entries ...*schema.LogEntry) *consensus.Core {
	membership := &schema.Membership{Members: []*schema.Member{{Id: 1}, {Id: 2}, {Id: 3}}}
	return consensus.NewCore(consensus.CoreConfig{
		ID: id, Random: func(int) int { return 0 },
		Saved: consensus.Saved{
			HardState: &schema.HardState{Term: 1}, Entries: entries,
			Snapshot: &schema.SnapshotState{Index: consensus.FirstIndex, Term: 1, Membership: membership},
		},
	})
}

// processReady marks all pending work of a core as done and returns its messages.
func processReady(c *consensus.Core) (sent []*schema.ConsensusMessage) {
	for c.HasReady() {
		r := c.Ready()
		sent = append(append(sent, r.Appends...), r.Messages...)
		c.Advance(r)
	}
	return sent
}

// A follower has entries of a deposed leader after the index at which the new
// leader's append matches its log, and the new leader's commit index covers their
// indexes. If the follower adopted that commit index, it would apply entries that
// were never committed.
func TestFollowerCommitsOnlyMatchedEntries(t *testing.T) {
	c := newCore(2, entryAt(2, 1, "a"), entryAt(3, 1, "stale"), entryAt(4, 1, "stale"))
	c.Step(&schema.ConsensusMessage{
		Kind: schema.MessageKind_MESSAGE_KIND_APPEND, From: 1, To: 2, Term: 2, Index: 2, LogTerm: 1, Commit: 4,
	})
	assert.EqualValues(t, 2, c.Commit())
}

// All members start at once, as after a power loss, and there is no leader. A
// member requests pre-votes well before a full election timeout. Once it has seen
// a leader, it waits for the full timeout; otherwise every short silence would
// depose an active leader.
func TestFirstElectionAfterStart(t *testing.T) {
	ticksToElection := func(c *consensus.Core) (ticks int) {
		for c.Role() == consensus.RoleFollower {
			c.Tick()
			ticks++
		}
		return ticks
	}
	c := newCore(2)
	assert.Equal(t, 3, ticksToElection(c))
	c = newCore(2)
	c.Step(&schema.ConsensusMessage{Kind: schema.MessageKind_MESSAGE_KIND_APPEND, From: 1, To: 2, Term: 1, Index: 1, LogTerm: 1})
	assert.Equal(t, 10, ticksToElection(c))
}

// Each new leader of a large fleet has a burst of work in its first second, is
// silent meanwhile and is deposed by the next leader, which has the same burst. The
// election timeout is doubled for the second leader within ten seconds, but not for
// one that has led for longer and not while there is no leader.
func TestElectionTimeoutWhileLeadershipIsUnstable(t *testing.T) {
	receiveAppend := func(c *consensus.Core, from, term uint64) {
		c.Step(&schema.ConsensusMessage{
			Kind: schema.MessageKind_MESSAGE_KIND_APPEND, From: from, To: 2, Term: term, Index: consensus.FirstIndex, LogTerm: 1,
		})
		processReady(c)
	}
	ticksToElection := func(c *consensus.Core) (ticks int) {
		for c.Role() == consensus.RoleFollower {
			c.Tick()
			ticks++
		}
		return ticks
	}
	for name, tt := range map[string]struct {
		// firstTicks and secondTicks are the ticks for which the first and the
		// second leader send.
		firstTicks, secondTicks int
		want                    int
	}{
		"first leader stable":                     {200, 0, 10},
		"two changes within 20 election timeouts": {199, 0, 20},
		"second leader stable":                    {50, 200, 10},
		"second leader not yet stable":            {50, 150, 20},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCore(2)
			receiveAppend(c, 1, 2)
			for range tt.firstTicks {
				c.Tick()
				receiveAppend(c, 1, 2)
			}
			receiveAppend(c, 3, 3)
			for range tt.secondTicks {
				c.Tick()
				receiveAppend(c, 3, 3)
			}
			assert.Equal(t, tt.want, ticksToElection(c))
			// Once the leader is lost, the timeout is no longer extended, and a member whose
			// pre-votes had no effect requests them again after a third of it.
			processReady(c)
			ticks := 0
			for len(processReady(c)) == 0 {
				c.Tick()
				ticks++
			}
			assert.Equal(t, 3, ticks)
		})
	}
}

// electLeader makes a core the leader of term 2 with the vote of member 2.
func electLeader(t *testing.T, c *consensus.Core) {
	t.Helper()
	for c.Role() != consensus.RolePreCandidate {
		c.Tick()
	}
	processReady(c)
	c.Step(&schema.ConsensusMessage{Kind: schema.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, From: 2, To: 1, Term: c.Term() + 1})
	processReady(c)
	c.Step(&schema.ConsensusMessage{Kind: schema.MessageKind_MESSAGE_KIND_VOTE_REPLY, From: 2, To: 1, Term: c.Term()})
	processReady(c)
	require.Equal(t, consensus.RoleLeader, c.Role())
}

// A leader that receives no replies from a quorum would otherwise continue to
// accept commands that can never be committed, and their callers would wait.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	c := newCore(1)
	electLeader(t, c)
	ticks := 0
	for c.Role() == consensus.RoleLeader {
		c.Tick()
		processReady(c)
		ticks++
		require.LessOrEqual(t, ticks, 20, "two election timeouts")
	}
	_, _, err := c.Propose([]byte("x"))
	assert.ErrorIs(t, err, consensus.ErrNotLeader)
}

// An entry of an earlier term is stored on a quorum. Another member can still have
// an entry of a later term at the same index and win an election, so the leader
// commits the entry only together with one of its own term.
func TestEntriesOfEarlierTermsAreNotCommittedAlone(t *testing.T) {
	c := newCore(1, entryAt(2, 1, "old"))
	electLeader(t, c)
	reply := func(index uint64) {
		c.Step(&schema.ConsensusMessage{
			Kind: schema.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: c.Term(), Index: index,
		})
		processReady(c)
	}
	reply(2)
	assert.EqualValues(t, consensus.FirstIndex, c.Commit())
	reply(3)
	assert.EqualValues(t, 3, c.Commit())
}

// A member reconnects after a long partition and requests votes for a higher term.
// While there is an active leader, the requests are ignored and the leader stays in
// its term.
func TestPartitionedMemberDoesNotDeposeLeader(t *testing.T) {
	c := newCore(1)
	electLeader(t, c)
	term := c.Term()
	for _, kind := range []schema.MessageKind{schema.MessageKind_MESSAGE_KIND_PRE_VOTE, schema.MessageKind_MESSAGE_KIND_VOTE} {
		c.Step(&schema.ConsensusMessage{Kind: kind, From: 3, To: 1, Term: term + 5, Index: 99, LogTerm: term})
	}
	assert.Equal(t, term, c.Term())
	assert.Equal(t, consensus.RoleLeader, c.Role())
}

func TestMessagesForAnotherMemberAreDropped(t *testing.T) {
	c := newCore(1)
	c.Step(&schema.ConsensusMessage{Kind: schema.MessageKind_MESSAGE_KIND_VOTE, From: 3, To: 9, Term: 7})
	assert.EqualValues(t, 1, c.Term())
}

// The last acknowledged entry is missing from the log, and every remaining record
// is valid by itself. The storage must detect the loss.
func TestTruncatedLogIsRejected(t *testing.T) {
	folder := newFilledFolder(t)
	db, err := bbolt.Open(databasePath(folder), 0o600, nil)
	require.NoError(t, err)
	require.NoError(t, db.Update(func(tx *bbolt.Tx) error {
		return tx.Bucket([]byte("log")).Delete(binary.BigEndian.AppendUint64(nil, 41))
	}))
	require.NoError(t, db.Close())
	_, err = openStorage(t, folder)
	assert.True(t, errors.Is(err, consensus.ErrCorrupt), "%v", err)
}

func FuzzStep(f *testing.F) {
	f.Add(uint8(3), uint64(2), uint64(2), uint64(1), uint64(1), uint64(3), false)
	f.Add(uint8(7), uint64(3), uint64(9), uint64(5), uint64(4), uint64(0), true)
	f.Fuzz(func(_ *testing.T, kind uint8, from, term, index, logTerm, commit uint64, reject bool) {
		// A member replies to or drops any message; it must not panic.
		c := newCore(1, entryAt(2, 1, "a"))
		for range 2 {
			c.Step(&schema.ConsensusMessage{
				Kind: schema.MessageKind(kind % 9), From: from, To: 1, Term: term, Index: index, LogTerm: logTerm,
				Commit: commit, Reject: reject, Hint: index, Round: commit,
			})
			for range 30 {
				c.Tick()
			}
			processReady(c)
		}
	})
}

// Changes wait for the leader's disk before they leave for the other members, so that a leader
// that is short of processor time takes twice as long to commit.
func TestAppendsLeaveBeforeTheLeadersDiskIsSynced(t *testing.T) {
	c := newCore(1)
	electLeader(t, c)
	acknowledge := func(index uint64) {
		require.NoError(t, c.Step(&schema.ConsensusMessage{
			Kind: schema.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: c.Term(), Index: index,
		}))
	}
	processReady(c)
	acknowledge(c.Last())
	processReady(c)
	index, _, err := c.Propose([]byte("x"))
	require.NoError(t, err)
	r := c.Ready()
	sent := false
	for _, m := range r.Appends {
		sent = sent || len(m.GetEntries()) == 1 && m.GetEntries()[0].GetIndex() == index
	}
	require.True(t, sent)
	acknowledge(index)
	require.Less(t, c.Commit(), index, "the leader's own copy is not synced yet")
	c.Advance(r)
	require.Equal(t, index, c.Commit())
}

// A member that replies late, as one short of processor time, was sent all that it lacks with each
// heartbeat until it replied.
func TestHeartbeatsDoNotRepeatEntries(t *testing.T) {
	c := newCore(1)
	electLeader(t, c)
	acknowledge := func(index uint64) {
		require.NoError(t, c.Step(&schema.ConsensusMessage{
			Kind: schema.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: c.Term(), Index: index,
		}))
	}
	before := c.Last()
	acknowledge(before)
	processReady(c)
	_, _, err := c.Propose([]byte("x"))
	require.NoError(t, err)
	processReady(c)
	c.Unreachable(2)
	for range 5 {
		c.Tick()
		for _, m := range processReady(c) {
			if m.GetTo() == 2 {
				require.Empty(t, m.GetEntries())
			}
		}
	}
	acknowledge(before)
	sent := 0
	for _, m := range processReady(c) {
		if m.GetTo() == 2 {
			sent += len(m.GetEntries())
		}
	}
	require.Equal(t, 1, sent)
}
