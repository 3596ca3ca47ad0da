package main

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"fennelyard/internal/standin"
)

type standinFlags struct {
	listen     string
	name       string
	dataCentre string
	entries    []string
}

func (f *standinFlags) addTo(c *cobra.Command) {
	c.Flags().StringVar(&f.listen, "listen", "127.0.0.1:0", "address to listen on")
	c.Flags().StringVar(&f.name, "name", "", "name of the server")
	c.Flags().StringVar(&f.dataCentre, "data-centre", "hall-a", "data centre of the server")
	c.Flags().StringSliceVar(&f.entries, "entries", nil, "backend addresses of the entries, which receive announcements")
}

func (f *standinFlags) newListener() (net.Listener, error) {
	l, err := net.Listen("tcp", f.listen)
	if err != nil {
		return nil, errors.Newf("listen: %w", err)
	}
	return l, nil
}

// newStandin returns a hidden command by which tests run the stand-ins as processes.
func newStandin() *cobra.Command {
	c := &cobra.Command{
		Use: "standin", Short: "Run a stand-in for a backend server or the weight store", Hidden: true,
		Example: "  fennelyard standin engine --name engine-1 --entries 127.0.0.1:7003",
	}
	c.AddCommand(newStandinEngine(), newStandinApplication(), newStandinWeightStore())
	return c
}

func newStandinEngine() *cobra.Command {
	var flags standinFlags
	var weights string
	var memory []int
	var checks bool
	var token, load time.Duration
	c := &cobra.Command{
		Use: "engine", Short: "Run a model engine without weights", Args: cobra.NoArgs,
		Example: "  fennelyard standin engine --name engine-1 --entries 127.0.0.1:7003",
		RunE: func(c *cobra.Command, _ []string) error {
			l, err := flags.newListener()
			if err != nil {
				return err
			}
			cfg := standin.EngineConfig{
				Listener: l, Name: flags.name, DataCentre: flags.dataCentre, Entries: flags.entries,
				WeightStore: weights, ChecksFencing: checks, TokenTime: token, LoadTime: load,
			}
			for _, m := range memory {
				cfg.AcceleratorMiB = append(cfg.AcceleratorMiB, uint64(m))
			}
			e := standin.NewEngine(cfg)
			<-c.Context().Done()
			e.Close()
			return nil
		},
	}
	flags.addTo(c)
	c.Flags().StringVar(&weights, "weights", "", "address of the weight store")
	c.Flags().IntSliceVar(&memory, "accelerator-mib", []int{24576}, "memory of each accelerator in MiB")
	c.Flags().BoolVar(&checks, "checks-fencing", true, "refuse orders with an old fencing token")
	c.Flags().DurationVar(&token, "token-time", 5*time.Millisecond, "time for one token")
	c.Flags().DurationVar(&load, "load-time", 0, "additional time of each load")
	return c
}

func newStandinApplication() *cobra.Command {
	var flags standinFlags
	var service string
	c := &cobra.Command{
		Use: "application", Short: "Run an application server that accepts bookings", Args: cobra.NoArgs,
		Example: "  fennelyard standin application --name booking-1 --service booking-api --entries 127.0.0.1:7003",
		RunE: func(c *cobra.Command, _ []string) error {
			l, err := flags.newListener()
			if err != nil {
				return err
			}
			a := standin.NewApplication(standin.ApplicationConfig{
				Listener: l, Name: flags.name, DataCentre: flags.dataCentre, Entries: flags.entries, Service: service,
			})
			<-c.Context().Done()
			a.Close()
			return nil
		},
	}
	flags.addTo(c)
	c.Flags().StringVar(&service, "service", "booking-api", "service that the server offers")
	return c
}

func newStandinWeightStore() *cobra.Command {
	var flags standinFlags
	var rate, loads float64
	c := &cobra.Command{
		Use: "weights", Short: "Run a weight store that sends no bytes", Args: cobra.NoArgs,
		Example: "  fennelyard standin weights --listen 127.0.0.1:7900",
		RunE: func(c *cobra.Command, _ []string) error {
			l, err := flags.newListener()
			if err != nil {
				return err
			}
			w := standin.NewWeightStore(standin.WeightStoreConfig{Listener: l, LoadsPerSecond: loads, FullSpeedLoads: 4, MiBPerSecond: rate})
			<-c.Context().Done()
			w.Close()
			return nil
		},
	}
	flags.addTo(c)
	c.Flags().Float64Var(&rate, "mib-per-second", 8192, "read rate of a load")
	c.Flags().Float64Var(&loads, "loads-per-second", 3, "maximum rate at which loads start")
	return c
}
