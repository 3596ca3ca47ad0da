package consensus

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

// silentElections is the number of election timeouts without a reply after which a
// voter is reported as silent. One lost message and its retransmission take less
// than one election timeout.
const silentElections = 2

// MemberStatus is a snapshot of a member's state.
type MemberStatus struct {
	ID         uint64
	Role       Role
	Term       uint64
	Leader     uint64
	LeaderHost string
	Commit     uint64
	Applied    uint64
	// CommittedInTerm is true on a leader that has committed an entry of its term.
	CommittedInTerm bool
	// ConfirmedAt is the last time at which a quorum is known to have accepted this
	// member as the leader; the zero time on other members.
	ConfirmedAt time.Time
	Membership  *schema.Membership
	// SilentVoters are the hosts of voters that have not replied to this leader for
	// silentElections election timeouts; empty on other members.
	SilentVoters []string
}

// Status returns the member's last published status.
func (m *Member) Status() MemberStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status
}

// publish updates the status and calls the configured functions for changes.
func (m *Member) publish() {
	s := MemberStatus{
		ID: m.cfg.Storage.ID(), Role: m.core.Role(), Term: m.core.Term(), Leader: m.core.Leader(),
		Commit: m.core.Commit(), Applied: m.applied, CommittedInTerm: m.core.CommittedInTerm(),
		ConfirmedAt: m.confirmedAt(),
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

// confirmedAt returns the last time at which a quorum confirmed this member as the
// leader.
func (m *Member) confirmedAt() time.Time {
	started, acknowledged := m.core.HeartbeatRounds()
	return m.rounds.confirmed(m.lastStepAt, started, acknowledged)
}

// silentHosts returns the hosts of voters that have not replied to this leader for
// silentElections election timeouts. Each of them reduces the number of further
// failures that the group tolerates.
func (m *Member) silentHosts() []string {
	if m.core.Role() != RoleLeader {
		return nil
	}
	var out []string
	for _, member := range m.core.Membership().GetMembers() {
		_, silentTicks, ok := m.core.Match(member.GetId())
		if ok && !member.GetLearner() && member.GetId() != m.cfg.Storage.ID() && silentTicks > silentElections*m.core.cfg.ElectionTicks {
			out = append(out, member.GetHost())
		}
	}
	return out
}
