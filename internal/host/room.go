package host

import (
	"syscall"

	"github.com/cockroachdb/errors"
)

// freeBytes tells the room left for this process on a folder's disk.
func freeBytes(folder string) (uint64, error) {
	var s syscall.Statfs_t
	if err := syscall.Statfs(folder, &s); err != nil {
		return 0, errors.Newf("statfs: %w", err)
	}
	return s.Bavail * uint64(s.Bsize), nil
}
