package experiment

import (
	"encoding/json"
	"io"

	"github.com/spf13/cobra"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

// outputFlag is the flag --output, which chooses the output format.
type outputFlag struct {
	format string
}

// tableWriter can print itself as a table.
type tableWriter interface {
	WriteTable(w io.Writer) error
}

func (o *outputFlag) addFlag(command *cobra.Command) {
	command.Flags().StringVar(&o.format, "output", outputTable, "table or json")
}

func (o *outputFlag) validate() error {
	if o.format == outputTable || o.format == outputJSON {
		return nil
	}
	return &FieldError{
		Field:    "--output",
		Value:    o.format,
		Accepted: "table or json",
	}
}

func (o *outputFlag) write(w io.Writer, content tableWriter) error {
	if o.format == outputTable {
		return content.WriteTable(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return outputError(encoder.Encode(content))
}
