package consensus

import (
	"math/rand/v2"
	"syscall"

	"github.com/cockroachdb/errors"
)

// FreeBytes tells the room left for this process on a folder's disk.
func FreeBytes(folder string) (uint64, error) {
	var s syscall.Statfs_t
	if err := syscall.Statfs(folder, &s); err != nil {
		return 0, errors.Newf("statfs: %w", err)
	}
	return s.Bavail * uint64(s.Bsize), nil
}

// RandomID returns an id for a new disk. It never returns 0, which means none.
func RandomID() uint64 {
	for {
		if id := rand.Uint64(); id != 0 {
			return id
		}
	}
}
