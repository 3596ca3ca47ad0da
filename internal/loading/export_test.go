package loading

import "time"

// Demand exposes the demand of one target.
type Demand struct{ d demand }

// Record records one request.
func (x *Demand) Record(at time.Time) { x.d.record(1, 0, 0, at) }

// ExpectedRate returns the expected request rate.
func (x *Demand) ExpectedRate(at time.Time) float64 { return x.d.expectedRate(at) }

// Store exposes the estimate of a weight store.
type Store struct{ s store }

// NewStore returns the estimate of a store of unknown speed.
func NewStore() *Store { return &Store{} }

// Concurrency returns the number of loads to run concurrently.
func (x *Store) Concurrency() int { return x.s.concurrency() }

// RecordLoad records the time of a completed load.
func (x *Store) RecordLoad(concurrent int, took, full time.Duration) {
	x.s.recordLoad(concurrent, took, full)
}

// RecordProgress records the time of a load in progress.
func (x *Store) RecordProgress(concurrent int, elapsed, full time.Duration) {
	x.s.recordProgress(concurrent, elapsed, full)
}

// RetryDelayAfter returns the delay before an order without a reply is sent again.
func RetryDelayAfter(attempts int) time.Duration { return retryDelayAfter(attempts) }
