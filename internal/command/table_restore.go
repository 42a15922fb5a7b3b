package command

import (
	"strconv"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/table"
)

// trefoilline table restore VERSION [--dry-run] [--wait]
//
// Publishes the content of an earlier version as a new one.
func newTableRestore() *cobra.Command {
	var a applying
	c := &cobra.Command{
		Use:   "restore VERSION",
		Short: "Publish the content of an earlier version as a new one",
		Long: `Publish the content of an earlier version as the next version, after showing what
that changes. Versions only go up: no host ever goes back to an earlier one.`,
		Example: `  trefoilline table restore 11 --dry-run
  trefoilline table restore 11 --note "undo the drain" --wait`,
		Args: arguments(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, given []string) error {
			version, err := strconv.ParseUint(given[0], 10, 64)
			if err != nil || version == 0 {
				return &InvalidArgumentError{
					Name:     "version",
					Value:    given[0],
					Accepted: "a whole number from 1",
				}
			}
			return a.restore(c, table.Version(version))
		},
	}
	a.add(c)
	return c
}

func (a *applying) restore(c *cobra.Command, version table.Version) error {
	store, err := openStore(c)
	if err != nil {
		return err
	}
	inForce, err := tableInForce(c.Context(), store)
	if err != nil {
		return err
	}
	earlier, err := table.ReadVersion(c.Context(), store, version)
	if err != nil {
		return err
	}
	return a.publish(c, store, inForce, table.Edit{
		Base:  inForce.Version,
		Table: earlier.Table,
	})
}
