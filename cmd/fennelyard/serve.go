package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"fennelyard/internal/demo"
	"fennelyard/internal/host"
	"fennelyard/internal/settings"
	"fennelyard/internal/tracing"
)

func newServe() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "serve --settings FILE",
		Short:   "Run the roles of one host until it receives a signal to stop",
		Long:    "serve runs the roles of one host. On SIGTERM or SIGINT it drains without interrupting requests in flight.",
		Example: "  fennelyard serve --settings /etc/fennelyard/host-1.yaml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return serve(c, file)
		},
	}
	addSettingsFlag(c, &file)
	return c
}

func addSettingsFlag(c *cobra.Command, file *string) {
	c.Flags().StringVar(file, "settings", "", "settings file of this host")
	if err := c.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
}

func serve(c *cobra.Command, file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	log := newLogger(c.ErrOrStderr(), int(s.GetLog().GetVerbosity())).WithValues("deployment", s.GetDeployment(), "host", s.GetHost())
	limitMemory(s.GetMemoryMb())
	tracer, flush := tracing.New(s.GetTrace().GetExporter(), s.GetHost(), log)
	h, err := host.New(host.Config{Settings: s, Log: log, Tracer: tracer})
	if err != nil {
		return err
	}
	log.Info("serving without authentication: any caller, operator and backend server that reaches the addresses is believed")
	select {
	case <-c.Context().Done():
	case <-h.Failed():
		h.Close()
		return errors.Newf("control role failed: %w", h.Err())
	}
	log.Info("stopping")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.Context()), s.GetEntry().GetDrainLimit().AsDuration())
	defer cancel()
	h.Drain(ctx)
	log.Info("stopped")
	return flush(ctx)
}

func newCheck() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:     "check --settings FILE",
		Short:   "Check a settings file and report every fault",
		Example: "  fennelyard check --settings host-1.yaml",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "%s: host %s of deployment %s, no faults\n", file, s.GetHost(), s.GetDeployment())
			return err
		},
	}
	addSettingsFlag(c, &file)
	return c
}

func newDemo() *cobra.Command {
	var verbose, harmful bool
	c := &cobra.Command{
		Use:     "demo",
		Short:   "Run a whole deployment in this process and show what it does",
		Example: "  fennelyard demo\n  fennelyard demo --harmful",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg := demo.Config{Out: c.OutOrStdout(), CrashingRequest: harmful}
			if verbose {
				cfg.Log = newLogger(c.ErrOrStderr(), 1)
			}
			return demo.Run(c.Context(), cfg)
		},
	}
	c.Flags().BoolVar(&harmful, "harmful", false, "demonstrate a request that crashes the servers that run it")
	c.Flags().BoolVarP(&verbose, "verbose", "v", false, "log the activity of the hosts")
	return c
}

// version is set by the linker for a release.
var version = "development"

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  fennelyard version",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(c.OutOrStdout(), version)
			return err
		},
	}
}
