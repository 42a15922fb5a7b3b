package command

import (
	"fmt"

	"github.com/spf13/cobra"
)

// trefoilline table check FILE
//
// Checks a file and changes nothing.
func newTableCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a file and change nothing",
		Long: `Check a file as "table apply" does, and change nothing. Every fault is reported
with its row, its column, the value found and what is accepted. "-" reads the
standard input. No store is needed.`,
		Example: "  trefoilline table check table.csv",
		Args:    usageChecked(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, given []string) error {
			t, err := readTable(c, given[0])
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "the table is good: %d regions, %d routes, %d teams, %d links, %d drains, %d client blocks\n",
				len(t.Regions), len(t.Routes), len(t.Teams), len(t.Links), len(t.Drains), len(t.Blocks))
			return wrapOutputError(err)
		},
	}
}
