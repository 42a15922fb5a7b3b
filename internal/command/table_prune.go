package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/table"
)

// keptVersions is how many versions "table prune" keeps if not told otherwise.
const keptVersions = 1000

// trefoilline table prune [--keep N] [--dry-run]
//
// Deletes old versions from the store.
func newTablePrune() *cobra.Command {
	var keep int
	var dryRun bool
	c := &cobra.Command{
		Use:   "prune",
		Short: "Delete old versions from the store",
		Long: `Delete all but the latest versions from the store, and the parts that no version
names any more. The version in force always stays. This may run while others
publish, be stopped at any moment and be run again; a version that is gone can no
longer be restored.`,
		Example: "  trefoilline table prune --keep 200 --dry-run",
		Args:    arguments(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if keep < 1 {
				return &SettingError{
					Setting:  "keep",
					Value:    fmt.Sprint(keep),
					Accepted: "a whole number from 1",
				}
			}
			return prune(c, keep, dryRun)
		},
	}
	c.Flags().IntVar(&keep, "keep", keptVersions, "how many versions stay, the one in force included")
	c.Flags().BoolVar(&dryRun, "dry-run", false, "count what would be deleted and delete nothing")
	return c
}

func prune(c *cobra.Command, keep int, dryRun bool) error {
	store, err := openStore(c)
	if err != nil {
		return err
	}
	pruner := table.Pruner{
		Store:        store,
		KeepVersions: keep,
		DryRun:       dryRun,
	}
	pruned, err := pruner.Prune(c.Context())
	if err != nil {
		return err
	}
	did := "deleted"
	if dryRun {
		did = "dry run, would delete"
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s: %d versions and %d parts; the oldest version that stays is %d\n",
		did, pruned.DeletedVersions, pruned.DeletedParts, pruned.OldestKept)
	return outputError(err)
}
