package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

// quietElections is after how many election timeouts without an answer a voter is
// told as silent: one lost message and its repeat take less than one.
const quietElections = 2

// MemberStatus is what a member knows of itself.
type MemberStatus struct {
	ID         uint64
	Role       Role
	Term       uint64
	Leader     uint64
	LeaderHost string
	Commit     uint64
	Applied    uint64
	// CommittedInTerm is true on a leader that has committed in its term.
	CommittedInTerm bool
	// ConfirmedAt is the last moment at which a quorum is known to have taken this member for
	// the leader; the zero time on other members.
	ConfirmedAt time.Time
	Membership  *schema.Membership
	// SilentVoters names the hosts of voters that have not answered this leader for some
	// time; empty on other members.
	SilentVoters []string
}

// Status returns the member's latest status.
func (m *Member) Status() MemberStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status
}

// publish makes what the member knows now its status, and tells of changes.
func (m *Member) publish() {
	s := MemberStatus{
		ID: m.cfg.Storage.ID(), Role: m.core.Role(), Term: m.core.Term(), Leader: m.core.Leader(),
		Commit: m.core.Commit(), Applied: m.applied, CommittedInTerm: m.core.CommittedInTerm(),
		ConfirmedAt: m.confirmed(),
		Membership:  m.core.Membership(), SilentVoters: m.silentHosts(),
	}
	for _, member := range s.Membership.GetMembers() {
		if member.GetId() == s.Leader {
			s.LeaderHost = member.GetHost()
		}
	}
	m.mu.Lock()
	old := m.status
	m.status = s
	m.mu.Unlock()
	changed := old.Role != s.Role || old.Leader != s.Leader || old.Term != s.Term || old.CommittedInTerm != s.CommittedInTerm ||
		old.LeaderHost != s.LeaderHost
	if changed && m.cfg.LeaderChanged != nil {
		m.cfg.LeaderChanged(s)
	}
	same := (old.Membership == s.Membership || proto.Equal(old.Membership, s.Membership)) && slices.Equal(old.SilentVoters, s.SilentVoters)
	if !same && m.cfg.MembersChanged != nil {
		m.cfg.MembersChanged(s)
	}
}

// confirmed is when a quorum last took this member for the leader.
func (m *Member) confirmed() time.Time {
	begun, answered := m.core.HeartbeatRounds()
	return m.rounds.confirmed(m.stepped, begun, answered)
}

// silentHosts names the hosts of voters that a leader has not heard lately. Each of
// them is a loss that the group no longer bears.
func (m *Member) silentHosts() []string {
	if m.core.Role() != RoleLeader {
		return nil
	}
	var out []string
	for _, x := range m.core.Membership().GetMembers() {
		_, silent, ok := m.core.Match(x.GetId())
		if ok && !x.GetLearner() && x.GetId() != m.cfg.Storage.ID() && silent > quietElections*m.core.cfg.ElectionTicks {
			out = append(out, x.GetHost())
		}
	}
	return out
}
