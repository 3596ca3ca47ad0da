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
	address  string
	operator string
	command  string
	output   string
}

func (f *operatorFlags) addRead(c *cobra.Command) {
	c.Flags().StringVar(&f.address, "address", "", "operator address (IP:PORT) of any host")
	if err := c.MarkFlagRequired("address"); err != nil {
		panic(err)
	}
	addOutput(c, &f.output)
}

func (f *operatorFlags) addWrite(c *cobra.Command) {
	f.addRead(c)
	f.addOperator(c)
	c.Flags().StringVar(&f.command, "command-id", "", "id of the command; give the same one to send it again")
}

func (f *operatorFlags) addOperator(c *cobra.Command) {
	c.Flags().StringVar(&f.operator, "operator", os.Getenv("USER"), "name of the operator")
}

func (f *operatorFlags) client() *operator.Client { return operator.NewClient(f.address) }

func (f *operatorFlags) id() string {
	if f.command == "" {
		f.command = rand.Text()
	}
	return f.command
}

func newIntent() *cobra.Command {
	c := &cobra.Command{
		Use: "intent", Short: "Declare what customers should reach",
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
		Use: "apply --address IP:PORT --file FILE", Short: "Ask for the plan of an intent",
		Long: `apply sends an intent and prints the plan that answers it. Nothing changes
before the plan is confirmed. With --base the command is refused when another
operator's command came in between; without it the present revision is taken.`,
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
				CommandId: flags.id(), Operator: flags.operator, BaseRevision: base, Intent: in,
			})
			if err != nil {
				return errors.Newf("command %s: %w", flags.id(), err)
			}
			return writeReply(c, flags, reply)
		},
	}
	flags.addWrite(c)
	c.Flags().StringVar(&file, "file", "", "intent file")
	c.Flags().Uint64Var(&base, "base", 0, "operators' revision that the intent was written for")
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
			return write(c, flags.output, list, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "revision %d, configuration %d, last command %s of %s\n",
					list.GetRevision(), list.GetConfigRevision(), list.GetLastCommand(), list.GetLastOperator())
				table(w, "PLAN\tSTATE\tINTENT\tCUSTOMER\tOPERATOR", func(t io.Writer) {
					for _, p := range list.GetPlans() {
						_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%s\n", p.GetNumber(), p.GetState(), p.GetIntent(), p.GetCustomer(), p.GetOperator())
					}
				})
			})
		},
	}
	flags.addRead(c)
	return c
}

func newPlan() *cobra.Command {
	c := &cobra.Command{
		Use: "plan", Short: "Read, confirm or reject a plan",
		Example: "  fennelyard plan confirm 7 --address 10.0.0.1:7002",
	}
	c.AddCommand(newPlanShow(), newPlanDecide("confirm", "Put a plan in force", true),
		newPlanDecide("reject", "Turn a plan down", false))
	return c
}

func newPlanShow() *cobra.Command {
	var flags operatorFlags
	c := &cobra.Command{
		Use: "show NUMBER --address IP:PORT", Short: "Print a plan",
		Example: "  fennelyard plan show 7 --address 10.0.0.1:7002",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			number, err := planNumber(args[0])
			if err != nil {
				return err
			}
			p, err := flags.client().Plan(c.Context(), number)
			if err != nil {
				return err
			}
			return write(c, flags.output, p, func(w io.Writer) { writePlan(w, p) })
		},
	}
	flags.addRead(c)
	return c
}

func newPlanDecide(verb, short string, confirm bool) *cobra.Command {
	var flags operatorFlags
	c := &cobra.Command{
		Use: verb + " NUMBER --address IP:PORT", Short: short,
		Example: "  fennelyard plan " + verb + " 7 --address 10.0.0.1:7002 --operator ann",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			number, err := planNumber(args[0])
			if err != nil {
				return err
			}
			reply, err := flags.client().Decide(c.Context(), number, confirm, &schema.DecisionRequest{
				CommandId: flags.id(), Operator: flags.operator,
			})
			if err != nil {
				return errors.Newf("command %s: %w", flags.id(), err)
			}
			return writeReply(c, flags, reply)
		},
	}
	flags.addWrite(c)
	return c
}

func planNumber(arg string) (uint64, error) {
	n, err := strconv.ParseUint(arg, 10, 64)
	if err != nil {
		return 0, errors.Newf("%q is not a plan's number: %w", arg, errUsage)
	}
	return n, nil
}

func newServer() *cobra.Command {
	c := &cobra.Command{
		Use: "server", Short: "Tell about backend servers",
		Example: "  fennelyard server forget engine-7 --incarnation 1790 --address 10.0.0.1:7002",
	}
	c.AddCommand(newServerForget())
	return c
}

func newServerForget() *cobra.Command {
	var flags operatorFlags
	var incarnation uint64
	c := &cobra.Command{
		Use: "forget NAME --incarnation N --address IP:PORT", Short: "Tell that a lost server's process has ended for good",
		Long: `forget releases what is reserved on a lost server. Use it only when the
process is known to have ended: no message can prove that to the system.`,
		Example: "  fennelyard server forget engine-7 --incarnation 1790 --address 10.0.0.1:7002",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			reply, err := flags.client().Forget(c.Context(), args[0], &schema.ForgetRequest{
				CommandId: flags.id(), Operator: flags.operator, Incarnation: incarnation,
			})
			if err != nil {
				return errors.Newf("command %s: %w", flags.id(), err)
			}
			return writeReply(c, flags, reply)
		},
	}
	flags.addWrite(c)
	c.Flags().Uint64Var(&incarnation, "incarnation", 0, "incarnation that status shows")
	return c
}

// writeReply prints an operator's reply; anything but ok is an error.
func writeReply(c *cobra.Command, flags operatorFlags, reply *schema.OperatorReply) error {
	err := write(c, flags.output, reply, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s at revision %d (command %s)\n", reply.GetResult(), reply.GetRevision(), flags.id())
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
	table(w, "CHANGE\tTARGET\tREPLICAS\tMEMORY MIB\tCOLD START MS\tIDLE HOURS A DAY", func(t io.Writer) {
		for _, l := range p.GetLines() {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d-%d\t%d\t%d\t%.1f\n", l.GetChange(), l.GetTarget(), l.GetMinReplicas(),
				l.GetMaxReplicas(), l.GetMemoryMib(), l.GetColdStartMs(), l.GetIdleAcceleratorHoursPerDay())
		}
	})
}

func table(w io.Writer, head string, rows func(t io.Writer)) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, head)
	rows(t)
	_ = t.Flush()
}
