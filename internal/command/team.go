package command

import "github.com/spf13/cobra"

// newTeamCommand returns the command "trefoilline team".
func newTeamCommand() *cobra.Command {
	return newCommandGroup("team", "Show teams", newTeamListCommand())
}
