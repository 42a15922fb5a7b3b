package replay

import (
	"os"

	"github.com/spf13/cobra"
)

// NewCommand returns the command
//
//	trefoilline-standin replay FILE [--seed N]
//
// which plays a trace in simulated time and fails if the outcome is not as the
// trace states.
func NewCommand() *cobra.Command {
	var seed uint64
	command := &cobra.Command{
		Use:     "replay FILE",
		Short:   "Play a recorded trace against its stated outcomes, in simulated time",
		Example: "  trefoilline-standin replay examples/chalkline/trace.jsonl",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, given []string) error {
			file, err := os.Open(given[0])
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
