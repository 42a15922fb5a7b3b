package replay

import (
	"os"

	"github.com/spf13/cobra"
)

// NewCommand returns the command
//
//	trefoilline-standin replay FILE [--seed N]
//
// which replays a trace in simulated time, prints a [Report] and returns an
// [UnexpectedOutcomeError] if the outcome differs from the trace's expectations.
func NewCommand() *cobra.Command {
	var seed uint64
	command := &cobra.Command{
		Use:     "replay FILE",
		Short:   "Replay a recorded trace in simulated time and check its expected outcomes",
		Example: "  trefoilline-standin replay examples/chalkline/trace.jsonl",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			file, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer file.Close()
			trace, err := ReadTrace(file)
			if err != nil {
				return err
			}
			report := trace.Replay(seed)
			report.Write(command.OutOrStdout())
			return report.Check(trace)
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the hosts' random choices")
	return command
}
