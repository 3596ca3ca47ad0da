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
	// ErrCorrupt says that the data folder holds something that was never
	// written that way. The member must not start from it: it may have
	// forgotten a vote or an acknowledged entry.
	ErrCorrupt = errors.New("the data folder is damaged")
	// ErrDiskFull says that too little room is left to take on more.
	ErrDiskFull = errors.New("the disk of the leader is full")
)

const (
	// FirstIndex is the index of the snapshot that every first member starts
	// from. It is not 0, so that a member that joins later must be sent a
	// snapshot, and with it the membership.
	FirstIndex = 1
	firstTerm  = 1
	lockWait   = 2 * time.Second
	folderMode = 0o750
	fileMode   = 0o640
	sumSize    = 4
	indexSize  = 8
	// defaultReserve is left free for elections and snapshots on a full disk.
	defaultReserve = 64 << 20
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
	// Folder is the data folder; it is made when it is not there.
	Folder string
	Group  uint64
	// NewID makes a random id other than 0 for a new disk.
	NewID func() uint64
	// FreeBytes tells the room left on the disk; nil: never full.
	FreeBytes func(folder string) (uint64, error)
	// Reserve is left free on the disk for elections and snapshots, in bytes;
	// 0: 64 MiB.
	Reserve uint64
	// BeforeWrite, where set, is called before each write, which is as slow as it: a disk
	// that stalls.
	BeforeWrite func()
}

// Storage keeps what a member promised. Every method that writes returns only
// after the sync. It is not safe for several goroutines, but for Room.
type Storage struct {
	cfg StorageConfig
	db  *bbolt.DB
	id  uint64
}

// OpenStorage opens or makes the storage of a group's member. A new storage
// has a new random id: a member that lost its disk cannot come back under the
// identity whose votes it forgot. It fails with ErrDamaged where a record's
// checksum or the order of the log is wrong.
func OpenStorage(cfg StorageConfig) (*Storage, error) {
	if err := os.MkdirAll(cfg.Folder, folderMode); err != nil {
		return nil, errors.Newf("make data folder: %w", err)
	}
	path := filepath.Join(cfg.Folder, "group-"+strconv.FormatUint(cfg.Group, 10)+".db")
	if err := checkFile(path); err != nil {
		return nil, errors.Newf("check %s: %w", path, err)
	}
	if cfg.Reserve == 0 {
		cfg.Reserve = defaultReserve
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

// open turns the panics and faults of a damaged database into ErrDamaged.
func (s *Storage) open(path string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = errors.Newf("%v: %w", r, ErrCorrupt)
		}
	}()
	// The list of free pages is stored: without it bbolt would scan the file in
	// a goroutine of its own, where a fault cannot be caught.
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockWait})
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

// prepare makes or reads the identity, reads everything once and has bbolt
// check its pages, so that damage is found here and not later.
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

// prepareBuckets writes every state record at once when the storage is new;
// later the absence of any of them is damage.
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
		return errors.Newf("make state bucket: %w", err)
	}
	if _, err = tx.CreateBucket(logBucket); err != nil {
		return errors.Newf("make log bucket: %w", err)
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

// ID returns the id that was made with this disk.
func (s *Storage) ID() uint64 { return s.id }

// Membership returns the group's membership in the stored snapshot, or nil while
// this member belongs to no group.
func (s *Storage) Membership() (*schema.Membership, error) {
	saved, err := s.Load()
	if err != nil {
		return nil, err
	}
	return saved.Snapshot.GetMembership(), nil
}

// Bootstrap makes this member one of a group's first members.
func (s *Storage) Bootstrap(first *schema.Membership) error {
	return s.SaveSnapshot(&schema.SnapshotState{Index: FirstIndex, Term: firstTerm, Membership: first})
}

// Load reads and checks everything but the snapshot's data.
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
	// A page that lost its last records still reads well.
	last := saved.Snapshot.GetIndex() + uint64(len(saved.Entries))
	if want := max(saved.HardState.GetLast(), saved.Snapshot.GetIndex()); want != last {
		return Saved{}, errors.Newf("the log ends at %d and not at %d: %w", last, want, ErrCorrupt)
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

// Save stores a Ready's hard state, snapshot and entries in one synced step.
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
	// Indexes only grow, so pages can be filled to the brim.
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
		return errors.Newf("make log bucket: %w", err)
	}
	return nil
}

// lastAfter returns the index of the last stored entry once r is stored, or 0.
// It asks the database only where nothing was deleted in the transaction: a
// cursor that looks for the last key of pages that were emptied just now goes
// round for ever, and the member with it.
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

// Snapshot reads the stored snapshot with its data.
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

// CheckFreeSpace returns ErrDiskFull when proposals should be refused. A full disk would
// otherwise end the process in the middle of a write, on all members at once.
func (s *Storage) CheckFreeSpace() error {
	if s.cfg.FreeBytes == nil {
		return nil
	}
	free, err := s.cfg.FreeBytes(s.cfg.Folder)
	if err != nil {
		return errors.Newf("ask for room: %w", err)
	}
	if free < s.cfg.Reserve {
		return ErrDiskFull
	}
	return nil
}

// Close frees the data folder.
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
	value := binary.BigEndian.AppendUint32(make([]byte, 0, sumSize+len(data)), checksum(key, data))
	if err := b.Put(key, append(value, data...)); err != nil {
		return errors.Newf("put record: %w", err)
	}
	return nil
}

func getChecked(b *bbolt.Bucket, key []byte, m proto.Message) error {
	return decodeChecked(key, b.Get(key), m)
}

// decodeChecked never panics on any bytes.
func decodeChecked(key, value []byte, m proto.Message) error {
	if len(value) < sumSize {
		return errors.Newf("record of %d bytes: %w", len(value), ErrCorrupt)
	}
	data := value[sumSize:]
	if checksum(key, data) != binary.BigEndian.Uint32(value) {
		return errors.Newf("checksum: %w", ErrCorrupt)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return errors.Newf("%v: %w", err, ErrCorrupt)
	}
	return nil
}

// checksum covers the key too, or a record under a wrong key would pass.
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
