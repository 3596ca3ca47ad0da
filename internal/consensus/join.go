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
)

// reconcileMembership proposes the next membership change for the pending join
// requests, if one is due.
func (m *Member) reconcileMembership() {
	for host, member := range m.joinRequests {
		next := NextMembershipChange(m.core.Membership(), member, m.core)
		if voter := m.silentVoterIndex(); voter >= 0 && makesVoter(next, member.GetId()) {
			next = withoutMember(m.core.Membership(), voter)
		}
		if next == nil {
			if isVoter(m.core.Membership(), member.GetId()) {
				delete(m.joinRequests, host)
			}
			continue
		}
		// A rejected change is retried at the next tick.
		_ = m.core.ProposeMembership(next)
		return
	}
}

// silentVoterIndex returns the position of a voter that has not replied for
// SilentTicks, or -1. Hosts that fail permanently are replaced by hosts with other
// addresses. If the failed voters stayed in the membership, each replacement would
// raise the quorum, and after a few of them the loss of one more host would stop
// the group. A voter that was only partitioned requests to join again once it is
// connected.
func (m *Member) silentVoterIndex() int {
	if m.cfg.SilentTicks == 0 {
		return -1
	}
	for i, member := range m.core.Membership().GetMembers() {
		if member.GetLearner() || member.GetId() == m.cfg.Storage.ID() {
			continue
		}
		if _, silentTicks, ok := m.core.Match(member.GetId()); ok && silentTicks > m.cfg.SilentTicks {
			return i
		}
	}
	return -1
}

// makesVoter reports whether next is set and contains the member as a voter.
func makesVoter(next *schema.Membership, id uint64) bool {
	return next != nil && isVoter(next, id)
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
		if _, silentTicks, ok := core.Match(old.GetId()); !ok || silentTicks <= replaceAfterTicks {
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
