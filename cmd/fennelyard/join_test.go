package main

import (
	"context"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
)

// A control host's disk is full when it starts. It waits for free space, because if it
// exited its supervisor would restart it again and again. Any other error and the signal to
// stop end it.
func TestHostWaitsForDiskSpace(t *testing.T) {
	full := errors.Newf("open state: %w", syscall.ENOSPC)
	other := errors.New("address in use")
	for name, test := range map[string]struct {
		// outcomes are the results of the starts in order; the last one repeats.
		outcomes []error
		stopped  bool
		want     error
		starts   int
		duration time.Duration
	}{
		"space after three attempts": {[]error{full, full, full, nil}, false, nil, 4, 3 * time.Second},
		"another error":              {[]error{full, other}, false, other, 2, time.Second},
		"stopped while waiting":      {[]error{full}, true, syscall.ENOSPC, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if test.stopped {
					cancel()
				}
				began, starts := time.Now(), 0
				_, err := startHostWithDiskSpace(ctx, logr.Discard(), func() (hostRole, error) {
					starts++
					return nil, test.outcomes[min(starts, len(test.outcomes))-1]
				})
				require.ErrorIs(t, err, test.want)
				require.Equal(t, test.starts, starts)
				require.Equal(t, test.duration, time.Since(began))
			})
		})
	}
}
