package main

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"fennelyard/internal/timeline"
)

func newExplain() *cobra.Command {
	var files []string
	c := &cobra.Command{
		Use:   "explain REQUEST-ID --logs FILE [--logs FILE ...]",
		Short: "Explain the outcome of a request from logs",
		Long: `explain joins the log lines of several processes by the request's id, its server,
its model and the time, and prints what determined the request's outcome. Without
--logs it reads standard input.`,
		Example: "  fennelyard explain 9c41d07be2a35f68 --logs entry-1.log --logs core-1.log",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			lines, err := readLogs(c.InOrStdin(), files)
			if err != nil {
				return err
			}
			s, err := timeline.Collect(args[0], lines)
			if err != nil {
				return err
			}
			return printTimeline(c.OutOrStdout(), s)
		},
	}
	c.Flags().StringArrayVar(&files, "logs", nil, "log file of a process; may be repeated")
	return c
}

func readLogs(in io.Reader, files []string) ([]*timeline.Line, error) {
	if len(files) == 0 {
		return timeline.Read(in)
	}
	var all []*timeline.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Newf("open log: %w", err)
		}
		lines, err := timeline.Read(f)
		_ = f.Close()
		if err != nil {
			return nil, errors.Newf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func printTimeline(out io.Writer, s *timeline.Timeline) error {
	for _, q := range s.Requests {
		if _, err := fmt.Fprintf(out, "Cause: %s\n%s\n", timeline.Cause(q), q); err != nil {
			return errors.Newf("write: %w", err)
		}
	}
	if s.Dropped {
		if _, err := fmt.Fprintln(out, "A process dropped log lines in this time: some may be missing below."); err != nil {
			return errors.Newf("write: %w", err)
		}
	}
	for _, l := range s.StateChanges {
		if _, err := fmt.Fprintln(out, " ", l); err != nil {
			return errors.Newf("write: %w", err)
		}
	}
	return nil
}
