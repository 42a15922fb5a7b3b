/*
Package command implements trefoilline, the command-line tool for operators.

The tool is not on the path of a request. Commands that change teams, keys or the
routing table write to the platform's store. The others read the store, call the
entry hosts, or only read files ("table check" and "explain"). Each command has its
own file, and the comment on its constructor shows its usage.

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

// Streams holds the standard streams that the tool reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Run executes the tool with the arguments, prints an error to streams.Err and
// returns the exit code.
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

// NewRootCommand returns the root command with all subcommands added.
func NewRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "trefoilline",
		Short: "Operate trefoilline: teams, keys and the table",
		Long: `Operate trefoilline: teams, keys and the table.

Teams, keys and the table are read from and written to the platform's store at
the address --store. The state of entry hosts is read from the hosts given by
--hosts or, without it, from all entry hosts listed in the store.

Each global flag can also be set as an environment variable: --store as
TREFOILLINE_STORE, --hosts as TREFOILLINE_HOSTS, and so on.

The exit code shows the kind of error:
` + exitCodeHelp(),
		SilenceUsage:      true,
		SilenceErrors:     true,
		DisableAutoGenTag: true,
	}
	flags := root.PersistentFlags()
	flags.String(flagStore, "", "address of the platform's store, such as 10.0.0.9:7000")
	flags.StringSlice(flagHosts, nil, "comma-separated addresses of entry hosts")
	flags.String(flagSecret, "", "shared secret of the fleet, sent to entry hosts; preferably set in TREFOILLINE_FLEET_SECRET")
	flags.Duration(flagTimeout, 10*time.Second, "timeout of each call")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &UsageError{
			Cause: err,
		}
	})
	root.AddCommand(
		newTeamCommand(),
		newKeyCommand(),
		newTableCommand(),
		newLookUpCommand(),
		newStatusCommand(),
		newWatchCommand(),
		newMeasuresCommand(),
		newExplainCommand(),
	)
	return root
}

// newCommandGroup returns a command that has only subcommands and prints its help.
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

// withUsageError returns a check of the arguments that wraps the errors of check in a
// UsageError.
func withUsageError(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if err := check(c, args); err != nil {
			return &UsageError{
				Cause: err,
			}
		}
		return nil
	}
}
