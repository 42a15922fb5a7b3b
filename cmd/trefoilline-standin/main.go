// Command trefoilline-standin runs test doubles of the systems around an entry
// host: the platform's store, a backend server and a caller. It also runs experiments
// against a fleet of entry hosts, compares their reports, and replays recorded traces.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/internal/standin/backend"
	"trefoilline.example/trefoilline/internal/standin/caller"
	"trefoilline.example/trefoilline/internal/standin/experiment"
	"trefoilline.example/trefoilline/internal/standin/replay"
	"trefoilline.example/trefoilline/internal/standin/store"
)

func main() {
	root := &cobra.Command{
		Use:          "trefoilline-standin",
		Short:        "Run test doubles of the systems around trefoilline",
		SilenceUsage: true,
	}
	root.AddCommand(
		store.NewCommand(),
		backend.NewCommand(),
		caller.NewCommand(),
		experiment.NewCommand(),
		experiment.NewCompareCommand(),
		replay.NewCommand(),
	)
	if root.Execute() != nil {
		os.Exit(1)
	}
}
