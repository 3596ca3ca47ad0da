package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"fennelyard/internal/schema"
)

const watchInterval = 2 * time.Second

func newStatus() *cobra.Command {
	var flags operatorFlags
	var watch bool
	c := &cobra.Command{
		Use: "status --address IP:PORT", Short: "Show the state of the whole deployment",
		Example: "  fennelyard status --address 10.0.0.1:7002 --watch",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for {
				s, err := flags.client().Status(c.Context())
				if err != nil {
					return err
				}
				if err := writeOutput(c, flags.output, s, func(w io.Writer) { writeStatus(w, s) }); err != nil || !watch {
					return err
				}
				select {
				case <-c.Context().Done():
					return nil
				case <-time.After(watchInterval):
				}
			}
		},
	}
	flags.addReadFlags(c)
	c.Flags().BoolVar(&watch, "watch", false, "print the state again every 2 seconds")
	return c
}

func writeStatus(w io.Writer, s *schema.StatusView) {
	_, _ = fmt.Fprintf(w, "deployment %s seen from %s: leader %s, revision %d, here %d\n",
		s.GetDeployment(), s.GetHost(), orNone(s.GetLeader()), s.GetRevision(), s.GetEntryRevision())
	if s.GetStale() != "" {
		_, _ = fmt.Fprintln(w, "STALE:", s.GetStale())
	}
	writeTable(w, "\nHOST\tDATA CENTRE\tSTATE\tCONTROL\tLOAD", func(t io.Writer) {
		for _, h := range s.GetHosts() {
			state := h.GetState()
			if h.GetStopping() {
				state += ", stopping"
			}
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\n", h.GetName(), h.GetDataCentre(), state, h.GetControl(), h.GetLoad())
		}
	})
	writeTable(w, "\nSERVER\tKIND\tDATA CENTRE\tSTATE\tINCARNATION\tRESERVED MIB", func(t io.Writer) {
		for _, server := range s.GetServers() {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d of %d\n", server.GetName(), server.GetKind(), server.GetDataCentre(),
				server.GetState(), server.GetIncarnation(), server.GetReservedMib(), server.GetTotalMib())
		}
	})
	writeTable(w, "\nMODEL\tLOADED\tLOADING\tUNLOADING\tBOUNDS", func(t io.Writer) {
		for _, m := range s.GetModels() {
			_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d-%d\n", m.GetName(), m.GetLoaded(), m.GetLoading(), m.GetUnloading(),
				m.GetMinReplicas(), m.GetMaxReplicas())
		}
	})
	if len(s.GetWaitingForProof()) > 0 {
		_, _ = fmt.Fprintln(w, "\nreservations that wait for proof:", s.GetWaitingForProof())
	}
	for _, q := range s.GetQueues() {
		_, _ = fmt.Fprintf(w, "\nqueue of %s here: %d waiting, %d running\n", q.GetTarget(), q.GetWaiting(), q.GetRunning())
	}
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
