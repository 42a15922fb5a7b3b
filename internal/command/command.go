/*
Package command is the operators' command-line tool.

Commands that change something write to the platform's store; queries read it,
or ask the entry hosts. Each command stands in a file of its own, whose first
comment opens with its usage.

# Usage

	os.Exit(command.Run(ctx, os.Args[1:], command.Streams{
		In:  os.Stdin,
		Out: os.Stdout,
		Err: os.Stderr,
	}))
*/
package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
)

// Streams are the input and the outputs of the tool.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Run runs the tool with the arguments and returns its exit code.
func Run(ctx context.Context, arguments []string, streams Streams) int {
	root := NewRootCommand()
	root.SetArgs(arguments)
	root.SetIn(streams.In)
	root.SetOut(streams.Out)
	root.SetErr(streams.Err)
	err := root.ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(streams.Err, "trefoilline:", err)
	}
	return ExitCode(err)
}

// NewRootCommand returns the tool with all its commands.
func NewRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "trefoilline",
		Short: "Operate trefoilline: teams, keys and the table",
		Long: `Operate trefoilline: teams, keys and the table.

Teams, keys and the table are read from and written to the platform's store,
named by --store. What hosts do is asked of the entry hosts named by --hosts, or
else of those that the platform lists.

Each flag of the tool can be set in the environment too: --store as
TREFOILLINE_STORE, --hosts as TREFOILLINE_HOSTS, and so on.

The exit code tells the kind of error:
` + exitCodeHelp(),
		SilenceUsage:      true,
		SilenceErrors:     true,
		DisableAutoGenTag: true,
	}
	flags := root.PersistentFlags()
	flags.String(flagStore, "", "address of the platform's store, such as 10.0.0.9:7000")
	flags.StringSlice(flagHosts, nil, "addresses of entry hosts, separated by commas")
	flags.String(flagSecret, "", "the fleet's secret, shown to entry hosts; better set as TREFOILLINE_FLEET_SECRET")
	flags.Duration(flagTimeout, 10*time.Second, "bound on each call")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &UsageError{
			Cause: err,
		}
	})
	root.AddCommand(
		newTeam(),
		newKey(),
		newTable(),
		newLookup(),
		newStatus(),
		newWatch(),
		newMeasures(),
		newExplain(),
	)
	return root
}

// newCommandGroup returns a command that only holds others.
func newCommandGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	parent := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return c.Help()
		},
	}
	parent.AddCommand(commands...)
	return parent
}

// usageChecked makes the errors of a check of the usageChecked errors of usage.
func usageChecked(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, given []string) error {
		if err := check(c, given); err != nil {
			return &UsageError{
				Cause: err,
			}
		}
		return nil
	}
}
