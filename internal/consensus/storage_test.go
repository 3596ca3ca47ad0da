package consensus_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/consensus"
	"fennelyard/internal/schema"
)

const testID = 7

func openStorage(t *testing.T, folder string) (*consensus.Storage, error) {
	t.Helper()
	s, err := consensus.OpenStorage(consensus.StorageConfig{
		Folder: folder, Group: 1, NewID: func() uint64 { return testID },
	})
	if err == nil {
		t.Cleanup(func() { _ = s.Close() })
	}
	return s, err
}

func entryAt(index, term uint64, data string) *schema.LogEntry {
	return &schema.LogEntry{Index: index, Term: term, Data: []byte(data)}
}

// newFilledFolder returns a data folder whose member has voted and acknowledged
// entries.
func newFilledFolder(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	s, err := openStorage(t, folder)
	require.NoError(t, err)
	require.NoError(t, s.Bootstrap(&schema.Membership{Members: []*schema.Member{{Id: testID, Host: "a"}}}))
	var entries []*schema.LogEntry
	for i := range uint64(40) {
		entries = append(entries, entryAt(2+i, 3, fmt.Sprintf("entry %d", i)))
	}
	require.NoError(t, s.Save(consensus.Ready{
		HardState: &schema.HardState{Term: 3, Vote: 9, Commit: 20}, Entries: entries,
	}))
	require.NoError(t, s.Close())
	return folder
}

func databasePath(folder string) string { return filepath.Join(folder, "group-1.db") }

func TestStorageRestoresSavedState(t *testing.T) {
	folder := newFilledFolder(t)
	s, err := openStorage(t, folder)
	require.NoError(t, err)
	require.NoError(t, s.Save(consensus.Ready{
		HardState: &schema.HardState{Term: 4, Commit: 25}, Entries: []*schema.LogEntry{entryAt(30, 4, "other")},
	}))
	require.NoError(t, s.SaveSnapshot(&schema.SnapshotState{Index: 25, Term: 3, Data: []byte("state")}))
	require.NoError(t, s.Close())

	s, err = openStorage(t, folder)
	require.NoError(t, err)
	saved, err := s.Load()
	require.NoError(t, err)
	assert.EqualValues(t, testID, s.ID())
	assert.EqualValues(t, 4, saved.HardState.GetTerm())
	assert.EqualValues(t, 26, saved.Entries[0].GetIndex())
	assert.EqualValues(t, 30, saved.Entries[len(saved.Entries)-1].GetIndex())
	assert.EqualValues(t, 4, saved.Entries[len(saved.Entries)-1].GetTerm())
	snapshot, err := s.Snapshot()
	require.NoError(t, err)
	assert.Equal(t, "state", string(snapshot.GetData()))
}

// The file of a member that has voted is truncated, or bytes of it are flipped or
// zeroed. The member must refuse to start, or start with its complete state: a
// member that lost its vote could help to elect two leaders in one term, and one
// that lost an acknowledged entry could allow it to be overwritten.
func TestCorruptStorageIsRejected(t *testing.T) {
	whole, err := os.ReadFile(databasePath(newFilledFolder(t)))
	require.NoError(t, err)
	want := loadFrom(t, whole)
	rejected, harmless := 0, 0
	try := func(description string, data []byte) {
		got, err := tryLoad(t, data)
		if err != nil {
			rejected++
			assert.True(t, errors.Is(err, consensus.ErrCorrupt), "%s: %v", description, err)
			return
		}
		harmless++
		assert.True(t, equalSaved(want, got), "%s: state was lost without an error", description)
	}
	for size := 0; size < len(whole); size += 1024 {
		try(fmt.Sprintf("truncated to %d bytes", size), whole[:size])
	}
	for at := 0; at < len(whole); at += 61 {
		flipped := append([]byte(nil), whole...)
		flipped[at] ^= 0x41
		try(fmt.Sprintf("byte %d flipped", at), flipped)
	}
	for at := 0; at+4096 <= len(whole); at += 4096 {
		zeroed := append([]byte(nil), whole...)
		clear(zeroed[at : at+4096])
		try(fmt.Sprintf("page at %d zeroed", at), zeroed)
	}
	t.Logf("%d corruptions rejected, %d harmless", rejected, harmless)
	assert.NotZero(t, rejected)
}

func tryLoad(t *testing.T, data []byte) (consensus.Saved, error) {
	t.Helper()
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(databasePath(folder), data, 0o600))
	s, err := consensus.OpenStorage(consensus.StorageConfig{Folder: folder, Group: 1, NewID: func() uint64 { return testID + 1 }})
	if err != nil {
		return consensus.Saved{}, err
	}
	defer func() { _ = s.Close() }()
	if s.ID() != testID {
		// The storage is treated as new, and the member joins as a learner.
		return consensus.Saved{}, errors.Newf("another identity: %w", consensus.ErrCorrupt)
	}
	return s.Load()
}

func loadFrom(t *testing.T, data []byte) consensus.Saved {
	t.Helper()
	saved, err := tryLoad(t, data)
	require.NoError(t, err)
	return saved
}

func equalSaved(a, b consensus.Saved) bool {
	if !proto.Equal(a.HardState, b.HardState) || !proto.Equal(a.Snapshot, b.Snapshot) || len(a.Entries) != len(b.Entries) {
		return false
	}
	for i := range a.Entries {
		if !proto.Equal(a.Entries[i], b.Entries[i]) {
			return false
		}
	}
	return true
}

// A host whose database file is missing starts under a new id, so that it cannot
// vote a second time in a term in which its old id has voted.
func TestLostDiskGetsNewID(t *testing.T) {
	folder := newFilledFolder(t)
	require.NoError(t, os.Remove(databasePath(folder)))
	s, err := consensus.OpenStorage(consensus.StorageConfig{Folder: folder, Group: 1, NewID: func() uint64 { return 8 }})
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	assert.EqualValues(t, 8, s.ID())
	stored, err := s.Membership()
	require.NoError(t, err)
	assert.Nil(t, stored)
}

func TestTwoProcessesCannotShareAFolder(t *testing.T) {
	folder := t.TempDir()
	_, err := openStorage(t, folder)
	require.NoError(t, err)
	_, err = openStorage(t, folder)
	assert.ErrorContains(t, err, "another process")
}

func TestFullDiskIsReported(t *testing.T) {
	free := uint64(1 << 40)
	s, err := consensus.OpenStorage(consensus.StorageConfig{
		Folder: t.TempDir(), Group: 1, NewID: func() uint64 { return testID },
		FreeBytes: func(string) (uint64, error) { return free, nil },
	})
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	require.NoError(t, s.CheckFreeSpace())
	free = 1 << 20
	assert.True(t, errors.Is(s.CheckFreeSpace(), consensus.ErrDiskFull))
}

// A member that was partitioned for long is sent a snapshot, which replaces a log of
// several pages. A search for the last entry in pages emptied by the same
// transaction never ends: the member stops replying, and two such members leave the
// group without a quorum.
func TestSnapshotReplacesLogOfSeveralPages(t *testing.T) {
	const entries, size = 200, 3000
	s, err := consensus.OpenStorage(consensus.StorageConfig{
		Folder: t.TempDir(), Group: 1, NewID: func() uint64 { return 1 },
	})
	require.NoError(t, err)
	require.NoError(t, s.Bootstrap(&schema.Membership{}))
	log := make([]*schema.LogEntry, 0, entries)
	for i := range uint64(entries) {
		log = append(log, &schema.LogEntry{Index: consensus.FirstIndex + 1 + i, Term: 1, Data: make([]byte, size)})
	}
	require.NoError(t, s.Save(consensus.Ready{HardState: &schema.HardState{Term: 1}, Entries: log}))

	const index = 10 * entries
	require.NoError(t, s.Save(consensus.Ready{
		HardState: &schema.HardState{Term: 2, Commit: index},
		Snapshot:  &schema.SnapshotState{Index: index, Term: 2, Membership: &schema.Membership{}},
	}))
	saved, err := s.Load()
	require.NoError(t, err)
	require.Equal(t, uint64(index), saved.Snapshot.GetIndex())
	require.Empty(t, saved.Entries)
	require.NoError(t, s.Close())
}
