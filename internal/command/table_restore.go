package command

import (
	"strconv"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/table"
)

// newTableRestoreCommand returns the command that publishes the content of an earlier version of
// the table as a new version:
//
//	trefoilline table restore VERSION [--dry-run] [--wait]
func newTableRestoreCommand() *cobra.Command {
	var o publishOptions
	c := &cobra.Command{
		Use:   "restore VERSION",
		Short: "Publish the content of an earlier version as a new version",
		Long: `Show what changes, then publish the content of an earlier version as the next
version. Version numbers only increase: no host ever returns to an earlier version.`,
		Example: `  trefoilline table restore 11 --dry-run
  trefoilline table restore 11 --note "undo the drain" --wait`,
		Args: withUsageError(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			version, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || version == 0 {
				return &InvalidArgumentError{
					Name:     "version",
					Value:    args[0],
					Accepted: "a whole number of at least 1",
				}
			}
			return o.restore(c, table.Version(version))
		},
	}
	o.addFlags(c)
	return c
}

func (o *publishOptions) restore(c *cobra.Command, version table.Version) error {
	store, err := openStore(c)
	if err != nil {
		return err
	}
	current, err := loadCurrentTable(c.Context(), store)
	if err != nil {
		return err
	}
	earlier, err := table.LoadEarlierVersion(c.Context(), store, version)
	if err != nil {
		return err
	}
	return o.publish(c, store, current, table.Edit{
		Base:  current.Version,
		Table: earlier.Table,
	})
}
