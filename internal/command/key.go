package command

import "github.com/spf13/cobra"

// newKeyCommand returns the command "trefoilline key".
func newKeyCommand() *cobra.Command {
	return newCommandGroup("key", "Issue, withdraw (revoke) and show keys", newKeyIssueCommand(), newKeyWithdrawCommand(), newKeyListCommand())
}
