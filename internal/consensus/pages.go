package consensus

import (
	"encoding/binary"
	"hash/fnv"
	"os"

	"github.com/cockroachdb/errors"
)

// The layout of bbolt's two meta pages, as documented in its file format.
const (
	pageHeaderSize      = 16
	metaMagic           = 0xED0CDAED
	metaSize            = 64
	metaChecksumOffset  = 56
	metaPageSizeOffset  = 8
	metaPageCountOffset = 40
	maxPageSize         = 64 << 10
)

// checkDatabaseFile rejects files that bbolt would accept or fault on: an empty
// file, which it initializes as a new database; a corrupt meta page, for which it
// falls back to the state before the last transaction and so loses a vote or an
// acknowledged entry; and a file that is shorter than its pages, on which it faults.
// A missing file means a new disk.
func checkDatabaseFile(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Newf("open: %w", err)
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err != nil {
		return errors.Newf("stat file: %w", err)
	}
	first, err := readMeta(f, 0)
	if err != nil {
		return errors.Newf("first meta page: %w", err)
	}
	second, err := readMeta(f, int64(first.pageSize))
	if err != nil {
		return errors.Newf("second meta page: %w", err)
	}
	if need := max(first.pages, second.pages) * uint64(first.pageSize); uint64(info.Size()) < need {
		return errors.Newf("file has %d of %d bytes: %w", info.Size(), need, ErrCorrupt)
	}
	return nil
}

type metaPage struct {
	pageSize uint32
	pages    uint64
}

func readMeta(f *os.File, at int64) (metaPage, error) {
	buf := make([]byte, pageHeaderSize+metaSize)
	if _, err := f.ReadAt(buf, at); err != nil {
		return metaPage{}, errors.Newf("%v: %w", err, ErrCorrupt)
	}
	meta := buf[pageHeaderSize:]
	sum := fnv.New64a()
	_, _ = sum.Write(meta[:metaChecksumOffset])
	m := metaPage{
		pageSize: binary.NativeEndian.Uint32(meta[metaPageSizeOffset:]),
		pages:    binary.NativeEndian.Uint64(meta[metaPageCountOffset:]),
	}
	if binary.NativeEndian.Uint32(meta) != metaMagic || sum.Sum64() != binary.NativeEndian.Uint64(meta[metaChecksumOffset:]) ||
		m.pageSize == 0 || m.pageSize > maxPageSize || m.pages > 1<<40 {
		return metaPage{}, ErrCorrupt
	}
	return m, nil
}
