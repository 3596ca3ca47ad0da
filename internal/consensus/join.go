package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

const (
	// maxLearnerLag is the highest number of entries that a learner may be behind
	// when it is promoted to a voter.
	maxLearnerLag = 64
	// replaceAfterTicks is the number of ticks without a reply after which the
	// member of a host's new disk can replace the host's old member. It prevents
	// two processes with the same host name from removing each other.
	replaceAfterTicks = 40
	// replaceAtAddressTicks is the same where both members have the same address: two processes
	// cannot run there, and the old member is gone. Each leader counts anew, and while leaders
	// change several disks could be lost before one of them was replaced.
	replaceAtAddressTicks = 5
	// presentTicks is the number of ticks without a reply up to which a voter counts as
	// present.
	presentTicks = 5
)

// reconcileMembership proposes the next membership change, if one is due: to remove a
// voter that has been replaced, or for the pending join requests.
func (m *Member) reconcileMembership() {
	if next := m.core.WithSize(m.cfg.SilentTicks); next != nil {
		// A rejected change is retried at the next tick.
		_ = m.core.ProposeMembership(next)
		return
	}
	for host, member := range m.joinRequests {
		next := m.core.WithJoining(member, m.cfg.SilentTicks)
		if next == nil {
			if isVoter(m.core.Membership(), member.GetId()) {
				delete(m.joinRequests, host)
			}
			continue
		}
		_ = m.core.ProposeMembership(next)
		return
	}
}

// WithSize returns the next change that brings the number of voters and the size of the group
// together, or nil if none is due. If there are more voters than the size, one that has not
// replied for silentTicks, 0 for never, is removed: a newcomer became a voter before this
// leader or an earlier one knew that the voter was silent. If all of them have been present
// for that time, the group has grown. In a group of its size a silent voter stays until a
// newcomer has caught up.
func (c *Core) WithSize(silentTicks int) *schema.Membership {
	current := c.Membership()
	voters := voterCount(current)
	if silentTicks == 0 || voters <= current.GetSize() {
		return nil
	}
	if voter := c.silentVoterIndex(silentTicks); voter >= 0 && current.GetSize() > 0 {
		return withoutMember(current, voter)
	}
	if c.presentFor <= silentTicks {
		return nil
	}
	next := cloneMembership(current)
	next.Size = voters
	return next
}

// WithJoining returns the next membership change for a member that requests to join, or nil
// if none is due. A voter that has not replied for silentTicks, 0 for never, makes room for it:
// hosts that fail permanently are replaced by hosts with other addresses. If the failed voters
// stayed in the membership, each replacement would raise the quorum, and after a few of
// them the loss of one more host would stop the group. A voter that was only partitioned
// requests to join again once it is connected.
func (c *Core) WithJoining(member *schema.Member, silentTicks int) *schema.Membership {
	next := NextMembershipChange(c.Membership(), member, c)
	if next == nil || !isVoter(next, member.GetId()) {
		return next
	}
	if voter := c.silentVoterIndex(silentTicks); voter >= 0 {
		return withoutMember(c.Membership(), voter)
	}
	return next
}

// silentVoterIndex returns the position of another voter that has not replied for
// silentTicks, or -1.
func (c *Core) silentVoterIndex(silentTicks int) int {
	if silentTicks == 0 {
		return -1
	}
	return slices.IndexFunc(c.Membership().GetMembers(), func(member *schema.Member) bool {
		_, silent, ok := c.Match(member.GetId())
		return !member.GetLearner() && member.GetId() != c.cfg.ID && ok && silent > silentTicks
	})
}

// allPresent reports whether all other voters have replied to this leader within
// presentTicks.
func (c *Core) allPresent() bool {
	return !slices.ContainsFunc(c.Membership().GetMembers(), func(member *schema.Member) bool {
		match, silent, ok := c.Match(member.GetId())
		return !member.GetLearner() && member.GetId() != c.cfg.ID && (!ok || match == 0 || silent > presentTicks)
	})
}

func voterCount(m *schema.Membership) (n uint32) {
	for _, member := range m.GetMembers() {
		if !member.GetLearner() {
			n++
		}
	}
	return n
}

func withoutMember(current *schema.Membership, index int) *schema.Membership {
	next := cloneMembership(current)
	next.Members = slices.Delete(next.GetMembers(), index, index+1)
	return next
}

// NextMembershipChange returns the next single change that brings a host's new disk
// into a group, or nil if none is due. The order is: add the new member as a
// learner, wait until it has caught up, remove the host's old member, promote the
// learner to a voter. The old member is removed before the new one becomes a voter
// because with both the quorum would grow, and the loss of a second host in
// between would stop the group.
func NextMembershipChange(current *schema.Membership, member *schema.Member, core *Core) *schema.Membership {
	index := slices.IndexFunc(current.GetMembers(), func(m *schema.Member) bool { return m.GetId() == member.GetId() })
	if index < 0 {
		return withLearner(current, member)
	}
	if !current.GetMembers()[index].GetLearner() {
		return nil
	}
	match, silentTicks, ok := core.Match(member.GetId())
	if !ok || match+maxLearnerLag < core.Last() || silentTicks > replaceAfterTicks {
		return nil
	}
	for i, old := range current.GetMembers() {
		if i == index || old.GetHost() != member.GetHost() {
			continue
		}
		after := replaceAfterTicks
		if old.GetAddress() != "" && old.GetAddress() == member.GetAddress() {
			after = replaceAtAddressTicks
		}
		if _, silentTicks, ok := core.Match(old.GetId()); !ok || silentTicks <= after {
			return nil
		}
		return withoutMember(current, i)
	}
	next := cloneMembership(current)
	next.Members[index].Learner = false
	return next
}

func withLearner(current *schema.Membership, member *schema.Member) *schema.Membership {
	// An existing learner of the same host belongs to a disk that was lost before
	// the learner became a voter.
	for i, old := range current.GetMembers() {
		if old.GetHost() == member.GetHost() && old.GetLearner() {
			return withoutMember(current, i)
		}
	}
	next := cloneMembership(current)
	next.Members = append(next.Members, &schema.Member{
		Id: member.GetId(), Host: member.GetHost(), Address: member.GetAddress(), Learner: true,
	})
	return next
}

func cloneMembership(m *schema.Membership) *schema.Membership {
	return proto.Clone(m).(*schema.Membership)
}

func isVoter(m *schema.Membership, id uint64) bool {
	return slices.ContainsFunc(m.GetMembers(), func(member *schema.Member) bool {
		return member.GetId() == id && !member.GetLearner()
	})
}
