package memory

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// PlacesConfig configures Places. Each is required.
type PlacesConfig struct {
	// Bytes is the memory of all places, and Each that of one; there is at least one.
	Bytes, Each int64
}

// Places are equal parts of memory that are taken as a whole: those who wait for each other to give back
// a part of what they need would wait for ever. They are safe for concurrent use.
type Places struct {
	free *semaphore.Weighted
}

// NewPlaces returns Places that are all free.
func NewPlaces(cfg PlacesConfig) *Places {
	return &Places{free: semaphore.NewWeighted(max(cfg.Bytes/cfg.Each, 1))}
}

// Reserve waits for a place until ctx ends. release must be called once.
func (p *Places) Reserve(ctx context.Context) (release func(), err error) {
	if err = p.free.Acquire(ctx, 1); err != nil {
		return nil, errors.Newf("await memory: %w", err)
	}
	return func() { p.free.Release(1) }, nil
}
