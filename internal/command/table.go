package command

import "github.com/spf13/cobra"

// newTable returns the command "trefoilline table".
func newTable() *cobra.Command {
	return newCommandGroup("table", "Read, check and publish the routing table",
		newTableGet(),
		newTableCheck(),
		newTableDiff(),
		newTableApply(),
		newTableHistory(),
		newTableRestore(),
		newTablePrune(),
		newTableStatus(),
	)
}
