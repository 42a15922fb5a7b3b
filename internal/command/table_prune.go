package command

import (
	"fmt"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/table"
)

// defaultKeepVersions is the default of the flag --keep.
const defaultKeepVersions = 1000

// newTablePruneCommand returns the command that deletes old versions of the table from the store:
//
//	trefoilline table prune [--keep N] [--dry-run]
func newTablePruneCommand() *cobra.Command {
	var keep int
	var dryRun bool
	c := &cobra.Command{
		Use:   "prune",
		Short: "Delete old versions of the table from the store",
		Long: `Delete all but the latest versions of the table from the store, and the parts (chunks
of table content that versions share) that no remaining version refers to. The
current version is always kept. The command can run while versions are published,
and can be stopped at any time and run again. A deleted version can no longer be
restored.`,
		Example: "  trefoilline table prune --keep 200 --dry-run",
		Args:    withUsageError(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			if keep < 1 {
				return &InvalidArgumentError{
					Name:     "keep",
					Value:    fmt.Sprint(keep),
					Accepted: "a whole number of at least 1",
				}
			}
			return prune(c, keep, dryRun)
		},
	}
	c.Flags().IntVar(&keep, "keep", defaultKeepVersions, "number of versions to keep, including the current one")
	c.Flags().BoolVar(&dryRun, "dry-run", false, "count what would be deleted without deleting it")
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
	result, err := pruner.Prune(c.Context())
	if err != nil {
		return err
	}
	action := "deleted"
	if dryRun {
		action = "dry run, would delete"
	}
	_, err = fmt.Fprintf(c.OutOrStdout(), "%s: %d versions and %d parts; the oldest remaining version is %d\n",
		action, result.DeletedVersions, result.DeletedParts, result.OldestKept)
	return wrapOutputError(err)
}
