package command

import (
	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/table"
)

// newTableDiffCommand returns the command that shows the differences between a version of the
// table and a file, or between two versions:
//
//	trefoilline table diff FILE [--from N]
//	trefoilline table diff --from N [--to M]
func newTableDiffCommand() *cobra.Command {
	var from, to uint64
	c := addOutputFlag(&cobra.Command{
		Use:   "diff [FILE]",
		Short: "Show the differences between the current table and a file, or between two versions",
		Long: `With a file, show the rows that differ between the version --from (by default the
current version) and the file; --to is ignored. Without a file, show the rows that
differ between the version --from, which must be given, and the version --to (by
default the current version). Lines start with + for an added row, - for a removed
row and ~ for a changed row.`,
		Example: `  trefoilline table diff table.csv
  trefoilline table diff --from 11 --to 12`,
		Args: withUsageError(cobra.MaximumNArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 1 {
				return diffFile(c, args[0], table.Version(from))
			}
			if from == 0 {
				return &InvalidArgumentError{
					Name:     "from",
					Accepted: "a file or a version number",
				}
			}
			return diffVersions(c, table.Version(from), table.Version(to))
		},
	})
	c.Flags().Uint64Var(&from, "from", 0, "number of the earlier version; with a file, by default the current version")
	c.Flags().Uint64Var(&to, "to", 0, "number of the later version; by default the current version")
	return c
}

func diffFile(c *cobra.Command, name string, from table.Version) error {
	edited, err := readTable(c, name)
	if err != nil {
		return err
	}
	store, err := openStore(c)
	if err != nil {
		return err
	}
	before, err := loadVersion(c.Context(), store, from)
	if err != nil {
		return err
	}
	return printResult(c, newChangeList(before.Head.Version, 0, table.Diff(before.Table, edited)))
}

func diffVersions(c *cobra.Command, from, to table.Version) error {
	store, err := openStore(c)
	if err != nil {
		return err
	}
	before, err := loadVersion(c.Context(), store, from)
	if err != nil {
		return err
	}
	after, err := loadVersion(c.Context(), store, to)
	if err != nil {
		return err
	}
	return printResult(c, newChangeList(from, after.Head.Version, table.Diff(before.Table, after.Table)))
}
