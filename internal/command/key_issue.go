package command

import (
	"context"
	"fmt"
	"slices"

	"github.com/spf13/cobra"

	"trefoilline.example/trefoilline/table"
	"trefoilline.example/trefoilline/team"
)

// trefoilline key issue TEAM [--note TEXT]
//
// Makes a key for a team of the table in force and shows it once.
func newKeyIssue() *cobra.Command {
	var note string
	c := addOutputFlag(&cobra.Command{
		Use:   "issue TEAM",
		Short: "Make a key for a team and show it once",
		Long: `Make a key for a team of the table in force and show it, this once: only its hash
is kept. The key alone goes to the standard output, the rest to the standard
error. Hosts take the key within seconds.`,
		Example: `  trefoilline key issue north-schools --note "till in Tamale"
  key=$(trefoilline key issue north-schools)`,
		Args: usageChecked(cobra.ExactArgs(1)),
		RunE: func(c *cobra.Command, given []string) error {
			return issueKey(c, given[0], note)
		},
	})
	c.Flags().StringVar(&note, "note", "", "what the key is for")
	return c
}

func issueKey(c *cobra.Command, name, note string) error {
	format, err := outputFormat(c)
	if err != nil {
		return err
	}
	store, err := openStore(c)
	if err != nil {
		return err
	}
	if err := requireTeam(c.Context(), store, name); err != nil {
		return err
	}
	office := team.KeyManager{
		Store: store,
	}
	key, record, err := office.Issue(c.Context(), name, note)
	if err != nil {
		return err
	}
	if format == outputJSON {
		return writeJSON(c.OutOrStdout(), issuedKey{
			Key:       key.Reveal(),
			KeyRecord: record,
		})
	}
	fmt.Fprintf(c.ErrOrStderr(), "issued to team %s, hash %s; the key is shown this once:\n", record.Team, record.Hash)
	_, err = fmt.Fprintln(c.OutOrStdout(), key.Reveal())
	return wrapOutputError(err)
}

// issuedKey is the answer of "key issue".
type issuedKey struct {
	Key string `json:"key"`
	team.KeyRecord
}

// requireTeam wants a team that the table in force has: a key for another would
// only be refused.
func requireTeam(ctx context.Context, store table.Getter, name string) error {
	reader := table.Reader{}
	snapshot, err := reader.Load(ctx, store)
	if err != nil {
		return err
	}
	var names []string
	for _, t := range snapshot.Table.Teams {
		names = append(names, t.Name)
	}
	if slices.Contains(names, name) {
		return nil
	}
	return &TeamNotFoundError{
		Team:       name,
		KnownTeams: names,
	}
}
