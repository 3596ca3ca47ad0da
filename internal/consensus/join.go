package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

const (
	// A learner is caught up when it lacks at most this many entries.
	caughtUpWithin = 64
	// A member is given up for its host's new disk only after this many ticks
	// without an answer: two processes under one host name must not push each
	// other out.
	goneTicks = 40
)

// tendMembership takes one step towards the wanted members, if one is due.
func (m *Member) tendMembership() {
	for host, member := range m.joins {
		next := NextMembershipChange(m.core.Membership(), member, m.core)
		if voter := m.silentVoter(); voter >= 0 && makesVoter(next, member.GetId()) {
			next = withoutMember(m.core.Membership(), voter)
		}
		if next == nil {
			if isVoter(m.core.Membership(), member.GetId()) {
				delete(m.joins, host)
			}
			continue
		}
		// A change that is refused now is tried again at the next tick.
		_ = m.core.ProposeMembership(next)
		return
	}
}

// silentVoter returns the place of a voter that has not answered for
// SilentTicks, or -1. Hosts that are gone for good are replaced by hosts with
// other addresses: if such a voter stayed, each replacement would raise the
// quorum, and after a few the loss of one more host would stop the group. A
// voter that was only cut off asks to be taken in again when it is back.
func (m *Member) silentVoter() int {
	if m.cfg.SilentTicks == 0 {
		return -1
	}
	for i, x := range m.core.Membership().GetMembers() {
		if x.GetLearner() || x.GetId() == m.cfg.Storage.ID() {
			continue
		}
		if _, silent, ok := m.core.Match(x.GetId()); ok && silent > m.cfg.SilentTicks {
			return i
		}
	}
	return -1
}

// makesVoter reports whether a membership has the member as a voter.
func makesVoter(next *schema.Membership, id uint64) bool {
	return next != nil && isVoter(next, id)
}

func withoutMember(now *schema.Membership, at int) *schema.Membership {
	next := cloneMembership(now)
	next.Members = slices.Delete(next.GetMembers(), at, at+1)
	return next
}

// NextMembershipChange returns the next single change that brings a host's new disk
// into a group, or nil when none is due. The order is: add the new member as a
// learner, let it catch up, remove the host's old member, make the learner a
// voter. The old member goes before the new one votes: with both, the quorum
// would grow and the loss of a second host in between would stop the group.
func NextMembershipChange(now *schema.Membership, member *schema.Member, core *Core) *schema.Membership {
	at := slices.IndexFunc(now.GetMembers(), func(m *schema.Member) bool { return m.GetId() == member.GetId() })
	if at < 0 {
		return withLearner(now, member)
	}
	if !now.GetMembers()[at].GetLearner() {
		return nil
	}
	match, silent, ok := core.Match(member.GetId())
	if !ok || match+caughtUpWithin < core.Last() || silent > goneTicks {
		return nil
	}
	for i, old := range now.GetMembers() {
		if i == at || old.GetHost() != member.GetHost() {
			continue
		}
		if _, silent, ok := core.Match(old.GetId()); !ok || silent <= goneTicks {
			return nil
		}
		return withoutMember(now, i)
	}
	next := cloneMembership(now)
	next.Members[at].Learner = false
	return next
}

func withLearner(now *schema.Membership, member *schema.Member) *schema.Membership {
	// An older learner of the same host is a disk that was lost before it voted.
	for i, old := range now.GetMembers() {
		if old.GetHost() == member.GetHost() && old.GetLearner() {
			return withoutMember(now, i)
		}
	}
	next := cloneMembership(now)
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
