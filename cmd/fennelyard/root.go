package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"fennelyard"
	"fennelyard/internal/operator"
	"fennelyard/internal/settings"
)

// Exit codes of all commands.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitRefused  = 3
	exitSettings = 4
)

const (
	outputText = "text"
	outputJSON = "json"
)

var (
	errUsage   = errors.New("usage")
	errRefused = errors.New("not accepted")
)

// run executes a command line and returns its exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "fennelyard:", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var faults settings.Faults
	var refused *fennelyard.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &faults):
		return exitSettings
	case errors.Is(err, errRefused), errors.Is(err, operator.ErrRefused), errors.As(err, &refused):
		return exitRefused
	case errors.Is(err, errUsage):
		return exitUsage
	}
	return exitFailed
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "fennelyard",
		Short: "Serve rarely used models from a shared pool of accelerators",
		Long: `fennelyard serves rarely used models from a shared pool of accelerators.

Exit codes: 0 done; 1 failed; 2 wrong usage; 3 refused by the deployment;
4 faults in a settings or intent file.`,
		Example:       "  fennelyard demo\n  fennelyard serve --settings host-1.yaml",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return errors.Newf("%v: %w", err, errUsage) })
	root.AddCommand(newServe(), newJoin(), newCheck(), newDemo(), newEntries(), newSend(), newIntent(), newPlan(),
		newServer(), newStatus(), newSoftware(), newHarmful(), newExplain(), newMeasure(), newPage(), newVersion(), newStandin())
	return root
}

// newLogger returns a logger that writes JSON lines.
func newLogger(w io.Writer, verbosity int) logr.Logger {
	return logr.FromSlogHandler(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)}))
}

func addOutputFlag(c *cobra.Command, output *string) {
	c.Flags().StringVarP(output, "output", "o", outputText, "output format: text or json")
}

// writeOutput prints a message in the output format, either as JSON or by calling text.
func writeOutput(c *cobra.Command, output string, m proto.Message, text func(w io.Writer)) error {
	switch output {
	case outputText:
		text(c.OutOrStdout())
		return nil
	case outputJSON:
		data, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
		if err != nil {
			return errors.Newf("encode output: %w", err)
		}
		enc := json.NewEncoder(c.OutOrStdout())
		enc.SetIndent("", "  ")
		return enc.Encode(json.RawMessage(data))
	}
	return errors.Newf("--output %q: must be text or json: %w", output, errUsage)
}
