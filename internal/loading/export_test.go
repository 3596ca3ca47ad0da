package loading

import "time"

// Demand is what callers asked for of one model, for tests of the forecast.
type Demand struct{ d demand }

// Arrive notes a request.
func (x *Demand) Arrive(at time.Time) { x.d.arrive(1, 0, 0, at) }

// Rate returns the rate to be expected.
func (x *Demand) Rate(at time.Time) float64 { return x.d.rateAt(at) }
