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

// output is the flag that chooses the form of what is printed.
type output struct {
	form string
}

// tableWriter is what prints itself for a person.
type tableWriter interface {
	WriteTable(w io.Writer) error
}

func (o *output) addFlag(command *cobra.Command) {
	command.Flags().StringVar(&o.form, "output", outputTable, "table or json")
}

func (o *output) check() error {
	if o.form == outputTable || o.form == outputJSON {
		return nil
	}
	return &FieldError{
		Field:    "--output",
		Value:    o.form,
		Accepted: "table or json",
	}
}

func (o *output) write(w io.Writer, content tableWriter) error {
	if o.form == outputTable {
		return content.WriteTable(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return outputError(encoder.Encode(content))
}
