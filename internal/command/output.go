package command

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/renderer"
	"github.com/olekukonko/tablewriter/tw"
	"github.com/spf13/cobra"
)

// Output formats of a query.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// outputFormats lists the formats that --output accepts.
var outputFormats = []string{outputTable, outputJSON}

// queryResult is the result of a query. It is encoded as JSON or printed as text.
type queryResult interface {
	textOutput() textOutput
}

// textOutput is a table of text with a header row, and lines of text before and
// after it.
type textOutput struct {
	linesBefore []string
	header      []string
	rows        [][]string
	linesAfter  []string
}

// addOutputFlag adds the flag --output to a query.
func addOutputFlag(c *cobra.Command) *cobra.Command {
	c.Flags().StringP(flagOutput, "o", outputTable, "output format: table or json")
	complete := func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return outputFormats, cobra.ShellCompDirectiveNoFileComp
	}
	// Registration fails only if the flag does not exist or already has a
	// completion function.
	_ = c.RegisterFlagCompletionFunc(flagOutput, complete)
	return c
}

func outputFormat(c *cobra.Command) (string, error) {
	format, err := c.Flags().GetString(flagOutput)
	if err != nil || !slices.Contains(outputFormats, format) {
		return "", &InvalidArgumentError{
			Name:     flagOutput,
			Value:    format,
			Accepted: "table or json",
		}
	}
	return format, nil
}

// printResult prints a result in the format given by --output.
func printResult(c *cobra.Command, result queryResult) error {
	format, err := outputFormat(c)
	if err != nil {
		return err
	}
	if format == outputJSON {
		return writeJSON(c.OutOrStdout(), result)
	}
	return writeTextOutput(c.OutOrStdout(), result.textOutput())
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return wrapOutputError(encoder.Encode(value))
}

func writeTextOutput(w io.Writer, t textOutput) error {
	for _, line := range t.linesBefore {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return wrapOutputError(err)
		}
	}
	if len(t.rows) > 0 {
		if err := writeRows(w, t); err != nil {
			return err
		}
	}
	for _, line := range t.linesAfter {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return wrapOutputError(err)
		}
	}
	return nil
}

func writeRows(w io.Writer, t textOutput) error {
	writer := tablewriter.NewTable(w,
		tablewriter.WithRenderer(renderer.NewBlueprint(tw.Rendition{
			Borders: tw.BorderNone,
			Settings: tw.Settings{
				Separators: tw.SeparatorsNone,
				Lines:      tw.LinesNone,
			},
		})),
		tablewriter.WithHeaderAutoFormat(tw.Off),
		tablewriter.WithHeaderAlignment(tw.AlignLeft),
		tablewriter.WithRowAlignment(tw.AlignLeft),
		tablewriter.WithTrimSpace(tw.Off),
	)
	writer.Header(t.header)
	if err := writer.Bulk(t.rows); err != nil {
		return wrapOutputError(err)
	}
	return wrapOutputError(writer.Render())
}

func wrapOutputError(err error) error {
	if err == nil {
		return nil
	}
	return &OutputError{
		Cause: err,
	}
}
