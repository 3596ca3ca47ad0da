package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"fennelyard/internal/replay"
)

type policyFlags struct {
	deployment string
	seeds      []int64
	days       int
	warmUp     int
	arrivals   string
	output     string
	plot       string
}

func newMeasurePolicy() *cobra.Command {
	var f policyFlags
	c := &cobra.Command{
		Use: "policy", Short: "Replay arrivals through the placement policy and its baselines",
		Long: `policy replays arrivals through the decision code alone, on simulated time: no
network, no processes. It prints the cold-start time of visits (the first request
of a target after a minute without one; 0 when a replica was loaded) and the idle
accelerator hours, for the policy at several idle prices and for the baselines, and
its progress on standard error. One seed is enough to distinguish policies; use three
or more for spreads.`,
		Example: "  fennelyard measure policy --deployment kapiti --seeds 101,102,103 --plot kapiti.svg",
		Args:    cobra.NoArgs,
		RunE:    func(c *cobra.Command, _ []string) error { return measurePolicy(c, f) },
	}
	c.Flags().StringVar(&f.deployment, "deployment", "quillen-ridge", "deployment to generate: quillen-ridge or kapiti")
	c.Flags().Int64SliceVar(&f.seeds, "seeds", []int64{101}, "seeds of the generated days; each takes some seconds")
	c.Flags().IntVar(&f.days, "days", 7, "days to measure")
	c.Flags().IntVar(&f.warmUp, "warm-up", 7, "days that are replayed before the measured ones")
	c.Flags().StringVar(&f.arrivals, "arrivals", "", "CSV file (seconds,target) of recorded arrivals, which replace the generated ones")
	c.Flags().StringVar(&f.plot, "plot", "", "write a plot of the trade-off to this .svg or .png file")
	addOutputFlag(c, &f.output)
	return c
}

func measurePolicy(c *cobra.Command, f policyFlags) error {
	d, ok := map[string]replay.Deployment{"quillen-ridge": replay.QuillenRidge, "kapiti": replay.Kapiti}[f.deployment]
	if !ok {
		return errors.Newf("--deployment %q: must be quillen-ridge or kapiti: %w", f.deployment, errUsage)
	}
	scenarios, err := newScenarios(d, f)
	if err != nil {
		return err
	}
	summaries := replay.Summarize(replayAll(scenarios, f.seeds, replay.AllPolicies(), func(done, all int) {
		_, _ = fmt.Fprintf(c.ErrOrStderr(), "replayed %d of %d\n", done, all)
	}))
	if f.plot != "" {
		if err := replay.Plot(f.plot, f.deployment, summaries); err != nil {
			return err
		}
	}
	if f.output == outputJSON {
		enc := json.NewEncoder(c.OutOrStdout())
		enc.SetIndent("", "  ")
		return enc.Encode(summaries)
	}
	writeTable(c.OutOrStdout(), "POLICY\tP50 S\tP95 S\tP99 S\t±\tMEAN S\tIDLE HOURS\t±\tLATE %\tREFUSED\tLOADS\tREMOTE GIB\tFORECAST ERROR P95 S", func(t io.Writer) {
		for _, s := range summaries {
			_, _ = fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.3f\t%.0f\t%.0f\t%.2f\t%.1f\t%.0f\t%.0f\t%.1f\n", s.Policy, s.P50, s.P95, s.P99, s.P99Spread,
				s.Mean, s.IdleHours, s.IdleSpread, 100*s.LateShare, s.Refused, s.Loads, s.RemoteGiB, s.ForecastError)
		}
	})
	return nil
}

// newScenarios returns a scenario for each seed. Recorded arrivals replace the generated
// ones; the scenario then ends an hour after the last of them.
func newScenarios(d replay.Deployment, f policyFlags) ([]replay.Scenario, error) {
	var out []replay.Scenario
	for _, seed := range f.seeds {
		s := d.Generate(seed, f.warmUp+f.days)
		s.WarmUp = time.Duration(f.warmUp) * 24 * time.Hour
		out = append(out, s)
	}
	if f.arrivals == "" {
		return out, nil
	}
	file, err := os.Open(f.arrivals)
	if err != nil {
		return nil, errors.Newf("open arrivals: %w", err)
	}
	defer func() { _ = file.Close() }()
	recorded, err := replay.ReadArrivals(file)
	if err != nil {
		return nil, err
	}
	for i := range out {
		out[i].Arrivals = recorded
		if n := len(recorded); n > 0 {
			out[i].Length = recorded[n-1].At + time.Hour
		}
	}
	return out, nil
}

// replayAll runs the replays on all cores and calls progress after each. The order of the
// results does not depend on the order in which the replays end.
func replayAll(scenarios []replay.Scenario, seeds []int64, policies []replay.Policy, progress func(done, all int)) []replay.Result {
	out := make([]replay.Result, len(scenarios)*len(policies))
	semaphore := make(chan struct{}, runtime.GOMAXPROCS(0))
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for i, s := range scenarios {
		for j, p := range policies {
			wg.Add(1)
			semaphore <- struct{}{}
			go func() {
				defer wg.Done()
				out[i*len(policies)+j] = replay.Run(s, seeds[i], p)
				<-semaphore
				mu.Lock()
				defer mu.Unlock()
				done++
				progress(done, len(out))
			}()
		}
	}
	wg.Wait()
	return out
}
