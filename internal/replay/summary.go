package replay

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// curve holds the multiples of the idle price at which the policy in use is
// drawn; 1 is the deployment's own weight.
var curve = []float64{0.03, 0.1, 0.3, 1, 3, 10, 30, 100}

const oursName = "ours"

// All returns the policy in use along its curve and the baselines.
func All() []Policy {
	var out []Policy
	for _, x := range curve {
		name := fmt.Sprintf("%s x%g", oursName, x)
		if x == 1 {
			name = oursName
		}
		out = append(out, Ours(name, x))
	}
	return append(out, Baselines()...)
}

// Summary is a policy's mean over seeds; times are in seconds.
type Summary struct {
	Policy        string  `json:"policy"`
	Seeds         int     `json:"seeds"`
	P50           float64 `json:"cold-start-p50"`
	P95           float64 `json:"cold-start-p95"`
	P99           float64 `json:"cold-start-p99"`
	P99Spread     float64 `json:"cold-start-p99-spread"`
	Mean          float64 `json:"cold-start-mean"`
	IdleHours     float64 `json:"idle-accelerator-hours"`
	IdleSpread    float64 `json:"idle-accelerator-hours-spread"`
	LateShare     float64 `json:"late-share"`
	Refused       float64 `json:"refused"`
	Loads         float64 `json:"loads"`
	RemoteGiB     float64 `json:"weight-store-gib"`
	Visits        float64 `json:"visits"`
	ForecastError float64 `json:"forecast-error-p95"`
}

// Summarize joins the results of each policy over its seeds, in the order in
// which the policies first appear.
func Summarize(results []Result) []Summary {
	var order []string
	by := map[string][]Result{}
	for _, r := range results {
		if len(by[r.policy]) == 0 {
			order = append(order, r.policy)
		}
		by[r.policy] = append(by[r.policy], r)
	}
	var out []Summary
	for _, name := range order {
		out = append(out, summarize(name, by[name]))
	}
	return out
}

func summarize(name string, results []Result) Summary {
	of := func(value func(Result) float64) (mean, spread float64) {
		var values []float64
		for _, r := range results {
			values = append(values, value(r))
		}
		if len(values) == 1 {
			return values[0], 0
		}
		return stat.MeanStdDev(values, nil)
	}
	s := Summary{Policy: name, Seeds: len(results)}
	s.P50, _ = of(func(r Result) float64 { return r.ColdStart(50).Seconds() })
	s.P95, _ = of(func(r Result) float64 { return r.ColdStart(95).Seconds() })
	s.P99, s.P99Spread = of(func(r Result) float64 { return r.ColdStart(99).Seconds() })
	s.Mean, _ = of(func(r Result) float64 { return r.MeanColdStart().Seconds() })
	s.IdleHours, s.IdleSpread = of(Result.IdleHours)
	s.LateShare, _ = of(Result.LateShare)
	s.Refused, _ = of(func(r Result) float64 { return float64(r.refused) })
	s.Loads, _ = of(func(r Result) float64 { return float64(r.loads) })
	s.RemoteGiB, _ = of(Result.RemoteGiB)
	s.Visits, _ = of(func(r Result) float64 { return float64(r.Visits()) })
	s.ForecastError, _ = of(func(r Result) float64 { return r.ForecastError(95).Seconds() })
	return s
}

// Plot draws cold-start p99 against idle accelerator hours into an .svg or .png
// file: the policy in use as a curve, every baseline as a point.
func Plot(file, title string, summaries []Summary) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "idle accelerator hours"
	p.Y.Label.Text = "cold-start p99 in seconds"
	var ours plotter.XYs
	labels := plotter.XYLabels{}
	for _, s := range summaries {
		at := plotter.XY{X: s.IdleHours, Y: s.P99}
		if len(s.Policy) >= len(oursName) && s.Policy[:len(oursName)] == oursName {
			ours = append(ours, at)
			continue
		}
		labels.XYs = append(labels.XYs, at)
		labels.Labels = append(labels.Labels, s.Policy)
	}
	line, points, err := plotter.NewLinePoints(ours)
	if err != nil {
		return errors.Newf("draw curve: %w", err)
	}
	baselines, err := plotter.NewScatter(labels.XYs)
	if err != nil {
		return errors.Newf("draw baselines: %w", err)
	}
	baselines.Shape = draw.CrossGlyph{}
	names, err := plotter.NewLabels(labels)
	if err != nil {
		return errors.Newf("draw names: %w", err)
	}
	p.Add(plotter.NewGrid(), line, points, baselines, names)
	p.Legend.Add(oursName, line, points)
	if err := p.Save(16*vg.Centimeter, 12*vg.Centimeter, file); err != nil {
		return errors.Newf("write plot: %w", err)
	}
	return nil
}
