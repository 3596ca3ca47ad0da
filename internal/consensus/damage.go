package consensus

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

// damage returns why a message must not change a member's state, nil if it may: a snapshot
// without members, or an entry whose membership can't be decoded.
func damage(m *schema.ConsensusMessage) error {
	if m.GetKind() == schema.MessageKind_MESSAGE_KIND_SNAPSHOT && len(m.GetSnapshot().GetMembership().GetMembers()) == 0 {
		return errors.Newf("snapshot %d has no members", m.GetSnapshot().GetIndex())
	}
	for _, e := range m.GetEntries() {
		if e.GetKind() != schema.EntryKind_ENTRY_KIND_MEMBERSHIP {
			continue
		}
		if err := proto.Unmarshal(e.GetData(), &schema.Membership{}); err != nil {
			return errors.Newf("membership in entry %d: %w", e.GetIndex(), err)
		}
	}
	return nil
}
