package command

import (
	"fmt"

	"github.com/spf13/cobra"
)

// newTableCheckCommand returns the command that checks a file without publishing it:
//
//	trefoilline table check FILE
func newTableCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a file without publishing it",
		Long: `Check a file as "table apply" does, without publishing it. Every problem is reported
with its row, its column, the value found and the accepted values. The file "-" is
the standard input. No store is needed.`,
		Example: "  trefoilline table check table.csv",
		Args:    withUsageError(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			t, err := readTable(c, args[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "the table is valid: %d regions, %d routes, %d teams, %d links, %d drains, %d client blocks\n",
				len(t.Regions), len(t.Routes), len(t.Teams), len(t.Links), len(t.Drains), len(t.Blocks))
			return wrapOutputError(err)
		},
	}
}
