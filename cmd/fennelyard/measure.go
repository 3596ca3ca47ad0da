package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"fennelyard/internal/measure"
)

func newMeasure() *cobra.Command {
	c := &cobra.Command{
		Use: "measure", Short: "Measure the figures that the documentation is based on",
		Example: "  fennelyard measure capacity",
	}
	c.AddCommand(newMeasureCapacity(), newMeasurePolicy(), newMeasureRouting())
	return c
}

func newMeasureCapacity() *cobra.Command {
	var output string
	c := &cobra.Command{
		Use: "capacity", Short: "Fit the slopes of docs/CAPACITY.md",
		Long:    "capacity measures each component at several sizes with small stand-ins and prints the fitted slopes and their standard errors.",
		Example: "  fennelyard measure capacity --output json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			slopes, err := measure.Capacity(func(name string) {
				_, _ = fmt.Fprintln(c.ErrOrStderr(), "measuring:", name)
			})
			if err != nil {
				return err
			}
			if output == outputJSON {
				return writeSlopes(c, slopes)
			}
			writeTable(c.OutOrStdout(), "MEASURED\tPER\tSLOPE\tERROR\tBASE\tUNIT\tCARRIED BY", func(t io.Writer) {
				for _, s := range slopes {
					x, y := s.Units()
					_, _ = fmt.Fprintf(t, "%s\t%s\t%.4g\t%.2g\t%.4g\t%s\t%s\n", s.Name(), x, s.PerUnit(), s.Error(), s.Intercept(), y, s.Component())
				}
			})
			return nil
		},
	}
	addOutputFlag(c, &output)
	return c
}

func writeSlopes(c *cobra.Command, slopes []measure.Slope) error {
	type line struct {
		Name      string    `json:"name"`
		X         string    `json:"per"`
		Y         string    `json:"unit"`
		Slope     float64   `json:"slope"`
		Error     float64   `json:"standard-error"`
		Base      float64   `json:"base"`
		Xs        []float64 `json:"sizes"`
		Ys        []float64 `json:"values"`
		Mechanism string    `json:"mechanism"`
	}
	var out []line
	for _, s := range slopes {
		x, y := s.Units()
		xs, ys := s.Points()
		out = append(out, line{s.Name(), x, y, s.PerUnit(), s.Error(), s.Intercept(), xs, ys, s.Component()})
	}
	enc := json.NewEncoder(c.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(out)
}

func newMeasureRouting() *cobra.Command {
	var seed int64
	var noise float64
	var entries int
	c := &cobra.Command{
		Use: "routing", Short: "Compare load-balancing policies for requests of very different cost",
		Example: "  fennelyard measure routing --noise 0.5",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			writeTable(c.OutOrStdout(), "POLICY\tWAIT P50 S\tP95 S\tP99 S", func(t io.Writer) {
				for _, r := range measure.Routing(seed, noise, entries) {
					_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.2f\t%.2f\n", r.Policy, r.P50, r.P95, r.P99)
				}
			})
			return nil
		},
	}
	c.Flags().Int64Var(&seed, "seed", 101, "seed of the generated requests")
	c.Flags().IntVar(&entries, "entries", 7, "number of entries; each observes only its own requests")
	c.Flags().Float64Var(&noise, "noise", 0.5, "log-normal spread of the cost that the size does not explain")
	return c
}
