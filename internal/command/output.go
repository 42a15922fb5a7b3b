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

// The formats of a query's answer.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// outputFormats are the accepted formats.
var outputFormats = []string{outputTable, outputJSON}

// queryResult is what a query found. It encodes as JSON and shows as a grid.
type queryResult interface {
	textTable() textTable
}

// textTable is rows of text under a header, with lines before and after.
type textTable struct {
	linesBefore []string
	header []string
	rows   [][]string
	linesAfter  []string
}

// addOutputFlag gives a query its flag for the format.
func addOutputFlag(c *cobra.Command) *cobra.Command {
	c.Flags().StringP(flagOutput, "o", outputTable, "format of the answer: table or json")
	complete := func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return outputFormats, cobra.ShellCompDirectiveNoFileComp
	}
	// The flag exists, which is all that can fail here.
	_ = c.RegisterFlagCompletionFunc(flagOutput, complete)
	return c
}

func outputFormat(c *cobra.Command) (string, error) {
	format, err := c.Flags().GetString(flagOutput)
	if err != nil || !slices.Contains(outputFormats, format) {
		return "", &InvalidSettingError{
			Setting:  flagOutput,
			Value:    format,
			Accepted: "table or json",
		}
	}
	return format, nil
}

// printResult prints an answer in the format that was asked for.
func printResult(c *cobra.Command, a queryResult) error {
	format, err := outputFormat(c)
	if err != nil {
		return err
	}
	if format == outputJSON {
		return writeJSON(c.OutOrStdout(), a)
	}
	return writeTextTable(c.OutOrStdout(), a.textTable())
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return wrapOutputError(encoder.Encode(value))
}

func writeTextTable(w io.Writer, g textTable) error {
	for _, line := range g.linesBefore {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return wrapOutputError(err)
		}
	}
	if len(g.rows) > 0 {
		if err := writeRows(w, g); err != nil {
			return err
		}
	}
	for _, line := range g.linesAfter {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return wrapOutputError(err)
		}
	}
	return nil
}

func writeRows(w io.Writer, g textTable) error {
	drawn := tablewriter.NewTable(w,
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
	drawn.Header(g.header)
	if err := drawn.Bulk(g.rows); err != nil {
		return wrapOutputError(err)
	}
	return wrapOutputError(drawn.Render())
}

func wrapOutputError(err error) error {
	if err == nil {
		return nil
	}
	return &OutputError{
		Cause: err,
	}
}
