package command

import "github.com/spf13/cobra"

// newTableCommand returns the command "trefoilline table".
func newTableCommand() *cobra.Command {
	return newCommandGroup("table", "Read, check and publish the routing table",
		newTableGetCommand(),
		newTableCheckCommand(),
		newTableDiffCommand(),
		newTableApplyCommand(),
		newTableHistoryCommand(),
		newTableRestoreCommand(),
		newTablePruneCommand(),
		newTableStatusCommand(),
	)
}
