package daemon

import (
	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/observe"
)

// newEvents returns the command
//
//	trefoillined events
//
// which prints the catalogue of log events as a Markdown page.
func newEvents() *cobra.Command {
	return &cobra.Command{
		Use:     "events",
		Short:   "Print the catalogue of log events",
		Example: "  trefoillined events > docs/EVENTS.md",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return observe.WriteMarkdown(command.OutOrStdout())
		},
	}
}
