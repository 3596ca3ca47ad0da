package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

func newSoftware() *cobra.Command {
	var flags operatorFlags
	c := &cobra.Command{
		Use: "software --address IP:PORT", Short: "List the versions of the backend servers' software",
		Long: `software lists the versions of the backend servers' software by pool, with the number of servers that run each and
of those among them that take new work, as known to one control host. A stream goes on only at the version that began
it. --address is the operator address of a control host, where hosts discover each other through seeds.`,
		Example: "  fennelyard software --address 10.0.0.1:7002",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := flags.client().Software(c.Context())
			if err != nil {
				return err
			}
			return writeOutput(c, flags.output, list, func(w io.Writer) {
				writeTable(w, "POOL\tVERSION\tSERVERS\tREADY", func(t io.Writer) {
					for _, s := range list.GetSoftware() {
						_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\n", s.GetPool(), orNone(s.GetVersion()), s.GetServers(), s.GetReady())
					}
				})
			})
		},
	}
	flags.addReadFlags(c)
	return c
}
