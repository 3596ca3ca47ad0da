package consensus

import (
	"github.com/cockroachdb/errors"

	"fennelyard/internal/schema"
)

func (m *Member) restore(s *schema.SnapshotState) error {
	if err := m.cfg.StateMachine.Restore(s.GetData()); err != nil {
		return errors.Newf("restore snapshot %d: %w", s.GetIndex(), err)
	}
	m.applied = s.GetIndex()
	m.lastSnapshotIndex = s.GetIndex()
	return nil
}

// readSnapshot returns the stored snapshot. If it can't be read, a new one of the state
// machine, which has the state of at least that snapshot, replaces it.
func (m *Member) readSnapshot() (*schema.SnapshotState, error) {
	s, err := m.cfg.Storage.Snapshot()
	if err == nil {
		return s, nil
	}
	m.damaged(0, err)
	return m.saveSnapshot()
}

func (m *Member) snapshot() error {
	if m.applied < m.lastSnapshotIndex+m.cfg.SnapshotAfter {
		return nil
	}
	if _, ok := m.core.log.term(m.applied); !ok {
		return nil
	}
	if _, err := m.saveSnapshot(); err != nil {
		return err
	}
	m.core.Compact(m.applied - min(m.applied, m.cfg.SnapshotAfter/retainedEntriesDivisor))
	return nil
}

// saveSnapshot stores and returns a snapshot of everything applied.
func (m *Member) saveSnapshot() (*schema.SnapshotState, error) {
	data, err := m.cfg.StateMachine.Snapshot()
	if err != nil {
		return nil, errors.Newf("take snapshot: %w", err)
	}
	term, ok := m.core.log.term(m.applied)
	if !ok {
		return nil, errors.Newf("take snapshot: the log does not reach back to %d", m.applied)
	}
	s := &schema.SnapshotState{
		Index: m.applied, Term: term, Membership: m.core.MembershipAt(m.applied), Data: data,
	}
	if err = m.cfg.Storage.SaveSnapshot(s); err != nil {
		return nil, errors.Newf("the snapshot could not be synced: %w", err)
	}
	m.lastSnapshotIndex = m.applied
	return s, nil
}
