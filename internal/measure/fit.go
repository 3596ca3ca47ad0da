// Package measure measures how the cost of each component grows with its load. The
// fitted slopes are the basis of docs/CAPACITY.md. It runs small instances of the
// components on one machine.
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
	name          string
	xUnit         string
	yUnit         string
	perUnit       float64
	intercept     float64
	standardError float64
	xs, ys        []float64
	component     string
}

// Name returns the name of the measured value.
func (s Slope) Name() string { return s.name }

// PerUnit returns the increase of y per unit of x.
func (s Slope) PerUnit() float64 { return s.perUnit }

// Intercept returns y at x = 0.
func (s Slope) Intercept() float64 { return s.intercept }

// Error returns the standard error of PerUnit.
func (s Slope) Error() float64 { return s.standardError }

// Units returns the units of x and y.
func (s Slope) Units() (x, y string) { return s.xUnit, s.yUnit }

// At returns y at a value of x according to the fitted line.
func (s Slope) At(x float64) float64 { return s.intercept + s.perUnit*x }

// Points returns the measured points.
func (s Slope) Points() (xs, ys []float64) { return s.xs, s.ys }

// Component returns the name of the component that was measured.
func (s Slope) Component() string { return s.component }

// fit returns s with the least-squares line through its points.
func (s Slope) fit() Slope {
	s.intercept, s.perUnit = stat.LinearRegression(s.xs, s.ys, nil, false)
	n := float64(len(s.xs))
	meanX := stat.Mean(s.xs, nil)
	squaredResiduals, squaredDeviations := 0.0, 0.0
	for i, x := range s.xs {
		squaredResiduals += math.Pow(s.ys[i]-s.At(x), 2)
		squaredDeviations += math.Pow(x-meanX, 2)
	}
	if n > 2 && squaredDeviations > 0 {
		s.standardError = math.Sqrt(squaredResiduals / (n - 2) / squaredDeviations)
	}
	return s
}

// cpuTime returns the user and system time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the size of the live heap in bytes after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
