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

// idlePriceFactors are the factors of the idle price with which the cost-based policy is
// replayed. 1 is the price of the deployment.
var idlePriceFactors = []float64{0.03, 0.1, 0.3, 1, 3, 10, 30, 100}

// costBasedName is the name of the cost-based policy in outputs.
const costBasedName = "ours"

// AllPolicies returns the cost-based policy with each of idlePriceFactors, and the baselines.
func AllPolicies() []Policy {
	var out []Policy
	for _, factor := range idlePriceFactors {
		name := fmt.Sprintf("%s x%g", costBasedName, factor)
		if factor == 1 {
			name = costBasedName
		}
		out = append(out, CostBased(name, factor))
	}
	return append(out, Baselines()...)
}

// Summary is the mean of the results of a policy over all seeds. Times are in seconds, and
// spreads are standard deviations.
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

// Summarize returns a summary of each policy, in the order in which the policies first
// appear in the results.
func Summarize(results []Result) []Summary {
	var order []string
	byPolicy := map[string][]Result{}
	for _, r := range results {
		if len(byPolicy[r.policy]) == 0 {
			order = append(order, r.policy)
		}
		byPolicy[r.policy] = append(byPolicy[r.policy], r)
	}
	var out []Summary
	for _, name := range order {
		out = append(out, summarize(name, byPolicy[name]))
	}
	return out
}

func summarize(name string, results []Result) Summary {
	meanAndSpread := func(value func(Result) float64) (mean, spread float64) {
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
	s.P50, _ = meanAndSpread(func(r Result) float64 { return r.ColdStart(50).Seconds() })
	s.P95, _ = meanAndSpread(func(r Result) float64 { return r.ColdStart(95).Seconds() })
	s.P99, s.P99Spread = meanAndSpread(func(r Result) float64 { return r.ColdStart(99).Seconds() })
	s.Mean, _ = meanAndSpread(func(r Result) float64 { return r.MeanColdStart().Seconds() })
	s.IdleHours, s.IdleSpread = meanAndSpread(Result.IdleHours)
	s.LateShare, _ = meanAndSpread(Result.LateShare)
	s.Refused, _ = meanAndSpread(func(r Result) float64 { return float64(r.refused) })
	s.Loads, _ = meanAndSpread(func(r Result) float64 { return float64(r.loads) })
	s.RemoteGiB, _ = meanAndSpread(Result.RemoteGiB)
	s.Visits, _ = meanAndSpread(func(r Result) float64 { return float64(r.Visits()) })
	s.ForecastError, _ = meanAndSpread(func(r Result) float64 { return r.ForecastError(95).Seconds() })
	return s
}

// Plot writes a plot of the cold-start p99 over idle accelerator hours to an .svg or .png
// file. It shows the cost-based policy as a curve and each baseline as a point.
func Plot(file, title string, summaries []Summary) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "idle accelerator hours"
	p.Y.Label.Text = "cold-start p99 in seconds"
	var costBased plotter.XYs
	labels := plotter.XYLabels{}
	for _, s := range summaries {
		at := plotter.XY{X: s.IdleHours, Y: s.P99}
		if len(s.Policy) >= len(costBasedName) && s.Policy[:len(costBasedName)] == costBasedName {
			costBased = append(costBased, at)
			continue
		}
		labels.XYs = append(labels.XYs, at)
		labels.Labels = append(labels.Labels, s.Policy)
	}
	line, points, err := plotter.NewLinePoints(costBased)
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
	p.Legend.Add(costBasedName, line, points)
	if err := p.Save(16*vg.Centimeter, 12*vg.Centimeter, file); err != nil {
		return errors.Newf("write plot: %w", err)
	}
	return nil
}
