package consensus

import (
	"math/rand/v2"
	"syscall"

	"github.com/cockroachdb/errors"
)

// FreeBytes returns the free space in bytes that is available to unprivileged
// processes on the disk of a folder.
func FreeBytes(folder string) (uint64, error) {
	var s syscall.Statfs_t
	if err := syscall.Statfs(folder, &s); err != nil {
		return 0, errors.Newf("statfs: %w", err)
	}
	return s.Bavail * uint64(s.Bsize), nil
}

// RandomID returns a random id for a new disk. It never returns 0, which means no
// member.
func RandomID() uint64 {
	for {
		if id := rand.Uint64(); id != 0 {
			return id
		}
	}
}
