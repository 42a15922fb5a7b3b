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

// outputs are the accepted formats.
var outputs = []string{outputTable, outputJSON}

// answer is what a query found. It encodes as JSON and shows as a grid.
type answer interface {
	grid() grid
}

// grid is rows of text under a header, with lines before and after.
type grid struct {
	before []string
	header []string
	rows   [][]string
	after  []string
}

// addOutput gives a query its flag for the format.
func addOutput(c *cobra.Command) *cobra.Command {
	c.Flags().StringP(flagOutput, "o", outputTable, "format of the answer: table or json")
	complete := func(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
		return outputs, cobra.ShellCompDirectiveNoFileComp
	}
	// The flag exists, which is all that can fail here.
	_ = c.RegisterFlagCompletionFunc(flagOutput, complete)
	return c
}

func outputOf(c *cobra.Command) (string, error) {
	format, err := c.Flags().GetString(flagOutput)
	if err != nil || !slices.Contains(outputs, format) {
		return "", &InvalidArgumentError{
			Name:     flagOutput,
			Value:    format,
			Accepted: "table or json",
		}
	}
	return format, nil
}

// show prints an answer in the format that was asked for.
func show(c *cobra.Command, a answer) error {
	format, err := outputOf(c)
	if err != nil {
		return err
	}
	if format == outputJSON {
		return showJSON(c.OutOrStdout(), a)
	}
	return showGrid(c.OutOrStdout(), a.grid())
}

func showJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return outputError(encoder.Encode(value))
}

func showGrid(w io.Writer, g grid) error {
	for _, line := range g.before {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return outputError(err)
		}
	}
	if len(g.rows) > 0 {
		if err := drawRows(w, g); err != nil {
			return err
		}
	}
	for _, line := range g.after {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return outputError(err)
		}
	}
	return nil
}

func drawRows(w io.Writer, g grid) error {
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
		return outputError(err)
	}
	return outputError(drawn.Render())
}

func outputError(err error) error {
	if err == nil {
		return nil
	}
	return &OutputError{
		Cause: err,
	}
}
