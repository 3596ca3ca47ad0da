package consensus

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"fennelyard/internal/schema"
)

var (
	// ErrCorrupt is returned if the data folder contains data that was not written
	// in that form. The member must not start from it: a vote or an acknowledged
	// entry may be lost.
	ErrCorrupt = errors.New("the data folder is damaged")
	// ErrDiskFull is returned if the free disk space is below the reserve.
	ErrDiskFull = errors.New("the disk of the leader is full")
)

const (
	// FirstIndex is the index of the snapshot that every initial member starts
	// from. It is not 0, so that a member that joins later must be sent a
	// snapshot, which includes the membership.
	FirstIndex   = 1
	firstTerm    = 1
	lockTimeout  = 2 * time.Second
	folderMode   = 0o750
	fileMode     = 0o640
	checksumSize = 4
	indexSize    = 8
	// defaultReserveBytes is the default of StorageConfig.ReserveBytes.
	defaultReserveBytes = 64 << 20
)

var (
	stateBucket     = []byte("state")
	logBucket       = []byte("log")
	identityKey     = []byte("identity")
	hardStateKey    = []byte("hard-state")
	snapshotKey     = []byte("snapshot")
	snapshotDataKey = []byte("snapshot-data")
	castagnoli      = crc32.MakeTable(crc32.Castagnoli)
)

// StorageConfig configures a Storage. Folder and NewID are required.
type StorageConfig struct {
	// Folder is the data folder. It is created if it does not exist.
	Folder string
	Group  uint64
	// NewID returns a random id other than 0 for a new disk.
	NewID func() uint64
	// FreeBytes returns the free space on the disk of a folder; nil means never
	// full.
	FreeBytes func(folder string) (uint64, error)
	// ReserveBytes is the space that is left free on the disk for elections
	// and snapshots; 0 means 64 MiB.
	ReserveBytes uint64
	// BeforeWrite, if set, is called before each write. It can block to simulate a
	// stalled disk.
	BeforeWrite func()
}

// Storage persists the state of a member. Every method that writes returns only
// after the sync. It is not safe for concurrent use, except for CheckFreeSpace.
type Storage struct {
	cfg StorageConfig
	db  *bbolt.DB
	id  uint64
}

// OpenStorage opens or creates the storage of a group's member. A new storage has
// a new random id, so that a member that lost its disk cannot rejoin under an
// identity whose votes it has lost. It fails with ErrCorrupt if the checksum of a
// record or the order of the log is wrong.
func OpenStorage(cfg StorageConfig) (*Storage, error) {
	if err := os.MkdirAll(cfg.Folder, folderMode); err != nil {
		return nil, errors.Newf("create data folder: %w", err)
	}
	path := filepath.Join(cfg.Folder, "group-"+strconv.FormatUint(cfg.Group, 10)+".db")
	if err := checkDatabaseFile(path); err != nil {
		return nil, errors.Newf("check %s: %w", path, err)
	}
	if cfg.ReserveBytes == 0 {
		cfg.ReserveBytes = defaultReserveBytes
	}
	s := &Storage{cfg: cfg}
	if err := s.open(path); err != nil {
		return nil, errors.Newf("open %s: %w", path, err)
	}
	if err := syncFolder(cfg.Folder); err != nil {
		return nil, errors.Newf("sync data folder: %w", err)
	}
	return s, nil
}

// open opens the database and converts panics and faults of a corrupt one into
// ErrCorrupt.
func (s *Storage) open(path string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("%v: %w", r, ErrCorrupt)
		}
	}()
	// The list of free pages is stored. Without it bbolt would scan the file in
	// its own goroutine, where a fault cannot be recovered.
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout})
	switch {
	case errors.Is(err, bbolt.ErrTimeout):
		return errors.New("another process holds the data folder")
	case err != nil:
		return errors.Newf("%v: %w", err, ErrCorrupt)
	}
	s.db = db
	if err = s.prepare(); err != nil {
		_ = db.Close()
	}
	return err
}

// prepare creates or reads the identity, reads all records and runs bbolt's page
// check, so that corruption is detected at the start.
func (s *Storage) prepare() error {
	if err := s.db.Update(s.prepareBuckets); err != nil {
		return errors.Newf("prepare database: %w", err)
	}
	if _, err := s.Load(); err != nil {
		return err
	}
	return s.db.View(func(tx *bbolt.Tx) error {
		var first error
		for err := range tx.Check() {
			if first == nil {
				first = errors.Newf("%v: %w", err, ErrCorrupt)
			}
		}
		return first
	})
}

// prepareBuckets writes all state records of a new storage in one transaction. In
// an existing storage a missing record means corruption.
func (s *Storage) prepareBuckets(tx *bbolt.Tx) error {
	state := tx.Bucket(stateBucket)
	if state != nil {
		identity := &schema.Member{}
		if err := getChecked(state, identityKey, identity); err != nil {
			return errors.Newf("read identity: %w", err)
		}
		s.id = identity.GetId()
		return nil
	}
	state, err := tx.CreateBucket(stateBucket)
	if err != nil {
		return errors.Newf("create state bucket: %w", err)
	}
	if _, err = tx.CreateBucket(logBucket); err != nil {
		return errors.Newf("create log bucket: %w", err)
	}
	s.id = s.cfg.NewID()
	if err := putChecked(state, identityKey, &schema.Member{Id: s.id}); err != nil {
		return err
	}
	if err := putChecked(state, hardStateKey, &schema.HardState{}); err != nil {
		return err
	}
	return replaceSnapshot(tx, &schema.SnapshotState{})
}

// ID returns the member id that was created with this storage.
func (s *Storage) ID() uint64 { return s.id }

// Membership returns the membership in the stored snapshot, or nil if this member
// belongs to no group.
func (s *Storage) Membership() (*schema.Membership, error) {
	saved, err := s.Load()
	if err != nil {
		return nil, err
	}
	return saved.Snapshot.GetMembership(), nil
}

// Bootstrap stores the initial membership of a group.
func (s *Storage) Bootstrap(initial *schema.Membership) error {
	return s.SaveSnapshot(&schema.SnapshotState{Index: FirstIndex, Term: firstTerm, Membership: initial})
}

// Load reads and verifies everything. It returns the snapshot without its data.
func (s *Storage) Load() (Saved, error) {
	saved := Saved{HardState: &schema.HardState{}, Snapshot: &schema.SnapshotState{}}
	err := s.db.View(func(tx *bbolt.Tx) error {
		state := tx.Bucket(stateBucket)
		if state == nil || tx.Bucket(logBucket) == nil {
			return errors.Newf("a bucket is missing: %w", ErrCorrupt)
		}
		if err := getChecked(state, hardStateKey, saved.HardState); err != nil {
			return errors.Newf("read hard state: %w", err)
		}
		if err := getChecked(state, snapshotKey, saved.Snapshot); err != nil {
			return errors.Newf("read snapshot: %w", err)
		}
		if err := getChecked(state, snapshotDataKey, &schema.SnapshotState{}); err != nil {
			return errors.Newf("read snapshot data: %w", err)
		}
		var err error
		saved.Entries, err = loadEntries(tx, saved.Snapshot.GetIndex())
		return err
	})
	if err != nil {
		return Saved{}, errors.Newf("load: %w", err)
	}
	// A page that lost its last records is still valid by itself.
	last := saved.Snapshot.GetIndex() + uint64(len(saved.Entries))
	if want := max(saved.HardState.GetLast(), saved.Snapshot.GetIndex()); want != last {
		return Saved{}, errors.Newf("the log ends at index %d instead of %d: %w", last, want, ErrCorrupt)
	}
	return saved, nil
}

func loadEntries(tx *bbolt.Tx, offset uint64) ([]*schema.LogEntry, error) {
	var entries []*schema.LogEntry
	want := offset + 1
	c := tx.Bucket(logBucket).Cursor()
	for k, v := c.Seek(indexKey(want)); k != nil; k, v = c.Next() {
		e := &schema.LogEntry{}
		if err := decodeChecked(k, v, e); err != nil {
			return nil, errors.Newf("read entry %d: %w", want, err)
		}
		if e.GetIndex() != want || !bytes.Equal(k, indexKey(want)) {
			return nil, errors.Newf("entry %d is missing: %w", want, ErrCorrupt)
		}
		entries = append(entries, e)
		want++
	}
	return entries, nil
}

func (s *Storage) beforeWrite() {
	if s.cfg.BeforeWrite != nil {
		s.cfg.BeforeWrite()
	}
}

// Save stores the hard state, snapshot and entries of a Ready in one synced
// transaction.
func (s *Storage) Save(r Ready) error {
	if r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 {
		return nil
	}
	s.beforeWrite()
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if r.Snapshot != nil {
			if err := replaceSnapshot(tx, r.Snapshot); err != nil {
				return err
			}
			if err := dropAll(tx); err != nil {
				return err
			}
		}
		if err := putEntries(tx, r.Entries); err != nil {
			return err
		}
		if r.HardState == nil {
			return nil
		}
		return putChecked(tx.Bucket(stateBucket), hardStateKey, &schema.HardState{
			Term: r.HardState.GetTerm(), Vote: r.HardState.GetVote(), Commit: r.HardState.GetCommit(), Last: lastAfter(tx, r),
		})
	})
	if err != nil {
		return errors.Newf("save: %w", err)
	}
	return nil
}

func putEntries(tx *bbolt.Tx, entries []*schema.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	if err := dropFrom(tx, entries[0].GetIndex()); err != nil {
		return err
	}
	b := tx.Bucket(logBucket)
	// Indexes only increase, so pages can be filled completely.
	b.FillPercent = 1
	for _, e := range entries {
		if err := putChecked(b, indexKey(e.GetIndex()), e); err != nil {
			return err
		}
	}
	return nil
}

// dropAll drops the whole log.
func dropAll(tx *bbolt.Tx) error {
	if err := tx.DeleteBucket(logBucket); err != nil {
		return errors.Newf("drop log: %w", err)
	}
	if _, err := tx.CreateBucket(logBucket); err != nil {
		return errors.Newf("create log bucket: %w", err)
	}
	return nil
}

// lastAfter returns the index of the last stored entry after r is stored, or 0. It
// reads the database only if nothing was deleted in the transaction: a cursor that
// seeks the last key of pages emptied in the same transaction loops forever and
// blocks the member.
func lastAfter(tx *bbolt.Tx, r Ready) uint64 {
	if n := len(r.Entries); n > 0 {
		return r.Entries[n-1].GetIndex()
	}
	if r.Snapshot != nil {
		return 0
	}
	return lastIndex(tx)
}

// lastIndex returns the index of the last stored entry, or 0.
func lastIndex(tx *bbolt.Tx) uint64 {
	k, _ := tx.Bucket(logBucket).Cursor().Last()
	if k == nil {
		return 0
	}
	return binary.BigEndian.Uint64(k)
}

func dropFrom(tx *bbolt.Tx, index uint64) error {
	c := tx.Bucket(logBucket).Cursor()
	for k, _ := c.Seek(indexKey(index)); k != nil; k, _ = c.Seek(indexKey(index)) {
		if err := c.Delete(); err != nil {
			return errors.Newf("drop entry: %w", err)
		}
	}
	return nil
}

// SaveSnapshot stores a snapshot and drops the entries that it covers.
func (s *Storage) SaveSnapshot(snapshot *schema.SnapshotState) error {
	s.beforeWrite()
	err := s.db.Update(func(tx *bbolt.Tx) error {
		if err := replaceSnapshot(tx, snapshot); err != nil {
			return err
		}
		c := tx.Bucket(logBucket).Cursor()
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= snapshot.GetIndex(); k, _ = c.First() {
			if err := c.Delete(); err != nil {
				return errors.Newf("drop covered entry: %w", err)
			}
		}
		return nil
	})
	if err != nil {
		return errors.Newf("save snapshot: %w", err)
	}
	return nil
}

func replaceSnapshot(tx *bbolt.Tx, s *schema.SnapshotState) error {
	state := tx.Bucket(stateBucket)
	head := &schema.SnapshotState{Index: s.GetIndex(), Term: s.GetTerm(), Membership: s.GetMembership()}
	if err := putChecked(state, snapshotKey, head); err != nil {
		return err
	}
	return putChecked(state, snapshotDataKey, s)
}

// Snapshot returns the stored snapshot with its data.
func (s *Storage) Snapshot() (*schema.SnapshotState, error) {
	out := &schema.SnapshotState{}
	err := s.db.View(func(tx *bbolt.Tx) error {
		return getChecked(tx.Bucket(stateBucket), snapshotDataKey, out)
	})
	if err != nil {
		return nil, errors.Newf("read snapshot data: %w", err)
	}
	return out, nil
}

// CheckFreeSpace returns ErrDiskFull if proposals must be refused because of low disk
// space. Otherwise a full disk would terminate the process during a write, on all
// members at the same time.
func (s *Storage) CheckFreeSpace() error {
	if s.cfg.FreeBytes == nil {
		return nil
	}
	free, err := s.cfg.FreeBytes(s.cfg.Folder)
	if err != nil {
		return errors.Newf("ask for room: %w", err)
	}
	if free < s.cfg.ReserveBytes {
		return ErrDiskFull
	}
	return nil
}

// Close closes the database and releases the data folder.
func (s *Storage) Close() error {
	if err := s.db.Close(); err != nil {
		return errors.Newf("close storage: %w", err)
	}
	return nil
}

func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(make([]byte, 0, indexSize), index)
}

func putChecked(b *bbolt.Bucket, key []byte, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return errors.Newf("encode record: %w", err)
	}
	value := binary.BigEndian.AppendUint32(make([]byte, 0, checksumSize+len(data)), checksum(key, data))
	if err := b.Put(key, append(value, data...)); err != nil {
		return errors.Newf("put record: %w", err)
	}
	return nil
}

func getChecked(b *bbolt.Bucket, key []byte, m proto.Message) error {
	return decodeChecked(key, b.Get(key), m)
}

// decodeChecked verifies and decodes a record. It does not panic on any input.
func decodeChecked(key, value []byte, m proto.Message) error {
	if len(value) < checksumSize {
		return errors.Newf("record of %d bytes: %w", len(value), ErrCorrupt)
	}
	data := value[checksumSize:]
	if checksum(key, data) != binary.BigEndian.Uint32(value) {
		return errors.Newf("checksum: %w", ErrCorrupt)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return errors.Newf("%v: %w", err, ErrCorrupt)
	}
	return nil
}

// checksum covers the key too, so that a record under a wrong key is rejected.
func checksum(key, data []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, data)
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return errors.Newf("open folder: %w", err)
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}
