package command

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/table"
)

// newTableGetCommand returns the command that writes the current table, or an earlier version,
// as CSV or JSON:
//
//	trefoilline table get [--version N] [--file NAME]
func newTableGetCommand() *cobra.Command {
	var version uint64
	var file string
	c := &cobra.Command{
		Use:   "get",
		Short: "Write the current table, or an earlier version, as CSV or JSON",
		Long: `Write the current table, or an earlier version, as CSV that a spreadsheet can open,
or as JSON. The CSV file contains its version number in a row of its own, so that
"table apply" can detect whether someone else published a version in the meantime.`,
		Example: `  trefoilline table get --file table.csv
  trefoilline table get --version 12 --output json`,
		Args: withUsageError(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			return getTable(c, table.Version(version), file)
		},
	}
	c.Flags().Uint64Var(&version, "version", 0, "number of the version; by default the current version")
	c.Flags().StringVar(&file, "file", "", "file to write; by default the standard output")
	c.Flags().StringP(flagOutput, "o", outputCSV, "format of the table: csv or json")
	return c
}

// outputCSV is the default output format of "table get".
const outputCSV = "csv"

func getTable(c *cobra.Command, version table.Version, file string) error {
	format, _ := c.Flags().GetString(flagOutput)
	if format != outputCSV && format != outputJSON {
		return &InvalidArgumentError{
			Name:     flagOutput,
			Value:    format,
			Accepted: "csv or json",
		}
	}
	store, err := openStore(c)
	if err != nil {
		return err
	}
	snapshot, err := loadVersion(c.Context(), store, version)
	if err != nil {
		return err
	}
	write := func(w io.Writer) error {
		if format == outputJSON {
			return writeJSON(w, snapshot.Table)
		}
		return table.WriteCSV(w, snapshot.Table)
	}
	if file == "" {
		return write(c.OutOrStdout())
	}
	return writeFile(file, write)
}

// loadVersion reads a version of the table; zero means the current version.
func loadVersion(ctx context.Context, store table.Getter, version table.Version) (*table.Snapshot, error) {
	if version > 0 {
		return table.LoadEarlierVersion(ctx, store, version)
	}
	reader := table.Reader{}
	return reader.Load(ctx, store)
}
