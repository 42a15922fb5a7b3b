package command

import "github.com/spf13/cobra"

// newKey returns "trefoilline key".
func newKey() *cobra.Command {
	return newCommandGroup("key", "Issue, withdraw and show keys", newKeyIssue(), newKeyWithdraw(), newKeyList())
}
