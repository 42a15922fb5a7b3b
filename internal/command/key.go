package command

import "github.com/spf13/cobra"

// newKey returns the command "trefoilline key".
func newKey() *cobra.Command {
	return newCommandGroup("key", "Issue, withdraw and show keys", newKeyIssue(), newKeyWithdraw(), newKeyList())
}
