package command

import (
	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/table"
)

// trefoilline table diff FILE | --from N [--to M]
//
// Shows what differs between the table in force and a file, or between two
// versions.
func newTableDiff() *cobra.Command {
	var from, to uint64
	c := addOutput(&cobra.Command{
		Use:   "diff [FILE]",
		Short: "Show what differs between the table in force and a file, or between two versions",
		Long: `Show the rows that differ between the table in force, or the version --from, and a
file. Without a file, show what differs between the version --from and the
version --to, or the table in force. Lines start with + for an added row, - for a
removed one and ~ for a changed one.`,
		Example: `  trefoilline table diff table.csv
  trefoilline table diff --from 11 --to 12`,
		Args: arguments(cobra.MaximumNArgs(1)),
		RunE: func(c *cobra.Command, given []string) error {
			if len(given) == 1 {
				return diffFile(c, given[0], table.Version(from))
			}
			if from == 0 {
				return &SettingError{
					Setting:  "from",
					Accepted: "a file, or the number of a version",
				}
			}
			return diffVersions(c, table.Version(from), table.Version(to))
		},
	})
	c.Flags().Uint64Var(&from, "from", 0, "number of the earlier version; the one in force if not given")
	c.Flags().Uint64Var(&to, "to", 0, "number of the later version; the one in force if not given")
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
	return show(c, listChanges(before.Head.Version, 0, table.Diff(before.Table, edited)))
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
	return show(c, listChanges(from, after.Head.Version, table.Diff(before.Table, after.Table)))
}
