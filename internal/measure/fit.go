// Package measure works out the slopes on which docs/CAPACITY.md rests, with
// small stand-ins on one machine.
package measure

import (
	"math"
	"runtime"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Slope is a straight line fitted to measured points.
type Slope struct {
	name      string
	xUnit     string
	yUnit     string
	perUnit   float64
	base      float64
	stderr    float64
	xs, ys    []float64
	mechanism string
}

// Name tells what was measured.
func (s Slope) Name() string { return s.name }

// PerUnit returns the rise of y for one unit of x.
func (s Slope) PerUnit() float64 { return s.perUnit }

// Base returns y at x = 0.
func (s Slope) Base() float64 { return s.base }

// Error returns the standard error of PerUnit.
func (s Slope) Error() float64 { return s.stderr }

// Units returns the units of x and y.
func (s Slope) Units() (x, y string) { return s.xUnit, s.yUnit }

// At returns y at a value of x, by the fitted line.
func (s Slope) At(x float64) float64 { return s.base + s.perUnit*x }

// Points returns the measured points.
func (s Slope) Points() (xs, ys []float64) { return s.xs, s.ys }

// Mechanism names the part of the system that the slope belongs to.
func (s Slope) Mechanism() string { return s.mechanism }

func (s Slope) fit() Slope {
	s.base, s.perUnit = stat.LinearRegression(s.xs, s.ys, nil, false)
	n := float64(len(s.xs))
	meanX := stat.Mean(s.xs, nil)
	residuals, spread := 0.0, 0.0
	for i, x := range s.xs {
		residuals += math.Pow(s.ys[i]-s.At(x), 2)
		spread += math.Pow(x-meanX, 2)
	}
	if n > 2 && spread > 0 {
		s.stderr = math.Sqrt(residuals / (n - 2) / spread)
	}
	return s
}

// cpuTime returns the processor time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the live heap after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
