package consensus

import (
	"encoding/binary"
	"hash/fnv"
	"os"

	"github.com/cockroachdb/errors"
)

// The places of bbolt's two meta pages, by its documented file format.
const (
	pageHeader     = 16
	metaMagic      = 0xED0CDAED
	metaSize       = 64
	metaSumAt      = 56
	metaPageSizeAt = 8
	metaPagesAt    = 40
	maxPageSize    = 64 << 10
)

// checkFile refuses what bbolt would take silently: an empty file, which it
// fills in as a new database; a damaged meta page, behind which it goes back to
// the state before the last transaction, and so forgets a vote or an
// acknowledged entry; and a file that is shorter than its pages, on which it
// faults. A file that is not there is a new disk.
func checkFile(path string) error {
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
		return errors.Newf("look at file: %w", err)
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
		return errors.Newf("%d of %d bytes are there: %w", info.Size(), need, ErrCorrupt)
	}
	return nil
}

type metaPage struct {
	pageSize uint32
	pages    uint64
}

func readMeta(f *os.File, at int64) (metaPage, error) {
	buf := make([]byte, pageHeader+metaSize)
	if _, err := f.ReadAt(buf, at); err != nil {
		return metaPage{}, errors.Newf("%v: %w", err, ErrCorrupt)
	}
	meta := buf[pageHeader:]
	sum := fnv.New64a()
	_, _ = sum.Write(meta[:metaSumAt])
	m := metaPage{
		pageSize: binary.NativeEndian.Uint32(meta[metaPageSizeAt:]),
		pages:    binary.NativeEndian.Uint64(meta[metaPagesAt:]),
	}
	if binary.NativeEndian.Uint32(meta) != metaMagic || sum.Sum64() != binary.NativeEndian.Uint64(meta[metaSumAt:]) ||
		m.pageSize == 0 || m.pageSize > maxPageSize || m.pages > 1<<40 {
		return metaPage{}, ErrCorrupt
	}
	return m, nil
}
