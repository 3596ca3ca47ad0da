package main

import (
	"crypto/rand"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"fennelyard/internal/operator"
	"fennelyard/internal/schema"
	"fennelyard/internal/settings"
)

type operatorFlags struct {
	address   string
	operator  string
	commandID string
	output    string
}

func (f *operatorFlags) addReadFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.address, "address", "", "operator address (IP:PORT) of any host")
	if err := c.MarkFlagRequired("address"); err != nil {
		panic(err)
	}
	addOutputFlag(c, &f.output)
}

func (f *operatorFlags) addWriteFlags(c *cobra.Command) {
	f.addReadFlags(c)
	f.addOperatorFlag(c)
	c.Flags().StringVar(&f.commandID, "command-id", "", "id of the command; use the same id to retry it")
}

func (f *operatorFlags) addOperatorFlag(c *cobra.Command) {
	c.Flags().StringVar(&f.operator, "operator", os.Getenv("USER"), "name of the operator")
}

func (f *operatorFlags) client() *operator.Client { return operator.NewClient(f.address) }

// ensureCommandID returns the command id, which is generated if the flag is not set.
func (f *operatorFlags) ensureCommandID() string {
	if f.commandID == "" {
		f.commandID = rand.Text()
	}
	return f.commandID
}

func newIntent() *cobra.Command {
	c := &cobra.Command{
		Use: "intent", Short: "Declare the models and services of customers",
		Example: "  fennelyard intent apply --address 10.0.0.1:7002 --file autumn.yaml",
	}
	c.AddCommand(newIntentApply(), newIntentList())
	return c
}

func newIntentApply() *cobra.Command {
	var flags operatorFlags
	var file string
	var base uint64
	c := &cobra.Command{
		Use: "apply --address IP:PORT --file FILE", Short: "Request the plan of an intent",
		Long: `apply sends an intent and prints the resulting plan. Nothing changes before the
plan is confirmed. With --base the command is refused when another operator's
command has been applied since that revision; without it the current revision
is used.`,
		Example: "  fennelyard intent apply --address 10.0.0.1:7002 --file autumn.yaml --operator ann",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			in, err := settings.LoadIntent(file)
			if err != nil {
				return err
			}
			if !c.Flags().Changed("base") {
				list, err := flags.client().Intents(c.Context())
				if err != nil {
					return err
				}
				base = list.GetRevision()
			}
			reply, err := flags.client().Apply(c.Context(), &schema.IntentRequest{
				CommandId: flags.ensureCommandID(), Operator: flags.operator, BaseRevision: base, Intent: in,
			})
			if err != nil {
				return errors.Newf("command %s: %w", flags.ensureCommandID(), err)
			}
			return writeReply(c, flags, reply)
		},
	}
	flags.addWriteFlags(c)
	c.Flags().StringVar(&file, "file", "", "intent file")
	c.Flags().Uint64Var(&base, "base", 0, "operator revision that the intent was written for")
	if err := c.MarkFlagRequired("file"); err != nil {
		panic(err)
	}
	return c
}

func newIntentList() *cobra.Command {
	var flags operatorFlags
	c := &cobra.Command{
		Use: "list --address IP:PORT", Short: "List the plans and the revision for the next command",
		Example: "  fennelyard intent list --address 10.0.0.1:7002",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			list, err := flags.client().Intents(c.Context())
			if err != nil {
				return err
			}
			return writeOutput(c, flags.output, list, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "revision %d, configuration %d, last command %s of %s\n",
					list.GetRevision(), list.GetConfigRevision(), list.GetLastCommand(), list.GetLastOperator())
				writeTable(w, "PLAN\tSTATE\tINTENT\tCUSTOMER\tOPERATOR", func(t io.Writer) {
					for _, p := range list.GetPlans() {
						_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", p.GetNumber(), p.GetState(), p.GetIntent(), p.GetCustomer(), p.GetOperator())
					}
				})
			})
		},
	}
	flags.addReadFlags(c)
	return c
}

func newPlan() *cobra.Command {
	c := &cobra.Command{
		Use: "plan", Short: "Show, confirm or reject a plan",
		Example: "  fennelyard plan confirm 7 --address 10.0.0.1:7002",
	}
	c.AddCommand(newPlanShow(), newPlanDecision("confirm", "Confirm a plan and put it into effect", true),
		newPlanDecision("reject", "Reject a plan", false))
	return c
}

func newPlanShow() *cobra.Command {
	var flags operatorFlags
	c := &cobra.Command{
		Use: "show NUMBER --address IP:PORT", Short: "Print a plan",
		Example: "  fennelyard plan show 7 --address 10.0.0.1:7002",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			number, err := parsePlanNumber(args[0])
			if err != nil {
				return err
			}
			p, err := flags.client().Plan(c.Context(), number)
			if err != nil {
				return err
			}
			return writeOutput(c, flags.output, p, func(w io.Writer) { writePlan(w, p) })
		},
	}
	flags.addReadFlags(c)
	return c
}

func newPlanDecision(verb, short string, confirm bool) *cobra.Command {
	var flags operatorFlags
	c := &cobra.Command{
		Use: verb + " NUMBER --address IP:PORT", Short: short,
		Example: "  fennelyard plan " + verb + " 7 --address 10.0.0.1:7002 --operator ann",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			number, err := parsePlanNumber(args[0])
			if err != nil {
				return err
			}
			reply, err := flags.client().Decide(c.Context(), number, confirm, &schema.DecisionRequest{
				CommandId: flags.ensureCommandID(), Operator: flags.operator,
			})
			if err != nil {
				return errors.Newf("command %s: %w", flags.ensureCommandID(), err)
			}
			return writeReply(c, flags, reply)
		},
	}
	flags.addWriteFlags(c)
	return c
}

func parsePlanNumber(arg string) (uint64, error) {
	n, err := strconv.ParseUint(arg, 10, 64)
	if err != nil {
		return 0, errors.Newf("%q is not a plan number: %w", arg, errUsage)
	}
	return n, nil
}

func newServer() *cobra.Command {
	c := &cobra.Command{
		Use: "server", Short: "Manage backend servers",
		Example: "  fennelyard server forget engine-7 --incarnation 1790 --address 10.0.0.1:7002",
	}
	c.AddCommand(newServerForget())
	return c
}

func newServerForget() *cobra.Command {
	var flags operatorFlags
	var incarnation uint64
	c := &cobra.Command{
		Use: "forget NAME --incarnation N --address IP:PORT", Short: "Declare that a lost server's process has ended permanently",
		Long: `forget releases the reservations on a lost server. Use it only when the process
is known to have ended: the system cannot verify that by itself.`,
		Example: "  fennelyard server forget engine-7 --incarnation 1790 --address 10.0.0.1:7002",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			reply, err := flags.client().Forget(c.Context(), args[0], &schema.ForgetRequest{
				CommandId: flags.ensureCommandID(), Operator: flags.operator, Incarnation: incarnation,
			})
			if err != nil {
				return errors.Newf("command %s: %w", flags.ensureCommandID(), err)
			}
			return writeReply(c, flags, reply)
		},
	}
	flags.addWriteFlags(c)
	c.Flags().Uint64Var(&incarnation, "incarnation", 0, "incarnation of the server, as shown by status")
	return c
}

// writeReply prints the reply to an operator's command. It returns an error unless the
// result is ok.
func writeReply(c *cobra.Command, flags operatorFlags, reply *schema.OperatorReply) error {
	err := writeOutput(c, flags.output, reply, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s at revision %d (command %s)\n", reply.GetResult(), reply.GetRevision(), flags.ensureCommandID())
		if reply.GetPlan() != nil {
			writePlan(w, reply.GetPlan())
		}
	})
	if err != nil {
		return err
	}
	if reply.GetResult() != "ok" {
		return errors.Newf("%s: %s: %w", reply.GetResult(), reply.GetReason(), errRefused)
	}
	return nil
}

func writePlan(w io.Writer, p *schema.PlanView) {
	_, _ = fmt.Fprintf(w, "plan %d (%s) for intent %s of customer %s, from configuration %d\n",
		p.GetNumber(), p.GetState(), p.GetIntent(), p.GetCustomer(), p.GetGroundRevision())
	writeTable(w, "CHANGE\tTARGET\tREPLICAS\tMEMORY MIB\tCOLD START MS\tIDLE HOURS A DAY", func(t io.Writer) {
		for _, l := range p.GetLines() {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d-%d\t%d\t%d\t%.1f\n", l.GetChange(), l.GetTarget(), l.GetMinReplicas(),
				l.GetMaxReplicas(), l.GetMemoryMib(), l.GetColdStartMs(), l.GetIdleAcceleratorHoursPerDay())
		}
	})
}

// writeTable aligns the columns of a header and of rows, which are separated by tabs.
func writeTable(w io.Writer, header string, rows func(t io.Writer)) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, header)
	rows(t)
	_ = t.Flush()
}
