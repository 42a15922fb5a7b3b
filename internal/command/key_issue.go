package command

import (
	"context"
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/apikey"
	"trefoilline.example/trefoilline/table"
)

// newKeyIssueCommand returns the command that creates an API key for a team and prints it:
//
//	trefoilline key issue TEAM [--note TEXT]
func newKeyIssueCommand() *cobra.Command {
	var note string
	c := addOutputFlag(&cobra.Command{
		Use:   "issue TEAM",
		Short: "Create a key for a team and print it",
		Long: `Create a key for a team of the current table and print it. The key cannot be shown
again, because only its hash is stored. In the format table, the key alone is
written to the standard output and messages to the standard error. Hosts accept the
key within seconds.`,
		Example: `  trefoilline key issue north-schools --note "till in Tamale"
  key=$(trefoilline key issue north-schools)`,
		Args: withUsageError(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, args []string) error {
			return issueKey(c, args[0], note)
		},
	})
	c.Flags().StringVar(&note, "note", "", "what the key is for")
	return c
}

func issueKey(c *cobra.Command, teamName, note string) error {
	format, err := outputFormat(c)
	if err != nil {
		return err
	}
	store, err := openStore(c)
	if err != nil {
		return err
	}
	if err := requireTeam(c.Context(), store, teamName); err != nil {
		return err
	}
	manager := apikey.KeyManager{
		Store: store,
	}
	key, record, err := manager.Issue(c.Context(), teamName, note)
	if err != nil {
		return err
	}
	if format == outputJSON {
		return writeJSON(c.OutOrStdout(), issuedKey{
			Key:       key.Reveal(),
			KeyRecord: record,
		})
	}
	fmt.Fprintf(c.ErrOrStderr(), "issued to team %s, hash %s; the key will not be shown again:\n", record.Team, record.Hash)
	_, err = fmt.Fprintln(c.OutOrStdout(), key.Reveal())
	return wrapOutputError(err)
}

// issuedKey is the result of "key issue".
type issuedKey struct {
	Key string `json:"key"`
	apikey.KeyRecord
}

// requireTeam returns a TeamNotFoundError if the team is not in the current table,
// because hosts reject keys of teams that are not in the table.
func requireTeam(ctx context.Context, store table.Getter, teamName string) error {
	reader := table.Reader{}
	snapshot, err := reader.Load(ctx, store)
	if err != nil {
		return err
	}
	var names []string
	for _, t := range snapshot.Table.Teams {
		names = append(names, t.Name)
	}
	if slices.Contains(names, teamName) {
		return nil
	}
	return &TeamNotFoundError{
		Team:       teamName,
		KnownTeams: names,
	}
}
