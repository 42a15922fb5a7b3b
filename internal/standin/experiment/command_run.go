package experiment

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// NewCommand returns the command
//
//	trefoilline-standin experiment PLAN [--output table|json]
//
// which runs a plan against a running fleet of entry hosts and prints a
// [Report]. On SIGINT or SIGTERM the run ends early and the report covers the
// part until then. It returns a [FieldError], [FileError], [InvalidPlanError] or
// [OutputError].
func NewCommand() *cobra.Command {
	var o outputFlag
	command := &cobra.Command{
		Use:   "experiment PLAN",
		Short: "Run a plan of load and faults against a running fleet",
		Example: `  trefoilline-standin experiment examples/chalkline/experiment.json
  trefoilline-standin experiment examples/chalkline/experiment.json --output json >a.json`,
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if err := o.validate(); err != nil {
				return err
			}
			report, err := runFile(command.Context(), args[0])
			if err != nil {
				return err
			}
			return o.write(command.OutOrStdout(), report)
		},
	}
	o.addFlag(command)
	return command
}

func runFile(ctx context.Context, path string) (*Report, error) {
	plan, err := ReadPlan(path, os.LookupEnv)
	if err != nil {
		return nil, err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	runner := Runner{
		Plan: plan,
	}
	return runner.Run(ctx), nil
}
