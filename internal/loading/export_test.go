package loading

import "time"

// Demand is what callers asked for of one model, for tests of the forecast.
type Demand struct{ d demand }

// Arrive notes a request.
func (x *Demand) Arrive(at time.Time) { x.d.arrive(1, 0, 0, at) }

// Rate returns the rate to be expected.
func (x *Demand) Rate(at time.Time) float64 { return x.d.rateAt(at) }

// Store is what is learned of a weight store.
type Store struct{ s store }

// NewStore returns a store of which nothing is known.
func NewStore() *Store { return &Store{} }

// AtOnce is how many loads it is given at once.
func (x *Store) AtOnce() int { return x.s.atOnce() }

// Ended notes a load's end.
func (x *Store) Ended(atOnce int, took, full time.Duration) { x.s.ended(atOnce, took, full) }

// Running notes a load that goes on.
func (x *Store) Running(atOnce int, gone, full time.Duration) { x.s.running(atOnce, gone, full) }

// AgainAfter is how long after so many tries an order without an answer is given again.
func AgainAfter(tries int) time.Duration { return againAfter(tries) }
