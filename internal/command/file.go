package command

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/table"
)

// standardInput is the file name that means the standard input.
const standardInput = "-"

// readTable reads a table from a CSV file, or from the standard input, and
// validates it.
func readTable(c *cobra.Command, name string) (table.Table, error) {
	if name == standardInput {
		return table.ParseCSV(c.InOrStdin())
	}
	file, err := os.Open(name)
	if err != nil {
		return table.Table{}, &FileError{
			Name:  name,
			Cause: err,
		}
	}
	defer file.Close()
	return table.ParseCSV(file)
}

// writeFile creates or overwrites a file and calls write to fill it. It removes the file if
// write fails.
func writeFile(name string, write func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return &FileError{
			Name:  name,
			Cause: err,
		}
	}
	if err := write(file); err != nil {
		_ = file.Close()
		_ = os.Remove(name)
		return err
	}
	if err := file.Close(); err != nil {
		return &FileError{
			Name:  name,
			Cause: err,
		}
	}
	return nil
}
