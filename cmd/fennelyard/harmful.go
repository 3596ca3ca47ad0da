package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"fennelyard/internal/quarantine"
	"fennelyard/internal/schema"
)

func newHarmful() *cobra.Command {
	c := &cobra.Command{
		Use: "harmful", Short: "Show and release requests that crash backend servers",
		Long: `harmful shows the requests under which backend servers ended, and what such requests
share with others, as known to one host, and releases what is held back. --address is the operator address of any
host, or of a control host where hosts discover each other through seeds.`,
		Example: "  fennelyard harmful list --address 10.0.0.1:7002",
	}
	c.AddCommand(newHarmfulList(), newHarmfulShow(), newHarmfulRelease())
	return c
}

func newHarmfulList() *cobra.Command {
	var flags operatorFlags
	var all bool
	c := &cobra.Command{
		Use: "list --address IP:PORT", Short: "List the requests that are held back",
		Example: "  fennelyard harmful list --address 10.0.0.1:7002 --all --output json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := flags.client().Suspects(c.Context())
			if err != nil {
				return err
			}
			if !all {
				list = onlyHeldBack(list)
			}
			return writeOutput(c, flags.output, list, func(w io.Writer) {
				writeTable(w, "KEY\tSCOPE\tSERVERS ENDED\tCLEARED\tLAST\tHELD BACK FOR\tFROM", func(t io.Writer) {
					for _, s := range list.GetSuspects() {
						_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%s ago\t%s\t%s\n", s.GetKey(), s.GetScope(), len(s.GetEndedServers()), len(s.GetClearedServers()),
							durationFromMs(s.GetLastEndedAgoMs()), durationFromMs(s.GetHeldBackForMs()), strings.Join(s.GetHeldFrom(), ","))
					}
				})
			})
		},
	}
	flags.addReadFlags(c)
	c.Flags().BoolVar(&all, "all", false, "also list requests that are suspected but not held back")
	return c
}

// onlyHeldBack returns the suspects that are held back.
func onlyHeldBack(list *schema.SuspectList) *schema.SuspectList {
	out := &schema.SuspectList{}
	for _, s := range list.GetSuspects() {
		if s.GetHeldBackForMs() > 0 {
			out.Suspects = append(out.Suspects, s)
		}
	}
	return out
}

func durationFromMs(ms uint64) time.Duration { return time.Duration(ms) * time.Millisecond }

func newHarmfulShow() *cobra.Command {
	var flags operatorFlags
	c := &cobra.Command{
		Use: "show KEY --address IP:PORT", Short: "Show the servers that ended under a request",
		Example: "  fennelyard harmful show 0011223344556677889900112233445566778899aabbccdd --address 10.0.0.1:7002",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := validateKey(args[0]); err != nil {
				return err
			}
			list, err := flags.client().Suspects(c.Context())
			if err != nil {
				return err
			}
			for _, s := range list.GetSuspects() {
				if s.GetKey() == args[0] {
					return writeOutput(c, flags.output, s, func(w io.Writer) { writeSuspect(w, s) })
				}
			}
			return errors.Newf("no request under suspicion has the key %s: %w", args[0], errRefused)
		},
	}
	flags.addReadFlags(c)
	return c
}

func writeSuspect(w io.Writer, s *schema.SuspectView) {
	_, _ = fmt.Fprintf(w, "%s %s: %d servers ended, the last %s ago; held back for %s\n", s.GetScope(), s.GetKey(), len(s.GetEndedServers()),
		durationFromMs(s.GetLastEndedAgoMs()), durationFromMs(s.GetHeldBackForMs()))
	for _, name := range s.GetHeldFrom() {
		_, _ = fmt.Fprintln(w, "  held back from:", name)
	}
	for _, server := range s.GetEndedServers() {
		_, _ = fmt.Fprintln(w, "  ended:  ", server)
	}
	for _, server := range s.GetClearedServers() {
		_, _ = fmt.Fprintln(w, "  cleared:", server)
	}
}

func newHarmfulRelease() *cobra.Command {
	var flags operatorFlags
	c := &cobra.Command{
		Use: "release KEY --address IP:PORT", Short: "Stop holding a request back",
		Long: `release marks the servers that ended under a request as cleared, at every entry
within a second. If servers end under it again, it is held back again after the
third server.`,
		Example: "  fennelyard harmful release 0011223344556677889900112233445566778899aabbccdd --address 10.0.0.1:7002 --operator ann",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := validateKey(args[0]); err != nil {
				return err
			}
			reply, err := flags.client().Release(c.Context(), args[0], &schema.ReleaseRequest{Operator: flags.operator})
			if err != nil {
				return err
			}
			return writeOutput(c, flags.output, reply, func(w io.Writer) { _, _ = fmt.Fprintln(w, "released", args[0]) })
		},
	}
	flags.addReadFlags(c)
	flags.addOperatorFlag(c)
	return c
}

func validateKey(text string) error {
	if _, err := quarantine.ParseKey(text); err != nil {
		return errors.Newf("%v: %w", err, errUsage)
	}
	return nil
}
