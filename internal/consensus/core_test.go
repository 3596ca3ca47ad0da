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

func memberOf(id uint64, entries ...*schema.LogEntry) *consensus.Core {
	first := &schema.Membership{Members: []*schema.Member{{Id: 1}, {Id: 2}, {Id: 3}}}
	return consensus.NewCore(consensus.CoreConfig{
		ID: id, Random: func(int) int { return 0 },
		Saved: consensus.Saved{
			HardState: &schema.HardState{Term: 1}, Entries: entries,
			Snapshot: &schema.SnapshotState{Index: consensus.FirstIndex, Term: 1, Membership: first},
		},
	})
}

// work stores and sends nothing; it only moves a core on.
func work(c *consensus.Core) (sent []*schema.ConsensusMessage) {
	for c.HasReady() {
		r := c.Ready()
		sent = append(sent, r.Messages...)
		c.Advance(r)
	}
	return sent
}

// TestFollowerCommitsOnlyWhatItCompared: a follower holds entries of a deposed
// leader beyond the point where the new leader's append agrees with its log.
// The new leader's commit index is higher; taking it as it stands would apply
// entries that were never committed.
func TestFollowerCommitsOnlyWhatItCompared(t *testing.T) {
	c := memberOf(2, entryAt(2, 1, "a"), entryAt(3, 1, "stale"), entryAt(4, 1, "stale"))
	c.Step(&schema.ConsensusMessage{
		Kind: schema.MessageKind_MESSAGE_KIND_APPEND, From: 1, To: 2, Term: 2, Index: 2, LogTerm: 1, Commit: 4,
	})
	assert.EqualValues(t, 2, c.Commit())
}

// TestFirstElectionAfterAStart: every member starts at once, as after a loss of
// power, and nobody leads. A member asks for pre-votes well before an election
// timeout; once it has met a leader it waits for the whole timeout, or every
// short silence would depose a leader that lives.
func TestFirstElectionAfterAStart(t *testing.T) {
	quiet := func(c *consensus.Core) (ticks int) {
		for c.Role() == consensus.RoleFollower {
			c.Tick()
			ticks++
		}
		return ticks
	}
	c := memberOf(2)
	assert.Equal(t, 3, quiet(c))
	c = memberOf(2)
	c.Step(&schema.ConsensusMessage{Kind: schema.MessageKind_MESSAGE_KIND_APPEND, From: 1, To: 2, Term: 1, Index: 1, LogTerm: 1})
	assert.Equal(t, 10, quiet(c))
}

// Leaders came and went: each had a fleet's burst of work before it in its first second, was
// silent for it, and was deposed by the next, which had the same. The second leader within ten
// seconds is waited for twice as long; one that has led for a while, or none, is not.
func TestLeadersThatComeAndGoAreGivenTime(t *testing.T) {
	hear := func(c *consensus.Core, from, term uint64) {
		c.Step(&schema.ConsensusMessage{
			Kind: schema.MessageKind_MESSAGE_KIND_APPEND, From: from, To: 2, Term: term, Index: consensus.FirstIndex, LogTerm: 1,
		})
		work(c)
	}
	quiet := func(c *consensus.Core) (ticks int) {
		for c.Role() == consensus.RoleFollower {
			c.Tick()
			ticks++
		}
		return ticks
	}
	for name, x := range map[string]struct {
		// led is how many ticks the first leader led, and lives the second.
		led, lives int
		ticks      int
	}{
		"after a while":          {200, 0, 10},
		"soon after another":     {199, 0, 20},
		"and has led for long":   {50, 200, 10},
		"and has led for little": {50, 150, 20},
	} {
		t.Run(name, func(t *testing.T) {
			c := memberOf(2)
			hear(c, 1, 2)
			for range x.led {
				c.Tick()
				hear(c, 1, 2)
			}
			hear(c, 3, 3)
			for range x.lives {
				c.Tick()
				hear(c, 3, 3)
			}
			assert.Equal(t, x.ticks, quiet(c))
			// Once it is lost nothing more is waited for than before.
			work(c)
			again := 0
			for len(work(c)) == 0 {
				c.Tick()
				again++
			}
			assert.Equal(t, 10, again)
		})
	}
}

// elect makes a core the leader of the second term with the vote of member 2.
func elect(t *testing.T, c *consensus.Core) {
	t.Helper()
	for c.Role() != consensus.RolePreCandidate {
		c.Tick()
	}
	work(c)
	c.Step(&schema.ConsensusMessage{Kind: schema.MessageKind_MESSAGE_KIND_PRE_VOTE_REPLY, From: 2, To: 1, Term: c.Term() + 1})
	work(c)
	c.Step(&schema.ConsensusMessage{Kind: schema.MessageKind_MESSAGE_KIND_VOTE_REPLY, From: 2, To: 1, Term: c.Term()})
	work(c)
	require.Equal(t, consensus.RoleLeader, c.Role())
}

// TestCutOffLeaderStepsDown: a leader that hears from no quorum would go on
// taking commands that can never be committed, and callers would wait for them.
func TestCutOffLeaderStepsDown(t *testing.T) {
	c := memberOf(1)
	elect(t, c)
	ticks := 0
	for c.Role() == consensus.RoleLeader {
		c.Tick()
		work(c)
		ticks++
		require.LessOrEqual(t, ticks, 20, "two election timeouts")
	}
	_, _, err := c.Propose([]byte("x"))
	assert.ErrorIs(t, err, consensus.ErrNotLeader)
}

// TestEntriesOfEarlierTermsAreNotCounted: a new leader finds an entry of an
// earlier term on a quorum. Another member may still hold a later entry at that
// place and win an election; only an entry of the leader's own term settles it.
func TestEntriesOfEarlierTermsAreNotCounted(t *testing.T) {
	c := memberOf(1, entryAt(2, 1, "old"))
	elect(t, c)
	reply := func(index uint64) {
		c.Step(&schema.ConsensusMessage{
			Kind: schema.MessageKind_MESSAGE_KIND_APPEND_REPLY, From: 2, To: 1, Term: c.Term(), Index: index,
		})
		work(c)
	}
	reply(2)
	assert.EqualValues(t, consensus.FirstIndex, c.Commit())
	reply(3)
	assert.EqualValues(t, 3, c.Commit())
}

// TestMemberThatWasCutOffDeposesNobody: a member comes back after a long cut and
// asks for votes. The others hear from a living leader and do not answer with
// their own term, so the leader keeps its term.
func TestMemberThatWasCutOffDeposesNobody(t *testing.T) {
	c := memberOf(1)
	elect(t, c)
	term := c.Term()
	for _, kind := range []schema.MessageKind{schema.MessageKind_MESSAGE_KIND_PRE_VOTE, schema.MessageKind_MESSAGE_KIND_VOTE} {
		c.Step(&schema.ConsensusMessage{Kind: kind, From: 3, To: 1, Term: term + 5, Index: 99, LogTerm: term})
	}
	assert.Equal(t, term, c.Term())
	assert.Equal(t, consensus.RoleLeader, c.Role())
}

func TestMessagesForAnotherIdentityAreDropped(t *testing.T) {
	c := memberOf(1)
	c.Step(&schema.ConsensusMessage{Kind: schema.MessageKind_MESSAGE_KIND_VOTE, From: 3, To: 9, Term: 7})
	assert.EqualValues(t, 1, c.Term())
}

// TestLogThatLostItsEndIsRefused removes the last acknowledged entry so that
// everything that is left reads well.
func TestLogThatLostItsEndIsRefused(t *testing.T) {
	folder := filled(t)
	db, err := bbolt.Open(file(folder), 0o600, nil)
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
		// Whatever a peer sends, a member answers or drops it.
		c := memberOf(1, entryAt(2, 1, "a"))
		for range 2 {
			c.Step(&schema.ConsensusMessage{
				Kind: schema.MessageKind(kind % 9), From: from, To: 1, Term: term, Index: index, LogTerm: logTerm,
				Commit: commit, Reject: reject, Hint: index, Round: commit,
			})
			for range 30 {
				c.Tick()
			}
			work(c)
		}
	})
}
