package command

import "github.com/spf13/cobra"

// newTeam returns the command "trefoilline team".
func newTeam() *cobra.Command {
	return newCommandGroup("team", "Show teams", newTeamList())
}
