package command

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/table"
)

// trefoilline table get [--version N] [--file NAME]
//
// Writes the table in force, or an earlier version, as a CSV file.
func newTableGet() *cobra.Command {
	var version uint64
	var file string
	c := &cobra.Command{
		Use:   "get",
		Short: "Write the table in force, or an earlier version, as a CSV file",
		Long: `Write the table in force, or an earlier version, as a CSV file that a spreadsheet
opens. The file says in a row of its own which version it holds, so that "table
apply" finds out whether others edited the table meanwhile.`,
		Example: `  trefoilline table get --file table.csv
  trefoilline table get --version 12 --output json`,
		Args: arguments(cobra.NoArgs),
		RunE: func(c *cobra.Command, _ []string) error {
			return getTable(c, table.Version(version), file)
		},
	}
	c.Flags().Uint64Var(&version, "version", 0, "number of the version; the one in force if not given")
	c.Flags().StringVar(&file, "file", "", "file to write; the standard output if not given")
	c.Flags().StringP(flagOutput, "o", outputCSV, "format of the table: csv or json")
	return c
}

// outputCSV is the format of files that "table get" writes.
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
			return showJSON(w, snapshot.Table)
		}
		return table.WriteCSV(w, snapshot.Table)
	}
	if file == "" {
		return write(c.OutOrStdout())
	}
	return writeFile(file, write)
}

// loadVersion reads a version, the one in force if it is zero.
func loadVersion(ctx context.Context, store table.Getter, version table.Version) (*table.Snapshot, error) {
	if version > 0 {
		return table.ReadVersion(ctx, store, version)
	}
	reader := table.Reader{}
	return reader.Load(ctx, store)
}
